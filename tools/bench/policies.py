"""Compare target policies on the samples' targets, on a simulated clock.

The plain baselines, random and round robin, know nothing of the targets' load.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import count

from hdrh.histogram import HdrHistogram

from tools.bench.report import Report
from waxwingshelf.core.manifest import Service, Target
from waxwingshelf.core.policies import TARGET_POLICIES
from waxwingshelf.core.targets import Attempt, TargetTable

__all__ = ["measure_policies"]

_INSTANCES = 3
_REQUESTS = 40_000
_QUICK_REQUESTS = 5_000
_LOADS = (0.5, 0.8, 0.95)
_MEAN_MS = 20.0
_SLOW_TARGET = 2.0
_RETRY_MS = 1
_LIMIT_US = 60_000_000
_SAMPLES = {"carpatin.register": (4, 9), "nyungwe.closures": (4, 6)}


class _World:
    """Some instances before the targets of one region; one target works at half speed."""

    def __init__(self, policy: str, targets: int, slots: int, load: float) -> None:
        service = Service(deadline_ms=1_000, slots=slots, target_policy="random")
        names = {
            f"t{n}": Target(service="s", region="r", failure_domain="r-1", host="h", port=1)
            for n in range(targets)
        }
        self.tables = [TargetTable(service) for _ in range(_INSTANCES)]
        for table in self.tables:
            table.update(service, names, set())
        self.busy = dict.fromkeys(names, 0)
        self.slots = slots
        self.rng = random.Random(5)
        self.policy = policy
        self.turns = [count(n) for n in range(_INSTANCES)]
        speed = targets - 1 + 1 / _SLOW_TARGET
        self.gap_ms = _MEAN_MS / (load * slots * speed)
        self.histogram = HdrHistogram(1, _LIMIT_US, 3)
        self.wrongly_refused = 0
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
            free = any(busy < self.slots for busy in self.busy.values())
            self.wrongly_refused += free
            self._at(self.now + _RETRY_MS, lambda: self._send(instance, arrived))
            return
        if self.policy == "round_robin":
            state = usable[next(self.turns[instance]) % len(usable)]
        else:
            state = TARGET_POLICIES[self.policy](usable, now_ms, self.rng)
        if self.busy[state.name] >= self.slots:
            table.note_report(state.name, self.busy[state.name], now_ms)
            self._at(self.now + _RETRY_MS, lambda: self._send(instance, arrived))
            return
        self.busy[state.name] += 1
        state.in_flight += 1
        factor = _SLOW_TARGET if state.name == "t0" else 1.0
        started = self.now
        done = self.now + self.rng.expovariate(1 / (_MEAN_MS * factor))
        self._at(done, lambda: self._end(instance, state.name, arrived, started))

    def _end(self, instance: int, name: str, arrived: float, started: float) -> None:
        table = self.tables[instance]
        state = table.find(name)
        assert state is not None
        self.busy[name] -= 1
        state.in_flight -= 1
        now_ms = int(self.now)
        table.note_report(name, self.busy[name], now_ms)
        table.note_attempt(Attempt(name, int(self.now - started), False), now_ms)
        self.histogram.record_value(max(1, int((self.now - arrived) * 1000)))


def measure_policies(report: Report, quick: bool) -> None:
    """Measure latencies at several loads for each policy, in one run with the baselines."""
    requests = _QUICK_REQUESTS if quick else _REQUESTS
    for sample, (targets, slots) in _SAMPLES.items():
        for load in _LOADS:
            p99 = {
                policy: _measure_one(report, sample, policy, targets, slots, load, requests)
                for policy in ["round_robin", *TARGET_POLICIES]
            }
            if load == 0.8:
                ratio = p99["power_of_two"] / p99["random"]
                report.add(f"policy.{sample}.p99_to_random", ratio, "", 0.7)
                best = min(p99.values())
                report.add(f"policy.{sample}.p99_to_best", p99["power_of_two"] / best, "", 1.0)


def _measure_one(
    report: Report, sample: str, policy: str, targets: int, slots: int, load: float, requests: int
) -> float:
    world = _World(policy, targets, slots, load)
    world.run(requests)
    prefix = f"policy.{sample}.{int(100 * load)}.{policy}"
    p50, p99, p999 = (
        world.histogram.get_value_at_percentile(percentile) / 1000 for percentile in (50, 99, 99.9)
    )
    report.add(f"{prefix}.p50", p50, "ms")
    report.add(f"{prefix}.p99", p99, "ms")
    report.add(f"{prefix}.p999", p999, "ms")
    return float(p99)
