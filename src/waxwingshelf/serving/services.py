"""What requests share by service: placement, room, typical times, retries, cold targets."""

from __future__ import annotations

import itertools

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.settings import Bounds
from waxwingshelf.serving.beliefs import Beliefs
from waxwingshelf.serving.upstream import Answered, FailureKind, SendFailure
from waxwingshelf.steering.config import RouteRule
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.limits import ColdAllotment, RetryBudget
from waxwingshelf.steering.placement import Locality, Placement, Placer
from waxwingshelf.steering.targets import TargetState

__all__ = ["Services"]

_TYPICAL_WEIGHT = 0.1
_FIRST_TYPICAL_PART = 0.5


class Services:
    """Shared state of the request path."""

    def __init__(
        self,
        name: str,
        locality: Locality,
        bounds: Bounds,
        beliefs: Beliefs,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._bounds = bounds
        self._beliefs = beliefs
        self._fleet = fleet
        self._clock = clock
        self._cold = ColdAllotment(name)
        self._retries: dict[str, RetryBudget] = {}
        self._typical: dict[str, float] = {}
        self._numbers = itertools.count()
        self.placer = Placer(locality, beliefs.book)

    def note_arrival(self, service: str) -> None:
        """Count a request for the retry budget of its service."""
        self._find_retries(service).note_request()

    def take_retry(self, service: str) -> bool:
        """Take one repeat from the service's budget."""
        return self._find_retries(service).take()

    def find_typical_ms(self, route: RouteRule) -> float:
        """Return the time that a request of the route takes where its object is warm."""
        return self._typical.get(route.name, route.aim_ms * _FIRST_TYPICAL_PART)

    def may_send(self, state: TargetState, now_ms: int) -> bool:
        """Tell whether the target may get a request now; a cold one's allotment is used up."""
        if not state.is_cold(now_ms):
            return True
        config = self._beliefs.config
        rule = config.services.get(state.target.service) if config else None
        if rule is None or rule.cold_per_s <= 0:
            return True
        bound = rule.cold_per_s * self._bounds.cold_overage + self._bounds.cold_slack
        return self._cold.take(state.target.id, bound, self._fleet.list_names(), now_ms)

    def open_send(self, state: TargetState) -> int:
        """Count a request at the target and return its number."""
        number = next(self._numbers)
        state.in_flight[number] = self._clock.now_ms()
        return number

    def close_send(self, state: TargetState, number: int) -> None:
        """End the count of a request."""
        state.in_flight.pop(number, None)

    def note_result(
        self,
        route: RouteRule,
        object_key: str,
        placement: Placement,
        result: Answered | SendFailure,
        elapsed_ms: int,
    ) -> None:
        """Learn from how a request ended."""
        now_ms = self._clock.now_ms()
        state = placement.state
        if result.load is not None:
            state.note_load(result.load, now_ms)
        if isinstance(result, Answered):
            state.note_outcome(result.status >= 500, now_ms)
            self._note_duration(route, object_key, state, elapsed_ms, now_ms)
            state.note_warm(object_key, now_ms)
            return
        if result.kind is FailureKind.WRONG_TARGET:
            self._beliefs.book.remove(state.target.id)
        elif result.kind is FailureKind.NOT_CONNECTED:
            state.suspend(now_ms)
        state.note_outcome(True, now_ms)

    def _note_duration(
        self, route: RouteRule, object_key: str, state: TargetState, elapsed_ms: int, now_ms: int
    ) -> None:
        if not state.is_warm_for(object_key, now_ms):
            return
        typical_ms = self.find_typical_ms(route)
        state.note_duration(elapsed_ms / typical_ms, now_ms)
        # One slow target must not make slow times look typical.
        bounded_ms = min(float(elapsed_ms), 2.0 * typical_ms)
        self._typical[route.name] = typical_ms + _TYPICAL_WEIGHT * (bounded_ms - typical_ms)

    def _find_retries(self, service: str) -> RetryBudget:
        budget = self._retries.get(service)
        if budget is None:
            instances = len(self._fleet.list_names())
            budget = RetryBudget(self._bounds.retry_ratio, self._bounds.retry_slack, instances)
            self._retries[service] = budget
        return budget
