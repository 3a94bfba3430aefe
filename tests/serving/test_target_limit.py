"""A target that names a rate limit gets no more than that from all instances, on loopback."""

import asyncio
import time

INSTANCES = ("n0", "n1", "n2")
LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# Half as much again and five requests are allowed beyond what the limit gives in a window.
MAX_IN_WINDOW = int(1.5 * LIMIT_PER_S * WINDOW_S + 5)


async def start_deployment(deployment):
    """Start a limited and another target, and instances that have all heard of the limit."""
    limited = await deployment.add_target("t0")
    other = await deployment.add_target("t1")
    limited.limit_per_s = LIMIT_PER_S
    for name in INSTANCES:
        await deployment.start_instance(name)
        await deployment.wait_until_ready(name)
    await send_requests(deployment, 30)
    await asyncio.sleep(0.5)
    return limited, other


async def send_requests(deployment, count: int) -> list[int]:
    """Send requests for different objects, spread over the instances."""

    async def send(object_key: int) -> int:
        name = INSTANCES[object_key % len(INSTANCES)]
        response = await deployment.send_request("/read/x", name, Affinity_Key=str(object_key))
        return response.status

    return list(await asyncio.gather(*(send(object_key) for object_key in range(count))))


async def send_for_one_window(deployment) -> list[int]:
    statuses: list[int] = []
    end_s = time.monotonic() + WINDOW_S
    while time.monotonic() < end_s:
        statuses += await send_requests(deployment, 12)
        await asyncio.sleep(0.2)
    return statuses


def test_target_gets_no_more_than_the_limit_that_it_names(run_scenario) -> None:
    """The limit was forwarded to callers and not kept: the target got every request as before."""

    async def scenario(deployment) -> None:
        limited, other = await start_deployment(deployment)
        before = len(limited.request_heads)
        statuses = await send_for_one_window(deployment)
        assert set(statuses) == {200}
        assert len(other.request_heads) > 100
        assert len(limited.request_heads) - before <= MAX_IN_WINDOW

    run_scenario(scenario)


def test_limited_target_is_still_used_and_regains_its_requests(run_scenario) -> None:
    async def scenario(deployment) -> None:
        limited, _ = await start_deployment(deployment)
        before = len(limited.request_heads)
        await send_for_one_window(deployment)
        assert 0 < len(limited.request_heads) - before
        # The limit ends with the first answer that does not name it.
        limited.limit_per_s = None
        await asyncio.sleep(len(INSTANCES) / LIMIT_PER_S)
        await send_requests(deployment, 60)
        before = len(limited.request_heads)
        await send_requests(deployment, 60)
        assert len(limited.request_heads) - before > MAX_IN_WINDOW

    run_scenario(scenario)
