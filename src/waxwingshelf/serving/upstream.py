"""Send a request to a target and classify its response or failure."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
from msgspec.structs import replace
from yarl import URL

from waxwingshelf.core.clock import SystemClock
from waxwingshelf.platform.names import (
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    RESPONDING_TARGET_HEADER,
    SIGNATURE_HEADER,
)
from waxwingshelf.platform.target_responses import MISDIRECTED_REQUEST, decode_target_report
from waxwingshelf.serving.client_exchange import (
    CheckedRequest,
    ForeignResponsesError,
    MatchedResponse,
    SendProgress,
    SendWithdrawnError,
    UnusableConnectionError,
    set_progress,
)
from waxwingshelf.serving.client_sessions import (
    SocketFactory,
    build_session,
    open_client_socket,
)
from waxwingshelf.serving.relay_messages import build_relay_path, decode_relay_failure
from waxwingshelf.serving.response_buffer import (
    BoundedResponseHandler,
    ResponseBuffer,
    ResponseLimitError,
)
from waxwingshelf.serving.send_results import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamResponse,
    allow_send,
)
from waxwingshelf.serving.target_connections import (
    LinksLostError,
    TargetConnection,
    TargetConnector,
    TargetContact,
)
from waxwingshelf.steering.fleet import PeerAddress
from waxwingshelf.steering.refusals import NOT_RUN_STATUSES
from waxwingshelf.steering.target_reports import TargetReport
from waxwingshelf.steering.targets import Target

__all__ = [
    "FailureKind",
    "OutgoingRequest",
    "ReportHandler",
    "SendFailure",
    "UpstreamClient",
    "UpstreamResponse",
    "classify_response",
]

# The pool keeps idle connections for at most this long; those whose target may have closed them are
# not used (see `BoundedResponseHandler.is_idle_too_long`).
_MAX_KEEPALIVE_S = 30.0
# A lost opening packet is sent again after a second; another target is asked before that.
_CONNECT_TIMEOUT_S = 0.75
_MS_PER_S = 1_000
_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
_clock = SystemClock()
ReportHandler = Callable[[TargetReport], None]
ResultHandler = Callable[[Target, OutgoingRequest, UpstreamResponse | SendFailure], None]


class _BodyResetError(Exception):
    """A close-delimited body was truncated by a connection reset."""


def _ignore_report(report: TargetReport) -> None:
    """Ignore what a target says of itself; the default handler of reports."""


class UpstreamClient:
    """Send requests to targets over pooled connections, directly or through a peer."""

    def __init__(
        self,
        contact: TargetContact,
        open_socket: SocketFactory = open_client_socket,
        buffer: ResponseBuffer | None = None,
    ) -> None:
        self._contact = contact
        self._open_socket = open_socket
        self._session: aiohttp.ClientSession | None = None
        self._peer_session: aiohttp.ClientSession | None = None
        self._buffer = buffer or ResponseBuffer()
        # The sends in progress to targets with their timeouts, in the order in which they began.
        self._sends: dict[SendProgress, asyncio.Timeout] = {}
        self.result_handlers: list[ResultHandler] = []

    async def send(
        self,
        target: Target,
        request: OutgoingRequest,
        timeout_ms: int,
        handle_report: ReportHandler = _ignore_report,
        may_still_send: Callable[[], bool] = allow_send,
    ) -> UpstreamResponse | SendFailure:
        """Send a request and read the complete response; cancellation closes the connection.

        `may_still_send` is asked once there is a connection: a new one may take a while, and this
        process may have been paused. `handle_report` gets what the response says of its target as
        soon as its head is read.
        """
        result = await self.fetch(target, request, timeout_ms, handle_report, may_still_send)
        return classify_response(target, request, result)

    async def fetch(
        self,
        target: Target,
        request: OutgoingRequest,
        timeout_ms: int,
        handle_report: ReportHandler = _ignore_report,
        may_still_send: Callable[[], bool] = allow_send,
    ) -> UpstreamResponse | SendFailure:
        """Send a request like `send`, and return any complete response as it came."""
        if self._session is None:
            self._session = _build_session(
                protocol_class=functools.partial(TargetConnection, self._contact),
                connector_class=functools.partial(TargetConnector, self._contact),
                open_socket=self._open_socket,
            )
        url = f"http://{target.host}:{target.port}{request.raw_path}"
        progress = _start_progress(request, request.raw_path, may_still_send)
        timeout = self._sends[progress] = asyncio.timeout(timeout_ms / _MS_PER_S)
        try:
            result = await self._exchange(
                self._session,
                URL(url, encoded=True),
                target,
                request,
                progress,
                timeout,
                handle_report,
            )
        finally:
            del self._sends[progress]
            progress.may_still_send = allow_send
        if not progress.abandoned:
            classified = classify_response(target, request, result)
            for handle_result in self.result_handlers:
                handle_result(target, request, classified)
        return result

    async def fetch_through(
        self,
        peer: PeerAddress,
        target: Target,
        request: OutgoingRequest,
        timeout_ms: int,
        handle_report: ReportHandler = _ignore_report,
        may_still_send: Callable[[], bool] = allow_send,
    ) -> UpstreamResponse | SendFailure:
        """Let a peer send a request to a target, and return any complete response as it came.

        The result is `UNREACHABLE` if the peer cannot be asked, or reaches no target either.
        """
        if self._peer_session is None:
            self._peer_session = _build_session(protocol_class=BoundedResponseHandler)
        path = build_relay_path(target.id, request.raw_path)
        url = URL(f"http://{peer.host}:{peer.state_port}{path}", encoded=True)
        progress = _start_progress(request, path, may_still_send)
        timeout = asyncio.timeout(timeout_ms / _MS_PER_S)
        result = await self._exchange(
            self._peer_session, url, target, request, progress, timeout, handle_report
        )
        if isinstance(result, UpstreamResponse):
            return decode_relay_failure(result) or result
        if result.kind is FailureKind.NOT_CONNECTED:
            return replace(result, kind=FailureKind.UNREACHABLE)
        return result

    def measure_in_flight(self) -> tuple[int, int]:
        """Return the number of sends in progress to targets, and the age of the oldest in ms."""
        oldest = next(iter(self._sends), None)
        age_ms = 0 if oldest is None else _clock.now_ms() - oldest.started_ms
        return len(self._sends), age_ms

    def abandon_stuck(self, including_sent: bool) -> None:
        """End the sends that wait for a connection, and idempotent ones too if `including_sent`."""
        now_s = asyncio.get_running_loop().time()
        for progress, timeout in self._sends.items():
            is_stuck = not progress.begun or (including_sent and progress.is_idempotent)
            if is_stuck and not timeout.expired():
                progress.abandoned = True
                timeout.reschedule(now_s)

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        url: URL,
        target: Target,
        request: OutgoingRequest,
        progress: SendProgress,
        timeout: asyncio.Timeout,
        handle_report: ReportHandler,
    ) -> UpstreamResponse | SendFailure:
        set_progress(progress)
        request.begun = False
        try:
            async with timeout:
                async with _request(session, request, url) as response:
                    report = decode_target_report(
                        response.status, response.headers, target.id, request.request_id
                    )
                    if report is not None:
                        handle_report(report)
                    body = await self._read_body(response, request)
        except _BodyResetError:
            return SendFailure(
                FailureKind.BROKEN, target.id, "connection reset while reading the body"
            )
        except ForeignResponsesError as error:
            return SendFailure(FailureKind.CROSSED, target.id, str(error))
        except ResponseLimitError as error:
            return SendFailure(FailureKind.TOO_LARGE, target.id, str(error))
        except SendWithdrawnError:
            detail = "the target stopped accepting requests, or the deadline passed"
            return SendFailure(FailureKind.WITHDRAWN, target.id, detail)
        except (LinksLostError, aiohttp.ClientConnectorError) as error:
            return SendFailure(FailureKind.NOT_CONNECTED, target.id, str(error))
        except TimeoutError:
            return _classify_timeout(target, progress)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return SendFailure(FailureKind.BROKEN, target.id, repr(error))
        finally:
            request.begun = progress.begun
        return UpstreamResponse(target.id, response.status, response.headers, body, progress.use)

    async def _read_body(self, response: aiohttp.ClientResponse, request: OutgoingRequest) -> bytes:
        try:
            body = await self._buffer.read(response, request.hold)
        except BaseException:
            if isinstance(response, MatchedResponse):
                response.reset()
            raise
        if isinstance(response, MatchedResponse) and response.was_reset():
            raise _BodyResetError
        return body

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._session, self._peer_session):
            if session is not None:
                await session.close()


def _build_session(**options: Any) -> aiohttp.ClientSession:
    return build_session(
        _MAX_KEEPALIVE_S,
        response_class=MatchedResponse,
        request_class=CheckedRequest,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
        **options,
    )


def _start_progress(
    request: OutgoingRequest, raw_path: str, may_still_send: Callable[[], bool]
) -> SendProgress:
    return SendProgress(
        raw_path, may_still_send, request.deadline_ms, _clock.now_ms(), request.idempotent
    )


@contextlib.asynccontextmanager
async def _request(
    session: aiohttp.ClientSession, request: OutgoingRequest, url: URL
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a request on the first connection that may carry it."""
    while True:
        try:
            response = await session.request(
                request.method,
                url,
                headers=request.headers,
                data=request.body,
                allow_redirects=False,
                skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            )
            break
        except UnusableConnectionError:
            # The connection is closed; the pool chooses another or opens one.
            continue
    async with response:
        yield response


def _classify_timeout(target: Target, progress: SendProgress) -> SendFailure:
    elapsed_ms = _clock.now_ms() - progress.started_ms
    if not progress.begun:
        detail = f"no connection within {elapsed_ms} ms"
        return SendFailure(FailureKind.NOT_CONNECTED, target.id, detail)
    detail = f"no response within {elapsed_ms} ms"
    kind = FailureKind.BROKEN if progress.abandoned else FailureKind.TIMEOUT
    return SendFailure(kind, target.id, detail)


def classify_response(
    target: Target, request: OutgoingRequest, response: UpstreamResponse | SendFailure
) -> UpstreamResponse | SendFailure:
    """Return a response that may be forwarded to the caller, or why it must not."""
    if isinstance(response, SendFailure):
        return response
    headers = response.headers
    echoed_id = headers.get(REQUEST_ID_HEADER, "")
    if echoed_id != request.request_id:
        # This also holds for a rejection: only one that names the request says that it did not run.
        return SendFailure(FailureKind.CROSSED, target.id, "response without the id of the request")
    if response.status == MISDIRECTED_REQUEST:
        sender = headers.get(RESPONDING_TARGET_HEADER, "another target")
        detail = f"response from {sender} on {response.use}"
        return SendFailure(FailureKind.WRONG_TARGET, target.id, detail)
    if NOT_RUN_HEADER in headers:
        detail = f"status {response.status} on {response.use}"
        return SendFailure(FailureKind.SHED, target.id, detail)
    if not echoed_id or SIGNATURE_HEADER not in headers:
        return SendFailure(FailureKind.UNSIGNED, target.id, f"status {response.status}")
    if response.status in NOT_RUN_STATUSES and not request.idempotent:
        return SendFailure(FailureKind.UNCONFIRMED, target.id, f"status {response.status}")
    return response
