"""Dispatch admitted requests: choose a target, send the request, and retry or refuse it."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Awaitable, Callable, Iterator
from typing import Protocol

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.names import EXPECTED_TARGET_HEADER
from waxwingshelf.serving.attempt_outcomes import classify_outcome
from waxwingshelf.serving.dispatch_state import Attempt, DispatchState
from waxwingshelf.serving.exchange import (
    Exchange,
    choose_retry_after_ms,
    exclude_target,
    prefer_failed_response,
    refuse,
    refuse_expired,
)
from waxwingshelf.serving.failures import Failures
from waxwingshelf.serving.hedged_sender import HedgedSender
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.placement_checks import NoPlacement, PlacementChecks
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.send_results import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamResponse,
    allow_send,
)
from waxwingshelf.serving.target_sender import TargetSender
from waxwingshelf.steering.attempts import AttemptOutcome, NextStep
from waxwingshelf.steering.placement import PlacementRequest
from waxwingshelf.steering.refusals import Refusal, RefusalReason, Step
from waxwingshelf.steering.targets import Target, TargetState
from waxwingshelf.steering.waiting import Waiter, WaitQueue

__all__ = ["CrashJudge", "Dispatcher"]

_MS_PER_S = 1_000
_QUEUE_POLL_INTERVAL_S = 0.02
# Waiting requests are refused before their deadline, or this long after it if that has failed.
_LATE_REFUSAL_MS = 100
# A round of placement takes up to a few hundred microseconds if many requests wait. New and ended
# requests then start a round no sooner than this after the last one.
_MIN_ROUND_INTERVAL_MS = 5
# Queues up to this length are served at once.
_MAX_SHORT_QUEUE_LENGTH = 8
_log = structlog.get_logger("dispatcher")


class CrashJudge(Protocol):
    """Decides which requests crash targets, and who may send single copies of them as trials."""

    async def wait_for_verdict(self, fingerprint: str, deadline_ms: int) -> None:
        """Wait, before a request is sent, while it is being decided whether it is deadly."""

    async def try_begin_trial(self, fingerprint: str) -> bool:
        """Return whether a copy of a quarantined request may be sent, once, by this instance."""

    def return_trial(self, fingerprint: str) -> None:
        """Keep a trial for the next copy, as this one was not sent."""


_QueuedRequest = tuple[Exchange, "asyncio.Future[Attempt | NoPlacement]"]


class Dispatcher:
    """Dispatch requests to targets and queue those that no target has capacity for."""

    def __init__(
        self,
        routing_state: RoutingState,
        dispatch_state: DispatchState,
        sender: TargetSender,
        crash_judge: CrashJudge,
        clock: Clock,
        metrics: Metrics,
        hedged_sender: HedgedSender | None = None,
        failures: Failures | None = None,
    ) -> None:
        self._hedged_sender = hedged_sender
        self._failures = failures or Failures(clock, metrics)
        self._routing_state = routing_state
        self._dispatch_state = dispatch_state
        self._sender = sender
        self._crash_judge = crash_judge
        self._clock = clock
        self._metrics = metrics
        self._queues: dict[str, WaitQueue[_QueuedRequest]] = {}
        self._has_waiting = asyncio.Event()
        self._served_at_ms: dict[str, int] = {}
        # Services whose queue will be served after the minimum interval between rounds.
        self._scheduled_services: set[str] = set()
        # The versions of what decides whether the waiting requests of a service can be placed, when
        # these were last judged.
        self._judged_versions: dict[str, tuple[int, int, int]] = {}
        self._checks = PlacementChecks(routing_state, dispatch_state, sender, clock)
        # Waits for the probe of a target to which a connection has broken.
        self.wait_for_probe: Callable[[Target], Awaitable[None]] = _skip_probe
        # Gets the target and the key of an object that may not have been warm there.
        self.on_possible_first_run: Callable[[TargetState, str], None] = lambda state, key: None

    async def run(self) -> None:
        """Serve the queues periodically while requests wait, until cancelled.

        A queue is also served when a request of this instance ends; polling finds capacity that
        becomes available for other reasons.
        """
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(_QUEUE_POLL_INTERVAL_S)
            for service in list(self._queues):
                with self._failures.contain("late_requests", service=service):
                    self._refuse_late(service)
                self._serve_soon(service)
            if not any(self._queues.values()):
                self._has_waiting.clear()

    def begin_shutdown(self, ends_at_ms: int) -> None:
        """Refuse, from now on, the requests that no target would answer before `ends_at_ms`."""
        self._checks.begin_shutdown(ends_at_ms)
        for queue in self._queues.values():
            queue.end_at(ends_at_ms)

    async def dispatch(self, exchange: Exchange) -> UpstreamResponse | Refusal:
        """Send a request until it is answered, cannot be retried or reaches its deadline."""
        warm_ms = self._dispatch_state.get_durations(exchange.route).warm_ms
        self._dispatch_state.placer.record_request(
            exchange.service, exchange.allowed_regions, self._clock.now_ms(), warm_ms
        )
        fingerprint = exchange.outgoing.fingerprint
        if self._checks.get_quarantine_ms(exchange) > 0:
            exchange.is_trial = await self._crash_judge.try_begin_trial(fingerprint)
        else:
            await self._crash_judge.wait_for_verdict(fingerprint, exchange.deadline_ms)
        try:
            return await self._dispatch(exchange)
        finally:
            if exchange.is_trial:
                self._crash_judge.return_trial(fingerprint)

    async def _dispatch(self, exchange: Exchange) -> UpstreamResponse | Refusal:
        while True:
            if self._clock.now_ms() >= exchange.deadline_ms:
                return prefer_failed_response(exchange, refuse_expired(exchange))
            attempt = await self._wait_for_placement(exchange)
            if isinstance(attempt, Refusal):
                return prefer_failed_response(exchange, attempt)
            result = await self._send(exchange, attempt)
            if isinstance(result, SendFailure) and result.kind is FailureKind.BROKEN:
                await self._wait_for_verdict(exchange, attempt)
            final_result = self._process_result(exchange, result)
            if final_result is not None:
                return final_result

    async def _wait_for_verdict(self, exchange: Exchange, attempt: Attempt) -> None:
        """Wait, after a connection broke, until it is known what the request has done there.

        A caller that gets its answer may repeat the request at once, so that this comes before.
        """
        await self.wait_for_probe(attempt.state.target)
        fingerprint = exchange.outgoing.fingerprint
        await self._crash_judge.wait_for_verdict(fingerprint, exchange.deadline_ms)

    async def _wait_for_placement(self, exchange: Exchange) -> Attempt | Refusal:
        queue = self._get_queue(exchange.service)
        exchange.queued_at_ms = now_ms = self._clock.now_ms()
        obstacle = self._checks.find_obstacle(exchange)
        if obstacle is not None:
            return obstacle.refuse(exchange)
        waiter = self._build_waiter(exchange)
        stop = self._checks.find_stop(exchange)
        if stop is not None and now_ms > waiter.latest_send_ms:
            return stop.refuse(exchange)
        if queue.is_full():
            retry_after_ms = choose_retry_after_ms(queue.announce_return(waiter, now_ms))
            self._record_queue_position(waiter)
            return refuse(
                exchange, RefusalReason.NO_ROOM, Step.PLACE, "the queue is full", retry_after_ms
            )
        has_preceding = queue.has_preceding(waiter, now_ms)
        if not has_preceding:
            attempt = self._place(exchange, queue.needs_headroom(waiter, now_ms))
            if attempt is not None:
                queue.record_placement(waiter, now_ms)
                return attempt
        queue.add(waiter)
        self._has_waiting.set()
        if has_preceding:
            self._serve_soon(exchange.service)
        return await self._wait_in_queue(queue, waiter)

    async def _wait_in_queue(
        self, queue: WaitQueue[_QueuedRequest], waiter: Waiter[_QueuedRequest]
    ) -> Attempt | Refusal:
        exchange, future = waiter.item
        left_ms = max(0, exchange.deadline_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout((left_ms + _LATE_REFUSAL_MS) / _MS_PER_S):
                result = await future
        except TimeoutError:
            # The rounds that refuse late requests have failed.
            self._leave_queue(queue, waiter)
            return refuse_expired(exchange)
        except asyncio.CancelledError:
            self._leave_queue(queue, waiter)
            self._metrics.organisation_waits.labels("left").inc()
            raise
        if isinstance(result, NoPlacement):
            is_refused = result.reason is RefusalReason.NO_ROOM
            self._metrics.organisation_waits.labels(
                "refused" if is_refused else "unplaceable"
            ).inc()
            return result.refuse(exchange)
        self._metrics.organisation_waits.labels("placed").inc()
        return result

    def _leave_queue(
        self, queue: WaitQueue[_QueuedRequest], waiter: Waiter[_QueuedRequest]
    ) -> None:
        """Remove a request that no longer waits, and give back the place that it just got."""
        queue.remove(waiter)
        future = waiter.item[1]
        if not future.done() or future.cancelled() or future.exception() is not None:
            return
        placed = future.result()
        if isinstance(placed, Attempt):
            self._dispatch_state.finish_attempt(placed)

    def _get_queue(self, service: str) -> WaitQueue[_QueuedRequest]:
        queue = self._queues.get(service)
        if queue is None:
            loads = self._dispatch_state.organisation_loads
            compute_usage = functools.partial(loads.compute_usage, service)
            queue = self._queues[service] = WaitQueue(compute_usage=compute_usage)
        return queue

    def _build_waiter(self, exchange: Exchange) -> Waiter[_QueuedRequest]:
        warm_ms = int(self._dispatch_state.get_durations(exchange.route).warm_ms)
        has_choice = exchange.route.sticky and not exchange.excluded_targets
        return Waiter(
            (exchange, asyncio.get_running_loop().create_future()),
            exchange.priority,
            exchange.latency_objective_at_ms - warm_ms,
            self._checks.compute_deadline_ms(exchange) - warm_ms,
            exchange.allowed_regions,
            route_priority=exchange.route.priority,
            organisation=exchange.organisation,
            weight=exchange.weight,
            choice=(exchange.object_key, exchange.priority) if has_choice else None,
            work_ms=warm_ms,
        )

    def _record_queue_position(self, waiter: Waiter[_QueuedRequest]) -> None:
        """Record the position in the queue and the share of a request that is refused."""
        exchange = waiter.item[0]
        usage = self._dispatch_state.organisation_loads.compute_usage(
            exchange.service, exchange.organisation, self._clock.now_ms()
        )
        exchange.position = waiter.position
        exchange.share = usage / exchange.weight

    def _serve_soon(self, service: str) -> None:
        """Serve a queue now, or after the minimum interval between rounds if many requests wait."""
        if service in self._scheduled_services or not (queue := self._queues.get(service)):
            return
        wait_ms = self._compute_wait_ms(service)
        if wait_ms <= 0 or len(queue) <= _MAX_SHORT_QUEUE_LENGTH:
            self._serve_queue(service)
            return
        self._scheduled_services.add(service)
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / _MS_PER_S, self._serve_scheduled, service)

    def _compute_wait_ms(self, service: str) -> int:
        """Return the time until the next round of a long queue, 0 or less if it is due."""
        interval_ms = max(
            _MIN_ROUND_INTERVAL_MS, self._queues[service].compute_min_round_interval_ms()
        )
        return self._served_at_ms.get(service, 0) + interval_ms - self._clock.now_ms()

    def _serve_scheduled(self, service: str) -> None:
        self._scheduled_services.discard(service)
        self._serve_queue(service)

    def _serve_queue(self, service: str) -> None:
        queue = self._queues.get(service)
        if not queue:
            return
        self._served_at_ms[service] = self._clock.now_ms()
        # A round runs inside requests that have just ended, which its errors do not concern.
        with self._failures.contain("queue", service=service):
            self._refuse_unplaceable(service, queue)
            place = functools.partial(self._place_waiter, queue)
            queue.place_waiting(self._clock.now_ms(), place)

    def _refuse_late(self, service: str) -> None:
        """Refuse the waiting requests that will probably get no target before their deadline."""
        queue = self._queues.get(service)
        if not queue:
            return
        self._refuse_unplaceable(service, queue)
        now_ms = self._clock.now_ms()
        for waiter in queue.expire(now_ms):
            with _pass_errors(waiter.item[1]):
                self._record_queue_position(waiter)
                _resolve(waiter.item[1], self._build_expired(waiter, queue, now_ms))

    def _build_expired(
        self, waiter: Waiter[_QueuedRequest], queue: WaitQueue[_QueuedRequest], now_ms: int
    ) -> NoPlacement:
        if (stop := self._checks.find_stop(waiter.item[0])) is not None:
            return stop
        targets = self._describe_targets(waiter.item[0].service, now_ms)
        return NoPlacement(
            RefusalReason.NO_ROOM,
            f"{len(queue)} requests are waiting, {targets}",
            choose_retry_after_ms(waiter.expected_wait_ms),
        )

    def _describe_targets(self, service: str, now_ms: int) -> str:
        targets = self._routing_state.targets
        suspended = targets.count_suspended(service, now_ms)
        return f"{suspended} of {len(targets.list_usable(service))} targets are suspended"

    def _refuse_unplaceable(self, service: str, queue: WaitQueue[_QueuedRequest]) -> None:
        """Refuse the waiting requests that no target will accept in time.

        That can change only when the targets or quarantines change, when a target asks for a pause,
        or while this instance depends on peers to reach them.
        """
        version = self._checks.version
        is_judged = self._judged_versions.get(service) == version
        if is_judged and self._sender.reaches_directly():
            return
        self._judged_versions[service] = version
        for waiter in queue.list_waiting():
            exchange, future = waiter.item
            with _pass_errors(future):
                obstacle = self._checks.find_obstacle(exchange)
                if obstacle is not None:
                    _resolve(future, obstacle)
            if future.done():
                queue.remove(waiter)

    def _place_waiter(
        self, queue: WaitQueue[_QueuedRequest], waiter: Waiter[_QueuedRequest]
    ) -> bool:
        exchange, future = waiter.item
        if future.done():
            # Its caller has left, and its task has not run since.
            return False
        with _pass_errors(future):
            attempt = self._place(exchange, queue.needs_headroom(waiter, self._clock.now_ms()))
            if attempt is not None:
                _resolve(future, attempt)
        return future.done()

    def _place(self, exchange: Exchange, leaves_headroom: bool) -> Attempt | None:
        now_ms = self._clock.now_ms()
        download_bytes = self._dispatch_state.estimate_download_bytes(exchange.route)
        if download_bytes and not self._dispatch_state.has_room_for_download(download_bytes):
            return None
        request = PlacementRequest(
            exchange.service,
            exchange.object_key,
            exchange.route.sticky,
            exchange.route.latency_objective_ms,
            exchange.allowed_regions,
            frozenset(exchange.excluded_targets),
            self._dispatch_state.get_durations(exchange.route),
            now_ms - exchange.queued_at_ms,
            self._dispatch_state.get_response_size(exchange.route).mean_bytes,
            download_bytes > 0,
            leaves_headroom,
            exchange.has_object,
        )
        placements = self._dispatch_state.placer.choose(request, now_ms)
        placements = self._checks.list_in_time(placements, request.durations, now_ms)
        attempt = self._dispatch_state.try_start_attempt(
            placements, exchange.organisation, download_bytes, now_ms
        )
        if attempt is not None and exchange.has_object:
            # The attempt holds a slot, so that it must reach the request in any case.
            with self._failures.contain("placement", request=exchange.id):
                self._record_object(exchange, attempt, now_ms)
        return attempt

    def _record_object(self, exchange: Exchange, attempt: Attempt, now_ms: int) -> None:
        targets = self._routing_state.targets
        targets.record_send(attempt.state, exchange.object_key, now_ms)
        if attempt.placement.may_be_first_run:
            self.on_possible_first_run(attempt.state, exchange.object_key)

    async def _send(self, exchange: Exchange, attempt: Attempt) -> UpstreamResponse | SendFailure:
        hedged_sender = self._hedged_sender
        if hedged_sender is None or not hedged_sender.may_hedge(exchange):
            return await self._send_attempt(exchange, attempt, exchange.outgoing)
        return await hedged_sender.send(
            exchange,
            attempt,
            functools.partial(self._send_attempt, exchange),
            lambda: bool(self._queues.get(exchange.service)),
        )

    async def _send_attempt(
        self,
        exchange: Exchange,
        attempt: Attempt,
        outgoing: OutgoingRequest,
        may_send: Callable[[], bool] = allow_send,
    ) -> UpstreamResponse | SendFailure:
        """Send one attempt, if `may_send` allows it once there is a connection."""
        target = attempt.state.target
        outgoing.headers[EXPECTED_TARGET_HEADER] = target.id
        outgoing.deadline_ms = exchange.deadline_ms
        outgoing.begun = False
        exchange.attempts.record_attempt()
        exchange.last_attempt = attempt
        try:
            response_timeout_ms = max(1, exchange.response_deadline_ms - self._clock.now_ms())
            result = await self._sender.send(
                target,
                outgoing,
                response_timeout_ms,
                exchange.allowed_regions,
                handle_report=self._failures.guard(
                    "target_report", functools.partial(self._dispatch_state.record_report, attempt)
                ),
                may_still_send=lambda: (
                    may_send() and self._checks.may_still_send(exchange, attempt)
                ),
            )
        except BaseException:
            # The request may have been sent when its caller left or the process ends.
            exchange.is_trial = False
            exchange.attempts.maybe_run |= outgoing.begun
            raise
        finally:
            self._dispatch_state.finish_attempt(attempt)
            self._serve_soon(exchange.service)
        if not (isinstance(result, SendFailure) and result.kind.certainly_not_sent):
            exchange.is_trial = False
        with self._failures.contain("result", request=exchange.id):
            self._dispatch_state.record_result(exchange.route, exchange.object_key, attempt, result)
        return result

    def _process_result(
        self, exchange: Exchange, result: UpstreamResponse | SendFailure
    ) -> UpstreamResponse | Refusal | None:
        """Return the final response or refusal, or None when the request must be sent again."""
        decision = exchange.attempts.decide(
            classify_outcome(result),
            lambda: self._dispatch_state.try_acquire_retry(exchange.service),
        )
        if decision.step is NextStep.DELIVER and isinstance(result, UpstreamResponse):
            return result
        exclude_target(exchange, result)
        if isinstance(result, UpstreamResponse):
            kind, detail = AttemptOutcome.ANSWERED_FAILURE.value, f"status {result.status}"
            exchange.failed_response = result
        else:
            kind, detail = result.kind.value, result.detail
        if decision.step is NextStep.SEND_AGAIN:
            self._metrics.retries.labels(kind).inc()
            _log.info(
                "sent_again",
                request=exchange.id,
                fingerprint=exchange.outgoing.fingerprint,
                after=kind,
                target=result.target_id,
                detail=detail,
            )
            return None
        reason = decision.reason or RefusalReason.TARGET_FAILED
        return prefer_failed_response(
            exchange, refuse(exchange, reason, Step.SEND, f"{kind}: {detail}")
        )


async def _skip_probe(target: Target) -> None:
    """Wait for nothing; the default of `Dispatcher.wait_for_probe`."""


@contextlib.contextmanager
def _pass_errors(future: asyncio.Future[Attempt | NoPlacement]) -> Iterator[None]:
    """Let the waiting request that a block concerns raise its error, and no other."""
    try:
        yield
    except Exception as error:
        if not future.done():
            future.set_exception(error)


def _resolve(future: asyncio.Future[Attempt | NoPlacement], result: Attempt | NoPlacement) -> None:
    if not future.done():
        future.set_result(result)
