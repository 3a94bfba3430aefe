"""Instances that restart while they share one rate, with a store that may be away meanwhile.

Every instance runs its real membership, peer network, store watcher and rate limiter as tasks on
virtual time. The store, datagrams, reads from peers and token requests are small fakes. The oracle
counts the admitted requests of every sliding window.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from tests.serving.conftest import CONFIG
from tests.serving.fake_store import FakeStore, FakeStoreClient
from tests.serving.rate_window import SLACK, WINDOW_MS, compute_window_limit
from tests.serving.virtual_time import VirtualTimeLoop
from waxwingshelf.platform.settings import Bounds, Endpoint, InstanceSettings
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.serving.member_list import MemberListKeeper
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.serving.rate_limiter import RateLimiter
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.store_watcher import StoreWatcher
from waxwingshelf.serving.token_requests import TokenRequest, TokenResponse
from waxwingshelf.steering.fleet import Fleet, PeerAddress
from waxwingshelf.steering.limits import ColdTargetLimiter
from waxwingshelf.steering.mirror import Position
from waxwingshelf.steering.owners import OwnerReports

USUAL_FRACTION = 1 / 1.6
TICK_MS = 20
BEAT_PORT = 7740
TOKEN_TIMEOUT_S = 0.2
LOCAL_DELAY_S = 0.001
FAR_DELAY_S = 0.055
ORGANISATION = "acme"
ZONES = {f"{region}-{part}": region for part in "ab" for region in ("north", "east", "south")}


class FakeRateLimiter(RateLimiter):
    """A rate limiter that asks the owners of the simulated fleet for tokens."""

    simulation: "RestartingFleet"

    async def _request_token(self, owner: PeerAddress, organisation: str) -> TokenResponse | None:
        return await self.simulation.request_token(
            self._peer_network.address, owner, TokenRequest(0, organisation)
        )


class Node:
    """One instance; its process may be restarted. Requests arrive at `per_s`.

    One of an earlier build does not list itself in the member list.
    """

    def __init__(self, simulation: "RestartingFleet", number: int) -> None:
        self.simulation = simulation
        self.host = f"127.1.{number // 250}.{number % 250 + 1}"
        self.zone = list(simulation.zones)[number % len(simulation.zones)]
        self.name = f"n{number}"
        self.per_s = 0.0
        self.credit = 0.0
        self.lists_itself = True
        self.tasks: list[asyncio.Task[Any]] = []
        self.first_admitted_ms: int | None = None

    @property
    def is_running(self) -> bool:
        return bool(self.tasks)

    def start(self) -> None:
        simulation = self.simulation
        clock = simulation.loop
        settings = self._build_settings()
        self.first_admitted_ms = None
        self.cold_limiter = ColdTargetLimiter(self.name, clock.now_ms())
        self.fleet = Fleet(self.name, clock.now_ms(), settings.region, len(settings.regions))
        self.routing_state = RoutingState(clock, self.fleet)
        reports = OwnerReports(self.name, settings.region)
        self.tracker = DemandTracker(clock, self.fleet, reports, SLACK)
        self.network = PeerNetwork(
            settings, self.fleet, self.routing_state, self.tracker, clock, Metrics()
        )
        self.network._transport = FakeTransport(simulation, self.host)
        self.network._pull = self._pull
        self.limiter = FakeRateLimiter(
            self.tracker, self.fleet, reports, self.routing_state, self.network, clock
        )
        self.limiter.simulation = simulation
        store = FakeStoreClient(simulation.store)
        member_list_keeper = MemberListKeeper(
            self.network.address, self.routing_state, self.fleet, clock, Metrics()
        )
        watcher = StoreWatcher(
            store,
            self.routing_state,
            self.fleet,
            self.network.address,
            clock,
            Metrics(),
            settings.bounds.config_apply_ms,
        )
        watcher.on_changes = self.network.announce_changes
        self.network.is_watching = lambda: watcher.watching
        self.tasks = [
            asyncio.create_task(task)
            for task in (
                watcher.run_watch(),
                watcher.run_registration(),
                member_list_keeper.run(store) if self.lists_itself else asyncio.Event().wait(),
                self.network.run(),
                self.limiter.run(),
                self._announce_ready(),
                self._pull_from_seeds(),
            )
        ]

    async def kill(self) -> None:
        if not self.is_running:
            return
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks = []
        # A read from a peer is a task of its own.
        await self.network.close()

    def _build_settings(self) -> InstanceSettings:
        endpoint = Endpoint(self.host, 8124)
        return InstanceSettings(
            name=self.name,
            region=ZONES[self.zone],
            failure_domain=self.zone,
            callers=endpoint,
            readiness=endpoint,
            directory=endpoint,
            peer_state=endpoint,
            store=endpoint,
            seeds=tuple(Endpoint(f"127.1.0.{number}", 8124) for number in (1, 2, 3)),
            peer_ports=(BEAT_PORT, BEAT_PORT + 1),
            regions=self.simulation.zones,
            bounds=Bounds(),
        )

    async def _announce_ready(self) -> None:
        await self.routing_state.config_loaded.wait()
        self.network.ready = True
        self.network.send_heartbeats()
        await asyncio.Event().wait()

    async def _pull_from_seeds(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            if self.routing_state.config is None:
                await self.network.pull_from_seeds()

    async def _pull(self, host: str, port: int) -> None:
        """Read the state of a peer, as `PeerNetwork._pull` does over HTTP."""
        peer = self.simulation.nodes_by_host.get(host)
        await asyncio.sleep(2 * FAR_DELAY_S)
        if peer is None or not peer.is_running:
            return
        mirror = peer.routing_state.mirror
        if mirror.position > Position():
            self.routing_state.replace(mirror.list_items(), mirror.position, host)

    async def send_request(self) -> None:
        """Let one caller ask for a token, as a request of the organisation does."""
        config = self.routing_state.config
        simulation = self.simulation
        if not self.is_running or config is None:
            simulation.unserved += 1
            return
        sent_ms = simulation.loop.now_ms()
        admission = await self.limiter.acquire(config.organisations[ORGANISATION])
        if not admission.granted:
            simulation.refused_ms.append(sent_ms)
            return
        if self.first_admitted_ms is None:
            self.first_admitted_ms = sent_ms
        simulation.admitted_ms.append(simulation.loop.now_ms())


class FakeTransport:
    """Deliver datagrams to the instance with the address after a delay."""

    def __init__(self, simulation: "RestartingFleet", host: str) -> None:
        self._simulation = simulation
        self._host = host

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._simulation.send_datagram(self._host, address[0], data)

    def close(self) -> None:
        """Do nothing: datagrams on their way still arrive."""


class RestartingFleet:
    """Instances that share the rate of one organisation, on virtual time."""

    def __init__(
        self, loop: VirtualTimeLoop, instances: int, rate_per_s: float, burst: float, seed: int = 1
    ) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        # Each failure domain has an instance at least.
        self.zones = dict(list(ZONES.items())[:instances])
        self.rate_per_s, self.burst = rate_per_s, burst
        self.store = FakeStore(loop)
        tenant = {**CONFIG["tenants"][0], "rate_per_s": rate_per_s, "burst": burst}
        self.store.put("op/config", json.dumps({**CONFIG, "tenants": [tenant]}).encode())
        self.nodes = [Node(self, number) for number in range(instances)]
        self.nodes_by_host = {node.host: node for node in self.nodes}
        self.admitted_ms: list[int] = []
        self.refused_ms: list[int] = []
        self.unserved = 0
        # Called for each running instance with a configuration, once a tick.
        self.on_tick: Callable[[Node], None] = lambda node: None
        self._requests: set[asyncio.Task[None]] = set()

    def set_demand(self, factor: float, weights: Collection[float] | None = None) -> None:
        """Let callers ask for `factor` times the usual demand, which is below the rate."""
        weights = weights or [1.0] * len(self.nodes)
        usual = self.rate_per_s * USUAL_FRACTION
        for node, weight in zip(self.nodes, weights, strict=True):
            node.per_s = usual * factor * weight / sum(weights)

    def send_datagram(self, sender: str, host: str, data: bytes) -> None:
        delay_s = self._get_delay_s(sender, host)
        self.loop.call_later(delay_s, self._deliver, sender, host, data)

    def _deliver(self, sender: str, host: str, data: bytes) -> None:
        node = self.nodes_by_host.get(host)
        if node is not None and node.is_running:
            node.network.handle_datagram(data, (sender, BEAT_PORT))

    def _get_delay_s(self, sender: str, host: str) -> float:
        first, second = self.nodes_by_host[sender], self.nodes_by_host.get(host)
        is_local = second is not None and ZONES[first.zone] == ZONES[second.zone]
        return LOCAL_DELAY_S if is_local else FAR_DELAY_S

    async def request_token(
        self, sender: PeerAddress, owner: PeerAddress, request: TokenRequest
    ) -> TokenResponse | None:
        delay_s = self._get_delay_s(sender.host, owner.host)
        await asyncio.sleep(delay_s)
        node = self.nodes_by_host[owner.host]
        if not node.is_running:
            await asyncio.sleep(TOKEN_TIMEOUT_S - delay_s)
            return None
        response = node.limiter._handle_request(request)
        await asyncio.sleep(delay_s)
        return response

    async def start_all(self) -> None:
        """Start all instances within 0.3 s, and let them run without callers as before a day."""
        for node in self.nodes:
            self.loop.call_later(self.rng.uniform(0.0, 0.3), node.start)
        await asyncio.sleep(10.0)

    async def restart(self, nodes: Collection[Node], down_s: float) -> None:
        """Kill instances at the same moment, and start them again within 0.3 s after `down_s`."""
        for node in nodes:
            await node.kill()
        await self.run(down_s)
        for node in nodes:
            self.loop.call_later(self.rng.uniform(0.0, 0.3), node.start)

    async def run(self, duration_s: float) -> None:
        """Let time pass while callers send requests evenly."""
        end_ms = self.loop.now_ms() + round(duration_s * 1_000)
        while self.loop.now_ms() < end_ms:
            await asyncio.sleep(TICK_MS / 1_000)
            for node in self.nodes:
                if node.is_running and node.routing_state.config is not None:
                    self.on_tick(node)
                node.credit += node.per_s * TICK_MS / 1_000
                while node.credit >= 1.0:
                    node.credit -= 1.0
                    task = asyncio.create_task(node.send_request())
                    self._requests.add(task)
                    task.add_done_callback(self._requests.discard)

    async def stop(self) -> None:
        await asyncio.gather(*self._requests)
        for node in self.nodes:
            await node.kill()

    def find_worst_excess(self) -> float:
        """Return by how much the worst window exceeds the limit; negative if none does."""
        limit = compute_window_limit(self.rate_per_s, self.burst)
        times, first, worst = sorted(self.admitted_ms), 0, 0
        for last, time_ms in enumerate(times):
            while times[first] < time_ms - WINDOW_MS:
                first += 1
            worst = max(worst, last - first + 1)
        return worst - limit

    def count_refused(self, since_ms: int) -> int:
        """Return how many requests were refused for want of a token since a time."""
        return sum(time_ms >= since_ms for time_ms in self.refused_ms)

    def count_admitted(self, since_ms: int) -> int:
        """Return how many requests were admitted since a time."""
        return sum(time_ms >= since_ms for time_ms in self.admitted_ms)


def run_fleet(
    main: Callable[[RestartingFleet], Awaitable[None]],
    instances: int,
    rate_per_s: float = 20.0,
    burst: float = 20.0,
    seed: int = 1,
    listed: int | None = None,
) -> RestartingFleet:
    """Run `main` with a fleet that has been up for a while, and return the fleet.

    Only the first `listed` instances are in the member list, if that is given.
    """
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    fleets: list[RestartingFleet] = []

    async def play() -> None:
        fleet = RestartingFleet(loop, instances, rate_per_s, burst, seed)
        fleets.append(fleet)
        for node in fleet.nodes[instances if listed is None else listed :]:
            node.lists_itself = False
        leases = asyncio.create_task(fleet.store.expire_leases())
        await fleet.start_all()
        try:
            await main(fleet)
        finally:
            await fleet.stop()
            leases.cancel()
            await asyncio.gather(leases, return_exceptions=True)

    loop.run(play())
    return fleets[0]
