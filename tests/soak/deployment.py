"""The stand-ins, proxies and instance processes of a soak run."""

from __future__ import annotations

import asyncio
import functools
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from standins.platform_store import PlatformStoreStandIn
from standins.platform_target import PlatformTargetStandIn
from tests.soak.bound_instance import (
    CUT_VARIABLE,
    HOST_VARIABLE,
    INSTANCE_SUBNET,
    PROXY_SUBNET,
)
from tests.soak.proxy import Proxy
from tools.processes import find_ports

__all__ = [
    "DEADLY_TEXT",
    "EXTRA_KEY",
    "GRACE_PERIOD_S",
    "HOST",
    "INSTANCES",
    "LIMITED_BURST",
    "LIMITED_KEY",
    "LIMITED_RATE_PER_S",
    "TARGETS",
    "Process",
    "SoakDeployment",
]

HOST = "127.0.0.1"
# Soaks that run side by side have networks of their own.
_NETWORK = f"127.{64 + os.getpid() % 128}"
_INSTANCE_PREFIX = _NETWORK + INSTANCE_SUBNET
_PROXY_PREFIX = _NETWORK + PROXY_SUBNET
REGIONS = {"north-1": "north", "south-1": "south"}
INSTANCES = 4
TARGETS = 4
# Instances that each instance knows from its settings.
SEEDS = 4
DEADLY_TEXT = "deadly"
GRACE_PERIOD_S = 4
# A key that can be withdrawn.
EXTRA_KEY = "extra-key"
# The key and the limits of an organisation that asks for more than its rate.
LIMITED_KEY = "limited-key"
LIMITED_RATE_PER_S = 40
LIMITED_BURST = 40


@dataclass(slots=True)
class Process:
    """The process of one instance with its address, settings file and log file.

    `cut` is the file that exists while its links to targets are cut; see `bound_instance`.
    """

    name: str
    host: str
    ports: list[int]
    settings: Path
    log: Path
    child: subprocess.Popen[bytes] | None = None
    cut: Path = Path()
    expected_exit: bool = False


@dataclass
class SoakDeployment:
    """A store and targets behind proxies, and processes that are signalled only here.

    `module` runs an instance; `source_folders` has the sources of instances by their number, where
    they differ from this checkout's. `entry_states` has the state of each target's entry that
    should be in the store, `started_ms` the start of each target that has restarted.
    """

    folder: Path
    instances: int = INSTANCES
    target_count: int = TARGETS
    module: str = "waxwingshelf.serving"
    store: PlatformStoreStandIn = field(default_factory=PlatformStoreStandIn)
    targets: list[PlatformTargetStandIn] = field(default_factory=list)
    target_proxies: list[Proxy] = field(default_factory=list)
    peer_proxies: list[Proxy] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    source_folders: dict[int, Path] = field(default_factory=dict)
    config_version: int = 1
    entry_number: int = 0
    entry_states: dict[int, str] = field(default_factory=dict)
    keys: list[str] = field(default_factory=lambda: ["key", EXTRA_KEY])
    started_ms: dict[int, int] = field(default_factory=dict)
    _runners: list[web.AppRunner] = field(default_factory=list)
    _store_proxies: list[Proxy] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self) -> None:
        """Start the store, the targets and the instances."""
        runner = web.AppRunner(self.store.build_app(), shutdown_timeout=0.1)
        self._runners.append(runner)
        store_port, *ports = find_ports(1 + 6)
        await runner.setup()
        await web.TCPSite(runner, HOST, store_port).start()
        self.store_proxy = Proxy(HOST, store_port)
        self._store_proxies.append(self.store_proxy)
        await self.store_proxy.start(HOST)
        self._tasks.append(asyncio.create_task(self.store.run()))
        await self._start_targets()
        self.change_config()
        for number in range(self.instances):
            self._add_instance(number, ports)
            await self._add_peer_proxy(number, ports[3])

    async def stop(self) -> None:
        """Stop everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self.processes:
            if process.child is not None and process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
        for proxy in [*self.target_proxies, *self.peer_proxies, *self._store_proxies]:
            proxy.stop()
        for runner in self._runners:
            await runner.cleanup()

    async def _add_peer_proxy(self, number: int, port: int) -> None:
        """Start the proxy before an instance, which `bound_instance` connects to instead."""
        proxy = Proxy(f"{_INSTANCE_PREFIX}{number + 1}", port)
        proxy.port = port
        await proxy.start(f"{_PROXY_PREFIX}{number + 1}")
        self.peer_proxies.append(proxy)

    async def _start_targets(self) -> None:
        for number in range(self.target_count):
            target = PlatformTargetStandIn(f"t{number}", work_s=0.02)
            await target.start(HOST)
            proxy = Proxy(HOST, target.port)
            await proxy.start(HOST)
            target.deadly_text = DEADLY_TEXT
            target.on_crash = proxy.refuse
            target.on_restart = functools.partial(proxy.start, HOST)
            self.targets.append(target)
            self.target_proxies.append(proxy)
            self.register(number)

    def register(self, number: int, state: str = "ready") -> None:
        """Write a target's entry."""
        self.entry_number += 1
        self.entry_states[number] = state
        zone = list(REGIONS)[number % len(REGIONS)]
        self.store.put(
            f"servers/{self.targets[number].id}",
            {
                "address": f"{HOST}:{self.target_proxies[number].port}",
                "information": {"service": "work", "zone": zone, "slots": 8},
                "status": {"state": state, "sequence": self.entry_number, "cold_remaining_ms": 0},
                "born": self.started_ms.get(number, 0),
            },
        )

    def start_new_run(self, number: int) -> None:
        """Let a target restart under its id."""
        self.started_ms[number] = self.started_ms.get(number, 0) + 1
        self.register(number)

    def deregister(self, number: int) -> None:
        """Remove a target's entry."""
        self.entry_states.pop(number, None)
        self.store.delete(f"servers/{self.targets[number].id}")

    def write_again(self) -> None:
        """Let the operators and the targets write what the store may have lost."""
        self._put_config()
        for number in range(self.target_count):
            if number in self.entry_states:
                self.register(number, self.entry_states[number])
            else:
                self.deregister(number)

    def _put_config(self) -> None:
        rules = [
            {
                "name": name,
                "kind": kind,
                "target_latency_ms": 300,
                "priority": 1,
                "sticky": True,
                "match": {"path_prefix": f"/{name}/"},
                "action": {"service": "work", "timeout_ms": timeout_ms, "attempts": 2},
            }
            for name, kind, timeout_ms in (
                ("read", "safe", 1_000),
                ("order", "unsafe", 1_000),
                ("patient", "unsafe", 10_000),
            )
        ]
        tenants = [
            {"name": "acme", "api_keys": self.keys, "rate_per_s": 5_000, "burst": 5_000},
            {
                "name": "limited",
                "api_keys": [LIMITED_KEY],
                "rate_per_s": LIMITED_RATE_PER_S,
                "burst": LIMITED_BURST,
            },
        ]
        config = {"version": f"r{self.config_version}", "tenants": tenants}
        config["listeners"] = [{"host": "a.example", "rules": rules}]
        config["clusters"] = [{"name": "work"}]
        self.store.put("op/config", config)

    def _add_instance(self, number: int, ports: list[int]) -> None:
        host = f"{_INSTANCE_PREFIX}{number + 1}"
        zone = list(REGIONS)[number % len(REGIONS)]
        settings = self.folder / f"n{number}.toml"
        seeds = ", ".join(f'"{_INSTANCE_PREFIX}{other + 1}:{ports[3]}"' for other in range(SEEDS))
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
grace_period_s = {GRACE_PERIOD_S}
""")
        process = Process(f"n{number}", host, ports, settings, self.folder / f"n{number}.log")
        process.cut = self.folder / f"n{number}.cut"
        self.processes.append(process)
        self._start(process)

    def _start(self, process: Process) -> None:
        process.expected_exit = False
        sources = self.source_folders.get(int(process.name.removeprefix("n")), Path("src"))
        environment = {
            "PYTHONPATH": f"{sources}{os.pathsep}.",
            "WAXWINGSHELF_SETTINGS": str(process.settings),
            HOST_VARIABLE: process.host,
            CUT_VARIABLE: str(process.cut),
        }
        with process.log.open("ab") as log:
            process.child = subprocess.Popen(
                [sys.executable, "-m", self.module],
                env={**os.environ, **environment},
                stdout=log,
                stderr=log,
            )

    def change_config(self) -> None:
        """Write a new version of the configuration."""
        self.config_version += 1
        self._put_config()

    def withdraw_extra_key(self) -> None:
        """Write a new version of the configuration without one of the keys."""
        self.keys.remove(EXTRA_KEY)
        self.change_config()

    def send_signal(self, process: Process, signal_number: int) -> None:
        """Send a signal that may end a process, if it runs."""
        if process.child is not None and process.child.poll() is None:
            process.expected_exit = True
            process.child.send_signal(signal_number)

    def list_stopping(self) -> list[Process]:
        """Return the processes that got a signal that ends them and still run."""
        return [
            process
            for process in self.processes
            if process.expected_exit and process.child is not None and process.child.poll() is None
        ]

    def restart_exited(self) -> list[Process]:
        """Start the processes that have exited; return those that did so unexpectedly."""
        unexpected: list[Process] = []
        for process in self.processes:
            if process.child is None or process.child.poll() is None:
                continue
            if not process.expected_exit:
                unexpected.append(process)
            self._start(process)
        return unexpected
