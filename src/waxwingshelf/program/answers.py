"""Bring a target's answer to the caller, whole or visibly broken."""

from __future__ import annotations

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from waxwingshelf.adapters.target_http import ID_HEADER
from waxwingshelf.core import refusals
from waxwingshelf.core.messages import StoredResponse
from waxwingshelf.core.refusals import Refusal, refuse
from waxwingshelf.ports import Metrics
from waxwingshelf.program.dispatcher import Dispatcher, Sent
from waxwingshelf.program.headers import is_passed_back

__all__ = ["AnswerRelay", "build_kept_response"]


class AnswerRelay:
    """Read answers and free their places."""

    def __init__(self, dispatcher: Dispatcher, metrics: Metrics) -> None:
        self._dispatcher = dispatcher
        self._metrics = metrics

    async def read_whole(self, service: str, sent: Sent) -> StoredResponse | Refusal:
        """Read an answer to its end, to be kept."""
        answer = sent.answer
        parts = [answer.head]
        whole = answer.whole
        try:
            while not whole:
                part = await answer.read_rest()
                whole = not part
                parts.append(part)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return refuse(refusals.TARGET_FAILED, peer=sent.route.state.name, detail=repr(error))
        finally:
            self._dispatcher.end(service, sent, whole)
        headers = [(str(k), v) for k, v in answer.headers.items() if is_passed_back(k)]
        return StoredResponse(answer.status, headers, b"".join(parts))

    async def relay(
        self, request: web.Request, service: str, request_id: str, sent: Sent
    ) -> web.StreamResponse:
        """Stream an answer to the caller; one that breaks off is broken off here too."""
        answer = sent.answer
        headers = CIMultiDict((k, v) for k, v in answer.headers.items() if is_passed_back(k))
        headers[ID_HEADER] = request_id
        whole = answer.whole
        try:
            if whole:
                return web.Response(status=answer.status, headers=headers, body=answer.head)
            length = answer.headers.get("Content-Length")
            response = web.StreamResponse(status=answer.status, headers=headers)
            if length is not None:
                response.content_length = int(length)
            await response.prepare(request)
            await response.write(answer.head)
            while not whole:
                part = await answer.read_rest()
                whole = not part
                if part:
                    await response.write(part)
            await response.write_eof()
            return response
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The head is sent already: the caller must see a broken answer, not a short one.
            self._metrics.count("answers_cut")
            if request.transport is not None:
                request.transport.abort()
            return response
        finally:
            self._dispatcher.end(service, sent, whole)


def build_kept_response(answer: StoredResponse) -> web.Response:
    """Build the response of an answer that was kept."""
    headers = CIMultiDict(answer.headers)
    return web.Response(status=answer.status, headers=headers, body=answer.body)
