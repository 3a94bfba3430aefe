"""Merge manifest changes into the head revision just read, checking conflicts and permissions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import jsonpatch
import jsonpointer
import msgspec

from waxwingshelf.core.config import Revision
from waxwingshelf.core.faults import Fault
from waxwingshelf.core.manifest import SECTIONS, Operator, list_faults

__all__ = [
    "Accepted",
    "Change",
    "Conflict",
    "Invalid",
    "OutOfScope",
    "find_revision",
    "list_revisions",
    "prepare_change",
]

_MAX_REVISIONS = 50
_MAX_LOG_BYTES = 262_144
_MAX_VALUE_BYTES = 1_000_000
_ENTITY_DEPTH = 2
_MAX_SHOWN_LENGTH = 80

Patch = list[dict[str, Any]]
_PATCH_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    TypeError,
    KeyError,
    AttributeError,
)


@dataclass(frozen=True, slots=True)
class Change:
    """A change requested by an operator: a whole document or a JSON patch (RFC 6902).

    Sections that a document leaves out stay unchanged; an empty section removes all its entries.
    `based_on` is the revision that the operator saw, or None for a patch that applies to any
    revision.
    """

    change_id: str
    why: str
    when_ms: int
    based_on: int | None = None
    document: Any = None
    patch: Patch | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """An accepted change, with the value to write and its revision number."""

    revision: int
    value: Any


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conflict with newer revisions, or a base revision that is no longer kept.

    `conflicting_revisions` are the revisions that changed the same entities or, if the base
    revision is no longer kept, all kept revisions.
    """

    head: int
    paths: list[str]
    conflicting_revisions: list[Revision]


@dataclass(frozen=True, slots=True)
class Invalid:
    """A malformed change, or one that results in a document with faults."""

    faults: list[Fault]


@dataclass(frozen=True, slots=True)
class OutOfScope:
    """A change of paths that the operator may not change."""

    paths: list[str]


Outcome = Accepted | Conflict | Invalid | OutOfScope


def list_revisions(value: Any) -> list[Revision]:
    """Return the revisions kept in a stored value, oldest first."""
    return msgspec.convert(value.get("log", []), list[Revision])


def find_revision(value: Any, change_id: str) -> Revision | None:
    """Return the revision created by a change, or None if the stored value does not keep one.

    Callers use it to learn whether a write took effect.
    """
    for revision in list_revisions(value):
        if revision.change_id == change_id:
            return revision
    return None


def prepare_change(head: int, value: Any, change: Change, operator: Operator) -> Outcome:
    """Return the value that results from a change, or the reason why the change is refused."""
    value = value or {"document": {section: {} for section in SECTIONS}, "log": []}
    log = list_revisions(value)
    current = value["document"]
    patch = _build_patch(head, current, log, change)
    if isinstance(patch, Conflict | Invalid):
        return patch
    conflict = _find_conflict(head, log, change, patch)
    if conflict is not None:
        return conflict
    try:
        document = jsonpatch.apply_patch(current, patch)
    except _PATCH_ERRORS as error:
        shown = str(error)[:_MAX_SHOWN_LENGTH]
        return Invalid([Fault("patch", shown, "a JSON patch that applies to the manifest")])
    faults = list_faults(document)
    if faults:
        return Invalid(faults)
    out_of_scope = _list_out_of_scope(operator, patch, current, document)
    if out_of_scope:
        return OutOfScope(out_of_scope)
    based_on = head if change.based_on is None else change.based_on
    revision = Revision(
        revision=head + 1,
        change_id=change.change_id,
        who=operator.name,
        when_ms=change.when_ms,
        why=change.why,
        based_on=based_on,
        patch=patch,
        undo=jsonpatch.make_patch(document, current).patch,
    )
    return _build_value(revision, document, log)


def _build_value(revision: Revision, document: Any, log: list[Revision]) -> Accepted | Invalid:
    kept = [*log, revision][-_MAX_REVISIONS:]
    while len(kept) > 1 and len(msgspec.json.encode(kept)) > _MAX_LOG_BYTES:
        kept.pop(0)
    value = {"document": document, "log": msgspec.to_builtins(kept)}
    size = len(msgspec.json.encode(value))
    if size > _MAX_VALUE_BYTES:
        return Invalid([Fault("(root)", f"{size} bytes", f"at most {_MAX_VALUE_BYTES} bytes")])
    return Accepted(revision.revision, value)


def _build_patch(
    head: int, current: Any, log: list[Revision], change: Change
) -> Patch | Conflict | Invalid:
    if change.patch is not None:
        return change.patch
    if change.based_on is None or change.based_on > head:
        shown = str(change.based_on)
        return Invalid([Fault("based_on", shown, f"a revision from 0 to {head}")])
    base = _restore_revision(current, log, change.based_on, head)
    if base is None:
        return Conflict(head, ["(the base revision is no longer kept)"], log)
    if not isinstance(change.document, dict):
        return Invalid([Fault("(root)", str(change.document)[:_MAX_SHOWN_LENGTH], "an object")])
    patch: Patch = jsonpatch.make_patch(base, {**base, **change.document}).patch
    return patch


def _restore_revision(current: Any, log: list[Revision], based_on: int, head: int) -> Any:
    newer = [revision for revision in log if revision.revision > based_on]
    if len(newer) != head - based_on:
        return None
    document = current
    for revision in reversed(newer):
        document = jsonpatch.apply_patch(document, revision.undo)
    return document


def _find_conflict(head: int, log: list[Revision], change: Change, patch: Patch) -> Conflict | None:
    if change.based_on is None or change.based_on >= head:
        return None
    newer = [revision for revision in log if revision.revision > change.based_on]
    if not newer or newer[0].revision != change.based_on + 1:
        return Conflict(head, ["(the revisions in between are no longer kept)"], log)
    changed_paths = _list_entities(patch)
    conflicting = [rev for rev in newer if _overlap(changed_paths, _list_entities(rev.patch))]
    if not conflicting:
        return None
    conflicting_paths = set().union(*(_list_entities(revision.patch) for revision in conflicting))
    return Conflict(
        head,
        sorted(path for path in changed_paths if _overlap({path}, conflicting_paths)),
        conflicting,
    )


def _list_entities(patch: Patch) -> set[str]:
    paths = set()
    for operation in patch:
        if operation.get("op") == "test":
            continue
        for field in ("path", "from"):
            if field in operation:
                paths.add("/".join(str(operation[field]).split("/")[: _ENTITY_DEPTH + 1]))
    return paths


def _overlap(left: set[str], right: set[str]) -> bool:
    return any(_contains(a, b) or _contains(b, a) for a in left for b in right)


def _contains(outer: str, inner: str) -> bool:
    return inner == outer or inner.startswith(outer + "/")


def _list_out_of_scope(operator: Operator, patch: Patch, before: Any, after: Any) -> list[str]:
    return sorted(
        path
        for path in _list_entities(patch)
        if operator.read_only or not _is_in_scope(operator, path, before, after)
    )


def _is_in_scope(operator: Operator, path: str, before: Any, after: Any) -> bool:
    if operator.services == ["*"] and operator.organisations == ["*"]:
        return True
    parts = path.split("/")[1:]
    if len(parts) < _ENTITY_DEPTH:
        return False
    section, name = parts[0], jsonpointer.unescape(parts[1])
    owners = [_find_owner(document, section, name) for document in (before, after)]
    known = [owner for owner in owners if owner is not None]
    return bool(known) and all(_is_permitted(operator, kind, owner) for kind, owner in known)


def _is_permitted(operator: Operator, kind: str, owner: str) -> bool:
    allowed = operator.services if kind == "services" else operator.organisations
    return "*" in allowed or owner in allowed


def _find_owner(document: Any, section: str, name: str) -> tuple[str, str] | None:
    entry = document.get(section, {}).get(name)
    if entry is None:
        return None
    if section in ("services", "organisations"):
        return section, name
    if section == "targets":
        return "services", entry["service"]
    if section == "keys":
        return "organisations", entry["organisation"]
    if section == "planned_stops" and entry["kind"] == "target":
        target = document.get("targets", {}).get(name)
        return None if target is None else ("services", target["service"])
    return None
