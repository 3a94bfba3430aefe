"""A stand-in for a target on the platform, over raw sockets so that it can misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from enum import StrEnum

__all__ = ["PlatformTargetStandIn", "ResponseMode"]

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResponseMode(StrEnum):
    """How the target answers."""

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


class PlatformTargetStandIn:
    """Serve requests one at a time on each connection; `runs` counts them by id."""

    def __init__(self, target_id: str, work_s: float = 0.0) -> None:
        self.id = target_id
        self.work_s = work_s
        self.response_mode = ResponseMode.NORMAL
        self.runs: Counter[str] = Counter()
        self.request_heads: list[tuple[str, dict[str, str]]] = []
        self.request_bodies: list[bytes] = []
        self.abandoned_requests: list[str] = []
        self.connections = 0
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._answer_one(reader, writer):
                pass
        writer.close()

    async def _answer_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head.split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (row.partition(":") for row in rest if row)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        self.request_heads.append((line, headers))
        self.request_bodies.append(body)
        request_id = headers.get("attempt-id", "")
        if headers.get("expected-instance", self.id) != self.id:
            writer.write(_build(421, request_id, b"", [f"Instance-Id: {self.id}"]))
            return True
        if self.response_mode is ResponseMode.SHED:
            writer.write(_build(503, request_id, b"", ["Not-Executed: 1"]))
            return True
        self.runs[request_id] += 1
        if self.work_s:
            watch = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait([watch], timeout=self.work_s)
            if done:
                # A reset ends the read with an error; either way the caller is gone.
                watch.exception()
                self.abandoned_requests.append(request_id)
                return False
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch
        return await self._send_answer(writer, request_id)

    async def _send_answer(self, writer: asyncio.StreamWriter, request_id: str) -> bool:
        signed = ["Server-Signature: ok", "Server-Load: 1,0,4"]
        body = f"answer to {request_id}".encode()
        answer = _build(200, request_id, body, signed)
        if self.response_mode is ResponseMode.FAIL:
            writer.write(_build(500, request_id, b"failed", signed))
        elif self.response_mode is ResponseMode.CUT:
            writer.write(answer[:-3])
            await writer.drain()
            return False
        elif self.response_mode is ResponseMode.UNSIGNED:
            writer.write(_build(200, request_id, body, []))
        elif self.response_mode is ResponseMode.EXTRA:
            writer.write(answer + _build(200, request_id, b"second answer", signed))
        elif self.response_mode is ResponseMode.RESET:
            _reset(writer)
            return False
        elif self.response_mode in (ResponseMode.RESET_UNFRAMED, ResponseMode.CLOSE_UNFRAMED):
            writer.write(_build_unframed(request_id, body, signed))
            await writer.drain()
            if self.response_mode is ResponseMode.RESET_UNFRAMED:
                await asyncio.sleep(0.02)
                _reset(writer)
            return False
        else:
            writer.write(answer)
        return True


def _build(status: int, request_id: str, body: bytes, headers: list[str]) -> bytes:
    rows = [f"HTTP/1.1 {status} X", f"Attempt-Id: {request_id}", f"Content-Length: {len(body)}"]
    return ("\r\n".join(rows + headers) + "\r\n\r\n").encode() + body


def _build_unframed(request_id: str, body: bytes, headers: list[str]) -> bytes:
    rows = ["HTTP/1.1 200 X", f"Attempt-Id: {request_id}", "Connection: close"]
    return ("\r\n".join(rows + headers) + "\r\n\r\n").encode() + body


def _reset(writer: asyncio.StreamWriter) -> None:
    opened = writer.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
