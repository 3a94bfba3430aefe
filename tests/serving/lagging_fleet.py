"""Instances that share one rate, whose busy event loops are late with heartbeats and shares.

Every instance runs its real demand tracker, membership and peer network on a manual clock, with its
own phases. Datagrams take a link's delay and wait until the receiver's event loop gets to them. The
oracle counts the admitted requests of every sliding window.
"""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from tests.serving.rate_window import SLACK, WINDOW_MS, compute_window_limit
from waxwingshelf.core.clock import ManualClock
from waxwingshelf.platform.settings import Bounds, Endpoint, InstanceSettings
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.config import OrganisationRule
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.owners import OwnerReports

TICK_MS = 10
INTERVAL_MS = 250
LINK_DELAY_MS = 55
USUAL_FRACTION = 1 / 1.6
BEAT_PORT = 7740

Datagram = tuple[int, int, str, str, bytes]


class FakeTransport:
    """Put datagrams on the way to the hosts that they are sent to."""

    def __init__(self, host: str, sent: list[tuple[str, str, bytes]]) -> None:
        self._host = host
        self._sent = sent

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._sent.append((self._host, address[0], data))


@dataclass
class Node:
    """One instance; requests arrive at `per_s`, its event loop is `lag_ms` late."""

    host: str
    fleet: Fleet
    tracker: DemandTracker
    network: PeerNetwork
    routing_state: RoutingState
    heartbeat_at_ms: float
    per_s: float = 0.0
    lag_ms: int = 0
    credit: float = 0.0


@dataclass
class LaggingFleet:
    """A fleet that shares `rule`, and the admitted and refused requests of every tick."""

    instances: int
    rule: OrganisationRule
    seed: int
    loss: float = 0.0
    clock: ManualClock = field(default_factory=ManualClock)
    admitted: list[int] = field(default_factory=list)
    refused: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.sent: list[tuple[str, str, bytes]] = []
        self.in_transit: list[Datagram] = []
        self.order = itertools.count()
        self.cut_hosts: set[str] = set()
        hosts = [f"127.0.0.{number + 1}" for number in range(self.instances)]
        self.nodes = {host: self._make_node(host) for host in hosts}
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.fleet.record_registered(other.network.address)

    def _make_node(self, host: str) -> Node:
        name = f"n{host.rpartition('.')[2]}"
        endpoint = Endpoint(host, 8124)
        settings = InstanceSettings(
            name=name,
            region="north",
            failure_domain="north-1",
            callers=endpoint,
            readiness=endpoint,
            directory=endpoint,
            peer_state=endpoint,
            store=endpoint,
            seeds=(),
            peer_ports=(BEAT_PORT, BEAT_PORT + 1),
            regions={"north-1": "north"},
            bounds=Bounds(),
        )
        fleet = Fleet(name, self.clock.now_ms(), "north")
        routing_state = RoutingState(self.clock, fleet)
        tracker = DemandTracker(self.clock, fleet, OwnerReports(name, "north"), SLACK)
        network = PeerNetwork(settings, fleet, routing_state, tracker, self.clock, Metrics())
        network._transport = FakeTransport(host, self.sent)
        phase_ms = self.rng.uniform(0, INTERVAL_MS)
        return Node(host, fleet, tracker, network, routing_state, phase_ms)

    def set_demand(self, factor: float, weights: Sequence[float]) -> None:
        usual = self.rule.rate_per_s * USUAL_FRACTION
        for node, weight in zip(self.nodes.values(), weights, strict=True):
            node.per_s = usual * factor * weight / sum(weights)

    def set_lags(self, lags_ms: Sequence[int]) -> None:
        for node, lag_ms in zip(self.nodes.values(), lags_ms, strict=True):
            node.lag_ms = lag_ms

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            for node in self.nodes.values():
                self._run_tasks(node)
            self._deliver()
            self.admitted.append(sum(self._send_requests(node) for node in self.nodes.values()))

    def _run_tasks(self, node: Node) -> None:
        now_ms = self.clock.now_ms()
        node.fleet.last_store_contact_ms = now_ms
        if now_ms >= node.heartbeat_at_ms:
            node.tracker.update(node.routing_state)
            node.network.send_heartbeats()
            interval_ms = INTERVAL_MS * self.rng.uniform(0.9, 1.1)
            node.heartbeat_at_ms = now_ms + interval_ms + node.lag_ms

    def _deliver(self) -> None:
        now_ms = self.clock.now_ms()
        for sender, host, data in self.sent:
            is_cut = (sender in self.cut_hosts) != (host in self.cut_hosts)
            if is_cut or self.rng.random() < self.loss:
                continue
            due_ms = now_ms + LINK_DELAY_MS + self.nodes[host].lag_ms
            self.in_transit.append((due_ms, next(self.order), sender, host, data))
        self.sent.clear()
        due = sorted(datagram for datagram in self.in_transit if datagram[0] <= now_ms)
        self.in_transit = [datagram for datagram in self.in_transit if datagram[0] > now_ms]
        for _, _, sender, host, data in due:
            self.nodes[host].network.handle_datagram(data, (sender, BEAT_PORT))

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
        totals = [0, *itertools.accumulate(self.admitted)]
        counts = [totals[end] - totals[end - ticks] for end in range(ticks, len(totals))]
        return max(counts) - limit
