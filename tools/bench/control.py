"""Measure the control plane's cost per member and the spread of changes, by fleet size."""

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
_MEASURED_MS = 10_000
_CHANGE_COUNT = 20
_SPREAD_STEP_MS = 5
_MAX_SPREAD_MS = 5_000


@dataclass
class _Cost:
    """CPU time, bytes sent and store calls of a whole fleet during a measurement."""

    cpu_s: float = 0.0
    sent_bytes: int = 0
    store_calls: int = 0


@contextmanager
def _measure_cost(fleet: FakeFleet) -> Iterator[_Cost]:
    cost = _Cost()
    cpu_s_before = time.process_time()
    bytes_before = sum(fleet.sent_bytes.values())
    calls_before = fleet.store.calls
    yield cost
    cost.cpu_s = time.process_time() - cpu_s_before
    cost.sent_bytes = sum(fleet.sent_bytes.values()) - bytes_before
    cost.store_calls = fleet.store.calls - calls_before


def measure_control(report: Report, quick: bool) -> None:
    """Measure fleets of several sizes in one process, with a fake transport and store."""
    for size in _QUICK_SIZES if quick else _SIZES:
        fleet = build_fleet(size, 1)
        fleet.advance(5_000)
        _measure_idle(report, fleet, size)
        _measure_load(report, fleet, size)
        _measure_spread(report, fleet, size)


def _measure_idle(report: Report, fleet: FakeFleet, size: int) -> None:
    with _measure_cost(fleet) as cost:
        fleet.advance(_MEASURED_MS)
    seconds = _MEASURED_MS / 1000
    report.add(f"control.idle.sent.{size}", cost.sent_bytes / seconds / size, "B/s", 3_000)
    cpu_percent = 100 * cost.cpu_s / seconds / size
    report.add(f"control.idle.cpu.{size}", cpu_percent, "% of a core", 1.1)
    report.add(f"control.idle.store_calls.{size}", cost.store_calls / seconds, "calls/s")


def _measure_load(report: Report, fleet: FakeFleet, size: int) -> None:
    names = sorted(fleet.nodes)
    index = 0
    with _measure_cost(fleet) as cost:
        for _ in range(_MEASURED_MS // 100):
            fleet.advance(100)
            for _ in range(3):
                index += 1
                fleet.nodes[names[index % size]].member.take("org:acme")
    sent_per_s = cost.sent_bytes / (_MEASURED_MS / 1000) / size
    report.add(f"control.load.sent.{size}", sent_per_s, "B/s", 3_000)


def _measure_spread(report: Report, fleet: FakeFleet, size: int) -> None:
    spread_times_ms = []
    bytes_before = sum(fleet.sent_bytes.values())
    for index in range(_CHANGE_COUNT):
        patch = [
            {"op": "replace", "path": "/organisations/acme/rate_per_s", "value": 30.0 + index % 2}
        ]
        submitter = sorted(fleet.nodes)[index % size]
        fleet.change(submitter, Change(f"spread-{index}", "bench", 0, patch=patch))
        revision = fleet.store.values["manifest"][0]
        started_ms = fleet.clock.now_ms()
        while not _is_applied_everywhere(fleet, revision):
            fleet.step(_SPREAD_STEP_MS)
            if fleet.clock.now_ms() - started_ms > _MAX_SPREAD_MS:
                break
        spread_times_ms.append(fleet.clock.now_ms() - started_ms)
        fleet.advance(500)
    bytes_per_change = (sum(fleet.sent_bytes.values()) - bytes_before) / _CHANGE_COUNT / size
    report.add(f"control.spread.median.{size}", statistics.median(spread_times_ms), "ms")
    report.add(f"control.spread.slowest_of_20.{size}", max(spread_times_ms), "ms", 1_000)
    report.add(f"control.spread.sent_with_idle.{size}", bytes_per_change, "B/change")


def _is_applied_everywhere(fleet: FakeFleet, revision: int) -> bool:
    return all(
        node.member.state.config is not None and node.member.state.config.revision >= revision
        for node in fleet.nodes.values()
    )
