"""A randomized soak test that injects faults into real processes and checks their guarantees.

Run `make soak` for many seeds or `python -m tests.soak.soak SEED...` for given seeds. Each instance
is a separate process with its own loopback address. The store and the targets are stand-ins in this
process; instances reach them through proxies. Faults are injected and guarantees are checked only
from outside the instances. The soak signals only processes that it started.
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
CLIENTS = 12
FAULT_PHASE_S = 8.0
RECOVERY_S = 15.0
DRAIN_WAIT_MS = 2_500
QUIET_PERIOD_S = 4.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class Violation:
    """A guarantee that did not hold, and the evidence."""

    guarantee: str
    detail: str


@dataclass(slots=True)
class Process:
    """The process of one instance with its address, settings file and log file."""

    name: str
    host: str
    ports: list[int]
    settings: Path
    log: Path
    child: subprocess.Popen[bytes] | None = None
    expected_exit: bool = False


@dataclass
class SoakRun:
    """One soak run with one seed.

    `statuses` maps request ids to response statuses, with 0 for no response. `unsafe_ids` contains
    the ids of requests that must run at most once. `removal_times_s` maps the number of each
    currently removed target to the time of its removal.
    """

    seed: int
    folder: Path
    store: PlatformStoreStandIn = field(default_factory=PlatformStoreStandIn)
    targets: list[PlatformTargetStandIn] = field(default_factory=list)
    target_proxies: list[Proxy] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    statuses: dict[str, int] = field(default_factory=dict)
    unsafe_ids: set[str] = field(default_factory=set)
    last_fault_s: float = 0.0
    removal_times_s: dict[int, float] = field(default_factory=dict)
    config_version: int = 1
    entry_number: int = 0
    entry_states: dict[int, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the seeded random generator."""
        self.rng = random.Random(self.seed)

    async def run(self) -> list[Violation]:
        """Run the soak and return the violations."""
        runner = web.AppRunner(self.store.build_app(), shutdown_timeout=0.1)
        store_port, *ports = find_ports(1 + 6)
        await runner.setup()
        await web.TCPSite(runner, HOST, store_port).start()
        self.store_proxy = Proxy(HOST, store_port)
        await self.store_proxy.start(HOST)
        lease_task = asyncio.create_task(self.store.run())
        try:
            await self._start_targets()
            self._change_config_now()
            for number in range(INSTANCES):
                self._add_instance(number, ports)
            async with aiohttp.ClientSession() as session:
                await self._wait_until_served(session)
                await self._run_fault_phase(session)
                await self._check_recovery(session)
            self._check_runs()
            return self.violations
        finally:
            lease_task.cancel()
            self._stop_all()
            await runner.cleanup()

    async def _run_fault_phase(self, session: aiohttp.ClientSession) -> None:
        clients = [asyncio.create_task(self._run_client(session)) for _ in range(CLIENTS)]
        fault_tasks = [asyncio.create_task(self._inject_faults()) for _ in range(2)]
        await asyncio.gather(*fault_tasks)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    async def _start_targets(self) -> None:
        for number in range(TARGETS):
            target = PlatformTargetStandIn(f"t{number}", work_s=0.02)
            await target.start(HOST)
            proxy = Proxy(HOST, target.port)
            await proxy.start(HOST)
            self.targets.append(target)
            self.target_proxies.append(proxy)
            self._register(number)

    def _register(self, number: int, state: str = "ready") -> None:
        self.entry_number += 1
        self.entry_states[number] = state
        zone = list(REGIONS)[number % len(REGIONS)]
        self.store.put(
            f"servers/t{number}",
            {
                "address": f"{HOST}:{self.target_proxies[number].port}",
                "information": {"service": "work", "zone": zone, "slots": 8},
                "status": {"state": state, "sequence": self.entry_number, "cold_remaining_ms": 0},
            },
        )

    def _deregister(self, number: int) -> None:
        self.entry_states.pop(number, None)
        self.store.delete(f"servers/t{number}")

    def _put_config(self) -> None:
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
        config = {"version": f"r{self.config_version}", "tenants": [tenant]}
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
address = "{HOST}:{self.store_proxy.port}"
[terms.bounds]
grace_period_s = 4
""")
        process = Process(f"n{number}", host, ports, settings, self.folder / f"n{number}.log")
        self.processes.append(process)
        self._start(process)

    def _start(self, process: Process) -> None:
        process.expected_exit = False
        environment = {"PYTHONPATH": "src", "WAXWINGSHELF_SETTINGS": str(process.settings)}
        with process.log.open("ab") as log:
            process.child = subprocess.Popen(
                [sys.executable, "-m", "waxwingshelf.serving"],
                env={**os.environ, **environment},
                stdout=log,
                stderr=log,
            )

    def _stop_all(self) -> None:
        for process in self.processes:
            if process.child is not None and process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
        for proxy in [*self.target_proxies, self.store_proxy]:
            proxy.stop()

    async def _run_client(self, session: aiohttp.ClientSession) -> None:
        while True:
            process = self.rng.choice(self.processes)
            unsafe = self.rng.random() < 0.5
            await self._send_request(session, process, unsafe)
            await asyncio.sleep(0.01)

    async def _send_request(
        self, session: aiohttp.ClientSession, process: Process, unsafe: bool
    ) -> int:
        request_id = f"id-{len(self.statuses)}"
        self.statuses[request_id] = 0
        if unsafe:
            self.unsafe_ids.add(request_id)
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
                    self._record_response(request_id, response.status, body)
        return self.statuses[request_id]

    def _record_response(self, request_id: str, status: int, body: bytes) -> None:
        self.statuses[request_id] = status
        if status == 200 and body != f"answer to {request_id}".encode():
            self._add_violation(
                "each client receives its own complete response", f"{request_id}: {body!r}"
            )
        if status in (401, 403, 404):
            self._add_violation(
                "requests that the configuration allows are served", f"{request_id}: {status}"
            )

    async def _inject_faults(self) -> None:
        end = time.monotonic() + FAULT_PHASE_S
        faults = [
            self._kill_processes,
            self._terminate_process,
            self._pause_process,
            self._inject_target_link_fault,
            self._inject_store_link_fault,
            self._change_response_mode,
            self._remove_target,
            self._change_config,
            self._restore_store,
        ]
        while time.monotonic() < end:
            await self.rng.choice(faults)()
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def _kill_processes(self) -> None:
        self.last_fault_s = time.monotonic()
        for process in self.rng.sample(self.processes, self.rng.choice((1, 1, INSTANCES))):
            self._signal(process, signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self._restart_exited()

    async def _terminate_process(self) -> None:
        self._signal(self.rng.choice(self.processes), signal.SIGTERM)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def _pause_process(self) -> None:
        process = self.rng.choice(self.processes)
        if process.child is None or process.child.poll() is not None:
            return
        self.last_fault_s = time.monotonic()
        process.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 1.8))
        process.child.send_signal(signal.SIGCONT)
        self.last_fault_s = time.monotonic()

    async def _inject_target_link_fault(self) -> None:
        await self._inject_link_fault(self.rng.choice(self.target_proxies))

    async def _inject_store_link_fault(self) -> None:
        await self._inject_link_fault(self.store_proxy)

    async def _inject_link_fault(self, proxy: Proxy) -> None:
        self.last_fault_s = time.monotonic()
        proxy.set_fault(self.rng.choice(list(LinkFault)[1:]))
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        proxy.set_fault(LinkFault.NONE)
        self.last_fault_s = time.monotonic()

    async def _change_response_mode(self) -> None:
        target = self.rng.choice(self.targets)
        target.response_mode = self.rng.choice(list(ResponseMode))
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        target.response_mode = ResponseMode.NORMAL

    async def _remove_target(self) -> None:
        number = self.rng.randrange(TARGETS)
        if self.removal_times_s:
            return
        if self.rng.random() < 0.5:
            self._register(number, "draining")
        else:
            self._deregister(number)
        removed_s = self.removal_times_s[number] = time.monotonic()
        await asyncio.sleep(DRAIN_WAIT_MS / 1_000 + 0.3)
        count_before = len(self.targets[number].request_heads)
        await asyncio.sleep(0.7)
        no_recent_fault = self.last_fault_s < removed_s - QUIET_PERIOD_S
        if no_recent_fault and len(self.targets[number].request_heads) > count_before:
            self._add_violation("a removed target receives no new requests", f"t{number}")
        self._register(number)
        del self.removal_times_s[number]

    async def _change_config(self) -> None:
        self._change_config_now()

    def _change_config_now(self) -> None:
        self.config_version += 1
        self._put_config()

    async def _restore_store(self) -> None:
        """Let the store be away, come back from an older copy, and be written to again."""
        snapshot = self.store.take_snapshot()
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        self.last_fault_s = time.monotonic()
        self.store_proxy.set_fault(LinkFault.RESET)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.store.restore(snapshot)
        self.store_proxy.set_fault(LinkFault.NONE)
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        self._put_config()
        for number in range(TARGETS):
            if number in self.entry_states:
                self._register(number, self.entry_states[number])
            else:
                self._deregister(number)
        self.last_fault_s = time.monotonic()

    def _signal(self, process: Process, signal_number: int) -> None:
        if process.child is not None and process.child.poll() is None:
            process.expected_exit = True
            process.child.send_signal(signal_number)

    def _restart_exited(self) -> None:
        for process in self.processes:
            if process.child is None or process.child.poll() is None:
                continue
            if not process.expected_exit:
                self._add_violation(
                    "no process exits unexpectedly", f"{process.name}: {process.log}"
                )
            self._start(process)

    async def _wait_until_served(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(RECOVERY_S):
            for process in self.processes:
                while await self._send_request(session, process, unsafe=False) != 200:
                    await asyncio.sleep(0.1)

    async def _check_recovery(self, session: aiohttp.ClientSession) -> None:
        """Check that every instance serves again after the last fault."""
        for target in self.targets:
            target.response_mode = ResponseMode.NORMAL
        await asyncio.sleep(0.2)
        deadline = time.monotonic() + RECOVERY_S
        for process in self.processes:
            while await self._send_request(session, process, unsafe=False) != 200:
                self._restart_exited()
                if time.monotonic() > deadline:
                    self._add_violation("service recovers after the last fault", process.name)
                    return
                await asyncio.sleep(0.2)

    def _check_runs(self) -> None:
        runs: Counter[str] = Counter()
        for target in self.targets:
            runs.update(target.runs)
        for request_id, status in self.statuses.items():
            if request_id in self.unsafe_ids and runs[request_id] > 1:
                self._add_violation(
                    "an order runs at most once", f"{request_id}: {runs[request_id]} runs"
                )
            if request_id in self.unsafe_ids and status in NOT_RUN_STATUSES and runs[request_id]:
                self._add_violation(
                    "a request reported as not run did not run", f"{request_id}: {status}"
                )
        if not any(status == 200 for status in self.statuses.values()):
            self._add_violation("requests are served", "no request was served")

    def _add_violation(self, guarantee: str, detail: str) -> None:
        self.violations.append(Violation(guarantee, detail))


def run_seed(seed: int, folder: Path) -> tuple[list[Violation], dict[str, Any]]:
    """Run the soak with a seed; return the violations and the number of requests by status."""
    soak = SoakRun(seed, folder)
    violations = asyncio.run(soak.run())
    return violations, dict(Counter(soak.statuses.values()))


def main() -> int:
    """Run the soak with the given seeds and the requested number of new seeds."""
    parser = argparse.ArgumentParser(description="Run the soak test with one or more seeds.")
    parser.add_argument("seeds", type=int, nargs="*")
    parser.add_argument("--fresh", type=int, default=0, help="number of new random seeds to run")
    options = parser.parse_args()
    system_random = random.SystemRandom()
    failed = 0
    for seed in options.seeds + [system_random.randrange(1 << 31) for _ in range(options.fresh)]:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, status_counts = run_seed(seed, folder)
        print(f"seed {seed}: {len(violations)} violations, statuses {status_counts}", flush=True)
        for violation in violations[:5]:
            print(f"  {violation.guarantee}: {violation.detail} (logs in {folder})", flush=True)
        failed += bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
