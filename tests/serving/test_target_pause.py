"""A target that answers 503 with a time gets no requests for that time, on loopback."""

import asyncio

from standins.platform_target import ResponseMode

# At most two requests may reach the target from an instance, from half a second after its answer.
MAX_REQUESTS = 2
LEARNING_S = 0.5


async def start_with_pausing_target(deployment, pause_s: float, count: int = 2):
    targets = [await deployment.add_target(f"t{number}") for number in range(count)]
    targets[0].response_mode = ResponseMode.SHED
    targets[0].pause_s = pause_s
    await deployment.start_instance("n0")
    await deployment.wait_until_ready("n0")
    return targets


async def send_many(deployment, count: int = 40) -> list[int]:
    responses = await asyncio.gather(
        *(deployment.send_request("/read/x", Affinity_Key=str(number)) for number in range(count))
    )
    return [response.status for response in responses]


def test_pausing_target_gets_no_requests_until_its_time_is_over(run_scenario) -> None:
    """The time was read nowhere: each request whose object belongs there went there first."""

    async def scenario(deployment) -> None:
        pausing, _ = await start_with_pausing_target(deployment, pause_s=3.0)
        await send_many(deployment)
        assert pausing.request_heads
        await asyncio.sleep(LEARNING_S)
        before = len(pausing.request_heads)
        for _ in range(4):
            assert set(await send_many(deployment)) == {200}
            await asyncio.sleep(0.4)
        assert len(pausing.request_heads) - before <= MAX_REQUESTS
        pausing.response_mode = ResponseMode.NORMAL
        await asyncio.sleep(1.5)
        await send_many(deployment)
        before = len(pausing.request_heads)
        await send_many(deployment)
        assert len(pausing.request_heads) - before > MAX_REQUESTS

    run_scenario(scenario)


def test_request_is_refused_at_once_if_all_targets_pause_for_longer(run_scenario) -> None:
    async def scenario(deployment) -> None:
        (pausing,) = await start_with_pausing_target(deployment, pause_s=5.0, count=1)
        loop = asyncio.get_running_loop()
        assert (await deployment.send_request("/order/x", method="POST")).status == 503
        started = loop.time()
        response = await deployment.send_request("/order/x", method="POST")
        assert response.status == 503
        assert loop.time() - started < 0.2
        assert 4.0 < float(response.headers["Retry-After"]) < 7.0
        assert len(pausing.request_heads) == 1

    run_scenario(scenario)
