"""Weight the targets of each region by the demand and the capacity of all regions.

The load pattern that this answers: the demand of regions swings in turn, and one region has few
targets for its callers. Its targets are then overloaded while others have free slots.

The weights multiply those of `placement`, which assume the same demand in all regions. They change
in steps, since the warm objects of a target are lost when its objects move, and since only few
requests may change their region at a time. All instances of a region know nearly the same sums and
come to the same steps, because a step only changes when the exact value is clearly closer to the
next one.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import msgspec

from waxwingshelf.steering.regional_demand import RegionalDemand

__all__ = [
    "LOCAL_FILL_FRACTION",
    "MAX_LOCAL_FRACTION",
    "RegionShift",
    "RegionWeights",
    "compute_fractions",
]

# The fraction of a region's requests that stay in the region if it has enough slots.
MAX_LOCAL_FRACTION = 0.85
# The requests of a region's callers fill about this fraction of its slots at full load.
LOCAL_FILL_FRACTION = 0.8
# A weight is e to the power of this constant times its step. A step of one region's weight moves at
# most tanh(0.18 / 4) < 0.045 of the objects, which leaves a margin to 0.05 of the requests, as
# objects differ in their numbers of requests.
_LOG_STEP = 0.18
_MAX_MOVED_FRACTION = 0.045
_MIN_STEP_INTERVAL_MS = 2_000
# Instances whose clocks agree move at the same time, once in each such period of the time of day.
# It is longer than the least interval by the time between two updates.
_STEP_PERIOD_MS = 2_250
# A region takes requests back later and more slowly than it gives them away: those that it keeps in
# excess are late, and those that it could have kept only take a longer way.
_RETURN_DELAY_MS = 24_000
_RETURN_INTERVAL_MS = 6_000
# The exact step must differ from the current one by more than half a step, plus this margin.
_HYSTERESIS_STEPS = 0.5
# Which other region gets the rest matters less, and follows the demand less closely.
_OTHERS_HYSTERESIS_STEPS = 3.0
# Fewer requests than this part are not worth a move.
_MIN_ERROR_FRACTION = 0.01
_MAX_STEP = 20
_MIN_FRACTION = 1e-6
# Some requests leave the region even if no other has free slots, so that weights stay finite.
_MIN_REMOTE_FRACTION = 0.02
# Below the first spread of the demand per slot, weights are not changed; from the second one on,
# they change fully.
_MIN_SPREAD = 0.1
_FULL_SPREAD = 0.3
# Whether demand is uneven is judged over this time, as the few requests of a small region vary.
_SPREAD_SMOOTHING_MS = 15_000.0
# The measured demand rises from zero for some seconds after a start.
_SETTLING_MS = 5_000
# As long as figures of peers count.
_MAX_UPDATE_GAP_MS = 4_000
# Over shorter times, the trend is mostly the random variation of the requests' number.
_TREND_SMOOTHING_MS = 6_000.0
# The age of the known sums (about 1 s), and half the time between two steps.
_LOOKAHEAD_MS = 2_000.0
_MAX_TREND_FRACTION = 0.4
# A region keeps no more than it could carry if its demand came back to the level from which it has
# fallen, as weights change more slowly than demand may. That level falls over this time.
_PEAK_DECAY_MS = 30_000.0


class RegionShift(msgspec.Struct, frozen=True):
    """A change of the weights of a service, by region, with the demand that decided it.

    `moved` is the fraction of this region's requests that change their region, at most.
    """

    weights: dict[str, float]
    demand: dict[str, float]
    slots: dict[str, float]
    moved: float


class _ServiceWeights:
    """The steps of the regions' weights for one service."""

    __slots__ = (
        "_averages",
        "_demand_ratios",
        "_known_since_ms",
        "_next_return_ms",
        "_next_step_ms",
        "_peak",
        "_period",
        "_updated_ms",
        "steps",
    )

    def __init__(self, now_ms: int) -> None:
        self.steps: dict[str, int] = {}
        self._averages: dict[str, float] = {}
        self._demand_ratios: dict[str, float] = {}
        self._peak = 0.0
        self._updated_ms = now_ms
        self._known_since_ms = now_ms
        self._next_return_ms = now_ms
        self._next_step_ms = now_ms + _MIN_STEP_INTERVAL_MS
        self._period = 0

    def observe(
        self, local: str, demand: Mapping[str, float], slots: Mapping[str, float], now_ms: int
    ) -> dict[str, float]:
        """Record the demand; return what its trend predicts for when the next step takes effect."""
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        if now_ms - self._known_since_ms >= _SETTLING_MS:
            self._observe_ratios(demand, slots, elapsed_ms)
        weight = 1.0 - math.exp(-elapsed_ms / _TREND_SMOOTHING_MS)
        averages: dict[str, float] = {}
        expected: dict[str, float] = {}
        for region, current in demand.items():
            average = self._averages.get(region, current)
            averages[region] = average = average + weight * (current - average)
            change = (current - average) * _LOOKAHEAD_MS / _TREND_SMOOTHING_MS
            limit = current * _MAX_TREND_FRACTION
            expected[region] = current + min(limit, max(-limit, change))
        self._averages = averages
        current = demand.get(local, 0.0)
        decay = math.exp(-elapsed_ms / _PEAK_DECAY_MS)
        self._peak = max(current, current + (self._peak - current) * decay)
        return expected

    @property
    def peak(self) -> float:
        """Return the recent peak of the local demand."""
        return self._peak

    def is_outdated(self, now_ms: int) -> bool:
        """Return whether the observed demand is too old to use, as after a stall of the process."""
        return now_ms - self._updated_ms > _MAX_UPDATE_GAP_MS

    def forget_demand(self, now_ms: int) -> None:
        """Drop all observed demand, as it is outdated."""
        self._known_since_ms = now_ms
        self._averages.clear()
        self._demand_ratios.clear()
        self._peak = 0.0

    def compute_strength(self) -> float:
        """Return how far the weights follow the demand, from 0 (as even) to 1."""
        if not self._demand_ratios:
            return 0.0
        spread = max(self._demand_ratios.values()) - min(self._demand_ratios.values())
        return min(1.0, max(0.0, (spread - _MIN_SPREAD) / (_FULL_SPREAD - _MIN_SPREAD)))

    def try_begin_step(self, now_ms: int, wall_ms: int) -> bool:
        """Return whether the steps may move now; if so, they may not again in this period."""
        period = wall_ms // _STEP_PERIOD_MS
        if now_ms < self._next_step_ms or period == self._period:
            return False
        self._next_step_ms = now_ms + _MIN_STEP_INTERVAL_MS
        self._period = period
        return True

    def move(
        self,
        local: str,
        exact: Mapping[str, float],
        base_weights: Mapping[str, float],
        now_ms: int,
    ) -> float:
        """Move steps towards the exact ones; return the fraction of requests that move."""
        for region in self.steps.keys() - base_weights.keys():
            del self.steps[region]
        moved = 0.0
        for region in sorted(exact, key=lambda name: (-abs(exact[name] - self._get(name)), name)):
            step = self._get(region)
            if not _is_clearly_off(exact[region], step, region == local):
                continue
            before = self._compute_fraction(region, base_weights)
            if exact[region] != 0.0 and _is_negligible(exact[region] - step, before):
                continue
            is_return = region == local and exact[region] > step
            if is_return and exact[region] != 0.0 and now_ms < self._next_return_ms:
                continue
            self.steps[region] = step + (1 if exact[region] > step else -1)
            change = abs(self._compute_fraction(region, base_weights) - before)
            if moved + change > _MAX_MOVED_FRACTION:
                self.steps[region] = step
                continue
            moved += change
            if region == local:
                delay_ms = _RETURN_INTERVAL_MS if is_return else _RETURN_DELAY_MS
                self._next_return_ms = now_ms + delay_ms
        return moved

    def _get(self, region: str) -> int:
        return self.steps.get(region, 0)

    def _compute_fraction(self, region: str, base_weights: Mapping[str, float]) -> float:
        weights = {
            name: base * math.exp(_LOG_STEP * self._get(name))
            for name, base in base_weights.items()
        }
        return weights[region] / sum(weights.values())

    def _observe_ratios(
        self, demand: Mapping[str, float], slots: Mapping[str, float], elapsed_ms: int
    ) -> None:
        """Average each region's demand per slot relative to that of all regions."""
        total_demand, total_slots = sum(demand.values()), sum(slots.values())
        weight = 1.0 - math.exp(-elapsed_ms / _SPREAD_SMOOTHING_MS)
        ratios = {}
        for region in slots:
            ratio = 1.0
            if total_demand > 0.0:
                ratio = demand.get(region, 0.0) / slots[region] / (total_demand / total_slots)
            average = self._demand_ratios.get(region, 1.0)
            ratios[region] = average + weight * (ratio - average)
        self._demand_ratios = ratios


class RegionWeights:
    """The weights of the regions for the requests of this region's callers, by service."""

    def __init__(self, demand: RegionalDemand) -> None:
        self.demand = demand
        self._services: dict[str, _ServiceWeights] = {}

    def get_weight(self, service: str, region: str) -> float:
        """Return the factor of the weight of a region's targets; 1 if demand is even."""
        weights = self._services.get(service)
        step = weights.steps.get(region, 0) if weights is not None else 0
        return math.exp(_LOG_STEP * step)

    def forget_services(self, known: Collection[str]) -> None:
        """Drop the weights of services that are no longer known."""
        for service in self._services.keys() - set(known):
            del self._services[service]

    def update(
        self,
        service: str,
        slots: Mapping[str, float],
        base_weights: Mapping[str, float],
        now_ms: int,
        wall_ms: int,
    ) -> RegionShift | None:
        """Observe the demand and move the weights if that is due; return the change, if any.

        `slots` are the slots of each region that may be used, and `base_weights` the sums of the
        weights of its targets while demand is even; both have the regions with such slots alone.
        `wall_ms` is the time of day, which only decides when in an interval the weights move.
        """
        weights = self._services.get(service)
        if weights is None:
            weights = self._services[service] = _ServiceWeights(now_ms)
        confidence = self.demand.compute_confidence(slots, now_ms)
        if confidence == 0.0 or weights.is_outdated(now_ms):
            weights.forget_demand(now_ms)
        demand = self.demand.get_demand(service)
        expected = weights.observe(self.demand.region, demand, slots, now_ms)
        if not weights.try_begin_step(now_ms, wall_ms):
            return None
        strength = weights.compute_strength() * confidence
        exact = dict.fromkeys(slots, 0.0)
        if strength > 0.0 and len(slots) > 1:
            fractions = compute_fractions(self.demand.region, expected, slots, weights.peak)
            steps = _compute_exact_steps(self.demand.region, fractions, base_weights)
            exact = {region: strength * step for region, step in steps.items()}
        moved = weights.move(self.demand.region, exact, base_weights, now_ms)
        if moved == 0.0:
            return None
        factors = {region: self.get_weight(service, region) for region in slots}
        return RegionShift(factors, demand, dict(slots), moved)


def compute_fractions(
    local: str, demand: Mapping[str, float], slots: Mapping[str, float], peak: float = 0.0
) -> dict[str, float]:
    """Return the fractions of a region's requests that should go to each region.

    Each region keeps what its slots can carry. Its other requests go to the other regions in
    proportion to what these have free, and stay if no region has any.
    """
    total_slots = sum(slots.values())
    fill = max(LOCAL_FILL_FRACTION, sum(demand.values()) / total_slots)
    demand = {**demand, local: max(peak, demand.get(local, 0.0))}
    kept = {
        region: min(MAX_LOCAL_FRACTION * demand.get(region, 0.0), fill * slots[region])
        for region in slots
    }
    free = {region: fill * slots[region] - kept[region] for region in slots if region != local}
    total_free = sum(free.values())
    remote = _compute_remote_fraction(demand.get(local, 0.0), kept.get(local), total_free)
    if total_free <= 0.0:
        free = {region: slots[region] for region in free}
        total_free = sum(free.values())
    fractions = {region: remote * value / total_free for region, value in free.items()}
    if local in slots:
        fractions[local] = 1.0 - sum(fractions.values())
    return fractions


def _is_clearly_off(exact: float, step: int, is_local: bool) -> bool:
    # An exact step of 0 means that demand is even or not known. Weights then return to those of
    # `placement` without a margin.
    if exact == 0.0:
        return step != 0
    margin = _HYSTERESIS_STEPS if is_local else _OTHERS_HYSTERESIS_STEPS
    return abs(exact - step) > 0.5 + margin


def _is_negligible(missing_steps: float, fraction: float) -> bool:
    """Return whether the missing steps of a region with this fraction move too few requests."""
    # The derivative of the fraction with respect to the logarithm of the region's weight.
    sensitivity = fraction * (1.0 - fraction)
    return sensitivity * _LOG_STEP * abs(missing_steps) < _MIN_ERROR_FRACTION


def _compute_remote_fraction(demand: float, kept: float | None, free: float) -> float:
    if kept is None:
        return 1.0
    if demand <= 0.0:
        return 1.0 - MAX_LOCAL_FRACTION
    return max(_MIN_REMOTE_FRACTION, min(demand - kept, free) / demand)


def _compute_exact_steps(
    local: str, fractions: Mapping[str, float], base_weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the steps that lead to these fractions, without rounding.

    The steps of the other regions distribute requests among these only: their weights keep their
    sum.
    """
    others = [region for region in fractions if region != local]
    remote = sum(fractions[region] for region in others)
    scale = sum(base_weights[region] for region in others) / remote
    steps = {}
    for region, fraction in fractions.items():
        ratio = max(fraction, _MIN_FRACTION) * scale / base_weights[region]
        steps[region] = min(_MAX_STEP, max(-_MAX_STEP, math.log(ratio) / _LOG_STEP))
    return steps
