"""Find the route of a request, its service, its allowed regions and its priority."""

from __future__ import annotations

from collections.abc import Iterator

from waxwingshelf.core.hashing import hash_to_unit_interval
from waxwingshelf.steering.config import OrganisationRule, RouteKind, RouteRule, SteeringConfig

__all__ = [
    "choose_service",
    "find_route",
    "has_download_route",
    "normalise_host",
    "resolve_allowed_regions",
    "resolve_priority",
]

# Not empty, as an empty set allows every region.
_NO_REGIONS = frozenset({"(none)"})


def normalise_host(header: str) -> str:
    """Return the host name of a Host header in lower case, without the port."""
    return header.partition(":")[0].lower()


def find_route(config: SteeringConfig, host: str, path: str) -> RouteRule | None:
    """Return the route of `host` with the longest prefix of `path`, or None if there is none.

    The number of lookups is at most the number of slashes in `path`.
    """
    rules = config.routes_by_host.get(normalise_host(host))
    if rules is None:
        return None
    for prefix in _list_prefixes(path):
        if (route := rules.get(prefix)) is not None:
            return route
    return None


def has_download_route(config: SteeringConfig, host: str) -> bool:
    """Return whether a host has a route of the kind `RouteKind.DOWNLOAD`."""
    rules = config.routes_by_host.get(normalise_host(host), {})
    return any(rule.kind is RouteKind.DOWNLOAD for rule in rules.values())


def choose_service(route: RouteRule, request_id: str) -> str:
    """Return a service chosen in proportion to the weights, always the same for one request id."""
    if len(route.destinations) == 1:
        return route.destinations[0].service
    # Without any weight there are no proportions, and the last service gets all.
    weighted = [part for part in route.destinations if part.weight > 0] or route.destinations[-1:]
    total = sum(destination.weight for destination in weighted)
    point = hash_to_unit_interval("split", request_id) * total
    for destination in weighted:
        point -= destination.weight
        if point < 0:
            return destination.service
    # Rounding has left nothing of the last weight.
    return weighted[-1].service


def resolve_allowed_regions(
    route: RouteRule, organisation: OrganisationRule | None, regions: frozenset[str]
) -> frozenset[str]:
    """Return the regions that both the route and the organisation allow, or an empty set for all.

    If they have no region in common, the set contains one name that is no region.
    """
    region_sets = [route.allowed_regions]
    if organisation is not None:
        region_sets.append(organisation.allowed_regions)
    restrictions = [region_set for region_set in region_sets if region_set]
    if not restrictions:
        return frozenset()
    return regions.intersection(*restrictions) or _NO_REGIONS


def resolve_priority(route: RouteRule, organisation: OrganisationRule | None) -> int:
    """Return the priority of a request, 0 being the highest.

    The organisation's priority, if it has one, overrides the route's.
    """
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


def _list_prefixes(path: str) -> Iterator[str]:
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
