"""Which peers send for an instance without targets, and where its callers are sent."""

import pytest
from msgspec.structs import replace

from waxwingshelf.steering.directory import choose_addresses
from waxwingshelf.steering.fleet import Fleet, Heartbeat, PeerAddress

REGIONS = {"a": "north", "b": "north", "c": "south"}


def make_address(name: str) -> PeerAddress:
    return PeerAddress(name, REGIONS[name], f"{REGIONS[name]}-1", name, 1, 2, f"{name}:80")


def make_fleet(**reaches_targets: bool | None) -> Fleet:
    fleet = Fleet("own", 0, "north")
    for name, reaches in reaches_targets.items():
        heartbeat = Heartbeat(make_address(name), 1, 1, True, 1, {}, reaches_targets=reaches)
        fleet.record_heartbeat(heartbeat, 0)
    return fleet


def choose(fleet: Fleet, allowed=frozenset(), excluded=(), now_ms: int = 100) -> str | None:
    peer = fleet.choose_relay(allowed, excluded, now_ms)
    return peer.name if peer is not None else None


def test_peers_of_the_region_are_asked_first() -> None:
    fleet = make_fleet(a=True, b=True, c=True)
    assert {choose(fleet) for _ in range(20)} == {"a", "b"}
    assert choose(fleet, excluded={"a", "b"}) == "c"
    assert choose(fleet, excluded={"a", "b", "c"}) is None


@pytest.mark.parametrize("reaches", [False, None])
def test_peers_that_reach_no_target_or_do_not_tell_are_not_asked(reaches) -> None:
    assert choose(make_fleet(a=reaches, c=True)) == "c"
    assert choose(make_fleet(a=reaches)) is None


def test_peer_without_a_recent_heartbeat_or_not_ready_is_not_asked() -> None:
    fleet = make_fleet(a=True)
    assert choose(fleet, now_ms=60_000) is None
    stopping = Heartbeat(make_address("a"), 1, 2, False, 1, {}, reaches_targets=True)
    fleet.record_heartbeat(stopping, 0)
    assert choose(fleet) is None


def test_bound_request_passes_only_through_its_regions() -> None:
    fleet = make_fleet(a=True, c=True)
    assert choose(fleet, frozenset({"south"})) == "c"
    assert choose(fleet, frozenset({"west"})) is None


@pytest.mark.parametrize(
    ("without_targets", "expected"),
    [
        (set(), ["a:80", "b:80"]),
        ({"a"}, ["b:80"]),
        # The instances of a caller's region serve it through peers before those of another.
        ({"a", "b"}, ["a:80", "b:80"]),
        ({"c"}, ["a:80", "b:80"]),
    ],
)
def test_directory_prefers_instances_that_reach_targets(without_targets, expected) -> None:
    addresses = [make_address(name) for name in REGIONS]
    assert choose_addresses(addresses, without_targets, "north", "north-1") == expected


def test_directory_sends_callers_of_an_empty_region_where_targets_are_reached() -> None:
    addresses = [replace(make_address(name), region="north") for name in REGIONS]
    assert choose_addresses(addresses, {"a"}, "west", "west-1") == ["b:80", "c:80"]
