"""Measure the rate of events, such as placements of requests, from the times of the events."""

from __future__ import annotations

import math

__all__ = ["Throughput"]

_MS_PER_S = 1_000
_TIME_CONSTANT_MS = 2_000.0
# Long enough that the recent peak rate is still expected after an outage of a few seconds.
_PEAK_HALF_LIFE_MS = 10_000.0


class Throughput:
    """An exponentially decaying rate in events per second, and its peak of the last seconds."""

    __slots__ = ("_at_ms", "_peak_at_ms", "_peak_per_s", "_rate_per_s")

    def __init__(self, now_ms: int) -> None:
        self._rate_per_s = 0.0
        self._at_ms = now_ms
        self._peak_per_s = 0.0
        self._peak_at_ms = now_ms

    def record(self, now_ms: int) -> None:
        """Record one event."""
        rate = self.compute_rate(now_ms) + _MS_PER_S / _TIME_CONSTANT_MS
        peak = self.compute_recent_peak(now_ms)
        self._rate_per_s = rate
        self._at_ms = now_ms
        if rate >= peak:
            self._peak_per_s = rate
            self._peak_at_ms = now_ms

    def compute_rate(self, now_ms: int) -> float:
        """Return the current rate in events per second."""
        return self._rate_per_s * math.exp((self._at_ms - now_ms) / _TIME_CONSTANT_MS)

    def compute_recent_peak(self, now_ms: int) -> float:
        """Return the peak rate in events per second, decayed by the time since it was reached."""
        age_ms = now_ms - self._peak_at_ms
        return self._peak_per_s * float(0.5 ** (age_ms / _PEAK_HALF_LIFE_MS))
