"""A target whose responses say that it is leaving gets no new requests, on loopback."""

import asyncio

import pytest
from multidict import CIMultiDict

from standins.platform_target import PlatformTargetStandIn, ResponseMode
from tests.serving.clients import build_upstream_client
from tests.serving.target_links import open_unresponsive_port
from waxwingshelf.serving.upstream import FailureKind, OutgoingRequest, SendFailure
from waxwingshelf.steering.targets import Target


async def send_until_heard(deployment, target) -> None:
    """Send requests for different objects until one has reached the target."""
    for number in range(40):
        before = len(target.request_heads)
        await deployment.send_request("/read/x", Affinity_Key=str(number))
        if len(target.request_heads) > before:
            return
    raise AssertionError("no request reached the target")


async def count_requests(deployment, target, requests: int = 40) -> int:
    before = len(target.request_heads)
    responses = await asyncio.gather(
        *(
            deployment.send_request("/read/x", Affinity_Key=str(number))
            for number in range(requests)
        )
    )
    assert {response.status for response in responses} == {200}
    return len(target.request_heads) - before


async def start_with_two_targets(deployment):
    leaving, other = await deployment.add_target("t1"), await deployment.add_target("t2")
    deployment.register("t1", born=1_000)
    await deployment.start_instance("n0")
    await deployment.wait_until_ready("n0")
    return leaving, other


@pytest.mark.parametrize(
    "response_mode",
    [ResponseMode.NORMAL, ResponseMode.SHED, ResponseMode.FAIL, ResponseMode.CUT],
)
def test_leaving_target_gets_no_new_request(run_scenario, response_mode) -> None:
    """The header was read nowhere: requests went on while the entry still said ready."""

    async def scenario(deployment) -> None:
        leaving, _ = await start_with_two_targets(deployment)
        leaving.leaving = True
        leaving.response_mode = response_mode
        await send_until_heard(deployment, leaving)
        assert await count_requests(deployment, leaving) == 0

    run_scenario(scenario)


def test_only_a_new_run_brings_a_leaving_target_back(run_scenario) -> None:
    async def scenario(deployment) -> None:
        leaving, _ = await start_with_two_targets(deployment)
        leaving.leaving = True
        await send_until_heard(deployment, leaving)
        # The same run writes its entry again, also after the entry was gone.
        deployment.register("t1", born=1_000, sequence=2)
        await asyncio.sleep(0.2)
        assert await count_requests(deployment, leaving) == 0
        deployment.store.delete("servers/t1")
        await asyncio.sleep(2.5)
        deployment.register("t1", born=1_000, sequence=3)
        await asyncio.sleep(0.2)
        assert await count_requests(deployment, leaving) == 0
        leaving.leaving = False
        deployment.register("t1", born=2_000)
        await asyncio.sleep(0.2)
        assert await count_requests(deployment, leaving) > 0

    run_scenario(scenario)


def test_requests_are_refused_at_once_when_all_targets_leave(run_scenario) -> None:
    """Waiting requests were kept until their deadline although no target was left."""

    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1", work_s=0.4)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        target.leaving = True
        loop = asyncio.get_running_loop()

        async def send(number: int) -> tuple[int, float]:
            started = loop.time()
            response = await deployment.send_request(
                "/order/x", method="POST", deadline_ms=2_500, Affinity_Key=str(number)
            )
            return response.status, loop.time() - started

        results = await asyncio.gather(*(send(number) for number in range(20)))
        served = [elapsed for status, elapsed in results if status == 200]
        refused = [elapsed for status, elapsed in results if status == 503]
        assert served and refused
        assert len(served) + len(refused) == 20
        assert max(refused) < 0.7
        assert target.runs.total() == len(served)
        status, elapsed = await send(99)
        assert status == 503
        assert elapsed < 0.1

    run_scenario(scenario)


def test_chosen_request_is_not_sent_if_the_target_leaves_while_it_connects() -> None:
    """Guard against a send by a decision made before the connection was there, or a pause."""

    async def main() -> None:
        standin = PlatformTargetStandIn("t")
        await standin.start()
        client = build_upstream_client()
        target = Target("t", "work", "127.0.0.1", standin.port, "north-1", "", 4, False, 0, 0)
        headers = CIMultiDict({"Attempt-Id": "id-1", "Expected-Instance": "t"})
        request = OutgoingRequest("POST", "/x", headers, b"body", "id-1")
        result = await client.send(target, request, 1_000, may_still_send=lambda: False)
        assert isinstance(result, SendFailure)
        assert result.kind is FailureKind.WITHDRAWN
        assert result.kind.certainly_not_run
        await asyncio.sleep(0.05)
        assert not standin.request_heads
        await client.close()
        await standin.stop()

    asyncio.run(main())


def test_request_without_a_connection_has_not_run() -> None:
    """It counted as possibly run, so that callers could not repeat it."""

    async def main() -> None:
        with open_unresponsive_port() as port:
            client = build_upstream_client()
            target = Target("t", "work", "127.0.0.1", port, "north-1", "", 4, False, 0, 0)
            request = OutgoingRequest("POST", "/x", CIMultiDict(), b"body", "id-1")
            result = await client.send(target, request, 300)
            assert isinstance(result, SendFailure)
            assert result.kind is FailureKind.NOT_CONNECTED
            await client.close()

    asyncio.run(main())
