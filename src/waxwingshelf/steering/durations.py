"""Typical times of a route's requests at a target, with and without a warm object.

Load pattern answered: under overload an answer's time is mostly waiting at the target. Taken for
work, it would make every target look slow and every detour look cheap, and the detours would in
turn drive the warm objects out. So only requests that found a free slot count.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["RouteDurations"]

_WEIGHT = 0.1
_FIRST_WARM_PART = 0.45
_FIRST_COLD_PART = 1.45
# An answer counts as at most this many times the average, and at least that part of it.
_MOST_RATIO = 2.0


@dataclass(slots=True)
class RouteDurations:
    """Moving averages in milliseconds, begun from the route's aim."""

    latency_objective_ms: int
    warm_ms: float = field(init=False)
    cold_ms: float = field(init=False)

    def __post_init__(self) -> None:
        """Start from the aim, as nothing was measured yet."""
        self.warm_ms = self.latency_objective_ms * _FIRST_WARM_PART
        self.cold_ms = self.latency_objective_ms * _FIRST_COLD_PART

    def record(self, elapsed_ms: int, warm: bool) -> None:
        """Take in one answer that did not wait for a slot."""
        if warm:
            self.warm_ms = _move(self.warm_ms, elapsed_ms)
        else:
            self.cold_ms = max(self.warm_ms, _move(self.cold_ms, elapsed_ms))


def _move(average_ms: float, elapsed_ms: int) -> float:
    bounded_ms = min(max(float(elapsed_ms), average_ms / _MOST_RATIO), _MOST_RATIO * average_ms)
    return average_ms + _WEIGHT * (bounded_ms - average_ms)
