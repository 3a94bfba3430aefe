"""Measure lookups and the request path on real processes and sockets."""

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
from tools.processes import InstanceSpec, LocalFleet, find_ports, send_request
from waxwingshelf.core.config import hash_key

__all__ = ["measure_serving"]

_CONCURRENCY = 8
_LOOKUP_COUNT = 8_000
_REQUEST_COUNT = 4_000
_IDLE_S = 5.0
_HISTOGRAM_MAX_US = 10_000_000
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PACED_CPU_FRACTION = 0.5
_GREEDY_RATE_PER_S = 50
_SMALL_RATE_PER_S = 40
_WORST_SERVED_S = 8.0
_DRAIN_S = 4.0


class _ServingBench:
    def __init__(self, directory: Path, report: Report, quick: bool) -> None:
        self._operator_key = secrets.token_urlsafe(32)
        self._client_key_prefix = secrets.token_urlsafe(32)
        self._fleet = LocalFleet(directory, hash_key(self._operator_key))
        self._report = report
        self._workload_divisor = 8 if quick else 1
        self._target_port = 0
        self._port = 0

    def run(self) -> None:
        """Start a fleet of eight instances and run all measurements on it."""
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
        send_request("PUT", self._port, "/admin/v1/manifest", body, self._operator_key)
        for spec in specs:
            self._fleet.wait_until_serving(spec.name, "web")
        self._fleet.wait_until_shares_usable(self._operator_key)

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
                "greedy": {"rate_per_s": _GREEDY_RATE_PER_S, "burst": _GREEDY_RATE_PER_S},
                "small": {"rate_per_s": 2 * _SMALL_RATE_PER_S, "burst": 2 * _SMALL_RATE_PER_S},
            },
            "keys": {
                hash_key(self._client_key_prefix + name): {"organisation": name}
                for name in ("acme", "greedy", "small")
            },
        }

    def _measure_idle(self) -> None:
        cpu_s_before = self._read_cpu_s()
        time.sleep(_IDLE_S)
        cpu_percent = 100 * (self._read_cpu_s() - cpu_s_before) / _IDLE_S
        self._report.add("serving.idle.cpu.8", cpu_percent, "% of a core", 1.1)
        self._report.add("serving.idle.memory.8", self._read_memory_mb(), "MB", 256)

    async def _measure_lookups(self) -> None:
        url = f"http://127.0.0.1:{self._port}/v1/instances?service=web"
        histogram = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        cpu_s_before = self._read_cpu_s()
        count = _LOOKUP_COUNT // self._workload_divisor
        async with aiohttp.ClientSession() as session:
            await _send_load(session, url, {}, count, 0.0, histogram)
        lookups_per_core_s = count / (self._read_cpu_s() - cpu_s_before)
        self._report.add("serving.lookups", lookups_per_core_s, "1/core-s", 3_000, at_most=False)

    async def _measure_requests(self) -> None:
        count = _REQUEST_COUNT // self._workload_divisor
        headers = self._build_headers("acme")
        urls = {
            "direct": f"http://127.0.0.1:{self._target_port}/x",
            "through": f"http://127.0.0.1:{self._port}/s/web/x",
        }
        histograms = {name: HdrHistogram(1, _HISTOGRAM_MAX_US, 3) for name in urls}
        async with aiohttp.ClientSession() as session:
            warm_up = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
            cpu_s_before, started_s = self._read_cpu_s(), time.monotonic()
            await _send_load(session, urls["through"], headers, count // 4, 0.0, warm_up)
            cpu_s_per_request = (self._read_cpu_s() - cpu_s_before) / (count // 4)
            self._report.add("serving.requests", 1 / cpu_s_per_request, "1/core-s")
            gap_s = cpu_s_per_request / _PACED_CPU_FRACTION
            cpu_s_before, started_s = self._read_cpu_s(), time.monotonic()
            for name, url in urls.items():
                await _send_load(session, url, headers, count, gap_s, histograms[name])
                if name == "direct":
                    cpu_s_before, started_s = self._read_cpu_s(), time.monotonic()
            used_cores = (self._read_cpu_s() - cpu_s_before) / (time.monotonic() - started_s)
        self._report.add("serving.requests.cpu", 100 * used_cores, "% of a core")
        self._add_percentile(histograms, 50, 1.0)
        self._add_percentile(histograms, 99, 5.0)

    def _build_headers(self, organisation: str) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._client_key_prefix}{organisation}"}

    async def _measure_worst_served(self) -> None:
        """Measure a small organisation alone and beside one that sends ten times its rate limit."""
        duration_s = _WORST_SERVED_S / self._workload_divisor
        async with aiohttp.ClientSession() as session:
            answered_alone = await self._send_evenly(
                session, "small", _SMALL_RATE_PER_S, duration_s
            )
            greedy_load = asyncio.create_task(
                self._send_evenly(session, "greedy", 10 * _GREEDY_RATE_PER_S, duration_s)
            )
            answered_beside_greedy = await self._send_evenly(
                session, "small", _SMALL_RATE_PER_S, duration_s
            )
            greedy_answered = await greedy_load
        expected = int(_SMALL_RATE_PER_S * duration_s)
        self._report.add(
            "worst.answered_alone", answered_alone / expected, "of sent", 0.99, at_most=False
        )
        self._report.add(
            "worst.served_share", answered_beside_greedy / answered_alone, "", 0.99, at_most=False
        )
        max_answered = _GREEDY_RATE_PER_S * (1 + duration_s)
        self._report.add("worst.greedy_answered", greedy_answered, "requests", max_answered)
        self._report.add(
            "worst.greedy_share", greedy_answered / (_GREEDY_RATE_PER_S * duration_s), "of its rate"
        )

    async def _send_evenly(
        self, session: aiohttp.ClientSession, organisation: str, per_s: float, duration_s: float
    ) -> int:
        """Send requests at an even rate to all instances in turn; return how many succeeded."""
        ports = [spec.port for spec in self._fleet.instances.values()]
        headers = self._build_headers(organisation)

        async def send(number: int) -> bool:
            await asyncio.sleep(number / per_s)
            url = f"http://127.0.0.1:{ports[number % len(ports)]}/s/web/x"
            async with session.get(url, headers=headers) as response:
                await response.read()
                return response.status == 200

        return sum(await asyncio.gather(*(send(n) for n in range(int(per_s * duration_s)))))

    async def _measure_drain(self) -> None:
        """Measure how long a target under load still starts requests after it was drained."""
        async with aiohttp.ClientSession() as session:
            load = asyncio.create_task(
                self._send_evenly(session, "small", _SMALL_RATE_PER_S, _DRAIN_S)
            )
            await asyncio.sleep(1)
            patch = [{"op": "add", "path": "/planned_stops/t", "value": {"kind": "target"}}]
            body = {"patch": patch, "why": "bench"}
            await asyncio.to_thread(
                send_request, "PUT", self._port, "/admin/v1/manifest", body, self._operator_key
            )
            accepted_s = time.monotonic()
            await load
        record = send_request("GET", self._target_port, "/control/record")
        last_start_s = (time.monotonic() - accepted_s) - min(record["run_ages_ms"]) / 1000
        self._report.add("drain.last_new_work_after", max(0.0, last_start_s), "s", 2.0)
        self._report.add("drain.left_in_flight", record["in_flight"], "requests", 0)

    def _add_percentile(self, histograms: dict[str, Any], percentile: int, bound_ms: float) -> None:
        direct, through = (
            histograms[name].get_value_at_percentile(percentile) / 1000
            for name in ("direct", "through")
        )
        self._report.add(f"serving.direct.p{percentile}", direct, "ms")
        self._report.add(f"serving.added.p{percentile}", through - direct, "ms", bound_ms)

    def _read_cpu_s(self) -> float:
        stat = Path(f"/proc/{self._fleet.get_pid('n0')}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S

    def _read_memory_mb(self) -> float:
        status = Path(f"/proc/{self._fleet.get_pid('n0')}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024


async def _send_load(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    count: int,
    gap_s: float,
    histogram: Any,
) -> None:
    """Send `count` requests in a closed loop of clients, at most one per `gap_s` if it is not 0."""
    started_s = time.perf_counter()
    numbers = iter(range(count))

    async def send() -> None:
        for number in numbers:
            due_s = started_s + number * gap_s
            if gap_s:
                await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            sent_s = time.perf_counter()
            async with session.get(url, headers=headers) as response:
                await response.read()
                assert response.status == 200, await response.text()
            histogram.record_value(max(1, int((time.perf_counter() - sent_s) * 1e6)))

    await asyncio.gather(*(send() for _ in range(_CONCURRENCY)))


def measure_serving(report: Report, quick: bool) -> None:
    """Measure idle cost, lookups, requests, fairness and draining on eight real instances."""
    with tempfile.TemporaryDirectory() as directory:
        _ServingBench(Path(directory), report, quick).run()
