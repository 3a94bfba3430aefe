"""Requests of one service that wait here for room at a target.

Load pattern answered: a burst brings several times what the slots can carry. Served in order of
arrival, every request would wait until it is late, and all slots would go to answers that came too
late. So those that can still be answered within their aim go first, the urgent before the others,
and late ones take what is left. One that will not get room before its time is over leaves at once:
late ones may wait in such numbers as have got room lately, or as are taken to get it soon, which
is the less likely the longer all room has gone to others.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from waxwingshelf.steering.throughput import Throughput

__all__ = ["WaitQueue", "Waiter"]

_T = TypeVar("_T")
_MOST_WAITING = 2_000
_MS_PER_S = 1_000
# Some may always wait, as nothing is known of the room yet.
_LEAST_LATE_PER_S = 2.0


@dataclass(slots=True)
class Waiter(Generic[_T]):
    """One waiting request; times are clock readings.

    `late_from_ms` is the last moment to be sent and answered within the aim, `hopeless_from_ms`
    the last to be answered at all. Those of one `group` compete for the same targets. `room_in_ms`
    is when room is expected for one that is refused.
    """

    item: _T
    priority: int
    late_from_ms: int
    latest_send_ms: int
    group: Hashable = None
    expected_wait_ms: int = 0
    sequence: int = field(default=0)


class WaitQueue(Generic[_T]):
    """The waiting requests of a service."""

    def __init__(self, max_waiting: int = _MOST_WAITING) -> None:
        self._waiters: dict[int, Waiter[_T]] = {}
        self._numbers = itertools.count(1)
        self._most = max_waiting
        self._all: dict[Hashable, Throughput] = {}
        self._late: dict[Hashable, Throughput] = {}
        self._passed: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def is_full(self) -> bool:
        """Tell whether no further request may wait."""
        return len(self._waiters) >= self._most

    def add(self, waiter: Waiter[_T]) -> bool:
        """Take in a request; False when the line is full."""
        if self.is_full():
            return False
        waiter.sequence = next(self._numbers)
        self._waiters[waiter.sequence] = waiter
        return True

    def remove(self, waiter: Waiter[_T]) -> None:
        """Drop a request that left."""
        self._waiters.pop(waiter.sequence, None)

    def expire(self, now_ms: int) -> list[Waiter[_T]]:
        """Remove and return the requests that will not be answered in time any more."""
        over: list[Waiter[_T]] = []
        ahead: dict[Hashable, int] = {}
        for waiter in self.list_in_send_order(now_ms):
            if now_ms < min(waiter.late_from_ms, waiter.latest_send_ms):
                continue
            position = ahead.get(waiter.group, 0)
            wait_ms = (position + 1) / self._find_late_rate(waiter.group, now_ms) * _MS_PER_S
            if now_ms + wait_ms > waiter.latest_send_ms:
                waiter.expected_wait_ms = int(wait_ms)
                over.append(waiter)
            else:
                ahead[waiter.group] = position + 1
        for waiter in over:
            del self._waiters[waiter.sequence]
        self._passed = {group: self._passed.get(group, 0) for group in ahead}
        return over

    def record_placement(self, group: Hashable, late: bool, now_ms: int) -> None:
        """Count a request that got room."""
        self._all.setdefault(group, Throughput(now_ms)).record(now_ms)
        if late:
            self._late.setdefault(group, Throughput(now_ms)).record(now_ms)
            self._passed.pop(group, None)
        elif group in self._passed:
            self._passed[group] += 1

    def _find_late_rate(self, group: Hashable, now_ms: int) -> float:
        late, total = self._late.get(group), self._all.get(group)
        seen = late.compute_rate(now_ms) if late else 0.0
        usual = total.compute_recent_peak(now_ms) if total else 0.0
        hoped = 0.0
        if usual > 0:
            # Halved with each second's worth of room that went to others.
            hoped = usual * 0.5 ** (self._passed.get(group, 0) / usual)
        return max(seen, hoped, _LEAST_LATE_PER_S)

    def place_waiting(self, now_ms: int, place: Callable[[Waiter[_T]], bool]) -> None:
        """Offer room to all requests in order; those that `place` takes leave the line."""
        for waiter in self.list_in_send_order(now_ms):
            if place(waiter):
                self._waiters.pop(waiter.sequence, None)
                self.record_placement(waiter.group, now_ms >= waiter.late_from_ms, now_ms)

    def list_in_send_order(self, now_ms: int) -> list[Waiter[_T]]:
        """Return the requests in the order in which they are to be sent."""
        return sorted(
            self._waiters.values(),
            key=lambda waiter: (now_ms >= waiter.late_from_ms, waiter.priority, waiter.sequence),
        )
