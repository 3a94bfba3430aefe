"""Which requests were at targets when these crashed."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TargetCrash"]


@dataclass(frozen=True, slots=True)
class TargetCrash:
    """The end of one run of a target, and the fingerprints of the requests lost with it."""

    target_run: str
    fingerprints: frozenset[str]
