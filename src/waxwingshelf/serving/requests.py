"""Handle a caller's request: routing, authentication, rate limit, body, dispatch, response."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
import structlog
from aiohttp import web
from msgspec.structs import asdict

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.names import (
    AFFINITY_HEADER,
    CREDENTIAL_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
)
from waxwingshelf.request_interrupts import RequestInterruptedError, RequestInterrupts
from waxwingshelf.serving.bodies import BodyTooLargeError, read_body
from waxwingshelf.serving.caller_departures import cancel_when_caller_leaves
from waxwingshelf.serving.dispatch_state import DispatchState
from waxwingshelf.serving.dispatcher import Dispatcher
from waxwingshelf.serving.exchange import (
    Exchange,
    choose_retry_after_ms,
    prefer_failed_response,
    refuse,
)
from waxwingshelf.serving.failures import Failures
from waxwingshelf.serving.headers import (
    copy_end_to_end_headers,
    copy_request_headers,
    parse_deadline,
)
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.rate_limiter import Admission, RateLimiter
from waxwingshelf.serving.request_fingerprints import compute_fingerprint
from waxwingshelf.serving.request_targets import RequestTarget, read_target
from waxwingshelf.serving.response_buffer import ResponseBuffer, ResponseHold
from waxwingshelf.serving.response_writer import ResponseWriter
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.upstream import OutgoingRequest, UpstreamResponse
from waxwingshelf.steering.attempts import Attempts
from waxwingshelf.steering.config import OrganisationRule, RouteRule, SteeringConfig
from waxwingshelf.steering.fair_order import OrganisationWeights
from waxwingshelf.steering.refusals import NOT_RUN_STATUSES, Refusal, RefusalReason, Step
from waxwingshelf.steering.routes import (
    choose_service,
    find_route,
    resolve_allowed_regions,
    resolve_priority,
)

__all__ = ["RequestHandler"]

_DEFAULT_DEADLINE_MS = 30_000
# Reserved for the response to reach the caller before the caller times out.
_DEADLINE_MARGIN_MS = 15
# A response sent just before the target's deadline is still in transit when the deadline expires.
_RESPONSE_TRANSIT_MS = 120
_CONFIG_TIMEOUT_S = 0.4
_MS_PER_S = 1_000
_log = structlog.get_logger("requests")


class _ReceivedRequest(msgspec.Struct):
    """A caller's request; `exchange` is set once its route and organisation are known."""

    request: web.BaseRequest
    id: str
    received_ms: int
    hold: ResponseHold
    exchange: Exchange | None = None


class RequestHandler:
    """Handle callers' requests.

    During the graceful shutdown, `closing_connections` closes each connection after its response,
    `refusing_requests` refuses new requests, and `interrupts` ends those that have no result.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        dispatch_state: DispatchState,
        dispatcher: Dispatcher,
        rate_limiter: RateLimiter,
        clock: Clock,
        metrics: Metrics,
        regions: frozenset[str],
        response_buffer: ResponseBuffer,
        response_writer: ResponseWriter,
        failures: Failures,
    ) -> None:
        self._failures = failures
        self._response_buffer = response_buffer
        self._response_writer = response_writer
        self._routing_state = routing_state
        self._dispatch_state = dispatch_state
        self._dispatcher = dispatcher
        self._rate_limiter = rate_limiter
        self._clock = clock
        self._metrics = metrics
        self.regions = regions
        self._weights = OrganisationWeights()
        self.interrupts = RequestInterrupts()
        self.refusing_requests = False
        self.closing_connections = False
        self.in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a request with a target's response or with a refusal.

        A target's response is written here, so that its bytes are held until they have been sent.
        """
        started_ms = self._clock.now_ms()
        self.in_flight += 1
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        hold = self._response_buffer.open_hold()
        received = _ReceivedRequest(request, request_id, started_ms, hold)
        try:
            result = await self._find_result(received)
            if isinstance(result, UpstreamResponse):
                return await self._write_response(request, request_id, result, started_ms)
        finally:
            hold.release()
            self.in_flight -= 1
        return self._build_refusal_response(result, request_id, started_ms)

    async def _find_result(self, received: _ReceivedRequest) -> UpstreamResponse | Refusal:
        """Serve a request; return a refusal if the process ends before it has a result."""
        try:
            with self.interrupts.allow():
                return await self._serve(received)
        except RequestInterruptedError:
            return _refuse_interrupted(received.exchange)
        except Exception as error:
            self._failures.record("request", error, request=received.id)
            refusal = Refusal(RefusalReason.INTERNAL, Step.SEND, maybe_run=True)
            exchange = received.exchange
            return refusal if exchange is None else prefer_failed_response(exchange, refusal)

    async def _serve(self, received: _ReceivedRequest) -> UpstreamResponse | Refusal:
        request = received.request
        if self.refusing_requests:
            return _refuse_stopping()
        config = await self._wait_for_config()
        if config is None:
            return Refusal(
                RefusalReason.NO_CONFIG, Step.ROUTE, retry_after_ms=choose_retry_after_ms()
            )
        target = read_target(request.raw_path, request.headers.get("Host", ""))
        route = find_route(config, target.host, target.raw_path.partition("?")[0])
        if route is None:
            return Refusal(RefusalReason.NO_ROUTE, Step.ROUTE, detail=target.host[:100])
        organisation = _authenticate(request, config, route)
        if isinstance(organisation, Refusal):
            return organisation
        exchange = self._build_exchange(received, target, route, organisation)
        received.exchange = exchange
        exchange.weight = self._weights.get(config, organisation)
        self._dispatch_state.record_request(exchange.service)
        admission = await self._admit(organisation)
        if isinstance(admission, Refusal):
            return admission
        try:
            exchange.outgoing.body = await read_body(request, config.limits.max_body_bytes)
        except BodyTooLargeError:
            return Refusal(RefusalReason.BODY_TOO_LARGE, Step.READ)
        exchange.attempts.repeatable = exchange.outgoing.repeatable
        exchange.outgoing.fingerprint = compute_fingerprint(exchange.outgoing)
        # After a stall, a request and its caller's disconnect may be read together: let the event
        # loop process the disconnect before the request is dispatched.
        await asyncio.sleep(0)
        with cancel_when_caller_leaves(request, exchange.outgoing.body):
            result = await self._dispatcher.dispatch(exchange)
        if isinstance(result, UpstreamResponse):
            with self._failures.contain("response_log", request=received.id):
                _log_response(exchange, result, received.received_ms, self._clock.now_ms())
        if admission.bucket and isinstance(result, Refusal) and not result.maybe_run:
            admission.bucket.refund()
            self._metrics.rate_tokens.labels("returned").inc()
        return result

    async def _wait_for_config(self) -> SteeringConfig | None:
        """Return the configuration, or None if it is not loaded within a short timeout.

        After a start, the configuration normally arrives within one or two round trips.
        """
        if self._routing_state.config is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CONFIG_TIMEOUT_S):
                    await self._routing_state.config_loaded.wait()
        return self._routing_state.config

    async def _admit(self, organisation: OrganisationRule | None) -> Admission | Refusal:
        """Take a token from the organisation's rate limit, if it has one."""
        if organisation is None or organisation.rate_per_s <= 0:
            return Admission(True)
        admission = await self._rate_limiter.acquire(organisation)
        self._metrics.rate_tokens.labels("granted" if admission.granted else "refused").inc()
        if admission.granted:
            return admission
        return Refusal(
            RefusalReason.OVER_RATE,
            Step.ADMIT,
            detail=organisation.name,
            retry_after_ms=admission.wait_ms + choose_retry_after_ms(),
        )

    def _build_exchange(
        self,
        received: _ReceivedRequest,
        target: RequestTarget,
        route: RouteRule,
        organisation: OrganisationRule | None,
    ) -> Exchange:
        request, request_id, started_ms = received.request, received.id, received.received_ms
        headers = copy_request_headers(request.headers)
        headers["Host"] = target.host
        if organisation is not None:
            headers[ORGANISATION_HEADER] = organisation.name
        affinity = request.headers.get(AFFINITY_HEADER, "")
        # The same affinity key means different objects on different routes of a service.
        object_key = f"{route.name}\0{affinity}" if route.sticky and affinity else request_id
        caller_timeout_ms = parse_deadline(request.headers)
        if caller_timeout_ms is None:
            caller_timeout_ms = _DEFAULT_DEADLINE_MS
        caller_timeout_ms -= _DEADLINE_MARGIN_MS
        return Exchange(
            id=request_id,
            route=route,
            service=choose_service(route, request_id),
            object_key=object_key,
            priority=resolve_priority(route, organisation),
            queued_at_ms=started_ms,
            latency_objective_at_ms=started_ms + route.latency_objective_ms,
            deadline_ms=started_ms + min(caller_timeout_ms, route.timeout_ms),
            response_deadline_ms=started_ms
            + min(caller_timeout_ms, route.timeout_ms + _RESPONSE_TRANSIT_MS),
            allowed_regions=resolve_allowed_regions(route, organisation, self.regions),
            outgoing=OutgoingRequest(
                request.method,
                target.raw_path,
                headers,
                None,
                request_id,
                idempotent=route.idempotent,
                hold=received.hold,
            ),
            attempts=Attempts(route.idempotent, route.attempts),
        )

    async def _write_response(
        self,
        request: web.BaseRequest,
        request_id: str,
        upstream_response: UpstreamResponse,
        started_ms: int,
    ) -> web.StreamResponse:
        elapsed_ms = self._clock.now_ms() - started_ms
        self._metrics.requests.labels("target", str(upstream_response.status)).inc()
        self._metrics.durations.labels("target").observe(elapsed_ms / _MS_PER_S)
        return await self._response_writer.write(
            request,
            request_id,
            upstream_response.status,
            copy_end_to_end_headers(upstream_response.headers),
            upstream_response.body,
            closes_connection=self.closing_connections,
        )

    def _build_refusal_response(
        self, refusal: Refusal, request_id: str, started_ms: int
    ) -> web.StreamResponse:
        self._metrics.requests.labels("own", str(refusal.status)).inc()
        self._metrics.refusals.labels(refusal.reason.value).inc()
        _log.info(
            "refused",
            request=request_id,
            reason=refusal.reason.value,
            step=refusal.step.value,
            status=refusal.status,
            peer=refusal.peer,
            detail=refusal.detail,
            maybe_run=refusal.maybe_run,
            retry_after_ms=refusal.retry_after_ms,
            elapsed_ms=self._clock.now_ms() - started_ms,
            **(asdict(refusal.request) if refusal.request else {}),
        )
        headers = {REQUEST_ID_HEADER: request_id} if request_id else {}
        if refusal.status in NOT_RUN_STATUSES and refusal.retry_after_ms > 0:
            headers["Retry-After"] = f"{refusal.retry_after_ms / _MS_PER_S:.3f}"
        text = f"{refusal.reason.value}\n"
        response = web.Response(status=refusal.status, headers=headers, text=text)
        # Callers retry on a new connection; under load, the old connections would accumulate.
        response.force_close()
        return response


def _refuse_stopping() -> Refusal:
    return Refusal(RefusalReason.STOPPING, Step.ADMIT, retry_after_ms=choose_retry_after_ms())


def _refuse_interrupted(exchange: Exchange | None) -> UpstreamResponse | Refusal:
    """Return the answer to a request that the end of the process leaves without a result."""
    if exchange is None:
        return _refuse_stopping()
    step = Step.SEND if exchange.attempts.maybe_run else Step.PLACE
    refusal = refuse(exchange, RefusalReason.STOPPING, step, "the process ends")
    return prefer_failed_response(exchange, refusal)


def _log_response(
    exchange: Exchange, upstream_response: UpstreamResponse, started_ms: int, now_ms: int
) -> None:
    attempt = exchange.last_attempt
    if attempt is None:
        return
    _log.info(
        "answered",
        request=exchange.id,
        fingerprint=exchange.outgoing.fingerprint,
        route=exchange.route.name,
        object=exchange.object_key.partition("\0")[2],
        organisation=exchange.organisation,
        target=upstream_response.target_id,
        status=upstream_response.status,
        sends=exchange.attempts.sends,
        hedged=exchange.hedging.value,
        waited_ms=attempt.sent_ms - started_ms,
        rank=attempt.placement.rank,
        load=attempt.placement.load,
        slots=attempt.state.target.slots,
        warm=attempt.placement.warm,
        known_warm=attempt.placement.known_warm,
        cost_ms=int(attempt.placement.cost_ms),
        slowness=attempt.state.speed.find_recent(now_ms),
        elapsed_ms=now_ms - started_ms,
        objective_ms=exchange.route.latency_objective_ms,
    )


def _authenticate(
    request: web.BaseRequest, config: SteeringConfig, route: RouteRule
) -> OrganisationRule | Refusal | None:
    if route.public or not config.asks_for_keys:
        return None
    key = request.headers.get(CREDENTIAL_HEADER, "")
    organisation = config.organisations_by_key.get(key)
    if organisation is None:
        return Refusal(RefusalReason.UNKNOWN_KEY, Step.AUTHENTICATE, detail=route.name)
    return organisation
