"""Fixtures that run a fleet on loopback sockets in one event loop."""

import asyncio
import gc
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
import pytest
from aiohttp import web

from standins.store import StoreStandIn
from standins.target import Behaviour, TargetStandIn
from tests.waits import wait_until
from tools.processes import find_ports
from waxwingshelf.core.config import hash_key
from waxwingshelf.program.instance import Instance
from waxwingshelf.program.settings import Settings

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0


@pytest.fixture(scope="module", autouse=True)
def _freeze_heap() -> None:
    """Collect and freeze what earlier tests left behind, as deploy/instance.py does with modules.

    In the test process callers, instances and targets share one heap, which grows over a run. A
    full collection of it stops all of them for longer than the bounds of some tests.
    """
    gc.collect()
    gc.freeze()


@dataclass
class LoopbackFleet:
    """Instances, targets and a store that tests call over real sockets."""

    session: aiohttp.ClientSession
    store: StoreStandIn
    operator_key: str
    keys: dict[str, str]
    targets: dict[str, TargetStandIn] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    settings: dict[str, Settings] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task] = field(default_factory=dict)
    runners: list[web.AppRunner] = field(default_factory=list)

    async def send_request(
        self, name: str, method: str, path: str, key: str = "", **options: Any
    ) -> Any:
        headers = dict(options.pop("headers", {}))
        if key:
            headers["Authorization"] = f"Bearer {self.keys.get(key, key)}"
        url = f"http://{HOST}:{self.ports[name]}{path}"
        async with self.session.request(method, url, headers=headers, **options) as response:
            body = await response.read()
            content = msgspec.json.decode(body) if body.startswith((b"{", b"[")) else body
            return response.status, content, response.headers

    async def patch(self, name: str, patch: list[dict[str, Any]], **options: Any) -> Any:
        body = {"patch": patch, "why": "test", **options}
        return await self.send_request(
            name, "PUT", "/admin/v1/manifest", self.operator_key, json=body
        )

    async def build_request_id(self, text: str) -> str:
        _, content, _ = await self.send_request("n0", "GET", "/v1/instances?service=orders")
        return content["request_id_prefix"] + text

    async def send_order(self, name: str, request_id: str, body: bytes = b"{}") -> Any:
        headers = {"Idempotency-Key": request_id}
        return await self.send_request(
            name, "POST", "/s/orders/x", "acme", headers=headers, data=body
        )

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        await wait_until(condition, READY_TIMEOUT_S)

    async def start_store(self, port: int) -> None:
        await self.serve(self.store.build_app(), port)

    async def serve(self, app: web.Application, port: int) -> None:
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        self.runners.append(runner)

    def start_instance(self, name: str) -> None:
        self.instances[name] = Instance(self.settings[name])
        self.tasks[name] = asyncio.create_task(self.instances[name].run())

    async def stop(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()
        await self.session.close()


def build_manifest(ports: dict[str, int], keys: dict[str, str]) -> dict[str, Any]:
    service = {"deadline_ms": 3000, "slots": 4}
    targets = {
        name: {
            "service": name.partition("-")[0],
            "region": f"r{name[-1]}",
            "failure_domain": f"r{name[-1]}-0",
            "host": HOST,
            "port": port,
        }
        for name, port in ports.items()
    }
    organisations = {
        "acme": {"rate_per_s": 500, "burst": 500},
        "bolt": {"rate_per_s": 500, "burst": 500},
        "tiny": {"rate_per_s": 0.5, "burst": 2},
    }
    return {
        "fleet": {"name": "test", "lookup_ttl_ms": 200},
        "regions": {f"r{n}": {"failure_domains": [f"r{n}-0"]} for n in range(2)},
        "services": {
            "web": service,
            "orders": {**service, "idempotent": False, "max_body_bytes": 100_000},
            "public": {**service, "open": True},
        },
        "targets": targets,
        "organisations": organisations,
        "keys": {hash_key(key): {"organisation": name} for name, key in keys.items()},
        "shift_caps": {"r0>r1": {"requests_per_s": 500, "burst": 500}},
    }


async def start_loopback_fleet(names: tuple[str, ...]) -> LoopbackFleet:
    target_names = ("web-0", "web-1", "orders-0", "orders-1", "public-0")
    ports = find_ports(1 + 2 * len(names) + len(target_names))
    keys = {name: secrets.token_hex(16) for name in ("acme", "bolt", "tiny")}
    store = StoreStandIn()
    loopback = LoopbackFleet(aiohttp.ClientSession(), store, secrets.token_hex(16), keys)
    await loopback.start_store(ports[0])
    target_ports = dict(zip(target_names, ports[-len(target_names) :], strict=True))
    for name, port in target_ports.items():
        loopback.targets[name] = TargetStandIn(name, Behaviour(slots=4, work_ms=5))
        await loopback.serve(loopback.targets[name].build_app(), port)
    for number, name in enumerate(names):
        loopback.ports[name] = ports[1 + 2 * number]
        loopback.settings[name] = Settings(
            fleet="test",
            name=name,
            region="r0",
            failure_domain="r0-0",
            host=HOST,
            port=ports[1 + 2 * number],
            peer_port=ports[2 + 2 * number],
            store_host=HOST,
            store_port=ports[0],
            fleet_secrets=["a secret of the tests"],
            bootstrap_operator_digest=hash_key(loopback.operator_key),
            gossip_period_ms=100,
        )
        loopback.start_instance(name)
    manifest = build_manifest(target_ports, keys)
    body = {"document": manifest, "based_on": 0, "why": "start"}

    async def apply_manifest() -> bool:
        try:
            status, _, _ = await loopback.send_request(
                "n0", "PUT", "/admin/v1/manifest", loopback.operator_key, json=body
            )
        except aiohttp.ClientError:
            return False
        return status == 200

    await loopback.wait_until(apply_manifest)
    await loopback.wait_until(
        lambda: all(is_ready(instance) for instance in loopback.instances.values())
    )
    return loopback


def is_ready(instance: Instance) -> bool:
    """Return whether requests can be admitted; missing shares are requested on demand."""
    state = instance.control.state
    return state.can_use_shares() and bool(state.shares.units_by_budget())


@pytest.fixture
def run_with_fleet() -> Callable[..., None]:
    """Return a function that runs an async test body with a fleet of the named instances."""

    def run(body: Callable[[LoopbackFleet], Awaitable[None]], *names: str) -> None:
        async def main() -> None:
            loopback = await start_loopback_fleet(names or ("n0", "n1", "n2"))
            try:
                await asyncio.wait_for(body(loopback), 60)
            finally:
                await loopback.stop()

        asyncio.run(main())

    return run
