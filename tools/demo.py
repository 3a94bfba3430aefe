"""Run a small fleet as a demo: three instances and six targets in three regions."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
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

from tools.processes import InstanceSpec, LocalFleet, find_ports, send_request
from waxwingshelf.core.config import hash_key
from waxwingshelf.core.refusals import REASONS

__all__ = ["main"]

_REGIONS = ("north", "south", "west")
_REQUEST_COUNT = 300
_MAX_DELAY_S = 5.0
_INTERVAL_S = 0.01


@dataclass
class _RequestCounts:
    """Counts of the demo's requests by outcome."""

    requests: int = 0
    answered: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    unexplained: int = 0
    wrong_answers: int = 0


class _Demo:
    def __init__(self, directory: Path) -> None:
        self._operator_key = secrets.token_urlsafe(32)
        self._fleet = LocalFleet(directory, hash_key(self._operator_key))
        self._directory = directory
        self._counts = _RequestCounts()
        self._target_ports: dict[str, int] = {}

    def run(self) -> dict[str, Any]:
        """Run the whole demo and return its results."""
        try:
            self._start()
            return asyncio.run(self._run_scenario())
        finally:
            self._fleet.stop()

    def _start(self) -> None:
        ports = find_ports(12)
        self._fleet.start_store()
        for number in range(6):
            name = f"{'patterns' if number < 3 else 'orders'}-{number % 3 + 1}"
            self._target_ports[name] = ports[number]
            self._fleet.start_target(name, ports[number], 8, 5)
        specs = [
            InstanceSpec(f"entry-{n + 1}", region, f"{region}-1", ports[6 + n], ports[9 + n])
            for n, region in enumerate(_REGIONS)
        ]
        for spec in specs:
            self._fleet.start_instance(spec, *[other for other in specs if other is not spec])
        manifest = self._directory / "manifest.json"
        manifest.write_text("// The demo's manifest.\n" + json.dumps(self._build_manifest()))
        self._wait_for_admin_api(specs[0])
        self._run_command("manifest", "apply", str(manifest), "--based-on", "0", "--why", "start")
        for spec in specs:
            self._fleet.wait_until_serving(spec.name, "patterns")
        self._fleet.wait_until_shares_usable(self._operator_key)
        print(f"3 instances and 6 targets serve; entry-1 listens on {specs[0].port}")

    def _build_manifest(self) -> dict[str, Any]:
        targets = {
            name: {
                "service": name.partition("-")[0],
                "region": _REGIONS[int(name[-1]) - 1],
                "failure_domain": f"{_REGIONS[int(name[-1]) - 1]}-1",
                "host": "127.0.0.1",
                "port": port,
            }
            for name, port in self._target_ports.items()
        }
        shift_cap = {"requests_per_s": 500, "burst": 200}
        return {
            "fleet": {"name": "demo", "lookup_ttl_ms": 1000},
            "regions": {region: {"failure_domains": [f"{region}-1"]} for region in _REGIONS},
            "services": {
                "patterns": {"deadline_ms": 2000, "slots": 8},
                "orders": {"deadline_ms": 3000, "slots": 8, "idempotent": False},
            },
            "targets": targets,
            "organisations": {
                "shop": {"rate_per_s": 400, "burst": 200},
                "foundry": {"rate_per_s": 400, "burst": 200},
            },
            "shift_caps": {f"{a}>{b}": shift_cap for a in _REGIONS for b in _REGIONS if a != b},
        }

    def _wait_for_admin_api(self, spec: InstanceSpec) -> None:
        deadline_s = time.monotonic() + 15
        while True:
            try:
                send_request("GET", spec.port, "/admin/v1/manifest", key=self._operator_key)
                return
            except OSError:
                if time.monotonic() > deadline_s:
                    raise
                time.sleep(0.05)

    def _run_command(self, *arguments: str) -> dict[str, Any]:
        address = f"127.0.0.1:{self._fleet.instances['entry-1'].port}"
        command = [
            sys.executable,
            "-m",
            "waxwingshelf",
            *arguments,
            "--instance",
            address,
            "--json",
        ]
        environment = {**os.environ, "WAXWINGSHELF_OPERATOR_KEY": self._operator_key}
        output = subprocess.run(command, env=environment, capture_output=True, check=False)
        if output.returncode != 0:
            raise RuntimeError(f"{' '.join(arguments)} failed: {output.stdout!r} {output.stderr!r}")
        response: dict[str, Any] = json.loads(output.stdout)
        return response

    async def _run_scenario(self) -> dict[str, Any]:
        keys = {name: self._run_command("key", "issue", name) for name in ("shop", "foundry")}
        await asyncio.sleep(1)
        async with aiohttp.ClientSession() as session:
            for number in range(_REQUEST_COUNT):
                organisation = ("shop", "foundry")[number % 2]
                await self._send(session, number, organisation, keys[organisation]["key"])
            print(f"{_REQUEST_COUNT} requests: {self._counts.answered} answered")
            withdrawal_delay_s = await self._measure_key_withdrawal(session, keys["foundry"])
            print(f"a withdrawn key stopped on every instance after {withdrawal_delay_s:.2f} s")
            late_runs = await self._count_runs_after_drain(session, keys["shop"]["key"])
            print(f"a drained target got {late_runs} new requests after {_MAX_DELAY_S:.0f} s")
            await self._kill_instance(session, keys["shop"]["key"])
        return self._summarize(withdrawal_delay_s, late_runs)

    async def _send(
        self, session: aiohttp.ClientSession, number: int, organisation: str, key: str
    ) -> None:
        """Send one request to the instances of a lookup, in order, until one of them responds."""
        service = "orders" if number % 5 == 0 else "patterns"
        lookup = await self._look_up(session, service)
        path = f"/item/{number}"
        headers = {"Authorization": f"Bearer {key}"}
        if service == "orders":
            headers["Idempotency-Key"] = f"{lookup['request_id_prefix']}demo-{number}"
        method = "POST" if service == "orders" else "GET"
        self._counts.requests += 1
        for instance in lookup["instances"]:
            url = f"http://{instance['address']}/s/{service}{path}"
            try:
                async with session.request(method, url, headers=headers) as response:
                    self._record_response(
                        response.status, await response.json(), path, organisation
                    )
                return
            except aiohttp.ClientError:
                continue
        self._counts.unexplained += 1

    async def _look_up(self, session: aiohttp.ClientSession, service: str) -> Any:
        for spec in self._fleet.instances.values():
            url = f"http://127.0.0.1:{spec.port}/v1/instances?service={service}"
            try:
                async with session.get(url) as response:
                    return await response.json()
            except aiohttp.ClientError:
                continue
        raise RuntimeError("no instance answered the lookup")

    def _record_response(
        self, status: int, body: dict[str, Any], path: str, organisation: str
    ) -> None:
        if status == 200:
            self._counts.answered += 1
            is_correct = body["path"] == path and body["organisation"] == organisation
            self._counts.wrong_answers += not is_correct
            return
        reason = body.get("reason", "")
        self._counts.refused[reason] += 1
        self._counts.unexplained += reason not in REASONS

    async def _measure_key_withdrawal(
        self, session: aiohttp.ClientSession, issued: dict[str, Any]
    ) -> float:
        self._run_command("key", "withdraw", issued["digest"])
        started_s = time.monotonic()
        headers = {"Authorization": f"Bearer {issued['key']}"}
        for spec in self._fleet.instances.values():
            url = f"http://127.0.0.1:{spec.port}/s/patterns/withdrawn"
            while True:
                async with session.get(url, headers=headers) as response:
                    if response.status == 401:
                        break
                if time.monotonic() - started_s > 2 * _MAX_DELAY_S:
                    break
                await asyncio.sleep(_INTERVAL_S)
        return time.monotonic() - started_s

    async def _count_runs_after_drain(self, session: aiohttp.ClientSession, key: str) -> int:
        self._run_command("target", "drain", "patterns-1", "--why", "demo")
        deadline_s = time.monotonic() + _MAX_DELAY_S + 1
        number = _REQUEST_COUNT
        while time.monotonic() < deadline_s:
            await self._send(session, number, "shop", key)
            number += 1
            await asyncio.sleep(_INTERVAL_S)
        record = send_request("GET", self._target_ports["patterns-1"], "/control/record")
        return sum(1 for age_ms in record["run_ages_ms"] if age_ms < 1_000)

    async def _kill_instance(self, session: aiohttp.ClientSession, key: str) -> None:
        self._fleet.send_signal("entry-3", signal.SIGKILL)
        answered_before = self._counts.answered
        for number in range(1_000_000, 1_000_100):
            await self._send(session, number, "shop", key)
            await asyncio.sleep(_INTERVAL_S)
        answered = self._counts.answered - answered_before
        print(f"after entry-3 was killed, {answered} of 100 requests were answered")

    def _summarize(self, withdrawal_delay_s: float, late_runs: int) -> dict[str, Any]:
        runs: Counter[str] = Counter()
        for name, port in self._target_ports.items():
            if name.startswith("orders"):
                runs.update(send_request("GET", port, "/control/record")["runs"])
        return {
            "requests": self._counts.requests,
            "answered": self._counts.answered,
            "refused": dict(self._counts.refused),
            "unexplained": self._counts.unexplained,
            "wrong_answers": self._counts.wrong_answers,
            "ran_twice": sum(1 for count in runs.values() if count > 1),
            "after_withdrawal_s": round(withdrawal_delay_s, 3),
            "drained_target_late_runs": late_runs,
        }


def main() -> int:
    """Run the demo; return 0 if all its checks passed, otherwise 1."""
    with tempfile.TemporaryDirectory() as directory:
        summary = _Demo(Path(directory)).run()
    print(json.dumps(summary))
    passed = (
        summary["wrong_answers"] == 0
        and summary["ran_twice"] == 0
        and summary["unexplained"] == 0
        and summary["drained_target_late_runs"] == 0
        and summary["after_withdrawal_s"] < _MAX_DELAY_S
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
