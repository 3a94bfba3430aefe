"""Documents that are replicated to every instance, with patches between versions."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import jsonpatch
import jsonpointer

from waxwingshelf.core.messages import DocumentPatch, DocumentState, Message

__all__ = ["ReplicatedDocument"]

_MAX_PATCHES = 64

Patch = list[dict[str, Any]]


class ReplicatedDocument:
    """A replica of a JSON document whose version only increases.

    Versions are assigned by compare-and-swap in the key-value service, so two replicas with the
    same version have the same value.
    """

    __slots__ = ("_patches", "document_id", "value", "version")

    def __init__(self, document_id: int) -> None:
        self.document_id = document_id
        self.version = 0
        self.value: Any = None
        self._patches: OrderedDict[int, Patch] = OrderedDict()

    def replace(self, version: int, value: Any) -> bool:
        """Replace the value if `version` is newer; return whether it was replaced."""
        if version <= self.version:
            return False
        if version == self.version + 1 and self.value is not None:
            self._store_patch(version, jsonpatch.make_patch(self.value, value).patch)
        else:
            self._patches.clear()
        self.version = version
        self.value = value
        return True

    def apply(self, message: DocumentPatch) -> bool:
        """Apply the patches that follow the current version; return whether the document changed.

        Nothing is applied when patches before the first one are missing.
        """
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
            self._store_patch(version, patch)
            changed = True
        return changed

    def build_update(self, since: int) -> Message | None:
        """Return a message that updates a replica at version `since`, or None if it is current."""
        if self.value is None or since >= self.version:
            return None
        wanted = range(since + 1, self.version + 1)
        if since > 0 and all(version in self._patches for version in wanted):
            patches = [(version, self._patches[version]) for version in wanted]
            return DocumentPatch(self.document_id, since, patches)
        return DocumentState(self.document_id, self.version, self.value)

    def _store_patch(self, version: int, patch: Patch) -> None:
        self._patches[version] = patch
        while len(self._patches) > _MAX_PATCHES:
            self._patches.popitem(last=False)
