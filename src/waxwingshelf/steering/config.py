"""The operators' configuration in the project's own words."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "Destination",
    "OrganisationRule",
    "RouteKind",
    "RouteRule",
    "ServiceRule",
    "SteeringConfig",
]


class RouteKind(StrEnum):
    """What may be repeated: only `SAFE` requests may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@dataclass(frozen=True, slots=True)
class Destination:
    """One part of a traffic split."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Where requests of one host and path prefix go.

    `attempts` bounds the targets that one request may be sent to; `timeout_ms` bounds the time
    until the caller has its answer; an empty `homes` allows every region.
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
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """What holds for all targets of a service; `cold_per_s` is borne by one cold target."""

    name: str
    health_path: str
    max_connections: int
    cold_start_ms: int
    cold_per_s: float


@dataclass(frozen=True, slots=True)
class OrganisationRule:
    """An organisation's keys and rate; a rate of 0 means no limit."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True)
class SteeringConfig:
    """One accepted version, with its look-up tables."""

    version: int
    limits: CallerLimits
    routes: tuple[RouteRule, ...]
    services: dict[str, ServiceRule]
    organisations: dict[str, OrganisationRule]
    routes_by_host: dict[str, dict[str, RouteRule]] = field(init=False)
    organisations_by_key: dict[str, OrganisationRule] = field(init=False)

    def __post_init__(self) -> None:
        """Build the tables that requests are looked up in."""
        by_host: dict[str, dict[str, RouteRule]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        by_key = {key: rule for rule in self.organisations.values() for key in rule.keys}
        object.__setattr__(self, "routes_by_host", by_host)
        object.__setattr__(self, "organisations_by_key", by_key)
