"""All instances restart while the store is away, and a tenant asks for more than its rate.

See claim.txt. Eight instances serve one tenant, whose client asks each of them for more than the
tenant's rate allows all the time.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.harness import Deployment, Instance, Server, is_troubled, play, send

INSTANCES = 8
SERVERS = 6
WORK_S = 0.05
# Requests per second of the client at each instance: 5.2 times the tenant's rate in all. The site's
# `hot_tenant` sends up to 8.8 times the usual, which is 5.5 times the rate (`quota_x` 1.6).
ASKED_PER_S = 13
# The tenant's limits, with the ratio of the users' installations.
RATE_PER_S = 20
BURST = 20
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
# The longest power loss of all machines and outage of the whole store in nlf-yield.toml.
DOWN_S = 1.5
OUTAGE_S = 4.5
RULE = {
    "name": "r-read",
    "kind": "safe",
    "target_latency_ms": 400,
    "priority": 1,
    "sticky": False,
    "match": {"path_prefix": "/read/"},
    "action": {"service": "yieldbook", "timeout_ms": 1200, "attempts": 2},
}


async def ask(deployment: Deployment, instance: Instance, name: str) -> None:
    """Send one request of the tenant."""
    lines = [
        f"GET /read/{name} HTTP/1.1",
        "Host: hulo84.example",
        f"Attempt-Id: {name}",
        "Deadline-Ms: 2500",
        "Credential: key-1",
        "Connection: close",
    ]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode()
    deployment.record("sent", name, instance=instance.name)
    answer = await send(deployment, instance.host, instance.ports[0], data, timeout_s=3.0)
    deployment.record("answered", name, status=answer.status)


async def ask_often(deployment: Deployment, instance: Instance, stopped: asyncio.Event) -> None:
    """Send requests at a steady rate until told to stop."""
    requests: list[asyncio.Task[None]] = []
    while not stopped.is_set():
        name = f"{instance.name}-{len(requests)}"
        requests.append(asyncio.create_task(ask(deployment, instance, name)))
        await asyncio.sleep(1.0 / ASKED_PER_S)
    await asyncio.gather(*requests)


async def scenario(deployment: Deployment) -> list[str]:
    """Return what broke the rule."""
    await deployment.start_store()
    for number in range(SERVERS):
        zone = ("cluj-a", "ploiesti-a", "iasi-a")[number % 3]
        server = Server(deployment, f"i-{number}", "yieldbook", zone)
        server.slots, server.queue, server.work_s = 9, 27, WORK_S
        await server.start()
    limits = {"rate_per_s": RATE_PER_S, "burst": BURST}
    deployment.put_config([RULE], ["yieldbook"], tenant_values=limits)
    deployment.add_instances(INSTANCES)
    if not await deployment.wait_until_ready():
        raise RuntimeError("the instances are not ready")
    await asyncio.sleep(4.0)
    stopped = asyncio.Event()
    clients = [
        asyncio.create_task(ask_often(deployment, instance, stopped))
        for instance in deployment.instances
    ]
    await asyncio.sleep(6.0)
    if is_troubled():
        await deployment.restart_all_without_store(DOWN_S, OUTAGE_S)
    await asyncio.sleep(10.0)
    stopped.set()
    await asyncio.gather(*clients)
    return judge(deployment)


def judge(deployment: Deployment) -> list[str]:
    """Return the window in which most requests were both sent and run, if it had too many."""
    sent = {row["name"]: row["at"] for row in deployment.events if row["what"] == "sent"}
    rows = [(sent[row["name"]], row["at"]) for row in deployment.events if row["what"] == "run"]
    allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    counts = [
        (sum(start <= sent_s and run_s <= start + WINDOW_S for sent_s, run_s in rows), start)
        for start in sorted({sent_s for sent_s, _ in rows})
    ]
    most, start = max(counts)
    text = f"{most} requests were sent and run in {WINDOW_S} s from {start}, allowed {allowed:g}"
    deployment.record("judged", text)
    return [text] if most > allowed else []


if __name__ == "__main__":
    play(Path(__file__).parent, scenario)
