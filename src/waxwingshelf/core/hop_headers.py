"""Hop-by-hop headers, which a proxy does not forward (RFC 9110, section 7.6.1)."""

from __future__ import annotations

__all__ = ["HOP_BY_HOP_HEADERS"]

# Content-Length and Expect are included because they are set separately for each connection.
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
