"""Tests of fleet membership and of the limits shared by the fleet: rates, retries, cold targets."""

import random

import pytest

from waxwingshelf.steering.fleet import Fleet, Heartbeat, LoadReport, PeerAddress
from waxwingshelf.steering.limits import ColdTargetLimiter, RateBucket, RetryBudget
from waxwingshelf.steering.peer_rotation import PeerRotation

SECOND_MS = 1_000


def make_address(name: str) -> PeerAddress:
    return PeerAddress(name, "north", "north-1", "127.0.0.1", 1, 2, f"{name}:3")


def make_heartbeat(
    name: str, number: int, demand: dict[str, float], ready: bool = True
) -> Heartbeat:
    return Heartbeat(make_address(name), 1, number, ready, 1, demand)


def make_fleets(names: list[str], demands: dict[str, float], now_ms: int) -> dict[str, Fleet]:
    fleets = {name: Fleet(name, now_ms) for name in names}
    for fleet in fleets.values():
        fleet.last_store_contact_ms = now_ms
        for name in names:
            fleet.record_registered(make_address(name))
            fleet.record_heartbeat(make_heartbeat(name, 1, {"o": demands[name]}), now_ms)
    return fleets


def test_shares_follow_demand_and_sum_to_one() -> None:
    demands = {"a": 30.0, "b": 10.0, "c": 0.0}
    fleets = make_fleets(list(demands), demands, 0)
    shares = {
        name: fleet.compute_share("o", demands[name], 40.0, 10) for name, fleet in fleets.items()
    }
    assert sum(shares.values()) == pytest.approx(1.0)
    assert shares["a"] > 2 * shares["b"] > 0
    assert shares["c"] > 0


def test_single_instance_has_exactly_the_whole_rate() -> None:
    fleet = Fleet("a", 0)
    assert fleet.compute_share("o", 0.0, 10.0, 0) == 1.0
    assert fleet.compute_share("o", 2.0, 10.0, 0) == 1.0


def test_unresponsive_peer_keeps_share_until_unregistered() -> None:
    demands = {"a": 10.0, "b": 10.0, "c": 10.0}
    fleet = make_fleets(list(demands), demands, 0)["a"]
    fleet.record_heartbeat(make_heartbeat("c", 2, {"o": 10.0}), 60_000)
    fleet.last_store_contact_ms = 60_000
    assert fleet.compute_share("o", 10.0, 30.0, 60_000) == pytest.approx(1 / 3)
    fleet.record_unregistered("b", 60_000)
    assert fleet.remove_lost(60_100) == []
    assert fleet.remove_lost(64_000) == ["b"]


def test_isolated_instance_reduces_its_share() -> None:
    demands = {"a": 10.0, "b": 10.0, "c": 10.0}
    fleet = make_fleets(list(demands), demands, 0)["a"]
    assert fleet.compute_share("o", 10.0, 30.0, 100) == pytest.approx(1 / 3)
    assert fleet.is_isolated(10_000)
    assert fleet.compute_share("o", 10.0, 30.0, 10_000) < 1 / 3


def test_store_outage_alone_does_not_isolate_instances() -> None:
    demands = {"a": 10.0, "b": 10.0, "c": 10.0}
    fleet = make_fleets(list(demands), demands, 0)["a"]
    for name in ("b", "c"):
        fleet.record_heartbeat(make_heartbeat(name, 9, {"o": 10.0}), 60_000)
    assert not fleet.is_isolated(60_100)


@pytest.mark.parametrize(("count", "expected_count"), [(8, 7), (17, 16), (76, 9), (1_000, 9)])
def test_large_fleet_sends_heartbeats_to_a_sample(count: int, expected_count: int) -> None:
    fleet = Fleet("n0", 0)
    for number in range(count):
        region = ("north", "south", "west")[number % 3]
        address = PeerAddress(f"n{number}", region, "d", "127.0.0.1", 1, 2, "x")
        fleet.record_registered(address)
    recipients = fleet.choose_heartbeat_recipients("north", PeerRotation(random.Random(1)))
    assert len(recipients) == expected_count
    if count > 17:
        same_region = [peer for peer in recipients if peer.address.region == "north"]
        assert len(same_region) == expected_count - 1


def test_few_instances_watch_the_store_until_no_peer_does() -> None:
    names = [f"n{number}" for number in range(30)]
    fleets = {name: Fleet(name, 0, "north") for name in names}
    for number, now_ms in ((1, 0), (2, 500)):
        for name in names:
            watching = fleets[name].should_watch_store(now_ms)
            heartbeat = Heartbeat(make_address(name), 1, number, True, 1, {}, watching)
            for fleet in fleets.values():
                fleet.record_heartbeat(heartbeat, now_ms)
    watchers = [name for name in names if fleets[name].should_watch_store(600)]
    assert len(watchers) == 2
    for name in names:
        heartbeat = Heartbeat(make_address(name), 1, 3, True, 1, {}, False)
        for fleet in fleets.values():
            fleet.record_heartbeat(heartbeat, 700)
    assert all(fleet.should_watch_store(800) for fleet in fleets.values())
    small_fleet = Fleet("n0", 0, "north")
    assert small_fleet.should_watch_store(0)


def test_outdated_and_own_heartbeats_are_ignored() -> None:
    fleet = Fleet("a", 0)
    assert fleet.record_heartbeat(make_heartbeat("b", 5, {}), 0)
    assert not fleet.record_heartbeat(make_heartbeat("b", 5, {}), 1)
    assert not fleet.record_heartbeat(make_heartbeat("a", 9, {}), 1)
    assert [peer.name for peer in fleet.list_ready(1_000)] == ["b"]
    assert fleet.list_ready(1_300) == []


def test_peer_that_restarts_after_its_clock_jumped_back_is_heard() -> None:
    fleet = Fleet("a", 0)
    address = make_address("b")
    later_boot, earlier_boot = 5_000, 2_000
    assert fleet.record_heartbeat(Heartbeat(address, later_boot, 9, True, 1, {}), 0)
    restarted = Heartbeat(address, earlier_boot, 1, True, 1, {})
    assert not fleet.record_heartbeat(restarted, 1_000)
    assert fleet.record_heartbeat(restarted, 1_300)
    assert not fleet.record_heartbeat(Heartbeat(address, earlier_boot, 1, True, 1, {}), 1_400)
    assert fleet.record_load_report(LoadReport("b", earlier_boot, 1, {}))


@pytest.mark.parametrize("shift_s", [1, 2, 3])
def test_fleet_keeps_the_rate_while_demand_moves(shift_s: int) -> None:
    """The demand of an organisation, eight times the usual, moves from one instance to another.

    The fleet must not admit more than the rate while the shares follow the demand.
    """
    rate, burst, window_s = 40.0, 40.0, 5
    names = ["a", "b"]
    demands = {"a": 0.0, "b": 0.0}
    fleets = make_fleets(names, demands, 0)
    buckets = {name: RateBucket(rate, burst, 0.5, 0, slack=5.0) for name in names}
    admitted: list[int] = []
    for now_ms in range(0, 12_000, 5):
        active_name = "a" if now_ms < shift_s * SECOND_MS else "b"
        if now_ms % 250 == 0:
            for name in names:
                current_demand = 200.0 if name == active_name else 0.0
                demands[name] += (current_demand - demands[name]) * 0.22
            for name in names:
                for fleet in fleets.values():
                    fleet.record_heartbeat(
                        make_heartbeat(name, now_ms + 2, {"o": demands[name]}), now_ms
                    )
                    fleet.last_store_contact_ms = now_ms
                share = fleets[name].compute_share("o", demands[name], rate, now_ms)
                buckets[name].set_share(share, now_ms)
        if buckets[active_name].try_acquire(now_ms):
            admitted.append(now_ms)
    limit = (rate * window_s + burst) * 1.1 + 20
    for start in range(0, 7_000, 100):
        admitted_in_window = sum(
            start <= time_ms < start + window_s * SECOND_MS for time_ms in admitted
        )
        assert admitted_in_window <= limit
    assert len(admitted) > 0.8 * rate * 12


def test_slack_admits_first_request_despite_small_share() -> None:
    bucket = RateBucket(10.0, 10.0, 0.02, 0, slack=1.25)
    assert bucket.try_acquire(0)
    assert not bucket.try_acquire(0)


def test_bucket_is_empty_after_process_pause() -> None:
    bucket = RateBucket(10.0, 100.0, 1.0, 0)
    bucket.clear(5_000)
    assert not bucket.try_acquire(5_000)
    assert bucket.compute_wait_ms() == pytest.approx(100, abs=2)
    assert bucket.try_acquire(5_150)


def test_retries_are_limited_by_ratio_and_share_of_slack() -> None:
    budget = RetryBudget(0.2, 56.0, 8)
    initial_retries = sum(budget.try_acquire() for _ in range(100))
    assert initial_retries <= 56 / 8
    for _ in range(100):
        budget.record_request()
    assert sum(budget.try_acquire() for _ in range(100)) <= 20


@pytest.mark.parametrize("count", [1, 8, 14, 76, 1_000])
def test_all_instances_together_respect_cold_target_limit(count: int) -> None:
    limit = 7.5 * 1.5 + 5
    names = [f"n{number}" for number in range(count)]
    limiters = [ColdTargetLimiter(name) for name in names]
    send_times = sorted(
        now_ms
        for now_ms in range(0, 3_000, 50)
        for limiter in limiters
        if limiter.try_acquire("t", limit, names, now_ms)
    )
    for start in range(0, 2_000, 50):
        assert sum(start <= time_ms < start + SECOND_MS for time_ms in send_times) <= limit
    assert send_times


def test_retry_slack_is_divided_among_joining_instances() -> None:
    """An instance that starts before it knows its peers must not keep the whole slack."""
    budget = RetryBudget(0.2, 56.0, 1)
    budget.set_instance_count(8)
    taken = 0
    while budget.try_acquire():
        taken += 1
    assert taken * 8 <= 56


@pytest.mark.parametrize("instances", [1, 8, 20])
def test_restarts_within_a_window_grant_no_further_slack_of_retries(instances: int) -> None:
    """Guards against a budget that each run of a process begins with the whole slack."""
    requests_per_s, window_s, ratio, slack = 22, 10, 0.2, 56.0
    budgets = [RetryBudget(ratio, slack, instances) for _ in range(instances)]
    for number in range(requests_per_s * window_s):
        budgets[number % instances].record_request()
    retried = 0
    for run in range(3):
        if run > 0:
            budgets = [RetryBudget(ratio, slack, instances) for _ in range(instances)]
        for number in range(requests_per_s * window_s // 3):
            budget = budgets[number % instances]
            budget.record_request()
            while budget.try_acquire():
                retried += 1
    assert retried <= ratio * requests_per_s * window_s + slack
