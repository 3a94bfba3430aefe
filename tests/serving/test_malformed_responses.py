"""Malformed responses are failed sends, and unusual well-formed ones arrive unchanged.

The bytes come over sockets, under the event loop that instances have when deployed.
"""

import asyncio
import time

import pytest
import uvloop
from multidict import CIMultiDict

from standins.platform_target import REQUEST_ID, PlatformTargetStandIn, ResponseMode
from standins.raw_server import RawServerStandIn
from tests.serving.clients import build_upstream_client
from waxwingshelf.serving.peers import STATE_PATH
from waxwingshelf.serving.send_results import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamResponse,
)
from waxwingshelf.steering.fleet import PeerAddress
from waxwingshelf.steering.targets import Target

TIMEOUT_MS = 2_000
PROMPT_S = 0.6
FIELDS = b"Attempt-Id: %b\r\nServer-Signature: ok\r\n" % REQUEST_ID
LENGTH = b"Content-Length: 5\r\n"
BODY = b"hello"


def build_raw(
    status_line: bytes = b"HTTP/1.1 200 OK", fields: bytes = LENGTH, body: bytes = BODY
) -> bytes:
    return status_line + b"\r\n" + FIELDS + fields + b"\r\n" + body


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 5\r\n\r\nwrong"

MALFORMED_STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 X",
    "status 001": b"HTTP/1.1 001 X",
    "status 099": b"HTTP/1.1 099 X",
    "status 600": b"HTTP/1.1 600 X",
    "status 999": b"HTTP/1.1 999 X",
    "two digits": b"HTTP/1.1 20 X",
    "four digits": b"HTTP/1.1 2000 X",
    "no status": b"HTTP/1.1  X",
    "no blank before the reason": b"HTTP/1.1 200OK",
    "upgrade that was not asked for": b"HTTP/1.1 101 Switching Protocols",
    "version 0.9": b"HTTP/0.9 200 OK",
    "version 2.0": b"HTTP/2.0 200 OK",
    "another protocol": b"RTSP/1.0 200 OK",
    "a third protocol": b"ICE/1.0 200 OK",
    "null in the reason": b"HTTP/1.1 200 O\x00K",
    "control byte in the reason": b"HTTP/1.1 200 O\x01K",
    "delete byte in the reason": b"HTTP/1.1 200 O\x7fK",
}
MALFORMED_FIELDS = {
    "blank in a name": b"X Odd: 1\r\n" + LENGTH,
    "blank behind a name": b"X-Odd : 1\r\n" + LENGTH,
    "blank before a name": LENGTH + b" X-Odd: 1\r\n",
    "tab in a name": b"X\tOdd: 1\r\n" + LENGTH,
    "tab before a name": LENGTH + b"\tX-Odd: 1\r\n",
    "null in a name": b"X\x00Odd: 1\r\n" + LENGTH,
    "control byte in a name": b"X\x01Odd: 1\r\n" + LENGTH,
    "delete byte in a name": b"X\x7fOdd: 1\r\n" + LENGTH,
    "letter beyond ASCII in a name": b"X\xe9Odd: 1\r\n" + LENGTH,
    "no name": b": 1\r\n" + LENGTH,
    "no colon": b"X-Odd\r\n" + LENGTH,
    "blank behind the length's name": b"Content-Length : 5\r\n",
    "blank before the length's name": b" Content-Length: 5\r\n",
    "blank behind the coding's name": b"Transfer-Encoding : chunked\r\n",
    "blank behind the connection's name": b"Connection : close\r\n" + LENGTH,
    "blank behind the upgrade's name": b"Upgrade : h2c\r\n" + LENGTH,
    "blank behind the proxy connection's name": b"Proxy-Connection : close\r\n" + LENGTH,
    "carriage return in a value": b"X-Odd: 1\r2\r\n" + LENGTH,
    "null in a value": b"X-Odd: 1\x002\r\n" + LENGTH,
}
CHUNKED_BODY = b"5\r\nhello\r\n0\r\n\r\n"
MALFORMED = {name: build_raw(line) for name, line in MALFORMED_STATUS_LINES.items()} | {
    "status 000 without a body": build_raw(b"HTTP/1.1 000 X", b"", b""),
    "rejection with status 000": build_raw(b"HTTP/1.1 000 X", LENGTH + b"Not-Executed: 1\r\n"),
    "interim status 000": build_raw(b"HTTP/1.1 000 X", b"", b"") + build_raw(),
    "status 000 behind an interim response": INTERIM + build_raw(b"HTTP/1.1 000 X"),
    "another protocol behind an interim response": INTERIM + build_raw(b"RTSP/1.0 200 OK"),
    "status 000 behind another response": FOREIGN + build_raw(b"HTTP/1.1 000 X"),
    "blank before the first name": build_raw().replace(b"Attempt-Id", b" Attempt-Id"),
    "blank before the coding's name": build_raw(
        fields=b" Transfer-Encoding: chunked\r\nConnection: close\r\n", body=CHUNKED_BODY
    ),
    "interim response with a blank in a name": INTERIM.replace(b"Link", b"Li nk") + build_raw(),
    "interim response with a blank behind a name": (
        INTERIM.replace(b"Link", b"Connection ") + build_raw()
    ),
    "blank behind a name behind another response": (
        FOREIGN + build_raw(fields=b"Content-Length : 5\r\n")
    ),
}
MALFORMED |= {name: build_raw(fields=fields) for name, fields in MALFORMED_FIELDS.items()}
UNDECODABLE_CODINGS = {
    "coding below chunked": b"gzip, chunked",
    "coding below chunked in two fields": b"gzip\r\nTransfer-Encoding: chunked",
    "coding above chunked": b"chunked, gzip",
    "unknown coding": b"xchunked",
    "parameter of chunked": b"chunked;a=b",
    "chunked twice": b"chunked, chunked",
    "comma behind chunked": b"chunked,",
}


def build_coded(codings: bytes, status_line: bytes = b"HTTP/1.1 200 OK") -> bytes:
    fields = b"Transfer-Encoding: %b\r\nConnection: close\r\n" % codings
    return build_raw(status_line, fields, CHUNKED_BODY)


MALFORMED |= {name: build_coded(codings) for name, codings in UNDECODABLE_CODINGS.items()} | {
    "coding in version 1.0": build_coded(b"chunked", b"HTTP/1.0 200 OK"),
    "coding behind another response": FOREIGN + build_coded(b"gzip, chunked"),
    "length that is no number": build_raw(fields=b"Content-Length: +5\r\n"),
    "length beyond 64 bits": build_raw(fields=b"Content-Length: 18446744073709551616\r\n"),
    "length of 64 ones": build_raw(fields=b"Content-Length: 18446744073709551615\r\n"),
    "two lengths": build_raw(fields=b"Content-Length: 4\r\nContent-Length: 5\r\n"),
    "length and coding": build_raw(
        fields=LENGTH + b"Transfer-Encoding: chunked\r\n", body=CHUNKED_BODY
    ),
    "last chunk is missing": build_raw(
        fields=b"Transfer-Encoding: chunked\r\nConnection: close\r\n", body=CHUNKED_BODY[:-5]
    ),
    "body shorter than its length": build_raw(fields=b"Content-Length: 6\r\nConnection: close\r\n"),
}
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVERY_TOKEN_BYTE = b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
EVERY_VALUE_BYTE = bytes([9, *range(0x20, 0x7F), *range(0x80, 0x100)])
UTF8_VALUE = bytes([9, *range(0x20, 0x7F)]) + "\u00e9\u20ac".encode()
WELL_FORMED = {
    "no reason": build_raw(b"HTTP/1.1 200 "),
    "nothing behind the status": build_raw(b"HTTP/1.1 200"),
    "status 299": build_raw(b"HTTP/1.1 299 Unusual"),
    "status 599": build_raw(b"HTTP/1.1 599 Unusual"),
    "version 1.0": build_raw(b"HTTP/1.0 200 OK"),
    "every byte that a reason may hold": build_raw(b"HTTP/1.1 200 " + EVERY_VALUE_BYTE),
    "empty line before the status line": b"\r\n" + build_raw(),
    "line feeds alone": build_raw().replace(b"\r\n", b"\n"),
    "interim responses": INTERIM + b"HTTP/1.1 199 Wait\r\n\r\n" + build_raw(),
    "body behind an interim response with a length": (
        INTERIM.replace(b"Link: </a>", b"Content-Length: 9") + build_raw()
    ),
    "another response before": FOREIGN + build_raw(),
    "unusual fields": build_raw(
        fields=LENGTH + EVERY_TOKEN_BYTE + b": 1\r\nX-Value: a" + UTF8_VALUE + b"z\r\n"
        b"X-Empty:\r\nX-Tight:1\r\nX-Blanks:\t  1 \t\r\n"
    ),
    "body that ends with its connection": build_raw(fields=b"Connection: close\r\n"),
    "no coding": build_raw(fields=b"Transfer-Encoding: identity\r\nConnection: close\r\n"),
    "chunked in capitals": build_raw(fields=CHUNKED.upper(), body=CHUNKED_BODY),
    "comma before chunked": build_raw(
        fields=b"Transfer-Encoding: , chunked \r\n", body=CHUNKED_BODY
    ),
    "chunks with extensions and trailers": build_raw(
        fields=CHUNKED, body=b"2;a=b\r\nhe\r\n03\r\nllo\r\n0\r\nX-Sum: 1\r\n\r\n"
    ),
    "interim response with a coding": (
        INTERIM.replace(b"Link: </a>", b"Transfer-Encoding: gzip") + build_raw()
    ),
    "many fields": build_raw(fields=LENGTH + b"X-Odd: 1\r\n" * 100),
}


def run_with_target(scenario):
    """Run a scenario with a target and a client, and return its result."""

    async def main():
        target = PlatformTargetStandIn("t")
        await target.start()
        client = build_upstream_client()
        try:
            return await scenario(target, client)
        finally:
            await client.close()
            await target.stop()

    return uvloop.run(main())


async def send(target, client, request_id="id-0", method="POST", is_peer=False):
    """Send one request to the target, or to a peer that answers in the same way."""
    entry = Target("t", "work", "127.0.0.1", target.port, "north-1", "", 4, False, 0, 0)
    headers = CIMultiDict({"Attempt-Id": request_id, "Expected-Instance": "t"})
    request = OutgoingRequest(method, "/x", headers, None, request_id)
    if is_peer:
        peer = PeerAddress("n1", "north", "north-1", "127.0.0.1", 0, target.port, "")
        return await client.fetch_through(peer, entry, request, TIMEOUT_MS)
    return await client.send(entry, request, TIMEOUT_MS)


@pytest.mark.parametrize("fields", [LENGTH, CHUNKED, b"Transfer-Encoding: gzip, chunked\r\n"])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_response_without_a_body_arrives_whatever_it_says_of_one(method, fields) -> None:
    """RFC 9112, section 6.3: it ends with its head, which tells what a body would be like."""

    async def scenario(target, client):
        status_line = b"HTTP/1.1 304 X" if method == "GET" else b"HTTP/1.1 200 OK"
        set_raw_response(target, build_raw(status_line, fields, b""))
        for number in range(2):
            result = await send(target, client, f"id-{number}", method)
            assert isinstance(result, UpstreamResponse), result
            assert result.status == int(status_line[9:12])
            assert result.body == b""
        assert target.runs == {"id-0": 1, "id-1": 1}

    run_with_target(scenario)


def set_raw_response(target, raw):
    target.response_mode = ResponseMode.RAW
    target.raw_response = raw


def list_statuses(raw):
    """Return the statuses of the response heads, for cases in which each starts a line."""
    return [int(line[9:12]) for line in raw.splitlines() if line.startswith(b"HTTP/1.")]


@pytest.mark.parametrize("is_peer", [False, True], ids=["target", "peer"])
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("case", sorted(MALFORMED))
def test_malformed_response_is_a_failed_send(case, method, is_peer) -> None:
    """They were delivered as the target's answer, which no caller can understand."""

    async def scenario(target, client):
        set_raw_response(target, MALFORMED[case])
        began_s = time.monotonic()
        result = await send(target, client, method=method, is_peer=is_peer)
        assert isinstance(result, SendFailure), result
        assert result.kind is FailureKind.BROKEN
        assert not result.kind.certainly_not_run
        assert time.monotonic() - began_s < PROMPT_S
        target.response_mode = ResponseMode.NORMAL
        following = await send(target, client, "id-1", is_peer=is_peer)
        assert isinstance(following, UpstreamResponse), following
        assert following.body == b"answer to id-1"
        assert target.connections == 2
        assert target.runs == {"id-0": 1, "id-1": 1}

    run_with_target(scenario)


@pytest.mark.parametrize("case", sorted(WELL_FORMED))
def test_unusual_response_arrives_unchanged(case) -> None:
    async def scenario(target, client):
        set_raw_response(target, WELL_FORMED[case])
        result = await send(target, client)
        assert isinstance(result, UpstreamResponse), result
        assert result.status == list_statuses(WELL_FORMED[case])[-1]
        assert result.body == BODY
        assert result.headers["Server-Signature"] == "ok"

    run_with_target(scenario)


def test_unusual_fields_arrive_unchanged(run_scenario) -> None:
    """A name may hold every byte of a token (RFC 9110, section 5.6.2)."""

    async def scenario(deployment) -> None:
        headers = await fetch_headers(deployment, WELL_FORMED["unusual fields"])
        assert headers[EVERY_TOKEN_BYTE.decode()] == "1"
        assert headers["X-Value"].encode() == b"a" + UTF8_VALUE + b"z"
        assert [headers[f"X-{name}"] for name in ("Empty", "Tight", "Blanks")] == ["", "1", "1"]

    run_scenario(scenario, uvloop.run)


def test_value_that_is_not_utf8_arrives_unchanged(run_scenario) -> None:
    """Guards against the HTTP library's writer, which drops the bytes that are not UTF-8."""

    async def scenario(deployment) -> None:
        fields = LENGTH + b"X-Value: a" + EVERY_VALUE_BYTE + b"z\r\n"
        value = (await fetch_headers(deployment, build_raw(fields=fields)))["X-Value"]
        assert value.encode(errors="surrogateescape") == b"a" + EVERY_VALUE_BYTE + b"z"

    run_scenario(scenario, uvloop.run)


async def fetch_headers(deployment, raw):
    """Return the headers that a caller gets when its request's target sends these bytes."""
    set_raw_response(await deployment.add_target("t1"), raw)
    await deployment.start_instance("n0")
    await deployment.wait_until_ready("n0")
    response = await deployment.send_request("/order/x", method="POST")
    assert response.body == BODY
    return response.headers


def test_malformed_bytes_behind_a_response_end_only_the_connection() -> None:
    async def scenario(target, client):
        set_raw_response(target, build_raw() + build_raw(b"HTTP/1.1 000 X"))
        result = await send(target, client)
        assert isinstance(result, UpstreamResponse), result
        assert result.body == BODY
        target.response_mode = ResponseMode.NORMAL
        assert isinstance(await send(target, client, "id-1"), UpstreamResponse)
        assert target.connections == 2

    run_with_target(scenario)


@pytest.mark.parametrize("case", sorted(MALFORMED))
def test_no_caller_gets_a_malformed_response(run_scenario, case) -> None:
    async def scenario(deployment) -> None:
        malformed = await deployment.add_target("t1")
        set_raw_response(malformed, MALFORMED[case])
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        order = await deployment.send_request("/order/x", method="POST", Attempt_Id="order")
        assert order.status == 502
        assert malformed.runs["order"] == 1
        await deployment.add_target("t2")
        await asyncio.sleep(0.2)
        reads = [await deployment.send_request("/read/x", Affinity_Key=str(n)) for n in range(8)]
        assert {read.status for read in reads} == {200}
        assert {read.headers["Server-Signature"] for read in reads} == {"ok"}
        assert all(read.body.startswith(b"answer to") for read in reads)

    run_scenario(scenario, uvloop.run)


@pytest.mark.parametrize("case", ["no reason", "status 299", "status 599"])
def test_caller_gets_an_unusual_response_unchanged(run_scenario, case) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1")
        set_raw_response(target, WELL_FORMED[case])
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        response = await deployment.send_request("/order/x", method="POST", Attempt_Id="order")
        assert response.status == list_statuses(WELL_FORMED[case])[-1]
        assert response.headers["Server-Signature"] == "ok"
        assert response.headers["Attempt-Id"] == "order"
        assert response.body == BODY

    run_scenario(scenario, uvloop.run)


@pytest.mark.parametrize(
    ("status_line", "result"),
    [(b"HTTP/1.1 200", "ok"), (b"HTTP/1.1 000 X", "failed"), (b"ICE/1.0 200 OK", "failed")],
)
def test_state_of_a_peer_is_taken_only_from_a_well_formed_response(
    run_scenario, status_line, result
) -> None:
    async def scenario(deployment) -> None:
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        endpoint = deployment.settings["n0"].peer_state
        _, state = await deployment.fetch(endpoint, f"{STATE_PATH}?after=0&era=0")
        head = status_line + b"\r\nContent-Length: %d\r\n\r\n" % len(state)
        server = RawServerStandIn(head + state)
        await server.start()
        results = instance._metrics.peer_pulls.labels(result)._value
        before = results.get()
        await instance._peer_network._pull("127.0.0.1", server.port)
        assert results.get() == before + 1
        await server.stop()

    run_scenario(scenario, uvloop.run)
