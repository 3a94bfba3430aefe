"""What a target says of itself in a response: its load, its limits, and whether it is leaving."""

from __future__ import annotations

import msgspec

__all__ = ["Load", "NamedLimit", "TargetReport"]


class Load(msgspec.Struct, frozen=True):
    """The load that a target reported: its running and waiting requests, and its slots.

    `slowness` is how many times longer than usual work takes there at the moment; None if the
    target does not tell.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class NamedLimit(msgspec.Struct, frozen=True):
    """What a response says of its target's rate limit.

    `per_s` is the number of requests per second that the target accepts from all instances
    together, or None if it names no limit.
    """

    per_s: float | None = None


class TargetReport(msgspec.Struct, frozen=True):
    """What one response says of the target `target_id`, which sent it.

    `load` and `limit` are None if the response says nothing of them or something malformed.
    `leaving` is set once the target's run will end. For `pause_ms` from the response, the target
    accepts no requests from this instance.
    """

    target_id: str
    load: Load | None = None
    limit: NamedLimit | None = None
    leaving: bool = False
    pause_ms: int = 0
