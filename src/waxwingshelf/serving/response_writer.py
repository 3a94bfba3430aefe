"""Write responses to callers, and end those whose caller stops reading."""

from __future__ import annotations

import contextlib

import msgspec
import structlog
from aiohttp import web
from multidict import CIMultiDict

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.steering.response_room import ReaderProgress, is_large

__all__ = ["ResponseWriter"]

# Bounds what the transport's buffer copies; the next part is written when this one has been sent.
_PART_BYTES = 65_536
_log = structlog.get_logger("response_writer")


class _PendingWrite(msgspec.Struct, eq=False):
    """A response that is being written; `unwritten_bytes` have not reached the transport."""

    request: web.BaseRequest
    request_id: str
    size: int
    unwritten_bytes: int
    progress: ReaderProgress

    def count_unsent_bytes(self) -> int:
        """Return how many bytes have not been handed to the operating system."""
        transport = self.request.transport
        return self.unwritten_bytes + (transport.get_write_buffer_size() if transport else 0)


class ResponseWriter:
    """Write responses until all their bytes have left this process."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._pending: set[_PendingWrite] = set()

    async def write(
        self,
        request: web.BaseRequest,
        request_id: str,
        status: int,
        headers: CIMultiDict[str],
        body: bytes,
        closes_connection: bool = False,
    ) -> web.StreamResponse:
        """Write a response, and return it when it has been sent or its caller has left."""
        response: web.StreamResponse
        if is_large(len(body)):
            response = web.StreamResponse(status=status, headers=headers)
            response.content_length = len(body)
        else:
            response = web.Response(status=status, headers=headers, body=body)
        if closes_connection:
            response.force_close()
        progress = ReaderProgress(len(body), self._clock.now_ms())
        write = _PendingWrite(request, request_id, len(body), len(body), progress)
        self._pending.add(write)
        try:
            # The server also notices that a caller has left, and closes the connection.
            with contextlib.suppress(ConnectionError):
                await _write_until_sent(write, response, body)
        finally:
            self._pending.discard(write)
        return response

    def end_slow_readers(self, idle_timeout_ms: int) -> None:
        """Close the connections whose callers have read nothing of a response for the timeout."""
        now_ms = self._clock.now_ms()
        for write in list(self._pending):
            write.progress.record(write.count_unsent_bytes(), now_ms)
            if write.progress.is_stalled(idle_timeout_ms, now_ms):
                self._pending.discard(write)
                self._abort_connection(write, now_ms)

    def _abort_connection(self, write: _PendingWrite, now_ms: int) -> None:
        self._metrics.slow_readers.inc()
        _log.info(
            "slow_reader",
            request=write.request_id,
            size=write.size,
            unsent=write.progress.unsent_bytes,
            idle_ms=now_ms - write.progress.progress_at_ms,
        )
        if write.request.transport is not None:
            # Closing would wait until the buffer has been sent.
            write.request.transport.abort()


async def _write_until_sent(
    write: _PendingWrite, response: web.StreamResponse, body: bytes
) -> None:
    if write.request.transport is not None:
        # Each write then waits until the transport's buffer is empty.
        write.request.transport.set_write_buffer_limits(high=0)
    writer = await response.prepare(write.request)
    if writer is not None and isinstance(response, web.Response):
        write.unwritten_bytes = 0
    elif writer is not None:
        parts = memoryview(body)
        for start in range(0, len(body), _PART_BYTES):
            part = parts[start : start + _PART_BYTES]
            write.unwritten_bytes -= len(part)
            await response.write(part)
            await writer.drain()
    await response.write_eof()
