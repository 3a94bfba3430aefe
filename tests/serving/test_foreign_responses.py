"""A request gets its own response although its connection first brings others, over sockets."""

import asyncio
import time

import pytest
from multidict import CIMultiDict

from standins.platform_target import PlatformTargetStandIn
from tests.serving.clients import build_upstream_client
from waxwingshelf.serving.upstream import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamResponse,
)
from waxwingshelf.steering.targets import Target

TIMEOUT_MS = 2_000
PROMPT_S = 0.6
HEAD = b"HTTP/1.1 200 X\r\nAttempt-Id: other\r\nServer-Signature: no\r\nServer-Load: 9,9,9\r\n"


def build_foreign(body: bytes, chunked: bool = False) -> bytes:
    if chunked:
        framed = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + framed
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


EMPTY = build_foreign(b"")
SHORT = build_foreign(b"wrong")
LONG = build_foreign(b"x" * 65_536)
CHUNKED = build_foreign(b"wrong", chunked=True)
CASES = {
    "short": [SHORT],
    "empty": [EMPTY],
    "long": [LONG],
    "chunked": [CHUNKED],
    "three": [SHORT, CHUNKED, EMPTY],
    "sixteen": [SHORT] * 16,
}


async def send(target, method, foreign, pause_s, reports=None):
    """Send one request on a connection that has served another before."""
    client = build_upstream_client()
    entry = Target("t", "work", "127.0.0.1", target.port, "north-1", "", 4, False, 0, 0)
    results = []
    try:
        for number in range(2):
            request_id = f"id-{number}"
            headers = CIMultiDict({"Attempt-Id": request_id, "Expected-Instance": "t"})
            request = OutgoingRequest(method, "/x", headers, None, request_id)
            handle_report = reports.append if reports is not None else lambda report: None
            results.append(await client.send(entry, request, TIMEOUT_MS, handle_report))
            target.foreign_responses, target.foreign_pause_s = foreign, pause_s
        return results[1]
    finally:
        await client.close()


def run(scenario):
    async def main():
        target = PlatformTargetStandIn("t")
        await target.start()
        try:
            return await scenario(target)
        finally:
            await target.stop()

    return asyncio.run(main())


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("case", sorted(CASES))
def test_response_behind_others_is_delivered(case, method, pause_s) -> None:
    """All heads were judged by the id of the first one, so the caller waited until its deadline."""

    async def scenario(target):
        reports = []
        began_s = time.monotonic()
        result = await send(target, method, CASES[case], pause_s, reports)
        assert isinstance(result, UpstreamResponse), result
        assert result.body == b"answer to id-1"
        assert result.headers["Server-Signature"] == "ok"
        assert time.monotonic() - began_s < PROMPT_S
        assert [report.load.running for report in reports] == [1, 1]
        assert target.connections == 1
        assert target.runs == {"id-0": 1, "id-1": 1}

    run(scenario)


def test_too_many_other_responses_end_the_send_at_once() -> None:
    async def scenario(target):
        began_s = time.monotonic()
        result = await send(target, "POST", [SHORT] * 40, 0.0)
        assert isinstance(result, SendFailure)
        assert result.kind is FailureKind.CROSSED
        assert not result.kind.certainly_not_run
        assert time.monotonic() - began_s < PROMPT_S

    run(scenario)


def test_second_copies_in_series_reach_no_other_caller(run_scenario) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1", work_s=0.005)
        target.repeats_late = True
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")

        async def call(number: int) -> None:
            for turn in range(15):
                is_order = (number + turn) % 2
                response = await deployment.send_request(
                    "/order/x" if is_order else "/read/x",
                    method="POST" if is_order else "GET",
                    Attempt_Id=f"a-{number}-{turn}",
                )
                assert response.status == 200
                assert response.body == f"answer to a-{number}-{turn}".encode()
                assert response.headers["Attempt-Id"] == f"a-{number}-{turn}"

        await asyncio.gather(*(call(number) for number in range(4)))
        assert set(target.runs.values()) == {1}

    run_scenario(scenario)
