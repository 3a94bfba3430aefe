"""A weighted fair queue of requests that wait for a slot."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count

from waxwingshelf.core.manifest import Service

__all__ = ["FairQueue", "Waiter", "compute_wait_limit_ms"]

# The fraction of a service's deadline that a request may wait, by objective.
_MAX_WAIT_FRACTIONS = {"latency": 0.1, "fairness": 0.5}


def compute_wait_limit_ms(service: Service, remaining_ms: int, typical_ms: float) -> int:
    """Return how long a request may wait for a slot.

    The result is negative if the request is not expected to finish within `remaining_ms`.
    """
    max_wait_ms = int(service.deadline_ms * _MAX_WAIT_FRACTIONS[service.objective])
    return min(max_wait_ms, remaining_ms - int(typical_ms))


@dataclass(order=True, slots=True)
class Waiter:
    """A waiting request, ordered by virtual finish time, then by arrival."""

    virtual_finish: float
    sequence_number: int
    virtual_start: float = field(compare=False)
    organisation: str = field(compare=False)
    removed: bool = field(default=False, compare=False)


class FairQueue:
    """Order waiting requests by start-time fair queueing (Goyal, Vin and Cheng, 1996).

    Each request advances its organisation's virtual time by 1 / weight, so an organisation that
    sends more requests does not delay other organisations. `limit` is divided equally among the
    organisations with waiting requests; `push` refuses a request if its organisation's part is
    full.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._heap: list[Waiter] = []
        self._last_finish: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._virtual_time = 0.0
        self._sequence_numbers = count()

    def __len__(self) -> int:
        return sum(self._waiting.values())

    def push(self, organisation: str, weight: float) -> Waiter | None:
        """Add a request, or return None if the organisation's part of the queue is full."""
        waiting = self._waiting.get(organisation, 0)
        if waiting >= self._limit // (len(self._waiting.keys() | {organisation})):
            return None
        virtual_start = max(self._virtual_time, self._last_finish.get(organisation, 0.0))
        waiter = Waiter(
            virtual_start + 1 / weight, next(self._sequence_numbers), virtual_start, organisation
        )
        self._last_finish[organisation] = waiter.virtual_finish
        self._waiting[organisation] = waiting + 1
        heapq.heappush(self._heap, waiter)
        return waiter

    def pop(self) -> Waiter | None:
        """Remove and return the next request, or return None if no request is waiting."""
        while self._heap:
            waiter = heapq.heappop(self._heap)
            if waiter.removed:
                continue
            self._virtual_time = max(self._virtual_time, waiter.virtual_start)
            self._mark_removed(waiter)
            return waiter
        return None

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that has stopped waiting, if it is still in the queue."""
        if not waiter.removed:
            self._mark_removed(waiter)

    def _mark_removed(self, waiter: Waiter) -> None:
        waiter.removed = True
        remaining = self._waiting[waiter.organisation] - 1
        if remaining:
            self._waiting[waiter.organisation] = remaining
        else:
            del self._waiting[waiter.organisation]
            self._last_finish.pop(waiter.organisation, None)
