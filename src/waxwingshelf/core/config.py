"""The current configuration: a manifest revision and the tables derived from it."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

from msgspec import Struct

from waxwingshelf.core.blocks import BlockTable, build_block_table
from waxwingshelf.core.budgets import build_limits
from waxwingshelf.core.manifest import Manifest, Operator, Target, list_faults, parse_manifest
from waxwingshelf.core.opaque_text import encode_text

__all__ = ["Config", "Revision", "build_config", "find_operator", "hash_key"]

Patch = list[dict[str, Any]]


class Revision(Struct, frozen=True):
    """One accepted change: who made it, when, why, and on which revision it was based.

    `patch` turns the previous document into the document of this revision; `undo` reverts it.
    """

    revision: int
    change_id: str
    who: str
    when_ms: int
    why: str
    based_on: int
    patch: Patch
    undo: Patch


class Config:
    """A manifest revision and the tables derived from it."""

    __slots__ = ("block_table", "limits", "manifest", "revision", "targets_by_service")

    def __init__(self, revision: int, manifest: Manifest) -> None:
        self.revision = revision
        self.manifest = manifest
        self.limits = build_limits(manifest)
        self.block_table: BlockTable = build_block_table(manifest.client_blocks)
        self.targets_by_service: dict[str, dict[str, Target]] = {}
        for name, target in manifest.targets.items():
            self.targets_by_service.setdefault(target.service, {})[name] = target

    def find_organisation(self, key: str) -> str | None:
        """Return the organisation that a key belongs to, or None if the key is unknown."""
        digest = hash_key(key)
        entry = self.manifest.keys.get(digest)
        return None if entry is None else entry.organisation

    def list_stopping(self, kind: str, wall_ms: int) -> set[str]:
        """Return the names of the targets or instances whose planned stop has begun."""
        stops = self.manifest.planned_stops.items()
        return {name for name, stop in stops if stop.kind == kind and stop.starts_at_ms <= wall_ms}


def hash_key(key: str) -> str:
    """Return the SHA-256 digest, in hex, under which a key is stored.

    Only digests are compared: a digest that an attacker learns by timing does not reveal its key.
    """
    return hashlib.sha256(encode_text(key)).hexdigest()


def find_operator(config: Config | None, key: str, bootstrap_digest: str | None) -> Operator | None:
    """Return the operator that a key belongs to, or None if the key is unknown.

    The bootstrap operator may change everything.
    """
    digest = hash_key(key)
    if bootstrap_digest is not None and hmac.compare_digest(digest, bootstrap_digest):
        return Operator(name="bootstrap", services=["*"], organisations=["*"])
    return None if config is None else config.manifest.operators.get(digest)


def build_config(revision: int, value: Any) -> Config | None:
    """Build the configuration from a replicated manifest value, or return None if it has faults."""
    document = value.get("document") if isinstance(value, dict) else None
    if document is None or list_faults(document):
        return None
    return Config(revision, parse_manifest(document))
