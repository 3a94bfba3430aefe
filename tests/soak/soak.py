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
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from standins.platform_target import ResponseMode
from tests.soak.deployment import (
    DEADLY_TEXT,
    GRACE_PERIOD_S,
    HOST,
    INSTANCES,
    TARGETS,
    Process,
    SoakDeployment,
)
from tests.soak.malformed import MALFORMED_RESPONSES, check_malformed_responses
from tests.soak.outside_values import OutsideWriter
from tests.soak.proxy import LinkFault, Proxy
from tests.soak.refusals import find_broken_guarantees
from tests.soak.silences import check_departed_uploads, check_key_withdrawn_in_silence
from tests.soak.stops import check_rate_after_restart, check_stop_while_requests_wait

CLIENTS = 12
FAULT_PHASE_S = 8.0
RECOVERY_S = 15.0
DRAIN_WAIT_MS = 2_500
QUIET_PERIOD_S = 4.0
CRASHES_TO_QUARANTINE = 3
ALLOWED_RETRIES = 3
QUARANTINE_WAIT_S = 3.0
MAX_STATUS = 599


@dataclass(frozen=True, slots=True)
class Violation:
    """A guarantee that did not hold, and the evidence."""

    guarantee: str
    detail: str


@dataclass
class SoakRun:
    """One soak run with one seed.

    `statuses` maps request ids to response statuses, with 0 for no response. `unsafe_ids` contains
    the ids of requests that must run at most once. `removal_times_s` maps the number of each
    currently removed target to the time of its removal. `deadly_path` is the path
    of the last request that has crashed enough targets to be stopped. `last_failure` tells what
    came of the last request that was not served.
    """

    seed: int
    deployment: SoakDeployment
    violations: list[Violation] = field(default_factory=list)
    statuses: dict[str, int] = field(default_factory=dict)
    unsafe_ids: set[str] = field(default_factory=set)
    last_fault_s: float = 0.0
    removal_times_s: dict[int, float] = field(default_factory=dict)
    deadly_path: str = ""
    last_failure: str = ""

    def __post_init__(self) -> None:
        """Create the seeded random generator."""
        self.rng = random.Random(self.seed)

    async def run(self) -> list[Violation]:
        """Run the soak and return the violations."""
        try:
            await self.deployment.start()
            async with aiohttp.ClientSession() as session:
                await self._wait_until_served(session)
                await self._run_fault_phase(session)
                await self._check_recovery(session)
                await self.finish_stops()
                await self._check_recovery(session)
                await self._check_deadly_request(session)
                await check_key_withdrawn_in_silence(self, session)
                await check_malformed_responses(self, session)
                await check_departed_uploads(self, session)
                await check_stop_while_requests_wait(self, session)
                await check_rate_after_restart(self, session)
                await self._check_recovery(session)
            self._check_runs()
            return self.violations
        finally:
            await self.deployment.stop()

    async def _run_fault_phase(self, session: aiohttp.ClientSession) -> None:
        clients = [asyncio.create_task(self._run_client(session)) for _ in range(CLIENTS)]
        outside_writer = OutsideWriter(self.seed, self.deployment)
        clients.append(asyncio.create_task(outside_writer.run()))
        fault_tasks = [asyncio.create_task(self._inject_faults()) for _ in range(2)]
        await asyncio.gather(*fault_tasks)
        for client in clients:
            client.cancel()
        results = await asyncio.gather(*clients, return_exceptions=True)
        for error in results:
            if isinstance(error, Exception):
                raise error
        for detail in outside_writer.unexpected:
            self.add_violation("no head of a request gets 500", detail)

    async def _run_client(self, session: aiohttp.ClientSession) -> None:
        while True:
            process = self.rng.choice(self.deployment.processes)
            unsafe = self.rng.random() < 0.5
            await self.send_request(session, process, unsafe)
            await asyncio.sleep(0.01)

    async def send_request(
        self,
        session: aiohttp.ClientSession,
        process: Process,
        unsafe: bool,
        path: str = "",
        key: str = "key",
        deadline_ms: int = 2_000,
        body: bytes | None = None,
        may_refuse: bool = False,
    ) -> int:
        """Send a request and return its status, 0 for no response."""
        request_id = f"id-{len(self.statuses)}"
        self.statuses[request_id] = 0
        self.last_failure = "no response"
        if unsafe:
            self.unsafe_ids.add(request_id)
        headers = {
            "Host": "a.example",
            "Attempt-Id": request_id,
            "Affinity-Key": str(self.rng.randrange(20)),
            "Deadline-Ms": str(deadline_ms),
            "Credential": key,
        }
        path = path or f"/{'order' if unsafe else 'read'}/x"
        url = f"http://{process.host}:{process.ports[0]}{path}"
        method = "POST" if unsafe else "GET"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(deadline_ms / 1_000 + 1.0):
                async with session.request(method, url, headers=headers, data=body) as response:
                    content = await response.read()
                    self._record_response(request_id, response.status, content, may_refuse)
        return self.statuses[request_id]

    def _record_response(self, request_id: str, status: int, body: bytes, may_refuse: bool) -> None:
        self.statuses[request_id] = status
        self.last_failure = f"{status} {body[:40]!r}"
        if status == 200 and body != f"answer to {request_id}".encode():
            self.add_violation(
                "each client receives its own complete response", f"{request_id}: {body!r}"
            )
        if status > MAX_STATUS:
            self.add_violation("no client receives a malformed response", f"{request_id}: {status}")
        if status in (401, 403, 404) and not may_refuse:
            self.add_violation(
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
            self._cut_all_targets,
            self._silence_connections,
            self._change_response_mode,
            self._remove_target,
            self._let_target_leave,
            self._change_config,
            self._restore_store,
            self._repeat_responses_late,
            self._send_deadly_requests,
        ]
        while time.monotonic() < end:
            await self.rng.choice(faults)()
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def _kill_processes(self) -> None:
        self.last_fault_s = time.monotonic()
        count = self.rng.choice((1, 1, INSTANCES))
        for process in self.rng.sample(self.deployment.processes, count):
            self.deployment.send_signal(process, signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self.restart_exited()

    async def _terminate_process(self) -> None:
        self.deployment.send_signal(self.rng.choice(self.deployment.processes), signal.SIGTERM)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def _pause_process(self) -> None:
        process = self.rng.choice(self.deployment.processes)
        if process.child is None or process.child.poll() is not None:
            return
        self.last_fault_s = time.monotonic()
        process.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 1.8))
        process.child.send_signal(signal.SIGCONT)
        self.last_fault_s = time.monotonic()

    async def _inject_target_link_fault(self) -> None:
        await self._inject_link_fault(self.rng.choice(self.deployment.target_proxies))

    async def _inject_store_link_fault(self) -> None:
        await self._inject_link_fault(self.deployment.store_proxy)

    async def _inject_link_fault(self, proxy: Proxy) -> None:
        self.last_fault_s = time.monotonic()
        proxy.set_fault(self.rng.choice(list(LinkFault)[1:]))
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        proxy.set_fault(LinkFault.NONE)
        self.last_fault_s = time.monotonic()

    async def _silence_connections(self) -> None:
        """Let open connections go silent for good, while new ones work."""
        self.last_fault_s = time.monotonic()
        proxies = [self.deployment.store_proxy, self.rng.choice(self.deployment.target_proxies)]
        self.rng.choice(proxies).silence_connections()
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))

    async def _cut_all_targets(self) -> None:
        """Let every instance lose its links to all targets."""
        self.last_fault_s = time.monotonic()
        fault = self.rng.choice((LinkFault.SILENT, LinkFault.RESET, None))
        for proxy in self.deployment.target_proxies:
            if fault is None:
                proxy.refuse()
            else:
                proxy.set_fault(fault)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        for proxy in self.deployment.target_proxies:
            await proxy.start(HOST)
            proxy.set_fault(LinkFault.NONE)
        self.last_fault_s = time.monotonic()

    async def _change_response_mode(self) -> None:
        target = self.rng.choice(self.deployment.targets)
        target.raw_response = self.rng.choice(MALFORMED_RESPONSES)
        target.response_mode = self.rng.choice(list(ResponseMode))
        target.pause_s = self.rng.choice((None, 0.5, 2.0))
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        target.response_mode = ResponseMode.NORMAL
        target.pause_s = None

    async def _remove_target(self) -> None:
        number = self.rng.randrange(TARGETS)
        if self.removal_times_s:
            return
        if self.rng.random() < 0.5:
            self.deployment.register(number, "draining")
        else:
            self.deployment.deregister(number)
        removed_s = self.removal_times_s[number] = time.monotonic()
        await asyncio.sleep(DRAIN_WAIT_MS / 1_000 + 0.3)
        count_before = len(self.deployment.targets[number].request_heads)
        await asyncio.sleep(0.7)
        no_recent_fault = self.last_fault_s < removed_s - QUIET_PERIOD_S
        if no_recent_fault and len(self.deployment.targets[number].request_heads) > count_before:
            self.add_violation("a removed target receives no new requests", f"t{number}")
        self.deployment.register(number)
        del self.removal_times_s[number]

    async def _let_target_leave(self) -> None:
        """Let a target's responses say that it is leaving, while its entry says that it is ready.

        Each instance may learn of it with a few requests.
        """
        number = self.rng.randrange(TARGETS)
        if self.removal_times_s:
            return
        target = self.deployment.targets[number]
        target.leaving = True
        left_s = self.removal_times_s[number] = time.monotonic()
        await asyncio.sleep(1.0)
        count_before = len(target.request_heads)
        await asyncio.sleep(0.7)
        no_recent_fault = self.last_fault_s < left_s - QUIET_PERIOD_S
        sent = len(target.request_heads) - count_before
        if no_recent_fault and sent > 2 * INSTANCES:
            self.add_violation("a leaving target receives no new requests", f"t{number}: {sent}")
        target.leaving = False
        self.deployment.start_new_run(number)
        del self.removal_times_s[number]

    async def _repeat_responses_late(self) -> None:
        """Let all targets send a second copy of a response before the next on its connection."""
        for target in self.deployment.targets:
            target.repeats_late = True
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        for target in self.deployment.targets:
            target.repeats_late = False

    async def _send_deadly_requests(self) -> None:
        """Send copies of a request that crashes targets; each kind is a request of its own."""
        self.last_fault_s = time.monotonic()
        path = f"/read/{DEADLY_TEXT}-{len(self.statuses)}"
        crashes_before = self._count_crashes()
        async with aiohttp.ClientSession() as session:
            for _ in range(self.rng.randrange(10, 40)):
                process = self.rng.choice(self.deployment.processes)
                await self.send_request(session, process, unsafe=False, path=path)
                await asyncio.sleep(0.05)
        if self._count_crashes() - crashes_before >= CRASHES_TO_QUARANTINE:
            self.deadly_path = path
        self.last_fault_s = time.monotonic()

    def _count_crashes(self) -> int:
        return sum(target.crashes for target in self.deployment.targets)

    async def _change_config(self) -> None:
        self.deployment.change_config()

    async def _restore_store(self) -> None:
        """Let the store be away, come back from an older copy, and be written to again."""
        snapshot = self.deployment.store.take_snapshot()
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        self.last_fault_s = time.monotonic()
        self.deployment.store_proxy.set_fault(LinkFault.RESET)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.deployment.store.restore(snapshot)
        self.deployment.store_proxy.set_fault(LinkFault.NONE)
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        self.deployment.write_again()
        self.last_fault_s = time.monotonic()

    def restart_exited(self) -> None:
        """Start the processes that have exited."""
        for process in self.deployment.restart_exited():
            self.add_violation("no process exits unexpectedly", f"{process.name}: {process.log}")

    async def finish_stops(self) -> None:
        """Wait until the processes that are still stopping have exited, and start them again.

        A stopping instance serves for a while, and so it looks as if it had recovered.
        """
        deadline_s = time.monotonic() + GRACE_PERIOD_S
        while stopping := self.deployment.list_stopping():
            if time.monotonic() > deadline_s:
                names = ", ".join(process.name for process in stopping)
                self.add_violation("a planned stop ends within its grace period", names)
                return
            await asyncio.sleep(0.1)
        self.restart_exited()

    async def _wait_until_served(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(RECOVERY_S):
            for process in self.deployment.processes:
                while await self.send_request(session, process, unsafe=False) != 200:
                    await asyncio.sleep(0.1)

    async def _check_recovery(self, session: aiohttp.ClientSession) -> None:
        """Check that every instance serves again after the last fault."""
        for target in self.deployment.targets:
            target.response_mode = ResponseMode.NORMAL
        await asyncio.sleep(0.2)
        deadline = time.monotonic() + RECOVERY_S
        for process in self.deployment.processes:
            failures: Counter[str] = Counter()
            while await self.send_request(session, process, unsafe=False) != 200:
                failures[self.last_failure] += 1
                self.restart_exited()
                if time.monotonic() > deadline:
                    detail = f"{process.name}: {dict(failures)}"
                    self.add_violation("service recovers after the last fault", detail)
                    return
                await asyncio.sleep(0.2)

    async def _check_deadly_request(self, session: aiohttp.ClientSession) -> None:
        """Check that a request that has crashed targets is not sent any more."""
        if not self.deadly_path:
            return
        await asyncio.sleep(QUARANTINE_WAIT_S)
        before = self._count_crashes()
        for process in self.deployment.processes * 3:
            await self.send_request(session, process, unsafe=False, path=self.deadly_path)
        crashes = self._count_crashes() - before
        if crashes > ALLOWED_RETRIES:
            self.add_violation(
                "a request that crashes targets is stopped", f"{self.deadly_path}: {crashes}"
            )

    def _check_runs(self) -> None:
        statuses = {request_id: self.statuses[request_id] for request_id in self.unsafe_ids}
        for request_id, detail in find_broken_guarantees(statuses, self.deployment.targets).items():
            self.add_violation(
                "an order runs at most once, and not if it was refused", f"{request_id}: {detail}"
            )
        if not any(status == 200 for status in self.statuses.values()):
            self.add_violation("requests are served", "no request was served")

    def add_violation(self, guarantee: str, detail: str) -> None:
        """Record a guarantee that did not hold."""
        self.violations.append(Violation(guarantee, detail))


def run_seed(seed: int, folder: Path) -> tuple[list[Violation], dict[str, Any]]:
    """Run the soak with a seed; return the violations and the number of requests by status."""
    soak = SoakRun(seed, SoakDeployment(folder))
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
