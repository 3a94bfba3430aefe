"""When this instance sends to a target again that has asked it for time.

The load pattern that this answers: a target in trouble rejects requests of all instances within a
moment and asks each for the same time. Requests wait meanwhile, and all instances see an idle
target at the end. So instances return one after the other, at about the rate at which the target's
slots can take requests, and each sends a single request first: its response tells whether the
target wants more time.

Pauses are not kept over a restart of the process: the target then asks again.
"""

from __future__ import annotations

__all__ = ["TargetPause"]

_MS_PER_S = 1_000
_MAX_SPREAD_MS = 30_000


class TargetPause:
    """A pause that a target asked for; times are readings of the instance's clock.

    `until_ms` is the end of the pause, `resume_at_ms` when this instance sends its first request.
    """

    __slots__ = ("resume_at_ms", "until_ms")

    def __init__(self, until_ms: int, instances: int, slots: int, phase: float) -> None:
        """`phase`, from 0 to 1, is this instance's place among all; it should differ between them.

        One instance returns per slot of the target and second.
        """
        self.until_ms = until_ms
        spread_ms = min(_MAX_SPREAD_MS, instances * _MS_PER_S // max(1, slots))
        self.resume_at_ms = until_ms + int(phase * spread_ms)

    def may_send(self, now_ms: int, in_flight: int) -> bool:
        """Return whether a request may be sent: after the pause, one until a response arrives."""
        return now_ms >= self.resume_at_ms and in_flight == 0
