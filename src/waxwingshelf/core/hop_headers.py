"""Headers that concern one connection and go no further (RFC 9110, section 7.6.1)."""

from __future__ import annotations

__all__ = ["HOP_BY_HOP_HEADERS"]

# The length and the expectation are stated anew on the next connection.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
