"""The fleet keeps an organisation's rate while instances are partitioned and demand moves.

Every instance runs its real demand tracker and membership on a manual clock. Requests arrive
evenly; heartbeats arrive at once, except between the sides of a partition. The oracle counts the
admitted requests of every sliding window.
"""

import itertools
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.serving.rate_window import SLACK, WINDOW_MS, compute_window_limit
from waxwingshelf.core.clock import ManualClock
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.steering.config import OrganisationRule
from waxwingshelf.steering.fleet import Fleet, Heartbeat, PeerAddress
from waxwingshelf.steering.owners import OwnerReports

TICK_MS = 50
HEARTBEAT_MS = 250
LEASE_TTL_MS = 6_000
USUAL_FRACTION = 1 / 1.6


@dataclass
class Node:
    """One instance; requests arrive at `per_s`."""

    name: str
    fleet: Fleet
    tracker: DemandTracker
    address: PeerAddress
    per_s: float = 0.0
    credit: float = 0.0
    store_cut_ms: int | None = None


@dataclass
class RateScenario:
    """A fleet that shares one rate, and the admitted requests by time."""

    instances: int
    rule: OrganisationRule
    clock: ManualClock = field(default_factory=ManualClock)
    admitted: list[tuple[int, int]] = field(default_factory=list)
    side: dict[str, int] = field(default_factory=dict)
    refused: int = 0

    def __post_init__(self) -> None:
        self.numbers = itertools.count(1)
        self.nodes = [self._make_node(number) for number in range(self.instances)]
        for node in self.nodes:
            for other in self.nodes:
                node.fleet.record_registered(other.address)
        self.routing_state = SimpleNamespace(config=None)

    def _make_node(self, number: int) -> Node:
        name = f"n{number}"
        fleet = Fleet(name, 0, "north")
        tracker = DemandTracker(self.clock, fleet, OwnerReports(name, "north"), SLACK)
        return Node(name, fleet, tracker, PeerAddress(name, "north", "d", "h", 1, 2, "x"))

    def set_demand(self, factor: float, weights: list[float]) -> None:
        usual = self.rule.rate_per_s * USUAL_FRACTION
        for node, weight in zip(self.nodes, weights, strict=True):
            node.per_s = usual * factor * weight / sum(weights)

    def partition(self, names: set[str], store_cut: bool) -> None:
        self.side = {name: 1 for name in names}
        for node in self.nodes:
            cut = store_cut and node.name in names
            node.store_cut_ms = self.clock.now_ms() if cut else None

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            if self.clock.now_ms() % HEARTBEAT_MS == 0:
                self._exchange_heartbeats()
            count = sum(self._send_requests(node) for node in self.nodes)
            self.admitted.append((self.clock.now_ms(), count))

    def _exchange_heartbeats(self) -> None:
        now_ms = self.clock.now_ms()
        nodes = {node.name: node for node in self.nodes}
        for node in self.nodes:
            if node.store_cut_ms is None:
                node.fleet.last_store_contact_ms = now_ms
            elif now_ms - node.store_cut_ms >= LEASE_TTL_MS:
                for other in self.nodes:
                    if other.store_cut_ms is None:
                        other.fleet.record_unregistered(node.name, now_ms)
            demand = node.tracker.list_demand_rates()
            heartbeat = Heartbeat(node.address, 1, next(self.numbers), True, 1, demand)
            node.fleet.record_sent_heartbeat(heartbeat, now_ms)
            for peer in node.fleet.list_peers():
                other = nodes[peer.address.name]
                if self.side.get(other.name, 0) == self.side.get(node.name, 0):
                    other.fleet.record_heartbeat(replace(heartbeat, ack=peer.used), now_ms)
        for node in self.nodes:
            node.fleet.remove_lost(now_ms)
            node.tracker.update(self.routing_state)

    def _send_requests(self, node: Node) -> int:
        node.credit += node.per_s * TICK_MS / 1_000
        count = 0
        while node.credit >= 1.0:
            node.credit -= 1.0
            if node.tracker.try_acquire(self.rule) is not None:
                count += 1
            else:
                self.refused += 1
        return count

    def find_worst_excess(self) -> float:
        """Return by how much the worst window exceeds the limit; negative if none does."""
        limit = compute_window_limit(self.rule.rate_per_s, self.rule.burst)
        ticks = WINDOW_MS // TICK_MS
        counts = [count for _, count in self.admitted]
        return max(sum(counts[start : start + ticks]) for start in range(len(counts))) - limit


def make_scenario(instances: int, rate: float, burst: float) -> RateScenario:
    scenario = RateScenario(instances, OrganisationRule("o", (), None, rate, burst))
    scenario.set_demand(1.0, [1.0] * instances)
    scenario.run(3_000)
    return scenario


@pytest.mark.parametrize("store_cut", [False, True])
@pytest.mark.parametrize("delay_ms", [0, 500, 2_000])
@pytest.mark.parametrize(("instances", "cut"), [(12, 5), (8, 2), (2, 1), (16, 8)])
def test_jump_of_demand_during_a_partition_keeps_the_rate(
    instances: int, cut: int, delay_ms: int, store_cut: bool
) -> None:
    """An organisation asks eight times its usual while a part of the fleet is cut off."""
    scenario = make_scenario(instances, 544.0, 544.0)
    scenario.partition({f"n{number}" for number in range(cut)}, store_cut)
    scenario.run(delay_ms)
    scenario.set_demand(8.0, [1.0] * instances)
    scenario.run(14_000)
    assert scenario.find_worst_excess() <= 0


def test_calm_demand_is_admitted_during_a_partition() -> None:
    scenario = make_scenario(12, 544.0, 544.0)
    scenario.partition({"n0", "n1", "n2", "n3"}, False)
    scenario.run(10_000)
    assert scenario.refused == 0


@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(0, 1_000_000))
def test_rate_holds_under_random_partitions_and_demand(seed: int) -> None:
    rng = random.Random(seed)
    instances = rng.randint(2, 16)
    rate = rng.choice((30.0, 120.0, 500.0))
    scenario = make_scenario(instances, rate, rate * rng.choice((0.5, 1.0)))
    names = [node.name for node in scenario.nodes]
    for _ in range(6):
        if rng.random() < 0.5:
            count = rng.randint(0, instances // 2)
            scenario.partition(set(rng.sample(names, count)), rng.random() < 0.5)
        weights = [rng.choice((0.0, 1.0, 1.0, 4.0)) + 0.01 for _ in names]
        scenario.set_demand(rng.choice((0.2, 1.0, 4.0, 8.0)), weights)
        scenario.run(rng.choice((1_000, 2_500, 7_000)))
    assert scenario.find_worst_excess() <= 0
