"""Highest-random-weight hashing (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

from collections.abc import Iterable

from waxwingshelf.core.hashing import hash_to_unit_interval

__all__ = ["rank"]


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their weight for a key; every caller with the same names agrees."""
    return sorted(names, key=lambda name: hash_to_unit_interval(key, name), reverse=True)
