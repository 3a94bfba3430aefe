"""Judge targets' entries that the store shows after it came back from an older copy.

Such a copy may show a target as ready that was draining or gone before, and whose address may
belong to another service by now. A target that runs writes its entry again within about two
seconds, and an entry that nobody renews lapses. Until then an entry counts only if it is newer than
the last one known of the target.
"""

from __future__ import annotations

from collections import OrderedDict

from waxwingshelf.steering.targets import Target

__all__ = ["RestoredEntries"]

# Three heartbeat intervals of a target, after which the store drops an entry, and a margin.
_ENTRY_LAPSE_MS = 6_000
_MAX_KNOWN_TARGETS = 8_192


class RestoredEntries:
    """The last known entry of each target, and the entries whose targets may have left."""

    def __init__(self) -> None:
        self._versions: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._leaving: set[str] = set()
        self._unconfirmed_until_ms: dict[str, int] = {}

    def record(self, target: Target) -> None:
        """Record an entry that the target has written."""
        self._versions[target.id] = target.entry_version
        self._versions.move_to_end(target.id)
        self._unconfirmed_until_ms.pop(target.id, None)
        if target.draining:
            self._leaving.add(target.id)
        else:
            self._leaving.discard(target.id)
        if len(self._versions) > _MAX_KNOWN_TARGETS:
            oldest, _ = self._versions.popitem(last=False)
            self._leaving.discard(oldest)

    def record_removed(self, target_id: str) -> None:
        """Record that a target's entry was removed."""
        self._unconfirmed_until_ms.pop(target_id, None)
        if target_id in self._versions:
            self._leaving.add(target_id)

    def is_outdated(self, target: Target, now_ms: int) -> bool:
        """Return whether a listing after a restore shows an entry no newer than the known one.

        If the target was leaving, the entry is judged again later; see `list_confirmed`.
        """
        known = self._versions.get(target.id)
        if known is None or target.entry_version > known:
            return False
        if target.id in self._leaving:
            self._unconfirmed_until_ms[target.id] = now_ms + _ENTRY_LAPSE_MS
        return True

    def is_unconfirmed(self, target_id: str) -> bool:
        """Return whether the target may have left although the store shows its entry."""
        return target_id in self._unconfirmed_until_ms

    def list_confirmed(self, now_ms: int) -> list[str]:
        """Return the targets whose outdated entries did not lapse in time, each of them once."""
        due = [
            target_id
            for target_id, until_ms in self._unconfirmed_until_ms.items()
            if now_ms >= until_ms
        ]
        for target_id in due:
            del self._unconfirmed_until_ms[target_id]
        return due
