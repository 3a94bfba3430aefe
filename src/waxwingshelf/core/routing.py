"""Choose the region and then the target of a request."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from waxwingshelf.core import refusals
from waxwingshelf.core.budgets import region_budget_name, shift_budget_name
from waxwingshelf.core.holding import Holding
from waxwingshelf.core.manifest import Manifest
from waxwingshelf.core.policies import TARGET_POLICIES
from waxwingshelf.core.refusals import Refusal, refuse
from waxwingshelf.core.targets import TargetState, TargetTable

__all__ = ["Route", "RouteRequest", "order_regions", "route_request"]

_UNKNOWN_DISTANCE_MS = 1_000.0
_RETRY_AFTER_MS = 1_000

AcquireFunction = Callable[[str], Holding | None]


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """The inputs of a routing decision; `tried_targets` were already tried for this request."""

    service: str
    local_region: str
    tried_targets: frozenset[str]
    now_ms: int


@dataclass(frozen=True, slots=True)
class Route:
    """A chosen target, and the holding whose acquired slot the caller must release."""

    state: TargetState
    slot_holding: Holding


def order_regions(manifest: Manifest, local_region: str) -> list[str]:
    """Return the local region, then the other regions by distance from it."""
    distances = (
        manifest.regions[local_region].distance_ms if local_region in manifest.regions else {}
    )
    others = sorted(
        (region for region in manifest.regions if region != local_region),
        key=lambda region: (distances.get(region, _UNKNOWN_DISTANCE_MS), region),
    )
    return [local_region, *others]


def route_request(
    request: RouteRequest,
    manifest: Manifest,
    table: TargetTable,
    try_acquire: AcquireFunction,
    rng: random.Random,
) -> Route | Refusal:
    """Choose a target in the nearest region with a usable target and a free slot.

    A remote region is used only if a shift cap from the local region to it is configured and has a
    token left. The token is acquired last, so that none is spent on a request that is not routed.
    """
    policy = TARGET_POLICIES[manifest.services[request.service].target_policy]
    cap_exhausted = False
    for region in order_regions(manifest, request.local_region):
        is_remote = region != request.local_region
        if is_remote and f"{request.local_region}>{region}" not in manifest.shift_caps:
            continue
        usable = table.list_usable(region, set(request.tried_targets), request.now_ms)
        if not usable:
            continue
        slot_holding = try_acquire(region_budget_name(region, request.service))
        if slot_holding is None:
            continue
        if is_remote and try_acquire(shift_budget_name(request.local_region, region)) is None:
            slot_holding.release()
            cap_exhausted = True
            continue
        return Route(policy(usable, request.now_ms, rng), slot_holding)
    reason = refusals.SHIFT_CAPPED if cap_exhausted else refusals.NO_TARGET
    return refuse(reason, retry_after_ms=_RETRY_AFTER_MS)
