"""Headers of the request path, and which of them go on to the other side."""

from __future__ import annotations

from waxwingshelf.adapters.target_http import LOAD_HEADER, REQUEST_ID_HEADER
from waxwingshelf.core.hop_headers import HOP_BY_HOP_HEADERS

__all__ = [
    "DEADLINE_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "ORGANISATION_HEADER",
    "REPLAYED_HEADER",
    "is_forwarded_to_caller",
    "is_forwarded_to_target",
]

DEADLINE_HEADER = "X-Deadline-Ms"
ORGANISATION_HEADER = "X-Organisation"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "X-Replayed"
# The host is that of the target.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"host"}
_PRIVATE_HEADERS = frozenset(
    {
        "authorization",
        "cookie",
        REQUEST_ID_HEADER.lower(),
        ORGANISATION_HEADER.lower(),
        DEADLINE_HEADER.lower(),
        IDEMPOTENCY_KEY_HEADER.lower(),
    }
)
_TARGET_HEADERS = frozenset({REQUEST_ID_HEADER.lower(), LOAD_HEADER.lower()})


def is_forwarded_to_target(header: str) -> bool:
    """Tell whether a caller's header goes on to the target: never the key."""
    name = header.lower()
    return name not in _DROPPED_HEADERS and name not in _PRIVATE_HEADERS


def is_forwarded_to_caller(header: str) -> bool:
    """Tell whether a target's header goes back to the caller."""
    name = header.lower()
    return name not in _DROPPED_HEADERS and name not in _TARGET_HEADERS
