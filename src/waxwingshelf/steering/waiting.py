"""Queue of a service's requests that wait on this instance for capacity at a target.

A burst can bring several times the requests that the slots can carry. Served in order of arrival,
every request would wait until it is late, and all slots would produce late responses. Therefore
requests that can still meet their latency objective go first, in order of priority, and late
requests get the remaining capacity.

A late request that will probably not get capacity before its deadline leaves the queue immediately.
Its wait is estimated from the rate at which late requests recently got capacity, or from the recent
peak rate of all requests if that is higher. The peak rate counts less and less while capacity goes
only to requests that are not late.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from waxwingshelf.steering.throughput import Throughput

__all__ = ["WaitQueue", "Waiter"]

_T = TypeVar("_T")
_DEFAULT_MAX_WAITING = 2_000
_MS_PER_S = 1_000
# A few late requests may always wait, as nothing is known of the capacity at first.
_MIN_LATE_RATE_PER_S = 2.0


@dataclass(slots=True)
class Waiter(Generic[_T]):
    """A waiting request; times are clock readings.

    `priority` is the organisation's if it has one, and `route_priority` always the route's. A
    request sent before `late_from_ms` can still meet its latency objective, and a request sent by
    `latest_send_ms` its deadline. Requests of the same `group` compete for the same targets. For an
    expired request, `expected_wait_ms` is the estimated wait for capacity.
    """

    item: _T
    priority: int
    late_from_ms: int
    latest_send_ms: int
    group: Hashable = None
    expected_wait_ms: int = 0
    sequence: int = field(default=0)
    route_priority: int = 0


class WaitQueue(Generic[_T]):
    """The waiting requests of one service."""

    def __init__(self, max_waiting: int = _DEFAULT_MAX_WAITING) -> None:
        self._waiters: dict[int, Waiter[_T]] = {}
        self._sequences = itertools.count(1)
        self._max_waiting = max_waiting
        self._placements: dict[Hashable, Throughput] = {}
        self._late_placements: dict[Hashable, Throughput] = {}
        # For each group with late requests waiting: placements since the last late placement.
        self._placed_since_late: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def is_full(self) -> bool:
        """Return whether the queue has reached its maximum length."""
        return len(self._waiters) >= self._max_waiting

    def add(self, waiter: Waiter[_T]) -> bool:
        """Add a request; return False if the queue is full."""
        if self.is_full():
            return False
        waiter.sequence = next(self._sequences)
        self._waiters[waiter.sequence] = waiter
        return True

    def remove(self, waiter: Waiter[_T]) -> None:
        """Remove a request, for example after its caller has disconnected."""
        self._waiters.pop(waiter.sequence, None)

    def expire(self, now_ms: int) -> list[Waiter[_T]]:
        """Remove and return the requests that will probably miss their deadline."""
        expired: list[Waiter[_T]] = []
        positions: dict[Hashable, int] = {}
        for waiter in self.list_in_send_order(now_ms):
            if now_ms < min(waiter.late_from_ms, waiter.latest_send_ms):
                continue
            position = positions.get(waiter.group, 0)
            wait_ms = (position + 1) / self._compute_late_rate(waiter.group, now_ms) * _MS_PER_S
            if now_ms + wait_ms > waiter.latest_send_ms:
                waiter.expected_wait_ms = int(wait_ms)
                expired.append(waiter)
            else:
                positions[waiter.group] = position + 1
        for waiter in expired:
            del self._waiters[waiter.sequence]
        self._placed_since_late = {
            group: self._placed_since_late.get(group, 0) for group in positions
        }
        return expired

    def record_placement(self, group: Hashable, late: bool, now_ms: int) -> None:
        """Record that a request got capacity at a target."""
        self._placements.setdefault(group, Throughput(now_ms)).record(now_ms)
        if late:
            self._late_placements.setdefault(group, Throughput(now_ms)).record(now_ms)
            self._placed_since_late.pop(group, None)
        elif group in self._placed_since_late:
            self._placed_since_late[group] += 1

    def _compute_late_rate(self, group: Hashable, now_ms: int) -> float:
        late_placements, placements = self._late_placements.get(group), self._placements.get(group)
        recent_rate = late_placements.compute_rate(now_ms) if late_placements else 0.0
        peak_rate = placements.compute_recent_peak(now_ms) if placements else 0.0
        expected_rate = 0.0
        if peak_rate > 0:
            # Halved for each second's worth of capacity that went to requests that were not late.
            expected_rate = peak_rate * 0.5 ** (self._placed_since_late.get(group, 0) / peak_rate)
        return max(recent_rate, expected_rate, _MIN_LATE_RATE_PER_S)

    def place_waiting(self, now_ms: int, place: Callable[[Waiter[_T]], bool]) -> None:
        """Call `place` for each request in send order; requests that it accepts leave the queue."""
        for waiter in self.list_in_send_order(now_ms):
            if place(waiter):
                self._waiters.pop(waiter.sequence, None)
                self.record_placement(waiter.group, now_ms >= waiter.late_from_ms, now_ms)

    def list_in_send_order(self, now_ms: int) -> list[Waiter[_T]]:
        """Return the requests in send order.

        Those that are not late go first, then the priority decides, then the route's own priority,
        and then the arrival.
        """
        return sorted(
            self._waiters.values(),
            key=lambda waiter: (
                now_ms >= waiter.late_from_ms,
                waiter.priority,
                waiter.route_priority,
                waiter.sequence,
            ),
        )
