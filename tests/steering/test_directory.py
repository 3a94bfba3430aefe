"""Callers of hosts with large responses are sent to instances of their own failure domain."""

from collections import Counter

import pytest
from msgspec.structs import replace

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
        ({"north-1": 70, "north-2": 70}, {"north-1": 4}),
    ],
)
def test_download_callers_stay_in_their_failure_domain_if_it_has_enough(counts, expected) -> None:
    """Large responses went to callers of other failure domains of the region."""
    assert choose_domains(counts, has_downloads=True) == expected


def test_download_callers_get_fast_links_and_are_spread_over_the_slow_ones() -> None:
    """On a slow link, all requests waited behind large responses."""
    slow = make_addresses({"north-1": 12})
    fast = [
        replace(
            address, name=f"{address.name}-fast", caller_address=f"fast.{number}", link_mbps=100
        )
        for number, address in enumerate(slow[:2])
    ]
    uses: Counter[str] = Counter()
    for number in range(300):
        arguments = (frozenset(), "north", "north-1", True, f"10.0.0.{number}")
        chosen = choose_addresses([*slow, *fast], *arguments)
        assert chosen == choose_addresses([*fast, *reversed(slow)], *arguments)
        assert chosen[:2] in (["fast.0", "fast.1"], ["fast.1", "fast.0"])
        uses.update(chosen[2:])
    # 600 choices of 12: 50 each, with a standard deviation of about 6.
    assert len(uses) == 12
    assert 25 <= min(uses.values()) <= max(uses.values()) <= 75


def test_loss_of_an_instance_replaces_only_its_address() -> None:
    """Callers close their connections to instances that are missing from a new response."""
    ready = make_addresses({"north-1": 12})
    arguments = (frozenset(), "north", "north-1", True, "10.0.0.1")
    before = choose_addresses(ready, *arguments)
    rest = [address for address in ready if address.caller_address != before[1]]
    after = choose_addresses(rest, *arguments)
    assert [address for address in before if address != before[1]] == after[:3]


@pytest.mark.parametrize(
    ("instances", "expected"),
    [
        # As many instances in each failure domain, which are three to a region.
        (8 // 6, {"north-1": 1, "north-2": 1, "north-3": 1}),
        (76 // 6, {"north-1": 4}),
        (195 // 9, {"north-1": 7}),
        (300 // 9, {"north-1": 11}),
        # With few instances left, the loss of one of them would cost too much.
        (3, {"north-1": 3, "north-2": 3, "north-3": 3}),
    ],
)
def test_callers_of_a_large_fleet_get_a_subset_of_their_failure_domain(instances, expected) -> None:
    """An instance got a few requests a second for hundreds of targets, and met none again."""
    ready = make_addresses(dict.fromkeys(("north-1", "north-2", "north-3"), instances))
    chosen = choose_addresses(
        ready, frozenset(), "north", "north-1", caller="10.0.0.1", is_large_fleet=True
    )
    assert Counter(address.partition(".")[0] for address in chosen) == expected


def test_no_instance_gets_more_than_three_times_its_part_of_the_callers() -> None:
    """A few instances with fast links would get all callers."""
    addresses = make_addresses({"north-1": 24})
    ready = [
        replace(address, link_mbps=60 if number < 3 else 6)
        for number, address in enumerate(addresses)
    ]
    uses: Counter[str] = Counter()
    for number in range(300):
        chosen = choose_addresses(
            ready, frozenset(), "north", "north-1", False, f"10.0.0.{number}", is_large_fleet=True
        )
        for address in chosen:
            uses[address] += 1 / len(chosen)
    assert len(uses) == 24
    assert max(uses.values()) <= 3 * 300 / 24 + 1e-6


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
