"""A stand-in for the platform's key-value store that can simulate outages.

It implements revisions, leases, transactions and watches. A fault applies to all callers: calls are
refused, calls never get a response, or POST requests are executed but never get a response. The
event history can be compacted. The store can be restored from an older snapshot, which begins a new
era.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from aiohttp import web

__all__ = ["PlatformStoreStandIn", "StoreFault", "StoreSnapshot"]

_MS_PER_S = 1_000
_LEASE_CHECK_INTERVAL_S = 0.05
_ERA_HEADER = "Store-Era"


class StoreFault(StrEnum):
    """Faults of the store; LOSE_ANSWERS executes POST requests but never responds."""

    NONE = "none"
    REFUSE = "refuse"
    SILENT = "silent"
    LOSE_ANSWERS = "lose_answers"


@dataclass(slots=True)
class _Item:
    value: str
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class _Event:
    key: str
    revision: int
    item: _Item | None


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """A copy of the store's data at one revision, without the history."""

    revision: int
    items: dict[str, _Item]
    lease_deadlines: dict[int, float]
    lease_ttls_s: dict[int, float]


@dataclass
class PlatformStoreStandIn:
    """Hold the store's state and serve its HTTP API.

    Tests call `put` and `delete` to act as operators and targets. Lease deadlines are readings of
    the monotonic clock in seconds. `pages` counts the pages of listings, which have up to
    `page_size` items.
    """

    fault: StoreFault = StoreFault.NONE
    era: int = 1
    revision: int = 1
    calls: int = 0
    page_size: int = 500
    pages: int = 0
    items: dict[str, _Item] = field(default_factory=dict)
    events: list[_Event] = field(default_factory=list)
    compacted_revision: int = 0
    lease_deadlines: dict[int, float] = field(default_factory=dict)
    lease_ttls_s: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the event that wakes waiting watches."""
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Write a key, encoding a value that is not bytes as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write(key, base64.b64encode(raw).decode(), lease)

    def delete(self, key: str) -> None:
        """Delete a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event(_Event(key, self.revision, None))

    def compact_history(self) -> None:
        """Drop all events; watches that start before the current revision get status 410."""
        self.compacted_revision = self.revision
        self.events.clear()

    def take_snapshot(self) -> StoreSnapshot:
        """Return a copy of the current data."""
        return StoreSnapshot(
            self.revision,
            dict(self.items),
            dict(self.lease_deadlines),
            dict(self.lease_ttls_s),
        )

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Come back with the data of a snapshot; revisions and lease ids are given out again."""
        self.era += 1
        self.revision = snapshot.revision
        self.items = dict(snapshot.items)
        self.lease_deadlines = dict(snapshot.lease_deadlines)
        self.lease_ttls_s = dict(snapshot.lease_ttls_s)
        self.events.clear()
        self.compacted_revision = snapshot.revision
        self._wake_watches()

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._apply_fault])
        app.router.add_get("/api/kv-key", self._get)
        app.router.add_get("/api/kv-range", self._list_range)
        app.router.add_get("/api/kv-watch", self._watch)
        app.router.add_post("/api/kv-txn", self._transact)
        app.router.add_post("/api/kv-lease", self._create_lease)
        app.router.add_post("/api/kv-keep/{lease}", self._renew_lease)
        app.router.add_delete("/api/kv-lease-end/{lease}", self._revoke_lease)
        return app

    async def run(self) -> None:
        """Revoke expired leases and delete their keys until cancelled."""
        while True:
            await asyncio.sleep(_LEASE_CHECK_INTERVAL_S)
            for lease in [
                lease for lease, end in self.lease_deadlines.items() if time.monotonic() > end
            ]:
                self._remove_lease(lease)

    @web.middleware
    async def _apply_fault(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self.calls += 1
        if self.fault is StoreFault.REFUSE:
            return web.Response(status=503, headers={_ERA_HEADER: str(self.era)})
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(3_600)
        response = await handler(request)
        if self.fault is StoreFault.LOSE_ANSWERS and request.method == "POST":
            await asyncio.sleep(3_600)
        response.headers[_ERA_HEADER] = str(self.era)
        return response

    def _write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        current = self.items.get(key)
        created = current.created if current else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._append_event(_Event(key, self.revision, self.items[key]))

    def _append_event(self, event: _Event) -> None:
        self.events.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _remove_lease(self, lease: int) -> None:
        self.lease_deadlines.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    async def _get(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        if key not in self.items:
            return web.Response(status=404)
        return web.json_response(
            {**self._encode_item(key, self.items[key]), "as_of": self.revision}
        )

    async def _list_range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["path_prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        self.pages += 1
        page = keys[: self.page_size]
        items = [self._encode_item(key, self.items[key]) for key in page]
        is_truncated = len(page) < len(keys)
        return web.json_response(
            {"items": items, "truncated": is_truncated, "as_of": self.revision}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["path_prefix"], int(request.query["after"])
        end = time.monotonic() + int(request.query["wait_ms"]) / _MS_PER_S
        while True:
            if after < self.compacted_revision or after > self.revision:
                return web.Response(status=410)
            events = [
                self._encode_event(event)
                for event in self.events
                if event.revision > after and event.key.startswith(prefix)
            ]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return web.json_response({"events": events, "as_of": self.revision})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body.get("expected", []):
            current = self.items.get(row["key"])
            if (current.revision if current else 0) != row["revision"]:
                return web.json_response({"items": []}, status=412)
        for row in body.get("writes", []):
            if row.get("lease") and row["lease"] not in self.lease_deadlines:
                return web.Response(status=404)
        for row in body.get("writes", []):
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return web.json_response({"revision": self.revision})

    async def _create_lease(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())["ttl_ms"]
        lease = len(self.lease_ttls_s) + 1
        self.lease_ttls_s[lease] = ttl_ms / _MS_PER_S
        self.lease_deadlines[lease] = time.monotonic() + ttl_ms / _MS_PER_S
        return web.json_response({"lease": lease, "ttl_ms": ttl_ms})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.lease_deadlines:
            return web.Response(status=404)
        self.lease_deadlines[lease] = time.monotonic() + self.lease_ttls_s[lease]
        return web.json_response({"ttl_ms": int(self.lease_ttls_s[lease] * _MS_PER_S)})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        self._remove_lease(int(request.match_info["lease"]))
        return web.Response()

    def _encode_item(self, key: str, item: _Item) -> dict[str, Any]:
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _encode_event(self, event: _Event) -> dict[str, Any]:
        if event.item is None:
            return {"key": event.key, "revision": event.revision, "tombstone": True}
        return self._encode_item(event.key, event.item)
