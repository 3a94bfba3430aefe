"""Tests of routing, queues, ejection, retries, address blocks, envelopes and lookups."""

import ipaddress
import random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from waxwingshelf.core import refusals
from waxwingshelf.core.blocks import build_block_table
from waxwingshelf.core.envelope import OpenedEnvelope, Rejection, Sealer
from waxwingshelf.core.fair_queue import FairQueue, compute_wait_limit_ms
from waxwingshelf.core.holding import (
    TOTAL_UNITS,
    ConcurrencyHolding,
    Holding,
    Limit,
    RateHolding,
    TransferAmount,
)
from waxwingshelf.core.ledger import Holder
from waxwingshelf.core.lookup import Candidate, order_candidates
from waxwingshelf.core.manifest import Manifest, Service, parse_manifest
from waxwingshelf.core.refusals import Refusal
from waxwingshelf.core.retries import RetryBudget
from waxwingshelf.core.routing import Route, RouteRequest, route_request
from waxwingshelf.core.targets import AttemptResult, Health, TargetTable


@pytest.fixture
def manifest() -> Manifest:
    target = {"service": "web", "host": "127.0.0.1", "port": 1}
    return parse_manifest(
        {
            "fleet": {"name": "f"},
            "regions": {
                "home": {"failure_domains": ["h"], "distance_ms": {"near": 5, "far": 50}},
                "near": {"failure_domains": ["n"]},
                "far": {"failure_domains": ["r"]},
            },
            "services": {"web": {"deadline_ms": 1000, "slots": 2}},
            "targets": {
                "a": {**target, "region": "home", "failure_domain": "h"},
                "b": {**target, "region": "near", "failure_domain": "n"},
                "c": {**target, "region": "far", "failure_domain": "r"},
            },
            "shift_caps": {"home>far": {"requests_per_s": 1, "burst": 2}},
        }
    )


@pytest.fixture
def table(manifest: Manifest) -> TargetTable:
    table = TargetTable(manifest.services["web"])
    table.update(manifest.services["web"], manifest.targets, set())
    return table


class Budgets:
    """Holdings of an instance that holds all units of every budget."""

    def __init__(self) -> None:
        self.holdings: dict[str, Holding] = {}
        for region in ("home", "near", "far"):
            self.add(f"region:{region}:web", ConcurrencyHolding(Limit("level", 2), 0))
        self.add("shift:home>far", RateHolding(Limit("rate", 2, 1), 0))

    def add(self, name: str, holding: Holding) -> None:
        holding.deposit(TransferAmount(TOTAL_UNITS, holding.limit.size), 0)
        self.holdings[name] = holding

    def try_acquire(self, name: str) -> Holding | None:
        holding = self.holdings[name]
        return holding if holding.try_acquire(0) else None


def route(manifest: Manifest, table: TargetTable, budgets: Budgets) -> Route | Refusal:
    request = RouteRequest("web", "home", frozenset(), 0)
    return route_request(request, manifest, table, budgets.try_acquire, random.Random(1))


def test_route_prefers_home_then_regions_within_shift_cap(
    manifest: Manifest, table: TargetTable
) -> None:
    budgets = Budgets()
    routes = [route(manifest, table, budgets) for _ in range(4)]
    assert [each.state.name for each in routes if isinstance(each, Route)] == ["a", "a", "c", "c"]
    refusal = route(manifest, table, budgets)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is refusals.NO_TARGET


def test_exhausted_shift_cap_releases_slot(manifest: Manifest, table: TargetTable) -> None:
    budgets = Budgets()
    for _ in range(2):
        route(manifest, table, budgets)
        assert budgets.try_acquire("shift:home>far")
    refusal = route(manifest, table, budgets)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is refusals.SHIFT_CAPPED
    assert refusal.ran is refusals.Ran.NO
    assert budgets.holdings["region:far:web"].in_use == 0  # type: ignore[attr-defined]


@pytest.mark.parametrize("health", [Health.DRAINING, Health.DOWN])
def test_draining_or_down_target_gets_no_requests(
    manifest: Manifest, table: TargetTable, health: Health
) -> None:
    table.record_health("a", health, 0)
    chosen = route(manifest, table, Budgets())
    assert isinstance(chosen, Route)
    assert chosen.state.name == "c"


def test_recovered_target_warms_up(table: TargetTable) -> None:
    table.update(Service(deadline_ms=1, slots=10), {"a": table.find("a").target}, set())
    table.record_health("a", Health.DOWN, 0)
    table.record_health("a", Health.HEALTHY, 1_000)
    state = table.find("a")
    assert [state.usable_slots(at) for at in (1_000, 6_000, 11_000)] == [1, 5, 10]


def test_failing_targets_with_low_load_are_ejected_but_not_most_of_a_region(
    manifest: Manifest,
) -> None:
    service = manifest.services["web"]
    targets = {f"t{n}": manifest.targets["a"] for n in range(4)}
    table = TargetTable(service)
    table.update(service, targets, set())
    for name in targets:
        for _ in range(10):
            table.record_report(name, 0, 0)
            table.record_attempt(AttemptResult(name, 5, failed=name != "t3"), 0)
    assert len(table.list_usable("home", set(), 0)) == 2


@given(loads=st.lists(st.integers(1, 60), min_size=2, max_size=6))
@settings(derandomize=True, max_examples=50, database=None)
def test_large_organisations_do_not_delay_small_ones_in_fair_queue(loads: list[int]) -> None:
    queue = FairQueue(1_000)
    for number, load in enumerate(loads):
        for _ in range(load):
            queue.push(f"o{number}", 1.0)
    served = []
    while (waiter := queue.pop()) is not None:
        served.append(waiter.organisation)
    for number, load in enumerate(loads):
        last = max(position for position, name in enumerate(served) if name == f"o{number}")
        assert last < load * len(loads)


def test_fair_queue_applies_weights_and_bounds_each_organisation() -> None:
    queue = FairQueue(8)
    pushed = [queue.push("big", 3.0) for _ in range(9)]
    assert pushed[-1] is None
    assert [queue.push("small", 1.0) is not None for _ in range(5)] == [True] * 4 + [False]
    first = [queue.pop().organisation for _ in range(4)]
    assert first.count("big") == 3


def test_request_that_cannot_finish_in_time_does_not_wait() -> None:
    service = Service(deadline_ms=1_000, objective="fairness")
    assert compute_wait_limit_ms(service, 1_000, 100) == 500
    assert compute_wait_limit_ms(service, 300, 100) == 200
    assert compute_wait_limit_ms(service, 50, 100) < 0


def test_retries_are_limited_to_share_of_requests() -> None:
    budget = RetryBudget()
    for _ in range(100):
        budget.record_request("acme", 0.1)
    assert sum(budget.take("acme") for _ in range(100)) == 10
    assert not budget.take("bolt")


@given(
    blocks=st.dictionaries(
        st.tuples(st.integers(0, 255), st.integers(4, 12)).map(
            lambda pair: str(ipaddress.IPv4Network((pair[0] << 24, pair[1]), strict=False))
        ),
        st.sampled_from(["x", "y", "z"]),
        max_size=20,
    ),
    address=st.integers(0, 2**32 - 1),
)
@settings(derandomize=True, max_examples=200, database=None)
def test_longest_matching_prefix_determines_region(blocks: dict[str, str], address: int) -> None:
    parsed = ipaddress.IPv4Address(address)
    covering = [n for n in map(ipaddress.IPv4Network, blocks) if parsed in n]
    longest = max(covering, key=lambda network: network.prefixlen, default=None)
    expected = None if longest is None else blocks[str(longest)]
    assert build_block_table(blocks).find_region(address) == expected


def build_sealer(name: str, *secrets: str, fleet: str = "f") -> Sealer:
    return Sealer(fleet, Holder(name, 1, "r", "d", "127.0.0.1", 1, 2), list(secrets))


def test_envelope_authenticates_sender_and_opens_once() -> None:
    alice, bob = build_sealer("alice", "one"), build_sealer("bob", "two", "one")
    data = alice.seal("bob", b"hello")
    opened = bob.open(data)
    assert isinstance(opened, OpenedEnvelope)
    assert (opened.identity, opened.payload) == ("alice#1", b"hello")
    assert bob.open(data) is Rejection.REPLAY
    assert bob.open(alice.seal("carol", b"x")) is Rejection.OTHER_RECIPIENT
    assert bob.open(build_sealer("eve", "three").seal("bob", b"x")) is Rejection.STRANGER
    assert bob.open(build_sealer("eve", "one", fleet="g").seal("bob", b"x")) is Rejection.STRANGER
    assert bob.open(b"") is Rejection.STRANGER


@given(data=st.binary(max_size=200))
@settings(derandomize=True, max_examples=200, database=None)
def test_malformed_envelope_is_rejected(data: bytes) -> None:
    assert isinstance(build_sealer("bob", "one").open(data), Rejection)


def test_lookup_prefers_near_healthy_instances_in_two_failure_domains(manifest: Manifest) -> None:
    candidates = [
        Candidate("far", "far", "r", "h", 1),
        Candidate("sick", "home", "h", "h", 1, healthy=False),
        Candidate("one", "home", "h", "h", 1),
        Candidate("two", "home", "h", "h", 1),
        Candidate("near", "near", "n", "h", 1),
    ]
    ordered = order_candidates(candidates, manifest, "home", random.Random(1), 4)
    names = [candidate.name for candidate in ordered]
    assert names[0] in ("one", "two")
    assert names[1] == "near"
    assert "sick" not in names
