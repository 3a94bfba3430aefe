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
from waxwingshelf.steering.targets import TargetRegistry, TargetState

__all__ = ["Locality", "Placement", "PlacementRequest", "Placer"]

# The part of a region's requests that stay there when it has slots enough.
_MOST_AT_HOME = 0.85
# Regions are taken to ask alike; home gets this part of the slots that its demand could fill.
_HOME_FILL = 0.8
_SAME_DOMAIN_WEIGHT = 1.5
_CACHED_RANKINGS = 4_096
# A failed attempt costs the caller about this many aims: the retry and its cold run.
_FAILURE_COST = 4.0
_CROSS_REGION_COST_MS = 40.0
# An object stays with so many targets at most, or all of them would forget all objects in turn.
_TARGETS_PER_OBJECT = 3
# Requests at a target beyond its slots, as a part of them: enough that no slot ever idles.
_QUEUE_PART = 0.34
# Above this load a target has no slots to spare for objects that are not its own.
_COLD_FILL = 0.7


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
    latency_objective_ms: int
    allowed_regions: frozenset[str]
    excluded_targets: frozenset[str]
    durations: RouteDurations
    waited_ms: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """A target for a request, and what speaks for it.

    `rank` is the target's for the object, `load` the requests there, `usual_ms` the time that any
    target of the service would take with that load, `cost_ms` the time to be feared at this one.
    """

    state: TargetState
    rank: int
    load: int
    warm: bool
    typical_ms: float
    cost_ms: float


class Placer:
    """Rank and choose; rankings are cached until the targets change."""

    def __init__(self, locality: Locality, book: TargetRegistry) -> None:
        self._locality = locality
        self._book = book
        self._cache: dict[tuple[str, str], list[TargetState]] = {}
        self._cache_version = -1

    def choose(self, request: PlacementRequest, now_ms: int) -> list[Placement]:
        """Return the targets to send to now, the best first; none when it is better to wait."""
        candidates = self._list_candidates(request, now_ms)
        if not candidates:
            return []
        first = candidates[0]
        # Having waited so long for its first target, a request expects to wait as long again.
        most_cost_ms = first.cost_ms + request.waited_ms
        options = [
            option
            for option in candidates
            if _has_room(option) and (option is first or option.cost_ms <= most_cost_ms)
        ]
        options.sort(key=_get_cost)
        return options

    def _list_candidates(self, request: PlacementRequest, now_ms: int) -> list[Placement]:
        candidates: list[Placement] = []
        for state in self._rank(request.service, request.object_key):
            if self._is_closed(state, request, now_ms):
                continue
            candidates.append(self._estimate(state, len(candidates), request, now_ms))
            if request.sticky and len(candidates) >= _TARGETS_PER_OBJECT:
                break
        return candidates

    def _is_closed(self, state: TargetState, request: PlacementRequest, now_ms: int) -> bool:
        target = state.target
        if target.id in request.excluded_targets or now_ms < state.suspended_until_ms:
            return True
        if not request.allowed_regions:
            return False
        return self._locality.find_region(target.failure_domain) not in request.allowed_regions

    def _estimate(
        self, state: TargetState, rank: int, request: PlacementRequest, now_ms: int
    ) -> Placement:
        durations = request.durations
        load = state.estimate_load(now_ms)
        waiting = max(0, load + 1 - state.target.slots)
        warm = rank == 0 or state.is_warm_for(request.object_key, now_ms)
        work_ms = durations.warm_ms if warm else durations.cold_ms
        typical_ms = work_ms * (1.0 + waiting / state.target.slots)
        cost_ms = typical_ms * state.compute_slowness(now_ms, durations.warm_ms)
        if not self._is_home(state):
            cost_ms += _CROSS_REGION_COST_MS
        cost_ms += state.compute_failure_rate(now_ms) * request.latency_objective_ms * _FAILURE_COST
        # Equal costs keep the order of the ranking.
        return Placement(state, rank, load, warm, typical_ms, cost_ms + rank)

    def _rank(self, service: str, object_key: str) -> list[TargetState]:
        if self._cache_version != self._book.version or len(self._cache) > _CACHED_RANKINGS:
            self._cache.clear()
            self._cache_version = self._book.version
        key = (service, object_key)
        ranking = self._cache.get(key)
        if ranking is None:
            states = self._book.list_usable(service)
            home = self._find_home_weight(states)
            ranking = sorted(states, key=lambda state: -self._weigh(state, object_key, home))
            self._cache[key] = ranking
        return ranking

    def _find_home_weight(self, states: list[TargetState]) -> float:
        """Return how much more a target at home weighs than one elsewhere."""
        home = sum(state.target.slots for state in states if self._is_home(state))
        total = sum(state.target.slots for state in states)
        if home == 0 or home == total:
            return 1.0
        capacity = home / total
        regions = len(set(self._locality.regions.values()))
        stay = min(_MOST_AT_HOME, capacity * regions * _HOME_FILL)
        weight = max(1.0, stay * (1.0 - capacity) / (capacity * (1.0 - stay)))
        # In steps, so that one target more or less moves no other target's objects.
        return float(2 ** round(math.log2(weight)))

    def _is_home(self, state: TargetState) -> bool:
        region = self._locality.find_region(state.target.failure_domain)
        return region == self._locality.region

    def _weigh(self, state: TargetState, object_key: str, home_weight: float) -> float:
        target = state.target
        weight = float(target.slots)
        if self._is_home(state):
            weight *= home_weight
        if target.failure_domain == self._locality.failure_domain:
            weight *= _SAME_DOMAIN_WEIGHT
        return -weight / math.log(hash_unit(target.service, object_key, target.id))


def _has_room(option: Placement) -> bool:
    """Tell whether the target may get the request; a cold run only uses slots that idle."""
    slots = option.state.target.slots
    if option.warm:
        return option.load < slots * (1.0 + _QUEUE_PART)
    return option.load < slots * _COLD_FILL


def _get_cost(placement: Placement) -> float:
    return placement.cost_ms
