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
from waxwingshelf.core.config import digest_key

__all__ = ["measure_serving"]

_CLIENTS = 8
_LOOKUPS = 8_000
_REQUESTS = 4_000
_IDLE_S = 5.0
_LIMIT_US = 10_000_000
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_HALF_CORE = 0.5


class _Bench:
    def __init__(self, directory: Path, report: Report, quick: bool) -> None:
        self._key = secrets.token_urlsafe(32)
        self._caller_key = secrets.token_urlsafe(32)
        self._fleet = LocalFleet(directory, digest_key(self._key))
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
            "organisations": {"acme": {"rate_per_s": 100_000, "burst": 100_000}},
            "keys": {digest_key(self._caller_key): {"organisation": "acme"}},
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
        headers = {"Authorization": f"Bearer {self._caller_key}"}
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
