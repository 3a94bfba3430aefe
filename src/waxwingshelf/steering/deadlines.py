"""Tell callers that come back from new ones by the deadlines that they send.

Load pattern answered: at the worst load every refused caller comes back with what is left of its
time. Its aim has passed; taken for new, it would push one that can still be answered within its aim
into the late ones, which comes back in its turn.
"""

from __future__ import annotations

__all__ = ["UsualDeadlines"]

# A value that so many requests share is what callers begin with; what is left is spread widely.
_USUAL_PART = 0.05
_FEWEST_REQUESTS = 20
_HALVE_AFTER = 256


class UsualDeadlines:
    """The deadlines in milliseconds that requests of one route bring."""

    __slots__ = ("_counts", "_since_halved", "_total")

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}
        self._total = 0
        self._since_halved = 0

    def find_elapsed_ms(self, deadline_ms: int) -> int:
        """Count a request and return how long its caller has tried already, 0 when not known."""
        self._count(deadline_ms)
        least = self._total * _USUAL_PART
        if self._total < _FEWEST_REQUESTS or self._counts[deadline_ms] >= least:
            return 0
        usual = [value for value, count in self._counts.items() if count >= least]
        return min((value - deadline_ms for value in usual if value > deadline_ms), default=0)

    def _count(self, deadline_ms: int) -> None:
        if self._since_halved >= _HALVE_AFTER:
            halves = {value: count // 2 for value, count in self._counts.items()}
            self._counts = {value: count for value, count in halves.items() if count}
            self._total = sum(self._counts.values())
            self._since_halved = 0
        self._counts[deadline_ms] = self._counts.get(deadline_ms, 0) + 1
        self._total += 1
        self._since_halved += 1
