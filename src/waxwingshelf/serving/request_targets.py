"""Read the target that the first line of a request names (RFC 9112, section 3.2)."""

from __future__ import annotations

import msgspec

__all__ = ["RequestTarget", "read_target"]

_SCHEMES = ("http", "https")
_PATH_DELIMITERS = "/?#"


class RequestTarget(msgspec.Struct, frozen=True):
    """The host and port as a Host header has them, and the path with its query, as received."""

    host: str
    raw_path: str


def read_target(text: str, host_header: str) -> RequestTarget:
    """Return the target of a request.

    In the absolute form, the authority of the URL takes the place of the Host header.
    """
    scheme, separator, rest = text.partition("://")
    if not separator or scheme.lower() not in _SCHEMES:
        return RequestTarget(host_header, text)
    ends = [position for mark in _PATH_DELIMITERS if (position := rest.find(mark)) >= 0]
    end = min(ends, default=len(rest))
    path = rest[end:]
    if not path.startswith("/"):
        path = f"/{path}"
    return RequestTarget(rest[:end].rpartition("@")[2], path)
