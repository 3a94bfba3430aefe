"""A simulation of instances and targets that share machines whose speed changes."""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.load_reports import (
    choose_slowness_max_age_ms,
    choose_validity_ms,
    estimate_slowness_age_ms,
)
from waxwingshelf.steering.placement import Locality, Placement, PlacementRequest, Placer
from waxwingshelf.steering.target_reports import Load
from waxwingshelf.steering.targets import Target, TargetRegistry

REGIONS = {"north-1": "north", "south-1": "south"}
MACHINES, TARGETS_PER_MACHINE, SLOTS = 7, 4, 6
TARGETS = MACHINES * TARGETS_PER_MACHINE
SLOWDOWN, SPEED_PERIOD_MS = 2.5, 600
WARM_MS, OBJECTIVE_MS, CACHE_SIZE, OBJECTS = 150, 300, 24, 112
REPORT_PERIOD_MS = 100
LEARNING_MS = 5_000

# Returns what a response reports of a machine at a time, or None if it reports nothing.
Reporter = Callable[["Machines", int, int, random.Random], float | None]


class Machines:
    """The speed of each machine over time; one of them is slow in each period."""

    def __init__(self, seed: int, slowdown: float = SLOWDOWN) -> None:
        self._seed = seed
        self._slowdown = slowdown

    def get_slowness(self, machine: int, at_ms: int) -> float:
        period = max(0, at_ms) // SPEED_PERIOD_MS
        slow_machine = random.Random(self._seed * 100_003 + period).randrange(MACHINES)
        return self._slowdown if machine == slow_machine else 1.0

    def compute_end_ms(self, machine: int, start_ms: int, work_ms: float) -> int:
        """Return when work ends that proceeds at the changing speed of the machine."""
        at_ms, remaining_ms = start_ms, work_ms
        while True:
            slowness = self.get_slowness(machine, at_ms)
            period_end_ms = (at_ms // SPEED_PERIOD_MS + 1) * SPEED_PERIOD_MS
            if at_ms + remaining_ms * slowness <= period_end_ms:
                return max(start_ms + 1, round(at_ms + remaining_ms * slowness))
            remaining_ms -= (period_end_ms - at_ms) / slowness
            at_ms = period_end_ms


@dataclass
class SimulatedTarget:
    """A target with slots, a queue and a cache of objects."""

    machine: int
    running: int = 0
    queue: list[tuple[str, Callable[[], None]]] = field(default_factory=list)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def use_object(self, key: str) -> bool:
        """Return whether the object is warm, and make it warm."""
        warm = key in self.cache
        self.cache[key] = None
        self.cache.move_to_end(key)
        if len(self.cache) > CACHE_SIZE:
            self.cache.popitem(last=False)
        return warm


class SimulatedInstance:
    """The registry, placement and durations of one instance."""

    def __init__(self, region: str, domain: str) -> None:
        self.registry = TargetRegistry()
        for number in range(TARGETS):
            zone = list(REGIONS)[number % 2]
            target = Target(f"t{number}", "reads", "h", number, zone, "", SLOTS, False, 0, 1)
            self.registry.put(target, 0)
        self.placer = Placer(Locality(region, domain, REGIONS), self.registry)
        self.durations = RouteDurations(OBJECTIVE_MS)


class SpeedSimulation:
    """Instances that send requests to the targets, on simulated time."""

    def __init__(
        self,
        seed: int,
        report: Reporter,
        machines: Machines | None = None,
        instances: int = 4,
        cold_ratio: float = 1.6,
        tells_peers: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.report = report
        self.report_rng = random.Random(seed)
        self.machines = machines or Machines(seed)
        self.cold_ratio = cold_ratio
        self.tells_peers = tells_peers
        places = itertools.cycle([("north", "north-1"), ("south", "south-1")])
        self.instances = [SimulatedInstance(*next(places)) for _ in range(instances)]
        self.targets = {
            f"t{number}": SimulatedTarget(number % MACHINES) for number in range(TARGETS)
        }
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.now_ms = 0
        self.elapsed_ms: list[int] = []
        self.waiting: list[tuple[SimulatedInstance, str, float, int]] = []

    def run(self, until_ms: int, per_s: float) -> None:
        for instance in self.instances:
            self.push(REPORT_PERIOD_MS, lambda sender=instance: self.send_load_report(sender))
        while self.now_ms < until_ms:
            self.receive_request()
            self.run_until(self.now_ms + max(1, round(self.rng.expovariate(per_s) * 1_000)))

    def run_until(self, end_ms: int) -> None:
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, event = heapq.heappop(self.events)
            event()
        self.now_ms = end_ms

    def push(self, at_ms: int, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), event))

    def send_load_report(self, sender: SimulatedInstance) -> None:
        validity_ms = choose_validity_ms(REPORT_PERIOD_MS)
        max_age_ms = choose_slowness_max_age_ms(REPORT_PERIOD_MS)
        loads = sender.registry.count_in_flight()
        slowness = sender.registry.list_slowness(self.now_ms, max_age_ms)
        for peer in self.instances:
            if peer is sender:
                continue
            name = str(id(sender))
            peer.registry.record_peer_loads(name, loads, self.now_ms + validity_ms)
            if self.tells_peers:
                reported_at_ms = self.now_ms - estimate_slowness_age_ms(validity_ms)
                peer.registry.record_peer_slowness(slowness, reported_at_ms)
        self.push(self.now_ms + REPORT_PERIOD_MS, lambda: self.send_load_report(sender))

    def receive_request(self) -> None:
        instance = self.rng.choice(self.instances)
        key, work_ms = f"o{self.rng.randrange(OBJECTS)}", WARM_MS * self.rng.uniform(0.7, 1.3)
        request = (instance, key, work_ms, self.now_ms)
        if self.waiting or not self.place(*request):
            self.waiting.append(request)

    def place_waiting(self) -> None:
        self.waiting = [request for request in self.waiting if not self.place(*request)]

    def place(self, instance: SimulatedInstance, key: str, work_ms: float, arrived_ms: int) -> bool:
        request = PlacementRequest(
            "reads",
            key,
            True,
            OBJECTIVE_MS,
            frozenset(),
            frozenset(),
            instance.durations,
            self.now_ms - arrived_ms,
        )
        placements = instance.placer.choose(request, self.now_ms)
        if not placements:
            return False
        self.send(instance, placements[0], key, work_ms, arrived_ms)
        return True

    def send(
        self,
        instance: SimulatedInstance,
        placement: Placement,
        key: str,
        work_ms: float,
        arrived_ms: int,
    ) -> None:
        state, number, sent_ms = placement.state, next(self.numbers), self.now_ms
        target = self.targets[state.target.id]
        state.in_flight[number] = sent_ms + int(placement.cold_extra_ms)
        state.record_warm_object(key, sent_ms)
        before = state.speed.estimate(sent_ms)

        def start() -> None:
            target.running += 1
            factor = 1.0 if target.use_object(key) else self.cold_ratio
            end_ms = self.machines.compute_end_ms(target.machine, self.now_ms, work_ms * factor)
            self.push(end_ms, finish)

        def finish() -> None:
            target.running -= 1
            if target.queue:
                target.queue.pop(0)[1]()
            slowness = self.report(self.machines, target.machine, self.now_ms, self.report_rng)
            load = Load(target.running, len(target.queue), SLOTS, slowness)
            state.record_load(load, self.now_ms, len(state.in_flight) - 1)
            del state.in_flight[number]
            elapsed_ms = self.now_ms - sent_ms
            run_slowness = state.speed.estimate_run(before, sent_ms, self.now_ms)
            ratio = placement.compute_ratio(elapsed_ms)
            state.record_duration(ratio, self.now_ms, run_slowness)
            if placement.load < SLOTS:
                usual_ms = round(elapsed_ms / state.speed.compute_run_factor(run_slowness))
                was_warm = placement.was_warm(usual_ms, instance.durations)
                instance.durations.record(usual_ms, was_warm)
            if arrived_ms >= LEARNING_MS:
                self.elapsed_ms.append(self.now_ms - arrived_ms)
            self.place_waiting()

        if target.running < SLOTS:
            start()
        else:
            target.queue.append((key, start))

    def compute_percentile(self, fraction: float) -> int:
        ranked = sorted(self.elapsed_ms)
        return ranked[int(fraction * len(ranked))]

    def compute_on_time_fraction(self) -> float:
        on_time = sum(elapsed_ms <= OBJECTIVE_MS for elapsed_ms in self.elapsed_ms)
        return on_time / len(self.elapsed_ms)
