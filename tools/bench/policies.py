"""Compare target policies on the samples' target and slot counts, on a simulated clock.

The baselines, random and round robin, ignore the load of the targets. A target has far more
connections than slots: a request that finds all slots busy queues at the target.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from hdrh.histogram import HdrHistogram

from tools.bench.report import Report
from waxwingshelf.core.manifest import Service, Target
from waxwingshelf.core.policies import TARGET_POLICIES
from waxwingshelf.core.targets import AttemptResult, TargetTable

__all__ = ["measure_policies"]

_INSTANCE_COUNT = 3
_REQUEST_COUNT = 20_000
_QUICK_REQUEST_COUNT = 5_000
_LOADS = (0.5, 0.8, 0.95)
_MEAN_SERVICE_MS = 20.0
_SLOW_FACTOR = 2.0
_RETRY_DELAY_MS = 1
_BOUNDED_LOAD = 0.8
_HISTOGRAM_MAX_US = 60_000_000
_SAMPLES = {"carpatin.register": (4, 9), "nyungwe.closures": (4, 6)}


@dataclass(frozen=True, slots=True)
class _Request:
    instance: int
    target: str
    arrived_ms: float
    sent_ms: float


class _Simulation:
    """Simulate instances that send requests to the targets of one region.

    On each of the first `slow_target_count` targets, a request takes `_SLOW_FACTOR` times as long.
    """

    def __init__(
        self, policy: str, target_count: int, slots: int, load: float, slow_target_count: int
    ) -> None:
        service = Service(deadline_ms=1_000, slots=slots, target_policy="random")
        target_by_name = {
            f"t{n}": Target(service="s", region="r", failure_domain="r-1", host="h", port=1)
            for n in range(target_count)
        }
        self.tables = [TargetTable(service) for _ in range(_INSTANCE_COUNT)]
        for table in self.tables:
            table.update(service, target_by_name, set())
        self.busy_slots = dict.fromkeys(target_by_name, 0)
        self.queues: dict[str, deque[_Request]] = {name: deque() for name in target_by_name}
        self.slots = slots
        self.rng = random.Random(5)
        self.policy = policy
        self.next_turns = [count(n) for n in range(_INSTANCE_COUNT)]
        self.slow_targets = {f"t{n}" for n in range(slow_target_count)}
        full_speed_targets = target_count - slow_target_count + slow_target_count / _SLOW_FACTOR
        self.mean_gap_ms = _MEAN_SERVICE_MS / (load * slots * full_speed_targets)
        self.histogram = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = count()
        self.clock_ms = 0.0

    def run(self, requests: int) -> None:
        """Simulate Poisson arrivals until all requests are finished."""
        at_ms = 0.0
        for _ in range(requests):
            at_ms += self.rng.expovariate(1 / self.mean_gap_ms)
            self._schedule(at_ms, self._draw_arrival(at_ms))
        while self.events:
            self.clock_ms, _, action = heapq.heappop(self.events)
            action()

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_ms, next(self.sequence), action))

    def _draw_arrival(self, arrived_ms: float) -> Callable[[], None]:
        instance = self.rng.randrange(_INSTANCE_COUNT)
        return lambda: self._dispatch(instance, arrived_ms)

    def _dispatch(self, instance: int, arrived_ms: float) -> None:
        table = self.tables[instance]
        now_ms = int(self.clock_ms)
        is_baseline = self.policy in ("random", "round_robin")
        usable = table.list_states() if is_baseline else table.list_usable("r", set(), now_ms)
        if not usable:
            self._schedule(
                self.clock_ms + _RETRY_DELAY_MS, lambda: self._dispatch(instance, arrived_ms)
            )
            return
        if self.policy == "round_robin":
            state = usable[next(self.next_turns[instance]) % len(usable)]
        else:
            state = TARGET_POLICIES[self.policy](usable, now_ms, self.rng)
        state.in_flight += 1
        request = _Request(instance, state.name, arrived_ms, self.clock_ms)
        if self.busy_slots[state.name] >= self.slots:
            self.queues[state.name].append(request)
        else:
            self._start_request(request)

    def _start_request(self, request: _Request) -> None:
        self.busy_slots[request.target] += 1
        factor = _SLOW_FACTOR if request.target in self.slow_targets else 1.0
        finished_ms = self.clock_ms + self.rng.expovariate(1 / (_MEAN_SERVICE_MS * factor))
        self._schedule(finished_ms, lambda: self._finish_request(request))

    def _finish_request(self, request: _Request) -> None:
        instance, name = request.instance, request.target
        table = self.tables[instance]
        state = table.find(name)
        assert state is not None
        self.busy_slots[name] -= 1
        state.in_flight -= 1
        if self.queues[name]:
            self._start_request(self.queues[name].popleft())
        now_ms = int(self.clock_ms)
        table.record_report(name, self.busy_slots[name] + len(self.queues[name]), now_ms)
        table.record_attempt(
            AttemptResult(name, int(self.clock_ms - request.sent_ms), False), now_ms
        )
        self.histogram.record_value(max(1, int((self.clock_ms - request.arrived_ms) * 1000)))


def measure_policies(report: Report, quick: bool) -> None:
    """Measure the latencies of all policies, baselines included, at several loads in one run."""
    requests = _QUICK_REQUEST_COUNT if quick else _REQUEST_COUNT
    for sample, (target_count, slots) in _SAMPLES.items():
        for load in _LOADS:
            for slow_target_count in (0, 1):
                name = f"{sample}.{int(100 * load)}" + (".slow_target" if slow_target_count else "")
                _compare(
                    report, name, _Case(target_count, slots, load, slow_target_count), requests
                )


@dataclass(frozen=True, slots=True)
class _Case:
    target_count: int
    slots: int
    load: float
    slow_target_count: int


def _compare(report: Report, name: str, case: _Case, requests: int) -> None:
    p99 = {}
    for policy in ["round_robin", *TARGET_POLICIES]:
        simulation = _Simulation(
            policy, case.target_count, case.slots, case.load, case.slow_target_count
        )
        simulation.run(requests)
        for label, percentile in (("p50", 50), ("p99", 99), ("p999", 99.9)):
            value = simulation.histogram.get_value_at_percentile(percentile) / 1000
            report.add(f"policy.{name}.{policy}.{label}", value, "ms")
        p99[policy] = simulation.histogram.get_value_at_percentile(99)
    if case.load == _BOUNDED_LOAD and not case.slow_target_count:
        default_p99 = p99[Service(deadline_ms=1).target_policy]
        report.add(f"policy.{name}.p99_to_random", default_p99 / p99["random"], "", 0.7)
        report.add(f"policy.{name}.p99_to_best", default_p99 / min(p99.values()), "", 1.0)
