"""Tests of route lookup, traffic splits, allowed regions and priorities."""

import json
from collections import Counter

import pytest

from waxwingshelf.platform.documents import decode_config
from waxwingshelf.steering.config import (
    CallerLimits,
    Destination,
    OrganisationRule,
    RouteKind,
    RouteRule,
    SteeringConfig,
)
from waxwingshelf.steering.routes import (
    choose_service,
    find_route,
    resolve_allowed_regions,
    resolve_priority,
)

REGIONS = frozenset({"north", "south", "west"})


def make_route(prefix: str = "/", **fields) -> RouteRule:
    values = {
        "name": f"r{prefix}",
        "host": "a.example",
        "prefix": prefix,
        "kind": RouteKind.SAFE,
        "destinations": (Destination("reads", 1),),
        "latency_objective_ms": 500,
        "timeout_ms": 2_000,
        "attempts": 2,
        "priority": 2,
    }
    return RouteRule(**{**values, **fields})


def make_config(*routes: RouteRule) -> SteeringConfig:
    return SteeringConfig(1, CallerLimits(1, 1, 1, 1), routes, {}, {})


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("a.example", "/x/y/z", "/x/y/"),
        ("A.Example:8080", "/x/y/", "/x/y/"),
        ("a.example", "/x/yy", "/x/"),
        ("a.example", "/x", "/"),
        ("a.example", "/other/x/", "/"),
    ],
)
def test_longest_matching_prefix_wins(host, path, prefix) -> None:
    config = make_config(make_route("/"), make_route("/x/"), make_route("/x/y/"))
    route = find_route(config, host, path)
    assert route is not None
    assert route.prefix == prefix


def test_no_route_for_other_host_or_prefix() -> None:
    config = make_config(make_route("/x/"))
    assert find_route(config, "b.example", "/x/") is None
    assert find_route(config, "a.example", "/y/") is None


def test_traffic_split_follows_weights_and_is_stable_per_request() -> None:
    route = make_route(destinations=(Destination("reads", 90), Destination("new", 10)))
    counts = Counter(choose_service(route, f"id-{number}") for number in range(5_000))
    assert counts["new"] / 5_000 == pytest.approx(0.1, abs=0.02)
    assert choose_service(route, "id-7") == choose_service(route, "id-7")


@pytest.mark.parametrize(
    ("weights", "shares"),
    [
        ((0.9, 0.1), (0.9, 0.1)),
        ((0.5, 0.25, 0.25), (0.5, 0.25, 0.25)),
        ((1e-6, 9e-6), (0.1, 0.9)),
        ((1.9, 0.1), (0.95, 0.05)),
        ((1e12, 1e12), (0.5, 0.5)),
        ((1, 0.5, 0), (2 / 3, 1 / 3, 0)),
        ((5e-324, 0), (1, 0)),
        ((0, 0), (0, 1)),
    ],
)
def test_traffic_split_follows_weights_of_any_size(weights, shares) -> None:
    """Guards against weights cut to whole numbers, which sent all requests to the last service."""
    parts = [{"service": f"s{number}", "weight": weight} for number, weight in enumerate(weights)]
    rule = {"name": "r", "match": {"path_prefix": "/"}, "action": {"traffic_split": parts}}
    document = {"version": "r1", "listeners": [{"host": "a.example", "rules": [rule]}]}
    route = decode_config(json.dumps(document).encode()).routes[0]
    counts = Counter(choose_service(route, f"id-{number}") for number in range(5_000))
    for number, share in enumerate(shares):
        assert counts[f"s{number}"] / 5_000 == pytest.approx(share, abs=0.02 if share % 1 else 0)


def test_allowed_regions_are_intersection_of_route_and_organisation() -> None:
    organisation = OrganisationRule("o", (), None, 0, 0, frozenset({"north", "south"}))
    route = make_route(allowed_regions=frozenset({"south", "west"}))
    assert resolve_allowed_regions(route, organisation, REGIONS) == {"south"}
    assert resolve_allowed_regions(make_route(), None, REGIONS) == frozenset()
    disjoint = make_route(allowed_regions=frozenset({"west"}))
    assert not resolve_allowed_regions(disjoint, organisation, REGIONS) & REGIONS


def test_organisation_priority_overrides_route_priority() -> None:
    assert resolve_priority(make_route(priority=2), None) == 2
    assert resolve_priority(make_route(priority=2), OrganisationRule("o", (), 0, 0, 0)) == 0
    assert resolve_priority(make_route(priority=2), OrganisationRule("o", (), None, 0, 0)) == 2
