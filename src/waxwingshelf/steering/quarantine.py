"""Requests that are not sent to targets because they crash them.

A quarantine ends after a time, since the targets may have been mended, or as soon as an instance
knows that a target has answered the request: then it was harmless. So that a harmless request can
show it, a few single copies are sent as trials, of all instances together. A trial that was neither
answered nor settled has shown nothing, for example as its instance was killed or the connection
lost; the next one does not wait for its usual time then.
"""

from __future__ import annotations

import msgspec

from waxwingshelf.core.quantities import Count

__all__ = ["QUARANTINE_MS", "Quarantine", "QuarantineEntry", "QuarantineList"]

QUARANTINE_MS = 600_000
_MAX_QUARANTINES = 1_024
# The ages of a quarantine at which a trial is due; the targets may have crashed for another reason.
_TRIAL_AGES_MS = (1_000, 5_000, 30_000)
# A trial whose outcome is not known after this time has none. Three such trials together last for
# longer than the faults that take their outcomes away.
_TRIAL_OUTCOME_MS = 8_000


class Quarantine(msgspec.Struct, frozen=True, order=True):
    """A quarantine as instances tell it to each other; of two, the greater one holds.

    `began_ms` is in milliseconds since the Unix epoch. `suspected_ms` is the time from the first
    crash that the request caused until then, `trials` the number of trials begun since, and
    `settled_trials` how many there were when one was last known to have crashed its target, or
    to be unsent.
    """

    began_ms: Count
    lifted: bool
    trials: Count = 0
    suspected_ms: Count = 0
    settled_trials: Count = 0


class QuarantineEntry(msgspec.Struct):
    """A quarantine with its times at this instance: its end, the first crash, the last trial."""

    quarantine: Quarantine
    until_ms: int
    suspected_since_ms: int
    last_trial_ms: int


class QuarantineList:
    """The known quarantines by fingerprint; times are clock readings unless said otherwise.

    `version` rises with each change.
    """

    __slots__ = ("_entries", "version")

    def __init__(self) -> None:
        self._entries: dict[str, QuarantineEntry] = {}
        self.version = 0

    def record(self, fingerprint: str, quarantine: Quarantine, now_ms: int, wall_ms: int) -> bool:
        """Take over a quarantine; return False if it was known or a later one is."""
        known = self._entries.get(fingerprint)
        if known is not None and quarantine <= known.quarantine:
            return False
        if known is None and len(self._entries) >= _MAX_QUARANTINES:
            del self._entries[min(self._entries, key=self._get_until_ms)]
        age_ms = min(max(0, wall_ms - quarantine.began_ms), QUARANTINE_MS)
        suspected_since_ms = now_ms - quarantine.suspected_ms
        until_ms, last_trial_ms = now_ms + QUARANTINE_MS - age_ms, now_ms
        if known is not None and known.quarantine.began_ms == quarantine.began_ms:
            suspected_since_ms, until_ms = known.suspected_since_ms, known.until_ms
            if known.quarantine.trials == quarantine.trials:
                last_trial_ms = known.last_trial_ms
        self._entries[fingerprint] = QuarantineEntry(
            quarantine, until_ms, suspected_since_ms, last_trial_ms
        )
        self.version += 1
        return True

    def find(self, fingerprint: str) -> Quarantine | None:
        """Return the last known quarantine of a request, also if it has ended."""
        entry = self._entries.get(fingerprint)
        return entry.quarantine if entry is not None else None

    def get_remaining_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return for how long a request must not be sent; 0 if it may be."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.quarantine.lifted:
            return 0
        return max(0, entry.until_ms - now_ms)

    def is_trial_due(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether a single copy of a quarantined request may be sent now."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.quarantine.trials >= len(_TRIAL_AGES_MS):
            return False
        age_ms = now_ms - (entry.until_ms - QUARANTINE_MS)
        if age_ms >= _TRIAL_AGES_MS[entry.quarantine.trials]:
            return True
        is_unsettled = entry.quarantine.settled_trials < entry.quarantine.trials
        return is_unsettled and now_ms - entry.last_trial_ms >= _TRIAL_OUTCOME_MS

    def list_in_force(self, now_ms: int) -> dict[str, QuarantineEntry]:
        """Return the requests that must not be sent now."""
        return {
            fingerprint: entry
            for fingerprint, entry in self._entries.items()
            if not entry.quarantine.lifted and now_ms < entry.until_ms
        }

    def list_all(self) -> dict[str, Quarantine]:
        """Return all quarantines that are remembered, also those that have ended."""
        return {name: entry.quarantine for name, entry in self._entries.items()}

    def is_over(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether the time of a quarantine has passed, or none is known."""
        entry = self._entries.get(fingerprint)
        return entry is None or now_ms >= entry.until_ms

    def forget(self, fingerprint: str) -> None:
        """Forget a quarantine whose time has passed."""
        self._entries.pop(fingerprint, None)

    def _get_until_ms(self, fingerprint: str) -> int:
        return self._entries[fingerprint].until_ms
