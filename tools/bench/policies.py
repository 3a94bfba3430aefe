"""Compare target policies on the samples' targets, on a simulated clock.

The plain baselines, random and round robin, know nothing of the targets' load. A target has far
more connections than slots: a request that finds all slots busy waits there for its turn.
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

_INSTANCES = 3
_REQUESTS = 20_000
_QUICK_REQUESTS = 5_000
_LOADS = (0.5, 0.8, 0.95)
_MEAN_MS = 20.0
_SLOW_FACTOR = 2.0
_RETRY_MS = 1
_BOUND_LOAD = 0.8
_LIMIT_US = 60_000_000
_SAMPLES = {"carpatin.register": (4, 9), "nyungwe.closures": (4, 6)}


@dataclass(frozen=True, slots=True)
class _Request:
    instance: int
    target: str
    arrived: float
    sent: float


class _World:
    """Some instances before the targets of one region, of which `slow` ones have half speed."""

    def __init__(self, policy: str, targets: int, slots: int, load: float, slow: int) -> None:
        service = Service(deadline_ms=1_000, slots=slots, target_policy="random")
        names = {
            f"t{n}": Target(service="s", region="r", failure_domain="r-1", host="h", port=1)
            for n in range(targets)
        }
        self.tables = [TargetTable(service) for _ in range(_INSTANCES)]
        for table in self.tables:
            table.update(service, names, set())
        self.busy = dict.fromkeys(names, 0)
        self.waiting: dict[str, deque[_Request]] = {name: deque() for name in names}
        self.slots = slots
        self.rng = random.Random(5)
        self.policy = policy
        self.turns = [count(n) for n in range(_INSTANCES)]
        self.slow = {f"t{n}" for n in range(slow)}
        speed = targets - slow + slow / _SLOW_FACTOR
        self.gap_ms = _MEAN_MS / (load * slots * speed)
        self.histogram = HdrHistogram(1, _LIMIT_US, 3)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.now = 0.0

    def run(self, requests: int) -> None:
        """Play Poisson arrivals to the end."""
        at = 0.0
        for _ in range(requests):
            at += self.rng.expovariate(1 / self.gap_ms)
            self._at(at, self._arrive(at))
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), action))

    def _arrive(self, arrived: float) -> Callable[[], None]:
        instance = self.rng.randrange(_INSTANCES)
        return lambda: self._send(instance, arrived)

    def _send(self, instance: int, arrived: float) -> None:
        table = self.tables[instance]
        now_ms = int(self.now)
        plain = self.policy in ("random", "round_robin")
        usable = table.list_states() if plain else table.list_usable("r", set(), now_ms)
        if not usable:
            self._at(self.now + _RETRY_MS, lambda: self._send(instance, arrived))
            return
        if self.policy == "round_robin":
            state = usable[next(self.turns[instance]) % len(usable)]
        else:
            state = TARGET_POLICIES[self.policy](usable, now_ms, self.rng)
        state.in_flight += 1
        request = _Request(instance, state.name, arrived, self.now)
        if self.busy[state.name] >= self.slots:
            self.waiting[state.name].append(request)
        else:
            self._start(request)

    def _start(self, request: _Request) -> None:
        self.busy[request.target] += 1
        factor = _SLOW_FACTOR if request.target in self.slow else 1.0
        done = self.now + self.rng.expovariate(1 / (_MEAN_MS * factor))
        self._at(done, lambda: self._end(request))

    def _end(self, request: _Request) -> None:
        instance, name = request.instance, request.target
        table = self.tables[instance]
        state = table.find(name)
        assert state is not None
        self.busy[name] -= 1
        state.in_flight -= 1
        if self.waiting[name]:
            self._start(self.waiting[name].popleft())
        now_ms = int(self.now)
        table.record_report(name, self.busy[name] + len(self.waiting[name]), now_ms)
        table.record_attempt(AttemptResult(name, int(self.now - request.sent), False), now_ms)
        self.histogram.record_value(max(1, int((self.now - request.arrived) * 1000)))


def measure_policies(report: Report, quick: bool) -> None:
    """Measure latencies at several loads for each policy, in one run with the baselines."""
    requests = _QUICK_REQUESTS if quick else _REQUESTS
    for sample, (targets, slots) in _SAMPLES.items():
        for load in _LOADS:
            for slow in (0, 1):
                name = f"{sample}.{int(100 * load)}" + (".slow_target" if slow else "")
                _compare(report, name, _Case(targets, slots, load, slow), requests)


@dataclass(frozen=True, slots=True)
class _Case:
    targets: int
    slots: int
    load: float
    slow: int


def _compare(report: Report, name: str, case: _Case, requests: int) -> None:
    p99 = {}
    for policy in ["round_robin", *TARGET_POLICIES]:
        world = _World(policy, case.targets, case.slots, case.load, case.slow)
        world.run(requests)
        for label, percentile in (("p50", 50), ("p99", 99), ("p999", 99.9)):
            value = world.histogram.get_value_at_percentile(percentile) / 1000
            report.add(f"policy.{name}.{policy}.{label}", value, "ms")
        p99[policy] = world.histogram.get_value_at_percentile(99)
    if case.load == _BOUND_LOAD and not case.slow:
        chosen = p99[Service(deadline_ms=1).target_policy]
        report.add(f"policy.{name}.p99_to_random", chosen / p99["random"], "", 0.7)
        report.add(f"policy.{name}.p99_to_best", chosen / min(p99.values()), "", 1.0)
