"""Bound the bytes that targets' responses may take in this process.

A faulty target may send bytes without end, as a body or as responses that belong to no request.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import aiohttp
import msgspec

from waxwingshelf.checked_responses import CheckedResponseHandler
from waxwingshelf.steering.response_room import ResponseRoom, compute_budget_bytes, is_large

__all__ = [
    "UNKNOWN_USE",
    "BoundedResponseHandler",
    "ConnectionUse",
    "ResponseBuffer",
    "ResponseHold",
    "ResponseLimitError",
]

# Heads, interim responses and late responses to other requests, until the awaited head is read.
_MAX_UNMATCHED_BYTES = 1024 * 1024
# For targets that do not state their idle timeout; shorter than the one that they have.
_DEFAULT_IDLE_TIMEOUT_MS = 4_000
# A request must reach a target before it closes the idle connection.
_IDLE_MARGIN_MS = 500
# For a body without a known length, bytes are held in parts of this size.
_PART_BYTES = 65_536
# A connection that would have to remember more requests is closed after the response.
_MAX_REMEMBERED_IDS = 64
# `_MAX_UNMATCHED_BYTES` hold some 40,000 interim responses, which take a second to handle.
_MAX_UNMATCHED_HEADS = 64


class ResponseLimitError(aiohttp.ClientError):
    """A target sent more bytes than a response may have."""


_connection_numbers = itertools.count(1)


class ConnectionUse(msgspec.Struct, frozen=True):
    """The connection that carried a request, for logs.

    `connection` numbers the connections of this process; `request` is 1 for the first request on a
    connection.
    """

    connection: int = 0
    request: int = 0

    def __str__(self) -> str:
        return f"connection {self.connection}, request {self.request}"


UNKNOWN_USE = ConnectionUse()


class BoundedResponseHandler(CheckedResponseHandler):
    """A client connection that is reset if it brings too many bytes outside awaited bodies.

    It remembers the requests that may be sent again after its response. A request id tells the
    responses to different requests apart, not those to two sends of one request, so that such a
    request must not use the same connection again: a late second copy of the first response would
    be taken for the second one.
    """

    _number = 0
    _requests = 0
    _unmatched_bytes = 0
    _unmatched_heads = 0
    _in_body = False
    _idle_since_ms: int | None = None
    _idle_timeout_ms = _DEFAULT_IDLE_TIMEOUT_MS
    # The deadlines, as clock readings, of the remembered requests by their id; None if unknown.
    _remembered_ids: dict[str, int | None] | None = None

    def begin_idle(self, now_ms: int, idle_timeout_ms: int | None) -> None:
        """Record that the connection is idle, and its peer's idle timeout if it is known."""
        self._idle_since_ms = now_ms
        if idle_timeout_ms is not None:
            self._idle_timeout_ms = idle_timeout_ms - _IDLE_MARGIN_MS

    def begin_use(self) -> ConnectionUse:
        """Record that a request uses the connection, and return which use this is."""
        self._idle_since_ms = None
        self._number = self._number or next(_connection_numbers)
        self._requests += 1
        return ConnectionUse(self._number, self._requests)

    def remember(self, request_id: str, deadline_ms: int | None, now_ms: int) -> None:
        """Record that a request, which may be sent again until its deadline, has been answered."""
        ids = self._remembered_ids or {}
        if len(ids) >= _MAX_REMEMBERED_IDS:
            ids = {key: end for key, end in ids.items() if end is None or end > now_ms}
        if len(ids) >= _MAX_REMEMBERED_IDS:
            self.force_close()
        ids[request_id] = deadline_ms
        self._remembered_ids = ids

    def has_answered(self, request_id: str) -> bool:
        """Return whether the connection brought a response to an earlier send of a request."""
        return self._remembered_ids is not None and request_id in self._remembered_ids

    def is_idle_too_long(self, now_ms: int, is_idempotent: bool) -> bool:
        """Return whether the peer may have closed the connection, or be about to.

        A peer may also drop an idle connection early and in silence, the more likely the longer it
        is idle. A request that cannot be repeated would then be lost.
        """
        if self._idle_since_ms is None:
            return False
        timeout_ms = self._idle_timeout_ms
        if not is_idempotent:
            timeout_ms = min(timeout_ms, _DEFAULT_IDLE_TIMEOUT_MS)
        return now_ms - self._idle_since_ms >= timeout_ms

    def set_in_body(self, in_body: bool) -> None:
        """Set whether the body of an awaited response is being read."""
        self._in_body = in_body
        self._unmatched_bytes = 0
        self._unmatched_heads = 0

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the response to the next request."""
        self.set_in_body(False)
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or reset the connection if there are too many."""
        self._unmatched_bytes += len(data)
        if not self._in_body and self._unmatched_bytes > _MAX_UNMATCHED_BYTES:
            self._fail(_build_limit_error(f"{self._unmatched_bytes} bytes"))
            return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the head of a response, or reset the connection if there are too many."""
        self._unmatched_heads += 1
        if not self._in_body and self._unmatched_heads > _MAX_UNMATCHED_HEADS:
            self._fail(_build_limit_error(f"{self._unmatched_heads} responses"))
            return
        super().feed_data(data, size)


def _build_limit_error(received: str) -> ResponseLimitError:
    return ResponseLimitError(f"{received} without the awaited response")


class ResponseHold:
    """The held bytes of the responses to one request, until the last one has been written."""

    __slots__ = ("_buffer", "_released", "_size")

    def __init__(self, buffer: ResponseBuffer) -> None:
        self._buffer = buffer
        self._size = 0
        self._released = False

    def add(self, size: int) -> None:
        """Take over bytes that are held; those that come after the end are released at once."""
        if self._released:
            self._buffer.release(size)
        else:
            self._size += size

    def release(self) -> None:
        """Release all bytes, as the request has ended."""
        self._released = True
        size, self._size = self._size, 0
        self._buffer.release(size)


class _BufferedBody:
    """The part of one response's body that has been read, and the number of bytes held for it.

    If the length is known, all bytes are held before the first one is read.
    """

    __slots__ = ("chunks", "held_bytes", "size")

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.size = 0
        self.held_bytes = 0


class _WaitingRead(msgspec.Struct, frozen=True):
    """A body that waits for room for `size` more bytes."""

    size: int
    has_length: bool
    granted: asyncio.Future[None]


class ResponseBuffer:
    """The bodies of all responses that are being read, within the room for them.

    While there is no room, nothing is read: the connections' flow control then stops the targets.
    """

    def __init__(self, room: ResponseRoom | None = None) -> None:
        self._room = room or ResponseRoom(compute_budget_bytes(0))
        # In the order in which they began to wait.
        self._waiting: dict[_BufferedBody, _WaitingRead] = {}
        # The one body of unknown length that may use the room reserved for completing such bodies.
        self._completing: _BufferedBody | None = None

    def open_hold(self) -> ResponseHold:
        """Return the hold for the bytes of one request's responses."""
        return ResponseHold(self)

    async def read(
        self, response: aiohttp.ClientResponse, hold: ResponseHold | None = None
    ) -> bytes:
        """Return a response's whole body; raise `ResponseLimitError` if it is too large.

        `hold` takes over the bytes that were read; without it, they are released.
        """
        length = None if response.method == "HEAD" else response.content_length
        if length is not None:
            self._check_size(length)
        body = _BufferedBody()
        try:
            if length:
                await self._hold(body, length, has_length=True)
            while chunk := await self._read_part(body, response):
                body.chunks.append(chunk)
                body.size += len(chunk)
                self._check_size(body.size)
            if hold is not None:
                hold.add(body.size)
                body.held_bytes -= body.size
            return b"".join(body.chunks)
        finally:
            if self._completing is body:
                self._completing = None
            # The traceback of an exception may keep a reference to the body.
            body.chunks = []
            self.release(body.held_bytes)

    def release(self, size: int) -> None:
        """Release held bytes, and let waiting bodies use their room."""
        self._room.release(size)
        if self._waiting:
            self._grant_waiting()

    async def _read_part(self, body: _BufferedBody, response: aiohttp.ClientResponse) -> bytes:
        """Return the next bytes, for which there is room; none at the end of the body."""
        if body.size < body.held_bytes:
            return await response.content.read(body.held_bytes - body.size)
        if response.content.at_eof():
            return b""
        await self._hold(body, _PART_BYTES, has_length=False)
        return await response.content.read(_PART_BYTES)

    def _check_size(self, size: int) -> None:
        if size > self._room.max_response_bytes:
            detail = f"body of {size} bytes, more than {self._room.max_response_bytes}"
            raise ResponseLimitError(detail)

    async def _hold(self, body: _BufferedBody, size: int, has_length: bool) -> None:
        """Hold bytes for a body, at once or when there is room for them."""
        response_bytes = body.held_bytes + size
        if not self._waiting and self._room.try_hold(size, response_bytes):
            body.held_bytes = response_bytes
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[body] = _WaitingRead(size, has_length, granted)
        try:
            self._grant_waiting()
            await granted
        finally:
            self._waiting.pop(body, None)

    def _grant_waiting(self) -> None:
        """Give room to the waiting bodies in their order; small ones may overtake large ones."""
        is_blocked = False
        for body, read in list(self._waiting.items()):
            response_bytes = body.held_bytes + read.size
            may_complete = not read.has_length and self._completing in (None, body)
            if is_blocked and not may_complete and is_large(response_bytes):
                continue
            if self._try_hold(body, read, response_bytes, may_complete):
                del self._waiting[body]
                read.granted.set_result(None)
            elif is_large(response_bytes):
                is_blocked = True

    def _try_hold(
        self, body: _BufferedBody, read: _WaitingRead, response_bytes: int, may_complete: bool
    ) -> bool:
        if read.granted.done():
            # The reader was cancelled and has not run since.
            return False
        is_held = self._room.try_hold(read.size, response_bytes)
        if not is_held and may_complete:
            self._completing = body
            is_held = self._room.try_hold(read.size, response_bytes, may_complete=True)
        if is_held:
            body.held_bytes += read.size
        return is_held
