"""Read bodies of requests within limits."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web

from waxwingshelf.core import refusals
from waxwingshelf.core.refusals import Refusal, refuse

__all__ = ["BodyError", "BodyReader"]

_CHUNK_WAIT_S = 5.0


class BodyError(Exception):
    """Carry a refusal out of a body that is being streamed."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.name)
        self.refusal = refusal


class BodyReader:
    """Read a body within a limit on its size and on the time between its parts."""

    def __init__(self, request: web.Request, max_bytes: int) -> None:
        self._request = request
        self._max_bytes = max_bytes

    async def read(self) -> bytes | Refusal:
        """Read the whole body."""
        length = self._request.content_length
        if length is not None and length > self._max_bytes:
            return refuse(refusals.BODY_TOO_LARGE)
        try:
            return b"".join([part async for part in self.stream()])
        except BodyError as error:
            return error.refusal

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; `BodyError` when a limit is passed."""
        size = 0
        while True:
            try:
                part = await asyncio.wait_for(self._request.content.readany(), _CHUNK_WAIT_S)
            except TimeoutError:
                raise BodyError(refuse(refusals.BODY_TOO_SLOW)) from None
            except (web.RequestPayloadError, aiohttp.ClientError, OSError) as error:
                detail = repr(error)
                raise BodyError(refuse(refusals.BAD_REQUEST, detail=detail)) from None
            if not part:
                return
            size += len(part)
            if size > self._max_bytes:
                raise BodyError(refuse(refusals.BODY_TOO_LARGE))
            yield part
