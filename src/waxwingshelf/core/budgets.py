"""Names, kinds and limits of the fleet-wide budgets that a manifest defines."""

from __future__ import annotations

from waxwingshelf.core.holding import Limit
from waxwingshelf.core.manifest import Manifest

__all__ = [
    "budget_kind",
    "build_limits",
    "organisation_budget_name",
    "region_budget_name",
    "shift_budget_name",
]

_KIND_BY_PREFIX = {"org": "rate", "shift": "rate", "region": "level"}


def organisation_budget_name(organisation: str) -> str:
    """Return the name of the budget for an organisation's rate and burst."""
    return f"org:{organisation}"


def shift_budget_name(source: str, destination: str) -> str:
    """Return the name of the budget that caps requests sent from one region to another."""
    return f"shift:{source}>{destination}"


def region_budget_name(region: str, service: str) -> str:
    """Return the name of the budget for a service's slots in a region."""
    return f"region:{region}:{service}"


def budget_kind(budget: str) -> str:
    """Return the kind of holding for a budget, given by the prefix of the budget's name."""
    return _KIND_BY_PREFIX[budget.partition(":")[0]]


def build_limits(manifest: Manifest) -> dict[str, Limit]:
    """Return the limit of every budget in a manifest, by budget name."""
    limits = {
        organisation_budget_name(name): Limit("rate", organisation.burst, organisation.rate_per_s)
        for name, organisation in manifest.organisations.items()
    }
    for pair, cap in manifest.shift_caps.items():
        source, _, destination = pair.partition(">")
        limits[shift_budget_name(source, destination)] = Limit(
            "rate", cap.burst, cap.requests_per_s
        )
    slots: dict[str, float] = {}
    for target in manifest.targets.values():
        service = manifest.services[target.service]
        budget = region_budget_name(target.region, target.service)
        slots[budget] = slots.get(budget, 0.0) + (target.slots or service.slots) * service.headroom
    limits.update({budget: Limit("level", size) for budget, size in slots.items()})
    return limits
