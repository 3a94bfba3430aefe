"""Look for requests that ran although they had been refused, under overload and stalls.

Run `python -m tests.soak.refusals SEED...`. More instances than in the soak serve more callers than
the targets can take, beside busy processes. Meanwhile instances stand still, stop, end, and lose
their links to all targets; targets reject, repeat rejections late, and restart under new ids at
their addresses; instances lose the links to each other and to the store. At the end, the answers
that callers got are compared with what targets ran.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from standins.platform_target import PlatformTargetStandIn, ResponseMode
from tests.serving.target_links import open_unresponsive_port, reserve_refusing_port
from tests.soak.deployment import Process, SoakDeployment
from tests.soak.proxy import LinkFault

__all__ = ["RefusalRun", "find_broken_guarantees"]

_NOT_RUN_STATUSES = (408, 421, 429, 503)
_FAULT_TASKS = 5
_SLOTS = 3
_QUEUE_LENGTH = 4
_WORK_S = 0.05
_START_TIMEOUT_S = 60.0
# Longer than any deadline, so that whatever may still run has run.
_LAST_RUNS_S = 4.0
_LARGE_BODY_BYTES = 3 * 1024 * 1024
_BUSY_PROGRAM = """
import time
end_s = time.monotonic() + 300
while time.monotonic() < end_s:
    pass
"""


def find_broken_guarantees(
    statuses: dict[str, int], targets: list[PlatformTargetStandIn]
) -> dict[str, str]:
    """Return the requests that ran although refused, or twice, each with its sends.

    `statuses` has the answers, 0 for none, of the requests that must run at most once.
    """
    arrivals = [arrival for target in targets for arrival in target.arrivals]
    runs = Counter(arrival.request_id for arrival in arrivals if arrival.ran)
    broken: dict[str, str] = {}
    for request_id, count in runs.items():
        status = statuses.get(request_id)
        if status is None or (status not in _NOT_RUN_STATUSES and count == 1):
            continue
        sends = [
            f"{arrival.target_id}#{arrival.connection}:{'ran' if arrival.ran else 'rejected'}"
            for arrival in arrivals
            if arrival.request_id == request_id
        ]
        broken[request_id] = f"status {status}, arrivals {' '.join(sends)}"
    return broken


@dataclass
class RefusalRun:
    """One run with one seed.

    `statuses` has the status of each answer, 0 for none, to requests that must run at most once,
    `read_statuses` those to the others.
    """

    seed: int
    deployment: SoakDeployment
    callers: int = 60
    busy_processes: int = 8
    duration_s: float = 20.0
    repeats_rejections: bool = True
    statuses: dict[str, int] = field(default_factory=dict)
    read_statuses: dict[str, int] = field(default_factory=dict)
    _unresponsive_port: int = 0
    _refusing_port: int = 0

    def __post_init__(self) -> None:
        """Create the seeded random generator."""
        self.rng = random.Random(self.seed)

    async def run(self) -> dict[str, str]:
        """Run, and return the broken guarantees."""
        busy = [_start_busy_process() for _ in range(self.busy_processes)]
        ports = contextlib.ExitStack()
        self._unresponsive_port = ports.enter_context(open_unresponsive_port())
        self._refusing_port = ports.enter_context(reserve_refusing_port()).getsockname()[1]
        try:
            await self.deployment.start()
            for target in self.deployment.targets:
                target.slots, target.queue_length = _SLOTS, _QUEUE_LENGTH
                target.work_s = _WORK_S
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as session:
                await self._wait_until_served(session)
                await self._play(session)
            await asyncio.sleep(_LAST_RUNS_S)
            return find_broken_guarantees(self.statuses, self.deployment.targets)
        finally:
            for child in busy:
                child.kill()
                child.wait()
            await self.deployment.stop()
            ports.close()

    async def _wait_until_served(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(_START_TIMEOUT_S):
            for process in self.deployment.processes:
                while await self._send(session, process, "read", None) != 200:
                    await asyncio.sleep(0.1)

    async def _play(self, session: aiohttp.ClientSession) -> None:
        end_s = time.monotonic() + self.duration_s
        callers = [self._call_until(session, end_s) for _ in range(self.callers)]
        faults = [self._inject_until(end_s) for _ in range(_FAULT_TASKS)]
        await asyncio.gather(*callers, *faults)

    async def _call_until(self, session: aiohttp.ClientSession, end_s: float) -> None:
        while time.monotonic() < end_s:
            process = self.rng.choice(self.deployment.processes)
            kind = self.rng.choice(("order", "order", "order", "patient", "read"))
            body: bytes | None = None
            if kind != "read":
                is_large = self.rng.random() < 0.03
                body = b"x" * self.rng.randrange(_LARGE_BODY_BYTES if is_large else 8_000)
            await self._send(session, process, kind, body)
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))

    async def _send(
        self, session: aiohttp.ClientSession, process: Process, kind: str, body: bytes | None
    ) -> int:
        statuses = self.read_statuses if kind == "read" else self.statuses
        request_id = f"{kind}-{len(statuses)}"
        statuses[request_id] = 0
        deadline_ms = self.rng.choice((300, 1_000, 2_500))
        headers = {
            "Host": "a.example",
            "Attempt-Id": request_id,
            "Affinity-Key": str(self.rng.randrange(20)),
            "Deadline-Ms": str(deadline_ms),
            "Credential": "key",
        }
        if self.rng.random() < 0.3:
            headers["Connection"] = "close"
        method = "GET" if kind == "read" else "POST"
        url = f"http://{process.host}:{process.ports[0]}/{kind}/x"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(deadline_ms / 1_000 + 1.0):
                async with session.request(method, url, headers=headers, data=body) as response:
                    await response.read()
                    statuses[request_id] = response.status
        return statuses[request_id]

    async def _inject_until(self, end_s: float) -> None:
        faults = [
            self._pause_processes,
            self._pause_processes,
            self._cut_instances,
            self._cut_instances,
            self._cut_peers,
            self._cut_store,
            self._change_settings,
            self._end_process,
            self._change_response_mode,
            self._repeat,
            self._restart_target,
        ]
        while time.monotonic() < end_s:
            await self.rng.choice(faults)()
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))

    async def _pause_processes(self) -> None:
        chosen = self.rng.sample(self.deployment.processes, self.rng.choice((1, 2, 3)))
        children = [process.child for process in chosen if process.child is not None]
        for child in children:
            child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.05, 2.0))
        for child in children:
            child.send_signal(signal.SIGCONT)

    async def _cut_instances(self) -> None:
        """Let some instances lose their links to all targets; open connections may live on."""
        chosen = self.rng.sample(self.deployment.processes, self.rng.choice((1, 2, 3)))
        fault = self.rng.choice((LinkFault.SILENT, LinkFault.RESET, LinkFault.NONE))
        port = self._unresponsive_port if fault is LinkFault.SILENT else self._refusing_port
        for process in chosen:
            process.cut.write_text(str(port))
            for proxy in self.deployment.target_proxies:
                proxy.cut_host(process.host, fault)
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        for process in chosen:
            process.cut.unlink(missing_ok=True)
            for proxy in self.deployment.target_proxies:
                proxy.cut_host(process.host, LinkFault.NONE)

    async def _cut_peers(self) -> None:
        """Let some instances lose the links to the others, or the others those to them."""
        chosen = self.rng.sample(self.deployment.processes, self.rng.choice((1, 2, 3)))
        hosts = {process.host for process in chosen}
        fault = self.rng.choice((LinkFault.SILENT, LinkFault.RESET))
        outwards = self.rng.random() < 0.5
        proxies = self.deployment.peer_proxies
        if not outwards:
            proxies = [
                proxy
                for process, proxy in zip(self.deployment.processes, proxies, strict=True)
                if process.host in hosts
            ]
            hosts = {process.host for process in self.deployment.processes}
        for proxy in proxies:
            for host in hosts:
                proxy.cut_host(host, fault)
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        for proxy in proxies:
            for host in hosts:
                proxy.cut_host(host, LinkFault.NONE)

    async def _cut_store(self) -> None:
        self.deployment.store_proxy.set_fault(self.rng.choice(list(LinkFault)[1:]))
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.deployment.store_proxy.set_fault(LinkFault.NONE)

    async def _change_settings(self) -> None:
        """Change the configuration, and let some instances read their settings again."""
        self.deployment.change_config()
        for process in self.rng.sample(self.deployment.processes, 2):
            if process.child is not None and process.child.poll() is None:
                process.child.send_signal(signal.SIGHUP)

    async def _end_process(self) -> None:
        process = self.rng.choice(self.deployment.processes)
        self.deployment.send_signal(
            process, self.rng.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGKILL))
        )
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self.deployment.restart_exited()

    async def _change_response_mode(self) -> None:
        modes = (
            ResponseMode.SHED,
            ResponseMode.FAIL,
            ResponseMode.RESET,
            ResponseMode.EXTRA,
            ResponseMode.CUT,
        )
        chosen = self.rng.sample(self.deployment.targets, 2)
        mode = self.rng.choice(modes)
        for target in chosen:
            target.response_mode = mode
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        for target in chosen:
            target.response_mode = ResponseMode.NORMAL

    async def _repeat(self) -> None:
        for target in self.deployment.targets:
            target.repeats_late = True
            target.repeats_rejections = self.repeats_rejections
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        for target in self.deployment.targets:
            target.repeats_late = target.repeats_rejections = False

    async def _restart_target(self) -> None:
        """Let a target restart under a new id; its old entry stays for a while."""
        number = self.rng.randrange(len(self.deployment.targets))
        target = self.deployment.targets[number]
        old_id = target.id
        target.restart_as(f"t{number}-{len(self.statuses)}")
        self.deployment.register(number)
        await asyncio.sleep(self.rng.uniform(0.5, 4.5))
        self.deployment.store.delete(f"servers/{old_id}")


def _start_busy_process() -> subprocess.Popen[bytes]:
    """Start a process that keeps one core busy, for a limited time in any case."""
    return subprocess.Popen([sys.executable, "-c", _BUSY_PROGRAM])


def _print_logs(folder: Path, request_id: str) -> None:
    for log in sorted(folder.glob("n*.log")):
        for line in log.read_text(errors="replace").splitlines():
            if f'"{request_id}"' in line:
                print(f"    {log.name} {line[:600]}")


def main() -> int:
    """Run with the given seeds."""
    parser = argparse.ArgumentParser(description="Look for refused requests that ran.")
    parser.add_argument("seeds", type=int, nargs="+")
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--targets", type=int, default=6)
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--busy", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--old", type=Path, help="sources of a part of the instances")
    parser.add_argument("--old-step", type=int, default=2, help="each so many instances are old")
    parser.add_argument("--honest", action="store_true", help="rejections are not repeated")
    options = parser.parse_args()
    failed = 0
    for seed in options.seeds:
        folder = Path(tempfile.mkdtemp(prefix=f"refusals-{seed}-"))
        deployment = SoakDeployment(
            folder, options.instances, options.targets, "tests.soak.bound_instance"
        )
        if options.old:
            deployment.source_folders = dict.fromkeys(
                range(0, options.instances, options.old_step), options.old
            )
        run = RefusalRun(
            seed,
            deployment,
            options.callers,
            options.busy,
            options.seconds,
            not options.honest,
        )
        broken = asyncio.run(run.run())
        counts = dict(sorted(Counter(run.statuses.values()).items()))
        print(f"seed {seed}: {len(broken)} broken, statuses {counts}, logs in {folder}", flush=True)
        for request_id, detail in list(broken.items())[:5]:
            print(f"  {request_id}: {detail}")
            _print_logs(folder, request_id)
        failed += bool(broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
