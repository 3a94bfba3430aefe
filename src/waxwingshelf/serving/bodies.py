"""Read request bodies: small ones into memory, large ones as a stream."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import web

__all__ = ["MAX_BUFFERED_BYTES", "BodyTooLargeError", "StreamedBody", "read_body"]

MAX_BUFFERED_BYTES = 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyTooLargeError(Exception):
    """The request body exceeds the configured maximum size."""


class StreamedBody:
    """A large body that can be read once; `beginning` is the part that was read before."""

    __slots__ = ("_chunks", "beginning")

    def __init__(self, beginning: bytes, chunks: AsyncIterator[bytes]) -> None:
        self.beginning = beginning
        self._chunks = chunks

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the whole body."""
        yield self.beginning
        self.beginning = b""
        async for chunk in self._chunks:
            yield chunk


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes | StreamedBody | None:
    """Return the body as bytes, as a stream when it exceeds 1 MiB, or None when there is none.

    Raise `BodyTooLargeError` when the body exceeds `max_bytes`; a stream raises it while it is
    read.
    """
    length = request.content_length
    if length is not None and length > max_bytes:
        raise BodyTooLargeError
    if not request.body_exists:
        return None
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport:
        request.transport.write(_CONTINUE_RESPONSE)
    chunks: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_BYTES:
        chunk = await request.content.read(_CHUNK_BYTES)
        if not chunk:
            return b"".join(chunks)
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            raise BodyTooLargeError
    return StreamedBody(b"".join(chunks), _read_rest(request, size, max_bytes))


async def _read_rest(request: web.BaseRequest, size: int, max_bytes: int) -> AsyncIterator[bytes]:
    while chunk := await request.content.read(_CHUNK_BYTES):
        size += len(chunk)
        if size > max_bytes:
            raise BodyTooLargeError
        yield chunk
