"""Tests that responses and failures of a target are classified, over real sockets."""

import asyncio

import pytest
from multidict import CIMultiDict

from standins.platform_target import PlatformTargetStandIn, ResponseMode
from tests.serving.clients import build_upstream_client
from waxwingshelf.core.clock import SystemClock
from waxwingshelf.serving.upstream import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamResponse,
)
from waxwingshelf.steering.targets import Target

CASES = [
    (ResponseMode.NORMAL, None),
    (ResponseMode.CLOSE_UNFRAMED, None),
    (ResponseMode.SHED, FailureKind.SHED),
    (ResponseMode.CUT, FailureKind.BROKEN),
    (ResponseMode.RESET, FailureKind.BROKEN),
    (ResponseMode.RESET_UNFRAMED, FailureKind.BROKEN),
    (ResponseMode.UNSIGNED, FailureKind.UNSIGNED),
]


def make_request(index: int, target_id: str = "t") -> OutgoingRequest:
    headers = CIMultiDict({"Attempt-Id": f"id-{index}", "Expected-Instance": target_id})
    return OutgoingRequest("GET", "/a%2Fb?x=%20y", headers, None, f"id-{index}")


def make_target(standin: PlatformTargetStandIn) -> Target:
    return Target("t", "work", "127.0.0.1", standin.port, "north-1", "", 4, False, 0, 0)


async def send_to(
    response_mode: ResponseMode, times: int = 1
) -> list[UpstreamResponse | SendFailure]:
    standin = PlatformTargetStandIn("t")
    standin.response_mode = response_mode
    await standin.start()
    client = build_upstream_client()
    try:
        results = []
        for index in range(times):
            results.append(await client.send(make_target(standin), make_request(index), 1_000))
            await asyncio.sleep(0.01)
        assert all(line == "GET /a%2Fb?x=%20y HTTP/1.1" for line, _ in standin.request_heads)
        return results
    finally:
        await client.close()
        await standin.stop()


@pytest.mark.parametrize(("response_mode", "kind"), CASES)
def test_each_response_is_classified(response_mode, kind) -> None:
    (result,) = asyncio.run(send_to(response_mode))
    if kind is None:
        assert isinstance(result, UpstreamResponse)
        assert result.body == b"answer to id-0"
        return
    assert isinstance(result, SendFailure)
    assert result.kind is kind
    assert result.kind.certainly_not_run is (kind is FailureKind.SHED)


def test_extra_response_is_not_matched_to_the_next_request() -> None:
    results = asyncio.run(send_to(ResponseMode.EXTRA, times=4))
    for index, result in enumerate(results):
        assert isinstance(result, UpstreamResponse), result
        assert result.body == f"answer to id-{index}".encode()


def test_response_from_another_target_means_not_run() -> None:
    async def main() -> None:
        standin = PlatformTargetStandIn("other")
        await standin.start()
        client = build_upstream_client()
        result = await client.send(make_target(standin), make_request(1), 1_000)
        assert isinstance(result, SendFailure)
        assert result.kind is FailureKind.WRONG_TARGET
        assert not standin.runs
        await standin.stop()
        await client.close()

    asyncio.run(main())


def test_refused_connection_is_not_connected() -> None:
    async def main() -> None:
        standin = PlatformTargetStandIn("t")
        await standin.start()
        await standin.stop()
        client = build_upstream_client()
        result = await client.send(make_target(standin), make_request(1), 1_000)
        assert isinstance(result, SendFailure)
        assert result.kind is FailureKind.NOT_CONNECTED
        await client.close()

    asyncio.run(main())


def test_unanswered_request_times_out() -> None:
    async def main() -> None:
        standin = PlatformTargetStandIn("t", work_s=5.0)
        await standin.start()
        client = build_upstream_client()
        result = await client.send(make_target(standin), make_request(1), 100)
        assert isinstance(result, SendFailure)
        assert result.kind is FailureKind.TIMEOUT
        await asyncio.sleep(0.1)
        assert len(standin.runs) == 1
        await standin.stop()
        await client.close()

    asyncio.run(main())


def test_connection_is_not_used_after_the_idle_time_of_its_target() -> None:
    """The pool kept it for 4 s: a request met the target's close, and may or may not have run."""

    async def main() -> None:
        standin = PlatformTargetStandIn("t")
        standin.idle_timeout_s = 1
        await standin.start()
        client = build_upstream_client()
        for index, pause_s in enumerate((0.0, 0.1, 0.7)):
            await asyncio.sleep(pause_s)
            result = await client.send(make_target(standin), make_request(index), 1_000)
            assert isinstance(result, UpstreamResponse)
        assert standin.connections == 2
        await standin.stop()
        await client.close()

    asyncio.run(main())


@pytest.mark.parametrize(("connect_s", "kind"), [(0.2, None), (0.6, FailureKind.WITHDRAWN)])
def test_time_that_the_connection_took_is_not_given_to_the_target(connect_s, kind) -> None:
    """The deadline was written before the connection was there, or before a pause."""

    async def main() -> None:
        standin = PlatformTargetStandIn("t")
        await standin.start()
        client = build_upstream_client()
        await client.send(make_target(standin), make_request(0), 1_000)
        connect = client._session.connector.connect

        async def connect_slowly(*arguments, **options):
            await asyncio.sleep(connect_s)
            return await connect(*arguments, **options)

        client._session.connector.connect = connect_slowly
        request = make_request(1)
        request.deadline_ms = SystemClock().now_ms() + 500
        result = await client.send(make_target(standin), request, 1_000)
        if kind is None:
            assert isinstance(result, UpstreamResponse)
            assert 0 < int(standin.request_heads[-1][1]["deadline-ms"]) <= 300
        else:
            assert isinstance(result, SendFailure)
            assert result.kind is kind
            assert len(standin.request_heads) == 1
        await standin.stop()
        await client.close()

    asyncio.run(main())
