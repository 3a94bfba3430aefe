"""Bring a target's answer to the caller, whole or visibly broken."""

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

__all__ = ["ResponseRelay", "build_stored_response"]


class ResponseRelay:
    """Read answers and free their places."""

    def __init__(self, dispatcher: Dispatcher, metrics: Metrics) -> None:
        self._dispatcher = dispatcher
        self._metrics = metrics

    async def read_response(self, service: str, routed: RoutedResponse) -> StoredResponse | Refusal:
        """Read an answer to its end, to be kept."""
        response = routed.response
        parts = [response.body_start]
        is_complete = response.is_complete
        try:
            while not is_complete:
                part = await response.read_chunk()
                is_complete = not part
                parts.append(part)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return refuse(refusals.TARGET_FAILED, peer=routed.route.state.name, detail=repr(error))
        finally:
            self._dispatcher.close_response(service, routed, is_complete)
        headers = [(str(k), v) for k, v in response.headers.items() if is_forwarded_to_caller(k)]
        return StoredResponse(response.status, headers, b"".join(parts))

    async def relay(
        self, request: web.Request, service: str, request_id: str, routed: RoutedResponse
    ) -> web.StreamResponse:
        """Stream an answer to the caller; one that breaks off is broken off here too."""
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
                part = await response.read_chunk()
                is_complete = not part
                if part:
                    await caller_response.write(part)
            await caller_response.write_eof()
            return caller_response
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The head is sent already: the caller must see a broken answer, not a short one.
            self._metrics.count("answers_cut")
            if request.transport is not None:
                request.transport.abort()
            return caller_response
        finally:
            self._dispatcher.close_response(service, routed, is_complete)


def build_stored_response(response: StoredResponse) -> web.Response:
    """Build the response of an answer that was kept."""
    headers = CIMultiDict(response.headers)
    return web.Response(status=response.status, headers=headers, body=response.body)
