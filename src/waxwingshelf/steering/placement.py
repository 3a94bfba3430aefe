"""Choose the target of a request.

Load pattern answered: a handled object runs several times faster at a target that has had it
lately, and at the worst load the slots suffice only for requests that find their object warm.
Every instance therefore ranks the targets of an object alike, by weighted rendezvous hashing
(Schindelhauer and Schomaker, 2005) with targets nearby weighing more, and leaves that order only
when the expected time at a later target, its cold run included, is shorter.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from waxwingshelf.core.hashing import hash_unit
from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.targets import TargetBook, TargetState

__all__ = ["Locality", "Placement", "PlacementRequest", "Placer"]

# Home weighs more for the bytes between places, yet not so much that a small region is overrun.
_SAME_REGION_WEIGHT = 4.0
_SAME_DOMAIN_WEIGHT = 1.5
_CACHED_RANKINGS = 4_096
# A failed attempt costs the caller about this many aims: the retry and its cold run.
_FAILURE_COST = 4.0
_CROSS_REGION_COST_MS = 40.0
# An object stays with so many targets at most, or all of them would forget all objects in turn.
_TARGETS_PER_OBJECT = 3
# Requests at a target beyond its slots, as a part of them: enough that no slot ever idles.
_QUEUE_PART = 0.34


@dataclass(frozen=True, slots=True)
class Locality:
    """Where this instance stands, and the region of each failure domain."""

    region: str
    failure_domain: str
    regions: dict[str, str]

    def find_region(self, failure_domain: str) -> str:
        """Return the region of a failure domain, empty when it is not known."""
        return self.regions.get(failure_domain, "")


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What the choice depends on; an empty `allowed_regions` allows all."""

    service: str
    object_key: str
    sticky: bool
    aim_ms: int
    allowed_regions: frozenset[str]
    excluded: frozenset[str]
    durations: RouteDurations


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen target, its rank for the object and the time expected there."""

    state: TargetState
    rank: int
    expected_ms: float


class Placer:
    """Rank and choose; rankings are cached until the targets change."""

    def __init__(self, locality: Locality, book: TargetBook) -> None:
        self._locality = locality
        self._book = book
        self._cache: dict[tuple[str, str], list[TargetState]] = {}
        self._cache_version = -1

    def choose(self, request: PlacementRequest, now_ms: int) -> list[Placement]:
        """Return the targets with room in order of preference, empty when there is none."""
        options = []
        rank = 0
        for state in self._rank(request.service, request.object_key):
            if self._is_closed(state, request, now_ms):
                continue
            load = state.estimate_load(now_ms)
            if load < state.target.slots * (1.0 + _QUEUE_PART):
                expected_ms = self._estimate(state, rank, load, request, now_ms)
                options.append(Placement(state, rank, expected_ms))
            rank += 1
            if request.sticky and rank >= _TARGETS_PER_OBJECT:
                break
        options.sort(key=_get_expected)
        return options

    def _is_closed(self, state: TargetState, request: PlacementRequest, now_ms: int) -> bool:
        target = state.target
        if target.id in request.excluded or now_ms < state.suspended_until_ms:
            return True
        if not request.allowed_regions:
            return False
        return self._locality.find_region(target.failure_domain) not in request.allowed_regions

    def _estimate(
        self, state: TargetState, rank: int, load: int, request: PlacementRequest, now_ms: int
    ) -> float:
        durations = request.durations
        slowness = state.find_slowness(now_ms, durations.warm_ms)
        waiting = max(0, load + 1 - state.target.slots)
        expected_ms = durations.warm_ms * slowness * (1.0 + waiting / state.target.slots)
        if rank > 0 and not state.is_warm_for(request.object_key, now_ms):
            expected_ms += durations.cold_ms - durations.warm_ms
        if self._locality.find_region(state.target.failure_domain) != self._locality.region:
            expected_ms += _CROSS_REGION_COST_MS
        expected_ms += state.find_failure_rate(now_ms) * request.aim_ms * _FAILURE_COST
        # Equal estimates keep the order of the ranking.
        return expected_ms + rank

    def _rank(self, service: str, object_key: str) -> list[TargetState]:
        if self._cache_version != self._book.version or len(self._cache) > _CACHED_RANKINGS:
            self._cache.clear()
            self._cache_version = self._book.version
        key = (service, object_key)
        ranking = self._cache.get(key)
        if ranking is None:
            states = self._book.list_usable(service)
            ranking = sorted(states, key=lambda state: -self._weigh(state, object_key))
            self._cache[key] = ranking
        return ranking

    def _weigh(self, state: TargetState, object_key: str) -> float:
        target = state.target
        weight = float(target.slots)
        if self._locality.find_region(target.failure_domain) == self._locality.region:
            weight *= _SAME_REGION_WEIGHT
        if target.failure_domain == self._locality.failure_domain:
            weight *= _SAME_DOMAIN_WEIGHT
        return -weight / math.log(hash_unit(target.service, object_key, target.id))


def _get_expected(placement: Placement) -> float:
    return placement.expected_ms
