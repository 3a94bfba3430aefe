"""A store with revisions, leases and outages on virtual time, for instances in one event loop."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from tests.serving.virtual_time import VirtualTimeLoop
from waxwingshelf.platform.store import (
    Lease,
    Listing,
    Page,
    StoreError,
    StoreErrorKind,
    WatchBatch,
)
from waxwingshelf.steering.mirror import Change, Position

STORE_DELAY_S = 0.004
CALL_TIMEOUT_S = 1.5


class Outage(StrEnum):
    """What the store does with calls."""

    NONE = "none"
    REFUSING = "refusing"
    SILENT = "silent"


@dataclass
class FakeStore:
    """Keys with revisions and leases on virtual time; leases may pause during an outage."""

    loop: VirtualTimeLoop
    outage: Outage = Outage.NONE
    pauses_leases: bool = False
    revision: int = 1
    items: dict[str, tuple[int, bytes, int]] = field(default_factory=dict)
    events: list[Change] = field(default_factory=list)
    lease_ends_ms: dict[int, int] = field(default_factory=dict)
    lease_numbers: Any = field(default_factory=lambda: itertools.count(1))

    def __post_init__(self) -> None:
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        self.items[key] = (self.revision, value, lease)
        self._append(Change(key, self.revision, value))
        return self.revision

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append(Change(key, self.revision, None))

    def _append(self, change: Change) -> None:
        self.events.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """End leases when their time has passed, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            if self.outage is not Outage.NONE and self.pauses_leases:
                for lease in self.lease_ends_ms:
                    self.lease_ends_ms[lease] += 50
            now_ms = self.loop.now_ms()
            for lease in [number for number, end in self.lease_ends_ms.items() if now_ms > end]:
                del self.lease_ends_ms[lease]
                for key in [key for key, item in self.items.items() if item[2] == lease]:
                    self.delete(key)


class FakeStoreClient:
    """The calls of `StoreClient` that instances make here."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.era = 1
        self.on_new_era = lambda: None

    async def _call(self, step: str) -> None:
        await asyncio.sleep(STORE_DELAY_S)
        if self._store.outage is Outage.SILENT:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreError(StoreErrorKind.UNKNOWN, step, "timeout")
        if self._store.outage is Outage.REFUSING:
            raise StoreError(StoreErrorKind.REFUSED, step, "status 503")

    async def list_page(self, prefix: str, after: str = "") -> Page:
        await self._call("range")
        items = [Change(key, item[0], item[1]) for key, item in sorted(self._store.items.items())]
        return Page(items, Position(1, self._store.revision), True)

    async def list_items(self, prefix: str, first: Page | None = None) -> Listing:
        page = first or await self.list_page(prefix)
        return Listing(page.items, page.position)

    async def watch(self, prefix: str, after: int, wait_ms: int) -> WatchBatch:
        await self._call("watch")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1_000):
                while self._store.revision <= after:
                    await self._store.changed.wait()
        await self._call("watch")
        changes = [change for change in self._store.events if change.revision > after]
        return WatchBatch(changes, Position(1, self._store.revision))

    async def create_lease(self, ttl_ms: int) -> Lease:
        await self._call("lease")
        number = next(self._store.lease_numbers)
        self._store.lease_ends_ms[number] = self._store.loop.now_ms() + ttl_ms
        return Lease(number, 1)

    async def renew_lease(self, lease: Lease) -> None:
        await self._call("keep")
        if lease.id not in self._store.lease_ends_ms:
            raise StoreError(StoreErrorKind.MISSING, "keep", "status 404")
        self._store.lease_ends_ms[lease.id] = self._store.loop.now_ms() + 6_000

    async def put(self, key: str, value: bytes, lease: Lease | None = None) -> Position:
        await self._call("put")
        if lease is not None and lease.id not in self._store.lease_ends_ms:
            raise StoreError(StoreErrorKind.MISSING, "put", "status 404")
        return Position(1, self._store.put(key, value, lease.id if lease else 0))

    async def delete(self, key: str, position: Position) -> None:
        await self._call("delete")
        item = self._store.items.get(key)
        if item is None or item[0] != position.revision:
            raise StoreError(StoreErrorKind.CONFLICT, "delete", "status 412")
        self._store.delete(key)
