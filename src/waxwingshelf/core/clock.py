"""Time in whole milliseconds."""

from __future__ import annotations

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]

_NS_PER_MS = 1_000_000


class Clock(Protocol):
    """A source of time in milliseconds."""

    def now_ms(self) -> int:
        """Return a monotonic time that also advances while the system is suspended."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Read the system's clocks."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return CLOCK_BOOTTIME, which unlike CLOCK_MONOTONIC advances during a suspend."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS


class ManualClock:
    """A clock that changes only when `advance` is called."""

    __slots__ = ("_now_ms", "_wall_offset_ms")

    def __init__(self, now_ms: int = 0, wall_offset_ms: int = 1_700_000_000_000) -> None:
        self._now_ms = now_ms
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> int:
        """Return the current time."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current time plus a fixed offset."""
        return self._now_ms + self._wall_offset_ms

    def advance(self, ms: int) -> None:
        """Advance the clock by `ms`, which must not be negative."""
        if ms < 0:
            raise ValueError(f"cannot advance by {ms} ms")
        self._now_ms += ms
