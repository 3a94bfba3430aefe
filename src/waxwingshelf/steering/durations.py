"""Typical durations of a route's requests at a target, with and without a warm object.

An object is warm at a target that has handled it recently; a request for it runs faster there.
Under overload, most of a request's duration is waiting time at the target. If this time counted as
work, every target would look slow and a switch to another target cheap, and the requests sent to
other targets would evict the warm objects of those targets. Therefore only requests that found a
free slot count.
"""

from __future__ import annotations

import msgspec

__all__ = ["RouteDurations"]

_SMOOTHING_FACTOR = 0.1
_INITIAL_WARM_RATIO = 0.45
_INITIAL_COLD_RATIO = 1.45
# A sample is clamped to the range from 1 / ratio to ratio times the average.
_MAX_SAMPLE_RATIO = 2.0


class RouteDurations(msgspec.Struct):
    """Moving averages of durations, initialised from the route's latency objective."""

    latency_objective_ms: int
    warm_ms: float = 0.0
    cold_ms: float = 0.0

    def __post_init__(self) -> None:
        """Initialise the averages from the latency objective, as there are no samples yet."""
        self.warm_ms = self.latency_objective_ms * _INITIAL_WARM_RATIO
        self.cold_ms = self.latency_objective_ms * _INITIAL_COLD_RATIO

    def is_nearer_to_warm(self, elapsed_ms: int) -> bool:
        """Return whether a duration is rather that of a request that found its object warm."""
        return elapsed_ms * elapsed_ms < self.warm_ms * self.cold_ms

    def record(self, elapsed_ms: int, warm: bool) -> None:
        """Add the duration of one request that did not wait for a slot."""
        if warm:
            self.warm_ms = _update_average(self.warm_ms, elapsed_ms)
        else:
            self.cold_ms = max(self.warm_ms, _update_average(self.cold_ms, elapsed_ms))


def _update_average(average_ms: float, elapsed_ms: int) -> float:
    bounded_ms = min(
        max(float(elapsed_ms), average_ms / _MAX_SAMPLE_RATIO), _MAX_SAMPLE_RATIO * average_ms
    )
    return average_ms + _SMOOTHING_FACTOR * (bounded_ms - average_ms)
