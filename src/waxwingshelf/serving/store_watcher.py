"""Watch the store for changes, and keep this instance registered in it under a lease."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.documents import encode_member, make_member_key
from waxwingshelf.platform.store import (
    Lease,
    StoreClient,
    StoreError,
    StoreErrorKind,
    WatchBatch,
)
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.fleet import Fleet, PeerAddress
from waxwingshelf.steering.mirror import Position

__all__ = ["StoreWatcher"]

_ALL_KEYS = ""
# A watch on a connection that goes silent must end, and the next one bring what it missed, before a
# change has to be in force. This time is left for the margin of the call, the pause and the answer.
_WATCH_RECOVERY_MS = 1_300
_MIN_WATCH_TIMEOUT_MS = 500
_MAX_WATCH_TIMEOUT_MS = 10_000
# After a failure, a watch that gets no answer is given up sooner, so that the end of an outage is
# noticed soon.
_WATCH_TIMEOUT_AFTER_FAILURE_MS = 500
# Pause between watch calls, so that changes in quick succession share one call.
_BATCH_DELAY_S = 0.35
_RETRY_DELAY_S = 0.25
# How often an instance that relies on other watchers checks whether it must watch itself.
_WATCH_CHECK_INTERVAL_S = 0.25
_LEASE_TTL_MS = 6_000
_RENEW_INTERVAL_S = 2.0
_LOST_AFTER_FAILURES = 2
# No lease of a running target expires in a shorter outage.
_MIN_LEASE_EXPIRY_OUTAGE_MS = 1_000
_log = structlog.get_logger("store_watcher")


class StoreWatcher:
    """Apply the store's changes to the routing state and register this instance."""

    def __init__(
        self,
        store: StoreClient,
        routing_state: RoutingState,
        fleet: Fleet,
        address: PeerAddress,
        clock: Clock,
        metrics: Metrics,
        config_apply_ms: int,
    ) -> None:
        self._watch_timeout_ms = min(
            max(config_apply_ms - _WATCH_RECOVERY_MS, _MIN_WATCH_TIMEOUT_MS), _MAX_WATCH_TIMEOUT_MS
        )
        self._store = store
        self._routing_state = routing_state
        self._fleet = fleet
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._rng = random.Random(address.name)
        self._lease: Lease | None = None
        self._registered_at = Position()
        self._watch_interrupted = asyncio.Event()
        # Set when the store answers again, since the lease may have expired meanwhile.
        self._regained = asyncio.Event()
        store.on_new_era = self._watch_interrupted.set
        self.on_changes: Callable[[int, WatchBatch], None] = _ignore_changes
        self.read_from_peers: Callable[[Position], Awaitable[bool]] = _read_nothing
        self._consecutive_failures = 0
        self._first_failure_ms = 0
        self.watching = False

    async def run_watch(self) -> None:
        """List the store, then watch it for changes, until cancelled.

        The watch pauses while other instances of the region watch on behalf of this one.
        """
        listed = False
        while True:
            try:
                if listed and not self._fleet.should_watch_store(self._clock.now_ms()):
                    self.watching = False
                    await asyncio.sleep(_WATCH_CHECK_INTERVAL_S)
                    continue
                if not listed or self._is_store_restored():
                    await self._list_keys()
                    listed = True
                    continue
                self.watching = True
                await self._watch()
                await asyncio.sleep(_BATCH_DELAY_S)
            except StoreError as failure:
                if failure.kind is StoreErrorKind.COMPACTED:
                    # Not an outage: the store has compacted these revisions; list all keys again.
                    _log.info("history_gone", after=self._routing_state.mirror.position.revision)
                    listed = False
                    continue
                self._record_failure(failure)
                await asyncio.sleep(_RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))

    async def run_registration(self) -> None:
        """Register this instance's address and renew its lease, until cancelled."""
        while True:
            try:
                await self._register_or_renew()
            except StoreError as failure:
                if failure.kind is StoreErrorKind.MISSING:
                    self._lease = None
                    continue
                _log.info("registration_failed", detail=str(failure))
                if failure.kind is StoreErrorKind.UNKNOWN:
                    # The same silence may have caught the watch, whose own timeout is much longer.
                    self._watch_interrupted.set()
            self._regained.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RENEW_INTERVAL_S * self._rng.uniform(0.9, 1.1)):
                    await self._regained.wait()

    async def deregister(self) -> None:
        """Remove the registration; if that fails, it lasts until the lease expires.

        The lease is not revoked: after the store came back from an older copy, its id may have been
        given to another instance.
        """
        if self._lease is None:
            return
        key = make_member_key(self._address.name)
        try:
            await self._store.delete(key, self._registered_at)
        except StoreError as failure:
            _log.info("deregistration_failed", detail=str(failure))

    async def _list_keys(self) -> None:
        """Read all keys: those of a large store from a peer at the start, else from the store."""
        first = await self._store.list_page(_ALL_KEYS)
        is_start = self._routing_state.mirror.position == Position()
        if is_start and not first.is_last and await self.read_from_peers(first.position):
            self._record_success("first_page")
            return
        listing = await self._store.list_items(_ALL_KEYS, first)
        self._record_success("list")
        self._routing_state.replace(listing.items, listing.position, "store")

    def _is_store_restored(self) -> bool:
        """Return whether the store came back from an older copy since the last listing."""
        return self._store.era > self._routing_state.mirror.position.era

    async def _watch(self) -> None:
        timeout_ms = self._watch_timeout_ms
        if self._consecutive_failures:
            timeout_ms = _WATCH_TIMEOUT_AFTER_FAILURE_MS
        revision = self._routing_state.mirror.position.revision
        batch = await self._run_interruptible(self._store.watch(_ALL_KEYS, revision, timeout_ms))
        self._record_success("watch")
        if self._is_store_restored():
            return
        self._routing_state.apply(batch.changes, batch.position, "store")
        if batch.changes:
            self.on_changes(revision, batch)

    async def _run_interruptible(self, call: Coroutine[None, None, WatchBatch]) -> WatchBatch:
        """Await a watch; raise `StoreError` if another call shows that it may never be answered."""
        self._watch_interrupted.clear()
        watch = asyncio.create_task(call)
        interrupted = asyncio.create_task(self._watch_interrupted.wait())
        try:
            await asyncio.wait({watch, interrupted}, return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                raise StoreError(StoreErrorKind.UNKNOWN, "watch", "interrupted by another call")
            return watch.result()
        finally:
            interrupted.cancel()
            watch.cancel()

    async def _register_or_renew(self) -> None:
        if self._lease is not None:
            await self._store.renew_lease(self._lease)
            self._record_success("keep")
            return
        lease = await self._store.create_lease(_LEASE_TTL_MS)
        key = make_member_key(self._address.name)
        self._registered_at = await self._store.put(key, encode_member(self._address), lease)
        self._lease = lease
        self._fleet.settling.record_registered(self._clock.now_ms())
        self._record_success("register")
        _log.info("registered", lease=lease.id, era=lease.era)

    def _record_success(self, step: str) -> None:
        self._metrics.store_calls.labels(step, "ok").inc()
        self._fleet.last_store_contact_ms = self._clock.now_ms()
        if self._consecutive_failures >= _LOST_AFTER_FAILURES:
            outage_ms = self._clock.now_ms() - self._first_failure_ms
            _log.info(
                "store_regained", after_failures=self._consecutive_failures, away_ms=outage_ms
            )
            self._regained.set()
            if outage_ms >= _MIN_LEASE_EXPIRY_OUTAGE_MS:
                self._routing_state.record_store_recovered()
        self._consecutive_failures = 0

    def _record_failure(self, failure: StoreError) -> None:
        self._metrics.store_calls.labels(failure.step, failure.kind.value).inc()
        self.watching = False
        self._consecutive_failures += 1
        if self._consecutive_failures == 1:
            self._first_failure_ms = self._clock.now_ms()
        if self._consecutive_failures == _LOST_AFTER_FAILURES:
            _log.warning("store_lost", detail=str(failure))


def _ignore_changes(after: int, batch: WatchBatch) -> None:
    """Ignore changes; the default of `StoreWatcher.on_changes`."""


async def _read_nothing(position: Position) -> bool:
    """Read nothing; the default of `StoreWatcher.read_from_peers`."""
    return False
