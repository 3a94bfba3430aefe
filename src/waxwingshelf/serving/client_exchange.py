"""HTTP exchanges with targets: requests that are checked at the send, responses matched by id."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any, cast

import aiohttp
import msgspec
from multidict import CIMultiDictProxy
from yarl import URL

from waxwingshelf.core.clock import SystemClock
from waxwingshelf.platform.names import DEADLINE_HEADER, REQUEST_ID_HEADER
from waxwingshelf.platform.target_responses import decode_idle_timeout, is_rejection
from waxwingshelf.serving.response_buffer import (
    UNKNOWN_USE,
    BoundedResponseHandler,
    ConnectionUse,
)
from waxwingshelf.serving.send_results import MIN_FAILURE_STATUS

__all__ = [
    "CheckedRequest",
    "ForeignResponsesError",
    "MatchedResponse",
    "SendProgress",
    "SendWithdrawnError",
    "UnusableConnectionError",
    "abort_connection",
    "set_progress",
]

_MAX_SKIPPED_RESPONSES = 16
_clock = SystemClock()


class UnusableConnectionError(aiohttp.ClientError):
    """The connection that the pool chose must not carry the request.

    The target may be about to close it, or it carried the request before.
    """


class ForeignResponsesError(aiohttp.ClientError):
    """The target sent too many responses to other requests instead of the awaited one."""


class SendWithdrawnError(aiohttp.ClientError):
    """The target stopped accepting requests, or the deadline passed, before the send."""


class SendProgress(msgspec.Struct, eq=False):
    """The permission of a request to be sent, its deadline, and whether writing it has begun.

    `started_ms` is when the send began to look for a connection. `abandoned` is set if the send was
    ended before its time. `is_idempotent` requests may be sent again although writing has begun.
    `use` tells which connection carries the request. `raw_path` is written as it is, as the URLs of
    the HTTP library leave out a fragment and an empty query.
    """

    raw_path: str
    may_still_send: Callable[[], bool]
    deadline_ms: int | None
    started_ms: int
    is_idempotent: bool
    begun: bool = False
    abandoned: bool = False
    use: ConnectionUse = UNKNOWN_USE


# The progress of the request that the current task sends.
_progress: ContextVar[SendProgress] = ContextVar("send_progress")


def set_progress(progress: SendProgress) -> None:
    """Set the progress of the request that the current task is about to send.

    Event loops keep the contexts of cancelled timers for a while, so it must hold neither the task
    nor, after the send, the request.
    """
    _progress.set(progress)


class _ExactUrl:
    """A URL whose path and query are written as they were received."""

    def __init__(self, url: URL, raw_path: str) -> None:
        self._url = url
        self.raw_path_qs = raw_path

    def __getattr__(self, name: str) -> Any:
        return getattr(self._url, name)


class CheckedRequest(aiohttp.ClientRequest):
    """A request that checks its permission again once it has a connection."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request, or raise `SendWithdrawnError` or `UnusableConnectionError`."""
        progress = _progress.get()
        protocol = conn.protocol
        if isinstance(protocol, BoundedResponseHandler):
            if protocol.is_idle_too_long(_clock.now_ms(), progress.is_idempotent):
                raise UnusableConnectionError
            if protocol.has_answered(self.headers.get(REQUEST_ID_HEADER, "")):
                raise UnusableConnectionError
            progress.use = protocol.begin_use()
        if not progress.may_still_send():
            raise SendWithdrawnError
        if progress.deadline_ms is not None:
            remaining_ms = progress.deadline_ms - _clock.now_ms()
            if remaining_ms <= 0:
                raise SendWithdrawnError
            self.headers[DEADLINE_HEADER] = str(remaining_ms)
        progress.begun = True
        if progress.raw_path != self.url.raw_path_qs:
            self.url = cast(URL, _ExactUrl(self.url, progress.raw_path))
        return await super().send(conn)


class MatchedResponse(aiohttp.ClientResponse):
    """A response that skips responses to other requests on the same connection.

    A target may send a second response to an earlier request; the request id that the target
    echoes identifies the request that a response belongs to.
    """

    _starting = False
    _eof_while_starting = False
    _connection_closed: asyncio.Future[None] | None = None

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Return the headers of the last head that was read; the library keeps the first ones."""
        assert self._headers is not None
        return self._headers

    async def start(self, connection: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Read response heads until one belongs to the request."""
        expected_id = self.request_info.headers.get(REQUEST_ID_HEADER)
        self._starting = True
        # Obtained before the head is read, since the connection may close together with the body.
        self._connection_closed = _watch_close(connection)
        try:
            await self._start_matching(connection, expected_id)
        except BaseException:
            abort_connection(connection)
            raise
        self._starting = False
        self._set_in_body(connection, True)
        if self._eof_while_starting:
            self._response_eof()
        return self

    async def _start_matching(
        self, connection: aiohttp.connector.Connection, expected_id: str | None
    ) -> None:
        for _ in range(_MAX_SKIPPED_RESPONSES + 1):
            self._eof_while_starting = False
            await super().start(connection)
            echoed_id = self.headers.get(REQUEST_ID_HEADER)
            if echoed_id is None or echoed_id == expected_id:
                if expected_id is not None and self._may_be_sent_again():
                    _remember_request(connection, expected_id)
                return
            while await self.content.readany():
                pass
        raise ForeignResponsesError(f"{_MAX_SKIPPED_RESPONSES} responses to other requests")

    def _may_be_sent_again(self) -> bool:
        """Return whether the request may be sent again after this response."""
        return self.status >= MIN_FAILURE_STATUS or is_rejection(self.status, self.headers)

    def reset(self) -> None:
        """Reset the connection of a response that was not read completely."""
        if self.connection is not None:
            abort_connection(self.connection)
        self.close()

    def was_reset(self) -> bool:
        """Return whether a close-delimited body was truncated by a connection reset."""
        if not self._is_close_delimited():
            return False
        closed = self._connection_closed
        return closed is None or (closed.done() and closed.exception() is not None)

    def _is_close_delimited(self) -> bool:
        chunked = "chunked" in self.headers.get("Transfer-Encoding", "").lower()
        return "Content-Length" not in self.headers and not chunked

    def _response_eof(self) -> None:
        if self._starting:
            self._eof_while_starting = True
            return
        if self.connection is not None:
            self._set_in_body(self.connection, False)
            self._begin_idle(self.connection)
        super()._response_eof()

    def _begin_idle(self, connection: aiohttp.connector.Connection) -> None:
        if isinstance(connection.protocol, BoundedResponseHandler):
            idle_timeout_ms = decode_idle_timeout(self.headers)
            connection.protocol.begin_idle(_clock.now_ms(), idle_timeout_ms)

    def _set_in_body(self, connection: aiohttp.connector.Connection, in_body: bool) -> None:
        if isinstance(connection.protocol, BoundedResponseHandler):
            connection.protocol.set_in_body(in_body)


def _remember_request(connection: aiohttp.connector.Connection, request_id: str) -> None:
    if isinstance(connection.protocol, BoundedResponseHandler):
        deadline_ms = _progress.get().deadline_ms
        connection.protocol.remember(request_id, deadline_ms, _clock.now_ms())


def abort_connection(connection: aiohttp.connector.Connection) -> None:
    """Reset a connection, so that data not yet delivered is discarded.

    After an ordinary close, a request held up by a broken network link would run once the link
    recovers, although its caller no longer waits for the response.
    """
    if connection.protocol is not None:
        connection.protocol.abort()


def _watch_close(connection: aiohttp.connector.Connection) -> asyncio.Future[None] | None:
    protocol = connection.protocol
    closed = protocol.closed if protocol is not None else None
    if closed is not None:
        # The error is seldom needed; retrieving it keeps asyncio from reporting it as unhandled.
        closed.add_done_callback(_retrieve_error)
    return closed


def _retrieve_error(closed: asyncio.Future[None]) -> None:
    if not closed.cancelled():
        closed.exception()
