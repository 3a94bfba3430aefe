"""Client of the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

import aiohttp
import msgspec

from waxwingshelf.platform.settings import Endpoint
from waxwingshelf.steering.mirror import Change

__all__ = ["Listing", "StoreClient", "StoreError", "StoreErrorKind", "WatchBatch"]

_CALL_TIMEOUT_S = 1.5
_WATCH_MARGIN_S = 1.0
_MS_PER_S = 1_000
_T = TypeVar("_T")


class StoreErrorKind(StrEnum):
    """Why a call failed; after `UNKNOWN` a write may have taken effect or may do so later."""

    REFUSED = "refused"
    UNKNOWN = "unknown"
    COMPACTED = "compacted"
    MISSING = "missing"
    CONFLICT = "conflict"


class StoreError(Exception):
    """A call to the store failed."""

    def __init__(self, kind: StoreErrorKind, step: str, detail: str) -> None:
        super().__init__(f"{step}: {kind.value}: {detail}")
        self.kind = kind
        self.step = step


@dataclass(frozen=True, slots=True)
class Listing:
    """All items whose keys start with a prefix, as of one revision if they fit into one page.

    If there are several pages, `as_of` is the revision of the first page, and the other pages may
    include later changes.
    """

    items: list[Change]
    as_of: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes after the requested revision, complete up to `as_of`."""

    changes: list[Change]
    as_of: int


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    as_of: int
    truncated: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    as_of: int


class _Lease(msgspec.Struct):
    lease: int
    ttl_ms: int


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct):
    key: str
    value: str
    lease: int


class _Transaction(msgspec.Struct):
    # Conditions of the transaction: the revision that each key must have.
    expected: list[_Expected]
    writes: list[_Write]
    deletes: list[str]


class StoreClient:
    """HTTP client of the store; a failed call raises `StoreError`."""

    def __init__(self, endpoint: Endpoint, session: aiohttp.ClientSession) -> None:
        self._base_url = f"http://{endpoint}"
        self._session = session

    async def list_items(self, prefix: str) -> Listing:
        """Return all items whose keys start with a prefix, read page by page."""
        items: list[Change] = []
        as_of: int | None = None
        after = ""
        while True:
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            body = await self._call("range", "GET", "/api/kv-range", _CALL_TIMEOUT_S, query)
            page = _decode(body, _Range, "range")
            items += [_to_change(item) for item in page.items]
            # The first page has the earliest revision: a watch from it also returns the changes
            # made between the pages.
            as_of = page.as_of if as_of is None else as_of
            if not page.truncated or not page.items:
                return Listing(items, as_of)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> WatchBatch:
        """Wait up to `wait_ms` for changes after a revision, and return them."""
        query = {"path_prefix": prefix, "after": str(after), "wait_ms": str(wait_ms)}
        timeout_s = wait_ms / _MS_PER_S + _WATCH_MARGIN_S
        body = await self._call("watch", "GET", "/api/kv-watch", timeout_s, query)
        events = _decode(body, _Events, "watch")
        return WatchBatch([_to_change(item) for item in events.events], events.as_of)

    async def create_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its id."""
        body = msgspec.json.encode({"ttl_ms": ttl_ms})
        content = await self._call("lease", "POST", "/api/kv-lease", _CALL_TIMEOUT_S, body=body)
        return _decode(content, _Lease, "lease").lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise `StoreError` with kind `MISSING` if it has ended."""
        await self._call("keep", "POST", f"/api/kv-keep/{lease}", _CALL_TIMEOUT_S)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""
        await self._call("end", "DELETE", f"/api/kv-lease-end/{lease}", _CALL_TIMEOUT_S)

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key unconditionally and attach it to a lease."""
        text = base64.b64encode(value).decode()
        body = msgspec.json.encode(_Transaction([], [_Write(key, text, lease)], []))
        await self._call("put", "POST", "/api/kv-txn", _CALL_TIMEOUT_S, body=body)

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        timeout_s: float,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> bytes:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method,
                    self._base_url + path,
                    params=query,
                    data=body,
                    headers=headers,
                ) as response:
                    content = await response.read()
                    status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreError(StoreErrorKind.UNKNOWN, step, repr(error)) from None
        if status == 200:
            return content
        raise StoreError(_classify_status(status), step, f"status {status}")


_KIND_BY_STATUS = {
    404: StoreErrorKind.MISSING,
    410: StoreErrorKind.COMPACTED,
    412: StoreErrorKind.CONFLICT,
}


def _classify_status(status: int) -> StoreErrorKind:
    return _KIND_BY_STATUS.get(status, StoreErrorKind.REFUSED)


def _decode(body: bytes, body_type: type[_T], step: str) -> _T:
    try:
        return msgspec.json.decode(body, type=body_type)
    except ValueError as error:
        raise StoreError(StoreErrorKind.UNKNOWN, step, str(error)) from None


def _to_change(item: _Item) -> Change:
    if item.tombstone or item.value is None:
        return Change(item.key, item.revision, None)
    return Change(item.key, item.revision, base64.b64decode(item.value))
