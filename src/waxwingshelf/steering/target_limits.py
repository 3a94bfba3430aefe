"""The rate limit that a target names in its responses, and an instance's share of it.

The load pattern that this answers: a target in need accepts a few requests per second from all
instances together, fewer than one from each of a large fleet. Instances learn of the limit from
their own responses only and do not coordinate: each sends at most one request per interval, in
which the whole fleet may send one request each. Sends that were not used are not made up for, or
many instances could send at the same time.
"""

from __future__ import annotations

__all__ = ["TargetRateShare"]

_MS_PER_S = 1_000
# Only this fraction of a limit is used, since sends of several instances may coincide.
_USED_FRACTION = 0.8
# A limit of 0 still gets a request now and then, or no response could tell that the limit ended.
_MIN_LIMIT_PER_S = 0.25
# In each interval, an instance may send within this time only.
_SEND_WINDOW_MS = 2_000


class TargetRateShare:
    """When this instance may send to a target that limits the requests of all instances.

    `phase`, from 0 to 1, is the part of the first interval to wait; it should differ between
    instances.
    """

    __slots__ = ("_interval_ms", "_window_start_ms", "limit_per_s")

    def __init__(self, limit_per_s: float, instances: int, phase: float, now_ms: int) -> None:
        self._interval_ms = 0
        self.set_limit(limit_per_s, instances)
        self._window_start_ms = now_ms + int(phase * self._interval_ms)

    def set_limit(self, limit_per_s: float, instances: int) -> None:
        """Set the target's limit and the number of instances that share it."""
        self.limit_per_s = limit_per_s
        used_per_s = max(limit_per_s, _MIN_LIMIT_PER_S) * _USED_FRACTION
        self._interval_ms = max(1, int(instances / used_per_s * _MS_PER_S))

    def may_send(self, now_ms: int) -> bool:
        """Return whether this instance may send a request to the target now."""
        self._skip_missed_windows(now_ms)
        return now_ms >= self._window_start_ms

    def record_send(self, now_ms: int) -> None:
        """Record a request to the target."""
        self._window_start_ms = now_ms + self._interval_ms

    def _skip_missed_windows(self, now_ms: int) -> None:
        late_ms = now_ms - self._window_start_ms
        if late_ms >= _SEND_WINDOW_MS:
            # The last window that has begun; it may still be open.
            self._window_start_ms += late_ms // self._interval_ms * self._interval_ms
            if now_ms - self._window_start_ms >= _SEND_WINDOW_MS:
                self._window_start_ms += self._interval_ms
