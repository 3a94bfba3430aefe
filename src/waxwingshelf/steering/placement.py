"""Choose the target of a request.

A request runs several times faster at a target that has recently handled the same object: the
object is warm there. At peak load, the slots suffice only if requests find their object warm. All
instances of a region therefore rank the targets of an object in the same way, by weighted
rendezvous hashing (Schindelhauer and Schomaker, 2005), with higher weights for targets of the
region. An instance departs from that order only if the expected time at a lower-ranked target,
including a cold run, is shorter.

The order changes as targets come and go and weights of regions move. An object that is known to be
warm at a target with a free slot then stays there, and moves when that target is full, as with
consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Mapping

import msgspec

from waxwingshelf.core.hashing import hash_to_unit_interval
from waxwingshelf.steering.distances import (
    compute_distance_ms,
    compute_domain_weight,
    compute_local_weight,
)
from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.fair_order import compute_headroom
from waxwingshelf.steering.region_weights import RegionShift, RegionWeights
from waxwingshelf.steering.regional_demand import RegionalDemand
from waxwingshelf.steering.scarcity import ScarceRegions
from waxwingshelf.steering.targets import TargetRegistry, TargetState
from waxwingshelf.steering.warm_objects import hash_object_key

__all__ = ["Locality", "Placement", "PlacementRequest", "Placer"]

_MAX_CACHED_RANKINGS = 4_096
# A failed attempt costs the caller about this many times the latency objective: the retry and its
# cold run.
_FAILURE_COST_FACTOR = 4.0
_CROSS_REGION_COST_MS = 40.0
# Requests for one object are sent to at most this many targets. Otherwise all targets would evict
# all objects in turn.
_MAX_TARGETS_PER_OBJECT = 3
# Requests that may wait at a target, as a fraction of its slots: enough to keep every slot busy.
_MAX_QUEUE_FRACTION = 0.34
# Above this load, as a fraction of its slots, a target has no slots to spare for objects that are
# not warm there.
_MAX_COLD_FILL = 0.7


class Locality(msgspec.Struct, frozen=True):
    """The location of this instance, its link, and the region of each failure domain.

    `link_mbps` is 0 if it is not known.
    """

    region: str
    failure_domain: str
    region_by_domain: dict[str, str]
    link_mbps: float = 0.0

    def find_region(self, failure_domain: str) -> str:
        """Return the region of a failure domain, or an empty string if it is not known."""
        return self.region_by_domain.get(failure_domain, "")


class PlacementRequest(msgspec.Struct, frozen=True):
    """The properties of a request that the choice of its target depends on.

    An empty `allowed_regions` allows all regions. `sticky` requests for one `object_key` are
    limited to a few targets. Without `has_object` the key only spreads requests, which are as fast
    at any target. `response_bytes` is the usual size of the route's responses. A
    `download` prefers the targets of the instance's failure domain. A request that
    `leaves_headroom` does not use a target's last free slots, which are left to more urgent
    requests.
    """

    service: str
    object_key: str
    sticky: bool
    latency_objective_ms: int
    allowed_regions: frozenset[str]
    excluded_targets: frozenset[str]
    durations: RouteDurations
    waited_ms: int = 0
    response_bytes: float = 0.0
    download: bool = False
    leaves_headroom: bool = False
    has_object: bool = True


class Placement(msgspec.Struct, frozen=True):
    """A candidate target for a request, with its estimated cost.

    `rank` is the target's rank for the object, `load` the number of requests at the target, and
    `warm` whether the object is warm there, as far as is known. `typical_ms` is the time that any
    target of the service would take with that load. `cost_ms` also accounts for this target's
    slowness, distance and failure rate. `cold_extra_ms` is the extra time of a first run if the
    object is not known to be warm.
    """

    state: TargetState
    rank: int
    load: int
    warm: bool
    typical_ms: float
    cost_ms: float
    cold_extra_ms: float = 0.0

    @property
    def known_warm(self) -> bool:
        """Return whether a first run is ruled out."""
        return self.warm and self.cold_extra_ms == 0

    @property
    def may_be_first_run(self) -> bool:
        """Return whether the object may not be warm at the target."""
        return self.cold_extra_ms > 0

    @property
    def longest_ms(self) -> float:
        """Return the time that any target would take with that load if the object is not warm."""
        return self.typical_ms + self.cold_extra_ms if self.warm else self.typical_ms

    def compute_ratio(self, elapsed_ms: float) -> float:
        """Return the ratio of a request's duration to the expected one.

        Where it is not known whether the object was warm, both durations are expected.
        """
        if elapsed_ms <= self.typical_ms:
            return elapsed_ms / self.typical_ms
        return max(1.0, elapsed_ms / self.longest_ms)

    def was_warm(self, usual_ms: int, durations: RouteDurations) -> bool:
        """Return whether a run that usually takes that time has found its object warm."""
        if self.warm and not self.known_warm:
            return durations.is_nearer_to_warm(usual_ms)
        return self.warm

    def estimate_duration_ms(self, durations: RouteDurations, now_ms: int) -> float:
        """Return the time that this target is expected to take for the request."""
        return self.typical_ms * self.state.compute_slowness(now_ms, durations.warm_ms)


class Placer:
    """Rank targets for requests; rankings are cached until the targets or weights change."""

    def __init__(
        self,
        locality: Locality,
        registry: TargetRegistry,
        region_weights: RegionWeights | None = None,
    ) -> None:
        self._locality = locality
        self._registry = registry
        self._cache: dict[tuple[str, str, bool, bool], list[TargetState]] = {}
        self._slots_by_region: dict[str, dict[str, int]] = {}
        self._cache_version = -1
        self._scarce_regions: dict[str, ScarceRegions] = {}
        self._region_weights = region_weights or RegionWeights(RegionalDemand(locality.region))

    def record_request(
        self, service: str, allowed_regions: frozenset[str], now_ms: int, work_ms: float = 0.0
    ) -> None:
        """Count a request towards the demand for the regions that it may use.

        `work_ms` is its typical time at a target where its object is warm.
        """
        if not allowed_regions:
            self._region_weights.demand.record_request(service, work_ms, now_ms)
        scarce_regions = self._scarce_regions.setdefault(service, ScarceRegions())
        scarce_regions.record(allowed_regions, now_ms)
        if not scarce_regions.is_update_due(now_ms):
            return
        if scarce_regions.update(self._count_slots_by_region(service), now_ms):
            self._cache.clear()

    def update_region_weights(self, service: str, now_ms: int, wall_ms: int) -> RegionShift | None:
        """Adapt the weights of the regions to their demand; return the change, if any.

        Requests that may run nowhere else take precedence: only the slots that they leave count.
        """
        even_weights = self._compute_even_weights(service, unbound=True)
        scarce_regions = self._scarce_regions.get(service)
        slots: dict[str, float] = {}
        base_weights: dict[str, float] = {}
        for region, count in self._count_slots_by_region(service).items():
            if region not in even_weights or count <= 0:
                continue
            free_fraction = scarce_regions.get_weight(region) if scarce_regions else 1.0
            slots[region] = count * free_fraction
            base_weights[region] = count * even_weights[region]
        if not slots:
            return None
        shift = self._region_weights.update(service, slots, base_weights, now_ms, wall_ms)
        if shift is not None:
            self._drop_rankings(service)
        return shift

    def find_earliest_send_ms(
        self, service: str, allowed_regions: frozenset[str], now_ms: int
    ) -> int | None:
        """Return when a target in these regions first accepts a request; None if there is none.

        An empty set allows all regions. Targets without capacity count too.
        """
        find_region = self._locality.find_region
        earliest_ms: int | None = None
        for state in self._registry.list_usable(service):
            if allowed_regions and find_region(state.target.failure_domain) not in allowed_regions:
                continue
            send_ms = state.find_earliest_send_ms(now_ms)
            if send_ms <= now_ms:
                return now_ms
            earliest_ms = send_ms if earliest_ms is None else min(earliest_ms, send_ms)
        return earliest_ms

    def choose(self, request: PlacementRequest, now_ms: int) -> list[Placement]:
        """Return the targets that may get the request now, best first; none if it should wait."""
        candidates = self._list_candidates(request, now_ms)
        if not candidates:
            return []
        limited = _find_limited_in_turn(candidates, request)
        first = limited or _find_preferred(candidates)
        # A request that has waited for its first target is expected to wait as long again.
        max_cost_ms = first.cost_ms + request.waited_ms
        eligible = [
            candidate
            for candidate in candidates
            if _has_capacity(candidate, request)
            and (candidate is first or candidate.cost_ms <= max_cost_ms)
        ]
        eligible.sort(key=_get_cost)
        if limited is not None:
            eligible.remove(limited)
            eligible.insert(0, limited)
        return eligible

    def _list_candidates(self, request: PlacementRequest, now_ms: int) -> list[Placement]:
        unbound = not request.allowed_regions
        ranking = self._rank(request.service, request.object_key, unbound, request.download)
        eligible = (state for state in ranking if not self._is_ineligible(state, request, now_ms))
        if not request.sticky:
            return self._estimate_all(eligible, request, now_ms, has_warm=False)
        warm_states = self._list_warm(ranking, request, now_ms)
        states = list(itertools.islice(eligible, _MAX_TARGETS_PER_OBJECT))
        first_ids = {state.target.id for state in states}
        states += [state for state in warm_states if state.target.id not in first_ids]
        return self._estimate_all(states, request, now_ms, has_warm=bool(warm_states))

    def _list_warm(
        self, ranking: list[TargetState], request: PlacementRequest, now_ms: int
    ) -> list[TargetState]:
        """Return the targets with a free slot where the object is known to be warm."""
        object_hash = hash_object_key(request.object_key)
        return [
            state
            for state in ranking
            if state.warm_objects.has(object_hash, now_ms)
            and not self._is_ineligible(state, request, now_ms)
            and state.estimate_load(now_ms) < state.target.slots
        ]

    def _estimate_all(
        self,
        states: Iterable[TargetState],
        request: PlacementRequest,
        now_ms: int,
        has_warm: bool,
    ) -> list[Placement]:
        """Estimate the costs of targets, of which the first is the object's first choice.

        The object is assumed to be warm at its first choice, unless it is known to be warm where a
        slot is free (`has_warm`). A target with a rate limit would never get a request again if the
        object had become warm elsewhere meanwhile.
        """
        return [
            self._estimate(
                state,
                rank,
                request,
                now_ms,
                assume_warm=rank == 0 and (not has_warm or state.rate_share is not None),
            )
            for rank, state in enumerate(states)
        ]

    def _is_ineligible(self, state: TargetState, request: PlacementRequest, now_ms: int) -> bool:
        target = state.target
        if target.id in request.excluded_targets or not state.may_send(now_ms):
            return True
        if not request.allowed_regions:
            return False
        return self._locality.find_region(target.failure_domain) not in request.allowed_regions

    def _estimate(
        self,
        state: TargetState,
        rank: int,
        request: PlacementRequest,
        now_ms: int,
        assume_warm: bool,
    ) -> Placement:
        durations = request.durations
        load = state.estimate_load(now_ms)
        queued = max(0, load + 1 - state.target.slots)
        known_warm = state.is_warm_for(request.object_key, now_ms)
        warm = assume_warm or known_warm
        work_ms = durations.warm_ms if warm else durations.cold_ms
        typical_ms = work_ms * (1.0 + queued / state.target.slots)
        cost_ms = typical_ms * state.compute_slowness(now_ms, durations.warm_ms)
        if not self._is_local(state):
            cost_ms += _CROSS_REGION_COST_MS
        cost_ms += self._compute_distance_ms(state, request)
        cost_ms += (
            state.compute_failure_rate(now_ms) * request.latency_objective_ms * _FAILURE_COST_FACTOR
        )
        may_be_cold = request.sticky and request.has_object and not known_warm
        cold_extra_ms = durations.cold_ms - durations.warm_ms if may_be_cold else 0.0
        # The rank is added so that targets of equal cost keep the order of the ranking.
        return Placement(state, rank, load, warm, typical_ms, cost_ms + rank, cold_extra_ms)

    def _compute_distance_ms(self, state: TargetState, request: PlacementRequest) -> float:
        if state.target.failure_domain == self._locality.failure_domain:
            return 0.0
        return compute_distance_ms(
            request.response_bytes,
            self._locality.link_mbps,
            request.latency_objective_ms,
            self._is_local(state),
        )

    def _rank(
        self, service: str, object_key: str, unbound: bool, download: bool
    ) -> list[TargetState]:
        self._drop_outdated()
        key = (service, object_key, unbound, download)
        ranking = self._cache.get(key)
        if ranking is None:
            states = self._registry.list_usable(service)
            weights = self._compute_region_weights(service, unbound)
            domain_weight = self._compute_domain_weight(states) if download else 1.0
            ranking = sorted(
                states,
                key=lambda state: -self._compute_score(state, object_key, weights, domain_weight),
            )
            self._cache[key] = ranking
        return ranking

    def _drop_outdated(self) -> None:
        """Drop what was computed from earlier targets, and all rankings once there are many."""
        if self._cache_version != self._registry.version:
            self._cache_version = self._registry.version
            self._slots_by_region.clear()
            self._cache.clear()
        elif len(self._cache) > _MAX_CACHED_RANKINGS:
            self._cache.clear()

    def _drop_rankings(self, service: str) -> None:
        for key in [key for key in self._cache if key[0] == service]:
            del self._cache[key]

    def _count_slots_by_region(self, service: str) -> Mapping[str, int]:
        self._drop_outdated()
        slots = self._slots_by_region.get(service)
        if slots is None:
            slots = self._slots_by_region[service] = {}
            for state in self._registry.list_usable(service):
                region = self._locality.find_region(state.target.failure_domain)
                slots[region] = slots.get(region, 0) + state.target.slots
        return slots

    def _compute_region_weights(self, service: str, unbound: bool) -> dict[str, float]:
        """Return the weight of the targets of each region: nearness, demand, reserved slots."""
        weights = self._compute_even_weights(service, unbound)
        for region in weights:
            weights[region] *= self._region_weights.get_weight(service, region)
        return weights

    def _compute_even_weights(self, service: str, unbound: bool) -> dict[str, float]:
        """Return the weight of the targets of each region if the demand is the same in all."""
        weights = dict.fromkeys(self._locality.region_by_domain.values(), 1.0)
        weights[self._locality.region] = self._compute_local_weight(service)
        scarce_regions = self._scarce_regions.get(service)
        if unbound and scarce_regions is not None:
            for region in weights:
                weights[region] *= scarce_regions.get_weight(region)
        return weights

    def _compute_local_weight(self, service: str) -> float:
        """Return the weight of a local target relative to a target in another region."""
        slots = self._count_slots_by_region(service)
        local_slots, total_slots = slots.get(self._locality.region, 0), sum(slots.values())
        region_count = len(set(self._locality.region_by_domain.values()))
        return compute_local_weight(local_slots, total_slots, region_count)

    def _compute_domain_weight(self, states: list[TargetState]) -> float:
        slots: dict[str, int] = {}
        for state in states:
            domain = state.target.failure_domain
            slots[domain] = slots.get(domain, 0) + state.target.slots
        return compute_domain_weight(
            slots, self._locality.region_by_domain, self._locality.failure_domain
        )

    def _is_local(self, state: TargetState) -> bool:
        region = self._locality.find_region(state.target.failure_domain)
        return region == self._locality.region

    def _compute_score(
        self,
        state: TargetState,
        object_key: str,
        region_weights: dict[str, float],
        domain_weight: float,
    ) -> float:
        target = state.target
        region = self._locality.find_region(target.failure_domain)
        weight = target.slots * region_weights.get(region, 1.0)
        if target.failure_domain == self._locality.failure_domain:
            weight *= domain_weight
        return -weight / math.log(hash_to_unit_interval(target.service, object_key, target.id))


def _find_limited_in_turn(
    candidates: list[Placement], request: PlacementRequest
) -> Placement | None:
    """Return a target with a rate limit whose turn it is, if it can answer the request in time.

    Only its responses tell whether the limit has ended, and what it accepts should not be lost to
    targets whose objects have become warm meanwhile.
    """
    for candidate in candidates:
        is_limited = candidate.state.rate_share is not None
        if is_limited and candidate.cost_ms <= request.latency_objective_ms:
            return candidate if _has_capacity(candidate, request) else None
    return None


def _find_preferred(candidates: list[Placement]) -> Placement:
    """Return the candidate that a request may wait for.

    That is the first choice, or the best where the object is known to be warm and a slot is free.
    """
    warm = [
        candidate
        for candidate in candidates
        if candidate.known_warm and candidate.load < candidate.state.target.slots
    ]
    return min(warm, key=_get_cost, default=candidates[0])


def _has_capacity(candidate: Placement, request: PlacementRequest) -> bool:
    """Return whether the target has capacity; a cold run may only use otherwise idle slots.

    A target gets at most as many downloads from an instance at once as it has slots, since it holds
    their responses until these have been read.
    """
    slots = candidate.state.target.slots
    if request.download and candidate.state.downloads >= slots:
        return False
    if request.leaves_headroom and candidate.load >= slots - compute_headroom(slots):
        return False
    if candidate.warm:
        return candidate.load < slots * (1.0 + _MAX_QUEUE_FRACTION)
    return candidate.load < slots * _MAX_COLD_FILL


def _get_cost(placement: Placement) -> float:
    return placement.cost_ms
