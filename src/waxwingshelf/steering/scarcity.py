"""Reserve the targets of a region for requests that may run nowhere else.

The load pattern that this answers: an organisation may only use one region, which has few of a
service's targets, and needs most of their slots. Requests that may run in any region must then
leave these targets, or both wait there while slots are free elsewhere.

The weight of such a region for unbound requests falls with the part of its slots that the bound
requests need, as observed in this instance's own requests. The weight changes in small steps, so
that each step moves only few requests to another region.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

__all__ = ["ScarceRegions"]

_HALF_LIFE_MS = 5_000.0
_MIN_OBSERVED_REQUESTS = 20.0
_STEP_INTERVAL_MS = 1_500
_STEPS_PER_HALVING = 2
_MAX_STEP = 8
# The exact step must differ from the current one by more than half a step, plus this margin.
_HYSTERESIS_STEPS = 0.25


class ScarceRegions:
    """The weights of the regions for unbound requests of one service."""

    __slots__ = ("_at_ms", "_bound", "_next_step_ms", "_steps", "_total")

    def __init__(self) -> None:
        self._total = 0.0
        self._bound: dict[str, float] = {}
        self._at_ms = 0
        self._steps: dict[str, int] = {}
        self._next_step_ms: int | None = None

    def record(self, allowed_regions: frozenset[str], now_ms: int) -> None:
        """Count a request; an empty set allows all regions."""
        self._decay(now_ms)
        self._total += 1.0
        for region in allowed_regions:
            self._bound[region] = self._bound.get(region, 0.0) + 1.0 / len(allowed_regions)

    def is_update_due(self, now_ms: int) -> bool:
        """Return whether the weights may move another step."""
        if self._next_step_ms is None:
            self._next_step_ms = now_ms + _STEP_INTERVAL_MS
        return now_ms >= self._next_step_ms

    def update(self, slots_by_region: Mapping[str, int], now_ms: int) -> bool:
        """Move each region's weight at most one step; return whether any weight changed."""
        self._next_step_ms = now_ms + _STEP_INTERVAL_MS
        self._decay(now_ms)
        before = dict(self._steps)
        for region in self._bound.keys() | self._steps.keys():
            exact = self._compute_exact_step(region, slots_by_region)
            step = self._steps.get(region, 0)
            if abs(exact - step) > 0.5 + _HYSTERESIS_STEPS:
                self._steps[region] = step + (1 if exact > step else -1)
        return self._steps != before

    def get_weight(self, region: str) -> float:
        """Return the weight of a region's targets for unbound requests, from 1/16 to 1."""
        return float(0.5 ** (self._steps.get(region, 0) / _STEPS_PER_HALVING))

    def _compute_exact_step(self, region: str, slots_by_region: Mapping[str, int]) -> float:
        region_slots = slots_by_region.get(region, 0)
        total_slots = sum(slots_by_region.values())
        if region_slots in (0, total_slots) or self._total < _MIN_OBSERVED_REQUESTS:
            return 0.0
        bound_fraction = self._bound.get(region, 0.0) / self._total
        free_fraction = 1.0 - bound_fraction * total_slots / region_slots
        min_weight = 0.5 ** (_MAX_STEP / _STEPS_PER_HALVING)
        return -math.log2(max(free_fraction, min_weight)) * _STEPS_PER_HALVING

    def _decay(self, now_ms: int) -> None:
        factor = 0.5 ** ((now_ms - self._at_ms) / _HALF_LIFE_MS)
        self._at_ms = now_ms
        self._total *= factor
        for region in self._bound:
            self._bound[region] *= factor
