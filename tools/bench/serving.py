"""Measure look-ups and the request path on real processes and sockets."""

from __future__ import annotations

import asyncio
import os
import secrets
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
from hdrh.histogram import HdrHistogram

from tools.bench.report import Report
from tools.processes import InstanceSpec, LocalFleet, call, find_ports
from waxwingshelf.core.config import hash_key

__all__ = ["measure_serving"]

_CLIENTS = 8
_LOOKUPS = 8_000
_REQUESTS = 4_000
_IDLE_S = 5.0
_LIMIT_US = 10_000_000
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_HALF_CORE = 0.5
_GREEDY_PER_S = 50
_SMALL_PER_S = 40
_WORST_S = 8.0
_DRAIN_S = 4.0


class _Bench:
    def __init__(self, directory: Path, report: Report, quick: bool) -> None:
        self._key = secrets.token_urlsafe(32)
        self._caller_key = secrets.token_urlsafe(32)
        self._fleet = LocalFleet(directory, hash_key(self._key))
        self._report = report
        self._scale = 8 if quick else 1
        self._target_port = 0
        self._port = 0

    def run(self) -> None:
        """Start a small fleet and measure one of its instances."""
        try:
            self._start()
            self._measure_idle()
            asyncio.run(self._measure_lookups())
            asyncio.run(self._measure_requests())
            asyncio.run(self._measure_worst_served())
            asyncio.run(self._measure_drain())
        finally:
            self._fleet.stop()

    def _start(self) -> None:
        ports = find_ports(17)
        self._fleet.start_store()
        self._target_port = ports[16]
        self._fleet.start_target("t", self._target_port, 64, 2)
        specs = [
            InstanceSpec(f"n{i}", f"r{i % 3}", f"r{i % 3}-1", ports[i], ports[8 + i])
            for i in range(8)
        ]
        for spec in specs:
            self._fleet.start_instance(spec)
        self._port = specs[0].port
        time.sleep(1.0)
        body = {"document": self._build_manifest(), "based_on": 0, "why": "bench"}
        call("PUT", self._port, "/admin/v1/manifest", body, self._key)
        for spec in specs:
            self._fleet.wait_until_serving(spec.name, "web")
        self._fleet.wait_until_usable(self._key)

    def _build_manifest(self) -> dict[str, Any]:
        target = {
            "service": "web",
            "region": "r0",
            "failure_domain": "r0-1",
            "host": "127.0.0.1",
            "port": self._target_port,
        }
        return {
            "fleet": {"name": "bench"},
            "regions": {f"r{n}": {"failure_domains": [f"r{n}-1"]} for n in range(3)},
            "services": {"web": {"deadline_ms": 5000, "slots": 64}},
            "targets": {"t": target},
            "shift_caps": {f"r{n}>r0": {"requests_per_s": 10_000, "burst": 10_000} for n in (1, 2)},
            "organisations": {
                "acme": {"rate_per_s": 100_000, "burst": 100_000},
                "greedy": {"rate_per_s": _GREEDY_PER_S, "burst": _GREEDY_PER_S},
                "small": {"rate_per_s": 2 * _SMALL_PER_S, "burst": 2 * _SMALL_PER_S},
            },
            "keys": {
                hash_key(self._caller_key + name): {"organisation": name}
                for name in ("acme", "greedy", "small")
            },
        }

    def _measure_idle(self) -> None:
        before = self._read_cpu_s()
        time.sleep(_IDLE_S)
        cpu = 100 * (self._read_cpu_s() - before) / _IDLE_S
        self._report.add("serving.idle.cpu.8", cpu, "% of a core", 1.1)
        self._report.add("serving.idle.memory.8", self._read_memory_mb(), "MB", 256)

    async def _measure_lookups(self) -> None:
        url = f"http://127.0.0.1:{self._port}/v1/instances?service=web"
        histogram = HdrHistogram(1, _LIMIT_US, 3)
        before = self._read_cpu_s()
        count = _LOOKUPS // self._scale
        async with aiohttp.ClientSession() as session:
            await _load(session, url, {}, count, 0.0, histogram)
        per_core_s = count / (self._read_cpu_s() - before)
        self._report.add("serving.lookups", per_core_s, "1/core-s", 3_000, at_most=False)

    async def _measure_requests(self) -> None:
        count = _REQUESTS // self._scale
        headers = self._build_headers("acme")
        urls = {
            "direct": f"http://127.0.0.1:{self._target_port}/x",
            "through": f"http://127.0.0.1:{self._port}/s/web/x",
        }
        histograms = {name: HdrHistogram(1, _LIMIT_US, 3) for name in urls}
        async with aiohttp.ClientSession() as session:
            warm = HdrHistogram(1, _LIMIT_US, 3)
            before, started_s = self._read_cpu_s(), time.monotonic()
            await _load(session, urls["through"], headers, count // 4, 0.0, warm)
            cpu_s = (self._read_cpu_s() - before) / (count // 4)
            self._report.add("serving.requests", 1 / cpu_s, "1/core-s")
            gap_s = cpu_s / _HALF_CORE
            before, started_s = self._read_cpu_s(), time.monotonic()
            for name, url in urls.items():
                await _load(session, url, headers, count, gap_s, histograms[name])
                if name == "direct":
                    before, started_s = self._read_cpu_s(), time.monotonic()
            used = (self._read_cpu_s() - before) / (time.monotonic() - started_s)
        self._report.add("serving.requests.cpu", 100 * used, "% of a core")
        self._compare(histograms, 50, 1.0)
        self._compare(histograms, 99, 5.0)

    def _build_headers(self, organisation: str) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._caller_key}{organisation}"}

    async def _measure_worst_served(self) -> None:
        """Compare a small organisation with and without one that sends ten times its rate."""
        seconds = _WORST_S / self._scale
        async with aiohttp.ClientSession() as session:
            alone = await self._drive(session, "small", _SMALL_PER_S, seconds)
            greedy = asyncio.create_task(
                self._drive(session, "greedy", 10 * _GREEDY_PER_S, seconds)
            )
            beside = await self._drive(session, "small", _SMALL_PER_S, seconds)
            taken = await greedy
        due = int(_SMALL_PER_S * seconds)
        self._report.add("worst.answered_alone", alone / due, "of sent", 0.99, at_most=False)
        self._report.add("worst.served_share", beside / alone, "", 0.99, at_most=False)
        most = _GREEDY_PER_S * (1 + seconds)
        self._report.add("worst.greedy_answered", taken, "requests", most)
        self._report.add("worst.greedy_share", taken / (_GREEDY_PER_S * seconds), "of its rate")

    async def _drive(
        self, session: aiohttp.ClientSession, organisation: str, per_s: float, seconds: float
    ) -> int:
        """Send evenly to all instances in turn; return how many were answered."""
        ports = [spec.port for spec in self._fleet.instances.values()]
        headers = self._build_headers(organisation)

        async def send(number: int) -> bool:
            await asyncio.sleep(number / per_s)
            url = f"http://127.0.0.1:{ports[number % len(ports)]}/s/web/x"
            async with session.get(url, headers=headers) as response:
                await response.read()
                return response.status == 200

        return sum(await asyncio.gather(*(send(n) for n in range(int(per_s * seconds)))))

    async def _measure_drain(self) -> None:
        """Drain the target under load from all instances and see when it gets no more work."""
        async with aiohttp.ClientSession() as session:
            load = asyncio.create_task(self._drive(session, "small", _SMALL_PER_S, _DRAIN_S))
            await asyncio.sleep(1)
            patch = [{"op": "add", "path": "/planned_stops/t", "value": {"kind": "target"}}]
            body = {"patch": patch, "why": "bench"}
            await asyncio.to_thread(call, "PUT", self._port, "/admin/v1/manifest", body, self._key)
            accepted_s = time.monotonic()
            await load
        record = call("GET", self._target_port, "/control/record")
        last_s = (time.monotonic() - accepted_s) - min(record["run_ages_ms"]) / 1000
        self._report.add("drain.last_new_work_after", max(0.0, last_s), "s", 2.0)
        self._report.add("drain.left_in_flight", record["in_flight"], "requests", 0)

    def _compare(self, histograms: dict[str, Any], percentile: int, bound_ms: float) -> None:
        direct, through = (
            histograms[name].get_value_at_percentile(percentile) / 1000
            for name in ("direct", "through")
        )
        self._report.add(f"serving.direct.p{percentile}", direct, "ms")
        self._report.add(f"serving.added.p{percentile}", through - direct, "ms", bound_ms)

    def _read_cpu_s(self) -> float:
        stat = Path(f"/proc/{self._fleet.find_pid('n0')}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def _read_memory_mb(self) -> float:
        status = Path(f"/proc/{self._fleet.find_pid('n0')}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024


async def _load(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    count: int,
    gap_s: float,
    histogram: Any,
) -> None:
    """Send requests, in a closed loop of clients or one each `gap_s`."""
    started_s = time.perf_counter()
    left = iter(range(count))

    async def send() -> None:
        for number in left:
            due_s = started_s + number * gap_s
            if gap_s:
                await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            sent_s = time.perf_counter()
            async with session.get(url, headers=headers) as response:
                await response.read()
                assert response.status == 200, await response.text()
            histogram.record_value(max(1, int((time.perf_counter() - sent_s) * 1e6)))

    await asyncio.gather(*(send() for _ in range(_CLIENTS)))


def measure_serving(report: Report, quick: bool) -> None:
    """Measure look-ups, requests and the idle cost on eight real instances."""
    with tempfile.TemporaryDirectory() as directory:
        _Bench(Path(directory), report, quick).run()
