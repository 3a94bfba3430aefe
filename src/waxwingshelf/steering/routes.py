"""Find the route of a request and the service that its traffic split gives it to."""

from __future__ import annotations

from collections.abc import Iterator

from waxwingshelf.core.hashing import hash_unit
from waxwingshelf.steering.config import OrganisationRule, RouteRule, SteeringConfig

__all__ = [
    "choose_service",
    "find_route",
    "normalise_host",
    "resolve_allowed_regions",
    "resolve_priority",
]

_NO_REGION = frozenset({"(none)"})


def normalise_host(header: str) -> str:
    """Return the lower-case host name of a Host header, without its port."""
    return header.partition(":")[0].lower()


def find_route(config: SteeringConfig, host: str, path: str) -> RouteRule | None:
    """Return the route with the longest prefix of `path`, in time linear in its slashes."""
    rules = config.routes_by_host.get(normalise_host(host))
    if rules is None:
        return None
    for prefix in _list_prefixes(path):
        if (route := rules.get(prefix)) is not None:
            return route
    return None


def choose_service(route: RouteRule, request_id: str) -> str:
    """Return a destination in proportion to the weights; the same one for the same id."""
    if len(route.destinations) == 1:
        return route.destinations[0].service
    total = sum(destination.weight for destination in route.destinations)
    point = hash_unit("split", request_id) * total
    for destination in route.destinations:
        point -= destination.weight
        if point < 0:
            return destination.service
    return route.destinations[-1].service


def resolve_allowed_regions(
    route: RouteRule, organisation: OrganisationRule | None, regions: frozenset[str]
) -> frozenset[str]:
    """Return the regions that the homes of both allow; empty when neither names one."""
    allowed_regions = [route.allowed_regions]
    if organisation is not None:
        allowed_regions.append(organisation.allowed_regions)
    named = [home for home in allowed_regions if home]
    if not named:
        return frozenset()
    return regions.intersection(*named) or _NO_REGION


def resolve_priority(route: RouteRule, organisation: OrganisationRule | None) -> int:
    """Return the rank of a request, 0 being the highest; the organisation's goes first."""
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


def _list_prefixes(path: str) -> Iterator[str]:
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
