"""Hashes that every instance computes alike."""

from __future__ import annotations

import hashlib

__all__ = ["hash_to_unit_interval"]

_DIGEST_BYTES = 8
_RANGE = float(1 << (8 * _DIGEST_BYTES))


def hash_to_unit_interval(*parts: str) -> float:
    """Return a number in (0, 1) that depends on all parts."""
    text = "\0".join(parts).encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return (int.from_bytes(digest, "big") + 0.5) / _RANGE
