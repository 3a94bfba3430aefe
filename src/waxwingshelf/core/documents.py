"""Documents that every instance holds a replica of, spread between peers as patches."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import jsonpatch
import jsonpointer

from waxwingshelf.core.messages import DocumentPatch, DocumentSnapshot, Message

__all__ = ["ReplicatedDocument"]

_KEPT_PATCHES = 64

Patch = list[dict[str, Any]]


class ReplicatedDocument:
    """A JSON document with a version that only rises.

    Versions are given by compare-and-swap in the key-value service, so two replicas with the same
    version hold the same value.
    """

    __slots__ = ("_patches", "number", "value", "version")

    def __init__(self, number: int) -> None:
        self.number = number
        self.version = 0
        self.value: Any = None
        self._patches: OrderedDict[int, Patch] = OrderedDict()

    def replace(self, version: int, value: Any) -> bool:
        """Take over a whole document; False when it is not newer."""
        if version <= self.version:
            return False
        if version == self.version + 1 and self.value is not None:
            self._keep(version, jsonpatch.make_patch(self.value, value).patch)
        else:
            self._patches.clear()
        self.version = version
        self.value = value
        return True

    def apply(self, message: DocumentPatch) -> bool:
        """Apply the patches beyond the own version; False when there is a gap or nothing new."""
        if self.value is None or message.base_version > self.version:
            return False
        changed = False
        for version, patch in message.patches:
            if version != self.version + 1:
                continue
            try:
                value = jsonpatch.apply_patch(self.value, patch)
            except (jsonpatch.JsonPatchException, jsonpointer.JsonPointerException):
                return changed
            self.version = version
            self.value = value
            self._keep(version, patch)
            changed = True
        return changed

    def build_update(self, since: int) -> Message | None:
        """Build the message that brings a replica at version `since` up to date."""
        if self.value is None or since >= self.version:
            return None
        wanted = range(since + 1, self.version + 1)
        if since > 0 and all(version in self._patches for version in wanted):
            patches = [(version, self._patches[version]) for version in wanted]
            return DocumentPatch(self.number, since, patches)
        return DocumentSnapshot(self.number, self.version, self.value)

    def _keep(self, version: int, patch: Patch) -> None:
        self._patches[version] = patch
        while len(self._patches) > _KEPT_PATCHES:
            self._patches.popitem(last=False)
