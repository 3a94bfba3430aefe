"""Start instances and stand-ins of their store and targets as separate loopback processes."""

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

__all__ = ["InstanceSpec", "LocalFleet", "find_ports", "send_request"]

_HOST = "127.0.0.1"
_FLEET_SECRET = "loopback-fleet-secret"
_PORT_RANGE = range(12_000, 32_000)
_READY_TIMEOUT_S = 15.0
_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """An instance's name, location and ports."""

    name: str
    region: str
    failure_domain: str
    port: int
    peer_port: int


def find_ports(count: int) -> list[int]:
    """Return random ports that are free now, below the kernel's ephemeral port range."""
    ports: list[int] = []
    while len(ports) < count:
        port = secrets.choice(_PORT_RANGE)
        with socket.socket() as probe:
            is_free = port not in ports and probe.connect_ex((_HOST, port)) != 0
        if is_free:
            ports.append(port)
    return ports


def send_request(method: str, port: int, path: str, body: Any = None, key: str = "") -> Any:
    """Send an HTTP request to a loopback port and return the decoded JSON response, if any."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{_HOST}:{port}{path}", data=data, method=method)
    request.add_header("Content-Type", "application/json")
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    with urllib.request.urlopen(request, timeout=10) as response:
        payload = response.read()
    return json.loads(payload) if payload else None


@dataclass
class LocalFleet:
    """Start and stop the processes of one fleet.

    `directory` holds the settings files and the logs. `program` is the command that runs an
    instance. If `store_port` is 0, `start_store` chooses a free port.
    """

    directory: Path
    operator_digest: str
    fleet: str = "demo"
    program: tuple[str, ...] = (sys.executable, "-m", "waxwingshelf")
    gossip_period_ms: int = 500
    store_port: int = 0
    instances: dict[str, InstanceSpec] = field(default_factory=dict)
    _processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start_store(self) -> None:
        """Start the stand-in of the store and wait until it responds."""
        self.store_port = self.store_port or find_ports(1)[0]
        self._start_module("store", "standins.store", "--port", str(self.store_port))
        self._wait_for_response(self.store_port, "/control/calls")

    def start_target(self, name: str, port: int, slots: int, work_ms: int) -> None:
        """Start the stand-in of a target without waiting for it."""
        options = ["--port", str(port), "--name", name]
        options += ["--slots", str(slots), "--work-ms", str(work_ms)]
        self._start_module(name, "standins.target", *options)

    def start_instance(self, spec: InstanceSpec, *peers: InstanceSpec) -> None:
        """Write an instance's settings file and start the instance without waiting for it."""
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
            "fleet_secrets": [_FLEET_SECRET],
            "bootstrap_operator_digest": self.operator_digest,
            "gossip_period_ms": self.gossip_period_ms,
            "peers": [{"name": peer.name, "host": _HOST, "port": peer.peer_port} for peer in peers],
        }
        path = self.directory / f"{spec.name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self._start_process(spec.name, [*self.program, "serve", "--settings", str(path)])

    def wait_until_serving(self, name: str, service: str) -> None:
        """Wait until an instance has a configuration and answers lookups for a service."""
        port = self.instances[name].port
        self._wait_for_response(port, f"/v1/instances?service={service}")

    def wait_until_shares_usable(self, key: str, names: list[str] | None = None) -> None:
        """Wait until the named instances, or all instances, hold shares that they can use."""
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for name in names or list(self.instances):
            while True:
                status = send_request(
                    "GET", self.instances[name].port, "/admin/v1/status?shares", key=key
                )
                if status["uses_shares"] and status["shares"]:
                    break
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"{name} holds no usable shares: {status}")
                time.sleep(_POLL_INTERVAL_S)

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to one process."""
        os.kill(self._processes[name].pid, signal_number)

    def wait_for_exit(self, name: str, timeout_s: float) -> int:
        """Wait until a process exits and return its exit code."""
        return self._processes[name].wait(timeout_s)

    def get_pid(self, name: str) -> int:
        """Return the process id of one process."""
        return self._processes[name].pid

    def stop(self) -> None:
        """Kill all processes that this fleet started and wait until they have exited."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()

    def _start_module(self, name: str, module: str, *options: str) -> None:
        self._start_process(name, [sys.executable, "-m", module, *options])

    def _start_process(self, name: str, command: list[str]) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def wait_until_listening(self, port: int) -> None:
        """Wait until a process accepts connections on a port, without sending a request."""
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while True:
            with socket.socket() as probe:
                if probe.connect_ex((_HOST, port)) == 0:
                    return
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"no process listens on port {port}")
            time.sleep(_POLL_INTERVAL_S)

    def _wait_for_response(self, port: int, path: str) -> None:
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while True:
            try:
                send_request("GET", port, path)
                return
            except (OSError, urllib.error.URLError):
                if time.monotonic() > deadline_s:
                    raise
                time.sleep(_POLL_INTERVAL_S)
