"""Request tokens from rate owners over one persistent TCP connection to each.

A rate owner is the instance that holds a region's share of an organisation's rate. Datagrams would
be lost whenever uploads saturate the link of a small machine; TCP only delays the messages.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import msgspec
import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.core.quantities import Count

__all__ = ["OwnerConnection", "TokenRequest", "TokenResponse", "TokenServer"]

_CONNECT_TIMEOUT_S = 0.5
_REQUEST_TIMEOUT_S = 0.2
# A timer that fires so late means that this process did not run.
_STALL_MS = 20
_STALL_GRACE_S = 0.1
_MAX_RESPONSE_AGE_MS = 1_000
_MS_PER_S = 1_000
# A connection may stop delivering data without an error, so it is closed when its requests have
# been unanswered for this long.
_MAX_UNANSWERED_MS = 600
_LENGTH_PREFIX_BYTES = 4
_MAX_FRAME_BYTES = 1_024
_log = structlog.get_logger("token_requests")


class TokenRequest(msgspec.Struct, frozen=True):
    """A request for one token of an organisation's rate."""

    number: int
    organisation: str


class TokenResponse(msgspec.Struct, frozen=True):
    """The owner's response; `wait_ms` is the time until the next token if none was granted."""

    number: int
    granted: bool
    wait_ms: Count


_REQUEST_DECODER = msgspec.msgpack.Decoder(TokenRequest)
_RESPONSE_DECODER = msgspec.msgpack.Decoder(TokenResponse)


def _write_message(writer: asyncio.StreamWriter, message: TokenRequest | TokenResponse) -> None:
    body = msgspec.msgpack.encode(message)
    writer.write(len(body).to_bytes(_LENGTH_PREFIX_BYTES, "big") + body)


async def _read_message(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(_LENGTH_PREFIX_BYTES), "big")
    if length > _MAX_FRAME_BYTES:
        raise ValueError(f"message too long: {length} bytes")
    return await reader.readexactly(length)


class TokenServer:
    """Answer the token requests of other instances."""

    def __init__(self, handle_request: Callable[[TokenRequest], TokenResponse]) -> None:
        self._handle_request = handle_request
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests on one connection until it closes."""
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            while True:
                request = _REQUEST_DECODER.decode(await _read_message(reader))
                _write_message(writer, self._handle_request(request))
        except (asyncio.IncompleteReadError, OSError):
            # The client has stopped, or closed the connection to use another owner.
            pass
        except (ValueError, msgspec.DecodeError) as error:
            _log.warning("ask_rejected", detail=str(error))
        finally:
            writer.close()

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()


class OwnerConnection:
    """A client connection to one owner; after a failure the next request reconnects."""

    def __init__(self, host: str, port: int, clock: Clock) -> None:
        self._host = host
        self._port = port
        self._clock = clock
        self._request_numbers = itertools.count()
        self._pending: dict[int, asyncio.Future[TokenResponse | None]] = {}
        self._unsent: list[TokenRequest] = []
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._unanswered_since_ms: int | None = None

    async def request_token(self, organisation: str) -> TokenResponse | None:
        """Request a token; return None if the owner does not respond in time or disconnects."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = self._clock.now_ms()
        request = TokenRequest(next(self._request_numbers), organisation)
        future: asyncio.Future[TokenResponse | None] = asyncio.get_running_loop().create_future()
        self._pending[request.number] = future
        if self._writer is None:
            self._unsent.append(request)
        else:
            _write_message(self._writer, request)
        started_ms = self._clock.now_ms()
        try:
            await self._wait_for_response(future)
        finally:
            self._pending.pop(request.number, None)
        if not future.done():
            self._close_if_unresponsive()
            return None
        # A token that was granted before a pause of this process belongs to an earlier time.
        is_outdated = self._clock.now_ms() - started_ms > _MAX_RESPONSE_AGE_MS
        return None if is_outdated else future.result()

    async def _wait_for_response(self, future: asyncio.Future[TokenResponse | None]) -> None:
        """Wait for a response; longer if this process was stalled, since it may have arrived."""
        started_ms = self._clock.now_ms()
        await asyncio.wait([future], timeout=_REQUEST_TIMEOUT_S)
        late_ms = self._clock.now_ms() - started_ms - _REQUEST_TIMEOUT_S * _MS_PER_S
        if not future.done() and late_ms >= _STALL_MS:
            await asyncio.wait([future], timeout=_STALL_GRACE_S)

    def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()

    def _close_if_unresponsive(self) -> None:
        since_ms = self._unanswered_since_ms
        if since_ms is not None and self._clock.now_ms() - since_ms >= _MAX_UNANSWERED_MS:
            _log.info("rate_owner_unreachable", peer=f"{self._host}:{self._port}")
            self.close()

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, self._writer = await asyncio.open_connection(self._host, self._port)
            for request in self._unsent:
                _write_message(self._writer, request)
            self._unsent.clear()
            while True:
                self._handle_response(_RESPONSE_DECODER.decode(await _read_message(reader)))
        except (TimeoutError, asyncio.IncompleteReadError, OSError, ValueError) as error:
            _log.info("rate_owner_lost", peer=f"{self._host}:{self._port}", detail=repr(error))
        finally:
            self._reset()

    def _handle_response(self, response: TokenResponse) -> None:
        self._unanswered_since_ms = None
        future = self._pending.get(response.number)
        if future is not None and not future.done():
            future.set_result(response)

    def _reset(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
        self._unsent.clear()
        self._unanswered_since_ms = None
        for future in self._pending.values():
            if not future.done():
                future.set_result(None)
