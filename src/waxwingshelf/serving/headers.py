"""Copy end-to-end headers between callers and targets, and parse the deadline header."""

from __future__ import annotations

from collections.abc import Mapping

from multidict import CIMultiDict, CIMultiDictProxy

from waxwingshelf.core.hop_headers import HOP_BY_HOP_HEADERS
from waxwingshelf.core.quantities import parse_count
from waxwingshelf.platform.names import (
    CREDENTIAL_HEADER,
    DEADLINE_HEADER,
    EXPECTED_TARGET_HEADER,
    ORGANISATION_HEADER,
)

__all__ = ["copy_end_to_end_headers", "copy_request_headers", "parse_deadline"]

_CONNECTION_HEADERS = HOP_BY_HOP_HEADERS | {"proxy-connection"}
# Never copied from the caller: this instance sets these headers or is their only reader.
_INTERNAL_REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (CREDENTIAL_HEADER, DEADLINE_HEADER, ORGANISATION_HEADER, EXPECTED_TARGET_HEADER)
)
_MAX_DEADLINE_DIGITS = 9


def copy_request_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the request headers to forward to a target."""
    return _copy_headers(headers, _CONNECTION_HEADERS | _INTERNAL_REQUEST_HEADERS)


def copy_end_to_end_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers without those that concern only one connection."""
    return _copy_headers(headers, _CONNECTION_HEADERS)


def parse_deadline(headers: Mapping[str, str]) -> int | None:
    """Return the caller's timeout in milliseconds, or None when it is missing or malformed."""
    return parse_count(headers.get(DEADLINE_HEADER, ""), _MAX_DEADLINE_DIGITS)


def _copy_headers(headers: CIMultiDictProxy[str], excluded: frozenset[str]) -> CIMultiDict[str]:
    connection_options = headers.get("Connection", "")
    if connection_options:
        excluded = excluded | {token.strip().lower() for token in connection_options.split(",")}
    copied: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in excluded:
            copied.add(name, value)
    return copied
