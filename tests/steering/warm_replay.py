"""A region's instances before targets that cache objects, on simulated time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.load_reports import choose_objects_max_age_ms
from waxwingshelf.steering.placement import Locality, PlacementRequest, Placer
from waxwingshelf.steering.region_weights import RegionWeights
from waxwingshelf.steering.regional_demand import RegionalDemand
from waxwingshelf.steering.targets import Target, TargetRegistry, hash_target_id
from waxwingshelf.steering.warm_objects import hash_object_key

REGIONS = {"north-1": "north", "north-2": "north", "south-1": "south"}
LOCALITY = Locality("north", "north-1", REGIONS)
SERVICE = "reads"
SLOTS = 9
OBJECTIVE_MS = 2_000
WARM_MS, COLD_MS = 900, 2_900
REPORT_PERIOD_MS = 300
# Instances of the region that get each load report of a large fleet.
RECIPIENTS = 8
MAX_FULL_MESH = 16
# The time in which an announcement reaches the peers.
ANNOUNCEMENT_MS = 2


class ChosenWeights(RegionWeights):
    """Weights of regions that a test sets, by region."""

    def __init__(self) -> None:
        super().__init__(RegionalDemand(LOCALITY.region))
        self.weights: dict[str, float] = {}

    def get_weight(self, service: str, region: str) -> float:
        return self.weights.get(region, 1.0)


@dataclass
class ReplayInstance:
    """What one instance knows of the targets, and how it chooses among them."""

    registry: TargetRegistry = field(default_factory=TargetRegistry)
    durations: RouteDurations = field(default_factory=lambda: RouteDurations(OBJECTIVE_MS))
    weights: ChosenWeights = field(default_factory=ChosenWeights)
    placer: Placer = field(init=False)

    def __post_init__(self) -> None:
        self.placer = Placer(LOCALITY, self.registry, self.weights)

    def set_weight(self, region: str, weight: float) -> None:
        """Give the targets of a region another weight, which changes first choices."""
        self.weights.weights[region] = weight
        self.placer = Placer(LOCALITY, self.registry, self.weights)


class WarmReplay:
    """Requests for objects at random instances; `first_runs` counts those at cold targets."""

    def __init__(self, instances: int, targets: int, objects: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.instances = [ReplayInstance() for _ in range(instances)]
        self.objects = [f"r\0{number}" for number in range(objects)]
        self.targets = [
            Target(f"t{n}", SERVICE, "h", n + 1, list(REGIONS)[n % 3], "", SLOTS, False, 0, 0)
            for n in range(targets)
        ]
        self.now_ms = 0
        self.first_runs = 0
        self.served_at: dict[str, list[str]] = {}
        self._numbers = itertools.count()
        self._events: list[tuple[int, int, Callable[[], Any]]] = []
        self.add(self.targets)
        for number, instance in enumerate(self.instances):
            self._push(number % REPORT_PERIOD_MS, lambda sender=instance: self._report(sender))

    def add(self, targets: list[Target]) -> None:
        """Let all instances know targets."""
        for instance in self.instances:
            for target in targets:
                instance.registry.put(target, self.now_ms)

    def remove(self, targets: list[Target]) -> None:
        """Let all instances forget targets, which forget all objects."""
        ids = {target.id for target in targets}
        for key, served_at in self.served_at.items():
            self.served_at[key] = [target_id for target_id in served_at if target_id not in ids]
        for instance in self.instances:
            for target in targets:
                instance.registry.remove(target.id)

    def run(self, until_ms: int, requests_per_s: float) -> None:
        """Send requests for random objects to random instances."""
        while self.now_ms < until_ms:
            self._run_events(self.now_ms + int(self.rng.expovariate(requests_per_s / 1_000)))
            self._send(self.rng.choice(self.instances), self.rng.choice(self.objects))

    def _run_events(self, until_ms: int) -> None:
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, run = heapq.heappop(self._events)
            run()
        self.now_ms = until_ms

    def _send(self, instance: ReplayInstance, key: str) -> None:
        none: frozenset[str] = frozenset()
        request = PlacementRequest(SERVICE, key, True, OBJECTIVE_MS, none, none, instance.durations)
        placement = instance.placer.choose(request, self.now_ms)[0]
        state, number = placement.state, next(self._numbers)
        served_at = self.served_at.setdefault(key, [])
        is_first = state.target.id not in served_at
        if is_first:
            self.first_runs += 1
            served_at.append(state.target.id)
        instance.registry.record_send(state, key, self.now_ms)
        if placement.may_be_first_run and len(self.instances) > MAX_FULL_MESH:
            self._push(self.now_ms + ANNOUNCEMENT_MS, lambda: self._announce(key, state.target.id))
        state.in_flight[number] = self.now_ms + int(placement.cold_extra_ms)
        elapsed_ms = COLD_MS if is_first else WARM_MS

        def finish() -> None:
            del state.in_flight[number]
            state.record_duration(placement.compute_ratio(elapsed_ms), self.now_ms)

        self._push(self.now_ms + elapsed_ms, finish)

    def _announce(self, key: str, target_id: str) -> None:
        """Tell all instances of a send to a target at which the object may not have been warm."""
        objects = {hash_object_key(key): hash_target_id(target_id)}
        for instance in self.instances:
            instance.registry.record_peer_objects(objects, self.now_ms)

    def _report(self, sender: ReplayInstance) -> None:
        """Tell peers which objects the sender has sent where, as load reports do."""
        is_large = len(self.instances) > MAX_FULL_MESH
        max_age_ms = choose_objects_max_age_ms(REPORT_PERIOD_MS, is_large)
        objects = sender.registry.list_sent_objects(self.now_ms - max_age_ms)
        recipients = self.instances
        if is_large:
            recipients = self.rng.sample(self.instances, RECIPIENTS)
        for recipient in recipients:
            recipient.registry.record_peer_objects(objects, self.now_ms)
        self._push(self.now_ms + REPORT_PERIOD_MS, lambda: self._report(sender))

    def _push(self, at_ms: int, run: Callable[[], Any]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), run))
