"""Estimates of how long requests wait for capacity, from the rates at which others got it.

The wait of a late request is estimated from the rate at which late requests recently got capacity,
or from the recent peak rate of all requests if that is higher. The peak rate counts less and less
while capacity goes only to requests that are not late.

Refused callers come back when they are told to. If all were told the same time, most would be
refused again. Each organisation's callers of one kind are therefore told times that follow each
other at the rate at which requests of that organisation and kind get capacity.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from waxwingshelf.steering.throughput import Throughput

__all__ = ["Group", "WaitEstimates", "WaiterKind"]

_MS_PER_S = 1_000
# A few late requests may always wait, as nothing is known of the capacity at first.
_MIN_LATE_RATE_PER_S = 2.0
# A return this far ahead says nothing of the capacity then.
_MAX_RETURN_MS = 2_000
_MAX_KINDS = 1_024

# The regions that a request may run in; empty for all.
Group = frozenset[str]


class WaiterKind(msgspec.Struct, frozen=True):
    """Requests that get capacity at one rate: of one organisation, urgency and set of targets."""

    organisation: str
    priority: int
    route_priority: int
    group: Group


class _Returns(msgspec.Struct):
    """The rate at which requests of a kind get capacity, and the last return that was announced."""

    placements: Throughput
    last_return_ms: float = 0.0
    used_ms: int = 0


class WaitEstimates:
    """The rates of one service's placements, by group and by kind."""

    def __init__(self) -> None:
        self._placements: dict[Group, Throughput] = {}
        self._late_placements: dict[Group, Throughput] = {}
        # For each group with late requests waiting: placements since the last late placement.
        self._placed_since_late: dict[Group, int] = {}
        self._returns: dict[WaiterKind, _Returns] = {}

    def __len__(self) -> int:
        return len(self._returns)

    def record_placement(self, kind: WaiterKind, late: bool, now_ms: int) -> None:
        """Record that a request got capacity at a target."""
        group = kind.group
        self._get_returns(kind, now_ms).placements.record(now_ms)
        self._placements.setdefault(group, Throughput(now_ms)).record(now_ms)
        if late:
            self._late_placements.setdefault(group, Throughput(now_ms)).record(now_ms)
            self._placed_since_late.pop(group, None)
        elif group in self._placed_since_late:
            self._placed_since_late[group] += 1

    def set_late_groups(self, groups: Collection[Group]) -> None:
        """Set which groups have late requests waiting."""
        self._placed_since_late = {group: self._placed_since_late.get(group, 0) for group in groups}

    def announce_return(self, kind: WaiterKind, wait_ms: float, now_ms: int) -> int:
        """Return in how many milliseconds a refused caller should come back.

        That is after `wait_ms`, and after the returns that others of its kind were told.
        """
        returns = self._get_returns(kind, now_ms)
        rate = max(returns.placements.compute_recent_peak(now_ms), _MIN_LATE_RATE_PER_S)
        return_ms = max(now_ms + wait_ms, returns.last_return_ms + _MS_PER_S / rate)
        returns.last_return_ms = min(return_ms, now_ms + _MAX_RETURN_MS)
        return int(returns.last_return_ms - now_ms)

    def compute_late_rate(self, group: Group, now_ms: int) -> float:
        """Return the rate per second at which late requests are expected to get capacity."""
        late_placements, placements = self._late_placements.get(group), self._placements.get(group)
        recent_rate = late_placements.compute_rate(now_ms) if late_placements else 0.0
        peak_rate = placements.compute_recent_peak(now_ms) if placements else 0.0
        expected_rate = 0.0
        if peak_rate > 0:
            # Halved for each second's worth of capacity that went to requests that were not late.
            expected_rate = peak_rate * 0.5 ** (self._placed_since_late.get(group, 0) / peak_rate)
        return max(recent_rate, expected_rate, _MIN_LATE_RATE_PER_S)

    def _get_returns(self, kind: WaiterKind, now_ms: int) -> _Returns:
        returns = self._returns.get(kind)
        if returns is None:
            if len(self._returns) >= _MAX_KINDS:
                self._remove_least_used()
            returns = self._returns[kind] = _Returns(Throughput(now_ms))
        returns.used_ms = now_ms
        return returns

    def _remove_least_used(self) -> None:
        by_use = sorted(self._returns, key=lambda kind: self._returns[kind].used_ms)
        for kind in by_use[: _MAX_KINDS // 4]:
            del self._returns[kind]
