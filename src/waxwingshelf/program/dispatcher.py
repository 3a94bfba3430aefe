"""Bring one admitted request to a target: wait for a slot, send, retry."""

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

_POLL_S = 0.02
_MAX_ATTEMPTS = 4
_RETRY_AFTER_MS = 1_000
_MS_PER_S = 1_000


@dataclass(slots=True)
class Exchange:
    """One admitted request; `deadline_ms` is a reading of the monotonic clock.

    `resendable` is False when the body is a stream that can be sent only once.
    """

    service: str
    organisation: str
    request: TargetRequest
    deadline_ms: int
    resendable: bool = True


@dataclass(slots=True)
class RoutedResponse:
    """An answer with the place it holds until it is read."""

    response: TargetResponse
    route: Route


class _Lane:
    """The targets and the queue of one service."""

    def __init__(self, service: Service) -> None:
        self.table = TargetTable(service)
        self.queue = FairQueue(service.queue_limit)
        self.retries = RetryBudget()
        self.events: dict[int, asyncio.Event] = {}


class Dispatcher:
    """Own the lanes of all services."""

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
        self._lanes: dict[str, _Lane] = {}
        self._revision = -1
        self._stopping: set[str] = set()
        self._waiting = asyncio.Event()

    async def run(self) -> None:
        """Wake waiters as room appears for reasons other than an ended request."""
        while True:
            await self._waiting.wait()
            self._waiting.clear()
            for lane in self._lanes.values():
                if len(lane.queue):
                    self._waiting.set()
                    self._wake(lane)
            await asyncio.sleep(_POLL_S)

    def apply_config(self) -> None:
        """Take over targets and planned stops of the configuration in force."""
        config = self._control.config
        if config is None:
            return
        stopping = config.list_stopping("target", self._clock.wall_ms())
        if config.revision == self._revision and stopping == self._stopping:
            return
        self._revision = config.revision
        self._stopping = stopping
        for name in [name for name in self._lanes if name not in config.manifest.services]:
            del self._lanes[name]
        for name, service in config.manifest.services.items():
            lane = self._lanes.setdefault(name, _Lane(service))
            lane.table.update(service, config.targets_by_service.get(name, {}), stopping)

    def get_tables_by_service(self) -> dict[str, TargetTable]:
        """Return the table of each service."""
        return {name: lane.table for name, lane in self._lanes.items()}

    async def dispatch(self, config: Config, exchange: Exchange) -> RoutedResponse | Refusal:
        """Send a job until it is answered, cannot be retried or runs out of time."""
        self.apply_config()
        lane = self._lanes.get(exchange.service)
        if lane is None:
            # The service was removed after the request had been admitted.
            return refuse(refusals.SERVICE_UNKNOWN)
        service = config.manifest.services[exchange.service]
        lane.retries.record_request(exchange.organisation, service.retry_share)
        tried: frozenset[str] = frozenset()
        ran = Ran.NO
        for _ in range(_MAX_ATTEMPTS):
            route = await self._find_route(config, lane, service, exchange, tried)
            if isinstance(route, Refusal):
                return _limit_claim(route, ran)
            result = await self._send(lane, route, exchange)
            if isinstance(result, TargetResponse):
                return RoutedResponse(result, route)
            if not result.kind.certainly_not_run:
                ran = Ran.UNKNOWN
            refusal = self._judge_failure(lane, exchange, result)
            if refusal is not None:
                return _limit_claim(refusal, ran)
            self._metrics.count(f"retry.{result.kind.value}")
            tried |= {result.target}
        return refuse(refusals.RETRIES_EXHAUSTED, ran=ran, retry_after_ms=_RETRY_AFTER_MS)

    def close_response(self, service: str, routed: RoutedResponse, reusable: bool) -> None:
        """Free the place of an answer that was read, or given up."""
        routed.response.close(reusable)
        lane = self._lanes.get(service)
        self._free(lane, routed.route)

    async def _send(
        self, lane: _Lane, route: Route, exchange: Exchange
    ) -> TargetResponse | SendFailure:
        state = route.state
        started_ms = self._clock.now_ms()
        state.in_flight += 1
        try:
            result = await self._client.send(state.name, state.target, exchange.request)
        except BaseException:
            self._free(lane, route)
            raise
        now_ms = self._clock.now_ms()
        failed = isinstance(result, SendFailure) and result.kind is not FailureKind.NOT_RUN
        if not isinstance(result, SendFailure) and result.status >= 500:
            failed = True
        lane.table.record_attempt(AttemptResult(state.name, now_ms - started_ms, failed), now_ms)
        if result.load >= 0:
            lane.table.record_report(state.name, result.load, now_ms)
        if isinstance(result, SendFailure):
            if result.draining:
                lane.table.record_health(state.name, Health.DRAINING, now_ms)
            self._free(lane, route)
        return result

    def _judge_failure(
        self, lane: _Lane, exchange: Exchange, failure: SendFailure
    ) -> Refusal | None:
        safe = failure.kind.certainly_not_run or exchange.request.idempotent
        ran = Ran.NO if failure.kind.certainly_not_run else Ran.UNKNOWN
        late = self._clock.now_ms() >= exchange.deadline_ms
        if failure.kind is FailureKind.TIMEOUT or late:
            detail = failure.detail
            return refuse(refusals.DEADLINE_PASSED, ran=ran, peer=failure.target, detail=detail)
        if not safe or not exchange.resendable:
            return refuse(
                refusals.TARGET_FAILED,
                ran=ran,
                peer=failure.target,
                detail=failure.detail,
                retry_after_ms=_RETRY_AFTER_MS,
            )
        if failure.kind is not FailureKind.NOT_RUN and not lane.retries.take(exchange.organisation):
            return refuse(
                refusals.RETRIES_EXHAUSTED,
                ran=ran,
                peer=failure.target,
                detail=failure.detail,
                retry_after_ms=_RETRY_AFTER_MS,
            )
        return None

    async def _find_route(
        self,
        config: Config,
        lane: _Lane,
        service: Service,
        exchange: Exchange,
        tried: frozenset[str],
    ) -> Route | Refusal:
        weight = 1.0
        organisation = config.manifest.organisations.get(exchange.organisation)
        if organisation is not None:
            weight = organisation.weight
        if not len(lane.queue):
            route = self._route(config, lane, exchange, tried)
            if isinstance(route, Route):
                return route
        now_ms = self._clock.now_ms()
        typical_ms = self._find_typical_ms(lane)
        wait_ms = compute_wait_limit_ms(service, exchange.deadline_ms - now_ms, typical_ms)
        if wait_ms <= 0:
            return refuse(refusals.DEADLINE_TOO_SHORT, retry_after_ms=_RETRY_AFTER_MS)
        return await self._wait_for_route(config, lane, exchange, tried, weight, now_ms + wait_ms)

    async def _wait_for_route(
        self,
        config: Config,
        lane: _Lane,
        exchange: Exchange,
        tried: frozenset[str],
        weight: float,
        until_ms: int,
    ) -> Route | Refusal:
        while True:
            waiter = lane.queue.push(exchange.organisation, weight)
            if waiter is None:
                return refuse(refusals.QUEUE_FULL, retry_after_ms=_RETRY_AFTER_MS)
            self._waiting.set()
            event = lane.events[waiter.sequence_number] = asyncio.Event()
            left_ms = max(0, until_ms - self._clock.now_ms())
            try:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(event.wait(), left_ms / _MS_PER_S)
            finally:
                lane.queue.remove(waiter)
                lane.events.pop(waiter.sequence_number, None)
            route = self._route(config, lane, exchange, tried)
            if isinstance(route, Route) or self._clock.now_ms() >= until_ms:
                return route

    def _route(
        self, config: Config, lane: _Lane, exchange: Exchange, tried: frozenset[str]
    ) -> Route | Refusal:
        request = RouteRequest(exchange.service, self._local_region, tried, self._clock.now_ms())
        return route_request(request, config.manifest, lane.table, self._control.take, self._rng)

    def _find_typical_ms(self, lane: _Lane) -> float:
        known = [state.latency_ms for state in lane.table.list_states() if state.latency_ms > 0]
        return min(known, default=0.0)

    def _free(self, lane: _Lane | None, route: Route) -> None:
        route.state.in_flight -= 1
        route.slot_holding.release()
        if lane is not None:
            self._wake(lane)

    def _wake(self, lane: _Lane) -> None:
        waiter = lane.queue.pop()
        if waiter is not None:
            event = lane.events.get(waiter.sequence_number)
            if event is not None:
                event.set()


def _limit_claim(refusal: Refusal, ran: Ran) -> Refusal:
    """Say "unknown" when an earlier attempt may have run, whatever the last one did."""
    return replace(refusal, ran=Ran.UNKNOWN) if ran is Ran.UNKNOWN else refusal
