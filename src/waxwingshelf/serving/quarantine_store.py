"""Keep the quarantines in the store, and let it decide which instance sends a trial."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import structlog
from msgspec.structs import replace

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.documents import (
    DecodeError,
    decode_quarantine,
    encode_quarantine,
    make_quarantine_key,
)
from waxwingshelf.platform.store import StoreClient, StoreError, StoreErrorKind
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.mirror import Position
from waxwingshelf.steering.quarantine import Quarantine

__all__ = ["QuarantineStore"]

_CHECK_INTERVAL_S = 2.0
_RETRY_DELAY_S = 1.0
_CLAIM_TIMEOUT_S = 0.3
# A claim whose answer this process was too slow to read may be of no use any more.
_MAX_CLAIM_MS = 1_000
_log = structlog.get_logger("quarantine_store")


class QuarantineStore:
    """Write quarantines to the store and remove those that have ended.

    `is_responsible` tells whether this instance writes the quarantine of a request.
    """

    def __init__(self, routing_state: RoutingState, clock: Clock, metrics: Metrics) -> None:
        self._routing_state = routing_state
        self._quarantines = routing_state.quarantines
        self._clock = clock
        self._metrics = metrics
        self._store: StoreClient | None = None
        self._changed = asyncio.Event()
        self._claims: set[str] = set()
        self.is_responsible: Callable[[str], bool] = lambda fingerprint: True

    async def run(self, store: StoreClient) -> None:
        """Keep the store up to date, until cancelled."""
        self._store = store
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._changed.wait()
            self._changed.clear()
            try:
                await self._update(store)
            except StoreError as failure:
                self._metrics.store_calls.labels(failure.step, failure.kind.value).inc()
                _log.info("quarantine_not_stored", detail=str(failure))
                await asyncio.sleep(_RETRY_DELAY_S)
                self._changed.set()

    def update_soon(self) -> None:
        """Write the quarantines that have changed."""
        self._changed.set()

    async def claim_trial(self, fingerprint: str) -> Quarantine | None:
        """Return the quarantine with one trial more if this instance may send it.

        Of several instances that ask, only one gets it.
        """
        now_ms = self._clock.now_ms()
        quarantine = self._quarantines.find(fingerprint)
        if quarantine is None or self._store is None or fingerprint in self._claims:
            return None
        if not self._quarantines.is_trial_due(fingerprint, now_ms):
            return None
        key = make_quarantine_key(fingerprint)
        stored, position = self._find_stored(key)
        if stored != quarantine:
            return None
        trial = replace(quarantine, trials=quarantine.trials + 1)
        self._claims.add(fingerprint)
        try:
            async with asyncio.timeout(_CLAIM_TIMEOUT_S):
                is_claimed = await self._replace(self._store, key, trial, position)
        except (StoreError, TimeoutError) as failure:
            _log.info("quarantine_not_stored", fingerprint=fingerprint, detail=repr(failure))
            return None
        finally:
            self._claims.discard(fingerprint)
        is_late = self._clock.now_ms() - now_ms > _MAX_CLAIM_MS
        return trial if is_claimed and not is_late else None

    async def _update(self, store: StoreClient) -> None:
        for fingerprint, quarantine in self._quarantines.list_all().items():
            is_over = self._quarantines.is_over(fingerprint, self._clock.now_ms())
            if self.is_responsible(fingerprint):
                await self._update_entry(store, fingerprint, quarantine, is_over)
            if is_over:
                self._quarantines.forget(fingerprint)

    async def _update_entry(
        self, store: StoreClient, fingerprint: str, quarantine: Quarantine, is_over: bool
    ) -> None:
        key = make_quarantine_key(fingerprint)
        stored, position = self._find_stored(key)
        if is_over:
            if stored is not None:
                await store.delete(key, position)
        elif stored is None or stored < quarantine:
            await self._replace(store, key, quarantine, position)

    def _find_stored(self, key: str) -> tuple[Quarantine | None, Position]:
        """Return the quarantine under a store key, and the position of its last change."""
        mirror = self._routing_state.mirror
        change = mirror.get(key)
        if change is None or change.value is None:
            return None, Position(mirror.position.era, 0)
        position = Position(mirror.position.era, change.revision)
        try:
            return decode_quarantine(change.value), position
        except DecodeError:
            # Logged when the entry was read; it is replaced.
            return None, position

    async def _replace(
        self, store: StoreClient, key: str, quarantine: Quarantine, position: Position
    ) -> bool:
        """Write a quarantine; return False if another instance has written meanwhile."""
        try:
            await store.replace(key, encode_quarantine(quarantine), position)
        except StoreError as failure:
            if failure.kind is not StoreErrorKind.CONFLICT:
                raise
            return False
        self._metrics.store_calls.labels("quarantine", "ok").inc()
        return True
