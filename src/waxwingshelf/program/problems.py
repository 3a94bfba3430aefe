"""Responses to refused requests, as problem documents (RFC 9457)."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from waxwingshelf.core.refusals import Refusal

__all__ = ["build_problem_response"]

_CONTENT_TYPE = "application/problem+json"
_MS_PER_S = 1_000


def build_problem_response(
    refusal: Refusal,
    request_id: str,
    close_connection: bool = False,
    extensions: dict[str, Any] | None = None,
) -> web.Response:
    """Return the response to a refused request; `extensions` are added to the document."""
    reason = refusal.reason
    document: dict[str, Any] = {
        "type": reason.problem_type,
        "title": reason.title,
        "status": reason.status,
        "reason": reason.name,
        "ran": refusal.ran.value,
        "step": reason.step.value,
        "peer": refusal.peer,
        "detail": refusal.detail,
        "request_id": request_id,
        **(extensions or {}),
    }
    headers = {}
    if refusal.retry_after_ms is not None:
        # Whole seconds, rounded up because an earlier retry would be refused again.
        headers["Retry-After"] = str(-(-refusal.retry_after_ms // _MS_PER_S))
        document["retry_after_ms"] = refusal.retry_after_ms
    response = web.Response(
        status=reason.status,
        body=msgspec.json.encode(document),
        headers=headers,
        content_type=_CONTENT_TYPE,
    )
    if close_connection:
        response.force_close()
    return response
