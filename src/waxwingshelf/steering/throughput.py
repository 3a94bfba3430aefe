"""How fast waiting requests get room, from the moments at which they did."""

from __future__ import annotations

import math

__all__ = ["Throughput"]

_MS_PER_S = 1_000
_TIME_CONSTANT_MS = 2_000.0
# What was reached lately is still expected after an outage of some seconds.
_USUAL_HALF_LIFE_MS = 10_000.0


class Throughput:
    """A rate in events a second that fades, and the highest one of the last seconds."""

    __slots__ = ("_at_ms", "_rate_per_s", "_usual_at_ms", "_usual_per_s")

    def __init__(self, now_ms: int) -> None:
        self._rate_per_s = 0.0
        self._at_ms = now_ms
        self._usual_per_s = 0.0
        self._usual_at_ms = now_ms

    def record(self, now_ms: int) -> None:
        """Count one event."""
        rate = self.compute_rate(now_ms) + _MS_PER_S / _TIME_CONSTANT_MS
        usual = self.compute_recent_peak(now_ms)
        self._rate_per_s = rate
        self._at_ms = now_ms
        if rate >= usual:
            self._usual_per_s = rate
            self._usual_at_ms = now_ms

    def compute_rate(self, now_ms: int) -> float:
        """Return the present rate."""
        return self._rate_per_s * math.exp((self._at_ms - now_ms) / _TIME_CONSTANT_MS)

    def compute_recent_peak(self, now_ms: int) -> float:
        """Return the rate that was reached lately."""
        age_ms = now_ms - self._usual_at_ms
        return self._usual_per_s * float(0.5 ** (age_ms / _USUAL_HALF_LIFE_MS))
