"""A local copy of the store's keys, updated from the store itself or from peers.

Each key has the revision of its last change. Changes may therefore arrive more than once and in any
order, and an older change never replaces a newer one. The store may come back from an older copy of
its data: then a new era begins, in which revisions are given out again. Revisions are comparable
only within one era, so a new era always begins with a full listing.
"""

from __future__ import annotations

from collections import deque

import msgspec

__all__ = ["Change", "Mirror", "Position"]

_HISTORY_SIZE = 2_048


class Change(msgspec.Struct, frozen=True):
    """A change of a key at `revision`; `value` is None if the key was removed."""

    key: str
    revision: int
    value: bytes | None


class Position(msgspec.Struct, frozen=True, order=True):
    """A state of the store: a revision, and the era in which the store gave it out."""

    era: int = 0
    revision: int = 0


class Mirror:
    """A copy of the store's keys; `position` is the state up to which the copy is complete."""

    def __init__(self) -> None:
        self._items: dict[str, Change] = {}
        self._removed: dict[str, int] = {}
        self._history: deque[Change] = deque(maxlen=_HISTORY_SIZE)
        self._history_start = 0
        self.position = Position()

    def apply(self, changes: list[Change], position: Position) -> list[Change]:
        """Apply changes that are complete up to `position`; return those that had an effect.

        Changes of another era are ignored: those of a later one need a full listing first.
        """
        if position.era != self.position.era:
            return []
        applied = [change for change in changes if self._apply_one(change)]
        self.position = max(self.position, position)
        return applied

    def replace(self, items: list[Change], position: Position) -> list[Change]:
        """Apply a full listing at `position`; return the changes that had an effect.

        Keys that are missing from the listing are removed, unless they changed after `position`. A
        listing older than this copy is ignored. A listing of a later era replaces the copy.
        """
        if position < self.position:
            return []
        if position.era > self.position.era:
            return self._begin_era(items, position)
        listed_keys = {item.key for item in items}
        as_of = position.revision
        replaceable = [key for key, item in self._items.items() if item.revision <= as_of]
        removed = [Change(key, as_of, None) for key in replaceable if key not in listed_keys]
        applied = self.apply(items + removed, position)
        self._history_start = max(self._history_start, as_of)
        return applied

    def list_changes_since(self, position: Position) -> list[Change] | None:
        """Return the changes after `position`, or None if the history does not go back so far."""
        if position.era != self.position.era or position.revision < self._history_start:
            return None
        return [change for change in self._history if change.revision > position.revision]

    def list_items(self) -> list[Change]:
        """Return the last change of every existing key."""
        return list(self._items.values())

    def get(self, key: str) -> Change | None:
        """Return the last change of a key, or None if the key does not exist."""
        return self._items.get(key)

    def _begin_era(self, items: list[Change], position: Position) -> list[Change]:
        """Replace the copy; return the items with other values than before, and the removals."""
        earlier = self._items
        self._items = {item.key: item for item in items if item.value is not None}
        self._removed.clear()
        self._history.clear()
        self._history_start = position.revision
        self.position = position
        changed = [
            item
            for key, item in self._items.items()
            if key not in earlier or earlier[key].value != item.value
        ]
        missing = earlier.keys() - self._items.keys()
        return changed + [Change(key, position.revision, None) for key in sorted(missing)]

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
