"""Measure what control costs a member, and how fast changes spread, by the size of the fleet."""

from __future__ import annotations

import statistics
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from standins.fleet import FakeFleet, build_fleet
from tools.bench.report import Report
from waxwingshelf.core.changes import Change

__all__ = ["measure_control"]

_SIZES = (8, 16, 32, 64)
_QUICK_SIZES = (8, 16)
_IDLE_MS = 10_000
_CHANGES = 20
_SPREAD_STEP_MS = 5
_SPREAD_LIMIT_MS = 5_000


@dataclass
class _Cost:
    """Processor seconds, bytes sent and store calls of a whole fleet in some time."""

    cpu_s: float = 0.0
    sent_bytes: int = 0
    store_calls: int = 0


@contextmanager
def _count_cost(fleet: FakeFleet) -> Iterator[_Cost]:
    cost = _Cost()
    cpu_s = time.process_time()
    sent = sum(fleet.sent_bytes.values())
    calls = fleet.store.calls
    yield cost
    cost.cpu_s = time.process_time() - cpu_s
    cost.sent_bytes = sum(fleet.sent_bytes.values()) - sent
    cost.store_calls = fleet.store.calls - calls


def measure_control(report: Report, quick: bool) -> None:
    """Measure fleets of several sizes in one process, with a fake transport and store."""
    for size in _QUICK_SIZES if quick else _SIZES:
        fleet = build_fleet(size, 1)
        fleet.advance(5_000)
        _measure_idle(report, fleet, size)
        _measure_load(report, fleet, size)
        _measure_spread(report, fleet, size)


def _measure_idle(report: Report, fleet: FakeFleet, size: int) -> None:
    with _count_cost(fleet) as cost:
        fleet.advance(_IDLE_MS)
    seconds = _IDLE_MS / 1000
    report.add(f"control.idle.sent.{size}", cost.sent_bytes / seconds / size, "B/s", 3_000)
    cpu = 100 * cost.cpu_s / seconds / size
    report.add(f"control.idle.cpu.{size}", cpu, "% of a core", 1.1)
    report.add(f"control.idle.store_calls.{size}", cost.store_calls / seconds, "calls/s")


def _measure_load(report: Report, fleet: FakeFleet, size: int) -> None:
    names = sorted(fleet.nodes)
    number = 0
    with _count_cost(fleet) as cost:
        for _ in range(_IDLE_MS // 100):
            fleet.advance(100)
            for _ in range(3):
                number += 1
                fleet.nodes[names[number % size]].member.take("org:acme")
    sent = cost.sent_bytes / (_IDLE_MS / 1000) / size
    report.add(f"control.load.sent.{size}", sent, "B/s", 3_000)


def _measure_spread(report: Report, fleet: FakeFleet, size: int) -> None:
    times = []
    sent = sum(fleet.sent_bytes.values())
    for number in range(_CHANGES):
        patch = [
            {"op": "replace", "path": "/organisations/acme/rate_per_s", "value": 30.0 + number % 2}
        ]
        via = sorted(fleet.nodes)[number % size]
        fleet.change(via, Change(f"spread-{number}", "bench", 0, patch=patch))
        revision = fleet.store.values["manifest"][0]
        started_ms = fleet.clock.now_ms()
        while not _is_everywhere(fleet, revision):
            fleet.step(_SPREAD_STEP_MS)
            if fleet.clock.now_ms() - started_ms > _SPREAD_LIMIT_MS:
                break
        times.append(fleet.clock.now_ms() - started_ms)
        fleet.advance(500)
    per_change = (sum(fleet.sent_bytes.values()) - sent) / _CHANGES / size
    report.add(f"control.spread.median.{size}", statistics.median(times), "ms")
    report.add(f"control.spread.slowest_of_20.{size}", max(times), "ms", 1_000)
    report.add(f"control.spread.sent_with_idle.{size}", per_change, "B/change")


def _is_everywhere(fleet: FakeFleet, revision: int) -> bool:
    return all(
        node.member.state.config is not None and node.member.state.config.revision >= revision
        for node in fleet.nodes.values()
    )
