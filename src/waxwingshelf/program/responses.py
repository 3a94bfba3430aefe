"""Relay a target's response to the caller, and make a truncated response detectable."""

from __future__ import annotations

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from waxwingshelf.adapters.target_http import REQUEST_ID_HEADER
from waxwingshelf.core import refusals
from waxwingshelf.core.messages import StoredResponse
from waxwingshelf.core.refusals import Refusal, refuse
from waxwingshelf.ports import Metrics
from waxwingshelf.program.dispatcher import Dispatcher, RoutedResponse
from waxwingshelf.program.headers import is_forwarded_to_caller

__all__ = ["ResponseRelay", "build_web_response"]


class ResponseRelay:
    """Relay targets' responses to callers or read them for storage, and close them."""

    def __init__(self, dispatcher: Dispatcher, metrics: Metrics) -> None:
        self._dispatcher = dispatcher
        self._metrics = metrics

    async def read_response(self, service: str, routed: RoutedResponse) -> StoredResponse | Refusal:
        """Read a response to its end, so that it can be stored."""
        response = routed.response
        chunks = [response.body_start]
        is_complete = response.is_complete
        try:
            while not is_complete:
                chunk = await response.read_chunk()
                is_complete = not chunk
                chunks.append(chunk)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return refuse(refusals.TARGET_FAILED, peer=routed.route.state.name, detail=repr(error))
        finally:
            self._dispatcher.close_response(service, routed, is_complete)
        headers = [(str(k), v) for k, v in response.headers.items() if is_forwarded_to_caller(k)]
        return StoredResponse(response.status, headers, b"".join(chunks))

    async def relay(
        self, request: web.Request, service: str, request_id: str, routed: RoutedResponse
    ) -> web.StreamResponse:
        """Stream a response to the caller; if the transfer fails, abort the caller's connection."""
        response = routed.response
        headers = CIMultiDict(
            (k, v) for k, v in response.headers.items() if is_forwarded_to_caller(k)
        )
        headers[REQUEST_ID_HEADER] = request_id
        is_complete = response.is_complete
        try:
            if is_complete:
                return web.Response(
                    status=response.status, headers=headers, body=response.body_start
                )
            length = response.headers.get("Content-Length")
            caller_response = web.StreamResponse(status=response.status, headers=headers)
            if length is not None:
                caller_response.content_length = int(length)
            await caller_response.prepare(request)
            await caller_response.write(response.body_start)
            while not is_complete:
                chunk = await response.read_chunk()
                is_complete = not chunk
                if chunk:
                    await caller_response.write(chunk)
            await caller_response.write_eof()
            return caller_response
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The status and headers are already sent, so the caller must see a broken connection
            # instead of a response that looks complete.
            self._metrics.count("answers_cut")
            if request.transport is not None:
                request.transport.abort()
            return caller_response
        finally:
            self._dispatcher.close_response(service, routed, is_complete)


def build_web_response(response: StoredResponse) -> web.Response:
    """Build the response to the caller from a stored response."""
    headers = CIMultiDict(response.headers)
    return web.Response(status=response.status, headers=headers, body=response.body)
