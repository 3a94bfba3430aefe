"""Names of request and response headers, and rules for forwarding headers."""

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
# The Host header sent to a target names the target itself.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"host"}
_INTERNAL_REQUEST_HEADERS = frozenset(
    {
        "authorization",
        "cookie",
        REQUEST_ID_HEADER.lower(),
        ORGANISATION_HEADER.lower(),
        DEADLINE_HEADER.lower(),
        IDEMPOTENCY_KEY_HEADER.lower(),
    }
)
_INTERNAL_RESPONSE_HEADERS = frozenset({REQUEST_ID_HEADER.lower(), LOAD_HEADER.lower()})


def is_forwarded_to_target(header: str) -> bool:
    """Return whether to forward a caller's header to the target; API keys are never forwarded."""
    name = header.lower()
    return name not in _DROPPED_HEADERS and name not in _INTERNAL_REQUEST_HEADERS


def is_forwarded_to_caller(header: str) -> bool:
    """Return whether to forward a target's header to the caller."""
    name = header.lower()
    return name not in _DROPPED_HEADERS and name not in _INTERNAL_RESPONSE_HEADERS
