"""Instances on loopback, with stand-ins for the store and the targets."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from standins.platform_store import PlatformStoreStandIn
from standins.platform_target import PlatformTargetStandIn
from tests.waits import wait_until
from tools.processes import find_ports
from waxwingshelf.platform.settings import Bounds, Endpoint, InstanceSettings
from waxwingshelf.serving.client_sessions import SocketFactory, open_client_socket
from waxwingshelf.serving.instance import Instance
from waxwingshelf.serving.logs import LogBuffer

HOST = "127.0.0.1"
WAIT_S = 10.0
REGIONS = {"north-1": "north", "south-1": "south"}
CONFIG: dict[str, Any] = {
    "version": "r1",
    "limits": {"max_body_bytes": 100_000},
    "tenants": [
        {"name": "acme", "api_keys": ["acme-key"], "priority": 1, "rate_per_s": 1000, "burst": 500},
        {"name": "tiny", "api_keys": ["tiny-key"], "priority": 1, "rate_per_s": 1, "burst": 2},
    ],
    "listeners": [
        {
            "host": "a.example",
            "rules": [
                {
                    "name": name,
                    "kind": kind,
                    "target_latency_ms": 400,
                    "priority": 1,
                    "sticky": True,
                    "match": {"path_prefix": f"/{name}/"},
                    "action": {"service": "work", "timeout_ms": 1_000, "attempts": 3},
                }
                for name, kind in (("read", "safe"), ("order", "unsafe"), ("sheet", "upload"))
            ],
        }
    ],
    "clusters": [{"name": "work", "cold_start_s": 1, "cold_per_s": 10}],
}


@dataclass
class CallerResponse:
    """The response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class Deployment:
    """A store, targets and instances; `send_request` sends a request as a caller does."""

    session: aiohttp.ClientSession
    store: PlatformStoreStandIn
    store_port: int
    targets: dict[str, PlatformTargetStandIn] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    settings: dict[str, InstanceSettings] = field(default_factory=dict)
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)
    runners: list[web.AppRunner] = field(default_factory=list)
    request_count: int = 0
    allocated_ports: set[int] = field(default_factory=set)

    async def start_store(self) -> None:
        runner = web.AppRunner(self.store.build_app(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, HOST, self.store_port).start()
        self.runners.append(runner)

    async def add_target(self, name: str, work_s: float = 0.0) -> PlatformTargetStandIn:
        target = PlatformTargetStandIn(name, work_s)
        await target.start()
        self.targets[name] = target
        self.register(name)
        return target

    def register(
        self,
        name: str,
        state: str = "ready",
        born: int = 0,
        failure_domain: str = "north-1",
        **status: Any,
    ) -> None:
        target = self.targets[name]
        self.store.put(
            f"servers/{name}",
            {
                "address": f"{HOST}:{target.port}",
                "information": {"service": "work", "zone": failure_domain, "slots": 4},
                "status": {"state": state, "sequence": 1, "cold_remaining_ms": 0, **status},
                "born": born,
            },
        )

    def _allocate_ports(self, count: int) -> list[int]:
        """Return free ports not given to another instance, which may not listen on them yet."""
        ports = [port for port in find_ports(4 * count) if port not in self.allocated_ports][:count]
        self.allocated_ports.update(ports)
        return ports

    async def start_instance(
        self,
        name: str,
        grace_period_ms: int = 4_000,
        failure_domain: str = "north-1",
        open_target_socket: SocketFactory = open_client_socket,
        memory_mb: float = 0.0,
    ) -> Instance:
        ports = self._allocate_ports(6)
        settings = InstanceSettings(
            name=name,
            region=REGIONS[failure_domain],
            failure_domain=failure_domain,
            callers=Endpoint(HOST, ports[0]),
            readiness=Endpoint(HOST, ports[1]),
            directory=Endpoint(HOST, ports[2]),
            peer_state=Endpoint(HOST, ports[3]),
            store=Endpoint(HOST, self.store_port),
            seeds=tuple(other.peer_state for other in self.settings.values()),
            peer_ports=(ports[4], ports[5]),
            regions=REGIONS,
            bounds=Bounds(grace_period_ms=grace_period_ms),
            memory_mb=memory_mb,
        )
        self.settings[name] = settings
        instance = Instance(
            settings, LogBuffer(descriptor=2), open_target_socket=open_target_socket
        )
        self.instances[name] = instance
        self.tasks.append(asyncio.create_task(instance.run()))
        return instance

    async def send_request(
        self,
        path: str,
        name: str = "n0",
        method: str = "GET",
        key: str = "acme-key",
        deadline_ms: int = 3_000,
        body: bytes | None = None,
        **headers: str,
    ) -> CallerResponse:
        self.request_count += 1
        all_headers = {
            "Host": "a.example",
            "Attempt-Id": f"id-{self.request_count}",
            "Affinity-Key": "7",
            "Deadline-Ms": str(deadline_ms),
            "Credential": key,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = f"http://{self.settings[name].callers}{path}"
        request = self.session.request(method, url, headers=all_headers, data=body)
        async with request as response:
            return CallerResponse(response.status, dict(response.headers), await response.read())

    async def fetch(self, endpoint: Endpoint, path: str) -> tuple[int, bytes]:
        async with self.session.get(f"http://{endpoint}{path}") as response:
            return response.status, await response.read()

    async def resolve(self, name: str) -> list[str]:
        endpoint = self.settings[name].directory
        query = "/api/resolve?name=a.example&region=north&zone=north-1"
        status, body = await self.fetch(endpoint, query)
        return json.loads(body)["addresses"] if status == 200 else []

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        await wait_until(condition, WAIT_S)

    async def wait_until_ready(self, name: str) -> None:
        async def is_ready() -> bool:
            try:
                status, _ = await self.fetch(self.settings[name].readiness, "/api/readiness")
            except aiohttp.ClientError:
                return False
            return status == 200

        await self.wait_until(is_ready)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for target in self.targets.values():
            await target.stop()
        for runner in self.runners:
            await runner.cleanup()


@pytest.fixture
def run_scenario() -> Callable[[Callable[[Deployment], Awaitable[None]]], None]:
    """Return a function that runs a scenario with one store that holds the configuration.

    Its second argument is `uvloop.run` for the event loop that instances have when deployed.
    """

    def run(
        scenario: Callable[[Deployment], Awaitable[None]],
        run_loop: Callable[[Coroutine[Any, Any, None]], None] = asyncio.run,
    ) -> None:
        async def main() -> None:
            async with aiohttp.ClientSession() as session:
                deployment = Deployment(session, PlatformStoreStandIn(), find_ports(1)[0])
                await deployment.start_store()
                deployment.tasks.append(asyncio.create_task(deployment.store.run()))
                deployment.store.put("op/config", CONFIG)
                try:
                    await scenario(deployment)
                finally:
                    await deployment.stop()

        run_loop(main())

    return run
