"""Send a copy of a slow request to a second target, and cancel the send that loses.

Both sends are tasks of their own. The first response that counts is returned; the other send is
cancelled, which closes its connection, so that its response reaches nobody. A caller that leaves
cancels both.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
import structlog
from msgspec.structs import replace
from multidict import CIMultiDict

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.dispatch_state import Attempt, DispatchState
from waxwingshelf.serving.exchange import Exchange, Hedging
from waxwingshelf.serving.hedge_results import choose_failure, counts_as_answer
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.rate_limiter import Admission
from waxwingshelf.serving.send_results import (
    OutgoingRequest,
    SendFailure,
    SendResult,
    allow_send,
)
from waxwingshelf.steering.config import RouteKind
from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.hedging import (
    CopyBudget,
    RouteQuantiles,
    compute_next_check_ms,
    estimate_remaining_ms,
    list_copy_placements,
)
from waxwingshelf.steering.placement import Placement, PlacementRequest
from waxwingshelf.steering.targets import Target

__all__ = ["CopyConditions", "HedgedSender", "SendAttempt"]

_MS_PER_S = 1_000
# No target is expected to take less than this fraction of the usual time; with less left, no costs
# are estimated.
_MIN_WORK_FRACTION = 0.5
# The values of the metric's label `result`, which is that of the copy.
_METRIC_RESULTS = {Hedging.FIRST: "lost", Hedging.COPY: "won", Hedging.NEITHER: "failed"}
_log = structlog.get_logger("hedged_sender")

# Sends one attempt, unless the last argument returns False once there is a connection.
SendAttempt = Callable[
    [Attempt, OutgoingRequest, Callable[[], bool]], Coroutine[Any, Any, SendResult]
]


class CopyConditions(msgspec.Struct, frozen=True):
    """The checks of other modules that a copy must pass.

    `is_crash_suspected` tells whether a target, or the request with a fingerprint, is suspected of
    a crash. `acquire_rate` takes a token of an organisation's rate.
    """

    reaches_directly: Callable[[], bool]
    is_crash_suspected: Callable[[Target, str], bool]
    acquire_rate: Callable[[str], Awaitable[Admission]]


class _Hedge(msgspec.Struct):
    """One request and its copy, if there is one; `copy` is set once a target is chosen for it."""

    exchange: Exchange
    first: Attempt
    send_attempt: SendAttempt
    has_waiting: Callable[[], bool]
    copy: Attempt | None = None
    was_limited: bool = False


class HedgedSender:
    """Send requests that may be repeated, with a copy where that is worth it.

    No more copies are sent once `stopping` is set.
    """

    def __init__(
        self,
        max_extra_ratio: float,
        dispatch_state: DispatchState,
        conditions: CopyConditions,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._max_extra_ratio = max_extra_ratio
        self._dispatch_state = dispatch_state
        self._conditions = conditions
        self._clock = clock
        self._metrics = metrics
        self._quantiles = RouteQuantiles()
        self._budgets: dict[str, CopyBudget] = {}
        self.stopping = False

    def may_hedge(self, exchange: Exchange) -> bool:
        """Return whether a copy of the request may be sent at all.

        A request that may have run at a target that failed is suspected of causing the failure.
        """
        attempts = exchange.attempts
        if not (attempts.idempotent and attempts.repeatable) or self.stopping:
            return False
        return not (exchange.is_trial or attempts.maybe_run)

    async def send(
        self,
        exchange: Exchange,
        attempt: Attempt,
        send_attempt: SendAttempt,
        has_waiting: Callable[[], bool],
    ) -> SendResult:
        """Send a request, and a copy if that is worth it; return the result that counts.

        `has_waiting` tells whether requests of the service wait for a target.
        """
        if exchange.last_attempt is None:
            self._get_budget(exchange.service).record_request()
        hedge = _Hedge(exchange, attempt, send_attempt, has_waiting)
        tasks: list[asyncio.Task[Any]] = []
        try:
            first = asyncio.create_task(send_attempt(attempt, exchange.outgoing, allow_send))
            tasks.append(first)
            copy = await self._start_copy(hedge, first, tasks)
            if copy is None:
                result = first.result()
                if counts_as_answer(result):
                    self._record_duration(hedge)
                return result
            return await self._choose_result(hedge, first, copy)
        finally:
            await _cancel(tasks)

    async def _start_copy(
        self, hedge: _Hedge, first: asyncio.Task[SendResult], tasks: list[asyncio.Task[Any]]
    ) -> asyncio.Task[SendResult | None] | None:
        """Wait until a copy is being sent or the first send has ended; return the copy's task."""
        quantile_ms = self._quantiles.get(hedge.exchange.route.name).estimate_ms()
        if quantile_ms is None:
            await asyncio.wait({first})
            return None
        while not first.done():
            elapsed_ms = self._clock.now_ms() - hedge.first.sent_ms
            delay_ms = compute_next_check_ms(elapsed_ms, quantile_ms)
            await asyncio.wait({first}, timeout=delay_ms / _MS_PER_S)
            if first.done() or not self._is_copy_useful(hedge, quantile_ms):
                continue
            copy = asyncio.create_task(self._send_copy(hedge, quantile_ms))
            tasks.append(copy)
            await asyncio.wait({first, copy}, return_when=asyncio.FIRST_COMPLETED)
            if not copy.done() or copy.result() is not None:
                return copy
        return None

    def _is_copy_useful(self, hedge: _Hedge, quantile_ms: int) -> bool:
        """Return whether a copy is worth it and nothing but a limit may forbid it."""
        if not self._may_send_copy(hedge) or hedge.has_waiting():
            return False
        if hedge.exchange.attempts.sends >= hedge.exchange.attempts.max_attempts:
            return False
        return bool(self._list_placements(hedge, quantile_ms))

    def _may_send_copy(self, hedge: _Hedge) -> bool:
        """Return whether neither this instance nor the first target forbids a copy now."""
        exchange, target = hedge.exchange, hedge.first.state.target
        if self.stopping or not self._conditions.reaches_directly():
            return False
        if self._dispatch_state.looks_crashed(hedge.first.state):
            return False
        return not self._conditions.is_crash_suspected(target, exchange.outgoing.fingerprint)

    def _list_placements(self, hedge: _Hedge, quantile_ms: int) -> list[Placement]:
        """Return where a copy is worth it now, best first."""
        exchange, first = hedge.exchange, hedge.first
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - first.sent_ms
        durations = self._get_durations(exchange)
        expected_ms = first.placement.estimate_duration_ms(durations, now_ms)
        remaining_ms = estimate_remaining_ms(elapsed_ms, expected_ms, quantile_ms)
        if remaining_ms < durations.warm_ms * _MIN_WORK_FRACTION:
            return []
        time_left_ms = exchange.deadline_ms - now_ms
        request = PlacementRequest(
            exchange.service,
            exchange.object_key,
            # A few candidates suffice; estimating all takes 1 ms with 271 targets.
            sticky=True,
            latency_objective_ms=exchange.route.latency_objective_ms,
            allowed_regions=exchange.allowed_regions,
            # The first target is not excluded: the next one would count as warm in its place.
            excluded_targets=frozenset(exchange.excluded_targets),
            durations=durations,
            # The cost is compared with the remaining time instead of the first target's cost.
            waited_ms=max(0, time_left_ms),
            response_bytes=self._dispatch_state.get_response_size(exchange.route).mean_bytes,
            download=exchange.route.kind is RouteKind.DOWNLOAD,
            has_object=exchange.has_object,
        )
        placements = self._dispatch_state.placer.choose(request, now_ms)
        return list_copy_placements(placements, first.state, remaining_ms, time_left_ms)

    def _get_durations(self, exchange: Exchange) -> RouteDurations:
        """Return the usual durations; a request without an object is as fast at any target."""
        durations = self._dispatch_state.get_durations(exchange.route)
        if exchange.has_object:
            return durations
        only_warm = RouteDurations(durations.latency_objective_ms)
        only_warm.warm_ms = only_warm.cold_ms = durations.warm_ms
        return only_warm

    async def _send_copy(self, hedge: _Hedge, quantile_ms: int) -> SendResult | None:
        """Send the copy; return None if a limit or the targets do not allow it."""
        exchange = hedge.exchange
        if not self._try_take_tokens(exchange.service):
            self._record_limited(hedge)
            return None
        admission: Admission | None = None
        result: SendResult | None = None
        try:
            admission = await self._conditions.acquire_rate(exchange.organisation)
            if not admission.granted:
                self._record_limited(hedge)
                return None
            hedge.copy = self._place_copy(hedge, quantile_ms)
            if hedge.copy is None:
                return None
            self._record_sent(hedge, hedge.copy)
            headers = CIMultiDict(exchange.outgoing.headers)
            result = await hedge.send_attempt(
                hedge.copy,
                replace(exchange.outgoing, headers=headers),
                lambda: self._may_send_copy(hedge),
            )
            return result
        finally:
            self._return_tokens(hedge, admission, result)

    def _place_copy(self, hedge: _Hedge, quantile_ms: int) -> Attempt | None:
        now_ms, exchange = self._clock.now_ms(), hedge.exchange
        download_bytes = self._dispatch_state.estimate_download_bytes(exchange.route)
        if download_bytes and not self._dispatch_state.has_room_for_download(download_bytes):
            return None
        placements = self._list_placements(hedge, quantile_ms)
        return self._dispatch_state.try_start_attempt(
            placements, exchange.organisation, download_bytes, now_ms
        )

    async def _choose_result(
        self,
        hedge: _Hedge,
        first: asyncio.Task[SendResult],
        copy: asyncio.Task[SendResult | None],
    ) -> SendResult:
        """Wait until one of both sends has a response that counts, or both have ended."""
        running: set[asyncio.Task[Any]] = {first, copy}
        while running:
            done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            if first in done and counts_as_answer(first.result()):
                self._record_duration(hedge)
                self._record_outcome(hedge, Hedging.FIRST, hedge.copy if copy in running else None)
                return first.result()
            if copy in done and counts_as_answer(result := copy.result()):
                assert result is not None
                if first in running:
                    self._record_duration(hedge)
                self._record_outcome(hedge, Hedging.COPY, hedge.first if first in running else None)
                return result
        copy_result = copy.result()
        if copy_result is None:
            return first.result()
        self._record_outcome(hedge, Hedging.NEITHER, None)
        return choose_failure(hedge.exchange, first.result(), copy_result)

    def _record_outcome(self, hedge: _Hedge, outcome: Hedging, unfinished: Attempt | None) -> None:
        """Record which send counts, and the slowness of one that is cancelled unfinished."""
        exchange = hedge.exchange
        exchange.last_attempt = hedge.copy if outcome is Hedging.COPY else hedge.first
        if hedge.copy is None:
            return
        exchange.hedging = outcome
        self._metrics.hedges.labels(_METRIC_RESULTS[outcome]).inc()
        if unfinished is not None:
            self._dispatch_state.record_unfinished(unfinished)

    def _record_duration(self, hedge: _Hedge) -> None:
        """Record the time that the first target took until now, also if it has not answered yet.

        Copies are sent late, so that this time counts as long in any case. Durations of copies
        would make the quantile too low.
        """
        elapsed_ms = self._clock.now_ms() - hedge.first.sent_ms
        self._quantiles.get(hedge.exchange.route.name).record(elapsed_ms)

    def _record_sent(self, hedge: _Hedge, copy: Attempt) -> None:
        self._metrics.hedges.labels("sent").inc()
        _log.info(
            "copy_sent",
            request=hedge.exchange.id,
            first=hedge.first.state.target.id,
            target=copy.state.target.id,
            elapsed_ms=copy.sent_ms - hedge.first.sent_ms,
            cost_ms=int(copy.placement.cost_ms),
        )

    def _record_limited(self, hedge: _Hedge) -> None:
        if not hedge.was_limited:
            hedge.was_limited = True
            self._metrics.hedges.labels("limited").inc()

    def _get_budget(self, service: str) -> CopyBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = CopyBudget(self._max_extra_ratio)
        return budget

    def _try_take_tokens(self, service: str) -> bool:
        """Take a token for a copy and one of the retry budget, or none of them."""
        budget = self._get_budget(service)
        if not budget.try_acquire():
            return False
        if self._dispatch_state.try_acquire_retry(service):
            return True
        budget.refund()
        return False

    def _return_tokens(
        self, hedge: _Hedge, admission: Admission | None, result: SendResult | None
    ) -> None:
        """Return the tokens of a copy that was not sent, or that did not run."""
        failure = result.kind if isinstance(result, SendFailure) else None
        is_unplaced = hedge.copy is None
        if is_unplaced or (failure is not None and failure.certainly_not_sent):
            self._get_budget(hedge.exchange.service).refund()
            self._dispatch_state.return_retry(hedge.exchange.service)
        if admission is None or admission.bucket is None or not admission.granted:
            return
        if is_unplaced or (failure is not None and failure.certainly_not_run):
            admission.bucket.refund()


async def _cancel(tasks: list[asyncio.Task[Any]]) -> None:
    """Cancel the unfinished tasks, and wait until their connections are closed."""
    for task in tasks:
        task.cancel()
    running = [task for task in tasks if not task.done()]
    if running:
        await asyncio.gather(*running, return_exceptions=True)
