"""Rendezvous (highest-random-weight) hashing (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

from collections.abc import Iterable

from waxwingshelf.core.hashing import hash_to_unit_interval

__all__ = ["rank"]


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Sort names by descending weight for a key.

    Every caller with the same names gets the same order.
    """
    return sorted(names, key=lambda name: hash_to_unit_interval(key, name), reverse=True)
