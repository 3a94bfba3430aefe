"""Read a body of unknown size, up to a maximum."""

from __future__ import annotations

from typing import Protocol

__all__ = ["BodyLimitError", "ChunkReader", "read_bounded"]


class BodyLimitError(ValueError):
    """A body exceeds the maximum size."""


class ChunkReader(Protocol):
    """A source of chunks, such as the content of an HTTP response."""

    async def readany(self) -> bytes:
        """Return the next chunk, or nothing at the end."""


async def read_bounded(reader: ChunkReader, max_bytes: int) -> bytes:
    """Return the whole body; raise `BodyLimitError` once it exceeds `max_bytes`."""
    chunks: list[bytes] = []
    size = 0
    while chunk := await reader.readany():
        size += len(chunk)
        if size > max_bytes:
            raise BodyLimitError(f"body exceeds {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
