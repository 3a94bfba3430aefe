"""Which headers cross this instance, and in what form."""

from __future__ import annotations

from collections.abc import Mapping

from multidict import CIMultiDict, CIMultiDictProxy

from waxwingshelf.core.hop_headers import HOP_HEADERS
from waxwingshelf.platform.names import (
    CREDENTIAL_HEADER,
    DEADLINE_HEADER,
    ORGANISATION_HEADER,
    TARGET_HEADER,
)

__all__ = ["copy_request_headers", "copy_response_headers", "parse_deadline"]

_CONNECTION_HEADERS = HOP_HEADERS | {"proxy-connection"}
# Set by this instance or meant for it alone, whatever the caller sent.
_OWN_REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (CREDENTIAL_HEADER, DEADLINE_HEADER, ORGANISATION_HEADER, TARGET_HEADER)
)
_MOST_DEADLINE_DIGITS = 9


def copy_request_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the caller's headers that go on to a target."""
    return _copy(headers, _CONNECTION_HEADERS | _OWN_REQUEST_HEADERS)


def copy_response_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the target's headers that go back to the caller."""
    return _copy(headers, _CONNECTION_HEADERS)


def parse_deadline(headers: Mapping[str, str]) -> int | None:
    """Return the milliseconds that the caller waits; None when it does not say."""
    text = headers.get(DEADLINE_HEADER, "")
    if not text.isdigit() or len(text) > _MOST_DEADLINE_DIGITS:
        return None
    return int(text)


def _copy(headers: CIMultiDictProxy[str], dropped: frozenset[str]) -> CIMultiDict[str]:
    named = headers.get("Connection", "")
    if named:
        dropped = dropped | {token.strip().lower() for token in named.split(",")}
    copied: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in dropped:
            copied.add(name, value)
    return copied
