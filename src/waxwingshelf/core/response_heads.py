"""Check the heads of HTTP/1 responses; sections 4 to 6 of RFC 9112 say how they are written.

Parsers of HTTP clients are lenient, and what they accept differs. A head that breaks the grammar
says nothing reliable about the response: neither what its status is nor where its body ends.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

__all__ = ["HeadScanner", "build_head", "find_coding_fault", "find_head_fault"]

# A status is valid from 100 to 599 (section 15 of RFC 9110). No request asks for an upgrade, so
# that 101 answers none. Clients may accept a missing reason without the blank before it.
_STATUS_LINE = rb"HTTP/1\.\d (?!101)[1-5]\d\d(?: [\t -~\x80-\xff]*)?"
# A name is a token (sections 5.1 and 5.6.2 of RFC 9110). A blank before it also makes the line the
# continuation of the one before, for which a gateway may discard the response.
_FIELD_LINE = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\0\r\n]*"
_HEAD = re.compile(rb"%b\r?\n(?:%b\r?\n)*\r?\n" % (_STATUS_LINE, _FIELD_LINE))
_HEAD_END = re.compile(rb"\n\r?\n")
_MAX_HEAD_END_BYTES = 3
_INTERIM_HEAD = re.compile(rb"HTTP/1\.\d 1")
_EMPTY_LINES = b"\r\n"
_MAX_QUOTED_BYTES = 60
_FIRST_VERSION_WITH_CODINGS = (1, 1)


def find_head_fault(head: bytes) -> str | None:
    """Return what is wrong with the bytes of a complete head, or None if it is well-formed."""
    if _HEAD.fullmatch(head):
        return None
    status_line, *field_lines = head.rstrip(_EMPTY_LINES).splitlines()
    if not re.fullmatch(_STATUS_LINE, status_line):
        return f"status line {status_line[:_MAX_QUOTED_BYTES]!r}"
    faulty = next((line for line in field_lines if not re.fullmatch(_FIELD_LINE, line)), b"")
    # Only the name, as values may be confidential.
    return f"field name {faulty.partition(b':')[0][:_MAX_QUOTED_BYTES]!r}"


def find_coding_fault(version: tuple[int, int], codings: str, is_chunked: bool) -> str | None:
    """Return why a body cannot be had from its transfer codings, or None.

    `codings` is the value of the field that lists them. `is_chunked` says whether the parser takes
    chunks apart, the only coding that it can undo.
    """
    names = [name for part in codings.split(",") if (name := part.strip().lower())]
    is_undone = names == ["chunked"] if is_chunked else names in ([], ["identity"])
    if is_undone and version >= _FIRST_VERSION_WITH_CODINGS:
        return None
    return f"transfer coding {codings[:_MAX_QUOTED_BYTES]!r}"


def build_head(
    version: tuple[int, int], status: int, reason: str, fields: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Return the bytes of a head that a parser has taken apart."""
    raw_reason = reason.encode(errors="surrogateescape")
    status_line = b"HTTP/%d.%d %03d %b" % (*version, status, raw_reason)
    lines = [status_line, *(b"%b: %b" % field for field in fields)]
    return b"\r\n".join(lines) + b"\r\n\r\n"


class HeadScanner:
    """Check the head of the response to a request, and of interim responses, as bytes arrive.

    It sees what a parser no longer shows, such as a blank at the beginning of a line. Where heads
    begin is known only until the body of the first response that is not interim.
    """

    __slots__ = ("_heads", "_is_scanning", "_pending")

    def __init__(self) -> None:
        self._is_scanning = False
        # The beginning of a head that is incomplete.
        self._pending = b""
        # Heads that were checked and that the parser has not returned yet.
        self._heads = 0

    def start(self) -> None:
        """Expect the head of a response next."""
        self._is_scanning = True
        self._pending = b""
        self._heads = 0

    def scan(self, data: bytes) -> str | None:
        """Take further bytes of the connection, and return what is wrong with a head in them."""
        if not self._is_scanning:
            return None
        searched = max(0, len(self._pending) - _MAX_HEAD_END_BYTES)
        data = (self._pending + data).lstrip(_EMPTY_LINES)
        while end := _HEAD_END.search(data, searched):
            head = data[: end.end()]
            fault = find_head_fault(head)
            if fault is not None:
                return fault
            self._heads += 1
            if not _INTERIM_HEAD.match(head):
                self._is_scanning = False
                self._pending = b""
                return None
            data = data[end.end() :].lstrip(_EMPTY_LINES)
            searched = 0
        self._pending = data
        return None

    def take_checked(self) -> bool:
        """Return whether the next head that the parser returns was checked."""
        if not self._heads:
            return False
        self._heads -= 1
        return True
