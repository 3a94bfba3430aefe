"""Read a caller's body: whole when it is small, as a stream when it is large."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import web

__all__ = ["BodyTooLargeError", "read_body"]

_WHOLE_BYTES = 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyTooLargeError(Exception):
    """The body is longer than the configuration allows."""


async def read_body(
    request: web.BaseRequest, most_bytes: int
) -> bytes | AsyncIterator[bytes] | None:
    """Return the body, None when there is none; raise `BodyTooLargeError`."""
    length = request.content_length
    if length is not None and length > most_bytes:
        raise BodyTooLargeError
    if not request.body_exists:
        return None
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport:
        request.transport.write(_CONTINUE)
    parts: list[bytes] = []
    size = 0
    while size <= _WHOLE_BYTES:
        part = await request.content.read(_CHUNK_BYTES)
        if not part:
            return b"".join(parts)
        parts.append(part)
        size += len(part)
        if size > most_bytes:
            raise BodyTooLargeError
    return _stream(parts, request, size, most_bytes)


async def _stream(
    parts: list[bytes], request: web.BaseRequest, size: int, most_bytes: int
) -> AsyncIterator[bytes]:
    for part in parts:
        yield part
    parts.clear()
    while part := await request.content.read(_CHUNK_BYTES):
        size += len(part)
        if size > most_bytes:
            raise BodyTooLargeError
        yield part
