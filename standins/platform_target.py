"""A stand-in for a target on the platform.

It uses raw sockets so that it can send malformed responses and reset connections. Heads are text in
Latin-1, which keeps all bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["REQUEST_ID", "Arrival", "PlatformTargetStandIn", "ResponseMode"]

# Stands for the id of the request in `PlatformTargetStandIn.raw_response`.
REQUEST_ID = b"REQUEST_ID"

_MS_PER_S = 1_000
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResponseMode(StrEnum):
    """How the target responds to a request.

    SLOW has no effect of its own. SHED refuses the request without running it, FAIL returns
    `failure_status`, CUT truncates the response, RESET resets the connection without a response,
    UNSIGNED omits the signature, and EXTRA sends a second response. The UNFRAMED modes send a body
    without a length and then reset or close the connection. The ENDLESS modes send bytes without
    end: as a body without a length, as a chunked body, as header lines, as interim responses, or as
    responses to other requests. RAW sends `raw_response`. The EARLY modes send a body without a
    length before they have read the request's body, either a part and then a reset, or the whole.
    """

    NORMAL = "normal"
    SLOW = "slow"
    SHED = "shed"
    FAIL = "fail"
    CUT = "cut"
    RESET = "reset"
    RESET_UNFRAMED = "reset_unframed"
    CLOSE_UNFRAMED = "close_unframed"
    EXTRA = "extra"
    UNSIGNED = "unsigned"
    RAW = "raw"
    EARLY_RESET = "early_reset"
    EARLY_CLOSE = "early_close"
    ENDLESS_BODY = "endless_body"
    ENDLESS_CHUNKED = "endless_chunked"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_INTERIM = "endless_interim"
    ENDLESS_OTHERS = "endless_others"


_EARLY_MODES = (ResponseMode.EARLY_RESET, ResponseMode.EARLY_CLOSE)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived, the number of its connection, and whether it ran."""

    request_id: str
    target_id: str
    connection: int
    ran: bool


class PlatformTargetStandIn:
    """Serve requests one at a time on each connection.

    Responses name `idle_timeout_s` if it is set, but connections stay open.

    `raw_response` holds the bytes of a response, with `REQUEST_ID` in place of the request's id.
    The connection is closed behind a response that says so.

    Response bodies are filled up to `body_bytes` for paths that contain `large_path`.

    If `slots` is set, so many requests run at a time and `queue_length` more wait. Further ones,
    and those that still wait at their deadline, are rejected; a run that reaches it ends with 504.

    `runs` counts executions by request id, and `arrivals` has every request. `abandoned_requests`
    lists the ids of requests whose caller sent more data or disconnected while they ran. Responses
    name `limit_per_s` if it is set, and say that the target is leaving if `leaving` is set. Shed
    requests name `pause_s` if it is set. Responses report `percent` as the current duration of work
    if it is set. A request whose path contains `deadly_text` crashes the target, which listens
    again after `restart_delay_s`. Before each response, the target sends `foreign_responses`, which
    belong to other requests, and a second copy of the response before if `repeats_late` is set;
    after them it pauses for `foreign_pause_s`. With `repeats_rejections`, a second copy of a
    rejection is sent as soon as the next request arrives on its connection. `on_crash` and
    `on_restart` are called with each crash.
    """

    def __init__(self, target_id: str, work_s: float = 0.0) -> None:
        self.id = target_id
        self.work_s = work_s
        self.limit_per_s: float | None = None
        self.body_bytes = 0
        self.large_path = ""
        self.leaving = False
        self.pause_s: float | None = None
        self.percent: int | None = None
        self.idle_timeout_s: int | None = None
        self.deadly_text: str | None = None
        self.restart_delay_s = 1.0
        self.foreign_responses: list[bytes] = []
        self.foreign_pause_s = 0.0
        self.repeats_late = False
        self.repeats_rejections = False
        self.slots: int | None = None
        self.queue_length = 0
        self.crashes = 0
        self.on_crash: Callable[[], None] = lambda: None
        self.on_restart: Callable[[], Awaitable[None]] = _do_nothing
        self.response_mode = ResponseMode.NORMAL
        self.raw_response = b""
        self.failure_status = 500
        self.runs: Counter[str] = Counter()
        self.request_heads: list[tuple[str, dict[str, str]]] = []
        self.request_bodies: list[bytes] = []
        self.abandoned_requests: list[str] = []
        self.connections = 0
        self.arrivals: list[Arrival] = []
        self._running = 0
        self._waiting: list[asyncio.Future[None]] = []
        self._rejections: dict[asyncio.StreamWriter, bytes] = {}
        self._connection_numbers: dict[asyncio.StreamWriter, int] = {}
        self._server: asyncio.Server | None = None
        self._last_responses: dict[asyncio.StreamWriter, bytes] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None
        self._host = ""
        self.port = 0

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._host = host
        self._server = await asyncio.start_server(self._handle_connection, host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._restart is not None:
            self._restart.cancel()
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Reset all connections and refuse new ones for a while."""
        if self._server is None or not self._server.is_serving():
            return
        self.crashes += 1
        self._server.close()
        for writer in self._writers:
            _reset_connection(writer)
        self.on_crash()
        self._restart = asyncio.create_task(self._listen_again())

    def restart_as(self, target_id: str) -> None:
        """Restart at once under another id, at the same address."""
        self.id = target_id
        for writer in list(self._writers):
            _reset_connection(writer)

    async def _listen_again(self) -> None:
        await asyncio.sleep(self.restart_delay_s)
        await self.start(self._host)
        await self.on_restart()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._connection_numbers[writer] = self.connections
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._handle_request(reader, writer):
                pass
        self._writers.discard(writer)
        for by_connection in (self._last_responses, self._rejections, self._connection_numbers):
            by_connection.pop(writer, None)
        writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *header_lines = head.split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in header_lines if line)
        }
        request_id = headers.get("attempt-id", "")
        is_early = self.response_mode in _EARLY_MODES
        body = b"" if is_early else await _read_body(reader, headers)
        self.request_heads.append((request_line, headers))
        self.request_bodies.append(body)
        if is_early:
            await self._respond_early(reader, writer, request_id)
            return False
        if self.repeats_rejections and (rejection := self._rejections.pop(writer, None)):
            writer.write(rejection)
        if headers.get("expected-instance", self.id) != self.id:
            self._reject(writer, 421, request_id, [f"Instance-Id: {self.id}"])
            return True
        if self.response_mode is ResponseMode.SHED:
            pause = [] if self.pause_s is None else [f"Retry-After: {self.pause_s}"]
            self._reject(writer, 503, request_id, ["Not-Executed: 1", *pause])
            return True
        deadline_s = math.inf
        if self.slots is not None:
            deadline_s = time.monotonic() + float(headers.get("deadline-ms", "inf")) / _MS_PER_S
        if not await self._take_slot(deadline_s):
            self._reject(writer, 503, request_id, ["Not-Executed: 1"])
            return True
        try:
            return await self._run(reader, writer, request_id, request_line, deadline_s)
        finally:
            self._return_slot()

    async def _respond_early(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        """Respond without a length while the request's body is still being sent."""
        self.runs[request_id] += 1
        self._record_arrival(writer, request_id, ran=True)
        is_reset = self.response_mode is ResponseMode.EARLY_RESET
        body = f"answer to {request_id}".encode("latin-1")
        response = _build_unframed_response(request_id, body, ["Server-Signature: ok"])
        writer.write(response[:-3] if is_reset else response)
        await writer.drain()
        if is_reset:
            await asyncio.sleep(0.02)
            _reset_connection(writer)
            return
        writer.write_eof()
        while await reader.read(_PART_BYTES):
            pass

    def _reject(
        self, writer: asyncio.StreamWriter, status: int, request_id: str, headers: list[str]
    ) -> None:
        self._record_arrival(writer, request_id, ran=False)
        rejection = _build_response(status, request_id, b"", [*headers, *self._list_own_headers()])
        self._rejections[writer] = rejection
        writer.write(rejection)

    def _record_arrival(self, writer: asyncio.StreamWriter, request_id: str, ran: bool) -> None:
        connection = self._connection_numbers[writer]
        self.arrivals.append(Arrival(request_id, self.id, connection, ran))

    async def _take_slot(self, deadline_s: float) -> bool:
        """Take a slot, if there is one for the request before its deadline."""
        if self.slots is None or self._running < self.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self.queue_length:
            return False
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append(granted)
        await asyncio.wait([granted], timeout=max(0.0, deadline_s - time.monotonic()))
        if granted.done():
            return True
        self._waiting.remove(granted)
        return False

    def _return_slot(self) -> None:
        if self._waiting:
            self._waiting.pop(0).set_result(None)
        else:
            self._running -= 1

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        request_line: str,
        deadline_s: float,
    ) -> bool:
        self.runs[request_id] += 1
        self._record_arrival(writer, request_id, ran=True)
        if self.deadly_text is not None and self.deadly_text in request_line:
            self.crash()
            return False
        if self.work_s:
            disconnect_read = asyncio.create_task(reader.read(1))
            left_s = max(0.0, deadline_s - time.monotonic())
            done, _ = await asyncio.wait([disconnect_read], timeout=min(self.work_s, left_s))
            if done:
                # The read fails if the caller reset the connection; a reset counts as a disconnect.
                disconnect_read.exception()
                self.abandoned_requests.append(request_id)
                return False
            disconnect_read.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await disconnect_read
            if left_s < self.work_s:
                writer.write(_build_response(504, request_id, b"", ["Server-Signature: ok"]))
                return True
        return await self._send_response(writer, request_id, request_line)

    def _list_own_headers(self) -> list[str]:
        """Return the headers in which the target tells of itself."""
        headers = []
        if self.limit_per_s is not None:
            headers.append(f"Server-Limit: {self.limit_per_s}")
        if self.idle_timeout_s is not None:
            headers.append(f"Keep-Alive: timeout={self.idle_timeout_s}")
        if self.leaving:
            headers.append("Server-Leaving: 1")
        return headers

    async def _send_response(
        self, writer: asyncio.StreamWriter, request_id: str, request_line: str
    ) -> bool:
        own_headers = self._list_own_headers()
        load = "1,0,4" if self.percent is None else f"1,0,4,{self.percent}"
        signed_headers = ["Server-Signature: ok", f"Server-Load: {load}", *own_headers]
        if self.response_mode in _ENDLESS_PARTS:
            await _send_endless(writer, request_id, self.response_mode)
            return False
        if self.response_mode is ResponseMode.RAW:
            writer.write(self.raw_response.replace(REQUEST_ID, request_id.encode("latin-1")))
            return b"Connection: close" not in self.raw_response
        body = f"answer to {request_id}".encode("latin-1")
        if self.large_path in request_line:
            body = body.ljust(self.body_bytes, b".")
        await self._send_foreign(writer)
        response = _build_response(200, request_id, body, signed_headers)
        self._last_responses[writer] = response
        if self.response_mode is ResponseMode.FAIL:
            failure = _build_response(self.failure_status, request_id, b"failed", signed_headers)
            writer.write(failure)
        elif self.response_mode is ResponseMode.CUT:
            writer.write(response[:-3])
            await writer.drain()
            return False
        elif self.response_mode is ResponseMode.UNSIGNED:
            writer.write(_build_response(200, request_id, body, own_headers))
        elif self.response_mode is ResponseMode.EXTRA:
            writer.write(
                response + _build_response(200, request_id, b"second answer", signed_headers)
            )
        elif self.response_mode is ResponseMode.RESET:
            _reset_connection(writer)
            return False
        elif self.response_mode in (ResponseMode.RESET_UNFRAMED, ResponseMode.CLOSE_UNFRAMED):
            writer.write(_build_unframed_response(request_id, body, signed_headers))
            await writer.drain()
            if self.response_mode is ResponseMode.RESET_UNFRAMED:
                await asyncio.sleep(0.02)
                _reset_connection(writer)
            return False
        else:
            writer.write(response)
        return True

    async def _send_foreign(self, writer: asyncio.StreamWriter) -> None:
        last = self._last_responses.get(writer) if self.repeats_late else None
        for response in [*self.foreign_responses, *([last] if last else [])]:
            writer.write(response)
            if self.foreign_pause_s:
                await writer.drain()
                await asyncio.sleep(self.foreign_pause_s)


async def _do_nothing() -> None:
    pass


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    chunks = []
    while size := int(await reader.readuntil(b"\n"), 16):
        chunks.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(chunks)


def _build_response(status: int, request_id: str, body: bytes, headers: list[str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {request_id}", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines + headers) + "\r\n\r\n").encode("latin-1") + body


_PART_BYTES = 65_536
# The head and the part that follows it without end.
_ENDLESS_PARTS = {
    ResponseMode.ENDLESS_BODY: ("Connection: close\r\n\r\n", b"x" * _PART_BYTES),
    ResponseMode.ENDLESS_CHUNKED: (
        "Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (_PART_BYTES, b"x" * _PART_BYTES),
    ),
    ResponseMode.ENDLESS_HEAD: ("", b"X-More: " + b"x" * 100 + b"\r\n"),
    ResponseMode.ENDLESS_INTERIM: (None, b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    ResponseMode.ENDLESS_OTHERS: (None, _build_response(200, "other", b"x" * 1_000, [])),
}


async def _send_endless(
    writer: asyncio.StreamWriter, request_id: str, response_mode: ResponseMode
) -> None:
    """Send until the caller closes the connection, which raises `ConnectionError`."""
    head, part = _ENDLESS_PARTS[response_mode]
    if head is not None:
        lines = f"HTTP/1.1 200 X\r\nAttempt-Id: {request_id}\r\nServer-Signature: ok\r\n"
        writer.write((lines + head).encode("latin-1"))
    while True:
        writer.write(part)
        await writer.drain()


def _build_unframed_response(request_id: str, body: bytes, headers: list[str]) -> bytes:
    lines = ["HTTP/1.1 200 X", f"Attempt-Id: {request_id}", "Connection: close"]
    return ("\r\n".join(lines + headers) + "\r\n\r\n").encode("latin-1") + body


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    # The connection may have been closed by its caller just now.
    with contextlib.suppress(OSError):
        raw_socket = writer.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
