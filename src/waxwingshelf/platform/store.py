"""Client of the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from enum import StrEnum
from typing import TypeVar

import aiohttp
import msgspec
import structlog

from waxwingshelf.core.bounded_reads import BodyLimitError, read_bounded
from waxwingshelf.core.quantities import Sequence, parse_count
from waxwingshelf.platform.names import STORE_ERA_HEADER
from waxwingshelf.platform.settings import Endpoint
from waxwingshelf.steering.mirror import Change, Position

__all__ = ["Lease", "Listing", "StoreClient", "StoreError", "StoreErrorKind", "WatchBatch"]

_CALL_TIMEOUT_S = 1.5
_WATCH_MARGIN_S = 1.0
_MS_PER_S = 1_000
_NO_LEASE = 0
# A page has about 1 MB; a watch may bring many changes at once.
_MAX_RESPONSE_BYTES = 32 * 1024 * 1024
_log = structlog.get_logger("store")
_T = TypeVar("_T")


class StoreErrorKind(StrEnum):
    """Why a call failed; after `UNKNOWN` a write may have taken effect or may do so later.

    `OUTDATED` is an answer from before the store came back from an older copy.
    """

    REFUSED = "refused"
    UNKNOWN = "unknown"
    COMPACTED = "compacted"
    MISSING = "missing"
    CONFLICT = "conflict"
    OUTDATED = "outdated"


class StoreError(Exception):
    """A call to the store failed."""

    def __init__(self, kind: StoreErrorKind, step: str, detail: str) -> None:
        super().__init__(f"{step}: {kind.value}: {detail}")
        self.kind = kind
        self.step = step


class Listing(msgspec.Struct, frozen=True):
    """All items whose keys start with a prefix, as of one revision if they fit into one page.

    If there are several pages, `position` is that of the first page, and the other pages may
    include later changes.
    """

    items: list[Change]
    position: Position


class Page(msgspec.Struct, frozen=True):
    """A part of a listing, which is complete up to the last of these keys."""

    items: list[Change]
    position: Position
    is_last: bool


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes after the requested revision, complete up to `position`."""

    changes: list[Change]
    position: Position


class Lease(msgspec.Struct, frozen=True):
    """A lease, and the era in which the store created it; it does not exist in a later era."""

    id: int
    era: int


class _Item(msgspec.Struct):
    key: str
    revision: Sequence
    value: str | None = None
    tombstone: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    as_of: Sequence
    truncated: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    as_of: Sequence


class _LeaseBody(msgspec.Struct):
    lease: Sequence
    ttl_ms: Sequence


class _Written(msgspec.Struct):
    revision: Sequence


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
    """HTTP client of the store; a failed call raises `StoreError`.

    `era` is the latest era in the store's answers. `on_new_era` is called when it rises, except for
    the first answer. Watches have a session of their own: after one on a silent connection, the
    next one opens a new connection instead of an idle one that may have gone silent too.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        session: aiohttp.ClientSession,
        watch_session: aiohttp.ClientSession,
    ) -> None:
        self._base_url = f"http://{endpoint}"
        self._session = session
        self._watch_session = watch_session
        self._answered = False
        self.era = 0
        self.on_new_era: Callable[[], None] = _ignore_new_era

    async def list_page(self, prefix: str, after: str = "") -> Page:
        """Return the first items whose keys start with a prefix and follow the key `after`."""
        query = {"path_prefix": prefix}
        if after:
            query["after"] = after
        body = await self._call("range", "GET", "/api/kv-range", _CALL_TIMEOUT_S, query)
        page = _decode(body, _Range, "range")
        items = [_to_change(item) for item in page.items]
        is_last = not page.truncated or not items
        return Page(items, Position(self.era, page.as_of), is_last)

    async def list_items(self, prefix: str, first: Page | None = None) -> Listing:
        """Return all items whose keys start with a prefix, read page by page after the first."""
        page = first or await self.list_page(prefix)
        items = page.items
        # The first page has the earliest revision: a watch from it also returns the changes made
        # between the pages.
        position = page.position
        while not page.is_last:
            page = await self.list_page(prefix, page.items[-1].key)
            if page.position.era != position.era:
                raise StoreError(StoreErrorKind.OUTDATED, "range", "new era between two pages")
            items = items + page.items
        return Listing(items, position)

    async def watch(self, prefix: str, after: int, wait_ms: int) -> WatchBatch:
        """Wait up to `wait_ms` for changes after a revision, and return them."""
        query = {"path_prefix": prefix, "after": str(after), "wait_ms": str(wait_ms)}
        timeout_s = wait_ms / _MS_PER_S + _WATCH_MARGIN_S
        body = await self._call(
            "watch", "GET", "/api/kv-watch", timeout_s, query, session=self._watch_session
        )
        events = _decode(body, _Events, "watch")
        changes = [_to_change(item) for item in events.events]
        return WatchBatch(changes, Position(self.era, events.as_of))

    async def create_lease(self, ttl_ms: int) -> Lease:
        """Create a lease and return it."""
        body = msgspec.json.encode({"ttl_ms": ttl_ms})
        content = await self._call("lease", "POST", "/api/kv-lease", _CALL_TIMEOUT_S, body=body)
        return Lease(_decode(content, _LeaseBody, "lease").lease, self.era)

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise `StoreError` with kind `MISSING` if it has ended.

        A lease of an earlier era has ended, although its id may be in use again.
        """
        await self._call("keep", "POST", f"/api/kv-keep/{lease.id}", _CALL_TIMEOUT_S)
        if lease.era != self.era:
            raise StoreError(StoreErrorKind.MISSING, "keep", f"created in era {lease.era}")

    async def put(self, key: str, value: bytes, lease: Lease | None = None) -> Position:
        """Write a key unconditionally, attach it to a lease if any, and return the position."""
        text = base64.b64encode(value).decode()
        write = _Write(key, text, _NO_LEASE if lease is None else lease.id)
        content = await self._transact("put", _Transaction([], [write], []))
        if lease is not None and lease.era != self.era:
            raise StoreError(StoreErrorKind.MISSING, "put", f"lease created in era {lease.era}")
        return Position(self.era, _decode(content, _Written, "put").revision)

    async def replace(self, key: str, value: bytes, position: Position) -> Position:
        """Write a key if its last change is at `position`; else raise `CONFLICT`.

        Revision 0 means that the key does not exist.
        """
        if position.era != self.era:
            raise StoreError(StoreErrorKind.CONFLICT, "replace", f"read in era {position.era}")
        expected = [_Expected(key, position.revision)]
        write = _Write(key, base64.b64encode(value).decode(), _NO_LEASE)
        content = await self._transact("replace", _Transaction(expected, [write], []))
        return Position(self.era, _decode(content, _Written, "replace").revision)

    async def delete(self, key: str, position: Position) -> None:
        """Delete a key if its last change is at `position`; else raise `CONFLICT`."""
        if position.era != self.era:
            raise StoreError(StoreErrorKind.CONFLICT, "delete", f"written in era {position.era}")
        await self._transact("delete", _Transaction([_Expected(key, position.revision)], [], [key]))

    async def _transact(self, step: str, transaction: _Transaction) -> bytes:
        body = msgspec.json.encode(transaction)
        return await self._call(step, "POST", "/api/kv-txn", _CALL_TIMEOUT_S, body=body)

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        timeout_s: float,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        session: aiohttp.ClientSession | None = None,
    ) -> bytes:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            async with asyncio.timeout(timeout_s):
                async with (session or self._session).request(
                    method,
                    self._base_url + path,
                    params=query,
                    data=body,
                    headers=headers,
                ) as response:
                    content = await read_bounded(response.content, _MAX_RESPONSE_BYTES)
                    status = response.status
                    era = response.headers.get(STORE_ERA_HEADER, "")
        except (TimeoutError, aiohttp.ClientError, OSError, BodyLimitError) as error:
            raise StoreError(StoreErrorKind.UNKNOWN, step, repr(error)) from None
        self._check_era(era, step)
        if status == 200:
            return content
        raise StoreError(_classify_status(status), step, f"status {status}")

    def _check_era(self, text: str, step: str) -> None:
        """Record the era of an answer; raise `StoreError` if the answer is of an earlier era.

        An answer without an era belongs to the latest one: a store without eras sends none.
        """
        known = parse_count(text)
        era = known if known is not None else self.era
        if era < self.era:
            raise StoreError(StoreErrorKind.OUTDATED, step, f"era {era} after {self.era}")
        is_restored = era > self.era and self._answered
        self.era = era
        self._answered = True
        if is_restored:
            self.on_new_era()


_KIND_BY_STATUS = {
    404: StoreErrorKind.MISSING,
    410: StoreErrorKind.COMPACTED,
    412: StoreErrorKind.CONFLICT,
}


def _ignore_new_era() -> None:
    """Ignore a new era; the default of `StoreClient.on_new_era`."""


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
    return Change(item.key, item.revision, _decode_value(item.key, item.value))


def _decode_value(key: str, text: str) -> bytes:
    """Return an item's value; empty, which no document is, if it cannot be read."""
    try:
        return base64.b64decode(text)
    except ValueError as error:
        _log.warning("value_rejected", key=key, detail=str(error))
        return b""
