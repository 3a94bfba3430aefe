"""What requests share by service: placement, room, typical times, retries, cold targets."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.settings import Bounds
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.upstream import FailureKind, SendFailure, UpstreamResponse
from waxwingshelf.steering.config import RouteRule
from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.limits import ColdTargetLimiter, RetryBudget
from waxwingshelf.steering.placement import Locality, Placement, Placer
from waxwingshelf.steering.targets import TargetState

__all__ = ["Attempt", "DispatchState"]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request at a target, with what it was placed on."""

    placement: Placement
    number: int
    sent_ms: int

    @property
    def state(self) -> TargetState:
        """Return the target."""
        return self.placement.state


class DispatchState:
    """Shared state of the request path."""

    def __init__(
        self,
        name: str,
        locality: Locality,
        bounds: Bounds,
        beliefs: RoutingState,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._bounds = bounds
        self._routing_state = beliefs
        self._fleet = fleet
        self._clock = clock
        self._cold = ColdTargetLimiter(name)
        self._retries: dict[str, RetryBudget] = {}
        self._durations: dict[str, RouteDurations] = {}
        self._numbers = itertools.count()
        self.placer = Placer(locality, beliefs.targets)

    def apply_settings(self, locality: Locality, bounds: Bounds) -> None:
        """Take over changed settings."""
        self._bounds = bounds
        self._retries.clear()
        self.placer = Placer(locality, self._routing_state.targets)

    def record_request(self, service: str) -> None:
        """Count a request for the retry budget of its service."""
        self._find_retries(service).record_request()

    def try_acquire_retry(self, service: str) -> bool:
        """Take one repeat from the service's budget."""
        return self._find_retries(service).try_acquire()

    def get_durations(self, route: RouteRule) -> RouteDurations:
        """Return the typical times of a route's requests."""
        durations = self._durations.get(route.name)
        if durations is None or durations.latency_objective_ms != route.latency_objective_ms:
            durations = self._durations[route.name] = RouteDurations(route.latency_objective_ms)
        return durations

    def try_acquire_send(self, state: TargetState, now_ms: int) -> bool:
        """Tell whether the target may get a request now; a cold one's allotment is used up."""
        if not state.is_cold(now_ms):
            return True
        config = self._routing_state.config
        rule = config.services.get(state.target.service) if config else None
        if rule is None or rule.cold_per_s <= 0:
            return True
        bound = rule.cold_per_s * self._bounds.cold_overage + self._bounds.cold_slack
        return self._cold.try_acquire(
            state.target.id, bound, self._fleet.list_instance_names(), now_ms
        )

    def start_attempt(self, placement: Placement) -> Attempt:
        """Count a request at the target from now on."""
        send = Attempt(placement, next(self._numbers), self._clock.now_ms())
        send.state.in_flight[send.number] = send.sent_ms
        return send

    def finish_attempt(self, send: Attempt) -> None:
        """End the count of a request."""
        send.state.in_flight.pop(send.number, None)

    def record_result(
        self,
        route: RouteRule,
        object_key: str,
        send: Attempt,
        result: UpstreamResponse | SendFailure,
    ) -> None:
        """Learn from how a request ended."""
        now_ms = self._clock.now_ms()
        state = send.state
        if result.load is not None:
            state.record_load(result.load, now_ms)
        if isinstance(result, UpstreamResponse):
            state.record_outcome(result.status >= 500, now_ms)
            self._note_duration(route, send, now_ms - send.sent_ms, now_ms)
            state.record_warm_object(object_key, now_ms)
            return
        if result.kind is FailureKind.WRONG_TARGET:
            self._routing_state.targets.remove(state.target.id)
        elif result.kind is FailureKind.NOT_CONNECTED:
            state.suspend(now_ms)
        state.record_outcome(True, now_ms)

    def _note_duration(self, route: RouteRule, send: Attempt, elapsed_ms: int, now_ms: int) -> None:
        placement = send.placement
        send.state.record_duration(elapsed_ms / placement.typical_ms, now_ms)
        if placement.load < send.state.target.slots:
            self.get_durations(route).record(elapsed_ms, placement.warm)

    def _find_retries(self, service: str) -> RetryBudget:
        budget = self._retries.get(service)
        instances = self._fleet.count_instances()
        if budget is None:
            budget = RetryBudget(self._bounds.retry_ratio, self._bounds.retry_slack, instances)
            self._retries[service] = budget
        budget.set_instance_count(instances)
        return budget
