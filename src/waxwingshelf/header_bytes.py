"""Write heads of HTTP messages with the bytes that their values came with.

A field value may have bytes that are no ASCII, which recipients treat as opaque (RFC 9110, section
5.5). The HTTP library's parser keeps those that are not UTF-8 as surrogates, but its writer leaves
them out. It also raises for control bytes, which its parser accepts in responses.
"""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import http_writer
from multidict import CIMultiDict

from waxwingshelf.core.opaque_text import encode_text

__all__ = ["preserve_header_bytes", "serialize_head"]

# Bytes that would end a line of the head, or the head (RFC 9110, section 5.5).
_UNSAFE_CHARACTERS = ("\r", "\n", "\0")
_serialize_usual: Callable[[str, CIMultiDict[str]], bytes] = http_writer._serialize_headers


def preserve_header_bytes() -> None:
    """Make the HTTP library write heads with `serialize_head`, from now on in this process."""
    http_writer._serialize_headers = serialize_head


def serialize_head(status_line: str, headers: CIMultiDict[str]) -> bytes:
    """Return the bytes of a head; `status_line` is its first line, also that of a request.

    Raise `ValueError` for a line that would end early.
    """
    text = status_line + "".join(headers.values())
    if text.isascii() and text.isprintable():
        return _serialize_usual(status_line, headers)
    lines = [status_line, *(f"{name}: {value}" for name, value in headers.items())]
    for line in lines:
        if any(character in line for character in _UNSAFE_CHARACTERS):
            raise ValueError("a line of a head contains CR, LF or NUL")
    return encode_text("\r\n".join([*lines, "", ""]))
