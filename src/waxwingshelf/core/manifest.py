"""The manifest, the document that operators write, with its schema and validation."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator
from typing import Annotated, Any, Literal

import jsonschema
import msgspec
from msgspec import Meta, Struct

from waxwingshelf.core.faults import Fault, list_schema_faults

__all__ = [
    "SECTIONS",
    "Fleet",
    "Key",
    "Manifest",
    "Operator",
    "Organisation",
    "PlannedStop",
    "Region",
    "Service",
    "ShiftCap",
    "Target",
    "build_schema",
    "list_faults",
    "parse_manifest",
]

Count = Annotated[int, Meta(ge=1)]
Millis = Annotated[int, Meta(ge=0)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Rate = Annotated[float, Meta(gt=0)]
Fraction = Annotated[float, Meta(gt=0, le=1)]

_HOUR_MS = 3_600_000
_CUT_HOLD_MS = 75 * 60_000


class _Node(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all manifest nodes."""


class Fleet(_Node, frozen=True):
    """Settings of the whole fleet.

    `cut_hold_ms` is how long a partitioned minority of instances keeps serving; `id_life_ms` is
    the lifetime of a request id from its issue.
    """

    name: str
    cut_hold_ms: Millis = _CUT_HOLD_MS
    id_life_ms: Millis = 900_000
    lookup_ttl_ms: Millis = 5_000


class Region(_Node, frozen=True):
    """A region, its failure domains, and one-way distances to other regions in milliseconds."""

    failure_domains: Annotated[list[str], Meta(min_length=1)]
    distance_ms: dict[str, Annotated[float, Meta(ge=0)]] = {}


class Service(_Node, frozen=True):
    """A service and the settings for its requests.

    `open` accepts requests without a key. `objective` prefers latency or fairness between
    organisations. `stale_key_limit_ms` is how long the configuration may stay unconfirmed before
    requests with a key are refused.
    """

    deadline_ms: Count
    idempotent: bool = True
    open: bool = False
    slots: Count = 4
    connections: Count = 330
    headroom: Fraction = 0.9
    objective: Literal["latency", "fairness"] = "latency"
    target_policy: Literal["power_of_two", "least_in_flight", "least_expected_wait", "random"] = (
        "power_of_two"
    )
    queue_limit: Count = 256
    max_body_bytes: Count = 16_777_216
    retry_share: Annotated[float, Meta(ge=0, le=1)] = 0.1
    stale_key_limit_ms: Millis | None = 4 * _HOUR_MS


class Target(_Node, frozen=True):
    """A back end of one service; `slots` overrides the value of the service."""

    service: str
    region: str
    failure_domain: str
    host: str
    port: Port
    slots: Count | None = None


class Organisation(_Node, frozen=True):
    """A customer with its fleet-wide rate in requests per second, burst and weight."""

    rate_per_s: Rate
    burst: Annotated[float, Meta(ge=1)]
    weight: Rate = 1.0


class Key(_Node, frozen=True):
    """The organisation that a key digest belongs to."""

    organisation: str


class Operator(_Node, frozen=True):
    """An operator and what it may change; "*" stands for all."""

    name: str
    services: list[str] = []
    organisations: list[str] = []
    read_only: bool = False


class ShiftCap(_Node, frozen=True):
    """The cap on requests that one region sends to another."""

    requests_per_s: Rate
    burst: Annotated[float, Meta(ge=1)]


class PlannedStop(_Node, frozen=True):
    """A planned stop of a target or an instance, which begins at a wall-clock time."""

    kind: Literal["target", "instance"]
    starts_at_ms: Millis = 0
    reason: str = ""


class Manifest(_Node, frozen=True):
    """The whole document; `shift_caps` keys read "from>to", `keys` are SHA-256 digests in hex."""

    fleet: Fleet
    regions: dict[str, Region]
    services: dict[str, Service] = {}
    targets: dict[str, Target] = {}
    organisations: dict[str, Organisation] = {}
    keys: dict[Annotated[str, Meta(pattern="^[0-9a-f]{64}$")], Key] = {}
    operators: dict[Annotated[str, Meta(pattern="^[0-9a-f]{64}$")], Operator] = {}
    shift_caps: dict[str, ShiftCap] = {}
    planned_stops: dict[str, PlannedStop] = {}
    client_blocks: dict[str, str] = {}


SECTIONS = tuple(
    field.name for field in msgspec.structs.fields(Manifest) if field.default_factory is dict
)


def build_schema() -> dict[str, Any]:
    """Return the JSON Schema of a manifest."""
    return msgspec.json.schema(Manifest)


_VALIDATOR = jsonschema.Draft202012Validator(build_schema())


def parse_manifest(document: object) -> Manifest:
    """Convert a document, or raise `msgspec.ValidationError` if it does not match the schema."""
    return msgspec.convert(document, Manifest)


def list_faults(document: object) -> list[Fault]:
    """Return the schema faults of a document or, if there are none, its invalid references."""
    faults = list_schema_faults(_VALIDATOR, document)
    if faults:
        return faults
    return list(_find_reference_faults(parse_manifest(document)))


def _find_reference_faults(manifest: Manifest) -> Iterator[Fault]:
    regions = sorted(manifest.regions)
    yield from _find_target_faults(manifest)
    for digest, key in manifest.keys.items():
        if key.organisation not in manifest.organisations:
            allowed = f"one of {sorted(manifest.organisations)}"
            yield Fault(f"keys.{digest}.organisation", key.organisation, allowed)
        if digest in manifest.operators:
            yield Fault(f"keys.{digest}", digest, "a digest that no operator uses")
    for pair in manifest.shift_caps:
        ends = pair.split(">")
        if len(ends) != 2 or ends[0] == ends[1] or not set(ends) <= set(regions):
            yield Fault(f"shift_caps.{pair}", pair, f'"from>to" with two of {regions}')
    for name, region in manifest.regions.items():
        for other in region.distance_ms:
            if other not in manifest.regions:
                yield Fault(f"regions.{name}.distance_ms", other, f"one of {regions}")
    for block, region_name in manifest.client_blocks.items():
        if region_name not in manifest.regions:
            yield Fault(f"client_blocks.{block}", region_name, f"one of {regions}")
        if not _is_network(block):
            yield Fault(f"client_blocks.{block}", block, "an IPv4 network such as 10.0.0.0/8")


def _find_target_faults(manifest: Manifest) -> Iterator[Fault]:
    for name, target in manifest.targets.items():
        place = f"targets.{name}"
        if target.service not in manifest.services:
            allowed = f"one of {sorted(manifest.services)}"
            yield Fault(f"{place}.service", target.service, allowed)
        region = manifest.regions.get(target.region)
        if region is None:
            yield Fault(f"{place}.region", target.region, f"one of {sorted(manifest.regions)}")
        elif target.failure_domain not in region.failure_domains:
            allowed = f"one of {region.failure_domains}"
            yield Fault(f"{place}.failure_domain", target.failure_domain, allowed)
        if not _is_address(target.host):
            yield Fault(f"{place}.host", target.host, "an IP address")


def _is_network(text: str) -> bool:
    try:
        ipaddress.IPv4Network(text)
    except ValueError:
        return False
    return True


def _is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
