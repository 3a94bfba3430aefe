"""What the distance to a target costs, by the size of the responses.

A large response takes a noticeable time on the link of a small instance, and traffic between
failure domains is expensive. Requests of download routes therefore prefer the targets of the
instance's own failure domain, and the estimated cost of another failure domain or region grows with
the usual size of a route's responses.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from waxwingshelf.steering.region_weights import LOCAL_FILL_FRACTION, MAX_LOCAL_FRACTION

__all__ = [
    "ResponseSize",
    "compute_distance_ms",
    "compute_domain_weight",
    "compute_local_weight",
]

# Responses up to this size cost nothing extra: they fit in a few packets more than a head does.
_SMALL_RESPONSE_BYTES = 32_768
_BITS_PER_BYTE = 8
_BITS_PER_MS_PER_MBPS = 1_000
# The cost of another failure domain of the region, relative to that of another region.
_DOMAIN_COST_FRACTION = 0.5
# Bounds the cost of distance, as a request waits about that long for near targets while far ones
# have free slots, and must still meet its latency objective.
_MAX_COST_FRACTION = 0.25
_SMOOTHING_FACTOR = 0.1
# The fraction of a failure domain's requests that stay there if it has enough slots.
_MAX_OWN_FRACTION = 0.85
# The fraction of the failure domain's slots that its own requests fill at full load.
_FILL_FRACTION = 0.8


class ResponseSize(msgspec.Struct):
    """A moving average of the size of a route's responses, and the number of samples."""

    mean_bytes: float = 0.0
    samples: int = 0

    def record(self, size: int) -> None:
        """Add the size of one response; the first ones count equally."""
        self.samples += 1
        factor = max(_SMOOTHING_FACTOR, 1.0 / self.samples)
        self.mean_bytes += factor * (size - self.mean_bytes)


def compute_distance_ms(
    response_bytes: float, link_mbps: float, latency_objective_ms: int, same_region: bool
) -> float:
    """Return the cost of a target outside the failure domain, due to the size of its response.

    It is the time that the bytes take on this instance's link, up to a part of the latency
    objective. The cost of a small response, or with an unknown link, is 0.
    """
    if response_bytes <= _SMALL_RESPONSE_BYTES or link_mbps <= 0:
        return 0.0
    link_ms = response_bytes * _BITS_PER_BYTE / (link_mbps * _BITS_PER_MS_PER_MBPS)
    cost_ms = min(link_ms, latency_objective_ms * _MAX_COST_FRACTION)
    return cost_ms * _DOMAIN_COST_FRACTION if same_region else cost_ms


def compute_domain_weight(
    slots_by_domain: Mapping[str, int], region_by_domain: Mapping[str, str], own_domain: str
) -> float:
    """Return the weight of the own failure domain's targets relative to others of their region.

    It assumes that callers are spread equally over the failure domains. It depends only on the
    slots, so that steps of the regions' weights act on downloads as on other requests.
    """
    own_region = region_by_domain.get(own_domain)
    if own_region is None:
        return 1.0
    region_slots = sum(
        slots
        for domain, slots in slots_by_domain.items()
        if region_by_domain.get(domain) == own_region
    )
    total_slots = sum(slots_by_domain.values())
    own_slots = slots_by_domain.get(own_domain, 0)
    if own_slots in (0, region_slots):
        return 1.0
    region_domains = sum(region == own_region for region in region_by_domain.values())
    # The slots that the requests of one failure domain need at full load.
    needed_slots = total_slots / len(region_by_domain)
    own_fraction = min(_MAX_OWN_FRACTION, _FILL_FRACTION * own_slots / needed_slots)
    local_weight = compute_local_weight(
        region_slots, total_slots, len(set(region_by_domain.values()))
    )
    rest_weight = (total_slots - region_slots) / local_weight
    sibling_slots = region_slots - own_slots
    weight = _compute_odds(own_fraction) * (sibling_slots + rest_weight) / own_slots
    # Requests that must stay in the region leave the failure domain as often.
    weight = min(weight, _compute_odds(_MAX_OWN_FRACTION) * sibling_slots / own_slots)
    # A region with few slots for its callers does not keep more requests than these can take.
    region_fraction = region_slots / (needed_slots * region_domains)
    if region_fraction < 1.0:
        kept_weight = _compute_odds(region_fraction) * rest_weight
        weight = min(weight, (kept_weight - sibling_slots) / own_slots)
    # Rounded to a power of two, so that adding or removing a target moves only its own objects;
    # down, since the fractions are upper bounds.
    return float(2 ** math.floor(math.log2(max(1.0, weight))))


def compute_local_weight(local_slots: int, total_slots: int, regions: int) -> float:
    """Return the weight of the own region's targets while the demand of all regions is equal."""
    if local_slots in (0, total_slots):
        return 1.0
    slot_fraction = local_slots / total_slots
    local_fraction = min(MAX_LOCAL_FRACTION, slot_fraction * regions * LOCAL_FILL_FRACTION)
    weight = max(1.0, _compute_odds(local_fraction) / _compute_odds(slot_fraction))
    # Rounded to a power of two, so that adding or removing a target moves only its own objects.
    return float(2 ** round(math.log2(weight)))


def _compute_odds(fraction: float) -> float:
    """Return the ratio of a fraction to the rest."""
    return fraction / (1.0 - fraction)
