"""Decode the keys and values of the store: configuration, targets, evacuations, members."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from waxwingshelf.core.addresses import parse_address
from waxwingshelf.core.quantities import Amount, Count, Rank, Slots, bound_rate, parse_long_number
from waxwingshelf.platform.names import (
    EVACUATION_PREFIX,
    MEMBER_LIST_PREFIX,
    MEMBER_PREFIX,
    QUARANTINE_PREFIX,
    TARGET_PREFIX,
)
from waxwingshelf.platform.tolerant_decoding import FieldName, TolerantConverter, load_document
from waxwingshelf.steering.config import (
    CallerLimits,
    Destination,
    OrganisationRule,
    RouteKind,
    RouteRule,
    ServiceRule,
    SteeringConfig,
    UnknownValue,
)
from waxwingshelf.steering.fleet import PeerAddress
from waxwingshelf.steering.quarantine import Quarantine
from waxwingshelf.steering.targets import Target

__all__ = [
    "DecodeError",
    "decode_config",
    "decode_member",
    "decode_quarantine",
    "decode_target",
    "encode_member",
    "encode_quarantine",
    "make_listed_member_key",
    "make_member_key",
    "make_quarantine_key",
    "make_target_key",
    "parse_evacuated_domain",
    "parse_listed_member_name",
    "parse_member_name",
    "parse_quarantined_request",
    "parse_target_id",
]

_DEFAULT_TIMEOUT_MS = 10_000
_KNOWN_STATES = ("ready", "draining")
_KNOWN_KINDS = frozenset(RouteKind)
# Requests of a kind that this build does not know are never sent again.
_UNKNOWN_KIND = RouteKind.UNSAFE
_MS_PER_S = 1_000
# No service and no region has this name, so that requests are refused.
_NO_NAME = ""
_LOWEST_PRIORITY = 1_000_000
_MAX_ERROR_CHARACTERS = 200


class DecodeError(ValueError):
    """A value in the store is invalid; the message describes the error and usually its location."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail[:_MAX_ERROR_CHARACTERS])


class _Limits(msgspec.Struct):
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 67_108_864
    header_timeout_ms: Count = 3_000
    idle_timeout_ms: Count = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: Rank | None = None
    rate_per_s: Amount | None = None
    burst: Amount | None = None
    home_regions: list[str] | None = None


class _SplitPart(msgspec.Struct):
    service: str
    weight: Amount = 1


class _Match(msgspec.Struct):
    path_prefix: str


class _Action(msgspec.Struct):
    service: str | None = None
    traffic_split: list[_SplitPart] | None = None
    timeout_ms: Amount | None = None
    attempts: Count | None = None
    home_regions: list[str] | None = None


class _Rule(msgspec.Struct):
    name: str
    match: _Match
    kind: str = ""
    action: _Action = msgspec.field(default_factory=_Action)
    # The latency objective: a response within this time earns full credit.
    target_latency_ms: Amount | None = None
    priority: Rank | None = None
    public: bool | None = None
    sticky: bool | None = None


class _Listener(msgspec.Struct):
    host: str
    rules: list[_Rule] = []


class _Cluster(msgspec.Struct):
    # The platform calls a service a cluster.
    name: str
    health_path: str = "/health"
    max_connections: Count | None = None
    cold_start_s: Amount | None = None
    cold_per_s: Amount | None = None


class _Config(msgspec.Struct):
    version: str
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None
    listeners: list[_Listener] = []
    clusters: list[_Cluster] = []


class _Information(msgspec.Struct):
    service: str
    zone: str
    slots: Slots
    version: str = ""


class _Status(msgspec.Struct):
    state: str
    cold_remaining_ms: Amount = 0
    # Counts what the target has said of itself since its start.
    sequence: Count = 0


class _Server(msgspec.Struct):
    address: str
    information: _Information
    status: _Status
    # The start time of the target's process, in Unix milliseconds.
    born: Count = 0


_CONFIG_DECODER = msgspec.json.Decoder(_Config, strict=False)
_SERVER_DECODER = msgspec.json.Decoder(_Server)
_MEMBER_DECODER = msgspec.json.Decoder(PeerAddress)
_QUARANTINE_DECODER = msgspec.json.Decoder(Quarantine)
# What a malformed value allows at most. Without one, or with the default, it would allow more.
_STRICT_VALUES: dict[FieldName, Any] = {
    (_Tenant, "rate_per_s"): 1.0,
    (_Tenant, "burst"): 1.0,
    (_Tenant, "priority"): _LOWEST_PRIORITY,
    (_Tenant, "home_regions"): [_NO_NAME],
    (_SplitPart, "weight"): 0.0,
    (_Action, "home_regions"): [_NO_NAME],
    (_Rule, "kind"): _UNKNOWN_KIND.value,
    (_Rule, "priority"): _LOWEST_PRIORITY,
    (_Cluster, "cold_start_s"): 3.0,
    (_Cluster, "cold_per_s"): 1.0,
}
# If these fields got their defaults, keys and routes would be missing.
_REQUIRED: tuple[FieldName, ...] = (
    (_Config, "tenants"),
    (_Config, "listeners"),
    (_Config, "clusters"),
    (_Listener, "rules"),
)


def decode_config(value: bytes) -> SteeringConfig:
    """Decode the operators' configuration; raise `DecodeError` if it is invalid.

    Malformed values of optional fields are among its unknown values.
    """
    try:
        document, malformed = _convert_config(value)
        rules = [(entry.host, rule) for entry in document.listeners for rule in entry.rules]
        return SteeringConfig(
            version=_parse_version(document.version),
            limits=_build_caller_limits(document.limits),
            routes=tuple(_build_route_rule(host, rule) for host, rule in rules),
            services={entry.name: _build_service_rule(entry) for entry in document.clusters},
            organisations={
                entry.name: _build_organisation_rule(entry) for entry in document.tenants or []
            },
            unknown_values=(*malformed, *_list_unknown_values(rule for _, rule in rules)),
            asks_for_keys=document.tenants is not None,
        )
    except (ValueError, RecursionError) as error:
        raise DecodeError(str(error)) from None


def _convert_config(value: bytes) -> tuple[_Config, list[UnknownValue]]:
    try:
        return _CONFIG_DECODER.decode(value), []
    except msgspec.DecodeError:
        converter = TolerantConverter(_STRICT_VALUES, _REQUIRED, (_SplitPart,), (".api_keys",))
        document: _Config = converter.convert(load_document(value), _Config)
        return document, [
            UnknownValue(fault.location, fault.value, fault.handling)
            for fault in converter.malformed
        ]


def _list_unknown_values(rules: Iterable[_Rule]) -> Iterator[UnknownValue]:
    for rule in rules:
        if rule.kind not in _KNOWN_KINDS:
            yield UnknownValue(f"rule {rule.name!r}: kind", rule.kind, _UNKNOWN_KIND.value)
        if not _has_destination(rule.action):
            yield UnknownValue(f"rule {rule.name!r}: action", "no service", "refused")


def _has_destination(action: _Action) -> bool:
    return bool(action.traffic_split or action.service)


def parse_target_id(key: str) -> str | None:
    """Return the target id in a store key, or None if it is not a key of a target."""
    return _strip_prefix(key, TARGET_PREFIX)


def parse_evacuated_domain(key: str) -> str | None:
    """Return the failure domain in a store key, or None if it is not a key of an evacuation."""
    return _strip_prefix(key, EVACUATION_PREFIX)


def parse_member_name(key: str) -> str | None:
    """Return the instance name in a store key, or None if it is not a key of an instance."""
    return _strip_prefix(key, MEMBER_PREFIX)


def parse_quarantined_request(key: str) -> str | None:
    """Return the fingerprint in a store key, or None if it is not a key of a quarantine."""
    return _strip_prefix(key, QUARANTINE_PREFIX)


def parse_listed_member_name(key: str) -> str | None:
    """Return the instance name in a store key, or None if it is not a key of the member list."""
    return _strip_prefix(key, MEMBER_LIST_PREFIX)


def make_listed_member_key(name: str) -> str:
    """Return the store key of an instance's entry in the member list."""
    return MEMBER_LIST_PREFIX + name


def make_quarantine_key(fingerprint: str) -> str:
    """Return the store key of the quarantine of a request."""
    return QUARANTINE_PREFIX + fingerprint


def make_target_key(target_id: str) -> str:
    """Return the store key of a target's entry."""
    return TARGET_PREFIX + target_id


def make_member_key(name: str) -> str:
    """Return the store key under which an instance registers."""
    return MEMBER_PREFIX + name


def decode_target(target_id: str, value: bytes) -> Target:
    """Decode a target's entry; raise `DecodeError` if it is invalid."""
    try:
        entry = _SERVER_DECODER.decode(value)
        host, port = parse_address(entry.address)
        if entry.status.state not in _KNOWN_STATES:
            raise ValueError(f"status.state: unknown state {entry.status.state!r}")
        return Target(
            id=target_id,
            service=entry.information.service,
            host=host,
            port=port,
            failure_domain=entry.information.zone,
            version=entry.information.version,
            slots=entry.information.slots,
            draining=entry.status.state == "draining",
            cold_for_ms=math.ceil(entry.status.cold_remaining_ms),
            started_ms=entry.born,
            entry_number=entry.status.sequence,
        )
    except (ValueError, RecursionError) as error:
        raise DecodeError(str(error)) from None


def decode_member(value: bytes) -> PeerAddress:
    """Decode a registration, or an entry of the member list; raise `DecodeError` if invalid."""
    try:
        return _MEMBER_DECODER.decode(value)
    except (ValueError, RecursionError) as error:
        raise DecodeError(str(error)) from None


def encode_member(address: PeerAddress) -> bytes:
    """Encode an instance's registration or its entry in the member list."""
    return msgspec.json.encode(address)


def decode_quarantine(value: bytes) -> Quarantine:
    """Decode a quarantine; raise `DecodeError` if it is invalid."""
    try:
        return _QUARANTINE_DECODER.decode(value)
    except (ValueError, RecursionError) as error:
        raise DecodeError(str(error)) from None


def encode_quarantine(quarantine: Quarantine) -> bytes:
    """Encode a quarantine."""
    return msgspec.json.encode(quarantine)


def _strip_prefix(key: str, prefix: str) -> str | None:
    return key[len(prefix) :] if key.startswith(prefix) else None


def _parse_version(text: str) -> int:
    number = parse_long_number(text[1:])
    if not text.startswith("r") or number is None:
        raise ValueError(f"version: {text!r} is not 'r' followed by a number")
    return number


def _build_caller_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms,
        limits.idle_timeout_ms,
    )


def _build_route_rule(host: str, rule: _Rule) -> RouteRule:
    action = rule.action
    destinations: tuple[Destination, ...]
    if action.traffic_split:
        destinations = tuple(
            Destination(part.service, part.weight) for part in action.traffic_split
        )
    else:
        destinations = (Destination(action.service or _NO_NAME, 1),)
    timeout_ms = _cut_to_ms(action.timeout_ms or _DEFAULT_TIMEOUT_MS)
    return RouteRule(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.path_prefix,
        kind=RouteKind(rule.kind) if rule.kind in _KNOWN_KINDS else _UNKNOWN_KIND,
        destinations=destinations,
        latency_objective_ms=_cut_to_ms(rule.target_latency_ms or timeout_ms),
        timeout_ms=timeout_ms,
        attempts=max(1, action.attempts or 1),
        priority=rule.priority or 0,
        public=bool(rule.public),
        sticky=bool(rule.sticky),
        allowed_regions=frozenset(action.home_regions or ()),
    )


def _cut_to_ms(time_ms: float) -> int:
    """Return whole milliseconds; a time below one is not cut to none, which allows no request."""
    return max(1, int(time_ms))


def _build_service_rule(entry: _Cluster) -> ServiceRule:
    return ServiceRule(
        name=entry.name,
        health_path=entry.health_path,
        max_connections=entry.max_connections or 0,
        cold_start_ms=math.ceil((entry.cold_start_s or 0) * _MS_PER_S),
        cold_per_s=bound_rate(entry.cold_per_s or 0.0),
    )


def _build_organisation_rule(entry: _Tenant) -> OrganisationRule:
    return OrganisationRule(
        name=entry.name,
        keys=tuple(entry.api_keys),
        priority=entry.priority,
        rate_per_s=bound_rate(entry.rate_per_s or 0.0),
        burst=entry.burst or 0.0,
        allowed_regions=frozenset(entry.home_regions or ()),
    )
