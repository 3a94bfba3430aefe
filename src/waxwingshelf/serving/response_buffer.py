"""Bound the bytes that targets' responses may take in this process.

A faulty target may send bytes without end, as a body or as responses that belong to no request.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

__all__ = ["BoundedResponseHandler", "ResponseBuffer", "ResponseLimitError"]

_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Small machines have 200 MB, of which a process without load takes a fifth.
_MAX_BUFFERED_BYTES = 48 * 1024 * 1024
# Heads, interim responses and late responses to other requests, until the awaited head is read.
_MAX_UNMATCHED_BYTES = 1024 * 1024
# Shorter than the time after which targets that do not tell close idle connections.
_DEFAULT_IDLE_TIMEOUT_MS = 4_000
# A request must reach a target before it closes the idle connection.
_IDLE_MARGIN_MS = 500
# The bytes of that limit would hold some 40,000 interim responses, which take a second to handle.
_MAX_UNMATCHED_HEADS = 64


class ResponseLimitError(aiohttp.ClientError):
    """A target sent more bytes than a response may have."""


class BoundedResponseHandler(ResponseHandler):
    """A client connection that is reset if it brings too many bytes outside awaited bodies."""

    _unmatched_bytes = 0
    _unmatched_heads = 0
    _in_body = False
    _idle_since_ms: int | None = None
    _idle_timeout_ms = _DEFAULT_IDLE_TIMEOUT_MS

    def begin_idle(self, now_ms: int, idle_timeout_ms: int | None) -> None:
        """Record that the connection is idle, and for how long its peer keeps it if it tells."""
        self._idle_since_ms = now_ms
        if idle_timeout_ms is not None:
            self._idle_timeout_ms = idle_timeout_ms - _IDLE_MARGIN_MS

    def end_idle(self) -> None:
        """Record that a request uses the connection."""
        self._idle_since_ms = None

    def is_idle_too_long(self, now_ms: int, is_idempotent: bool) -> bool:
        """Return whether the peer may have closed the connection, or be about to.

        A peer may also drop an idle connection early and in silence, the more likely the longer it
        is idle. A request that cannot be repeated would then be lost.
        """
        if self._idle_since_ms is None:
            return False
        timeout_ms = self._idle_timeout_ms
        if not is_idempotent:
            timeout_ms = min(timeout_ms, _DEFAULT_IDLE_TIMEOUT_MS)
        return now_ms - self._idle_since_ms >= timeout_ms

    def set_in_body(self, in_body: bool) -> None:
        """Set whether the body of an awaited response is being read."""
        self._in_body = in_body
        self._unmatched_bytes = 0
        self._unmatched_heads = 0

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the response to the next request."""
        self.set_in_body(False)
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or reset the connection if there are too many."""
        self._unmatched_bytes += len(data)
        if not self._in_body and self._unmatched_bytes > _MAX_UNMATCHED_BYTES:
            self._give_up(f"{self._unmatched_bytes} bytes")
            return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the head of a response, or reset the connection if there are too many."""
        self._unmatched_heads += 1
        if not self._in_body and self._unmatched_heads > _MAX_UNMATCHED_HEADS:
            self._give_up(f"{self._unmatched_heads} responses")
            return
        super().feed_data(data, size)

    def _give_up(self, received: str) -> None:
        # First the abort, which clears an error that no reader waits for.
        self.abort()
        self.set_exception(ResponseLimitError(f"{received} without the awaited response"))


class _BufferedBody:
    """The part of one response's body that has been read."""

    __slots__ = ("chunks", "response", "size")

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response
        self.chunks: list[bytes] = []
        self.size = 0


class ResponseBuffer:
    """The bodies of all responses that are being read.

    If they exceed a maximum together, the largest one is given up: it is the most likely to have no
    end.
    """

    def __init__(
        self,
        max_response_bytes: int = _MAX_RESPONSE_BYTES,
        max_total_bytes: int = _MAX_BUFFERED_BYTES,
    ) -> None:
        self._max_response_bytes = max_response_bytes
        self._max_total_bytes = max_total_bytes
        self._bodies: set[_BufferedBody] = set()
        self._total_bytes = 0

    async def read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return a response's whole body; raise `ResponseLimitError` if it is too large."""
        length = response.content_length
        if length is not None and length > self._max_response_bytes:
            raise ResponseLimitError(f"body of {length} bytes")
        with self._open(response) as body:
            while chunk := await response.content.readany():
                self._add(body, chunk)
            return b"".join(body.chunks)

    @contextmanager
    def _open(self, response: aiohttp.ClientResponse) -> Iterator[_BufferedBody]:
        body = _BufferedBody(response)
        self._bodies.add(body)
        try:
            yield body
        finally:
            self._remove(body)

    def _add(self, body: _BufferedBody, chunk: bytes) -> None:
        if body not in self._bodies:
            raise ResponseLimitError("too many bytes in responses in progress")
        body.chunks.append(chunk)
        body.size += len(chunk)
        self._total_bytes += len(chunk)
        if body.size > self._max_response_bytes:
            raise ResponseLimitError(f"body of more than {self._max_response_bytes} bytes")
        while self._total_bytes > self._max_total_bytes:
            self._give_up(max(self._bodies, key=_get_size))

    def _give_up(self, body: _BufferedBody) -> None:
        self._remove(body)
        detail = f"largest of the responses in progress, {body.size} bytes"
        body.response.content.set_exception(ResponseLimitError(detail))

    def _remove(self, body: _BufferedBody) -> None:
        if body in self._bodies:
            self._bodies.remove(body)
            self._total_bytes -= body.size
            body.chunks = []


def _get_size(body: _BufferedBody) -> int:
    return body.size
