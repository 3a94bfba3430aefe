"""Follow the store: list once, then watch; keep this instance registered under a lease."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.documents import encode_member, make_member_key
from waxwingshelf.platform.store import StoreClient, StoreError, StoreErrorKind
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.fleet import Fleet, PeerAddress

__all__ = ["StoreWatcher"]

_ALL_KEYS = ""
_WATCH_MS = 10_000
# Changes that come close together share one call.
_BATCH_S = 0.15
_RETRY_S = 0.25
# How soon an instance follows the store itself when nobody near does.
_COVERED_S = 0.25
_LEASE_MS = 6_000
_RENEW_S = 2.0
_LOST_AFTER_FAILURES = 2
# In a shorter outage no entry of a living target lapses.
_LAPSE_AFTER_MS = 1_000
_log = structlog.get_logger("feed")


class StoreWatcher:
    """Own the watch and the registration."""

    def __init__(
        self,
        store: StoreClient,
        routing_state: RoutingState,
        fleet: Fleet,
        address: PeerAddress,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._routing_state = routing_state
        self._fleet = fleet
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._rng = random.Random(address.name)
        self._lease: int | None = None
        self.on_changes: Callable[[], None] = _do_nothing
        self._failures = 0
        self._lost_ms = 0
        self.watching = False

    async def run_watch(self) -> None:
        """Bring every change of the store into the beliefs, for ever."""
        listed = False
        while True:
            try:
                if not listed:
                    await self._list()
                    listed = True
                if not self._fleet.should_watch_store(self._clock.now_ms()):
                    self.watching = False
                    await asyncio.sleep(_COVERED_S)
                    continue
                self.watching = True
                await self._watch()
                await asyncio.sleep(_BATCH_S)
            except StoreError as failure:
                if failure.kind is StoreErrorKind.COMPACTED:
                    # The store is there; only the way of catching up changes.
                    _log.info("history_gone", after=self._routing_state.mirror.as_of)
                    listed = False
                    continue
                self._note_failure(failure)
                await asyncio.sleep(_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def run_registration(self) -> None:
        """Keep this instance's address in the store while it runs."""
        while True:
            try:
                await self._keep_registered()
            except StoreError as failure:
                if failure.kind is StoreErrorKind.MISSING:
                    self._lease = None
                    continue
                _log.info("registration_failed", detail=str(failure))
            await asyncio.sleep(_RENEW_S * self._rng.uniform(0.9, 1.1))

    async def deregister(self) -> None:
        """Remove the registration; a failure leaves that to the lease."""
        if self._lease is None:
            return
        try:
            await self._store.end_lease(self._lease)
        except StoreError as failure:
            _log.info("deregistration_failed", detail=str(failure))

    async def _list(self) -> None:
        listing = await self._store.list_keys(_ALL_KEYS)
        self._note_success("list")
        self._routing_state.replace(listing.items, listing.as_of, "store")

    async def _watch(self) -> None:
        batch = await self._store.watch(_ALL_KEYS, self._routing_state.mirror.as_of, _WATCH_MS)
        self._note_success("watch")
        self._routing_state.apply(batch.changes, batch.as_of, "store")
        if batch.changes:
            self.on_changes()

    async def _keep_registered(self) -> None:
        if self._lease is not None:
            await self._store.keep_lease(self._lease)
            self._note_success("keep")
            return
        lease = await self._store.open_lease(_LEASE_MS)
        key = make_member_key(self._address.name)
        await self._store.put(key, encode_member(self._address), lease)
        self._lease = lease
        self._note_success("register")
        _log.info("registered", lease=lease)

    def _note_success(self, step: str) -> None:
        self._metrics.store_calls.labels(step, "ok").inc()
        self._fleet.last_store_contact_ms = self._clock.now_ms()
        if self._failures >= _LOST_AFTER_FAILURES:
            away_ms = self._clock.now_ms() - self._lost_ms
            _log.info("store_regained", after_failures=self._failures, away_ms=away_ms)
            if away_ms >= _LAPSE_AFTER_MS:
                self._routing_state.note_store_recovered()
        self._failures = 0

    def _note_failure(self, failure: StoreError) -> None:
        self._metrics.store_calls.labels(failure.step, failure.kind.value).inc()
        self.watching = False
        self._failures += 1
        if self._failures == 1:
            self._lost_ms = self._clock.now_ms()
        if self._failures == _LOST_AFTER_FAILURES:
            _log.warning("store_lost", detail=str(failure))


def _do_nothing() -> None:
    """Nobody waits for news."""
