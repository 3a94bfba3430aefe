"""A request that is answered with "not run" must not run: what such an answer may rest on."""

import asyncio

import aiohttp
import pytest
from multidict import CIMultiDict

from standins.platform_target import PlatformTargetStandIn, ResponseMode
from tests.serving.clients import build_upstream_client
from waxwingshelf.serving.relay_messages import build_relay_path
from waxwingshelf.serving.response_buffer import BoundedResponseHandler
from waxwingshelf.serving.send_results import OutgoingRequest, UpstreamResponse
from waxwingshelf.steering.targets import Target

TIMEOUT_MS = 2_000
NEW_ID = "t0-restarted"


@pytest.fixture
def connection():
    """Return a connection that has not been opened."""
    loop = asyncio.new_event_loop()
    yield BoundedResponseHandler(loop)
    loop.close()


def build_request(request_id: str, target_id: str) -> OutgoingRequest:
    headers = CIMultiDict({"Attempt-Id": request_id, "Expected-Instance": target_id})
    return OutgoingRequest("POST", "/order/x", headers, b"order", request_id)


async def send_twice(client, target: PlatformTargetStandIn, first_id: str):
    """Send a request to a target that rejects it, and then again to the same address."""
    results = []
    for target_id in (first_id, target.id):
        entry = Target(target_id, "work", "127.0.0.1", target.port, "north-1", "", 4, False, 0, 0)
        results.append(await client.send(entry, build_request("one", target_id), TIMEOUT_MS))
        target.response_mode = ResponseMode.NORMAL
    return results


@pytest.mark.parametrize("first_id", ["t0", NEW_ID], ids=["wrong target", "shed"])
def test_second_copy_of_a_rejection_does_not_answer_the_next_send(first_id) -> None:
    """The target restarted under a new id, or had room again, before the request came back."""

    async def scenario() -> None:
        target = PlatformTargetStandIn(NEW_ID, work_s=0.05)
        target.repeats_rejections = True
        target.response_mode = ResponseMode.SHED
        await target.start()
        client = build_upstream_client()
        try:
            first, second = await send_twice(client, target, first_id)
            assert first.kind.certainly_not_run
            assert isinstance(second, UpstreamResponse)
            assert target.runs["one"] == 1
        finally:
            await client.close()
            await target.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("first_id", ["t0", NEW_ID], ids=["wrong target", "shed"])
def test_second_copy_of_a_rejection_does_not_answer_a_peer(run_scenario, first_id) -> None:
    """Peers have pools of their own, and do not know what was sent before."""

    async def scenario(deployment) -> None:
        target = await deployment.add_target("t0", 0.05)
        await deployment.start_instance("n1")
        await deployment.wait_until_ready("n1")
        target.repeats_rejections = True
        targets = deployment.instances["n1"]._routing_state.targets
        if first_id == "t0":
            target.id = NEW_ID
            deployment.targets[NEW_ID] = target
            deployment.register(NEW_ID)
            await deployment.wait_until(lambda: targets.find_usable(NEW_ID))
        else:
            target.response_mode = ResponseMode.SHED
        statuses = []
        for target_id in ("t0", target.id):
            endpoint = deployment.settings["n1"].peer_state
            url = f"http://{endpoint.host}:{endpoint.port}{build_relay_path(target_id, '/order/x')}"
            headers = {"Attempt-Id": "one", "Expected-Instance": target_id, "Deadline-Ms": "2000"}
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, headers=headers, data=b"order") as response,
            ):
                statuses.append(response.status)
            target.response_mode = ResponseMode.NORMAL
        assert statuses[0] in (421, 503)
        assert statuses[1] == 200
        assert target.runs["one"] == 1

    run_scenario(scenario)


def test_connection_remembers_requests_until_their_deadline(connection) -> None:
    for number in range(64):
        connection.remember(f"id-{number}", deadline_ms=100, now_ms=0)
    connection.remember("later", deadline_ms=300, now_ms=200)
    assert connection.has_answered("later")
    assert not connection.has_answered("id-0")
    assert not connection.should_close


def test_connection_is_closed_before_it_forgets_a_request(connection) -> None:
    for number in range(65):
        connection.remember(f"id-{number}", deadline_ms=100, now_ms=0)
    assert all(connection.has_answered(f"id-{number}") for number in range(65))
    assert connection.should_close


WITHOUT_ID = {
    "rejection": b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "wrong target": b"HTTP/1.1 421 X\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("response", WITHOUT_ID.values(), ids=WITHOUT_ID.keys())
def test_rejection_that_names_no_request_may_have_run(response) -> None:
    """It may belong to another request on the connection, or to none."""

    async def scenario() -> None:
        target = PlatformTargetStandIn("t0")
        target.foreign_responses = [response]
        await target.start()
        client = build_upstream_client()
        try:
            entry = Target("t0", "work", "127.0.0.1", target.port, "north-1", "", 4, False, 0, 0)
            result = await client.send(entry, build_request("one", "t0"), TIMEOUT_MS)
            assert target.runs["one"] == 1
            assert not result.kind.certainly_not_run
        finally:
            await client.close()
            await target.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_of_a_target_that_ran_an_order_is_not_passed_on(run_scenario, status) -> None:
    """Targets confirm with a header of its own that a request did not run."""

    async def scenario(deployment) -> None:
        target = await deployment.add_target("t0")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        target.response_mode, target.failure_status = ResponseMode.FAIL, status
        order = await deployment.send_request("/order/x", method="POST", Attempt_Id="order")
        assert target.runs["order"] == 1
        assert order.status == 502
        assert "Server-Signature" not in order.headers
        read = await deployment.send_request("/read/x")
        assert read.status == status
        assert read.headers["Server-Signature"] == "ok"

    run_scenario(scenario)
