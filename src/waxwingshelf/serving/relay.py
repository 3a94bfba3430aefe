"""Send requests to targets for peers that reach none themselves."""

from __future__ import annotations

import sys

import structlog
from aiohttp import web
from multidict import CIMultiDict

from waxwingshelf.core.clock import Clock
from waxwingshelf.core.opaque_text import show_text
from waxwingshelf.platform.names import REQUEST_ID_HEADER
from waxwingshelf.request_interrupts import RequestInterruptedError, RequestInterrupts
from waxwingshelf.serving.bodies import read_body
from waxwingshelf.serving.caller_departures import cancel_when_caller_leaves
from waxwingshelf.serving.dispatch_state import DispatchState
from waxwingshelf.serving.headers import copy_end_to_end_headers, parse_deadline
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.reachability_prober import ReachabilityProber
from waxwingshelf.serving.relay_messages import (
    FAILURE_HEADER,
    encode_relay_failure,
    split_relay_path,
)
from waxwingshelf.serving.request_fingerprints import compute_fingerprint
from waxwingshelf.serving.response_buffer import ResponseBuffer, ResponseHold
from waxwingshelf.serving.response_writer import ResponseWriter
from waxwingshelf.serving.send_results import FailureKind, OutgoingRequest, SendFailure
from waxwingshelf.serving.upstream import UpstreamClient, UpstreamResponse
from waxwingshelf.steering.targets import TargetRegistry, TargetState

__all__ = ["RelayEndpoint"]

_DEFAULT_TIMEOUT_MS = 30_000
# The peer waits for a response that the target sent just before the deadline.
_RESPONSE_TRANSIT_MS = 120
_log = structlog.get_logger("relay")


class RelayEndpoint:
    """Handle peers' requests; the peer has routed and admitted them and chosen the target."""

    def __init__(
        self,
        upstream: UpstreamClient,
        prober: ReachabilityProber,
        dispatch_state: DispatchState,
        targets: TargetRegistry,
        clock: Clock,
        metrics: Metrics,
        response_buffer: ResponseBuffer,
        response_writer: ResponseWriter,
    ) -> None:
        self._response_buffer = response_buffer
        self._response_writer = response_writer
        self._upstream = upstream
        self._prober = prober
        self._dispatch_state = dispatch_state
        self._targets = targets
        self._clock = clock
        self._metrics = metrics
        self.interrupts = RequestInterrupts()
        self.refusing_requests = False
        self.in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send a peer's request to its target, and write the target's response."""
        self.in_flight += 1
        hold = self._response_buffer.open_hold()
        try:
            return await self._respond(request, hold)
        finally:
            hold.release()
            self.in_flight -= 1

    async def _respond(self, request: web.BaseRequest, hold: ResponseHold) -> web.StreamResponse:
        target_id, raw_path = split_relay_path(request.raw_path)
        outgoing = _build_request(request, raw_path, hold)
        result: UpstreamResponse | SendFailure
        try:
            with self.interrupts.allow():
                result = await self._send(request, target_id, outgoing)
        except RequestInterruptedError:
            kind = FailureKind.BROKEN if outgoing.begun else FailureKind.UNREACHABLE
            result = SendFailure(kind, target_id, "stopping")
        _log_result(outgoing, result)
        if isinstance(result, SendFailure):
            self._metrics.relays.labels("served", result.kind.value).inc()
            return _build_failure_response(request, result)
        self._metrics.relays.labels("served", "response").inc()
        headers = copy_end_to_end_headers(result.headers)
        headers.popall(FAILURE_HEADER, None)
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        return await self._response_writer.write(
            request, request_id, result.status, headers, result.body
        )

    async def _send(
        self, request: web.BaseRequest, target_id: str, outgoing: OutgoingRequest
    ) -> UpstreamResponse | SendFailure:
        if self.refusing_requests or not self._prober.may_send():
            detail = "stopping" if self.refusing_requests else "no target can be reached"
            return SendFailure(FailureKind.UNREACHABLE, target_id, detail)
        state = self._targets.find_usable(target_id)
        if state is None:
            return SendFailure(FailureKind.WITHDRAWN, target_id, "the target is not in use")
        remaining_ms = parse_deadline(request.headers)
        if remaining_ms is not None:
            outgoing.deadline_ms = self._clock.now_ms() + remaining_ms
        # The peer has bounded the body.
        outgoing.body = await read_body(request, max_bytes=sys.maxsize)
        outgoing.fingerprint = compute_fingerprint(outgoing)
        timeout_ms = _DEFAULT_TIMEOUT_MS if remaining_ms is None else remaining_ms
        with cancel_when_caller_leaves(request, outgoing.body):
            result = await self._upstream.fetch(
                state.target,
                outgoing,
                timeout_ms + _RESPONSE_TRANSIT_MS,
                handle_report=lambda report: self._dispatch_state.apply_report(state, report),
                may_still_send=lambda: self._may_send_to(state),
            )
        if isinstance(result, SendFailure) and result.kind is FailureKind.NOT_CONNECTED:
            if await self._prober.are_links_lost():
                return SendFailure(FailureKind.UNREACHABLE, target_id, result.detail)
        return result

    def _may_send_to(self, state: TargetState) -> bool:
        is_usable = self._targets.find_usable(state.target.id) is state
        return is_usable and not state.refuses_requests(self._clock.now_ms())


def _build_request(request: web.BaseRequest, raw_path: str, hold: ResponseHold) -> OutgoingRequest:
    """Return the request for the target, without its body."""
    return OutgoingRequest(
        request.method,
        raw_path,
        copy_end_to_end_headers(request.headers),
        None,
        request.headers.get(REQUEST_ID_HEADER, ""),
        hold=hold,
    )


def _log_result(outgoing: OutgoingRequest, result: UpstreamResponse | SendFailure) -> None:
    """Log what a peer is told of a request; `begun` says that a part of it may be at the target."""
    _log.info(
        "relayed",
        request=outgoing.request_id,
        target=result.target_id,
        result=result.kind.value if isinstance(result, SendFailure) else result.status,
        detail=result.detail if isinstance(result, SendFailure) else str(result.use),
        begun=outgoing.begun,
    )


def _build_failure_response(request: web.BaseRequest, failure: SendFailure) -> web.Response:
    headers: CIMultiDict[str] = encode_relay_failure(failure)
    request_id = request.headers.get(REQUEST_ID_HEADER, "")
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    return web.Response(status=502, headers=headers, text=show_text(failure.detail))
