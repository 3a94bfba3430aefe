"""A planned stop of one instance while requests wait in it for a server."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from review.harness import Deployment, Server, is_troubled, play, send

REQUESTS_PER_S = 14.0
DEADLINE_S = 5.0
STOP_AT_S = 8.0
TRAFFIC_S = 16.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
# Clients use an answer of the directory for its `ttl_s`, some of them three times as long.
TTL_S = 2.0
LONG_TTL_SHARE = 0.3
# A full server asks for this time.
RETRY_AFTER_S = 4.0


class Client:
    """A caller in one zone that sends uploads to the instances that the directory names."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        self.deployment = deployment
        self.number = number
        self.rng = random.Random(number)
        self.ttl_s = TTL_S * (3 if self.rng.random() < LONG_TTL_SHARE else 1)
        self.addresses: list[str] = []
        self.asked_s = -100.0

    async def send_upload(self, name: str) -> None:
        """Send one upload and keep what came of it."""
        if self.deployment.now() - self.asked_s > self.ttl_s:
            named = await self.deployment.resolve("transilvania", "cluj-a")
            self.addresses, self.asked_s = named or self.addresses, self.deployment.now()
        host, _, port = self.rng.choice(self.addresses).rpartition(":")
        body = b"d" * 2_000
        text = (
            f"POST /cufi502/{name} HTTP/1.1\r\nHost: hulo84.example\r\nAttempt-Id: {name}\r\n"
            f"Deadline-Ms: {int(DEADLINE_S * 1_000)}\r\nCredential: key-1\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.deployment.record("sent", name, to=host)
        answer = await send(
            self.deployment, host, int(port), text.encode() + body, DEADLINE_S + 0.5
        )
        self.deployment.record(
            "answered" if answer.status else "cut",
            name,
            to=host,
            status=answer.status,
            after=round(answer.ended_s - answer.sent_s, 3),
            error=answer.headers.get("error", ""),
        )


async def run_scenario(deployment: Deployment) -> list[str]:
    """Load the service somewhat beyond its slots, and stop one instance."""
    await deployment.start_store()
    rule = {
        "name": "r-upload",
        "kind": "upload",
        "target_latency_ms": 800,
        "priority": 1,
        "public": False,
        "sticky": True,
        "match": {"path_prefix": "/cufi502/"},
        "action": {"service": "desene", "timeout_ms": 5000, "attempts": 2},
    }
    deployment.put_config([rule], ["desene"])
    for number, zone in enumerate(("cluj-a", "ploiesti-a")):
        server = Server(deployment, f"i-desene{number}", "desene", zone)
        server.queue, server.retry_after_s = 0, RETRY_AFTER_S
        await server.start()
    deployment.add_instances(3)
    if not await deployment.wait_until_ready():
        raise RuntimeError("the instances did not become ready")
    await asyncio.sleep(1.0)
    started = deployment.now()
    clients = [Client(deployment, number) for number in range(12)]
    tasks = []
    stopped = None
    instance = deployment.instances[0]
    for number in range(int(TRAFFIC_S * REQUESTS_PER_S)):
        await asyncio.sleep(max(0.0, started + number / REQUESTS_PER_S - deployment.now()))
        if is_troubled() and stopped is None and deployment.now() - started >= STOP_AT_S:
            stopped = deployment.now()
            deployment.signal(instance, signal.SIGTERM)
        client = clients[number % len(clients)]
        tasks.append(asyncio.create_task(client.send_upload(f"{number:04x}")))
    await asyncio.gather(*tasks)
    return judge(deployment, instance.host, stopped)


def judge(deployment: Deployment, host: str, stopped: float | None) -> list[str]:
    """Return the requests that the rule counts as lost."""
    arrived = {row["name"]: row["at"] for row in deployment.events if row["what"] == "arrived"}
    done = {row["name"]: row["at"] for row in deployment.events if row["what"] == "done"}
    broken = []
    for row in deployment.events:
        if row["what"] != "cut" or not LOSS_SLACK_S < row["after"] < DEADLINE_S:
            continue
        name, sent = row["name"], row["at"] - row["after"]
        if stopped is not None and row["to"] == host and row["at"] > stopped + GRACE_S + 1.0:
            continue
        at_server = name in arrived and arrived[name] <= row["at"]
        is_working = at_server and done.get(name, row["at"]) >= (stopped or 0.0) + GRACE_S * 5 / 6
        if is_working and sent <= (stopped or 0.0) + 3.0:
            continue
        where = "at a server" if at_server else "at no server"
        since = "" if stopped is None else f", {sent - stopped:+.2f} s from the SIGTERM"
        broken.append(f"LOST {name}: sent{since}, cut after {row['after']} s, {where}")
    return broken


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, run_scenario)
