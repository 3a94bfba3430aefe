"""Dispatch an admitted request to a target: wait for a free slot, send it, and retry."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, replace

from waxwingshelf.adapters.target_http import (
    FailureKind,
    SendFailure,
    TargetClient,
    TargetRequest,
    TargetResponse,
)
from waxwingshelf.core import refusals
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.config import Config
from waxwingshelf.core.fair_queue import FairQueue, compute_wait_limit_ms
from waxwingshelf.core.manifest import Service
from waxwingshelf.core.refusals import Ran, Refusal, refuse
from waxwingshelf.core.retries import RetryBudget
from waxwingshelf.core.routing import Route, RouteRequest, route_request
from waxwingshelf.core.targets import AttemptResult, Health, TargetTable
from waxwingshelf.ports import Metrics
from waxwingshelf.program.control import ControlPlane

__all__ = ["Dispatcher", "Exchange", "RoutedResponse"]

_POLL_INTERVAL_S = 0.02
_MAX_ATTEMPTS = 4
_RETRY_AFTER_MS = 1_000
_MS_PER_S = 1_000


@dataclass(slots=True)
class Exchange:
    """An admitted request to dispatch.

    `deadline_ms` is a reading of the monotonic clock. `resendable` is False if the body is a stream
    that can be sent only once. `ran` tells whether a target may have run the request so far.
    """

    service: str
    organisation: str
    request: TargetRequest
    deadline_ms: int
    resendable: bool = True
    ran: Ran = Ran.NO


@dataclass(slots=True)
class RoutedResponse:
    """A target's response and its route, whose slot is held until the response is closed."""

    response: TargetResponse
    route: Route


class _ServiceState:
    """The targets, wait queue and retry budget of one service."""

    def __init__(self, service: Service) -> None:
        self.table = TargetTable(service)
        self.queue = FairQueue(service.queue_limit)
        self.retry_budget = RetryBudget()
        self.wake_events: dict[int, asyncio.Event] = {}


class Dispatcher:
    """Dispatch requests to the targets of all services."""

    def __init__(
        self,
        control: ControlPlane,
        client: TargetClient,
        clock: Clock,
        metrics: Metrics,
        local_region: str,
    ) -> None:
        self._control = control
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._local_region = local_region
        self._rng = random.Random(local_region)
        self._service_states: dict[str, _ServiceState] = {}
        self._revision = -1
        self._stopping_targets: set[str] = set()
        self._has_waiters = asyncio.Event()

    async def run(self) -> None:
        """Wake waiters periodically until cancelled.

        Capacity may also appear for reasons other than the end of a local request.
        """
        while True:
            await self._has_waiters.wait()
            self._has_waiters.clear()
            for service_state in self._service_states.values():
                if len(service_state.queue):
                    self._has_waiters.set()
                    self._wake_next(service_state)
            await asyncio.sleep(_POLL_INTERVAL_S)

    def apply_config(self) -> None:
        """Apply the targets and planned stops of the current configuration if they changed."""
        config = self._control.config
        if config is None:
            return
        stopping = config.list_stopping("target", self._clock.wall_ms())
        if config.revision == self._revision and stopping == self._stopping_targets:
            return
        self._revision = config.revision
        self._stopping_targets = stopping
        for name in [name for name in self._service_states if name not in config.manifest.services]:
            del self._service_states[name]
        for name, service in config.manifest.services.items():
            service_state = self._service_states.setdefault(name, _ServiceState(service))
            service_state.table.update(service, config.targets_by_service.get(name, {}), stopping)

    def get_tables_by_service(self) -> dict[str, TargetTable]:
        """Return the target table of each service by service name."""
        return {name: service_state.table for name, service_state in self._service_states.items()}

    async def dispatch(self, config: Config, exchange: Exchange) -> RoutedResponse | Refusal:
        """Send a request and return the response or a refusal.

        A failed attempt is retried unless the request must not be sent again, its deadline has
        passed, or the attempts or the retry budget are used up.
        """
        self.apply_config()
        service_state = self._service_states.get(exchange.service)
        if service_state is None:
            # The service was removed after the request was admitted.
            return refuse(refusals.SERVICE_UNKNOWN)
        service = config.manifest.services[exchange.service]
        service_state.retry_budget.record_request(exchange.organisation, service.retry_share)
        tried_targets: frozenset[str] = frozenset()
        for _ in range(_MAX_ATTEMPTS):
            route = await self._acquire_route(
                config, service_state, service, exchange, tried_targets
            )
            if isinstance(route, Refusal):
                return _mark_possibly_run(route, exchange.ran)
            result = await self._send(service_state, route, exchange)
            if isinstance(result, TargetResponse):
                return RoutedResponse(result, route)
            refusal = self._check_retry(service_state, exchange, result)
            if refusal is not None:
                return _mark_possibly_run(refusal, exchange.ran)
            self._metrics.count(f"retry.{result.kind.value}")
            tried_targets |= {result.target}
        return refuse(refusals.RETRIES_EXHAUSTED, ran=exchange.ran, retry_after_ms=_RETRY_AFTER_MS)

    def close_response(self, service: str, routed: RoutedResponse, reusable: bool) -> None:
        """Close a response and release its slot.

        `reusable` is True if the response was read to its end, so that its connection can be
        reused.
        """
        routed.response.close(reusable)
        service_state = self._service_states.get(service)
        self._release_slot(service_state, routed.route)

    async def _send(
        self, service_state: _ServiceState, route: Route, exchange: Exchange
    ) -> TargetResponse | SendFailure:
        target_state = route.state
        started_ms = self._clock.now_ms()
        target_state.in_flight += 1
        ran_before = exchange.ran
        # The send may be interrupted at any moment.
        exchange.ran = Ran.UNKNOWN
        try:
            result = await self._client.send(
                target_state.name, target_state.target, exchange.request
            )
        except BaseException:
            self._release_slot(service_state, route)
            raise
        now_ms = self._clock.now_ms()
        failed = isinstance(result, SendFailure) and result.kind is not FailureKind.NOT_RUN
        if not isinstance(result, SendFailure) and result.status >= 500:
            failed = True
        service_state.table.record_attempt(
            AttemptResult(target_state.name, now_ms - started_ms, failed), now_ms
        )
        if result.load >= 0:
            service_state.table.record_report(target_state.name, result.load, now_ms)
        if isinstance(result, SendFailure):
            if result.kind.certainly_not_run:
                exchange.ran = ran_before
            if result.draining:
                service_state.table.record_health(target_state.name, Health.DRAINING, now_ms)
            self._release_slot(service_state, route)
        return result

    def _check_retry(
        self, service_state: _ServiceState, exchange: Exchange, failure: SendFailure
    ) -> Refusal | None:
        """Return the refusal after a failed attempt, or None if the request may be retried."""
        is_safe_to_resend = failure.kind.certainly_not_run or exchange.request.idempotent
        ran = Ran.NO if failure.kind.certainly_not_run else Ran.UNKNOWN
        is_past_deadline = self._clock.now_ms() >= exchange.deadline_ms
        if failure.kind is FailureKind.TIMEOUT or is_past_deadline:
            detail = failure.detail
            return refuse(refusals.DEADLINE_PASSED, ran=ran, peer=failure.target, detail=detail)
        if not is_safe_to_resend or not exchange.resendable:
            return refuse(
                refusals.TARGET_FAILED,
                ran=ran,
                peer=failure.target,
                detail=failure.detail,
                retry_after_ms=_RETRY_AFTER_MS,
            )
        if failure.kind is not FailureKind.NOT_RUN and not service_state.retry_budget.take(
            exchange.organisation
        ):
            return refuse(
                refusals.RETRIES_EXHAUSTED,
                ran=ran,
                peer=failure.target,
                detail=failure.detail,
                retry_after_ms=_RETRY_AFTER_MS,
            )
        return None

    async def _acquire_route(
        self,
        config: Config,
        service_state: _ServiceState,
        service: Service,
        exchange: Exchange,
        tried_targets: frozenset[str],
    ) -> Route | Refusal:
        weight = 1.0
        organisation = config.manifest.organisations.get(exchange.organisation)
        if organisation is not None:
            weight = organisation.weight
        if not len(service_state.queue):
            route = self._try_route(config, service_state, exchange, tried_targets)
            if isinstance(route, Route):
                return route
        now_ms = self._clock.now_ms()
        latency_ms = self._estimate_latency_ms(service_state)
        wait_ms = compute_wait_limit_ms(service, exchange.deadline_ms - now_ms, latency_ms)
        if wait_ms <= 0:
            return refuse(refusals.DEADLINE_TOO_SHORT, retry_after_ms=_RETRY_AFTER_MS)
        return await self._wait_for_route(
            config, service_state, exchange, tried_targets, weight, now_ms + wait_ms
        )

    async def _wait_for_route(
        self,
        config: Config,
        service_state: _ServiceState,
        exchange: Exchange,
        tried_targets: frozenset[str],
        weight: float,
        wait_deadline_ms: int,
    ) -> Route | Refusal:
        while True:
            waiter = service_state.queue.push(exchange.organisation, weight)
            if waiter is None:
                return refuse(refusals.QUEUE_FULL, retry_after_ms=_RETRY_AFTER_MS)
            self._has_waiters.set()
            event = service_state.wake_events[waiter.sequence_number] = asyncio.Event()
            remaining_ms = max(0, wait_deadline_ms - self._clock.now_ms())
            try:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(remaining_ms / _MS_PER_S):
                        await event.wait()
            finally:
                service_state.queue.remove(waiter)
                service_state.wake_events.pop(waiter.sequence_number, None)
            route = self._try_route(config, service_state, exchange, tried_targets)
            if isinstance(route, Route) or self._clock.now_ms() >= wait_deadline_ms:
                return route

    def _try_route(
        self,
        config: Config,
        service_state: _ServiceState,
        exchange: Exchange,
        tried_targets: frozenset[str],
    ) -> Route | Refusal:
        request = RouteRequest(
            exchange.service, self._local_region, tried_targets, self._clock.now_ms()
        )
        return route_request(
            request, config.manifest, service_state.table, self._control.take, self._rng
        )

    def _estimate_latency_ms(self, service_state: _ServiceState) -> float:
        latencies_ms = [
            state.latency_ms for state in service_state.table.list_states() if state.latency_ms > 0
        ]
        return min(latencies_ms, default=0.0)

    def _release_slot(self, service_state: _ServiceState | None, route: Route) -> None:
        route.state.in_flight -= 1
        route.slot_holding.release()
        if service_state is not None:
            self._wake_next(service_state)

    def _wake_next(self, service_state: _ServiceState) -> None:
        waiter = service_state.queue.pop()
        if waiter is not None:
            event = service_state.wake_events.get(waiter.sequence_number)
            if event is not None:
                event.set()


def _mark_possibly_run(refusal: Refusal, ran: Ran) -> Refusal:
    """Set `ran` of a refusal to unknown if any attempt, not just the last, may have run."""
    return replace(refusal, ran=Ran.UNKNOWN) if ran is Ran.UNKNOWN else refusal
