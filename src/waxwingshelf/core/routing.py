"""Decide where a request goes: which region, then which target."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from waxwingshelf.core import outcomes
from waxwingshelf.core.budgets import region_budget_name, shift_budget_name
from waxwingshelf.core.holding import Holding
from waxwingshelf.core.manifest import Manifest
from waxwingshelf.core.outcomes import Refusal, refuse
from waxwingshelf.core.policies import TARGET_POLICIES
from waxwingshelf.core.targets import TargetState, TargetTable

__all__ = ["Route", "RouteRequest", "order_regions", "route_request"]

_FAR_MS = 1_000.0
_RETRY_AFTER_MS = 1_000

TakeShare = Callable[[str], Holding | None]


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What the decision depends on; `tried` are targets that this request was at already."""

    service: str
    home: str
    tried: frozenset[str]
    now_ms: int


@dataclass(frozen=True, slots=True)
class Route:
    """A chosen target and the place in its region's budget, which must be put back."""

    state: TargetState
    place: Holding


def order_regions(manifest: Manifest, home: str) -> list[str]:
    """Order regions by distance from the home region."""
    distances = manifest.regions[home].distance_ms if home in manifest.regions else {}
    others = sorted(
        (region for region in manifest.regions if region != home),
        key=lambda region: (distances.get(region, _FAR_MS), region),
    )
    return [home, *others]


def route_request(
    request: RouteRequest,
    manifest: Manifest,
    table: TargetTable,
    take: TakeShare,
    rng: random.Random,
) -> Route | Refusal:
    """Choose the nearest region with a usable target, a place and room under the shift's cap.

    A region that no cap leads to from home is not used. A token of a cap is taken last, so that
    none is used for a request that goes nowhere.
    """
    policy = TARGET_POLICIES[manifest.services[request.service].target_policy]
    capped = False
    for region in order_regions(manifest, request.home):
        abroad = region != request.home
        if abroad and f"{request.home}>{region}" not in manifest.shift_caps:
            continue
        usable = table.list_usable(region, set(request.tried), request.now_ms)
        if not usable:
            continue
        place = take(region_budget_name(region, request.service))
        if place is None:
            continue
        if abroad and take(shift_budget_name(request.home, region)) is None:
            place.release()
            capped = True
            continue
        return Route(policy(usable, request.now_ms, rng), place)
    reason = outcomes.SHIFT_CAPPED if capped else outcomes.NO_TARGET
    return refuse(reason, retry_after_ms=_RETRY_AFTER_MS)
