"""Handle a caller's request: authentication, rate limit, body, claim, dispatch, response."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from dataclasses import dataclass

import structlog
from aiohttp import web
from multidict import CIMultiDict

from waxwingshelf.adapters.target_http import REQUEST_ID_HEADER, TargetRequest
from waxwingshelf.core import refusals
from waxwingshelf.core.budgets import organisation_budget_name
from waxwingshelf.core.claims import ClaimResult, ClaimState, RequestId, parse_request_id
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.config import Config
from waxwingshelf.core.manifest import Service
from waxwingshelf.core.messages import Claim, StoredResponse
from waxwingshelf.core.quantities import parse_count
from waxwingshelf.core.refusals import Ran, Refusal, refuse
from waxwingshelf.ports import Metrics
from waxwingshelf.program.bodies import BodyError, BodyReader
from waxwingshelf.program.control import ControlPlane
from waxwingshelf.program.dispatcher import Dispatcher, Exchange, RoutedResponse
from waxwingshelf.program.headers import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    ORGANISATION_HEADER,
    REPLAYED_HEADER,
    is_forwarded_to_target,
)
from waxwingshelf.program.problems import build_problem_response
from waxwingshelf.program.responses import ResponseRelay, build_web_response
from waxwingshelf.request_interrupts import RequestInterruptedError, RequestInterrupts

__all__ = ["RequestHandler"]

_BEARER_PREFIX = "Bearer "
_MAX_BUFFERED_BODY_BYTES = 65_536
_CLAIM_TIMEOUT_S = 1.0
_RETRY_AFTER_MS = 1_000
_MS_PER_S = 1_000
_MAX_DEADLINE_DIGITS = 9
_log = structlog.get_logger("requests")


@dataclass(slots=True)
class _RequestContext:
    """A request that passed authentication, the deadline check and the rate limit."""

    config: Config
    service_name: str
    service: Service
    organisation: str
    request_id: str
    deadline_ms: int


@dataclass(slots=True)
class _Progress:
    """How far a request has come: dispatched, or in a task that goes on without its caller."""

    exchange: Exchange | None = None
    background_task: asyncio.Task[object] | None = None


class RequestHandler:
    """Handle callers' requests to services.

    New requests are refused while `draining` is set, and `interrupts` ends those without a result.
    """

    def __init__(
        self, control: ControlPlane, dispatcher: Dispatcher, clock: Clock, metrics: Metrics
    ) -> None:
        self._control = control
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._response_relay = ResponseRelay(dispatcher, metrics)
        self._background_tasks: set[asyncio.Task[object]] = set()
        self.interrupts = RequestInterrupts()
        self.draining = False
        self.in_flight = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Respond to a request with a target's response or with a refusal."""
        started_ms = self._clock.now_ms()
        request_id = secrets.token_hex(8)
        result: web.StreamResponse | Refusal
        self.in_flight += 1
        progress = _Progress()
        try:
            result = await self._serve(request, request_id, started_ms, progress)
        except RequestInterruptedError:
            result = await self._refuse_interrupted(progress)
        except Exception:
            _log.exception("failed", request_id=request_id)
            result = refuse(refusals.INTERNAL_ERROR)
        finally:
            self.in_flight -= 1
        if isinstance(result, Refusal):
            self._metrics.count(f"refused.{result.reason.name}")
            _log.info(
                "refused",
                request_id=request_id,
                reason=result.reason.name,
                step=result.reason.step.value,
                peer=result.peer,
                ran=result.ran.value,
                detail=result.detail,
            )
            return build_problem_response(result, request_id, close_connection=self.draining)
        self._metrics.count("answered")
        self._metrics.time("request_ms", self._clock.now_ms() - started_ms)
        return result

    async def _serve(
        self, request: web.Request, request_id: str, started_ms: int, progress: _Progress
    ) -> web.StreamResponse | Refusal:
        with self.interrupts.allow():
            result = await self._find_result(request, request_id, started_ms, progress)
        if isinstance(result, RoutedResponse):
            # Streaming has no interruption: a response that has begun cannot be replaced.
            service_name = request.match_info["service"]
            return await self._response_relay.relay(request, service_name, request_id, result)
        return result

    async def _find_result(
        self, request: web.Request, request_id: str, started_ms: int, progress: _Progress
    ) -> RoutedResponse | web.StreamResponse | Refusal:
        context = await self._admit(request, request_id, started_ms)
        if isinstance(context, Refusal):
            return context
        if context.service.idempotent or request.method in ("GET", "HEAD"):
            return await self._serve_idempotent(request, context, progress)
        return await self._serve_non_idempotent(request, context, progress)

    async def _refuse_interrupted(self, progress: _Progress) -> Refusal:
        """Return the refusal of a request that the end of the process leaves without a result."""
        exchange, task = progress.exchange, progress.background_task
        if exchange is not None and exchange.ran is not Ran.NO:
            return refuse(refusals.TARGET_FAILED, detail="the instance stops before the response")
        if task is not None:
            # No target gets the request any more once the task has ended.
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        return refuse(refusals.DRAINING, retry_after_ms=_RETRY_AFTER_MS)

    async def _admit(
        self, request: web.Request, request_id: str, started_ms: int
    ) -> _RequestContext | Refusal:
        config = self._control.config
        if self.draining:
            return refuse(refusals.DRAINING, retry_after_ms=_RETRY_AFTER_MS)
        if config is None:
            return refuse(refusals.NOT_READY, retry_after_ms=_RETRY_AFTER_MS)
        name = request.match_info["service"]
        service = config.manifest.services.get(name)
        if service is None:
            return refuse(refusals.SERVICE_UNKNOWN, detail=name[:100])
        organisation = self._authenticate(request, config, service)
        if isinstance(organisation, Refusal):
            return organisation
        deadline_ms = _read_deadline(request, service)
        if deadline_ms is None:
            detail = f"{DEADLINE_HEADER} must be a positive whole number of milliseconds"
            return refuse(refusals.BAD_REQUEST, detail=detail)
        if organisation:
            refusal = await self._acquire_token(organisation)
            if refusal is not None:
                return refusal
        return _RequestContext(
            config, name, service, organisation, request_id, started_ms + deadline_ms
        )

    def _authenticate(
        self, request: web.Request, config: Config, service: Service
    ) -> str | Refusal:
        header = request.headers.get("Authorization", "")
        if not header:
            return "" if service.open else refuse(refusals.KEY_MISSING)
        if not header.startswith(_BEARER_PREFIX):
            return refuse(refusals.KEY_INVALID, detail="expected a bearer key")
        organisation = config.find_organisation(header[len(_BEARER_PREFIX) :])
        if organisation is None:
            return refuse(refusals.KEY_INVALID)
        if self._are_keys_stale(service):
            return refuse(refusals.KEYS_STALE, retry_after_ms=_RETRY_AFTER_MS)
        return organisation

    def _are_keys_stale(self, service: Service) -> bool:
        limit_ms = service.stale_key_limit_ms
        if limit_ms is None:
            return False
        age_ms = self._control.state.fence.confirmed_age_ms(self._clock.now_ms())
        if 0 <= age_ms <= limit_ms:
            return False
        return not self._control.state.is_every_holder_alive()

    async def _acquire_token(self, organisation: str) -> Refusal | None:
        budget = organisation_budget_name(organisation)
        if await self._control.take_or_wait(budget) is not None:
            return None
        state = self._control.state
        holding = state.shares.find_holding(budget)
        if holding is None or not state.can_use_shares():
            return refuse(refusals.NO_SHARE, retry_after_ms=_RETRY_AFTER_MS)
        wait_ms = holding.wait_ms(self._clock.now_ms())
        return refuse(refusals.RATE_EXCEEDED, retry_after_ms=wait_ms)

    async def _serve_idempotent(
        self, request: web.Request, context: _RequestContext, progress: _Progress
    ) -> RoutedResponse | Refusal:
        length = request.content_length
        is_streamed = length is None or length > _MAX_BUFFERED_BODY_BYTES
        if length is not None and length > context.service.max_body_bytes:
            return refuse(refusals.BODY_TOO_LARGE)
        body: object = None
        if request.body_exists and is_streamed:
            body = BodyReader(request, context.service.max_body_bytes).stream()
        elif request.body_exists:
            body = await BodyReader(request, context.service.max_body_bytes).read()
        if isinstance(body, Refusal):
            return body
        exchange = progress.exchange = self._build_exchange(request, context, body, "")
        exchange.resendable = not (request.body_exists and is_streamed)
        try:
            return await self._dispatcher.dispatch(context.config, exchange)
        except BodyError as error:
            return error.refusal

    async def _serve_non_idempotent(
        self, request: web.Request, context: _RequestContext, progress: _Progress
    ) -> web.StreamResponse | Refusal:
        idempotency_key = parse_request_id(request.headers.get(IDEMPOTENCY_KEY_HEADER, ""))
        if idempotency_key is None:
            missing = IDEMPOTENCY_KEY_HEADER not in request.headers
            reason = refusals.ID_MISSING if missing else refusals.ID_INVALID
            return refuse(reason, detail="use the prefix from /v1/instances and a text of your own")
        body = await BodyReader(request, context.service.max_body_bytes).read()
        if isinstance(body, Refusal):
            return body
        claim = Claim(
            organisation=context.organisation,
            service=context.service_name,
            request_id=idempotency_key.text,
            epoch=idempotency_key.epoch,
            issued_s=idempotency_key.issued_s,
            fingerprint=_hash_request(request, body),
            attempt=f"{self._control.state.me.identity}/{context.request_id}",
        )
        # If the caller disconnects after the claim is won, the request still runs to its end, and
        # its response is stored for a repeat of the request.
        task = asyncio.create_task(
            self._claim_and_dispatch(request, context, claim, idempotency_key, body, progress)
        )
        progress.background_task = task
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        response = await asyncio.shield(task)
        if isinstance(response, Refusal):
            return response
        return build_web_response(response)

    async def _claim_and_dispatch(
        self,
        request: web.Request,
        context: _RequestContext,
        claim: Claim,
        idempotency_key: RequestId,
        body: bytes,
        progress: _Progress,
    ) -> StoredResponse | Refusal:
        remaining_s = (context.deadline_ms - self._clock.now_ms()) / _MS_PER_S
        result = await self._control.claim(
            claim, idempotency_key, min(_CLAIM_TIMEOUT_S, remaining_s)
        )
        if result.state is not ClaimState.WON:
            return _interpret_claim_result(result)
        exchange = self._build_exchange(request, context, body, claim.request_id)
        progress.exchange = exchange
        try:
            routed = await self._dispatcher.dispatch(context.config, exchange)
        except BaseException:
            self._give_up_claim(claim, exchange.ran)
            raise
        if isinstance(routed, Refusal):
            self._give_up_claim(claim, routed.ran)
            return routed
        response = await self._response_relay.read_response(context.service_name, routed)
        if isinstance(response, Refusal):
            self._control.abandon_claim(claim.attempt)
            return response
        self._control.finish_claim(claim.attempt, response)
        return response

    def _give_up_claim(self, claim: Claim, ran: Ran) -> None:
        """Release the claim of a request without a response, or leave it claimed if it may run."""
        if ran is Ran.NO:
            self._control.release_claim(claim.attempt)
        else:
            self._control.abandon_claim(claim.attempt)

    def _build_exchange(
        self, request: web.Request, context: _RequestContext, body: object, idempotency_key: str
    ) -> Exchange:
        remaining_ms = max(1, context.deadline_ms - self._clock.now_ms())
        headers = CIMultiDict(
            (k, v) for k, v in request.headers.items() if is_forwarded_to_target(k)
        )
        headers[REQUEST_ID_HEADER] = context.request_id
        headers[DEADLINE_HEADER] = str(remaining_ms)
        if context.organisation:
            headers[ORGANISATION_HEADER] = context.organisation
        if idempotency_key:
            headers[IDEMPOTENCY_KEY_HEADER] = idempotency_key
        prefix = f"/s/{context.service_name}"
        target_request = TargetRequest(
            method=request.method,
            path=request.path_qs[len(prefix) :] or "/",
            headers=headers,
            body=body,
            request_id=context.request_id,
            timeout_ms=remaining_ms,
            idempotent=not idempotency_key,
        )
        return Exchange(
            context.service_name, context.organisation, target_request, context.deadline_ms
        )


def _read_deadline(request: web.Request, service: Service) -> int | None:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return service.deadline_ms
    deadline_ms = parse_count(text, _MAX_DEADLINE_DIGITS)
    if not deadline_ms:
        return None
    return min(deadline_ms, service.deadline_ms)


def _hash_request(request: web.Request, body: bytes) -> bytes:
    digest = hashlib.blake2b(f"{request.method} {request.path_qs}\n".encode(), digest_size=16)
    digest.update(body)
    return digest.digest()


def _interpret_claim_result(result: ClaimResult) -> StoredResponse | Refusal:
    """Return the stored response of a finished request, or the refusal for a claim not won."""
    if result.state is ClaimState.DONE and result.answer is not None:
        stored = result.answer
        return StoredResponse(stored.status, [*stored.headers, (REPLAYED_HEADER, "1")], stored.body)
    reason = {
        ClaimState.NOT_KEPT: refusals.ANSWER_NOT_KEPT,
        ClaimState.REUSED: refusals.ID_REUSED,
        ClaimState.EXPIRED: refusals.ID_EXPIRED,
        ClaimState.LOST: refusals.IN_PROGRESS,
    }.get(result.state, refusals.CLAIM_UNAVAILABLE)
    return refuse(reason, retry_after_ms=_RETRY_AFTER_MS)
