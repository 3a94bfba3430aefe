"""A small deployment of real instances on loopback addresses, with stand-ins around them.

The platform's store is the project's own stand-in. Servers and clients are written here with plain
sockets: they follow PROTOCOL.md, and a case replaces the one behaviour that it is about. Every
event is kept with its time and written to record.txt at the end.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

from standins.platform_store import PlatformStoreStandIn, StoreFault
from tools.processes import find_ports

__all__ = [
    "HOST",
    "Answer",
    "Deployment",
    "Head",
    "Server",
    "build_answer",
    "is_troubled",
    "play",
    "read_head",
    "send",
]

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
MAX_RUN_S = 115.0
# The store begins to refuse calls this long before the instances start again.
STORE_LEAD_S = 0.1
ZONES = {"cluj-a": "transilvania", "ploiesti-a": "muntenia", "iasi-a": "moldova"}


def is_troubled() -> bool:
    """Return whether the disruption of the case is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass(slots=True)
class Head:
    """The first line and the headers, by lower-case name, of a request or an answer."""

    first_line: str
    headers: dict[str, str]


@dataclass(slots=True)
class Answer:
    """What a client saw: the status, or 0 if the connection ended without a complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    sent_s: float
    ended_s: float


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read up to the empty line; raise `IncompleteReadError` if the connection ends before."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = text.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Head(first_line, {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append(await reader.readexactly(size))
        await reader.readuntil(b"\r\n")
    await reader.readuntil(b"\r\n")
    return b"".join(parts)


def build_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A sound server with slots and a queue; one request at a time on each connection."""

    def __init__(self, deployment: Deployment, name: str, service: str, zone: str) -> None:
        self.deployment = deployment
        self.id, self.service, self.zone = name, service, zone
        self.slots, self.queue, self.work_s = 3, 9, 1.04
        # Seconds of `Retry-After` in a rejection, if the server states them.
        self.retry_after_s: float | None = None
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.port = 0
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, and write the entry."""
        self.listener = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the entry into the store."""
        entry = {
            "address": f"{HOST}:{self.port}",
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": 1, "cold_remaining_ms": 0},
            "born": self.deployment.born_ms,
        }
        self.deployment.store.put(f"servers/{self.id}", entry)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it ends."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self.handle(reader, writer):
                pass
        writer.close()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        head = await read_head(reader)
        body = await read_body(reader, head.headers)
        name = head.headers.get("attempt-id", "")
        if head.headers.get("expected-instance", self.id) != self.id:
            writer.write(build_answer(421, {"Instance-Id": self.id}))
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            self.deployment.record("shed", name, server=self.id)
            writer.write(self.build_rejection(name))
            return True
        self.deployment.record("arrived", name, server=self.id)
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            self.deployment.record("run", name, server=self.id, line=head.first_line)
            await asyncio.sleep(self.work_s)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify_all()
        self.deployment.record("done", name, server=self.id)
        writer.write(self.build_success(name, body))
        return True

    def describe(self) -> dict[str, str]:
        """Return the headers in which the server tells of itself."""
        return {"Server-Load": f"{self.running},{self.waiting},{self.slots}"}

    def build_rejection(self, name: str) -> bytes:
        """Return the answer to a request that was not run, since the server is full."""
        headers = {"Attempt-Id": name, "Not-Executed": "1", **self.describe()}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
        return build_answer(503, headers)

    def build_success(self, name: str, body: bytes) -> bytes:
        """Return the answer to a request that has run."""
        headers = {"Attempt-Id": name, "Server-Signature": f"proof-{name}", **self.describe()}
        return build_answer(200, headers, f"answer to {name}, {len(body)} bytes".encode())


@dataclass(slots=True)
class Instance:
    """One process of the project, with its addresses."""

    name: str
    host: str
    ports: list[int]
    settings: Path
    log: Path
    child: subprocess.Popen[bytes] | None = None
    signalled: list[str] = field(default_factory=list)


class Deployment:
    """The store, the servers and the instances of one run."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.started_s = time.monotonic()
        self.born_ms = int(time.time() * 1_000)
        self.store = PlatformStoreStandIn()
        self.store_port = 0
        self.instances: list[Instance] = []
        self.events: list[dict[str, Any]] = []
        self.bounds: dict[str, Any] = {
            "stability_window_ms": 3000,
            "drain_timeout_ms": 2500,
            "grace_period_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 2500,
            "retry_budget_ratio": 0.2,
            "retry_budget_slack": 56,
            "cold_overage": 1.5,
            "cold_slack": 5,
            "quota_slack": 20,
            "ttl_max_s": 5,
        }
        self.closers: list[Callable[[], Awaitable[None]]] = []

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_s

    def record(self, what: str, name: str = "", **details: Any) -> None:
        """Keep an event."""
        event = {"at": round(self.now(), 3), "what": what, "name": name, **details}
        self.events.append(event)

    async def start_store(self) -> None:
        """Start the platform's store."""
        runner = web.AppRunner(self.store.build_app(), shutdown_timeout=0.1)
        await runner.setup()
        (self.store_port,) = find_ports(1)
        await web.TCPSite(runner, HOST, self.store_port).start()
        leases = asyncio.create_task(self.store.run())

        async def close() -> None:
            leases.cancel()
            await runner.cleanup()

        self.closers.append(close)

    def put_config(
        self,
        rules: list[dict[str, Any]],
        services: list[str],
        number: int = 7,
        tenant_values: dict[str, Any] | None = None,
    ) -> None:
        """Write a configuration with one host, one tenant and these rules."""
        tenant = {"name": "foundry", "api_keys": ["key-1"], "rate_per_s": 0, "burst": 0}
        tenant.update(tenant_values or {})
        clusters = [{"name": name, "health_path": "/health"} for name in services]
        config = {
            "version": f"r{number}",
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [tenant],
            "listeners": [{"host": "hulo84.example", "rules": rules}],
            "clusters": clusters,
        }
        self.store.put("op/config", config)

    def add_instances(self, count: int) -> None:
        """Start instances, one a zone in turn."""
        ports = find_ports(6)
        hosts = [f"127.41.{os.getpid() % 250}.{number + 1}" for number in range(count)]
        for number, host in enumerate(hosts):
            zone = list(ZONES)[number % len(ZONES)]
            name = f"frontend-{zone}-{number + 1}"
            path = self.folder / f"{name}.toml"
            path.write_text(self._build_settings(name, zone, host, hosts, ports))
            instance = Instance(name, host, ports, path, self.folder / f"{name}.log")
            self.instances.append(instance)
            self.launch(instance)

    def launch(self, instance: Instance) -> None:
        """Start the process of an instance with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WAXWINGSHELF_SETTINGS": str(instance.settings),
        }
        with instance.log.open("ab") as log:
            instance.child = subprocess.Popen(
                ["python3", "-OO", "deploy/instance.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record("started", instance.name)

    def signal(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal to a process that this run started."""
        assert instance.child is not None
        instance.signalled.append(number.name)
        self.record("signal", instance.name, signal=number.name)
        instance.child.send_signal(number)

    async def restart_all_without_store(self, down_s: float, outage_s: float) -> None:
        """Let all instances lose power for `down_s`, and the store be away when they come back.

        The store refuses all calls for `outage_s`, and its leases run out meanwhile.
        """
        for instance in self.instances:
            self.signal(instance, signal.SIGKILL)
        for instance in self.instances:
            assert instance.child is not None
            instance.child.wait()
        await asyncio.sleep(down_s - STORE_LEAD_S)
        self.record("store refuses")
        self.store.fault = StoreFault.REFUSE
        await asyncio.sleep(STORE_LEAD_S)
        for instance in self.instances:
            self.launch(instance)
        await asyncio.sleep(outage_s - STORE_LEAD_S)
        self.store.fault = StoreFault.NONE
        self.record("store is back", leases=len(self.store.lease_deadlines))

    def _build_settings(
        self, name: str, zone: str, host: str, hosts: list[str], ports: list[int]
    ) -> str:
        seeds = ", ".join(f'"{other}:{ports[3]}"' for other in hosts[:3])
        zones = "\n".join(f'{key} = "{value}"' for key, value in ZONES.items())
        bounds = "\n".join(f"{key} = {json.dumps(value)}" for key, value in self.bounds.items())
        return f"""[self]
node_name = "{name}"
role = "instance"
machine_class = "frontend"
serves = ["frontend", "control_plane", "directory"]
ip_address = "{host}"
zone = "{zone}"
region = "{ZONES[zone]}"
first_start = true
[self.limits]
cpu_share = 0.86
cpu_cores = 1
memory_mb = 300
file_descriptors = 4100
link_mbps = 1000.0
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
[platform]
discovery = "platform"
heartbeat_interval_ms = 1500
[platform.platform]
address = "{HOST}:{self.store_port}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
[terms.bounds]
{bounds}
"""

    async def wait_until_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until all instances say that they are ready."""
        end = time.monotonic() + limit_s
        for instance in self.instances:
            while not await self.is_ready(instance):
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def is_ready(self, instance: Instance) -> bool:
        """Ask an instance whether it is ready."""
        answer = await self._ask(instance, instance.ports[1], "/api/readiness")
        return answer.status == 200

    async def resolve(self, region: str, zone: str) -> list[str]:
        """Ask the directory of one instance after the other which instances to use."""
        path = f"/api/resolve?name=hulo84.example&region={region}&zone={zone}"
        for instance in self.instances:
            answer = await self._ask(instance, instance.ports[2], path)
            if answer.status == 200:
                return list(json.loads(answer.body)["addresses"])
        return []

    async def _ask(self, instance: Instance, port: int, path: str) -> Answer:
        text = f"GET {path} HTTP/1.1\r\nHost: {instance.host}\r\nConnection: close\r\n\r\n"
        return await send(self, instance.host, port, text.encode(), timeout_s=1.0)

    async def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for instance in self.instances:
            if instance.child is not None and instance.child.poll() is None:
                instance.child.send_signal(signal.SIGCONT)
                instance.child.kill()
            if instance.child is not None:
                instance.child.wait()
        for close in self.closers:
            await close()

    def write_record(self, path: Path, verdict: str) -> None:
        """Write all events and the verdict."""
        lines = [json.dumps(event) for event in sorted(self.events, key=lambda row: row["at"])]
        path.write_text("\n".join([*lines, verdict]) + "\n")


async def send(
    deployment: Deployment, host: str, port: int, data: bytes, timeout_s: float
) -> Answer:
    """Send a request on a new connection and read the answer."""
    started = deployment.now()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(data)
                await writer.drain()
                started = deployment.now()
                head = await read_head(reader)
                body = await read_body(reader, head.headers)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, {"error": repr(error)}, b"", started, deployment.now())
    status = int(head.first_line.split()[1])
    return Answer(status, head.headers, body, started, deployment.now())


def play(case: Path, scenario: Callable[[Deployment], Coroutine[Any, Any, list[str]]]) -> None:
    """Run a scenario, write its record, and exit with 1, 0 or 2."""
    os.chdir(ROOT)
    code, verdict = 2, "could not run"
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        deployment = Deployment(Path(folder))

        async def run() -> list[str]:
            try:
                async with asyncio.timeout(MAX_RUN_S):
                    return await scenario(deployment)
            finally:
                await deployment.stop()

        try:
            broken = asyncio.run(run())
            code = 1 if broken else 0
            verdict = "\n".join([*broken, "BROKEN" if broken else "HELD"])
        except Exception as error:
            verdict = f"could not run: {error!r}"
        deployment.write_record(case / "record.txt", verdict)
        if keep := os.environ.get("KEEP_LOGS"):
            for log in Path(folder).glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
    print(verdict)
    sys.exit(code)
