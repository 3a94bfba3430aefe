"""Requests of one service that wait here for room at a target.

Load pattern answered: a burst brings several times what the slots can carry. Served in order of
arrival, every request would wait until it is late, and all slots would go to answers that came too
late. So those that can still be answered within their aim go first, the urgent before the others,
and late ones take what is left; one whose time is over leaves at once.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

__all__ = ["Waiter", "WaitingLine"]

_T = TypeVar("_T")
_MOST_WAITING = 2_000


@dataclass(slots=True)
class Waiter(Generic[_T]):
    """One waiting request; times are clock readings.

    `late_from_ms` is the last moment to be sent and answered within the aim, `hopeless_from_ms`
    the last to be answered at all.
    """

    item: _T
    priority: int
    late_from_ms: int
    hopeless_from_ms: int
    number: int = field(default=0)


class WaitingLine(Generic[_T]):
    """The waiting requests of a service."""

    def __init__(self, most: int = _MOST_WAITING) -> None:
        self._waiters: dict[int, Waiter[_T]] = {}
        self._numbers = itertools.count(1)
        self._most = most

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter[_T]) -> bool:
        """Take in a request; False when the line is full."""
        if len(self._waiters) >= self._most:
            return False
        waiter.number = next(self._numbers)
        self._waiters[waiter.number] = waiter
        return True

    def remove(self, waiter: Waiter[_T]) -> None:
        """Drop a request that left."""
        self._waiters.pop(waiter.number, None)

    def expire(self, now_ms: int) -> list[Waiter[_T]]:
        """Remove and return the requests that cannot be answered in time any more."""
        over = [waiter for waiter in self._waiters.values() if now_ms >= waiter.hopeless_from_ms]
        for waiter in over:
            del self._waiters[waiter.number]
        return over

    def serve(self, now_ms: int, place: Callable[[Waiter[_T]], bool]) -> None:
        """Offer room to all requests in order; those that `place` takes leave the line."""
        for waiter in self.list_in_order(now_ms):
            if place(waiter):
                self._waiters.pop(waiter.number, None)

    def list_in_order(self, now_ms: int) -> list[Waiter[_T]]:
        """Return the requests in the order in which they are to be sent."""
        return sorted(
            self._waiters.values(),
            key=lambda waiter: (now_ms >= waiter.late_from_ms, waiter.priority, waiter.number),
        )
