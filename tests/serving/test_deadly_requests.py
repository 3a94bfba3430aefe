"""A request that crashes each target that runs it is stopped soon, on loopback."""

import asyncio
import itertools
import time
from collections import Counter

import pytest

# From BUDGET: at most three retries of such a request reach targets from `stability_window_ms`
# after it has crashed the third.
STABILITY_WINDOW_S = 3.0
ALLOWED_CRASHES = 3
ALLOWED_RETRIES = 3
DEADLY_TEXT = "deadly"
OBSERVED_S = 3.0
MAX_REFUSAL_S = 0.25
NOT_RUN_STATUSES = (429, 503)
TARGETS = 8


class Traffic:
    """Harmless requests, and copies of a request that crashes targets, to all instances alike."""

    def __init__(self, deployment, names, route, body=None) -> None:
        self._deployment = deployment
        self._names = itertools.cycle(names)
        self._route, self._body = route, body
        self._tasks = []
        self.harmless = Counter()
        self.copies = []

    def start(self) -> None:
        self._tasks = [
            asyncio.create_task(self._send_all(send)) for send in (self._send, self._kill)
        ]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_all(self, send) -> None:
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                group.create_task(send(number))
                await asyncio.sleep(0.04)

    async def _send(self, number) -> None:
        response = await self._deployment.send_request(
            f"/read/{number}", next(self._names), Affinity_Key=str(number)
        )
        self.harmless[response.status] += 1

    async def _kill(self, number) -> None:
        began_s = time.monotonic()
        method = "GET" if self._body is None else "POST"
        path = f"/{self._route}/{DEADLY_TEXT}"
        response = await self._deployment.send_request(
            path, next(self._names), method, body=self._body, Affinity_Key=str(number)
        )
        self.copies.append((began_s, response.status, time.monotonic() - began_s))


def count_crashes(deployment) -> int:
    return sum(target.crashes for target in deployment.targets.values())


def count_runs_of_copies(deployment) -> int:
    heads = itertools.chain.from_iterable(
        target.request_heads for target in deployment.targets.values()
    )
    return sum(DEADLY_TEXT in request_line for request_line, _ in heads)


async def start_fleet(deployment, size: int) -> list[str]:
    for number in range(TARGETS):
        target = await deployment.add_target(f"t{number}", work_s=0.05)
        target.deadly_text = DEADLY_TEXT
    names = [f"n{number}" for number in range(size)]
    for name in names:
        await deployment.start_instance(name)
    for name in names:
        await deployment.wait_until_ready(name)
    # Instances hear each other and read the entries of all targets.
    await asyncio.sleep(1.0)
    return names


async def wait_for_third_crash(deployment) -> None:
    await deployment.wait_until(lambda: count_crashes(deployment) >= ALLOWED_CRASHES)
    await asyncio.sleep(STABILITY_WINDOW_S)


async def assert_stopped(deployment, traffic) -> None:
    """Assert that copies reach no target any more, and that all else is served."""
    before = count_runs_of_copies(deployment)
    began_s = time.monotonic()
    traffic.harmless.clear()
    await asyncio.sleep(OBSERVED_S)
    sent = count_runs_of_copies(deployment) - before
    assert sent <= ALLOWED_RETRIES
    copies = [copy for copy in traffic.copies if copy[0] >= began_s]
    assert len(copies) > 20
    assert sum(status not in NOT_RUN_STATUSES for _, status, _ in copies) <= sent
    assert max(elapsed_s for _, _, elapsed_s in copies) < MAX_REFUSAL_S
    assert set(traffic.harmless) == {200}


@pytest.mark.parametrize(
    ("size", "route", "body"),
    [(1, "read", None), (4, "read", None), (4, "order", b"x" * 5_000), (18, "read", None)],
)
def test_deadly_request_is_stopped_at_all_instances(run_scenario, size, route, body) -> None:
    """One request crashed target after target, as each instance took each copy for a new one."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, size)
        traffic = Traffic(deployment, names, route, body)
        traffic.start()
        try:
            await wait_for_third_crash(deployment)
            await assert_stopped(deployment, traffic)
        finally:
            await traffic.stop()

    run_scenario(scenario)


@pytest.mark.parametrize(("route", "method"), [("read", "GET"), ("order", "POST")])
def test_third_crash_is_the_last(run_scenario, route, method) -> None:
    """Guards against copies that are sent while it is being found out what crashed the targets.

    Each comes when the one before was answered, at an instance that may not have seen a crash.
    """

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 4)
        for name in names * 2:
            response = await deployment.send_request(f"/{route}/{DEADLY_TEXT}", name, method)
            assert response.status in (502, 503)
        assert count_crashes(deployment) == ALLOWED_CRASHES

    run_scenario(scenario)
