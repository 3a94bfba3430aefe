"""Callers of hosts with large responses are sent to instances of their own failure domain."""

import pytest

from waxwingshelf.steering.config import (
    CallerLimits,
    Destination,
    RouteKind,
    RouteRule,
    SteeringConfig,
)
from waxwingshelf.steering.directory import choose_addresses
from waxwingshelf.steering.fleet import PeerAddress
from waxwingshelf.steering.routes import has_download_route


def make_addresses(counts: dict[str, int]) -> list[PeerAddress]:
    """Return instances by failure domain; the part before the hyphen is the region."""
    return [
        PeerAddress(
            f"{domain}.{number}", domain.partition("-")[0], domain, "h", 1, 2, f"{domain}.{number}"
        )
        for domain, count in counts.items()
        for number in range(count)
    ]


def choose_domains(
    counts: dict[str, int], has_downloads: bool, without_targets: frozenset[str] = frozenset()
) -> dict[str, int]:
    """Return the number of addresses by failure domain that a caller in north-1 gets."""
    chosen = choose_addresses(
        make_addresses(counts), without_targets, "north", "north-1", has_downloads
    )
    domains = [address.partition(".")[0] for address in chosen]
    return {domain: domains.count(domain) for domain in domains}


@pytest.mark.parametrize(
    ("counts", "expected"),
    [
        ({"north-2": 5, "north-1": 4, "south-1": 5}, {"north-1": 4}),
        # With few instances left, the loss of one of them would cost too much.
        ({"north-2": 5, "north-1": 3, "south-1": 5}, {"north-1": 3, "north-2": 5}),
        ({"north-2": 5, "south-1": 5}, {"north-2": 5}),
        ({"south-1": 5}, {"south-1": 5}),
        # Large failure domains are bounded like large regions.
        ({"north-1": 70, "north-2": 70}, {"north-1": 64}),
    ],
)
def test_download_callers_stay_in_their_failure_domain_if_it_has_enough(counts, expected) -> None:
    """Large responses went to callers of other failure domains of the region."""
    assert choose_domains(counts, has_downloads=True) == expected


def test_other_hosts_are_shared_by_the_region() -> None:
    counts = {"north-1": 6, "north-2": 5, "south-1": 5}
    assert choose_domains(counts, has_downloads=False) == {"north-1": 6, "north-2": 5}


def test_instances_without_targets_do_not_count() -> None:
    """Three instances that depend on their peers would leave a caller a single useful one."""
    counts = {"north-1": 4, "north-2": 5}
    without_targets = frozenset({"north-1.0"})
    chosen = choose_domains(counts, True, without_targets)
    assert chosen == {"north-1": 3, "north-2": 5}
    chosen = choose_domains({"north-1": 5, "north-2": 5}, True, without_targets)
    assert chosen == {"north-1": 4}


def make_config() -> SteeringConfig:
    routes = [
        ("read", "a.example", RouteKind.SAFE),
        ("file", "b.example", RouteKind.DOWNLOAD),
        ("read-b", "b.example", RouteKind.SAFE),
    ]
    rules = tuple(
        RouteRule(name, host, f"/{name}/", kind, (Destination("work", 1),), 400, 1_000, 3, 1)
        for name, host, kind in routes
    )
    return SteeringConfig(1, CallerLimits(1, 1, 1, 1), rules, {}, {})


@pytest.mark.parametrize(
    ("host", "expected"),
    [
        ("a.example", False),
        ("b.example", True),
        ("B.example:80", True),
        ("c.example", False),
        ("", False),
    ],
)
def test_download_hosts_are_found_by_the_name_in_a_query(host, expected) -> None:
    assert has_download_route(make_config(), host) is expected
