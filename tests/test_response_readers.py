"""Whatever reads responses over HTTP fails on malformed ones, over sockets and under uvloop."""

import asyncio

import pytest
import uvloop
from multidict import CIMultiDict

from standins.raw_server import ConnectionEnd, RawServerStandIn
from waxwingshelf.adapters.store_http import HttpStore
from waxwingshelf.adapters.target_http import (
    FailureKind,
    SendFailure,
    TargetClient,
    TargetRequest,
    TargetResponse,
)
from waxwingshelf.core.manifest import Target
from waxwingshelf.core.targets import Health
from waxwingshelf.platform.settings import Endpoint
from waxwingshelf.platform.store import StoreClient, StoreError, StoreErrorKind
from waxwingshelf.ports import StoredValue, StoreTimeoutError
from waxwingshelf.program.client import AdminClient, AdminError
from waxwingshelf.serving.client_sessions import build_session
from waxwingshelf.steering.mirror import Position

HOST = "127.0.0.1"
FAILED = "failed"


async def send_to_target(port, idempotent, body=b""):
    client = TargetClient()
    request = TargetRequest("POST", "/x", CIMultiDict(), body, "id", 1_000, idempotent)
    try:
        result = await client.send("t", Target("s", "r", "d", HOST, port), request)
        if isinstance(result, TargetResponse):
            chunks = [result.body_start]
            while not result.is_complete and (chunk := await result.read_chunk()):
                chunks.append(chunk)
            return b"".join(chunks)
        assert isinstance(result, SendFailure)
        assert result.kind is FailureKind.BROKEN
        assert not result.kind.certainly_not_run
        return FAILED
    finally:
        await client.close()


async def read_target(port):
    return await send_to_target(port, idempotent=True)


async def order_at_target(port):
    return await send_to_target(port, idempotent=False)


async def upload_to_target(port):
    return await send_to_target(port, idempotent=False, body=bytes(20_000_000))


async def probe_target(port):
    client = TargetClient()
    try:
        health = await client.probe(Target("s", "r", "d", HOST, port))
        return FAILED if health is Health.DOWN else health
    finally:
        await client.close()


async def call_own_store(port, call):
    store = HttpStore(HOST, port)
    try:
        return await call(store)
    except StoreTimeoutError:
        return FAILED
    finally:
        await store.close()


async def get_from_own_store(port):
    return await call_own_store(port, lambda store: store.get("k"))


async def swap_in_own_store(port):
    return await call_own_store(port, lambda store: store.compare_and_swap("k", 1, {}))


async def call_platform_store(port, call):
    sessions = [build_session(30.0) for _ in range(2)]
    store = StoreClient(Endpoint(HOST, port), *sessions)
    try:
        return await call(store)
    except StoreError as error:
        assert error.kind is StoreErrorKind.UNKNOWN
        return FAILED
    finally:
        for session in sessions:
            await session.close()


async def put_in_platform_store(port):
    return await call_platform_store(port, lambda store: store.put("k", b"v"))


async def watch_platform_store(port):
    async def watch(store):
        return (await store.watch("", 1, 500)).position

    return await call_platform_store(port, watch)


async def administer(port):
    try:
        return await asyncio.to_thread(AdminClient(f"{HOST}:{port}", "key").get, "status")
    except AdminError as error:
        assert error.reason == "store_unavailable"
        return FAILED


# Each reader with a response's fields and body that it understands, and what it makes of them.
READERS = {
    read_target: (b"", b"hello", b"hello"),
    order_at_target: (b"", b"hello", b"hello"),
    upload_to_target: (b"", b"hello", b"hello"),
    probe_target: (
        b"Content-Type: application/json\r\n",
        b'{"state": "healthy"}',
        Health.HEALTHY,
    ),
    get_from_own_store: (b"X-Version: 7\r\n", b"{}", StoredValue(7, {})),
    swap_in_own_store: (b"", b"", True),
    put_in_platform_store: (b"", b'{"revision": 5}', Position(0, 5)),
    watch_platform_store: (b"", b'{"events": [], "as_of": 5}', Position(0, 5)),
    administer: (b"", b'{"ok": true}', {"ok": True}),
}
# The other reader needs no more than the head.
READERS_OF_BODIES = [reader for reader in READERS if reader is not swap_in_own_store]
MALFORMED_HEADS = {
    "status 000": (b"HTTP/1.1 000 X", b""),
    "status 600": (b"HTTP/1.1 600 X", b""),
    "upgrade that was not asked for": (b"HTTP/1.1 101 X", b""),
    "another protocol": (b"RTSP/1.0 200 OK", b""),
    "blank behind a name": (b"HTTP/1.1 200 OK", b"Connection : close\r\n"),
    "blank before a name": (b"HTTP/1.1 200 OK", b" X-Odd: 1\r\n"),
    "coding that is not undone": (b"HTTP/1.1 200 OK", b"Transfer-Encoding: gzip, chunked\r\n"),
}
UNUSUAL_HEADS = {
    "no reason": (b"HTTP/1.1 200", b""),
    "every byte that a name may hold": (b"HTTP/1.1 200 ", b"!#$%&'*+-.^_`|~0aZ: 1\r\n"),
}


def build_raw(reader, status_line, unusual_fields):
    fields, body, _ = READERS[reader]
    head = status_line + b"\r\n" + unusual_fields + fields
    if b"chunked" in unusual_fields:
        return head + b"\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def build_unframed(reader):
    fields, body, _ = READERS[reader]
    return b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + body


def run_reader(reader, server):
    async def main():
        await server.start()
        try:
            return await reader(server.port)
        finally:
            await server.stop()

    return uvloop.run(main())


@pytest.mark.parametrize("case", sorted(MALFORMED_HEADS))
@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_reader_fails_on_a_malformed_head(reader, case) -> None:
    """It believed the response; a status that is none was a store's word that it wrote nothing."""
    raw = build_raw(reader, *MALFORMED_HEADS[case])
    assert run_reader(reader, RawServerStandIn(raw)) == FAILED


@pytest.mark.parametrize("case", sorted(UNUSUAL_HEADS))
@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_reader_understands_an_unusual_head(reader, case) -> None:
    raw = build_raw(reader, *UNUSUAL_HEADS[case])
    assert run_reader(reader, RawServerStandIn(raw)) == READERS[reader][-1]


@pytest.mark.parametrize("reader", READERS_OF_BODIES, ids=lambda reader: reader.__name__)
def test_reader_fails_if_a_reset_ends_a_body_without_a_length(reader) -> None:
    """A part was taken for the whole body: RFC 9112, section 8."""
    server = RawServerStandIn(build_unframed(reader), ConnectionEnd.RESET)
    assert run_reader(reader, server) == FAILED


@pytest.mark.parametrize("reader", READERS_OF_BODIES, ids=lambda reader: reader.__name__)
def test_reader_fails_on_a_length_that_the_parser_cannot_count(reader) -> None:
    """It took an empty body for the whole one, and the bytes of the body for another response."""
    fields, body, _ = READERS[reader]
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n" + fields + b"\r\n"
    assert run_reader(reader, RawServerStandIn(head + body)) == FAILED


@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_reader_takes_a_body_that_ends_with_its_connection(reader) -> None:
    server = RawServerStandIn(build_unframed(reader), ConnectionEnd.CLOSE)
    assert run_reader(reader, server) == READERS[reader][-1]
