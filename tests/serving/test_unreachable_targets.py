"""Instances that are cut off from all targets keep serving their callers, on loopback."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

import pytest

from tests.serving.target_links import Cut, TargetLinks, open_unresponsive_port

# From RECOVER: it holds from `stability_window_ms` after the cut began. Callers of the instances
# that are cut off are served at least two thirds as often as the others, or no more than 10 and one
# in 50 of all first attempts fail there.
STABILITY_WINDOW_S = 3.0
MIN_SERVED_RATIO = 2 / 3
FAILURE_SLACK = 10
FAILURE_DIVISOR = 50
# What callers of the other instances get while the cut lasts and after it.
MIN_SERVED_BY_OTHERS = 0.95
OBSERVED_S = 2.5
AFTER_S = 1.5
REQUESTS_PER_S = 60
NOT_RUN_STATUSES = (408, 421, 429, 503)
DOMAINS = ("north-1", "south-1")
TARGETS = {f"t{number}": DOMAINS[number % 2] for number in range(6)}
# The number of instances, and how many of the first failure domain's lose all targets. In fleets of
# more than 17, heartbeats go to a sample of the peers only.
FLEETS = [(3, 1), (3, 2), (6, 1), (6, 2), (6, 3), (12, 5), (12, 6), (18, 8), (18, 9)]


@dataclass(frozen=True)
class Sent:
    """A caller's first attempt; `at_s` is a reading of the monotonic clock."""

    instance: str
    at_s: float
    request_id: str
    is_order: bool
    status: int
    elapsed_s: float


class Fleet:
    """Instances whose links to targets can be cut, and callers that use them all alike."""

    def __init__(self, deployment, size: int, unresponsive_port: int) -> None:
        self._deployment = deployment
        self._size = size
        self.links = {f"n{number}": TargetLinks(unresponsive_port) for number in range(size)}
        self.sent: list[Sent] = []
        self.requests_per_s = REQUESTS_PER_S
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        for name, domain in TARGETS.items():
            target = await self._deployment.add_target(name, work_s=0.05)
            self._deployment.register(name, failure_domain=domain)
            for links in self.links.values():
                await links.add_target(target.port)
        for number, (name, links) in enumerate(self.links.items()):
            # The first domain has one instance more if their number is odd.
            domain = DOMAINS[number % len(DOMAINS)]
            await self._deployment.start_instance(
                name, failure_domain=domain, open_target_socket=links.open_socket
            )
        for name in self.links:
            await self._deployment.wait_until_ready(name)
        self._tasks = [asyncio.create_task(self._call(name)) for name in self.links]
        await asyncio.sleep(1.5)

    def choose_cut(self, count: int) -> list[str]:
        return list(self.links)[:: len(DOMAINS)][:count]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for links in self.links.values():
            links.stop()

    async def _call(self, name: str) -> None:
        async with asyncio.TaskGroup() as requests:
            while True:
                requests.create_task(self._send(name))
                await asyncio.sleep(self._size / self.requests_per_s)

    async def _send(self, name: str) -> None:
        at_s = time.monotonic()
        is_order = len(self.sent) % 2 == 0
        request_id = f"{name}-{at_s}"
        response = await self._deployment.send_request(
            "/order/x" if is_order else "/read/x",
            name,
            method="POST" if is_order else "GET",
            body=b"body" if is_order else None,
            Affinity_Key=str(int(at_s * 1_000) % 20),
            Attempt_Id=request_id,
        )
        elapsed_s = time.monotonic() - at_s
        self.sent.append(Sent(name, at_s, request_id, is_order, response.status, elapsed_s))

    def list_sent(self, names, from_s: float, until_s: float) -> list[Sent]:
        return [
            sent for sent in self.sent if sent.instance in names and from_s <= sent.at_s < until_s
        ]

    def check_runs(self) -> None:
        """Check that no order ran twice, and that no request that was refused has run."""
        runs: Counter[str] = Counter()
        for target in self._deployment.targets.values():
            runs.update(target.runs)
        for sent in self.sent:
            if sent.is_order:
                assert runs[sent.request_id] <= 1, sent
                assert sent.status not in NOT_RUN_STATUSES or not runs[sent.request_id], sent


def compute_served(requests: list[Sent]) -> float:
    return sum(sent.status == 200 for sent in requests) / len(requests)


@pytest.mark.parametrize(
    ("size", "cut_count", "cut"),
    [(size, count, cut) for size, count in FLEETS for cut in Cut],
)
def test_callers_of_instances_without_targets_are_served(
    run_scenario, size, cut_count, cut
) -> None:
    async def scenario(deployment) -> None:
        with open_unresponsive_port() as port:
            fleet = Fleet(deployment, size, port)
            await fleet.start()
            cut_off = fleet.choose_cut(cut_count)
            others = fleet.links.keys() - set(cut_off)
            began_s = time.monotonic()
            for name in cut_off:
                fleet.links[name].cut(cut)
            # Connections that live on do not suffice for more load.
            fleet.requests_per_s *= 2
            await asyncio.sleep(STABILITY_WINDOW_S + OBSERVED_S)
            ended_s = time.monotonic()
            for name in cut_off:
                fleet.links[name].heal()
            await asyncio.sleep(AFTER_S)
            healed_s = time.monotonic()
            await asyncio.sleep(1.2)  # The last requests end.
            await fleet.stop()

        from_s = began_s + STABILITY_WINDOW_S
        at_cut = fleet.list_sent(cut_off, from_s, ended_s)
        at_others = fleet.list_sent(others, from_s, ended_s)
        failed = sum(sent.status != 200 for sent in at_cut)
        max_failed = FAILURE_SLACK + (len(at_cut) + len(at_others)) / FAILURE_DIVISOR
        served = compute_served(at_cut)
        assert served >= MIN_SERVED_RATIO * compute_served(at_others) or failed <= max_failed
        # Fewer failures than the slack are no proof that an instance serves.
        assert served >= MIN_SERVED_RATIO
        assert compute_served(fleet.list_sent(others, began_s, healed_s)) >= MIN_SERVED_BY_OTHERS
        assert compute_served(fleet.list_sent(cut_off, ended_s, healed_s)) >= MIN_SERVED_RATIO
        fleet.check_runs()

    run_scenario(scenario)


def test_request_is_refused_at_once_where_no_instance_reaches_a_target(run_scenario) -> None:
    """The refusal says that the request has not run, and does not wait for the deadline."""

    async def scenario(deployment) -> None:
        with open_unresponsive_port() as port:
            fleet = Fleet(deployment, 3, port)
            await fleet.start()
            for links in fleet.links.values():
                links.cut(Cut.SILENT)
            await asyncio.sleep(STABILITY_WINDOW_S)
            from_s = time.monotonic()
            await asyncio.sleep(1.0)
            until_s = time.monotonic()
            await asyncio.sleep(1.2)
            await fleet.stop()
        refused = fleet.list_sent(fleet.links, from_s, until_s)
        assert {sent.status for sent in refused} == {503}
        assert max(sent.elapsed_s for sent in refused) < 0.25
        fleet.check_runs()

    run_scenario(scenario)
