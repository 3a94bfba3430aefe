"""Bring one admitted request to a target: place, send, and act on what came back."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.names import DEADLINE_HEADER, TARGET_HEADER
from waxwingshelf.serving.beliefs import Beliefs
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.services import Services
from waxwingshelf.serving.upstream import (
    Answered,
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamClient,
)
from waxwingshelf.steering.attempts import AttemptEnd, Attempts, NextStep
from waxwingshelf.steering.config import RouteRule
from waxwingshelf.steering.placement import Placement, PlacementRequest
from waxwingshelf.steering.refusals import Refusal, RefusalReason, Step

__all__ = ["Dispatcher", "Exchange", "pick_return_ms"]

_RETURN_MS = (150, 450)
_FAILED_STATUS = 500
_ENDS = {
    FailureKind.NOT_CONNECTED: AttemptEnd.NOT_CONNECTED,
    FailureKind.SHED: AttemptEnd.NOT_RUN,
    FailureKind.WRONG_TARGET: AttemptEnd.NOT_RUN,
    FailureKind.TIMEOUT: AttemptEnd.TIMED_OUT,
}
_log = structlog.get_logger("dispatcher")
_rng = random.Random()


@dataclass(slots=True)
class Exchange:
    """One request on its way; `deadline_ms` is a clock reading."""

    id: str
    route: RouteRule
    service: str
    object_key: str
    deadline_ms: int
    allowed_regions: frozenset[str]
    outgoing: OutgoingRequest
    attempts: Attempts
    excluded: set[str] = field(default_factory=set)
    failed_answer: Answered | None = None
    peer: str = ""


class Dispatcher:
    """Own the way of requests to targets."""

    def __init__(
        self,
        beliefs: Beliefs,
        services: Services,
        upstream: UpstreamClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._beliefs = beliefs
        self._services = services
        self._upstream = upstream
        self._clock = clock
        self._metrics = metrics

    async def dispatch(self, exchange: Exchange) -> Answered | Refusal:
        """Send a request until it is answered, cannot be repeated or runs out of time."""
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= exchange.deadline_ms:
                return _settle(exchange, _refuse_late(exchange))
            placement = self._place(exchange, now_ms)
            if isinstance(placement, Refusal):
                return _settle(exchange, placement)
            result = await self._send(exchange, placement, exchange.deadline_ms - now_ms)
            settled = self._judge(exchange, result)
            if settled is not None:
                return settled

    def _place(self, exchange: Exchange, now_ms: int) -> Placement | Refusal:
        request = PlacementRequest(
            exchange.service,
            exchange.object_key,
            exchange.route.aim_ms,
            exchange.allowed_regions,
            frozenset(exchange.excluded),
            self._services.find_typical_ms(exchange.route),
        )
        for placement in self._services.placer.choose(request, now_ms):
            if self._services.may_send(placement.state, now_ms):
                return placement
        usable = self._beliefs.book.list_usable(exchange.service)
        reason = RefusalReason.NO_ROOM if usable else RefusalReason.NO_TARGET
        return _refuse(exchange, reason, Step.PLACE, f"{len(usable)} targets")

    async def _send(
        self, exchange: Exchange, placement: Placement, timeout_ms: int
    ) -> Answered | SendFailure:
        state = placement.state
        outgoing = exchange.outgoing
        outgoing.headers[TARGET_HEADER] = state.target.id
        outgoing.headers[DEADLINE_HEADER] = str(timeout_ms)
        exchange.attempts.note_send()
        number = self._services.open_send(state)
        sent_ms = self._clock.now_ms()
        try:
            result = await self._upstream.send(state.target, outgoing, timeout_ms)
        finally:
            self._services.close_send(state, number)
        elapsed_ms = self._clock.now_ms() - sent_ms
        self._services.note_result(
            exchange.route, exchange.object_key, placement, result, elapsed_ms
        )
        return result

    def _judge(
        self, exchange: Exchange, result: Answered | SendFailure
    ) -> Answered | Refusal | None:
        """Return the final answer or refusal; None to send the request once more."""
        verdict = exchange.attempts.decide(
            _classify(result), lambda: self._services.take_retry(exchange.service)
        )
        if verdict.step is NextStep.DELIVER and isinstance(result, Answered):
            return result
        exchange.peer = result.target
        exchange.excluded.add(result.target)
        if isinstance(result, Answered):
            kind, detail = AttemptEnd.ANSWERED_FAILURE.value, f"status {result.status}"
            exchange.failed_answer = result
        else:
            kind, detail = result.kind.value, result.detail
        if verdict.step is NextStep.SEND_AGAIN:
            self._metrics.retries.labels(kind).inc()
            _log.info(
                "sent_again", request=exchange.id, after=kind, target=result.target, detail=detail
            )
            return None
        reason = verdict.reason or RefusalReason.TARGET_FAILED
        return _settle(exchange, _refuse(exchange, reason, Step.SEND, f"{kind}: {detail}"))


def pick_return_ms() -> int:
    """Return when a refused caller may come back, spread so that a burst does not."""
    return _rng.randint(*_RETURN_MS)


def _settle(exchange: Exchange, refusal: Refusal) -> Answered | Refusal:
    """Prefer a target's own failure to a refusal after it."""
    return exchange.failed_answer or refusal


def _classify(result: Answered | SendFailure) -> AttemptEnd:
    if isinstance(result, Answered):
        failed = result.status >= _FAILED_STATUS
        return AttemptEnd.ANSWERED_FAILURE if failed else AttemptEnd.ANSWERED
    return _ENDS.get(result.kind, AttemptEnd.UNCERTAIN)


def _refuse_late(exchange: Exchange) -> Refusal:
    if exchange.attempts.maybe_run:
        return _refuse(exchange, RefusalReason.TIMEOUT_AFTER_SEND, Step.SEND, "")
    return _refuse(exchange, RefusalReason.TIMEOUT_BEFORE_SEND, Step.PLACE, "")


def _refuse(exchange: Exchange, reason: RefusalReason, step: Step, detail: str) -> Refusal:
    return Refusal(
        reason, step, exchange.peer, detail, exchange.attempts.maybe_run, pick_return_ms()
    )
