"""Which fleet-wide budgets a manifest describes."""

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

_KINDS = {"org": "rate", "shift": "rate", "region": "level"}


def organisation_budget_name(organisation: str) -> str:
    """Name the budget of an organisation's rate and burst."""
    return f"org:{organisation}"


def shift_budget_name(source: str, destination: str) -> str:
    """Name the budget of a cap on requests that leave a region for another."""
    return f"shift:{source}>{destination}"


def region_budget_name(region: str, service: str) -> str:
    """Name the budget of a service's slots in a region."""
    return f"region:{region}:{service}"


def budget_kind(budget: str) -> str:
    """Return the kind of holding that a budget's name calls for."""
    return _KINDS[budget.partition(":")[0]]


def build_limits(manifest: Manifest) -> dict[str, Limit]:
    """Return the size of every budget of a manifest, by name."""
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
