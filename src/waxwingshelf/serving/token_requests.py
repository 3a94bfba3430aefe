"""Ask the owners of rates for tokens, over one kept connection to each.

Datagrams would be lost whenever uploads fill the link of a small machine; a connection only delays.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog

from waxwingshelf.core.clock import Clock

__all__ = ["OwnerConnection", "TokenRequest", "TokenResponse", "TokenServer"]

_CONNECT_TIMEOUT_S = 0.5
_ASK_TIMEOUT_S = 0.2
# A connection may go silent for good; it is given up when nothing came for this long.
_SILENT_AFTER_MS = 600
_LENGTH_BYTES = 4
_MOST_FRAME_BYTES = 1_024
_log = structlog.get_logger("rates")


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Ask the owner for one token."""

    number: int
    organisation: str


@dataclass(frozen=True, slots=True)
class TokenResponse:
    """The owner's answer."""

    number: int
    granted: bool
    wait_ms: int


_ASK_DECODER = msgspec.msgpack.Decoder(TokenRequest)
_GRANT_DECODER = msgspec.msgpack.Decoder(TokenResponse)


def _write(writer: asyncio.StreamWriter, message: TokenRequest | TokenResponse) -> None:
    body = msgspec.msgpack.encode(message)
    writer.write(len(body).to_bytes(_LENGTH_BYTES, "big") + body)


async def _read(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
    if length > _MOST_FRAME_BYTES:
        raise ValueError(f"a message of {length} bytes")
    return await reader.readexactly(length)


class TokenServer:
    """Answer the asks of other instances."""

    def __init__(self, decide: Callable[[TokenRequest], TokenResponse]) -> None:
        self._decide = decide
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one connection until it ends."""
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            while True:
                ask = _ASK_DECODER.decode(await _read(reader))
                _write(writer, self._decide(ask))
        except (asyncio.IncompleteReadError, OSError):
            # The asker has ended, or reached for another owner.
            pass
        except (ValueError, msgspec.DecodeError) as error:
            _log.warning("ask_rejected", detail=str(error))
        finally:
            writer.close()

    def close(self) -> None:
        """Let go of all connections."""
        for task in self._tasks:
            task.cancel()


class OwnerConnection:
    """Asks to one owner; a lost connection is made again by the next ask."""

    def __init__(self, host: str, port: int, clock: Clock) -> None:
        self._host = host
        self._port = port
        self._clock = clock
        self._numbers = itertools.count()
        self._open: dict[int, asyncio.Future[TokenResponse | None]] = {}
        self._unsent: list[TokenRequest] = []
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._unanswered_since_ms: int | None = None

    async def ask(self, organisation: str) -> TokenResponse | None:
        """Return the owner's answer, None when it is silent or gone."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = self._clock.now_ms()
        ask = TokenRequest(next(self._numbers), organisation)
        future: asyncio.Future[TokenResponse | None] = asyncio.get_running_loop().create_future()
        self._open[ask.number] = future
        if self._writer is None:
            self._unsent.append(ask)
        else:
            _write(self._writer, ask)
        try:
            async with asyncio.timeout(_ASK_TIMEOUT_S):
                return await future
        except TimeoutError:
            self._give_up_when_silent()
            return None
        finally:
            self._open.pop(ask.number, None)

    def close(self) -> None:
        """Let go of the connection."""
        if self._task is not None:
            self._task.cancel()

    def _give_up_when_silent(self) -> None:
        since_ms = self._unanswered_since_ms
        if since_ms is not None and self._clock.now_ms() - since_ms >= _SILENT_AFTER_MS:
            _log.info("rate_owner_unreachable", peer=f"{self._host}:{self._port}")
            self.close()

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, self._writer = await asyncio.open_connection(self._host, self._port)
            for ask in self._unsent:
                _write(self._writer, ask)
            self._unsent.clear()
            while True:
                self._take(_GRANT_DECODER.decode(await _read(reader)))
        except (TimeoutError, asyncio.IncompleteReadError, OSError, ValueError) as error:
            _log.info("rate_owner_lost", peer=f"{self._host}:{self._port}", detail=repr(error))
        finally:
            self._end()

    def _take(self, grant: TokenResponse) -> None:
        self._unanswered_since_ms = None
        future = self._open.get(grant.number)
        if future is not None and not future.done():
            future.set_result(grant)

    def _end(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
        self._unsent.clear()
        self._unanswered_since_ms = None
        for future in self._open.values():
            if not future.done():
                future.set_result(None)
