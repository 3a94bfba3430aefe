"""Read request bodies: small ones into memory, large ones as a stream."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import web

__all__ = ["BodyTooLargeError", "read_body"]

_MAX_BUFFERED_BYTES = 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyTooLargeError(Exception):
    """The request body exceeds the configured maximum size."""


async def read_body(
    request: web.BaseRequest, max_bytes: int
) -> bytes | AsyncIterator[bytes] | None:
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
    parts: list[bytes] = []
    size = 0
    while size <= _MAX_BUFFERED_BYTES:
        part = await request.content.read(_CHUNK_BYTES)
        if not part:
            return b"".join(parts)
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            raise BodyTooLargeError
    return _stream_body(parts, request, size, max_bytes)


async def _stream_body(
    parts: list[bytes], request: web.BaseRequest, size: int, max_bytes: int
) -> AsyncIterator[bytes]:
    for part in parts:
        yield part
    parts.clear()
    while part := await request.content.read(_CHUNK_BYTES):
        size += len(part)
        if size > max_bytes:
            raise BodyTooLargeError
        yield part
