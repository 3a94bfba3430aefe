"""A weighted fair queue for requests that wait for a slot."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count

from waxwingshelf.core.manifest import Service

__all__ = ["FairQueue", "Waiter", "compute_wait_limit_ms"]

_WAIT_SHARES = {"latency": 0.1, "fairness": 0.5}


def compute_wait_limit_ms(service: Service, left_ms: int, typical_ms: float) -> int:
    """Return how long a request may wait for a slot; negative when it cannot finish in time."""
    share = int(service.deadline_ms * _WAIT_SHARES[service.objective])
    return min(share, left_ms - int(typical_ms))


@dataclass(order=True, slots=True)
class Waiter:
    """A waiting request, ordered by its virtual finish time."""

    virtual_finish: float
    sequence_number: int
    virtual_start: float = field(compare=False)
    organisation: str = field(compare=False)
    removed: bool = field(default=False, compare=False)


class FairQueue:
    """Order waiting requests by start-time fair queueing (Goyal, Vin and Cheng, 1996).

    Each organisation moves its own virtual time by 1 / weight for a request, so one that sends
    more does not delay the others. The limit bounds each organisation's part of the queue to what
    is left over by the others.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._heap: list[Waiter] = []
        self._finish: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._virtual = 0.0
        self._numbers = count()

    def __len__(self) -> int:
        return sum(self._waiting.values())

    def push(self, organisation: str, weight: float) -> Waiter | None:
        """Add a request; None when the organisation's part of the queue is full."""
        waiting = self._waiting.get(organisation, 0)
        if waiting >= self._limit // (len(self._waiting.keys() | {organisation})):
            return None
        virtual_start = max(self._virtual, self._finish.get(organisation, 0.0))
        waiter = Waiter(
            virtual_start + 1 / weight, next(self._numbers), virtual_start, organisation
        )
        self._finish[organisation] = waiter.virtual_finish
        self._waiting[organisation] = waiting + 1
        heapq.heappush(self._heap, waiter)
        return waiter

    def pop(self) -> Waiter | None:
        """Take the request that is due next."""
        while self._heap:
            waiter = heapq.heappop(self._heap)
            if waiter.removed:
                continue
            self._virtual = max(self._virtual, waiter.virtual_start)
            self._leave(waiter)
            return waiter
        return None

    def remove(self, waiter: Waiter) -> None:
        """Take out a request that has stopped waiting."""
        if not waiter.removed:
            self._leave(waiter)

    def _leave(self, waiter: Waiter) -> None:
        waiter.removed = True
        left = self._waiting[waiter.organisation] - 1
        if left:
            self._waiting[waiter.organisation] = left
        else:
            del self._waiting[waiter.organisation]
            self._finish.pop(waiter.organisation, None)
