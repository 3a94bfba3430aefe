"""The operators' configuration, independent of the platform's document format."""

from __future__ import annotations

from enum import StrEnum

import msgspec

__all__ = [
    "CallerLimits",
    "Destination",
    "OrganisationRule",
    "RouteKind",
    "RouteRule",
    "ServiceRule",
    "SteeringConfig",
    "UnknownValue",
]


class RouteKind(StrEnum):
    """The kind of a route's requests; those of `SAFE` and `DOWNLOAD` may run more than once.

    `DOWNLOAD` requests have large responses.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"
    DOWNLOAD = "download"


_IDEMPOTENT_KINDS = (RouteKind.SAFE, RouteKind.DOWNLOAD)


class Destination(msgspec.Struct, frozen=True):
    """A service and its weight in a traffic split, which may be a fraction."""

    service: str
    weight: float


class RouteRule(msgspec.Struct, frozen=True):
    """The destinations and limits of requests with one host and path prefix.

    `attempts` is the maximum number of attempts per request, not counting failed connections.
    `timeout_ms` bounds the time until the caller has received the response. An empty
    `allowed_regions` allows every region.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    latency_objective_ms: int
    timeout_ms: int
    attempts: int
    priority: int
    public: bool = False
    sticky: bool = False
    allowed_regions: frozenset[str] = frozenset()

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind in _IDEMPOTENT_KINDS


class ServiceRule(msgspec.Struct, frozen=True):
    """Settings that apply to all targets of a service.

    `cold_per_s` is the rate of requests that one target can serve while it is cold, that is, for a
    short time after its start or after an evacuation of its failure domain; 0 means no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_ms: int
    cold_per_s: float


class OrganisationRule(msgspec.Struct, frozen=True):
    """The API keys, priority and rate limit of an organisation; a rate of 0 means no limit."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    allowed_regions: frozenset[str] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True):
    """Size and timeout limits on callers' requests and connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class UnknownValue(msgspec.Struct, frozen=True):
    """A value in the configuration that this build does not know, and what it does instead."""

    location: str
    value: str
    handling: str


class SteeringConfig(msgspec.Struct, frozen=True):
    """One version of the configuration, with lookup tables by host and by API key.

    If `asks_for_keys` is set, requests of routes that are not public need the key of an
    organisation, also when there is no organisation.
    """

    version: int
    limits: CallerLimits
    routes: tuple[RouteRule, ...]
    services: dict[str, ServiceRule]
    organisations: dict[str, OrganisationRule]
    unknown_values: tuple[UnknownValue, ...] = ()
    asks_for_keys: bool = False
    routes_by_host: dict[str, dict[str, RouteRule]] = msgspec.field(default_factory=dict)
    organisations_by_key: dict[str, OrganisationRule] = msgspec.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Build the lookup tables."""
        by_host: dict[str, dict[str, RouteRule]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        by_key = {key: rule for rule in self.organisations.values() for key in rule.keys}
        msgspec.structs.force_setattr(self, "routes_by_host", by_host)
        msgspec.structs.force_setattr(self, "organisations_by_key", by_key)
