"""Decide where a request goes: which region, then which target."""

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

_FAR_MS = 1_000.0
_RETRY_AFTER_MS = 1_000

TakeShare = Callable[[str], Holding | None]


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What the decision depends on; `tried` are targets that this request was at already."""

    service: str
    local_region: str
    tried_targets: frozenset[str]
    now_ms: int


@dataclass(frozen=True, slots=True)
class Route:
    """A chosen target and the place in its region's budget, which must be put back."""

    state: TargetState
    slot_holding: Holding


def order_regions(manifest: Manifest, local_region: str) -> list[str]:
    """Order regions by distance from the home region."""
    distances = (
        manifest.regions[local_region].distance_ms if local_region in manifest.regions else {}
    )
    others = sorted(
        (region for region in manifest.regions if region != local_region),
        key=lambda region: (distances.get(region, _FAR_MS), region),
    )
    return [local_region, *others]


def route_request(
    request: RouteRequest,
    manifest: Manifest,
    table: TargetTable,
    try_acquire: TakeShare,
    rng: random.Random,
) -> Route | Refusal:
    """Choose the nearest region with a usable target, a place and room under the shift's cap.

    A region that no cap leads to from home is not used. A token of a cap is taken last, so that
    none is used for a request that goes nowhere.
    """
    policy = TARGET_POLICIES[manifest.services[request.service].target_policy]
    capped = False
    for region in order_regions(manifest, request.local_region):
        abroad = region != request.local_region
        if abroad and f"{request.local_region}>{region}" not in manifest.shift_caps:
            continue
        usable = table.list_usable(region, set(request.tried_targets), request.now_ms)
        if not usable:
            continue
        slot_holding = try_acquire(region_budget_name(region, request.service))
        if slot_holding is None:
            continue
        if abroad and try_acquire(shift_budget_name(request.local_region, region)) is None:
            slot_holding.release()
            capped = True
            continue
        return Route(policy(usable, request.now_ms, rng), slot_holding)
    reason = refusals.SHIFT_CAPPED if capped else refusals.NO_TARGET
    return refuse(reason, retry_after_ms=_RETRY_AFTER_MS)
