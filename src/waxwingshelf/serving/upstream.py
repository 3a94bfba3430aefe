"""Send a request to a target and classify its response or failure."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from dataclasses import dataclass
from enum import StrEnum

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from waxwingshelf.core.clock import SystemClock
from waxwingshelf.platform.names import (
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    RESPONDING_TARGET_HEADER,
    SIGNATURE_HEADER,
)
from waxwingshelf.platform.target_responses import (
    MISDIRECTED_REQUEST,
    decode_idle_timeout,
    decode_target_report,
)
from waxwingshelf.serving.client_sessions import (
    SocketFactory,
    build_session,
    open_client_socket,
)
from waxwingshelf.serving.response_buffer import (
    BoundedResponseHandler,
    ResponseBuffer,
    ResponseLimitError,
)
from waxwingshelf.serving.target_connections import (
    TargetConnection,
    TargetConnector,
    TargetContact,
)
from waxwingshelf.steering.target_reports import TargetReport
from waxwingshelf.steering.targets import Target

__all__ = ["FailureKind", "OutgoingRequest", "SendFailure", "UpstreamClient", "UpstreamResponse"]

# Shorter than the time after which targets close idle connections.
_KEEPALIVE_S = 4.0
# A request must reach a target before it closes the idle connection.
_IDLE_MARGIN_MS = 500
_MAX_SKIPPED_RESPONSES = 16
_MS_PER_S = 1_000
_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
_clock = SystemClock()
ReportHandler = Callable[[TargetReport], None]


class FailureKind(StrEnum):
    """Why an attempt produced no response to forward."""

    NOT_CONNECTED = "not_connected"
    WITHDRAWN = "withdrawn"
    SHED = "shed"
    WRONG_TARGET = "wrong_target"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    CROSSED = "crossed"
    UNSIGNED = "unsigned"
    TOO_LARGE = "too_large"

    @property
    def certainly_not_run(self) -> bool:
        """Return whether the request certainly did not run and never will."""
        return self in _NOT_RUN_KINDS


_NOT_RUN_KINDS = frozenset(
    {
        FailureKind.NOT_CONNECTED,
        FailureKind.WITHDRAWN,
        FailureKind.SHED,
        FailureKind.WRONG_TARGET,
    }
)


@dataclass(frozen=True, slots=True)
class SendFailure:
    """An attempt that produced no response to forward."""

    kind: FailureKind
    target_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """The complete response of a target."""

    target_id: str
    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


@dataclass(slots=True)
class OutgoingRequest:
    """A request to send to a target; a streamed body can be sent only once.

    The target is told how much time remains until `deadline_ms`, a clock reading, at the send.
    """

    method: str
    raw_path: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None
    request_id: str
    deadline_ms: int | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether the body can be sent again."""
        return self.body is None or isinstance(self.body, bytes)


class _BodyResetError(Exception):
    """A close-delimited body was truncated by a connection reset."""


class _IdleConnectionError(aiohttp.ClientError):
    """The target may be about to close the connection that the pool chose."""


class _SendWithdrawnError(aiohttp.ClientError):
    """The target stopped accepting requests, or the deadline passed, before the send."""


@dataclass(slots=True)
class _SendProgress:
    """The permission of a request to be sent, its deadline, and whether writing it has begun."""

    may_still_send: Callable[[], bool]
    deadline_ms: int | None
    begun: bool = False


# The progress of the request that the current task sends.
_progress: ContextVar[_SendProgress] = ContextVar("send_progress")


class _CheckedRequest(aiohttp.ClientRequest):
    """A request that checks its permission again once it has a connection."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request, or raise `_SendWithdrawnError` or `_IdleConnectionError`."""
        protocol = conn.protocol
        if isinstance(protocol, BoundedResponseHandler):
            if protocol.is_idle_too_long(_clock.now_ms()):
                raise _IdleConnectionError
            protocol.set_idle_until(None)
        progress = _progress.get()
        if not progress.may_still_send():
            raise _SendWithdrawnError
        if progress.deadline_ms is not None:
            remaining_ms = progress.deadline_ms - _clock.now_ms()
            if remaining_ms <= 0:
                raise _SendWithdrawnError
            self.headers[DEADLINE_HEADER] = str(remaining_ms)
        progress.begun = True
        return await super().send(conn)


class MatchedResponse(aiohttp.ClientResponse):
    """A response that skips responses to other requests on the same connection.

    A target may send a second response to an earlier request; the request id that the target
    echoes identifies the request that a response belongs to.
    """

    _starting = False
    _eof_while_starting = False
    _connection_closed: asyncio.Future[None] | None = None

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
                return
            while await self.content.readany():
                pass
        raise ResponseLimitError(f"{_MAX_SKIPPED_RESPONSES} responses to other requests")

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
            self._set_idle_until(self.connection)
        super()._response_eof()

    def _set_idle_until(self, connection: aiohttp.connector.Connection) -> None:
        idle_timeout_ms = decode_idle_timeout(self.headers)
        if idle_timeout_ms is None or not isinstance(connection.protocol, BoundedResponseHandler):
            return
        until_ms = _clock.now_ms() + idle_timeout_ms - _IDLE_MARGIN_MS
        connection.protocol.set_idle_until(until_ms)

    def _set_in_body(self, connection: aiohttp.connector.Connection, in_body: bool) -> None:
        if isinstance(connection.protocol, BoundedResponseHandler):
            connection.protocol.set_in_body(in_body)


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


def _allow() -> bool:
    """Allow the send; the default permission."""
    return True


def _ignore_report(report: TargetReport) -> None:
    """Ignore what a target says of itself; the default handler of reports."""


class UpstreamClient:
    """Send requests to targets over pooled connections."""

    def __init__(
        self, contact: TargetContact, open_socket: SocketFactory = open_client_socket
    ) -> None:
        self._contact = contact
        self._open_socket = open_socket
        self._session: aiohttp.ClientSession | None = None
        self._buffer = ResponseBuffer()

    async def send(
        self,
        target: Target,
        request: OutgoingRequest,
        timeout_ms: int,
        handle_report: ReportHandler = _ignore_report,
        may_still_send: Callable[[], bool] = _allow,
    ) -> UpstreamResponse | SendFailure:
        """Send a request and read the complete response; cancellation closes the connection.

        `may_still_send` is asked once there is a connection: a new one may take a while, and this
        process may have been paused. `handle_report` gets what the response says of its target as
        soon as its head is read.
        """
        if self._session is None:
            self._session = build_session(
                _KEEPALIVE_S,
                response_class=MatchedResponse,
                request_class=_CheckedRequest,
                protocol_class=functools.partial(TargetConnection, self._contact),
                connector_class=functools.partial(TargetConnector, self._contact),
                open_socket=self._open_socket,
            )
        progress = _SendProgress(may_still_send, request.deadline_ms)
        _progress.set(progress)
        url = URL(f"http://{target.host}:{target.port}{request.raw_path}", encoded=True)
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                async with self._request(request, url) as response:
                    report = decode_target_report(
                        response.status, response.headers, target.id, request.request_id
                    )
                    if report is not None:
                        handle_report(report)
                    body = await self._read_body(response)
        except _BodyResetError:
            return SendFailure(
                FailureKind.BROKEN, target.id, "connection reset while reading the body"
            )
        except ResponseLimitError as error:
            return SendFailure(FailureKind.TOO_LARGE, target.id, str(error))
        except _SendWithdrawnError:
            detail = "the target stopped accepting requests, or the deadline passed"
            return SendFailure(FailureKind.WITHDRAWN, target.id, detail)
        except aiohttp.ClientConnectorError as error:
            return SendFailure(FailureKind.NOT_CONNECTED, target.id, str(error))
        except TimeoutError:
            if not progress.begun:
                detail = f"no connection within {timeout_ms} ms"
                return SendFailure(FailureKind.NOT_CONNECTED, target.id, detail)
            return SendFailure(
                FailureKind.TIMEOUT, target.id, f"no response within {timeout_ms} ms"
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return SendFailure(FailureKind.BROKEN, target.id, repr(error))
        return _classify_response(target, request, response, body)

    @contextlib.asynccontextmanager
    async def _request(
        self, request: OutgoingRequest, url: URL
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request on a connection that the target has not announced to close by now."""
        assert self._session is not None
        while True:
            try:
                response = await self._session.request(
                    request.method,
                    url,
                    headers=request.headers,
                    data=request.body,
                    allow_redirects=False,
                    skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                )
                break
            except _IdleConnectionError:
                # The connection is closed; the pool chooses another or opens one.
                continue
        async with response:
            yield response

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        try:
            body = await self._buffer.read(response)
        except BaseException:
            if isinstance(response, MatchedResponse):
                response.reset()
            raise
        if isinstance(response, MatchedResponse) and response.was_reset():
            raise _BodyResetError
        return body

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


def _classify_response(
    target: Target, request: OutgoingRequest, response: aiohttp.ClientResponse, body: bytes
) -> UpstreamResponse | SendFailure:
    headers = response.headers
    if response.status == MISDIRECTED_REQUEST:
        detail = f"response from {headers.get(RESPONDING_TARGET_HEADER, 'another target')}"
        return SendFailure(FailureKind.WRONG_TARGET, target.id, detail)
    if NOT_RUN_HEADER in headers:
        return SendFailure(FailureKind.SHED, target.id, f"status {response.status}")
    if headers.get(REQUEST_ID_HEADER) != request.request_id:
        return SendFailure(FailureKind.CROSSED, target.id, "response without the id of the request")
    if SIGNATURE_HEADER not in headers:
        return SendFailure(FailureKind.UNSIGNED, target.id, f"status {response.status}")
    return UpstreamResponse(target.id, response.status, headers, body)
