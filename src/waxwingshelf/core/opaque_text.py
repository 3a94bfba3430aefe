"""Text whose bytes need not be UTF-8, as header values and keys of callers and targets.

The HTTP library keeps each such byte as one surrogate, so that the text has all bytes. Whatever
hashes, writes or shows such a text uses these functions: plain `str.encode` raises.
"""

from __future__ import annotations

__all__ = ["encode_text", "show_text"]


def encode_text(text: str) -> bytes:
    """Return the bytes that a text stands for; other surrogates keep a form of their own."""
    try:
        return text.encode(errors="surrogateescape")
    except UnicodeEncodeError:
        return text.encode(errors="surrogatepass")


def show_text(text: str) -> str:
    r"""Return a text that every encoder takes, with \\xNN for each byte that is not UTF-8."""
    return encode_text(text).decode(errors="backslashreplace")
