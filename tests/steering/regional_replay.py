"""A replay of regions whose demand swings out of phase, on simulated time.

Every instance runs its real placement, measurement and weights. Figures travel with the delay and
the loss of links between regions; they are sent as `serving.peers` sends them.
"""

import heapq
import itertools
import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.placement import Locality, PlacementRequest, Placer
from waxwingshelf.steering.region_weights import RegionShift, RegionWeights
from waxwingshelf.steering.regional_demand import RegionalDemand
from waxwingshelf.steering.targets import Target, TargetRegistry

REGIONS = {"c-1": "c", "n-1": "n", "s-1": "s"}
SERVICE = "w"
TARGET_SLOTS = 5
OBJECTS = 200
WORK_MS, COLD_WORK_MS, OBJECTIVE_MS = 300, 900, 1_000
WARM_FOR_MS = 8_000
HEARTBEAT_MS = 250
LINK_DELAY_MS = 55
LOSS = 0.02
TICK_MS = 10
UNBOUND: frozenset[str] = frozenset()
# In a larger fleet, heartbeats go to this many peers of the own and of other regions.
MAX_FULL_MESH = 16
SAME_REGION_RECIPIENTS, OTHER_REGION_RECIPIENTS = 8, 1


@dataclass
class ReplayInstance:
    """An instance with its next heartbeat and the changes of its weights."""

    name: str
    region: str
    demand: RegionalDemand
    placer: Placer
    next_ms: int
    shifts: list[tuple[int, RegionShift]] = field(default_factory=list)


class Replay:
    """Instances of three regions, the slots of their targets, and requests in time by region."""

    def __init__(
        self,
        slots: Mapping[str, int],
        mean_demand: Mapping[str, float],
        swing: float = 0.5,
        period_ms: int = 36_000,
        instances_per_region: int = 4,
        seed: int = 1,
        adapts: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.mean_demand, self.swing, self.period_ms = mean_demand, swing, period_ms
        self.adapts = adapts
        self.now_ms = 0
        self.order = itertools.count()
        self.free_at_ms = {region: [0] * count for region, count in slots.items()}
        self.in_transit: list[tuple[int, int, ReplayInstance, ReplayInstance, object, object]] = []
        self.cut_names: set[str] = set()
        self.handled_at_ms: dict[tuple[str, str], int] = {}
        self.cold_runs = 0
        self.results: list[tuple[int, str, bool]] = []
        self.registry = TargetRegistry()
        for domain, region in REGIONS.items():
            for number in range(slots[region] // TARGET_SLOTS):
                target_id = f"{domain}-{number}"
                target = Target(
                    target_id, SERVICE, "h", number, domain, "", TARGET_SLOTS, False, 0, 0
                )
                self.registry.put(target, 0)
        self.durations = RouteDurations(OBJECTIVE_MS)
        self.durations.warm_ms = WORK_MS
        self.instances = [
            self._make_instance(domain, number)
            for domain in REGIONS
            for number in range(instances_per_region)
        ]
        self.counts = dict.fromkeys(REGIONS.values(), instances_per_region)

    def _make_instance(self, domain: str, number: int) -> ReplayInstance:
        region = REGIONS[domain]
        demand = RegionalDemand(region)
        placer = Placer(Locality(region, domain, REGIONS), self.registry, RegionWeights(demand))
        first_ms = self.rng.randrange(HEARTBEAT_MS)
        return ReplayInstance(f"{domain}-i{number}", region, demand, placer, first_ms)

    def compute_demand(self, region: str) -> float:
        """Return the slots that the requests of a region's callers need now."""
        phase = sorted(self.mean_demand).index(region) / len(self.mean_demand)
        wave = math.sin(2 * math.pi * (self.now_ms / self.period_ms + phase))
        return self.mean_demand[region] * (1.0 + self.swing * wave)

    def run(self, until_ms: int) -> None:
        """Advance the time in ticks."""
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self._deliver()
            for instance in self.instances:
                if self.now_ms >= instance.next_ms:
                    instance.next_ms = self.now_ms + int(HEARTBEAT_MS * self.rng.uniform(0.9, 1.1))
                    self._update(instance)
            self._receive_requests()

    def _update(self, instance: ReplayInstance) -> None:
        instance.demand.update(self.counts, self.now_ms)
        if self.adapts:
            shift = instance.placer.update_region_weights(SERVICE, self.now_ms, self.now_ms)
            if shift is not None:
                instance.shifts.append((self.now_ms, shift))
        same = [
            peer
            for peer in self.instances
            if peer.region == instance.region and peer is not instance
        ]
        others = [peer for peer in self.instances if peer.region != instance.region]
        if len(self.instances) > MAX_FULL_MESH + 1:
            same = self.rng.sample(same, min(SAME_REGION_RECIPIENTS, len(same)))
            others = self.rng.sample(others, OTHER_REGION_RECIPIENTS)
        own, region = instance.demand.list_own(self.now_ms), instance.demand.list_region(
            self.now_ms
        )
        for peer in same:
            self._send(instance, peer, own, None)
        for peer in others:
            self._send(instance, peer, None, region)

    def _send(self, sender: ReplayInstance, peer: ReplayInstance, own, region) -> None:
        if self.rng.random() < LOSS or self.cut_names & {sender.name, peer.name}:
            return
        delay_ms = LINK_DELAY_MS if peer.region != sender.region else 1
        datagram = (self.now_ms + delay_ms, next(self.order), sender, peer, own, region)
        heapq.heappush(self.in_transit, datagram)

    def _deliver(self) -> None:
        while self.in_transit and self.in_transit[0][0] <= self.now_ms:
            _, _, sender, peer, own, region = heapq.heappop(self.in_transit)
            peer.demand.record_peer(sender.name, sender.region, own, region, self.now_ms)

    def _receive_requests(self) -> None:
        for region in self.mean_demand:
            expected = self.compute_demand(region) * TICK_MS / WORK_MS
            for _ in range(draw_poisson(self.rng, expected)):
                self._receive_request(region)

    def _receive_request(self, region: str) -> None:
        instances = [instance for instance in self.instances if instance.region == region]
        instance = self.rng.choice(instances)
        instance.placer.record_request(SERVICE, UNBOUND, self.now_ms, WORK_MS)
        object_key = f"o{self.rng.randrange(OBJECTS)}"
        chosen = find_region(instance, object_key, self.durations)
        work_ms = self._choose_work_ms(chosen, object_key)
        free_at_ms = self.free_at_ms[chosen]
        start_ms = max(self.now_ms, free_at_ms[0])
        end_ms = start_ms + work_ms
        if chosen != region:
            end_ms += 2 * LINK_DELAY_MS
        in_time = end_ms - self.now_ms <= OBJECTIVE_MS
        if in_time:
            heapq.heapreplace(free_at_ms, start_ms + work_ms)
            self.handled_at_ms[chosen, object_key] = self.now_ms
        self.results.append((self.now_ms, region, in_time))

    def _choose_work_ms(self, region: str, object_key: str) -> int:
        """Return the time of a request; the targets of a region rank the same for an object."""
        handled_at_ms = self.handled_at_ms.get((region, object_key), -WARM_FOR_MS)
        if self.now_ms - handled_at_ms < WARM_FOR_MS:
            return WORK_MS
        self.cold_runs += 1
        return COLD_WORK_MS

    def compute_shares(self, from_ms: int) -> dict[str, float]:
        """Return the share of requests in time of each region's callers."""
        shares = {}
        for region in self.mean_demand:
            results = [ok for at_ms, name, ok in self.results if name == region and at_ms > from_ms]
            shares[region] = sum(results) / len(results)
        return shares


def find_region(instance: ReplayInstance, object_key: str, durations: RouteDurations) -> str:
    """Return the region in which an instance places a request for an object."""
    request = PlacementRequest(
        SERVICE, object_key, True, OBJECTIVE_MS, UNBOUND, frozenset(), durations
    )
    return REGIONS[instance.placer.choose(request, 0)[0].state.target.failure_domain]


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Return a number of arrivals."""
    threshold, count, product = math.exp(-mean), 0, rng.random()
    while product > threshold:
        count += 1
        product *= rng.random()
    return count
