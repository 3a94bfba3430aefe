"""A randomized soak: real processes, faults from outside, promises checked from outside.

Run `make soak` for many seeds or `python -m tests.soak.soak SEED...` for some. Instances are
processes of their own on addresses of the loopback range; store and targets are stand-ins in this
process, each instance reaches them through proxies. Only processes that the soak started are ever
signalled.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from standins.platform_store import PlatformStoreStandIn
from standins.platform_target import PlatformTargetStandIn, ResponseMode
from tests.soak.proxy import LinkFault, Proxy
from tools.processes import find_ports

HOST = "127.0.0.1"
REGIONS = {"north-1": "north", "south-1": "south"}
INSTANCES = 4
TARGETS = 4
CALLERS = 12
FAULTS_S = 8.0
RECOVERY_S = 15.0
DRAIN_MS = 2_500
CALM_S = 4.0
NOT_RUN = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise and what showed it."""

    promise: str
    detail: str


@dataclass(slots=True)
class Process:
    """One instance's process and its place."""

    name: str
    host: str
    ports: list[int]
    settings: Path
    log: Path
    child: subprocess.Popen[bytes] | None = None
    expected_end: bool = False


@dataclass
class Soak:
    """One run of one seed."""

    seed: int
    folder: Path
    store: PlatformStoreStandIn = field(default_factory=PlatformStoreStandIn)
    targets: list[PlatformTargetStandIn] = field(default_factory=list)
    target_links: list[Proxy] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    unsafe: set[str] = field(default_factory=set)
    troubled_at: float = 0.0
    removed: dict[int, float] = field(default_factory=dict)
    version: int = 1

    def __post_init__(self) -> None:
        """Seed the choice of faults."""
        self.rng = random.Random(self.seed)

    async def run(self) -> list[Violation]:
        """Play the seed and return what was broken."""
        runner = web.AppRunner(self.store.build_app(), shutdown_timeout=0.1)
        store_port, *ports = find_ports(1 + 6)
        await runner.setup()
        await web.TCPSite(runner, HOST, store_port).start()
        self.store_link = Proxy(HOST, store_port)
        await self.store_link.start(HOST)
        leases = asyncio.create_task(self.store.run())
        try:
            await self._start_targets()
            self._put_config()
            for number in range(INSTANCES):
                self._add_instance(number, ports)
            async with aiohttp.ClientSession() as session:
                await self._until_served(session)
                await self._play(session)
                await self._recover(session)
            self._check_runs()
            return self.violations
        finally:
            leases.cancel()
            self._stop()
            await runner.cleanup()

    async def _play(self, session: aiohttp.ClientSession) -> None:
        callers = [asyncio.create_task(self._call_on(session)) for _ in range(CALLERS)]
        faults = [asyncio.create_task(self._disturb()) for _ in range(2)]
        await asyncio.gather(*faults)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)

    async def _start_targets(self) -> None:
        for number in range(TARGETS):
            target = PlatformTargetStandIn(f"t{number}", work_s=0.02)
            await target.start(HOST)
            link = Proxy(HOST, target.port)
            await link.start(HOST)
            self.targets.append(target)
            self.target_links.append(link)
            self._register(number)

    def _register(self, number: int, state: str = "ready") -> None:
        zone = list(REGIONS)[number % len(REGIONS)]
        self.store.put(
            f"servers/t{number}",
            {
                "address": f"{HOST}:{self.target_links[number].port}",
                "information": {"service": "work", "zone": zone, "slots": 8},
                "status": {"state": state, "sequence": 1, "cold_remaining_ms": 0},
            },
        )

    def _put_config(self) -> None:
        self.version += 1
        rules = [
            {
                "name": name,
                "kind": kind,
                "target_latency_ms": 300,
                "priority": 1,
                "sticky": True,
                "match": {"path_prefix": f"/{name}/"},
                "action": {"service": "work", "timeout_ms": 1_000, "attempts": 2},
            }
            for name, kind in (("read", "safe"), ("order", "unsafe"))
        ]
        tenant = {"name": "acme", "api_keys": ["key"], "rate_per_s": 5_000, "burst": 5_000}
        config = {"version": f"r{self.version}", "tenants": [tenant]}
        config["listeners"] = [{"host": "a.example", "rules": rules}]
        config["clusters"] = [{"name": "work"}]
        self.store.put("op/config", config)

    def _add_instance(self, number: int, ports: list[int]) -> None:
        host = f"127.0.7.{number + 1}"
        zone = list(REGIONS)[number % len(REGIONS)]
        settings = self.folder / f"n{number}.toml"
        seeds = ", ".join(f'"127.0.7.{other + 1}:{ports[3]}"' for other in range(INSTANCES))
        zones = "\n".join(f'{name} = "{region}"' for name, region in REGIONS.items())
        settings.write_text(f"""[self]
node_name = "n{number}"
zone = "{zone}"
region = "{REGIONS[zone]}"
[network]
internal_ports = [{ports[4]}, {ports[5]}]
seed_nodes = [{seeds}]
[network.listen]
frontend = "{host}:{ports[0]}"
ready = "{host}:{ports[1]}"
directory = "{host}:{ports[2]}"
control_plane = "{host}:{ports[3]}"
[network.zones]
{zones}
[platform.platform]
address = "{HOST}:{self.store_link.port}"
[terms.bounds]
grace_period_s = 4
""")
        process = Process(f"n{number}", host, ports, settings, self.folder / f"n{number}.log")
        self.processes.append(process)
        self._start(process)

    def _start(self, process: Process) -> None:
        process.expected_end = False
        environment = {"PYTHONPATH": "src", "WAXWINGSHELF_SETTINGS": str(process.settings)}
        with process.log.open("ab") as log:
            process.child = subprocess.Popen(
                [sys.executable, "-m", "waxwingshelf.serving"],
                env={**os.environ, **environment},
                stdout=log,
                stderr=log,
            )

    def _stop(self) -> None:
        for process in self.processes:
            if process.child is not None and process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
        for link in [*self.target_links, self.store_link]:
            link.stop()

    async def _call_on(self, session: aiohttp.ClientSession) -> None:
        while True:
            process = self.rng.choice(self.processes)
            unsafe = self.rng.random() < 0.5
            await self._call(session, process, unsafe)
            await asyncio.sleep(0.01)

    async def _call(self, session: aiohttp.ClientSession, process: Process, unsafe: bool) -> int:
        request_id = f"id-{len(self.answers)}"
        self.answers[request_id] = 0
        if unsafe:
            self.unsafe.add(request_id)
        headers = {
            "Host": "a.example",
            "Attempt-Id": request_id,
            "Affinity-Key": str(self.rng.randrange(20)),
            "Deadline-Ms": "2000",
            "Credential": "key",
        }
        url = f"http://{process.host}:{process.ports[0]}/{'order' if unsafe else 'read'}/x"
        method = "POST" if unsafe else "GET"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(3.0):
                async with session.request(method, url, headers=headers) as response:
                    body = await response.read()
                    self._note_answer(request_id, response.status, body)
        return self.answers[request_id]

    def _note_answer(self, request_id: str, status: int, body: bytes) -> None:
        self.answers[request_id] = status
        if status == 200 and body != f"answer to {request_id}".encode():
            self._report("each caller gets its own whole answer", f"{request_id}: {body!r}")
        if status in (401, 403, 404):
            self._report("what the configuration allows is served", f"{request_id}: {status}")

    async def _disturb(self) -> None:
        end = time.monotonic() + FAULTS_S
        faults = [
            self._kill,
            self._terminate,
            self._pause,
            self._harm_link,
            self._harm_store,
            self._misbehave,
            self._remove_target,
            self._change_config,
        ]
        while time.monotonic() < end:
            await self.rng.choice(faults)()
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def _kill(self) -> None:
        self.troubled_at = time.monotonic()
        for process in self.rng.sample(self.processes, self.rng.choice((1, 1, INSTANCES))):
            self._signal(process, signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self._restart_ended()

    async def _terminate(self) -> None:
        self._signal(self.rng.choice(self.processes), signal.SIGTERM)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def _pause(self) -> None:
        process = self.rng.choice(self.processes)
        if process.child is None or process.child.poll() is not None:
            return
        self.troubled_at = time.monotonic()
        process.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 1.8))
        process.child.send_signal(signal.SIGCONT)
        self.troubled_at = time.monotonic()

    async def _harm_link(self) -> None:
        await self._harm(self.rng.choice(self.target_links))

    async def _harm_store(self) -> None:
        await self._harm(self.store_link)

    async def _harm(self, link: Proxy) -> None:
        self.troubled_at = time.monotonic()
        link.set_fault(self.rng.choice(list(LinkFault)[1:]))
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        link.set_fault(LinkFault.NONE)
        self.troubled_at = time.monotonic()

    async def _misbehave(self) -> None:
        target = self.rng.choice(self.targets)
        target.response_mode = self.rng.choice(list(ResponseMode))
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        target.response_mode = ResponseMode.NORMAL

    async def _remove_target(self) -> None:
        number = self.rng.randrange(TARGETS)
        if self.removed:
            return
        if self.rng.random() < 0.5:
            self._register(number, "draining")
        else:
            self.store.delete(f"servers/t{number}")
        told = self.removed[number] = time.monotonic()
        await asyncio.sleep(DRAIN_MS / 1_000 + 0.3)
        before = len(self.targets[number].request_heads)
        await asyncio.sleep(0.7)
        calm = self.troubled_at < told - CALM_S
        if calm and len(self.targets[number].request_heads) > before:
            self._report("a leaving target gets no new work", f"t{number}")
        self._register(number)
        del self.removed[number]

    async def _change_config(self) -> None:
        self._put_config()

    def _signal(self, process: Process, number: int) -> None:
        if process.child is not None and process.child.poll() is None:
            process.expected_end = True
            process.child.send_signal(number)

    def _restart_ended(self) -> None:
        for process in self.processes:
            if process.child is None or process.child.poll() is None:
                continue
            if not process.expected_end:
                self._report("no process ends by itself", f"{process.name}: {process.log}")
            self._start(process)

    async def _until_served(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(RECOVERY_S):
            for process in self.processes:
                while await self._call(session, process, unsafe=False) != 200:
                    await asyncio.sleep(0.1)

    async def _recover(self, session: aiohttp.ClientSession) -> None:
        """After the last fault every instance serves again."""
        for target in self.targets:
            target.response_mode = ResponseMode.NORMAL
        await asyncio.sleep(0.2)
        deadline = time.monotonic() + RECOVERY_S
        for process in self.processes:
            while await self._call(session, process, unsafe=False) != 200:
                self._restart_ended()
                if time.monotonic() > deadline:
                    self._report("service comes back after the last fault", process.name)
                    return
                await asyncio.sleep(0.2)

    def _check_runs(self) -> None:
        runs: Counter[str] = Counter()
        for target in self.targets:
            runs.update(target.runs)
        for request_id, status in self.answers.items():
            if request_id in self.unsafe and runs[request_id] > 1:
                self._report("an order runs at most once", f"{request_id}: {runs[request_id]}")
            if request_id in self.unsafe and status in NOT_RUN and runs[request_id]:
                self._report("a refusal that says not run is true", f"{request_id}: {status}")
        if not any(status == 200 for status in self.answers.values()):
            self._report("requests are served", "none was")

    def _report(self, promise: str, detail: str) -> None:
        self.violations.append(Violation(promise, detail))


def play_seed(seed: int, folder: Path) -> tuple[list[Violation], dict[str, Any]]:
    """Play one seed; return what was broken and how requests ended."""
    soak = Soak(seed, folder)
    violations = asyncio.run(soak.run())
    return violations, dict(Counter(soak.answers.values()))


def main() -> int:
    """Play the seeds of the command line, or as many fresh ones as asked for."""
    parser = argparse.ArgumentParser(description="Play seeds of the fault soak.")
    parser.add_argument("seeds", type=int, nargs="*")
    parser.add_argument("--fresh", type=int, default=0, help="so many seeds drawn now")
    options = parser.parse_args()
    drawn = random.SystemRandom()
    failed = 0
    for seed in options.seeds + [drawn.randrange(1 << 31) for _ in range(options.fresh)]:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, outcomes = play_seed(seed, folder)
        print(f"seed {seed}: {len(violations)} broken, outcomes {outcomes}", flush=True)
        for violation in violations[:5]:
            print(f"  {violation.promise}: {violation.detail} (logs in {folder})", flush=True)
        failed += bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
