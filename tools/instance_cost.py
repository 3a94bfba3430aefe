"""Measure the processor time of a start, an idle instance and a request, for one build or several.

Each build is a checkout whose `deploy/build.sh` has run. The instances run as its deploy file says,
on loopback, with a stand-in of the store and simulated peers. The builds take turns, so that load
on the machine affects all of them alike. A simulated peer sends a datagram for each one that it
gets, since in a fleet of equal instances each receives as many as it sends.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import statistics
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from standins.platform_store import PlatformStoreStandIn
from standins.platform_target import PlatformTargetStandIn
from tools.processes import find_ports
from waxwingshelf.serving import peer_messages
from waxwingshelf.steering.fleet import Heartbeat, LoadReport, PeerAddress

__all__ = ["measure_idle", "measure_requests", "measure_start"]

_NETWORK = "127.101"
_INSTANCE_HOST = f"{_NETWORK}.0.1"
_SERVICES = 4
_TARGETS = 271
_ORGANISATIONS = 140
_REGIONS = ("north", "south", "west")
_DOMAINS_PER_REGION = 3
_SETTLE_S = 6.0
_MEASURE_S = 10.0
_WARM_UP_REQUESTS = 500
_REQUESTS = 3_000


class SimulatedPeer(asyncio.DatagramProtocol):
    """A peer that announces itself, and sends a datagram whenever it gets one of the same type."""

    def __init__(self, number: int, beat_port: int, instance: tuple[str, int]) -> None:
        domain = _list_domains()[number % len(_list_domains())]
        host = f"{_NETWORK}.{1 + number // 250}.{1 + number % 250}"
        self._instance = instance
        self._number = 0
        self._heartbeat = Heartbeat(
            PeerAddress(
                name=f"peer-{number}",
                region=domain.split("-")[0],
                failure_domain=domain,
                host=host,
                beat_port=beat_port,
                state_port=beat_port,
                caller_address=f"{host}:80",
                collects_crashes=True,
            ),
            boot=1,
            number=0,
            ready=True,
            revision=0,
            demand={},
            brief=True,
            reaches_targets=True,
        )

    @property
    def local_address(self) -> tuple[str, int]:
        """Return the address to bind the peer's socket to."""
        return (self._heartbeat.address.host, self._heartbeat.address.beat_port)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Keep the socket."""
        self._transport = transport

    def announce(self) -> None:
        """Send a full heartbeat, from which the instance learns of this peer."""
        self._send(peer_messages.encode_heartbeat(self._next_heartbeat()))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Send a datagram of the type that has arrived."""
        message_type = data[:1]
        if message_type == peer_messages.BRIEF_LOAD_REPORT_TYPE:
            heartbeat = self._next_heartbeat()
            report = LoadReport(heartbeat.address.name, heartbeat.boot, heartbeat.number, {})
            self._send(peer_messages.encode_brief_load_report(report))
        elif message_type == peer_messages.INTRODUCTION_TYPE:
            self.announce()
        else:
            self._send(peer_messages.encode_brief_heartbeat(self._next_heartbeat()))

    def _next_heartbeat(self) -> Heartbeat:
        self._number += 1
        return msgspec.structs.replace(self._heartbeat, number=self._number)

    def _send(self, data: bytes) -> None:
        self._transport.sendto(data, self._instance)


def measure_start(build: Path) -> float:
    """Return the processor time, in seconds, that a build takes to load its modules."""
    began_s = _read_children_s()
    # Without settings, the program ends once everything is imported.
    environment = {"PATH": os.environ["PATH"], "PYTHONPATH": "target/deps"}
    subprocess.run(_read_command(build), cwd=build, env=environment, stderr=subprocess.DEVNULL)
    return _read_children_s() - began_s


async def measure_idle(build: Path, peers: int) -> float:
    """Return the fraction of a core that an idle instance takes beside `peers` others."""
    store = PlatformStoreStandIn()
    _put_config(store)
    for number in range(_TARGETS):
        _put_target(store, number, "127.0.0.1:9")
    ports = find_ports(6)
    loop = asyncio.get_running_loop()
    simulated = [
        SimulatedPeer(number, ports[4], (_INSTANCE_HOST, ports[4])) for number in range(peers)
    ]
    for peer in simulated:
        await loop.create_datagram_endpoint(lambda p=peer: p, local_addr=peer.local_address)  # type: ignore[misc]
    async with _run_instance(build, store, ports) as process_id:
        await asyncio.sleep(_SETTLE_S / 2)
        for peer in simulated:
            peer.announce()
        await asyncio.sleep(_SETTLE_S / 2)
        began_s, began_at = _read_process_s(process_id), time.monotonic()
        await asyncio.sleep(_MEASURE_S)
        return (_read_process_s(process_id) - began_s) / (time.monotonic() - began_at)


async def measure_requests(build: Path) -> float:
    """Return the processor time, in seconds, that a request takes, sent one after the other."""
    store = PlatformStoreStandIn()
    _put_config(store)
    target = PlatformTargetStandIn("t0", work_s=0.0)
    await target.start("127.0.0.1")
    _put_target(store, 0, f"127.0.0.1:{target.port}")
    ports = find_ports(6)
    async with _run_instance(build, store, ports) as process_id:
        await asyncio.sleep(_SETTLE_S)
        async with aiohttp.ClientSession() as session:
            url = f"http://{_INSTANCE_HOST}:{ports[0]}/r0/x"
            await _send_requests(session, url, _WARM_UP_REQUESTS)
            began_s = _read_process_s(process_id)
            await _send_requests(session, url, _REQUESTS)
            return (_read_process_s(process_id) - began_s) / _REQUESTS


async def _send_requests(session: aiohttp.ClientSession, url: str, count: int) -> None:
    for number in range(count):
        headers = {
            "Host": "a.example",
            "Credential": "k0",
            "Attempt-Id": f"id-{number}",
            "Affinity-Key": str(number % 50),
        }
        async with session.get(url, headers=headers) as response:
            if response.status != 200:
                raise RuntimeError(f"the instance answered {response.status}")
            await response.read()


@contextlib.asynccontextmanager
async def _run_instance(
    build: Path, store: PlatformStoreStandIn, ports: list[int]
) -> AsyncIterator[int]:
    """Run an instance of a build beside a store; yield its process id."""
    runner = web.AppRunner(store.build_app(), shutdown_timeout=0.1)
    await runner.setup()
    (store_port,) = find_ports(1)
    await web.TCPSite(runner, "127.0.0.1", store_port).start()
    store_task = asyncio.create_task(store.run())
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "instance.toml"
        settings.write_text(_describe_settings(ports, store_port))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": "target/deps",
            "WAXWINGSHELF_SETTINGS": str(settings),
        }
        process = subprocess.Popen(
            _read_command(build), cwd=build, env=environment, stdout=subprocess.DEVNULL
        )
        try:
            yield process.pid
        finally:
            process.kill()
            process.wait()
            store_task.cancel()
            await runner.cleanup()


def _list_domains() -> list[str]:
    return [f"{region}-{number}" for region in _REGIONS for number in range(_DOMAINS_PER_REGION)]


def _put_config(store: PlatformStoreStandIn) -> None:
    """Write a configuration; the first organisation has a rate that no measurement reaches."""
    rules = [
        {
            "name": f"r{number}",
            "kind": "safe",
            "target_latency_ms": 2_000,
            "sticky": True,
            "match": {"path_prefix": f"/r{number}/"},
            "action": {"service": f"s{number}", "timeout_ms": 9_000, "attempts": 2},
        }
        for number in range(_SERVICES)
    ]
    tenants = [
        {"name": f"o{number}", "api_keys": [f"k{number}"], "rate_per_s": 20, "burst": 20}
        for number in range(_ORGANISATIONS)
    ]
    tenants[0] |= {"rate_per_s": 100_000, "burst": 100_000}
    config = {"version": "r1", "tenants": tenants}
    config["listeners"] = [{"host": "a.example", "rules": rules}]
    config["clusters"] = [{"name": f"s{number}"} for number in range(_SERVICES)]
    store.put("op/config", config)


def _put_target(store: PlatformStoreStandIn, number: int, address: str) -> None:
    domains = _list_domains()
    information = {"service": f"s{number % _SERVICES}", "zone": domains[number % len(domains)]}
    store.put(
        f"servers/t{number}",
        {
            "address": address,
            "information": {**information, "slots": 9},
            "status": {"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
            "born": 1,
        },
    )


def _describe_settings(ports: list[int], store_port: int) -> str:
    zones = "\n".join(f'{name} = "{name.split("-")[0]}"' for name in _list_domains())
    return f"""[self]
node_name = "measured"
zone = "{_REGIONS[0]}-0"
region = "{_REGIONS[0]}"
[network]
internal_ports = [{ports[4]}, {ports[5]}]
seed_nodes = ["{_INSTANCE_HOST}:{ports[3]}"]
[network.listen]
frontend = "{_INSTANCE_HOST}:{ports[0]}"
ready = "{_INSTANCE_HOST}:{ports[1]}"
directory = "{_INSTANCE_HOST}:{ports[2]}"
control_plane = "{_INSTANCE_HOST}:{ports[3]}"
[network.zones]
{zones}
[platform.platform]
address = "127.0.0.1:{store_port}"
"""


def _read_command(build: Path) -> list[str]:
    """Return the command that runs an instance, from the build's deploy file.

    The interpreter itself is named: `python3` may be a script that looks for it first.
    """
    roles = tomllib.loads((build / "deploy" / "system.toml").read_text())["roles"]
    _, *arguments = str(roles["instance"]["run"]).split()
    return [str(Path(sys.executable).resolve()), *arguments]


def _read_children_s() -> float:
    times = os.times()
    return times.children_user + times.children_system


def _read_process_s(pid: int) -> float:
    """Return the processor time of a running process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main() -> None:
    """Print the median start, the idle load and the median cost of a request of each build."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("builds", nargs="*", type=Path, default=[Path()], metavar="BUILD")
    parser.add_argument("--starts", type=int, default=9, help="starts of each build")
    parser.add_argument("--peers", type=int, nargs="*", default=[14, 76, 195])
    parser.add_argument("--request-rounds", type=int, default=5, help="rounds of 3,000 requests")
    arguments = parser.parse_args()
    builds = [build.resolve() for build in arguments.builds]
    starts: dict[Path, list[float]] = {build: [] for build in builds}
    for _ in range(arguments.starts):
        for build in builds:
            starts[build].append(measure_start(build))
    for build in builds:
        print(f"{build.name}: start {statistics.median(starts[build]):.3f} s")
    for peers in arguments.peers:
        for build in builds:
            load = asyncio.run(measure_idle(build, peers))
            print(f"{build.name}: idle beside {peers} peers {load * 100:.2f} % of a core")
    costs: dict[Path, list[float]] = {build: [] for build in builds}
    for _ in range(arguments.request_rounds):
        for build in builds:
            costs[build].append(asyncio.run(measure_requests(build)))
    for build in builds:
        if costs[build]:
            print(f"{build.name}: request {statistics.median(costs[build]) * 1e6:.0f} us")


if __name__ == "__main__":
    main()
