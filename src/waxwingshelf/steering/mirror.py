"""A local copy of the store's keys, updated from the store itself or from peers.

Each key has the revision of its last change. Changes may therefore arrive more than once and in any
order, and an older change never replaces a newer one.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["Change", "Mirror"]

_HISTORY_SIZE = 2_048


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a key at `revision`; `value` is None if the key was removed."""

    key: str
    revision: int
    value: bytes | None


class Mirror:
    """A copy of the store's keys; `as_of` is the revision up to which the copy is complete."""

    def __init__(self) -> None:
        self._items: dict[str, Change] = {}
        self._removed: dict[str, int] = {}
        self._history: deque[Change] = deque(maxlen=_HISTORY_SIZE)
        self._history_start = 0
        self.as_of = 0

    def apply(self, changes: list[Change], as_of: int) -> list[Change]:
        """Apply changes that are complete up to `as_of`; return the changes that had an effect."""
        applied = [change for change in changes if self._apply_one(change)]
        self.as_of = max(self.as_of, as_of)
        return applied

    def replace(self, items: list[Change], as_of: int) -> list[Change]:
        """Apply a full listing as of `as_of`; return the changes that had an effect.

        Keys that are missing from the listing are removed, unless they changed after `as_of`. A
        listing older than this copy is ignored.
        """
        if as_of < self.as_of:
            return []
        listed_keys = {item.key for item in items}
        replaceable = [key for key, item in self._items.items() if item.revision <= as_of]
        removed = [Change(key, as_of, None) for key in replaceable if key not in listed_keys]
        applied = self.apply(items + removed, as_of)
        self._history_start = max(self._history_start, as_of)
        return applied

    def list_changes_since(self, revision: int) -> list[Change] | None:
        """Return the changes after `revision`, or None if the history does not go back so far."""
        if revision < self._history_start:
            return None
        return [change for change in self._history if change.revision > revision]

    def list_items(self) -> list[Change]:
        """Return the last change of every existing key."""
        return list(self._items.values())

    def get(self, key: str) -> Change | None:
        """Return the last change of a key, or None if the key does not exist."""
        return self._items.get(key)

    def _apply_one(self, change: Change) -> bool:
        known = self._items.get(change.key)
        known_revision = known.revision if known else self._removed.get(change.key, 0)
        if change.revision <= known_revision:
            return False
        if change.value is None:
            self._removed[change.key] = change.revision
            if self._items.pop(change.key, None) is None:
                return False
        else:
            self._items[change.key] = change
            self._removed.pop(change.key, None)
        if len(self._history) == _HISTORY_SIZE:
            self._history_start = self._history[0].revision
        self._history.append(change)
        return True
