"""Settings of one instance, read from a JSON file with comments."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated, Literal

import json5
import jsonschema
import msgspec
from msgspec import Meta, Struct

from waxwingshelf.core.faults import Fault, list_schema_faults

__all__ = ["InvalidDocumentError", "Peer", "Settings", "load_document", "load_settings"]

Port = Annotated[int, Meta(ge=1, le=65535)]
PositiveInt = Annotated[int, Meta(ge=1)]
Secret = Annotated[str, Meta(min_length=16)]


class InvalidDocumentError(Exception):
    """Raised if a file is invalid; the message lists every fault on a line of its own."""

    def __init__(self, path: Path, faults: list[Fault]) -> None:
        super().__init__("\n".join(f"{path}: {fault}" for fault in faults))
        self.faults = faults


class Peer(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A peer to ping while this instance knows no other member of the fleet."""

    name: str
    host: str
    port: Port


class Settings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The settings that an instance needs before it can reach the key-value service or peers.

    The first of `fleet_secrets` is the current secret; during a rotation, the second is the other
    accepted secret. `peers` are pinged while no other member is known, so that an instance can get
    the configuration from them if the key-value service does not respond.
    """

    fleet: str
    name: str
    region: str
    failure_domain: str
    host: str
    port: Port
    peer_port: Port
    store_host: str
    store_port: Port
    fleet_secrets: Annotated[list[Secret], Meta(min_length=1, max_length=2)]
    bootstrap_operator_digest: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")] | None = None
    statsd_host: str = "127.0.0.1"
    statsd_port: Port = 8125
    peers: list[Peer] = []
    gossip_period_ms: PositiveInt = 500
    drain_limit_ms: PositiveInt = 30_000
    log_format: Literal["json", "console"] = "json"
    log_level: Literal["debug", "info", "warning", "error"] = "info"


_VALIDATOR = jsonschema.Draft202012Validator(msgspec.json.schema(Settings))


def load_document(path: Path) -> object:
    """Read a JSON file with comments.

    Raise `InvalidDocumentError` if the file cannot be read or parsed; the error names the line of
    a syntax error.
    """
    try:
        return json5.loads(path.read_text(encoding="utf-8"), allow_duplicate_keys=False)
    except (ValueError, OSError) as error:
        fault = Fault("(file)", str(error).replace("<string>:", "line "), "JSON with comments")
        raise InvalidDocumentError(path, [fault]) from None


def load_settings(path: Path) -> Settings:
    """Read and validate settings; raise `InvalidDocumentError` with every fault."""
    document = load_document(path)
    faults = list_schema_faults(_VALIDATOR, document)
    if not faults:
        settings = msgspec.convert(document, Settings)
        faults = _list_address_faults(settings)
    if faults:
        raise InvalidDocumentError(path, faults)
    return settings


def _list_address_faults(settings: Settings) -> list[Fault]:
    faults = []
    for field in ("host", "store_host", "statsd_host"):
        value = getattr(settings, field)
        try:
            ipaddress.ip_address(value)
        except ValueError:
            faults.append(Fault(field, value, "an IP address"))
    return faults
