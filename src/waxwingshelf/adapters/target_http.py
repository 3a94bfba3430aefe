"""Requests to targets over HTTP, with every way in which they can fail told apart."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import aiohttp
from multidict import CIMultiDict

from waxwingshelf.core.manifest import Target
from waxwingshelf.core.targets import Health

__all__ = ["FailureKind", "SendFailure", "TargetClient", "TargetRequest", "TargetResponse"]

REQUEST_ID_HEADER = "X-Request-Id"
LOAD_HEADER = "X-Load"
NOT_RUN_HEADER = "X-Not-Run"
_BUFFER_BYTES = 65_536
_CONNECTIONS_PER_TARGET = 40
_PROBE_TIMEOUT_S = 1.0
_MS_PER_S = 1_000


class FailureKind(StrEnum):
    """How an attempt failed; after the first two the request certainly did not run."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    CROSSED = "crossed"

    @property
    def certainly_not_run(self) -> bool:
        """Tell whether the request certainly did not run."""
        return self in (FailureKind.NOT_SENT, FailureKind.NOT_RUN)


@dataclass(frozen=True, slots=True)
class SendFailure:
    """A failed attempt; `load` is what the target reported, -1 when it did not."""

    kind: FailureKind
    target: str
    detail: str
    load: int = -1
    draining: bool = False


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to a target; the body is whole, or a stream that can be sent only once."""

    method: str
    path: str
    headers: CIMultiDict[str]
    body: Any
    request_id: str
    timeout_ms: int
    idempotent: bool


class TargetResponse:
    """An answer whose first part was read; `rest` yields what follows when it is long."""

    def __init__(
        self, response: aiohttp.ClientResponse, body_start: bytes, is_complete: bool
    ) -> None:
        self._response = response
        self.status = response.status
        self.headers = response.headers
        self.body_start = body_start
        self.is_complete = is_complete
        self.load = parse_load(response.headers.get(LOAD_HEADER, ""))

    async def read_chunk(self) -> bytes:
        """Read the next part, empty at the end; aiohttp errors when the answer is cut short."""
        return await self._response.content.read(_BUFFER_BYTES)

    def close(self, reusable: bool) -> None:
        """Give the connection back, or close it when the answer was not read to its end."""
        if reusable:
            self._response.release()
        else:
            self._response.close()


class TargetClient:
    """Send requests; one that was given up takes its connection with it.

    A request that must not run twice goes over a new connection: on a kept one a target's close
    may cross the request, and then nobody knows whether it ran.
    """

    def __init__(self) -> None:
        self._kept: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None

    async def send(
        self, name: str, target: Target, request: TargetRequest
    ) -> TargetResponse | SendFailure:
        """Send a request and read the first part of the answer."""
        session = self._open(request.idempotent)
        url = f"http://{target.host}:{target.port}{request.path}"
        try:
            response = await session.request(
                request.method,
                url,
                headers=request.headers,
                data=request.body,
                timeout=aiohttp.ClientTimeout(total=request.timeout_ms / _MS_PER_S),
                allow_redirects=False,
                skip_auto_headers=("User-Agent", "Accept", "Content-Type"),
            )
        except aiohttp.ClientConnectorError as error:
            return SendFailure(FailureKind.NOT_SENT, name, str(error))
        except TimeoutError:
            return SendFailure(FailureKind.TIMEOUT, name, f"no answer in {request.timeout_ms} ms")
        except (aiohttp.ClientError, OSError) as error:
            return SendFailure(FailureKind.BROKEN, name, repr(error))
        return await self._read_head(name, request, response)

    async def probe(self, target: Target) -> Health:
        """Ask a target's health endpoint."""
        url = f"http://{target.host}:{target.port}/health"
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        try:
            async with self._open(True).get(url, timeout=timeout) as response:
                if response.status != 200:
                    return Health.DOWN
                state = (await response.json()).get("state", "")
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, AttributeError):
            return Health.DOWN
        return Health.DRAINING if state == Health.DRAINING else Health.HEALTHY

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._kept, self._single):
            if session is not None:
                await session.close()

    async def _read_head(
        self, name: str, request: TargetRequest, response: aiohttp.ClientResponse
    ) -> TargetResponse | SendFailure:
        not_run = response.headers.get(NOT_RUN_HEADER)
        if response.status == 503 and not_run is not None:
            load = parse_load(response.headers.get(LOAD_HEADER, ""))
            response.release()
            draining = not_run == Health.DRAINING
            return SendFailure(FailureKind.NOT_RUN, name, not_run, load, draining)
        echoed = response.headers.get(REQUEST_ID_HEADER, request.request_id)
        if echoed != request.request_id:
            response.close()
            return SendFailure(FailureKind.CROSSED, name, f"answer to request {echoed}")
        try:
            body_start, is_complete = await _read_up_to(response, _BUFFER_BYTES)
        except TimeoutError:
            response.close()
            return SendFailure(FailureKind.TIMEOUT, name, "the answer did not end in time")
        except (aiohttp.ClientError, OSError) as error:
            response.close()
            return SendFailure(FailureKind.BROKEN, name, f"cut short: {error!r}")
        except asyncio.CancelledError:
            response.close()
            raise
        return TargetResponse(response, body_start, is_complete)

    def _open(self, kept: bool) -> aiohttp.ClientSession:
        if self._kept is None or self._single is None:
            self._kept = _build_session(
                aiohttp.TCPConnector(limit=0, limit_per_host=_CONNECTIONS_PER_TARGET)
            )
            self._single = _build_session(aiohttp.TCPConnector(limit=0, force_close=True))
        return self._kept if kept else self._single


def parse_load(text: str) -> int:
    """Return the requests in flight of a load header such as "3/9", or -1."""
    load = text.partition("/")[0]
    return int(load) if load.isdigit() else -1


def _build_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


async def _read_up_to(response: aiohttp.ClientResponse, most: int) -> tuple[bytes, bool]:
    parts: list[bytes] = []
    size = 0
    while size < most:
        part = await response.content.read(most - size)
        if not part:
            return b"".join(parts), True
        parts.append(part)
        size += len(part)
    return b"".join(parts), response.content.at_eof()
