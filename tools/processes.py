"""Start the stand-ins and instances as separate processes on loopback."""

from __future__ import annotations

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

__all__ = ["InstanceSpec", "LocalFleet", "call", "find_ports"]

_HOST = "127.0.0.1"
_SECRET = "loopback-fleet-secret"
_PORTS = range(12_000, 32_000)
_READY_S = 15.0
_POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """Where an instance runs."""

    name: str
    region: str
    failure_domain: str
    port: int
    peer_port: int


def find_ports(count: int) -> list[int]:
    """Find ports that are free now, below those that the kernel gives to outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = secrets.choice(_PORTS)
        with socket.socket() as probe:
            free = port not in ports and probe.connect_ex((_HOST, port)) != 0
        if free:
            ports.append(port)
    return ports


def call(method: str, port: int, path: str, body: Any = None, key: str = "") -> Any:
    """Call an HTTP endpoint and return its decoded answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{_HOST}:{port}{path}", data=data, method=method)
    request.add_header("Content-Type", "application/json")
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    with urllib.request.urlopen(request, timeout=10) as response:
        text = response.read()
    return json.loads(text) if text else None


@dataclass
class LocalFleet:
    """Processes of one fleet; `directory` holds settings and logs."""

    directory: Path
    operator_digest: str
    fleet: str = "demo"
    program: tuple[str, ...] = (sys.executable, "-m", "waxwingshelf")
    gossip_period_ms: int = 500
    store_port: int = 0
    instances: dict[str, InstanceSpec] = field(default_factory=dict)
    _processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start_store(self) -> None:
        """Start the key-value service's stand-in."""
        self.store_port = self.store_port or find_ports(1)[0]
        self._start("store", "standins.store", "--port", str(self.store_port))
        self._wait_for(self.store_port, "/control/calls")

    def start_target(self, name: str, port: int, slots: int, work_ms: int) -> None:
        """Start a target's stand-in."""
        options = ["--port", str(port), "--name", name]
        options += ["--slots", str(slots), "--work-ms", str(work_ms)]
        self._start(name, "standins.target", *options)

    def start_instance(self, spec: InstanceSpec, *peers: InstanceSpec) -> None:
        """Start an instance with a settings file of its own."""
        self.instances[spec.name] = spec
        settings = {
            "fleet": self.fleet,
            "name": spec.name,
            "region": spec.region,
            "failure_domain": spec.failure_domain,
            "host": _HOST,
            "port": spec.port,
            "peer_port": spec.peer_port,
            "store_host": _HOST,
            "store_port": self.store_port,
            "fleet_secrets": [_SECRET],
            "bootstrap_operator_digest": self.operator_digest,
            "gossip_period_ms": self.gossip_period_ms,
            "peers": [{"name": peer.name, "host": _HOST, "port": peer.peer_port} for peer in peers],
        }
        path = self.directory / f"{spec.name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self._run(spec.name, [*self.program, "serve", "--settings", str(path)])

    def wait_until_serving(self, name: str, service: str) -> None:
        """Wait until an instance has a configuration and answers look-ups."""
        port = self.instances[name].port
        self._wait_for(port, f"/v1/instances?service={service}")

    def wait_until_usable(self, key: str, names: list[str] | None = None) -> None:
        """Wait until the named instances, or all, may use shares."""
        deadline = time.monotonic() + _READY_S
        for name in names or list(self.instances):
            while True:
                status = call("GET", self.instances[name].port, "/admin/v1/status?shares", key=key)
                if status["uses_shares"] and status["shares"]:
                    break
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} holds no usable shares: {status}")
                time.sleep(_POLL_S)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process by its id."""
        os.kill(self._processes[name].pid, number)

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait for a process to end and return its exit code."""
        return self._processes[name].wait(timeout_s)

    def find_pid(self, name: str) -> int:
        """Return a process's id."""
        return self._processes[name].pid

    def stop(self) -> None:
        """Kill every process that this fleet started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()

    def _start(self, name: str, module: str, *options: str) -> None:
        self._run(name, [sys.executable, "-m", module, *options])

    def _run(self, name: str, command: list[str]) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def wait_until_listening(self, port: int) -> None:
        """Wait until a process accepts connections, whatever it answers."""
        deadline = time.monotonic() + _READY_S
        while True:
            with socket.socket() as probe:
                if probe.connect_ex((_HOST, port)) == 0:
                    return
            if time.monotonic() > deadline:
                raise TimeoutError(f"nothing listens on {port}")
            time.sleep(_POLL_S)

    def _wait_for(self, port: int, path: str) -> None:
        deadline = time.monotonic() + _READY_S
        while True:
            try:
                call("GET", port, path)
                return
            except (OSError, urllib.error.URLError):
                if time.monotonic() > deadline:
                    raise
                time.sleep(_POLL_S)
