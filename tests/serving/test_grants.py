"""Asks to the owner of a rate, when it answers, ends or falls silent."""

import asyncio
import time

import pytest

from tools.processes import find_ports
from waxwingshelf.core.clock import SystemClock
from waxwingshelf.serving.token_requests import OwnerConnection, TokenResponse, TokenServer

HOST = "127.0.0.1"


def run(scenario) -> None:
    """Run a scenario with a connection to a port, and close it."""

    async def play() -> None:
        port = find_ports(1)[0]
        connection = OwnerConnection(HOST, port, SystemClock())
        try:
            await asyncio.wait_for(scenario(connection, port), 10)
        finally:
            connection.close()

    asyncio.run(play())


async def start_owner(port: int) -> tuple[asyncio.Server, TokenServer]:
    """Start an owner that grants to `acme` alone."""
    owner = TokenServer(lambda ask: TokenResponse(ask.number, ask.organisation == "acme", 7))
    return await asyncio.start_server(owner.serve, HOST, port), owner


def test_asks_on_one_connection_get_their_own_answers() -> None:
    async def scenario(connection, port) -> None:
        server, owner = await start_owner(port)
        grants = await asyncio.gather(
            *(connection.ask("acme" if number % 2 else "other") for number in range(50))
        )
        assert [grant.granted for grant in grants] == [bool(number % 2) for number in range(50)]
        owner.close()
        server.close()

    run(scenario)


def test_an_owner_that_is_not_there_is_told_at_once() -> None:
    async def scenario(connection, _port) -> None:
        started = time.monotonic()
        assert await connection.ask("acme") is None
        assert time.monotonic() - started < 0.1

    run(scenario)


def test_an_ask_whose_owner_ends_is_answered_at_once() -> None:
    async def scenario(connection, port) -> None:
        async def end_after_ask(reader, writer) -> None:
            await reader.read(1)
            writer.transport.abort()

        server = await asyncio.start_server(end_after_ask, HOST, port)
        started = time.monotonic()
        assert await connection.ask("acme") is None
        assert time.monotonic() - started < 0.1
        server.close()

    run(scenario)


def test_a_silent_connection_is_made_again() -> None:
    """Replay of connections that go silent for good while new ones work."""

    async def scenario(connection, port) -> None:
        silent = asyncio.Event()

        async def say_nothing(_reader, writer) -> None:
            await silent.wait()
            writer.close()

        server = await asyncio.start_server(say_nothing, HOST, port)
        for _ in range(4):
            assert await connection.ask("acme") is None
        server.close()
        server, owner = await start_owner(port)
        grant = await connection.ask("acme")
        assert grant is not None
        assert grant.granted
        owner.close()
        silent.set()
        server.close()

    run(scenario)


def test_one_slow_answer_after_a_rest_keeps_the_connection() -> None:
    async def scenario(connection, port) -> None:
        server, owner = await start_owner(port)
        accepted = []

        async def count(reader, writer) -> None:
            accepted.append(writer)
            await owner.serve(reader, writer)

        server.close()
        server = await asyncio.start_server(count, HOST, port)
        assert (await connection.ask("acme")).granted
        await asyncio.sleep(0.7)
        decide, owner._decide = owner._decide, lambda _ask: TokenResponse(-1, False, 0)
        assert await connection.ask("acme") is None
        owner._decide = decide
        assert (await connection.ask("acme")).granted
        assert len(accepted) == 1
        owner.close()
        server.close()

    run(scenario)


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\x00\x00\x00\x02\xc1\xc1", b"GET / HTTP"])
def test_bytes_that_are_no_ask_end_only_their_connection(data) -> None:
    async def scenario(connection, port) -> None:
        server, owner = await start_owner(port)
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(data)
        assert await reader.read() == b""
        writer.close()
        assert (await connection.ask("acme")).granted
        owner.close()
        server.close()

    run(scenario)
