"""Hash functions that return the same value on every instance."""

from __future__ import annotations

import hashlib
import zlib

from waxwingshelf.core.opaque_text import encode_text

__all__ = ["hash_to_uint32", "hash_to_unit_interval"]

_DIGEST_BYTES = 8
_HASH_RANGE = float(1 << (8 * _DIGEST_BYTES))


def hash_to_uint32(text: str) -> int:
    """Hash a text to 32 bits, to name it briefly in messages between instances."""
    return zlib.crc32(encode_text(text))


def hash_to_unit_interval(*parts: str) -> float:
    """Hash all parts to a number in the open interval (0, 1)."""
    content = encode_text("\0".join(parts))
    digest = hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
    return (int.from_bytes(digest, "big") + 0.5) / _HASH_RANGE
