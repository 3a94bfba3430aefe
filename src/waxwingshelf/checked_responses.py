"""Client connections on which malformed and incomplete responses are errors.

The HTTP library's parser accepts heads that RFC 9112 does not allow, and bodies in transfer codings
that it cannot undo. Such a response must reach no caller, and nothing that it says may be believed,
such as that a request was not run.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import EMPTY_BODY_STATUS_CODES
from aiohttp.http_parser import RawResponseMessage

from waxwingshelf.core.response_heads import (
    HeadScanner,
    build_head,
    find_coding_fault,
    find_head_fault,
)

__all__ = [
    "CheckedResponseHandler",
    "CompleteResponseHandler",
    "MalformedResponseError",
    "build_connector",
]


class MalformedResponseError(aiohttp.ClientError):
    """A response that does not follow the grammar of HTTP/1."""


class CheckedResponseHandler(ResponseHandler):
    """A client connection that is reset when it brings a malformed head.

    Responses that came before are still read; no reader gets the malformed one or a later one.
    """

    _is_failed = False

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._scanner = HeadScanner()

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the response to the next request."""
        self._scanner.start()
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Check the heads in received bytes and parse them, or reset the connection."""
        fault = self._scanner.scan(data)
        if fault is not None:
            self._fail(MalformedResponseError(fault))
            return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the head of a response, or reset the connection if it is malformed."""
        fault = self._find_fault(*data)
        if fault is not None:
            self._fail(MalformedResponseError(fault))
        if not self._is_failed:
            super().feed_data(data, size)

    def _find_fault(self, message: RawResponseMessage, payload: aiohttp.StreamReader) -> str | None:
        if not self._scanner.take_checked():
            fault = find_head_fault(
                build_head(message.version, message.code, message.reason, message.raw_headers)
            )
            if fault is not None:
                return fault
        if self._skip_payload or message.code in EMPTY_BODY_STATUS_CODES:
            return None
        if payload is aiohttp.EMPTY_PAYLOAD:
            # The parser takes the largest length that it can hold for none.
            return f"length {message.headers.get('Content-Length')}"
        codings = message.headers.getall("Transfer-Encoding", ())
        if not codings:
            return None
        return find_coding_fault(message.version, ",".join(codings), message.chunked)

    def _fail(self, error: aiohttp.ClientError) -> None:
        """Reset the connection, and let its reader fail after the responses that are queued."""
        self._is_failed = True
        # The abort comes first, since it clears an error that no reader waits for.
        self.abort()
        self.set_exception(error)


class CompleteResponseHandler(CheckedResponseHandler):
    """A client connection that also fails a body without a length that a reset truncates.

    Such a body is complete only if the server closed the connection (RFC 9112, section 8). The
    library takes any end of the connection for its end.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the body that is being read, which is incomplete after an error."""
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            error = aiohttp.ClientPayloadError(f"connection lost while reading the body: {exc!r}")
            self._payload.set_exception(error)
        super().connection_lost(exc)


def build_connector(
    handler_class: Callable[..., ResponseHandler] = CompleteResponseHandler,
    connector_class: Callable[..., aiohttp.TCPConnector] = aiohttp.TCPConnector,
    **options: Any,
) -> aiohttp.TCPConnector:
    """Return a pool of connections of `handler_class`; an event loop must be running.

    `options` are those of `connector_class`.
    """
    connector = connector_class(**options)
    connector._factory = functools.partial(handler_class, loop=asyncio.get_running_loop())
    return connector
