"""Highest-random-weight hashing (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["rank"]

_WEIGHT_BYTES = 8


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their weight for a key; every caller with the same names agrees."""
    return sorted(names, key=lambda name: _weigh(key, name), reverse=True)


def _weigh(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=_WEIGHT_BYTES).digest()
