"""Recognise a request that comes again, at any instance and with another id."""

from __future__ import annotations

import hashlib

from waxwingshelf.core.opaque_text import encode_text
from waxwingshelf.platform.names import ORGANISATION_HEADER
from waxwingshelf.serving.bodies import MAX_BUFFERED_BYTES, StreamedBody
from waxwingshelf.serving.send_results import OutgoingRequest

__all__ = ["compute_fingerprint"]

_DIGEST_BYTES = 8


def compute_fingerprint(request: OutgoingRequest) -> str:
    """Return a hash of what a request is: method, host, path, organisation and body.

    Of a streamed body, only the beginning counts that is read in any case before it is streamed.
    """
    headers, body = request.headers, request.body
    parts = (
        request.method,
        headers.get("Host", ""),
        request.raw_path,
        headers.get(ORGANISATION_HEADER, ""),
    )
    digest = hashlib.blake2b(encode_text("\0".join(parts)), digest_size=_DIGEST_BYTES)
    digest.update(b"\0")
    if body is not None:
        content = body.beginning if isinstance(body, StreamedBody) else body
        digest.update(memoryview(content)[:MAX_BUFFERED_BYTES])
    return digest.hexdigest()
