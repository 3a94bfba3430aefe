"""A copy of the store's keys that any source may advance: the store itself or a peer.

Each key carries the revision of its last change, so the same change may arrive twice or from two
sources in any order, and an older one never replaces a newer one.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["Change", "Mirror"]

_HISTORY = 2_048


@dataclass(frozen=True, slots=True)
class Change:
    """The state of a key since `revision`; `value` is None when it was removed."""

    key: str
    revision: int
    value: bytes | None


class Mirror:
    """Keys with their last change, and the latest revision that is complete."""

    def __init__(self) -> None:
        self._items: dict[str, Change] = {}
        self._removed: dict[str, int] = {}
        self._history: deque[Change] = deque(maxlen=_HISTORY)
        self._history_from = 0
        self.as_of = 0

    def apply(self, changes: list[Change], as_of: int) -> list[Change]:
        """Take in changes that are complete up to `as_of`; return those that were news."""
        news = [change for change in changes if self._apply_one(change)]
        self.as_of = max(self.as_of, as_of)
        return news

    def replace(self, items: list[Change], as_of: int) -> list[Change]:
        """Take in a whole listing as of `as_of`; a key that it lacks was removed."""
        if as_of < self.as_of:
            return []
        names = {item.key for item in items}
        missing = [key for key, item in self._items.items() if item.revision <= as_of]
        removed = [Change(key, as_of, None) for key in missing if key not in names]
        news = self.apply(items + removed, as_of)
        self._history_from = max(self._history_from, as_of)
        return news

    def list_changes_since(self, revision: int) -> list[Change] | None:
        """Return the changes after `revision`, or None when the history is too short."""
        if revision < self._history_from:
            return None
        return [change for change in self._history if change.revision > revision]

    def list_items(self) -> list[Change]:
        """Return all keys that exist."""
        return list(self._items.values())

    def get(self, key: str) -> Change | None:
        """Return a key that exists."""
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
        if len(self._history) == _HISTORY:
            self._history_from = self._history[0].revision
        self._history.append(change)
        return True
