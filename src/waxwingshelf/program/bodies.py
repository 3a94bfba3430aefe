"""Read request bodies with limits on their size and on the wait for each chunk."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web

from waxwingshelf.core import refusals
from waxwingshelf.core.refusals import Refusal, refuse

__all__ = ["BodyError", "BodyReader"]

_CHUNK_TIMEOUT_S = 5.0


class BodyError(Exception):
    """A request body exceeded a limit or could not be read; `refusal` says why."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.name)
        self.refusal = refusal


class BodyReader:
    """Read a request body of at most `max_bytes`, waiting at most 5 s for each chunk."""

    def __init__(self, request: web.Request, max_bytes: int) -> None:
        self._request = request
        self._max_bytes = max_bytes

    async def read(self) -> bytes | Refusal:
        """Return the whole body, or a refusal if a limit is exceeded or the read fails."""
        length = self._request.content_length
        if length is not None and length > self._max_bytes:
            return refuse(refusals.BODY_TOO_LARGE)
        try:
            return b"".join([chunk async for chunk in self.stream()])
        except BodyError as error:
            return error.refusal

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body.

        Raise `BodyError` if a limit is exceeded or the read fails.
        """
        size = 0
        while True:
            try:
                async with asyncio.timeout(_CHUNK_TIMEOUT_S):
                    chunk = await self._request.content.readany()
            except TimeoutError:
                raise BodyError(refuse(refusals.BODY_TOO_SLOW)) from None
            except (web.RequestPayloadError, aiohttp.ClientError, OSError) as error:
                detail = repr(error)
                raise BodyError(refuse(refusals.BAD_REQUEST, detail=detail)) from None
            if not chunk:
                return
            size += len(chunk)
            if size > self._max_bytes:
                raise BodyError(refuse(refusals.BODY_TOO_LARGE))
            yield chunk
