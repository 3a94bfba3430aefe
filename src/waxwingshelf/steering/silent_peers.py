"""Limit a group's part of a rate while other instances are silent.

A silent peer may be partitioned and still serve callers, and it cannot learn that demand has grown
here. If demand grew on both sides of a partition, and each side counted the last demand of the
other, the shares would sum to far more than the rate. Therefore the instances that hear each other
keep together the part that they had when the first silent peer was last heard. Within that part
the shares still follow demand.

The load pattern that this answers: an organisation asks several times its usual rate from all
regions while some instances are cut off from the others.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping

import msgspec

__all__ = ["SilentPeerCap"]

_HISTORY_SIZE = 16


class _Snapshot(msgspec.Struct, frozen=True):
    at_ms: int
    demand: Mapping[str, float]


class SilentPeerCap:
    """The part of one organisation's rate for the instances that this instance hears.

    Demand is in requests per second by instance, this instance included.
    """

    __slots__ = ("_frozen", "_history")

    def __init__(self) -> None:
        self._history: deque[_Snapshot] = deque(maxlen=_HISTORY_SIZE)
        self._frozen: _Snapshot | None = None

    def update(
        self, demand: Mapping[str, float], silent_since_ms: Mapping[str, int], now_ms: int
    ) -> float:
        """Record the current demand; return the group's part of the rate, from 0 to 1.

        `silent_since_ms` has the time of the last heartbeat of every silent peer.
        """
        self._history.append(_Snapshot(now_ms, demand))
        if not silent_since_ms:
            self._frozen = None
            return 1.0
        if self._frozen is None:
            self._frozen = self._find_snapshot(min(silent_since_ms.values()))
        return _compute_part(self._frozen.demand, silent_since_ms.keys(), len(demand))

    def _find_snapshot(self, at_ms: int) -> _Snapshot:
        """Return the last snapshot from `at_ms` or before, or the oldest one."""
        earlier = [snapshot for snapshot in self._history if snapshot.at_ms <= at_ms]
        return earlier[-1] if earlier else self._history[0]


def _compute_part(
    demand: Mapping[str, float], silent: Collection[str], instance_count: int
) -> float:
    total = sum(demand.values())
    if total <= 0:
        return 1.0 - len(silent) / instance_count
    return 1.0 - sum(demand.get(name, 0.0) for name in silent) / total
