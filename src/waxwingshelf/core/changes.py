"""Changes of the manifest: merge, scope and conflicts, decided on the head just read."""

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

_KEPT_REVISIONS = 50
_MAX_LOG_BYTES = 262_144
_MAX_VALUE_BYTES = 1_000_000
_ENTITY_DEPTH = 2
_SHOWN_LENGTH = 80

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
    """A change that an operator asks for: a whole document or a JSON patch (RFC 6902).

    Sections that a document leaves out stay as they are; an empty section is emptied.
    `based_on` is the revision that the operator saw; None for a patch that fits any.
    """

    change_id: str
    why: str
    when_ms: int
    based_on: int | None = None
    document: Any = None
    patch: Patch | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The value to write; `revision` is its revision."""

    revision: int
    value: Any


@dataclass(frozen=True, slots=True)
class Conflict:
    """Somebody else changed the same thing since; `theirs` are the revisions that did."""

    head: int
    paths: list[str]
    conflicting_revisions: list[Revision]


@dataclass(frozen=True, slots=True)
class Invalid:
    """The document that would result has faults."""

    faults: list[Fault]


@dataclass(frozen=True, slots=True)
class OutOfScope:
    """The operator may not change these paths."""

    paths: list[str]


Outcome = Accepted | Conflict | Invalid | OutOfScope


def list_revisions(value: Any) -> list[Revision]:
    """List the revisions that a stored value keeps, oldest first."""
    return msgspec.convert(value.get("log", []), list[Revision])


def find_revision(value: Any, change_id: str) -> Revision | None:
    """Find the revision that a change made, to learn whether a write took effect."""
    for revision in list_revisions(value):
        if revision.change_id == change_id:
            return revision
    return None


def prepare_change(head: int, value: Any, change: Change, operator: Operator) -> Outcome:
    """Build the value that follows the head, or tell why there is none."""
    value = value or {"document": {section: {} for section in SECTIONS}, "log": []}
    log = list_revisions(value)
    current = value["document"]
    patch = _find_patch(head, current, log, change)
    if isinstance(patch, Conflict | Invalid):
        return patch
    clash = _find_conflict(head, log, change, patch)
    if clash is not None:
        return clash
    try:
        document = jsonpatch.apply_patch(current, patch)
    except _PATCH_ERRORS as error:
        shown = str(error)[:_SHOWN_LENGTH]
        return Invalid([Fault("patch", shown, "a JSON patch that fits the manifest")])
    faults = list_faults(document)
    if faults:
        return Invalid(faults)
    outside = _list_outside(operator, patch, current, document)
    if outside:
        return OutOfScope(outside)
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
    kept = [*log, revision][-_KEPT_REVISIONS:]
    while len(kept) > 1 and len(msgspec.json.encode(kept)) > _MAX_LOG_BYTES:
        kept.pop(0)
    value = {"document": document, "log": msgspec.to_builtins(kept)}
    size = len(msgspec.json.encode(value))
    if size > _MAX_VALUE_BYTES:
        return Invalid([Fault("(root)", f"{size} bytes", f"at most {_MAX_VALUE_BYTES} bytes")])
    return Accepted(revision.revision, value)


def _find_patch(
    head: int, current: Any, log: list[Revision], change: Change
) -> Patch | Conflict | Invalid:
    if change.patch is not None:
        return change.patch
    if change.based_on is None or change.based_on > head:
        place = str(change.based_on)
        return Invalid([Fault("based_on", place, f"a revision from 0 to {head}")])
    base = _rewind(current, log, change.based_on, head)
    if base is None:
        return Conflict(head, ["(the base revision is no longer kept)"], log)
    if not isinstance(change.document, dict):
        return Invalid([Fault("(root)", str(change.document)[:_SHOWN_LENGTH], "an object")])
    patch: Patch = jsonpatch.make_patch(base, {**base, **change.document}).patch
    return patch


def _rewind(current: Any, log: list[Revision], based_on: int, head: int) -> Any:
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
    ours = _list_entities(patch)
    theirs = [rev for rev in newer if _overlap(ours, _list_entities(rev.patch))]
    if not theirs:
        return None
    touched = set().union(*(_list_entities(revision.patch) for revision in theirs))
    return Conflict(head, sorted(path for path in ours if _overlap({path}, touched)), theirs)


def _list_entities(patch: Patch) -> set[str]:
    paths = set()
    for operation in patch:
        if operation.get("op") == "test":
            continue
        for field in ("path", "from"):
            if field in operation:
                paths.add("/".join(str(operation[field]).split("/")[: _ENTITY_DEPTH + 1]))
    return paths


def _overlap(ours: set[str], theirs: set[str]) -> bool:
    return any(_contains(a, b) or _contains(b, a) for a in ours for b in theirs)


def _contains(outer: str, inner: str) -> bool:
    return inner == outer or inner.startswith(outer + "/")


def _list_outside(operator: Operator, patch: Patch, before: Any, after: Any) -> list[str]:
    return sorted(
        path
        for path in _list_entities(patch)
        if operator.read_only or not _is_inside(operator, path, before, after)
    )


def _is_inside(operator: Operator, path: str, before: Any, after: Any) -> bool:
    if operator.services == ["*"] and operator.organisations == ["*"]:
        return True
    parts = path.split("/")[1:]
    if len(parts) < _ENTITY_DEPTH:
        return False
    section, name = parts[0], jsonpointer.unescape(parts[1])
    owners = [_find_owner(document, section, name) for document in (before, after)]
    known = [owner for owner in owners if owner is not None]
    return bool(known) and all(_covers(operator, kind, owner) for kind, owner in known)


def _covers(operator: Operator, kind: str, owner: str) -> bool:
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
