"""Bring one admitted request to a target: place, send, and act on what came back."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.names import DEADLINE_HEADER, ORGANISATION_HEADER, TARGET_HEADER
from waxwingshelf.serving.dispatch_state import Attempt, DispatchState
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.upstream import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamClient,
    UpstreamResponse,
)
from waxwingshelf.steering.attempts import AttemptOutcome, Attempts, NextStep
from waxwingshelf.steering.config import RouteRule
from waxwingshelf.steering.placement import PlacementRequest
from waxwingshelf.steering.refusals import Refusal, RefusalReason, RefusedRequest, Step
from waxwingshelf.steering.waiting import Waiter, WaitQueue

__all__ = ["Dispatcher", "Exchange", "choose_retry_after_ms"]

_RETURN_MS = (150, 450)
_MOST_RETURN_MS = 1_200
_FAILED_STATUS = 500
_POLL_S = 0.02
_ENDS = {
    FailureKind.NOT_CONNECTED: AttemptOutcome.NOT_CONNECTED,
    FailureKind.SHED: AttemptOutcome.NOT_RUN,
    FailureKind.WRONG_TARGET: AttemptOutcome.NOT_RUN,
    FailureKind.TIMEOUT: AttemptOutcome.TIMED_OUT,
}
_log = structlog.get_logger("dispatcher")
_rng = random.Random()


@dataclass(slots=True)
class Exchange:
    """One request on its way; `ready_ms` and the like are clock readings.

    `deadline_ms` is when a target has to be done, `answer_by_ms` when its answer has to be here.
    """

    id: str
    route: RouteRule
    service: str
    object_key: str
    priority: int
    ready_ms: int
    aim_at_ms: int
    deadline_ms: int
    answer_by_ms: int
    allowed_regions: frozenset[str]
    outgoing: OutgoingRequest
    attempts: Attempts
    excluded: set[str] = field(default_factory=set)
    failed_answer: UpstreamResponse | None = None
    peer: str = ""
    send: Attempt | None = None


_Waiting = tuple[Exchange, "asyncio.Future[Attempt | None]"]


class Dispatcher:
    """Own the way of requests to targets."""

    def __init__(
        self,
        routing_state: RoutingState,
        dispatch_state: DispatchState,
        upstream: UpstreamClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._routing_state = routing_state
        self._dispatch_state = dispatch_state
        self._upstream = upstream
        self._clock = clock
        self._metrics = metrics
        self._lines: dict[str, WaitQueue[_Waiting]] = {}

    async def run(self) -> None:
        """Offer room that appeared for other reasons than an own request's end, for ever."""
        while True:
            await asyncio.sleep(_POLL_S)
            for service in list(self._lines):
                self._serve_line(service)

    async def dispatch(self, exchange: Exchange) -> UpstreamResponse | Refusal:
        """Send a request until it is answered, cannot be repeated or runs out of time."""
        while True:
            if self._clock.now_ms() >= exchange.deadline_ms:
                return _settle(exchange, _refuse_late(exchange))
            send = await self._find_room(exchange)
            if isinstance(send, Refusal):
                return _settle(exchange, send)
            result = await self._send(exchange, send)
            settled = self._judge(exchange, result)
            if settled is not None:
                return settled

    async def _find_room(self, exchange: Exchange) -> Attempt | Refusal:
        line = self._lines.setdefault(exchange.service, WaitQueue())
        exchange.ready_ms = self._clock.now_ms()
        if not self._routing_state.targets.list_usable(exchange.service):
            return _refuse(exchange, RefusalReason.NO_TARGET, Step.PLACE, "no target is known")
        if line.is_full():
            return _refuse(exchange, RefusalReason.NO_ROOM, Step.PLACE, "the queue is full")
        send = self._place(exchange)
        if send is not None:
            line.record_placement(exchange.allowed_regions, False, exchange.ready_ms)
            return send
        durations = self._dispatch_state.get_durations(exchange.route)
        future: asyncio.Future[Attempt | None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(
            (exchange, future),
            exchange.priority,
            exchange.aim_at_ms - int(durations.warm_ms),
            exchange.deadline_ms - int(durations.warm_ms),
            exchange.allowed_regions,
        )
        line.add(waiter)
        try:
            send = await future
        except asyncio.CancelledError:
            line.remove(waiter)
            if future.done() and not future.cancelled() and (given := future.result()):
                self._dispatch_state.finish_attempt(given)
            raise
        if send is None:
            detail = f"{len(line)} wait"
            return _refuse(
                exchange, RefusalReason.NO_ROOM, Step.PLACE, detail, waiter.expected_wait_ms
            )
        return send

    def _serve_line(self, service: str) -> None:
        line = self._lines.get(service)
        if not line:
            return
        now_ms = self._clock.now_ms()
        for waiter in line.expire(now_ms):
            _give(waiter.item[1], None)
        line.place_waiting(now_ms, self._place_waiter)

    def _place_waiter(self, waiter: Waiter[_Waiting]) -> bool:
        exchange, future = waiter.item
        send = self._place(exchange)
        if send is None:
            return False
        _give(future, send)
        return True

    def _place(self, exchange: Exchange) -> Attempt | None:
        now_ms = self._clock.now_ms()
        request = PlacementRequest(
            exchange.service,
            exchange.object_key,
            exchange.route.sticky,
            exchange.route.latency_objective_ms,
            exchange.allowed_regions,
            frozenset(exchange.excluded),
            self._dispatch_state.get_durations(exchange.route),
            now_ms - exchange.ready_ms,
        )
        for placement in self._dispatch_state.placer.choose(request, now_ms):
            if self._dispatch_state.try_acquire_send(placement.state, now_ms):
                return self._dispatch_state.start_attempt(placement)
        return None

    async def _send(self, exchange: Exchange, send: Attempt) -> UpstreamResponse | SendFailure:
        target = send.state.target
        timeout_ms = max(1, exchange.deadline_ms - self._clock.now_ms())
        outgoing = exchange.outgoing
        outgoing.headers[TARGET_HEADER] = target.id
        outgoing.headers[DEADLINE_HEADER] = str(timeout_ms)
        exchange.attempts.record_attempt()
        exchange.send = send
        try:
            patience_ms = max(1, exchange.answer_by_ms - self._clock.now_ms())
            result = await self._upstream.send(target, outgoing, patience_ms)
        finally:
            self._dispatch_state.finish_attempt(send)
            self._serve_line(exchange.service)
        self._dispatch_state.record_result(exchange.route, exchange.object_key, send, result)
        return result

    def _judge(
        self, exchange: Exchange, result: UpstreamResponse | SendFailure
    ) -> UpstreamResponse | Refusal | None:
        """Return the final answer or refusal; None to send the request once more."""
        verdict = exchange.attempts.decide(
            _classify(result), lambda: self._dispatch_state.try_acquire_retry(exchange.service)
        )
        if verdict.step is NextStep.DELIVER and isinstance(result, UpstreamResponse):
            return result
        exchange.peer = result.target
        exchange.excluded.add(result.target)
        if isinstance(result, UpstreamResponse):
            kind, detail = AttemptOutcome.ANSWERED_FAILURE.value, f"status {result.status}"
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


def choose_retry_after_ms(expected_wait_ms: int = 0) -> int:
    """Return when a refused caller may come back, spread so that a burst does not.

    Room that is expected later than usual is waited for in part: it may come sooner.
    """
    least_ms, most_ms = _RETURN_MS
    most_ms = max(most_ms, min(expected_wait_ms, _MOST_RETURN_MS))
    return _rng.randint(max(least_ms, most_ms // 3), most_ms)


def _give(future: asyncio.Future[Attempt | None], send: Attempt | None) -> None:
    if not future.done():
        future.set_result(send)


def _settle(exchange: Exchange, refusal: Refusal) -> UpstreamResponse | Refusal:
    """Prefer a target's own failure to a refusal after it."""
    return exchange.failed_answer or refusal


def _classify(result: UpstreamResponse | SendFailure) -> AttemptOutcome:
    if isinstance(result, UpstreamResponse):
        failed = result.status >= _FAILED_STATUS
        return AttemptOutcome.ANSWERED_FAILURE if failed else AttemptOutcome.ANSWERED
    return _ENDS.get(result.kind, AttemptOutcome.UNCERTAIN)


def _refuse_late(exchange: Exchange) -> Refusal:
    if exchange.attempts.maybe_run:
        return _refuse(exchange, RefusalReason.TIMEOUT_AFTER_SEND, Step.SEND, "")
    return _refuse(exchange, RefusalReason.TIMEOUT_BEFORE_SEND, Step.PLACE, "")


def _refuse(
    exchange: Exchange, reason: RefusalReason, step: Step, detail: str, expected_wait_ms: int = 0
) -> Refusal:
    return Refusal(
        reason,
        step,
        exchange.peer,
        detail,
        exchange.attempts.maybe_run,
        choose_retry_after_ms(expected_wait_ms),
        _describe(exchange),
    )


def _describe(exchange: Exchange) -> RefusedRequest:
    route, send = exchange.route, exchange.send
    return RefusedRequest(
        route=route.name,
        service=exchange.service,
        organisation=exchange.outgoing.headers.get(ORGANISATION_HEADER, ""),
        regions=tuple(sorted(exchange.allowed_regions)),
        time_ms=exchange.deadline_ms - (exchange.aim_at_ms - route.latency_objective_ms),
        sends=exchange.attempts.sends,
        waited_ms=send.sent_ms - exchange.ready_ms if send else 0,
        load=send.placement.load if send else 0,
        slots=send.state.target.slots if send else 0,
    )
