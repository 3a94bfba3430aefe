"""What one instance knows of its targets, and which of them may take a request."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from waxwingshelf.core.manifest import Service, Target

__all__ = ["AttemptResult", "Health", "TargetState", "TargetTable"]

_MIN_REPORT_LIFE_MS = 20
_REPORT_LIFE_FACTOR = 2.0
_WARM_UP_MS = 10_000
_PROBE_LIFE_MS = 15_000
_WINDOW = 20
_MIN_OBSERVED = 5
_FAILURE_SHARE = 0.5
_SLOW_FACTOR = 4.0
_EJECTION_MS = 5_000
_MAX_EJECTED_SHARE = 0.5
_LATENCY_WEIGHT = 0.1


class Health(StrEnum):
    """What a target's health endpoint said last."""

    UNKNOWN = "unknown"
    HEALTHY = "healthy"
    DRAINING = "draining"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """One attempt at a target that has ended; `failed` means the target's fault."""

    target: str
    latency_ms: int
    failed: bool


@dataclass(slots=True)
class TargetState:
    """What is known of one target.

    `others` are the requests of other instances in flight there, as of the target's last report;
    they count for less as the report ages, because most of them have ended since.
    """

    name: str
    target: Target
    slots: int
    in_flight: int = 0
    others: int = 0
    reported_ms: int = 0
    health: Health = Health.UNKNOWN
    health_checked_ms: int = 0
    warm_up_started_ms: int = -_WARM_UP_MS
    ejected_until_ms: int = 0
    latency_ms: float = 0.0
    recent_failures: deque[bool] = field(default_factory=lambda: deque(maxlen=_WINDOW))

    def load(self, now_ms: int) -> float:
        """Return the own requests in flight and what is likely left of the others."""
        life_ms = max(_MIN_REPORT_LIFE_MS, _REPORT_LIFE_FACTOR * self.latency_ms)
        left = max(0.0, 1 - (now_ms - self.reported_ms) / life_ms)
        return self.in_flight + self.others * left

    def usable_slots(self, now_ms: int) -> int:
        """Return the slots that may be used; a target that came back warms up."""
        warmth = min(1.0, (now_ms - self.warm_up_started_ms) / _WARM_UP_MS)
        return max(1, int(self.slots * warmth))

    def has_free_slot(self, now_ms: int) -> bool:
        """Tell whether another request fits into the slots as far as is known."""
        return self.load(now_ms) < self.usable_slots(now_ms)


class TargetTable:
    """Track the targets of one service."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._states: dict[str, TargetState] = {}
        self._stopping: set[str] = set()

    def update(self, service: Service, targets: dict[str, Target], stopping: set[str]) -> None:
        """Take over targets and planned stops from a manifest."""
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
        """Return a target's state."""
        return self._states.get(name)

    def list_states(self) -> list[TargetState]:
        """List all targets."""
        return list(self._states.values())

    def list_usable(self, region: str, excluded: set[str], now_ms: int) -> list[TargetState]:
        """List a region's targets that may take a request now."""
        return [
            state
            for state in self._states.values()
            if state.target.region == region
            and state.name not in excluded
            and self._is_open(state, now_ms)
            and state.has_free_slot(now_ms)
        ]

    def count_slots(self, region: str, now_ms: int) -> int:
        """Count the slots of a region's targets that are open for work."""
        return sum(
            state.usable_slots(now_ms)
            for state in self._states.values()
            if state.target.region == region and self._is_open(state, now_ms)
        )

    def record_health(self, name: str, health: Health, now_ms: int) -> None:
        """Take in what a probe found; a target that comes back starts to warm up."""
        state = self._states.get(name)
        if state is None:
            return
        if health is Health.HEALTHY and state.health in (Health.DOWN, Health.DRAINING):
            state.warm_up_started_ms = now_ms
        state.health = health
        state.health_checked_ms = now_ms

    def record_report(self, name: str, load: int, now_ms: int) -> None:
        """Take in the load that a target reported."""
        state = self._states.get(name)
        if state is not None:
            state.others = max(0, load - state.in_flight)
            state.reported_ms = now_ms

    def record_attempt(self, attempt: AttemptResult, now_ms: int) -> None:
        """Judge a target by its answers, whatever its reports say."""
        state = self._states.get(attempt.target)
        if state is None:
            return
        state.recent_failures.append(attempt.failed)
        if not attempt.failed:
            state.latency_ms += _LATENCY_WEIGHT * (attempt.latency_ms - state.latency_ms)
        if self._is_outlier(state) and self._may_eject(state, now_ms):
            state.ejected_until_ms = now_ms + _EJECTION_MS
            state.recent_failures.clear()
            state.warm_up_started_ms = now_ms + _EJECTION_MS

    def _is_open(self, state: TargetState, now_ms: int) -> bool:
        if state.name in self._stopping or state.ejected_until_ms > now_ms:
            return False
        fresh = now_ms - state.health_checked_ms <= _PROBE_LIFE_MS
        return not (fresh and state.health in (Health.DRAINING, Health.DOWN))

    def _is_outlier(self, state: TargetState) -> bool:
        observed = len(state.recent_failures)
        if observed < _MIN_OBSERVED:
            return False
        if sum(state.recent_failures) / observed >= _FAILURE_SHARE:
            return True
        others = sorted(
            other.latency_ms
            for other in self._states.values()
            if other is not state and len(other.recent_failures) >= _MIN_OBSERVED
        )
        if not others:
            return False
        typical = others[len(others) // 2]
        return typical > 0 and state.latency_ms > _SLOW_FACTOR * typical

    def _may_eject(self, state: TargetState, now_ms: int) -> bool:
        region = state.target.region
        peers = [other for other in self._states.values() if other.target.region == region]
        ejected = sum(1 for other in peers if other.ejected_until_ms > now_ms)
        return (ejected + 1) / len(peers) <= _MAX_EJECTED_SHARE
