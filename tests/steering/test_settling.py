"""Tests of the time after a start in which an instance may not know the others."""

import pytest

from waxwingshelf.steering.fleet import Fleet, Heartbeat, PeerAddress
from waxwingshelf.steering.limits import RateBucket
from waxwingshelf.steering.settling import Settling

MIN_INSTANCES = 6


def make_address(name: str) -> PeerAddress:
    return PeerAddress(name, "north", "north-1", "127.0.0.1", 1, 2, f"{name}:3")


def make_fleet(peers: int, listed: bool = True) -> Fleet:
    fleet = Fleet("own", 0, "north", MIN_INSTANCES)
    fleet.settling.record_view(0)
    for number in range(peers):
        address = make_address(f"n{number}")
        if listed:
            fleet.record_listed(address, 0)
        else:
            fleet.record_registered(address)
    return fleet


def hear(fleet: Fleet, name: str, now_ms: int, number: int = 1) -> None:
    heartbeat = Heartbeat(make_address(name), 1, number, True, 1, {})
    fleet.record_heartbeat(heartbeat, now_ms)


def test_settling_begins_with_the_first_view_and_ends_when_all_are_heard() -> None:
    settling = Settling(MIN_INSTANCES)
    settling.update(8, False, 0)
    assert not settling.is_in_progress
    settling.record_view(0)
    assert settling.is_in_progress
    settling.update(8, True, 100)
    assert settling.is_in_progress
    settling.update(8, False, 200)
    assert not settling.is_in_progress
    settling.update(9, True, 300)
    assert not settling.is_in_progress


def test_settling_waits_for_the_others_only_after_it_is_registered() -> None:
    """As long as the store takes no registrations, others may not know of this instance either."""
    settling = Settling(MIN_INSTANCES)
    settling.record_view(0)
    settling.update(1, False, 60_000)
    assert settling.is_in_progress
    settling.record_registered(60_000)
    settling.update(1, False, 62_999)
    assert settling.is_in_progress
    settling.update(1, False, 63_000)
    assert not settling.is_in_progress


@pytest.mark.parametrize(("peers", "instances"), [(0, MIN_INSTANCES), (3, MIN_INSTANCES), (7, 8)])
def test_share_is_at_most_equal_while_settling(peers: int, instances: int) -> None:
    fleet = make_fleet(peers)
    assert fleet.count_instances() == instances
    assert fleet.compute_share("o", 100.0, 50.0, 10) <= 1 / instances


def test_share_follows_demand_as_soon_as_all_are_heard() -> None:
    fleet = make_fleet(7)
    for number in range(7):
        hear(fleet, f"n{number}", 100)
    fleet.remove_lost(100)
    assert fleet.compute_share("o", 100.0, 50.0, 100) > 0.8


def test_listed_instances_that_are_not_heard_are_removed() -> None:
    fleet = make_fleet(7)
    hear(fleet, "n0", 100)
    assert fleet.remove_lost(2_900) == []
    hear(fleet, "n0", 2_900, number=2)
    assert len(fleet.remove_lost(3_000)) == 6


def test_registered_instances_are_not_removed() -> None:
    fleet = make_fleet(7)
    for number in range(7):
        fleet.record_registered(make_address(f"n{number}"))
    assert fleet.remove_lost(60_000) == []


def test_unheard_peers_may_be_available_only_while_settling() -> None:
    fleet = make_fleet(2, listed=False)
    hear(fleet, "n0", 0)
    assert fleet.may_be_available("n0", 100)
    assert fleet.may_be_available("n1", 100)
    assert not fleet.may_be_available("n0", 10_000)
    assert not fleet.may_be_available("unknown", 100)
    fleet.settling.record_registered(100)
    fleet.remove_lost(3_100)
    assert not fleet.may_be_available("n1", 3_100)


def test_bucket_begins_with_what_it_gains_while_nothing_was_admitted() -> None:
    assert RateBucket(10.0, 10.0, 0.5, 0, slack=1.0).tokens == 6.0
    assert RateBucket(10.0, 10.0, 0.5, 0, slack=1.0, idle_ms=600).tokens == 3.0
    assert RateBucket(10.0, 10.0, 0.5, 0, slack=1.0, idle_ms=60_000).tokens == 6.0


def test_slack_shrinks_when_more_instances_are_known() -> None:
    bucket = RateBucket(10.0, 10.0, 1.0, 0, slack=10.0)
    bucket.set_slack(1.25)
    assert bucket.tokens == 11.25
