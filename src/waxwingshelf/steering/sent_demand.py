"""The demand that an instance has reported, and what its peers have acknowledged of it.

The shares of a rate sum to at most 1 only if no instance counts more demand of its own than its
peers count of it. Neither a heartbeat's delay nor a peer's next update of its shares is bounded, so
an instance counts the lowest demand that it has reported since the report that every peer has
acknowledged as used.

The load pattern that this answers: an organisation's demand jumps, and the instances that most of
it reaches are too busy to send and read heartbeats in time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from waxwingshelf.core.quantities import Sequence

__all__ = ["DemandAck", "SentDemand"]

# At four heartbeats a second, far more than the reports that peers which are heard have not used.
_HISTORY_SIZE = 64
# Peers of earlier builds acknowledge nothing; they are taken to use a report after this time.
_ASSUMED_ACK_DELAY_MS = 1_000


class DemandAck(msgspec.Struct, frozen=True):
    """The recipient's last heartbeat whose demand the sender's shares take into account.

    `boot` and `number` are the recipient's own; 0 if the sender has used none.
    """

    boot: Sequence = 0
    number: Sequence = 0


class _Report(msgspec.Struct, frozen=True):
    number: int
    at_ms: int
    demand: Mapping[str, float]


class SentDemand:
    """The demand, in requests per second by organisation, of this instance's last heartbeats."""

    __slots__ = ("_boot", "_reports")

    def __init__(self) -> None:
        self._boot = 0
        self._reports: deque[_Report] = deque(maxlen=_HISTORY_SIZE)

    @property
    def last_number(self) -> int:
        """Return the number of the last heartbeat, or 0."""
        return self._reports[-1].number if self._reports else 0

    def record(self, boot: int, number: int, demand: Mapping[str, float], now_ms: int) -> None:
        """Record the demand of a heartbeat that is about to be sent."""
        self._boot = boot
        self._reports.append(_Report(number, now_ms, demand))

    def find_used_number(self, ack: DemandAck | None, heard_since: int, now_ms: int) -> int:
        """Return the number of the last heartbeat that a peer is known to use.

        `ack` is the peer's, None if its build sends none. `heard_since` is the number of the last
        heartbeat when the peer's process was first heard, and stands for an ack that is missing.
        """
        if ack is None:
            latest_ms = now_ms - _ASSUMED_ACK_DELAY_MS
            numbers = (report.number for report in self._reports if report.at_ms <= latest_ms)
            return max(numbers, default=0)
        return ack.number if ack.boot == self._boot else heard_since

    def find_lowest_since(self, organisation: str, numbers: Iterable[int]) -> float:
        """Return the lowest demand reported since the first of these heartbeats.

        The result is infinite if nothing was reported.
        """
        first = min(numbers, default=self.last_number)
        return min(
            (
                report.demand.get(organisation, 0.0)
                for report in self._reports
                if report.number >= first
            ),
            default=math.inf,
        )
