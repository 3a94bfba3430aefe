"""Tell whether this instance reaches the targets at all.

The failure that this answers: an instance loses its links to all targets, while its callers, its
peers and the store still reach it. Each request would then fail at one target after the other. A
target that is down looks the same in a single request, so the instance probes several targets, and
only if none of them accepts a connection are the links taken to be lost.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

__all__ = ["ProbeOutcome", "Reach", "TargetReachability"]

# Probes follow each other this fast while no target can be reached.
_RECHECK_INTERVAL_MS = 250
# Failed connections of one moment cause one round of probes.
_MIN_PROBE_INTERVAL_MS = 100
# A failed connection says nothing of the links if another one was opened this recently.
_OPENED_RECENTLY_MS = 300
# While requests are in flight, silence is suspicious after this many usual gaps between responses.
_SUSPICIOUS_GAPS = 4.0
_MIN_SUSPICIOUS_SILENCE_MS = 600
_MAX_SUSPICIOUS_SILENCE_MS = 1_500
_SMOOTHING_FACTOR = 0.1
# Open connections count as alive for this long after they brought a response.
_ALIVE_MS = 1_000


class Reach(StrEnum):
    """Which connections to targets work: new and open ones, only open ones, or none."""

    FULL = "full"
    OPEN_CONNECTIONS = "open_connections"
    NONE = "none"


class ProbeOutcome(StrEnum):
    """How an attempt to connect to a target ended."""

    OPENED = "opened"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"


class TargetReachability:
    """What is known of this instance's links to the targets; times are clock readings."""

    __slots__ = (
        "_heard_at_ms",
        "_is_doubtful",
        "_mean_gap_ms",
        "_opened_at_ms",
        "_probed_at_ms",
        "reach",
    )

    def __init__(self, now_ms: int) -> None:
        self.reach = Reach.FULL
        self._heard_at_ms = now_ms
        self._opened_at_ms = now_ms
        self._mean_gap_ms = 0.0
        self._is_doubtful = False
        self._probed_at_ms = now_ms

    def record_heard(self, now_ms: int) -> None:
        """Record that a target sent bytes."""
        gap_ms = now_ms - self._heard_at_ms
        self._mean_gap_ms += _SMOOTHING_FACTOR * (gap_ms - self._mean_gap_ms)
        self._heard_at_ms = now_ms

    def record_opened(self, now_ms: int) -> None:
        """Record that a connection to a target was opened."""
        self._opened_at_ms = now_ms
        self._is_doubtful = False
        self.reach = Reach.FULL

    def record_failed(self, now_ms: int) -> None:
        """Record that a connection to a target could not be opened."""
        self._is_doubtful = now_ms - self._opened_at_ms >= _OPENED_RECENTLY_MS

    def compute_silence_ms(self, now_ms: int) -> int:
        """Return the time since a target was last heard."""
        return now_ms - self._heard_at_ms

    def needs_probes(self, in_flight: int, oldest_ms: int, now_ms: int) -> bool:
        """Return whether targets should be probed now.

        `in_flight` is the number of requests that wait for a target's response, the longest of them
        for `oldest_ms`.
        """
        since_probes_ms = now_ms - self._probed_at_ms
        if self.reach is not Reach.FULL:
            return since_probes_ms >= _RECHECK_INTERVAL_MS
        if self._is_doubtful:
            return since_probes_ms >= _MIN_PROBE_INTERVAL_MS
        silence_ms = min(self.compute_silence_ms(now_ms), oldest_ms, since_probes_ms)
        return in_flight > 0 and silence_ms >= self._compute_suspicious_silence_ms()

    def record_probes(self, outcomes: Collection[ProbeOutcome], now_ms: int) -> None:
        """Record how a round of probes to different targets ended; none were sent if it is empty.

        A refusal comes from a network that works for packets, so that open connections may live on.
        """
        self._probed_at_ms = now_ms
        self._is_doubtful = False
        if not outcomes or ProbeOutcome.OPENED in outcomes:
            self.reach = Reach.FULL
            self._opened_at_ms = now_ms
        elif ProbeOutcome.REFUSED in outcomes:
            self.reach = Reach.OPEN_CONNECTIONS
        else:
            self.reach = Reach.NONE

    def may_open(self) -> bool:
        """Return whether new connections to targets are worth trying."""
        return self.reach is Reach.FULL

    def may_send(self, now_ms: int) -> bool:
        """Return whether a request may be sent to a target directly."""
        if self.reach is Reach.OPEN_CONNECTIONS:
            return self.compute_silence_ms(now_ms) < _ALIVE_MS
        return self.reach is Reach.FULL

    def _compute_suspicious_silence_ms(self) -> float:
        silence_ms = _SUSPICIOUS_GAPS * self._mean_gap_ms
        return min(max(silence_ms, _MIN_SUSPICIOUS_SILENCE_MS), _MAX_SUSPICIOUS_SILENCE_MS)
