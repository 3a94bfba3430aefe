"""The path of one caller's request: key, rate, body, claim, dispatch, answer."""

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
from waxwingshelf.core.refusals import Ran, Refusal, refuse
from waxwingshelf.ports import Metrics
from waxwingshelf.program.bodies import BodyError, BodyReader
from waxwingshelf.program.control import ControlPlane
from waxwingshelf.program.dispatcher import Dispatcher, Exchange
from waxwingshelf.program.headers import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    ORGANISATION_HEADER,
    REPLAYED_HEADER,
    is_forwarded_to_target,
)
from waxwingshelf.program.problems import build_problem_response
from waxwingshelf.program.responses import ResponseRelay, build_stored_response

__all__ = ["RequestHandler"]

_BEARER = "Bearer "
_SMALL_BODY_BYTES = 65_536
_CLAIM_WAIT_S = 1.0
_RETRY_AFTER_MS = 1_000
_MS_PER_S = 1_000
_MAX_DEADLINE_DIGITS = 9
_log = structlog.get_logger("requests")


@dataclass(slots=True)
class _Caller:
    """A request whose key, rate and deadline have passed."""

    config: Config
    service_name: str
    service: Service
    organisation: str
    request_id: str
    deadline_ms: int


class RequestHandler:
    """Serve requests to services."""

    def __init__(
        self, control: ControlPlane, dispatcher: Dispatcher, clock: Clock, metrics: Metrics
    ) -> None:
        self._control = control
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._response_relay = ResponseRelay(dispatcher, metrics)
        self._background: set[asyncio.Task[object]] = set()
        self.draining = False
        self.in_flight = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request, by a target or by a refusal."""
        started_ms = self._clock.now_ms()
        request_id = secrets.token_hex(8)
        result: web.StreamResponse | Refusal
        self.in_flight += 1
        try:
            result = await self._serve(request, request_id, started_ms)
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
        self, request: web.Request, request_id: str, started_ms: int
    ) -> web.StreamResponse | Refusal:
        caller = await self._admit(request, request_id, started_ms)
        if isinstance(caller, Refusal):
            return caller
        if caller.service.idempotent or request.method in ("GET", "HEAD"):
            return await self._serve_idempotent(request, caller)
        return await self._serve_once(request, caller)

    async def _admit(
        self, request: web.Request, request_id: str, started_ms: int
    ) -> _Caller | Refusal:
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
            refusal = await self._take_token(organisation)
            if refusal is not None:
                return refusal
        return _Caller(config, name, service, organisation, request_id, started_ms + deadline_ms)

    def _authenticate(
        self, request: web.Request, config: Config, service: Service
    ) -> str | Refusal:
        header = request.headers.get("Authorization", "")
        if not header:
            return "" if service.open else refuse(refusals.KEY_MISSING)
        if not header.startswith(_BEARER):
            return refuse(refusals.KEY_INVALID, detail="expected a bearer key")
        organisation = config.find_organisation(header[len(_BEARER) :])
        if organisation is None:
            return refuse(refusals.KEY_INVALID)
        if self._is_stale(service):
            return refuse(refusals.KEYS_STALE, retry_after_ms=_RETRY_AFTER_MS)
        return organisation

    def _is_stale(self, service: Service) -> bool:
        limit_ms = service.stale_key_limit_ms
        if limit_ms is None:
            return False
        age_ms = self._control.state.fence.confirmed_age_ms(self._clock.now_ms())
        if 0 <= age_ms <= limit_ms:
            return False
        return not self._control.state.is_every_holder_alive()

    async def _take_token(self, organisation: str) -> Refusal | None:
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
        self, request: web.Request, caller: _Caller
    ) -> web.StreamResponse | Refusal:
        length = request.content_length
        streamed = length is None or length > _SMALL_BODY_BYTES
        if length is not None and length > caller.service.max_body_bytes:
            return refuse(refusals.BODY_TOO_LARGE)
        body: object = None
        if request.body_exists and streamed:
            body = BodyReader(request, caller.service.max_body_bytes).stream()
        elif request.body_exists:
            body = await BodyReader(request, caller.service.max_body_bytes).read()
        if isinstance(body, Refusal):
            return body
        exchange = self._build_exchange(request, caller, body, "")
        exchange.resendable = not (request.body_exists and streamed)
        try:
            routed = await self._dispatcher.dispatch(caller.config, exchange)
        except BodyError as error:
            return error.refusal
        if isinstance(routed, Refusal):
            return routed
        return await self._response_relay.relay(
            request, caller.service_name, caller.request_id, routed
        )

    async def _serve_once(
        self, request: web.Request, caller: _Caller
    ) -> web.StreamResponse | Refusal:
        request_id = parse_request_id(request.headers.get(IDEMPOTENCY_KEY_HEADER, ""))
        if request_id is None:
            missing = IDEMPOTENCY_KEY_HEADER not in request.headers
            reason = refusals.ID_MISSING if missing else refusals.ID_INVALID
            return refuse(reason, detail="use the prefix from /v1/instances and a text of your own")
        body = await BodyReader(request, caller.service.max_body_bytes).read()
        if isinstance(body, Refusal):
            return body
        claim = Claim(
            organisation=caller.organisation,
            service=caller.service_name,
            request_id=request_id.text,
            epoch=request_id.epoch,
            issued_s=request_id.issued_s,
            fingerprint=_fingerprint(request, body),
            attempt=f"{self._control.state.me.identity}/{caller.request_id}",
        )
        # The caller may go away after the claim is won; the answer is kept for its repeat.
        task = asyncio.create_task(self._run_once(request, caller, claim, request_id, body))
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        answer = await asyncio.shield(task)
        if isinstance(answer, Refusal):
            return answer
        return build_stored_response(answer)

    async def _run_once(
        self,
        request: web.Request,
        caller: _Caller,
        claim: Claim,
        request_id: RequestId,
        body: bytes,
    ) -> StoredResponse | Refusal:
        left_s = (caller.deadline_ms - self._clock.now_ms()) / _MS_PER_S
        result = await self._control.claim(claim, request_id, min(_CLAIM_WAIT_S, left_s))
        if result.state is not ClaimState.WON:
            return _explain_claim(result)
        exchange = self._build_exchange(request, caller, body, claim.request_id)
        try:
            outcome = await self._dispatcher.dispatch(caller.config, exchange)
        except BaseException:
            self._control.abandon_claim(claim.attempt)
            raise
        if isinstance(outcome, Refusal):
            if outcome.ran is Ran.NO:
                self._control.release_claim(claim.attempt)
            else:
                self._control.abandon_claim(claim.attempt)
            return outcome
        answer = await self._response_relay.read_response(caller.service_name, outcome)
        if isinstance(answer, Refusal):
            self._control.abandon_claim(claim.attempt)
            return answer
        self._control.finish_claim(claim.attempt, answer)
        return answer

    def _build_exchange(
        self, request: web.Request, caller: _Caller, body: object, run_id: str
    ) -> Exchange:
        left_ms = max(1, caller.deadline_ms - self._clock.now_ms())
        headers = CIMultiDict(
            (k, v) for k, v in request.headers.items() if is_forwarded_to_target(k)
        )
        headers[REQUEST_ID_HEADER] = caller.request_id
        headers[DEADLINE_HEADER] = str(left_ms)
        if caller.organisation:
            headers[ORGANISATION_HEADER] = caller.organisation
        if run_id:
            headers[IDEMPOTENCY_KEY_HEADER] = run_id
        prefix = f"/s/{caller.service_name}"
        target_request = TargetRequest(
            method=request.method,
            path=request.path_qs[len(prefix) :] or "/",
            headers=headers,
            body=body,
            request_id=caller.request_id,
            timeout_ms=left_ms,
            idempotent=not run_id,
        )
        return Exchange(
            caller.service_name, caller.organisation, target_request, caller.deadline_ms
        )


def _read_deadline(request: web.Request, service: Service) -> int | None:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return service.deadline_ms
    if not text.isdigit() or len(text) > _MAX_DEADLINE_DIGITS or int(text) == 0:
        return None
    return min(int(text), service.deadline_ms)


def _fingerprint(request: web.Request, body: bytes) -> bytes:
    digest = hashlib.blake2b(f"{request.method} {request.path_qs}\n".encode(), digest_size=16)
    digest.update(body)
    return digest.digest()


def _explain_claim(result: ClaimResult) -> StoredResponse | Refusal:
    if result.state is ClaimState.DONE and result.answer is not None:
        answer = result.answer
        return StoredResponse(answer.status, [*answer.headers, (REPLAYED_HEADER, "1")], answer.body)
    reason = {
        ClaimState.NOT_KEPT: refusals.ANSWER_NOT_KEPT,
        ClaimState.REUSED: refusals.ID_REUSED,
        ClaimState.EXPIRED: refusals.ID_EXPIRED,
        ClaimState.LOST: refusals.IN_PROGRESS,
    }.get(result.state, refusals.CLAIM_UNAVAILABLE)
    return refuse(reason, retry_after_ms=_RETRY_AFTER_MS)
