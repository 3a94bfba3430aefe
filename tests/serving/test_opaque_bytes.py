"""Values of callers' and targets' headers are opaque bytes, and reach the other side unchanged."""

import asyncio

import pytest
import uvloop
from multidict import CIMultiDict

from standins.platform_target import ResponseMode
from tests.serving.conftest import Deployment
from waxwingshelf.core.hashing import hash_to_uint32, hash_to_unit_interval
from waxwingshelf.core.opaque_text import encode_text, show_text
from waxwingshelf.header_bytes import serialize_head
from waxwingshelf.serving.request_targets import read_target

# A name in ISO 8859-2, bytes that begin no character, a blank in ISO 8859-1, and a surrogate.
VALUES = [b"Bra\xbaov", b"\xe9", b"\xff\xfe", b"a\xa0b", b"\xed\xb3\xa9", "\u0219".encode()]


async def fetch(
    deployment: Deployment, method: bytes = b"GET", path: bytes = b"/read/x", **headers: bytes
) -> tuple[int, bytes]:
    """Send a head of any bytes; return the status, and the response as it came."""
    usual = {"Host": b"a.example", "Attempt-Id": b"raw-1", "Credential": b"acme-key"}
    fields = usual | {name.replace("_", "-"): value for name, value in headers.items()}
    head = b"".join(b"%b: %b\r\n" % (name.encode(), value) for name, value in fields.items())
    callers = deployment.settings["n0"].callers
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    try:
        writer.write(b"%b %b HTTP/1.1\r\n%bConnection: close\r\n\r\n" % (method, path, head))
        async with asyncio.timeout(5.0):
            response = await reader.read()
    finally:
        writer.close()
    return int(response.split()[1]), response


async def start(deployment: Deployment) -> None:
    await deployment.add_target("t0")
    await deployment.start_instance("n0")
    await deployment.wait_until_ready("n0")


def find_received(deployment: Deployment, name: str) -> list[bytes]:
    """Return the values of a header as the targets got them."""
    return [
        headers[name].encode("latin-1")
        for target in deployment.targets.values()
        for _, headers in target.request_heads
        if name in headers
    ]


@pytest.mark.parametrize("value", VALUES, ids=repr)
@pytest.mark.parametrize("name", ["Attempt-Id", "Affinity-Key", "X-Any"])
def test_value_of_a_caller_reaches_the_target_unchanged(run_scenario, name, value) -> None:
    """Guards against a 500 for a value that is not UTF-8, and against bytes that are left out."""

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        for method, path in ((b"GET", b"/read/x"), (b"POST", b"/order/x")):
            status, response = await fetch(deployment, method, path, **{name: value})
            assert status == 200
            if name == "Attempt-Id":
                assert b"\r\nAttempt-Id: %b\r\n" % value in response
        assert find_received(deployment, name.lower()) == [value, value]

    run_scenario(scenario, uvloop.run)


PATHS = [b"/x?", b"/x??a=b", b"/x?a=%zz&b", b"//x", b"/./x/../y", b"/%2F%e9", b"/x%20y", b"/x+y"]


@pytest.mark.parametrize("path", PATHS, ids=repr)
def test_path_reaches_the_target_unchanged(run_scenario, path) -> None:
    """Guards against an empty query that is left out, and any other change of a path."""

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        raw_path = b"/read" + path
        assert (await fetch(deployment, path=raw_path))[0] == 200
        absolute = b"http://a.example" + raw_path
        assert (await fetch(deployment, path=absolute, Host=b"other.example"))[0] == 200
        heads = deployment.targets["t0"].request_heads
        assert [line for line, _ in heads] == [f"GET {raw_path.decode()} HTTP/1.1"] * 2
        assert [headers["host"] for _, headers in heads] == ["a.example"] * 2

    run_scenario(scenario, uvloop.run)


@pytest.mark.parametrize(
    ("text", "host", "raw_path"),
    [
        ("/x?a#b", "h:1", "/x?a#b"),
        ("http://b.example:80/x?", "b.example:80", "/x?"),
        ("HTTP://b.example", "b.example", "/"),
        ("https://u:p@b.example?q", "b.example", "/?q"),
        ("http://[::1]:80/x", "[::1]:80", "/x"),
        ("/http://b.example/", "h:1", "/http://b.example/"),
        ("ftp://b.example/x", "h:1", "ftp://b.example/x"),
        ("*", "h:1", "*"),
    ],
)
def test_target_of_a_request_is_read(text, host, raw_path) -> None:
    """Guards against 404 for a URL as the target, which a server must accept."""
    target = read_target(text, "h:1")
    assert (target.host, target.raw_path) == (host, raw_path)


@pytest.mark.parametrize("value", VALUES, ids=repr)
@pytest.mark.parametrize(
    ("name", "status"), [("Host", 404), ("Credential", 401), ("Deadline-Ms", 200)]
)
def test_unknown_value_gets_the_usual_answer(run_scenario, name, status, value) -> None:
    """Guards against a 500 where a host or key of ASCII gets 404 or 401."""

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        assert (await fetch(deployment, **{name: value}))[0] == status
        refused_id = {"Attempt_Id": value, "Host": b"b.example"}
        answer_status, response = await fetch(deployment, **refused_id)
        assert answer_status == 404
        assert b"\r\nAttempt-Id: %b\r\n" % value in response

    run_scenario(scenario, uvloop.run)


@pytest.mark.parametrize("name", ["Attempt-Id", "Affinity-Key"])
def test_value_of_a_waiting_request_costs_no_other(run_scenario, name) -> None:
    """Guards against an error in the rounds that place waiting requests, which ended the process.

    Requests with other values waited with it, or had run, and got 500 or no answer.
    """

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        target = deployment.targets["t0"]
        target.work_s, target.slots, target.queue_length = 0.05, 4, 4
        values = [(VALUES[0] if number % 4 == 0 else b"x") for number in range(24)]
        calls = [
            fetch(
                deployment, b"POST", b"/order/x", **{"Attempt_Id": b"id-%d" % number, name: value}
            )
            for number, value in enumerate(values)
        ]
        statuses = [status for status, _ in await asyncio.gather(*calls)]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 8
        assert not any(task.done() for task in deployment.tasks)

    run_scenario(scenario, uvloop.run)


@pytest.mark.parametrize("value", [b"a\x01b", b"a\x7fb", b"a\xe9\x02b"], ids=repr)
def test_control_byte_of_a_target_reaches_the_caller(run_scenario, value) -> None:
    """Guards against a 500 in place of a whole response, whose request has run."""

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        target = deployment.targets["t0"]
        target.response_mode = ResponseMode.RAW
        target.raw_response = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: REQUEST_ID\r\nServer-Signature: ok\r\n"
            b"X-Any: %b\r\nContent-Length: 5\r\n\r\nhello" % value
        )
        status, response = await fetch(deployment, b"POST", b"/order/x")
        assert status == 200
        assert b"\r\nX-Any: %b\r\n" % value in response
        assert response.endswith(b"hello")

    run_scenario(scenario, uvloop.run)


@pytest.mark.parametrize("value", VALUES, ids=repr)
def test_opaque_text_is_encoded_hashed_and_shown(value) -> None:
    text = value.decode(errors="surrogateescape")
    assert encode_text(text) == value
    show_text(text).encode()
    assert hash_to_unit_interval(text) != hash_to_unit_interval("x")
    assert 0 <= hash_to_uint32(text) < 2**32


def test_text_with_other_surrogates_can_be_hashed() -> None:
    """Guards against names in documents, where JSON can write any surrogate."""
    assert hash_to_uint32("\ud800") != hash_to_uint32("\udbff")
    show_text("\ud800\udce9").encode()


@pytest.mark.parametrize("character", ["\r", "\n", "\0"])
def test_line_that_would_end_early_is_not_written(character) -> None:
    """Guards against a value that adds lines to a head, or ends it."""
    with pytest.raises(ValueError, match=r"head|header"):
        serialize_head("HTTP/1.1 200 OK", CIMultiDict({"X": f"a{character}b"}))
    with pytest.raises(ValueError, match=r"head|header"):
        serialize_head("HTTP/1.1 200 OK", CIMultiDict({"X": f"\udce9{character}b"}))
