"""The slots that the requests of each region's callers need, by service.

Every instance measures the demand of its own callers. It tells peers in its region this demand, and
peers in other regions the sum over its region. Each instance thus knows the sums of all regions
about a second later, from few bytes.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import msgspec

from waxwingshelf.core.hashing import hash_to_uint32

__all__ = ["RegionalDemand"]

# An exponential window with this time constant has the variance of a plain window of 2 s.
_WINDOW_MS = 1_000.0
# Figures are averaged over this time, so that instances that hear different peers come to nearly
# the same sums.
_SUM_SMOOTHING_MS = 500.0
_VALID_MS = 4_000
_DECAY_HALF_LIFE_MS = 2_000.0
# Older figures are not used at all.
_MAX_AGE_MS = 8_000
_MIN_KNOWN_FRACTION = 0.5
_UNITS_PER_SLOT = 10
# More than a fleet has; larger figures are malformed.
_MAX_UNITS = 10_000_000
_MIN_SLOTS = 0.5 / _UNITS_PER_SLOT


class _Meter(msgspec.Struct):
    """The work of requests, in milliseconds, that arrived within an exponential window."""

    work_ms: float
    at_ms: int

    def record(self, work_ms: float, now_ms: int) -> None:
        self.work_ms = self._decay(now_ms) + work_ms
        self.at_ms = now_ms

    def compute_slots(self, now_ms: int) -> float:
        return self._decay(now_ms) / _WINDOW_MS

    def _decay(self, now_ms: int) -> float:
        return self.work_ms * math.exp((self.at_ms - now_ms) / _WINDOW_MS)


class _Figures(msgspec.Struct, frozen=True):
    """The demand of one instance in slots by hash of the service."""

    slots: dict[int, float]
    at_ms: int


class _RegionSum(msgspec.Struct):
    """The last known demand of a region in slots by hash of the service; `at_ms` None if none."""

    slots: dict[int, float] = msgspec.field(default_factory=dict)
    at_ms: int | None = None

    def replace(self, slots: dict[int, float], now_ms: int) -> None:
        self.slots = slots
        self.at_ms = now_ms

    def include(self, slots: Mapping[int, float], now_ms: int) -> None:
        """Average with earlier sums, unless these are outdated."""
        if self.at_ms is None or now_ms - self.at_ms > _VALID_MS:
            self.replace(dict(slots), now_ms)
            return
        weight = 1.0 - math.exp((self.at_ms - now_ms) / _SUM_SMOOTHING_MS)
        averages = {}
        for service in self.slots.keys() | slots.keys():
            known = self.slots.get(service, 0.0)
            average = known + weight * (slots.get(service, 0.0) - known)
            if average >= _MIN_SLOTS:
                averages[service] = average
        self.replace(averages, now_ms)

    def compute_confidence(self, now_ms: int) -> float:
        if self.at_ms is None:
            return 0.0
        return _compute_confidence(now_ms - self.at_ms)


class RegionalDemand:
    """The demand of this instance, and the sums over each region as this instance knows them."""

    def __init__(self, region: str) -> None:
        self.region = region
        self._meters: dict[str, _Meter] = {}
        self._peers: dict[str, _Figures] = {}
        self._sums: dict[str, _RegionSum] = {}
        self._instance_counts: dict[str, int] = {}

    def record_request(self, service: str, work_ms: float, now_ms: int) -> None:
        """Count a request of this instance's callers that runs for `work_ms` if warm."""
        meter = self._meters.get(service)
        if meter is None:
            meter = self._meters[service] = _Meter(0.0, now_ms)
        meter.record(work_ms, now_ms)

    def record_peer(
        self,
        name: str,
        region: str,
        service_units: object,
        region_units: object,
        now_ms: int,
    ) -> None:
        """Take over a peer's own demand, or that of its region, as the peer told them.

        Both are in tenths of slots by hash of the service, and None if not told.
        """
        if region == self.region:
            if isinstance(service_units, dict):
                self._peers[name] = _Figures(_read_slots(service_units), now_ms)
        elif isinstance(region_units, dict):
            region_sum = self._sums.setdefault(region, _RegionSum())
            region_sum.include(_read_slots(region_units), now_ms)

    def update(self, instance_counts: Mapping[str, int], now_ms: int) -> None:
        """Update the sum over this region; `instance_counts` has all instances by region."""
        self._instance_counts = dict(instance_counts)
        self._drop_outdated(now_ms)
        count = max(1, instance_counts.get(self.region, 1))
        known = len(self._peers) + 1
        if known < count * _MIN_KNOWN_FRACTION:
            return
        region_sum = self._sums.setdefault(self.region, _RegionSum())
        region_sum.replace(self._estimate_region(count, now_ms), now_ms)

    def list_own(self, now_ms: int) -> dict[int, int]:
        """Return this instance's demand in tenths of slots by hash of the service."""
        return _convert_to_units(self._measure_own(now_ms))

    def list_region(self, now_ms: int) -> dict[int, int] | None:
        """Return the demand of this region in tenths of slots; None if it is not known."""
        region_sum = self._sums.get(self.region)
        if region_sum is None or region_sum.at_ms is None or now_ms - region_sum.at_ms > _VALID_MS:
            return None
        return _convert_to_units(region_sum.slots)

    def get_demand(self, service: str) -> dict[str, float]:
        """Return the last known slots that each region's requests for a service need."""
        service_hash = hash_to_uint32(service)
        return {
            region: region_sum.slots.get(service_hash, 0.0)
            for region, region_sum in self._sums.items()
        }

    def compute_confidence(self, target_regions: Collection[str], now_ms: int) -> float:
        """Return how far the sums of all regions with instances or targets count, from 0 to 1.

        A region with targets whose instances are not known may have callers.
        """
        regions = {self.region, *self._instance_counts, *target_regions}
        sums = [self._sums.get(region) for region in regions]
        return min(
            region_sum.compute_confidence(now_ms) if region_sum else 0.0 for region_sum in sums
        )

    def _estimate_region(self, count: int, now_ms: int) -> dict[int, float]:
        """Return the demand of `count` instances, of which only some are known.

        The others are taken to have the average demand of the known ones.
        """
        total = dict(self._measure_own(now_ms))
        weight = 1.0
        for figures in self._peers.values():
            confidence = _compute_confidence(now_ms - figures.at_ms)
            weight += confidence
            for service, slots in figures.slots.items():
                total[service] = total.get(service, 0.0) + confidence * slots
        return {service: slots * count / weight for service, slots in total.items()}

    def _measure_own(self, now_ms: int) -> dict[int, float]:
        measured = {}
        for service, meter in self._meters.items():
            slots = meter.compute_slots(now_ms)
            if slots >= _MIN_SLOTS:
                measured[hash_to_uint32(service)] = slots
        return measured

    def _drop_outdated(self, now_ms: int) -> None:
        earliest_ms = now_ms - _MAX_AGE_MS
        self._peers = {
            name: figures for name, figures in self._peers.items() if figures.at_ms >= earliest_ms
        }
        self._meters = {
            service: meter for service, meter in self._meters.items() if meter.at_ms >= earliest_ms
        }
        self._sums = {
            region: region_sum
            for region, region_sum in self._sums.items()
            if region_sum.at_ms is not None and region_sum.at_ms >= earliest_ms
        }


def _compute_confidence(age_ms: int) -> float:
    if age_ms <= _VALID_MS:
        return 1.0
    if age_ms > _MAX_AGE_MS:
        return 0.0
    return float(0.5 ** ((age_ms - _VALID_MS) / _DECAY_HALF_LIFE_MS))


def _convert_to_units(slots: Mapping[int, float]) -> dict[int, int]:
    units = {service: round(value * _UNITS_PER_SLOT) for service, value in slots.items()}
    return {service: value for service, value in units.items() if value > 0}


def _read_slots(units: dict[object, object]) -> dict[int, float]:
    """Return the slots that a peer told; malformed and impossible entries are left out."""
    return {
        service: value / _UNITS_PER_SLOT
        for service, value in units.items()
        if isinstance(service, int) and isinstance(value, int) and 0 < value <= _MAX_UNITS
    }
