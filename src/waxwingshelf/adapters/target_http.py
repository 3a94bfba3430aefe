"""Send requests to targets over HTTP and classify their failures."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import aiohttp
from multidict import CIMultiDict

from waxwingshelf.checked_responses import build_connector
from waxwingshelf.core.manifest import Target
from waxwingshelf.core.targets import Health

__all__ = ["FailureKind", "SendFailure", "TargetClient", "TargetRequest", "TargetResponse"]

REQUEST_ID_HEADER = "X-Request-Id"
LOAD_HEADER = "X-Load"
NOT_RUN_HEADER = "X-Not-Run"
_CHUNK_BYTES = 65_536
_MAX_CONNECTIONS_PER_TARGET = 40
_PROBE_TIMEOUT_S = 1.0
_MS_PER_S = 1_000


class FailureKind(StrEnum):
    """Why an attempt failed; after `NOT_SENT` or `NOT_RUN` the request certainly did not run."""

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    CROSSED = "crossed"

    @property
    def certainly_not_run(self) -> bool:
        """Return whether the request certainly did not run."""
        return self in (FailureKind.NOT_SENT, FailureKind.NOT_RUN)


@dataclass(frozen=True, slots=True)
class SendFailure:
    """A failed attempt; `load` is the load that the target reported, or -1 if it reported none."""

    kind: FailureKind
    target: str
    detail: str
    load: int = -1
    draining: bool = False


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to a target; `body` is complete, or a stream that can be sent only once."""

    method: str
    path: str
    headers: CIMultiDict[str]
    body: Any
    request_id: str
    timeout_ms: int
    idempotent: bool


class TargetResponse:
    """A response of a target, with the start of its body.

    `read_chunk` reads the rest of the body unless `is_complete` is true.
    """

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
        """Read the next chunk of the body, which is empty at the end.

        Raise an aiohttp error if the response is truncated.
        """
        return await self._response.content.read(_CHUNK_BYTES)

    def close(self, reusable: bool) -> None:
        """Return the connection to the pool if it is reusable, or close it.

        A connection is reusable once its response was read to the end.
        """
        if reusable:
            self._response.release()
        else:
            self._response.close()


class TargetClient:
    """Send requests to targets; a cancelled or timed-out request closes its connection.

    A request that must not run twice is sent over a new connection. A target may close a reused
    connection just as the request is sent, and then it is unknown whether the request ran.
    """

    def __init__(self) -> None:
        self._pooled_session: aiohttp.ClientSession | None = None
        self._unpooled_session: aiohttp.ClientSession | None = None

    async def send(
        self, target_name: str, target: Target, request: TargetRequest
    ) -> TargetResponse | SendFailure:
        """Send a request and read the headers and the start of the body of the response."""
        session = self._get_session(request.idempotent)
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
            return SendFailure(FailureKind.NOT_SENT, target_name, str(error))
        except TimeoutError:
            return SendFailure(
                FailureKind.TIMEOUT, target_name, f"no response within {request.timeout_ms} ms"
            )
        except (aiohttp.ClientError, OSError) as error:
            return SendFailure(FailureKind.BROKEN, target_name, repr(error))
        return await self._read_response(target_name, request, response)

    async def probe(self, target: Target) -> Health:
        """Return the health that a target's endpoint reports, or `DOWN` if the probe fails."""
        url = f"http://{target.host}:{target.port}/health"
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        try:
            async with self._get_session(True).get(url, timeout=timeout) as response:
                if response.status != 200:
                    return Health.DOWN
                state = (await response.json()).get("state", "")
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, AttributeError):
            return Health.DOWN
        return Health.DRAINING if state == Health.DRAINING else Health.HEALTHY

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._pooled_session, self._unpooled_session):
            if session is not None:
                await session.close()

    async def _read_response(
        self, target_name: str, request: TargetRequest, response: aiohttp.ClientResponse
    ) -> TargetResponse | SendFailure:
        not_run_reason = response.headers.get(NOT_RUN_HEADER)
        if response.status == 503 and not_run_reason is not None:
            load = parse_load(response.headers.get(LOAD_HEADER, ""))
            response.release()
            draining = not_run_reason == Health.DRAINING
            return SendFailure(FailureKind.NOT_RUN, target_name, not_run_reason, load, draining)
        echoed_id = response.headers.get(REQUEST_ID_HEADER, request.request_id)
        if echoed_id != request.request_id:
            response.close()
            return SendFailure(FailureKind.CROSSED, target_name, f"response to request {echoed_id}")
        try:
            body_start, is_complete = await _read_start(response, _CHUNK_BYTES)
        except TimeoutError:
            response.close()
            return SendFailure(FailureKind.TIMEOUT, target_name, "response not complete in time")
        except (aiohttp.ClientError, OSError) as error:
            response.close()
            return SendFailure(FailureKind.BROKEN, target_name, f"response truncated: {error!r}")
        except asyncio.CancelledError:
            response.close()
            raise
        return TargetResponse(response, body_start, is_complete)

    def _get_session(self, reuse_connections: bool) -> aiohttp.ClientSession:
        if self._pooled_session is None or self._unpooled_session is None:
            self._pooled_session = _build_session(
                build_connector(limit=0, limit_per_host=_MAX_CONNECTIONS_PER_TARGET)
            )
            self._unpooled_session = _build_session(build_connector(limit=0, force_close=True))
        return self._pooled_session if reuse_connections else self._unpooled_session


def parse_load(text: str) -> int:
    """Return the requests in flight from a load header such as "3/9", or -1 if it is invalid."""
    load = text.partition("/")[0]
    return int(load) if load.isdigit() else -1


def _build_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


async def _read_start(response: aiohttp.ClientResponse, max_bytes: int) -> tuple[bytes, bool]:
    chunks: list[bytes] = []
    size = 0
    while size < max_bytes:
        chunk = await response.content.read(max_bytes - size)
        if not chunk:
            return b"".join(chunks), True
        chunks.append(chunk)
        size += len(chunk)
    return b"".join(chunks), response.content.at_eof()
