"""The targets of a service as one instance sees them, and which of them may get requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from waxwingshelf.core.manifest import Service, Target

__all__ = ["AttemptResult", "Health", "TargetState", "TargetTable"]

_MIN_REPORT_VALIDITY_MS = 20
_REPORT_VALIDITY_FACTOR = 2.0
_WARM_UP_MS = 10_000
_PROBE_VALIDITY_MS = 15_000
_OUTCOME_WINDOW = 20
_MIN_OUTCOMES = 5
_FAILURE_FRACTION = 0.5
_SLOW_FACTOR = 4.0
_EJECTION_MS = 5_000
_MAX_EJECTED_FRACTION = 0.5
_LATENCY_WEIGHT = 0.1


class Health(StrEnum):
    """The last known health of a target."""

    UNKNOWN = "unknown"
    HEALTHY = "healthy"
    DRAINING = "draining"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of a finished attempt; `failed` means that the target is at fault."""

    target: str
    latency_ms: int
    failed: bool


@dataclass(slots=True)
class TargetState:
    """The state of one target as this instance sees it.

    `other_instances_load` is the number of requests of other instances in flight at the target, as
    of its last report. It counts for less as the report ages, because most of these requests have
    ended since.
    """

    name: str
    target: Target
    slots: int
    in_flight: int = 0
    other_instances_load: int = 0
    reported_ms: int = 0
    health: Health = Health.UNKNOWN
    health_recorded_ms: int = 0
    warm_up_start_ms: int = -_WARM_UP_MS
    ejected_until_ms: int = 0
    latency_ms: float = 0.0
    recent_failures: deque[bool] = field(default_factory=lambda: deque(maxlen=_OUTCOME_WINDOW))

    def load(self, now_ms: int) -> float:
        """Return this instance's requests in flight, plus an estimate for other instances."""
        validity_ms = max(_MIN_REPORT_VALIDITY_MS, _REPORT_VALIDITY_FACTOR * self.latency_ms)
        remaining = max(0.0, 1 - (now_ms - self.reported_ms) / validity_ms)
        return self.in_flight + self.other_instances_load * remaining

    def usable_slots(self, now_ms: int) -> int:
        """Return how many slots may be used; the number grows while the target warms up."""
        warm_fraction = min(1.0, (now_ms - self.warm_up_start_ms) / _WARM_UP_MS)
        return max(1, int(self.slots * warm_fraction))

    def has_free_slot(self, now_ms: int) -> bool:
        """Return whether the estimated load leaves a usable slot free."""
        return self.load(now_ms) < self.usable_slots(now_ms)


class TargetTable:
    """Track the targets of one service."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._states: dict[str, TargetState] = {}
        self._stopping: set[str] = set()

    def update(self, service: Service, targets: dict[str, Target], stopping: set[str]) -> None:
        """Apply the service, targets and planned stops of a manifest."""
        self._service = service
        self._stopping = stopping
        for name in [name for name in self._states if name not in targets]:
            del self._states[name]
        for name, target in targets.items():
            slots = target.slots or service.slots
            state = self._states.get(name)
            if state is None or state.target != target:
                self._states[name] = TargetState(name, target, slots)
            else:
                state.slots = slots

    def find(self, name: str) -> TargetState | None:
        """Return the state of a target, or None if the target is unknown."""
        return self._states.get(name)

    def list_states(self) -> list[TargetState]:
        """Return the states of all targets."""
        return list(self._states.values())

    def list_usable(self, region: str, excluded: set[str], now_ms: int) -> list[TargetState]:
        """Return the targets of a region that may get a request now."""
        return [
            state
            for state in self._states.values()
            if state.target.region == region
            and state.name not in excluded
            and self._is_available(state, now_ms)
            and state.has_free_slot(now_ms)
        ]

    def count_slots(self, region: str, now_ms: int) -> int:
        """Return the number of usable slots of the available targets of a region."""
        return sum(
            state.usable_slots(now_ms)
            for state in self._states.values()
            if state.target.region == region and self._is_available(state, now_ms)
        )

    def record_health(self, name: str, health: Health, now_ms: int) -> None:
        """Record the health of a target; a target that recovers starts to warm up."""
        state = self._states.get(name)
        if state is None:
            return
        if health is Health.HEALTHY and state.health in (Health.DOWN, Health.DRAINING):
            state.warm_up_start_ms = now_ms
        state.health = health
        state.health_recorded_ms = now_ms

    def record_report(self, name: str, load: int, now_ms: int) -> None:
        """Record the load that a target reported."""
        state = self._states.get(name)
        if state is not None:
            state.other_instances_load = max(0, load - state.in_flight)
            state.reported_ms = now_ms

    def record_attempt(self, attempt: AttemptResult, now_ms: int) -> None:
        """Record the result of an attempt, and eject the target if it is an outlier.

        Outliers are found by failures and latency only, whatever load the target reports.
        """
        state = self._states.get(attempt.target)
        if state is None:
            return
        state.recent_failures.append(attempt.failed)
        if not attempt.failed:
            state.latency_ms += _LATENCY_WEIGHT * (attempt.latency_ms - state.latency_ms)
        if self._is_outlier(state) and self._can_eject(state, now_ms):
            state.ejected_until_ms = now_ms + _EJECTION_MS
            state.recent_failures.clear()
            state.warm_up_start_ms = now_ms + _EJECTION_MS

    def _is_available(self, state: TargetState, now_ms: int) -> bool:
        if state.name in self._stopping or state.ejected_until_ms > now_ms:
            return False
        is_fresh = now_ms - state.health_recorded_ms <= _PROBE_VALIDITY_MS
        return not (is_fresh and state.health in (Health.DRAINING, Health.DOWN))

    def _is_outlier(self, state: TargetState) -> bool:
        observed = len(state.recent_failures)
        if observed < _MIN_OUTCOMES:
            return False
        if sum(state.recent_failures) / observed >= _FAILURE_FRACTION:
            return True
        latencies_ms = sorted(
            other.latency_ms
            for other in self._states.values()
            if other is not state and len(other.recent_failures) >= _MIN_OUTCOMES
        )
        if not latencies_ms:
            return False
        typical_ms = latencies_ms[len(latencies_ms) // 2]
        return typical_ms > 0 and state.latency_ms > _SLOW_FACTOR * typical_ms

    def _can_eject(self, state: TargetState, now_ms: int) -> bool:
        region = state.target.region
        region_states = [other for other in self._states.values() if other.target.region == region]
        ejected = sum(1 for other in region_states if other.ejected_until_ms > now_ms)
        return (ejected + 1) / len(region_states) <= _MAX_EJECTED_FRACTION
