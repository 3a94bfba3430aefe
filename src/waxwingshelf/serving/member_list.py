"""Keep the member list in the store: the instances that may be running, without a lease.

Registrations end when the store is away for longer than their leases last. If all instances restart
meanwhile, each one would take itself for the only one, so the member list must outlast them.
"""

from __future__ import annotations

import asyncio

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.core.rendezvous import rank
from waxwingshelf.platform.documents import (
    encode_member,
    make_listed_member_key,
    parse_listed_member_name,
)
from waxwingshelf.platform.store import StoreClient, StoreError
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.fleet import Fleet, PeerAddress
from waxwingshelf.steering.mirror import Change, Position

__all__ = ["MemberListKeeper"]

_CHECK_INTERVAL_S = 2.0
# The mirror shows this instance's entry within this time after it was written.
_SHOWN_AFTER_MS = 10_000
# An instance that is gone for this long has been replaced; one that comes back is listed again.
_KEEP_MS = 60_000
_log = structlog.get_logger("member_list")


class MemberListKeeper:
    """List this instance in the member list, and remove the instances that are gone for good."""

    def __init__(
        self,
        address: PeerAddress,
        routing_state: RoutingState,
        fleet: Fleet,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._address = address
        self._mirror = routing_state.mirror
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._written_ms: int | None = None
        # When each listed instance was first found to be unknown.
        self._unknown_since_ms: dict[str, int] = {}

    async def run(self, store: StoreClient) -> None:
        """Keep the member list up to date, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self._mirror.position == Position():
                continue
            try:
                await self._list_own(store)
                await self._remove_gone(store)
            except StoreError as failure:
                self._metrics.store_calls.labels(failure.step, failure.kind.value).inc()
                _log.info("member_list_not_stored", detail=str(failure))

    async def _list_own(self, store: StoreClient) -> None:
        key, value = make_listed_member_key(self._address.name), encode_member(self._address)
        listed, now_ms = self._mirror.get(key), self._clock.now_ms()
        if listed is not None and listed.value == value:
            return
        if self._written_ms is None or now_ms - self._written_ms >= _SHOWN_AFTER_MS:
            await store.put(key, value)
            self._written_ms = now_ms
            self._metrics.store_calls.labels("member_list", "ok").inc()

    async def _remove_gone(self, store: StoreClient) -> None:
        now_ms = self._clock.now_ms()
        listed = self._list_unknown()
        for name in self._unknown_since_ms.keys() - listed.keys():
            del self._unknown_since_ms[name]
        for name, change in listed.items():
            since_ms = self._unknown_since_ms.setdefault(name, now_ms)
            if now_ms - since_ms >= _KEEP_MS and self._is_responsible(name):
                await store.delete(change.key, Position(self._mirror.position.era, change.revision))
                self._metrics.store_calls.labels("member_list", "ok").inc()

    def _list_unknown(self) -> dict[str, Change]:
        """Return the entries of the instances that are neither registered nor heard."""
        known = set(self._fleet.list_instance_names())
        entries = {
            name: change
            for change in self._mirror.list_items()
            if (name := parse_listed_member_name(change.key)) is not None
        }
        return {name: change for name, change in entries.items() if name not in known}

    def _is_responsible(self, name: str) -> bool:
        """Return whether this instance, of all that run, removes the entry of another."""
        return rank(name, self._fleet.list_instance_names())[0] == self._address.name
