"""Every way in which a send can end is told apart, over real sockets."""

import asyncio

import pytest
from multidict import CIMultiDict

from standins.platform_target import Answering, PlatformTargetStandIn
from waxwingshelf.serving.upstream import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamClient,
    UpstreamResponse,
    parse_load,
)
from waxwingshelf.steering.targets import Load, Target

CASES = [
    (Answering.NORMAL, None),
    (Answering.CLOSE_UNFRAMED, None),
    (Answering.SHED, FailureKind.SHED),
    (Answering.CUT, FailureKind.BROKEN),
    (Answering.RESET, FailureKind.BROKEN),
    (Answering.RESET_UNFRAMED, FailureKind.BROKEN),
    (Answering.UNSIGNED, FailureKind.UNSIGNED),
]


def make_request(number: int, target_id: str = "t") -> OutgoingRequest:
    headers = CIMultiDict({"Attempt-Id": f"id-{number}", "Expected-Instance": target_id})
    return OutgoingRequest("GET", "/a%2Fb?x=%20y", headers, None, f"id-{number}")


def make_target(standin: PlatformTargetStandIn) -> Target:
    return Target("t", "work", "127.0.0.1", standin.port, "north-1", "", 4, False, 0, 0)


async def send_to(answering: Answering, times: int = 1) -> list[UpstreamResponse | SendFailure]:
    standin = PlatformTargetStandIn("t")
    standin.answering = answering
    await standin.start()
    client = UpstreamClient()
    try:
        results = []
        for number in range(times):
            results.append(await client.send(make_target(standin), make_request(number), 1_000))
            await asyncio.sleep(0.01)
        assert all(line == "GET /a%2Fb?x=%20y HTTP/1.1" for line, _ in standin.heads)
        return results
    finally:
        await client.close()
        await standin.stop()


@pytest.mark.parametrize(("answering", "kind"), CASES)
def test_each_end_is_told_apart(answering, kind) -> None:
    (result,) = asyncio.run(send_to(answering))
    if kind is None:
        assert isinstance(result, UpstreamResponse)
        assert result.body == b"answer to id-0"
        return
    assert isinstance(result, SendFailure)
    assert result.kind is kind
    assert result.kind.certainly_not_run is (kind is FailureKind.SHED)


def test_an_extra_answer_is_never_taken_for_the_next_request() -> None:
    results = asyncio.run(send_to(Answering.EXTRA, times=4))
    for number, result in enumerate(results):
        assert isinstance(result, UpstreamResponse), result
        assert result.body == f"answer to id-{number}".encode()


def test_another_target_at_the_address_has_not_run_it() -> None:
    async def main() -> None:
        standin = PlatformTargetStandIn("other")
        await standin.start()
        client = UpstreamClient()
        result = await client.send(make_target(standin), make_request(1), 1_000)
        assert isinstance(result, SendFailure)
        assert result.kind is FailureKind.WRONG_TARGET
        assert not standin.runs
        await standin.stop()
        await client.close()

    asyncio.run(main())


def test_nothing_listens() -> None:
    async def main() -> None:
        standin = PlatformTargetStandIn("t")
        await standin.start()
        await standin.stop()
        client = UpstreamClient()
        result = await client.send(make_target(standin), make_request(1), 1_000)
        assert isinstance(result, SendFailure)
        assert result.kind is FailureKind.NOT_CONNECTED
        await client.close()

    asyncio.run(main())


def test_a_send_that_is_given_up_is_dropped_at_the_target() -> None:
    async def main() -> None:
        standin = PlatformTargetStandIn("t", work_s=5.0)
        await standin.start()
        client = UpstreamClient()
        result = await client.send(make_target(standin), make_request(1), 100)
        assert isinstance(result, SendFailure)
        assert result.kind is FailureKind.TIMEOUT
        await asyncio.sleep(0.1)
        assert len(standin.runs) == 1
        await standin.stop()
        await client.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("text", "load"),
    [("3,1,9", Load(3, 1, 9)), ("", None), (None, None), ("3,1", None), ("a,b,c", None)],
)
def test_loads_are_parsed_or_ignored(text, load) -> None:
    assert parse_load(text) == load
