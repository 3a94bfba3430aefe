"""Sessions over real sockets are compared with golden files.

Set WAXWINGSHELF_UPDATE_GOLDEN=1 to update the files. Values that differ from run to run (ids,
ports, times) are replaced by placeholders.
"""

import json
import os
import re
from pathlib import Path
from typing import Any

import pytest

from standins.store import Faults
from tests.conftest import LoopbackFleet

GOLDEN = Path("tests/golden")
PLACEHOLDERS = [
    (r"\b[0-9a-f]{64}\b", "<digest>"),
    (r"\b[0-9a-f]{16}\b", "<id>"),
    (r"127\.0\.0\.1:\d+", "<address>"),
    (r"\b\d+\.r0\.\d{10}\.", "<prefix>."),
    (r'"(when_ms|confirmed_age_ms|ledger_version|port)": \d+', r'"\1": 0'),
    (r"n(\d)#\d+", r"n\1#<incarnation>"),
]


class Session:
    """Send requests and record them with their responses."""

    def __init__(self, fleet: LoopbackFleet) -> None:
        self.fleet = fleet
        self.lines: list[str] = []

    async def send(self, sender: str, method: str, path: str, key: str = "", **options: Any) -> Any:
        status, response, headers = await self.fleet.send_request(
            "n0", method, path, key, **options
        )
        shown_headers = {
            name: headers[name]
            for name in ("Content-Type", "Cache-Control", "Retry-After", "X-Replayed")
            if name in headers
        }
        self.lines.append(f"{sender} > {method} {path}")
        for name, value in sorted(options.get("headers", {}).items()):
            self.lines.append(f"{sender} > {name}: {value}")
        if "json" in options:
            self.lines.append(f"{sender} > {json.dumps(options['json'], sort_keys=True)}")
        self.lines.append(f"{sender} < {status} {json.dumps(shown_headers, sort_keys=True)}")
        self.lines.append(f"{sender} < {json.dumps(response, sort_keys=True)}")
        return response

    def render(self) -> str:
        text = "\n".join(self.lines) + "\n"
        for pattern, placeholder in PLACEHOLDERS:
            text = re.sub(pattern, placeholder, text)
        return text


async def run_caller_session(session: Session) -> None:
    """Look up instances, send reads and orders, repeat an order, and send refused requests."""
    session.fleet.targets["web-1"].behaviour.draining = True
    session.fleet.targets["orders-1"].behaviour.draining = True
    lookup = await session.send("caller", "GET", "/v1/instances?service=orders")
    await session.send("caller", "GET", "/s/web/patterns/7?size=2", "acme")
    headers = {"Idempotency-Key": lookup["request_id_prefix"] + "order-1"}
    for _ in range(2):
        await session.send("caller", "POST", "/s/orders/new", "acme", headers=headers, data=b"{}")
    await session.send("caller", "POST", "/s/orders/new", "acme", headers=headers, data=b"other")
    await session.send("caller", "POST", "/s/orders/new", "acme")
    await session.send("caller", "GET", "/s/web/x")
    await session.send("caller", "GET", "/s/web/x", "wrong key")
    await session.send("caller", "GET", "/s/nothing/x", "acme")
    await session.send("caller", "GET", "/s/public/x")


async def run_operator_session(session: Session) -> None:
    """Send accepted, conflicting, invalid and unauthenticated changes; read the history."""
    key = session.fleet.operator_key
    path = "/organisations/acme/rate_per_s"

    def build_change(value: float, based_on: int, why: str) -> dict[str, Any]:
        patch = [{"op": "replace", "path": path, "value": value}]
        return {"patch": patch, "based_on": based_on, "why": why}

    manifest = "/admin/v1/manifest"
    await session.send("operator", "PUT", manifest, key, json=build_change(90, 1, "season"))
    await session.send("operator", "PUT", manifest, key, json=build_change(80, 1, "other view"))
    await session.send("operator", "PUT", manifest, key, json=build_change(-1, 2, "typing error"))
    await session.send(
        "operator", "PUT", manifest, "wrong key", json=build_change(70, 2, "intruder")
    )
    history = await session.send("operator", "GET", "/admin/v1/history", key)
    assert [entry["revision"] for entry in history["revisions"]] == [1, 2]


async def run_outage_session(session: Session) -> None:
    """While the store is down, reads and orders are served and changes are refused."""
    lookup = await session.send("caller", "GET", "/v1/instances?service=orders")
    session.fleet.store.faults = Faults(down=True)
    session.lines.append("store ! down")
    session.fleet.targets["web-1"].behaviour.draining = True
    session.fleet.targets["orders-1"].behaviour.draining = True
    await session.send("caller", "GET", "/s/web/x", "acme")
    headers = {"Idempotency-Key": lookup["request_id_prefix"] + "order-1"}
    await session.send("caller", "POST", "/s/orders/new", "acme", headers=headers, data=b"{}")
    body = {"patch": [{"op": "remove", "path": "/organisations/bolt"}], "why": "leaves"}
    key = session.fleet.operator_key
    await session.send("operator", "PUT", "/admin/v1/manifest", key, json=body)


SESSIONS = {
    "caller": run_caller_session,
    "operator": run_operator_session,
    "outage": run_outage_session,
}


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_session(run_with_fleet, name: str) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        session = Session(fleet)
        await SESSIONS[name](session)
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("WAXWINGSHELF_UPDATE_GOLDEN"):
            path.write_text(session.render())
        assert session.render() == path.read_text()

    run_with_fleet(body, "n0")
