"""What an instance believes of the targets: entries, room, outcomes, cold starts, evacuations."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = [
    "Load",
    "PeerLoad",
    "Target",
    "TargetRegistry",
    "TargetState",
    "hash_target_id",
    "is_mass_removal",
]

_REPORT_FRESH_MS = 300
_PEER_LOAD_FRESH_MS = 600
_FAILURE_HALF_LIFE_MS = 3_000
_SLOWNESS_HALF_LIFE_MS = 4_000
_OUTCOME_WEIGHT = 0.25
_SUSPEND_MS = 1_000
_WARM_OBJECTS = 64
_WARM_FOR_MS = 8_000
_MASS_SHARE = 0.34


@dataclass(frozen=True, slots=True)
class Target:
    """One target's entry; `started_ms` tells two lives under the same id apart."""

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    version: str
    slots: int
    draining: bool
    cold_for_ms: int
    started_ms: int


@dataclass(frozen=True, slots=True)
class Load:
    """What a target said of itself: requests running and waiting, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What another instance has at a target."""

    count: int
    received_at_ms: int


@dataclass(slots=True)
class TargetState:
    """A target with what this instance has seen of it; times are clock readings."""

    target: Target
    cold_until_ms: int = 0
    in_flight: dict[int, int] = field(default_factory=dict)
    reported_load: int = 0
    reported_at_ms: int = -_REPORT_FRESH_MS
    in_flight_at_report: int = 0
    failure_rate: float = 0.0
    failure_rate_at_ms: int = 0
    slowness: float = 1.0
    slowness_at_ms: int = 0
    suspended_until_ms: int = 0
    peer_loads: dict[str, PeerLoad] = field(default_factory=dict)
    warm_objects: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether the target bears only its cold rate."""
        return now_ms < self.cold_until_ms

    def estimate_load(self, now_ms: int) -> int:
        """Return the requests at the target: all instances' own, or its last report if higher.

        A report moves on by what this instance sent and got back since.
        """
        own = len(self.in_flight)
        peers = sum(
            load.count
            for load in self.peer_loads.values()
            if now_ms - load.received_at_ms < _PEER_LOAD_FRESH_MS
        )
        if now_ms - self.reported_at_ms > _REPORT_FRESH_MS:
            return own + peers
        return max(own + peers, self.reported_load + own - self.in_flight_at_report)

    def compute_failure_rate(self, now_ms: int) -> float:
        """Return the share of failed attempts, fading with time."""
        return self.failure_rate * _fade(now_ms - self.failure_rate_at_ms, _FAILURE_HALF_LIFE_MS)

    def compute_slowness(self, now_ms: int, typical_ms: float) -> float:
        """Return how many times longer than `typical_ms` a request takes here.

        A request that is still open counts with its age, so that a silent target shows early.
        """
        slowness = self._find_faded_slowness(now_ms)
        if self.in_flight:
            oldest_ms = now_ms - next(iter(self.in_flight.values()))
            slowness = max(slowness, oldest_ms / typical_ms / 2)
        return slowness

    def _find_faded_slowness(self, now_ms: int) -> float:
        faded = _fade(now_ms - self.slowness_at_ms, _SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self.slowness - 1.0) * faded

    def is_warm_for(self, key: str, now_ms: int) -> bool:
        """Tell whether this instance sent the object here lately."""
        sent_ms = self.warm_objects.get(key)
        return sent_ms is not None and now_ms - sent_ms < _WARM_FOR_MS

    def record_load(self, load: Load, now_ms: int) -> None:
        """Take over what the target reported."""
        self.reported_load = load.running + load.waiting
        self.reported_at_ms = now_ms
        self.in_flight_at_report = len(self.in_flight)

    def record_outcome(self, failed: bool, now_ms: int) -> None:
        """Move the failure rate by one attempt."""
        rate = self.compute_failure_rate(now_ms)
        self.failure_rate = rate + _OUTCOME_WEIGHT * ((1.0 if failed else 0.0) - rate)
        self.failure_rate_at_ms = now_ms

    def record_duration(self, ratio: float, now_ms: int) -> None:
        """Move the slowness by one answer that took `ratio` times the typical time."""
        slowness = self._find_faded_slowness(now_ms)
        self.slowness = slowness + _OUTCOME_WEIGHT * (ratio - slowness)
        self.slowness_at_ms = now_ms

    def record_warm_object(self, key: str, now_ms: int) -> None:
        """Remember that the target handled the object."""
        self.warm_objects[key] = now_ms
        self.warm_objects.move_to_end(key)
        if len(self.warm_objects) > _WARM_OBJECTS:
            self.warm_objects.popitem(last=False)

    def suspend(self, now_ms: int) -> None:
        """Leave the target alone for a while, as nothing listens there."""
        self.suspended_until_ms = now_ms + _SUSPEND_MS


class TargetRegistry:
    """All targets by service; `version` rises when a choice made before may be stale."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self._by_service: dict[str, list[TargetState]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._by_token: dict[int, TargetState] = {}
        self._tokens_by_peer: dict[str, set[int]] = {}
        self._built_version = 0
        self.version = 0

    def put(self, target: Target, now_ms: int) -> None:
        """Take in an entry."""
        state = self._states.get(target.id)
        if state is None or state.target.started_ms != target.started_ms:
            state = TargetState(target)
            self._states[target.id] = state
        state.target = target
        if target.cold_for_ms > 0:
            state.cold_until_ms = max(state.cold_until_ms, now_ms + target.cold_for_ms)
        self.version += 1

    def remove(self, target_id: str) -> bool:
        """Forget a target that is gone; False when it was not known."""
        if self._states.pop(target_id, None) is None:
            return False
        self.version += 1
        return True

    def set_evacuated(self, domains: frozenset[str], now_ms: int, cold_ms: int) -> None:
        """Replace the evacuated failure domains; one that is taken back counts as cold."""
        if domains == self._evacuated:
            return
        for state in self._states.values():
            if state.target.failure_domain in self._evacuated - domains:
                state.cold_until_ms = max(state.cold_until_ms, now_ms + cold_ms)
        self._evacuated = domains
        self.version += 1

    def get(self, target_id: str) -> TargetState | None:
        """Return a known target."""
        return self._states.get(target_id)

    def list_ids(self) -> list[str]:
        """Return the ids of all known targets."""
        return list(self._states)

    def list_usable(self, service: str) -> list[TargetState]:
        """Return the targets that may get new work: neither draining nor evacuated."""
        self._rebuild()
        return self._by_service.get(service, [])

    def count_in_flight(self) -> dict[int, int]:
        """Return this instance's requests in flight by the targets' tokens."""
        self._rebuild()
        return {
            token: len(state.in_flight)
            for token, state in self._by_token.items()
            if state.in_flight
        }

    def record_peer_loads(self, peer: str, loads: dict[int, int], now_ms: int) -> None:
        """Replace what another instance has in flight, by the targets' tokens."""
        self._rebuild()
        for token in self._tokens_by_peer.get(peer, set()) - loads.keys():
            if (state := self._by_token.get(token)) is not None:
                state.peer_loads.pop(peer, None)
        for token, count in loads.items():
            if (state := self._by_token.get(token)) is not None:
                state.peer_loads[peer] = PeerLoad(count, now_ms)
        self._tokens_by_peer[peer] = set(loads)

    def _rebuild(self) -> None:
        """Derive the tables anew if a target changed: once for a listing, not for each entry."""
        if self._built_version == self.version:
            return
        self._built_version = self.version
        self._by_token = {hash_target_id(state.target.id): state for state in self._states.values()}
        by_service: dict[str, list[TargetState]] = {}
        for state in self._states.values():
            target = state.target
            if not target.draining and target.failure_domain not in self._evacuated:
                by_service.setdefault(target.service, []).append(state)
        self._by_service = by_service


def hash_target_id(target_id: str) -> int:
    """Return a short number that stands for a target between instances."""
    return zlib.crc32(target_id.encode())


def is_mass_removal(removed: int, known: int) -> bool:
    """Tell whether so many entries went at once that they lapsed rather than left."""
    return removed > 1 and removed > known * _MASS_SHARE


def _fade(age_ms: int, half_life_ms: int) -> float:
    return float(0.5 ** (max(0, age_ms) / half_life_ms))
