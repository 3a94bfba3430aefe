"""Load the settings file that the platform writes for each process."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from waxwingshelf.core.addresses import parse_address
from waxwingshelf.core.quantities import Amount, Port
from waxwingshelf.platform.tolerant_decoding import (
    FieldName,
    MalformedValue,
    TolerantConverter,
)

__all__ = ["Bounds", "Endpoint", "InstanceSettings", "InvalidSettingsError", "load_settings"]


class InvalidSettingsError(Exception):
    """A settings file is unreadable or invalid; the message names the file and the error."""

    def __init__(self, path: Path, detail: str) -> None:
        super().__init__(f"{path}: {detail}")


class Endpoint(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Bounds(msgspec.Struct, frozen=True):
    """Limits set by the platform.

    `grace_period_ms` bounds the shutdown of an instance, `max_ttl_ms` the time for which a caller
    may use a response of the directory, and `config_apply_ms` the time until a change of the
    configuration is in force. The retry, cold-target and rate limits apply to all
    instances together.
    """

    grace_period_ms: int = 6_000
    max_ttl_ms: int = 5_000
    config_apply_ms: int = 2_500
    retry_ratio: float = 0.2
    retry_slack: float = 56.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    rate_slack: float = 20.0


class InstanceSettings(msgspec.Struct, frozen=True):
    """The settings of one instance, known before it contacts the store or a peer.

    `seeds` are the `peer_state` endpoints of the peers to read from while no configuration is
    known, `peer_ports` the first and the last port for traffic between instances, and `regions` the
    region of each failure domain. `link_mbps` and `memory_mb` are limits of the machine, or 0 if
    they are not known. `malformed` are the values for which stricter ones are used.
    """

    name: str
    region: str
    failure_domain: str
    callers: Endpoint
    readiness: Endpoint
    directory: Endpoint
    peer_state: Endpoint
    store: Endpoint
    seeds: tuple[Endpoint, ...]
    peer_ports: tuple[int, int]
    regions: dict[str, str]
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    malformed: tuple[MalformedValue, ...] = ()


class _Limits(msgspec.Struct):
    link_mbps: Amount = 0.0
    memory_mb: Amount = 0.0


class _Self(msgspec.Struct):
    node_name: str
    zone: str
    region: str
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Listen(msgspec.Struct):
    frontend: str
    ready: str
    directory: str
    control_plane: str


class _Network(msgspec.Struct):
    listen: _Listen
    zones: dict[str, str]
    internal_ports: list[Port]
    seed_nodes: list[str] = []


class _Store(msgspec.Struct):
    address: str


class _Platform(msgspec.Struct):
    # The address of the store is in the table [platform.platform].
    platform: _Store


class _Bounds(msgspec.Struct):
    grace_period_s: Amount = 6
    ttl_max_s: Amount = 5
    config_apply_ms: Amount = 2_500
    retry_budget_ratio: Amount = 0.2
    retry_budget_slack: Amount = 56
    cold_overage: Amount = 1.5
    cold_slack: Amount = 5
    quota_slack: Amount = 20


class _Terms(msgspec.Struct):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _File(msgspec.Struct):
    self: _Self
    network: _Network
    platform: _Platform
    terms: _Terms = msgspec.field(default_factory=_Terms)


# What a malformed bound allows at most; the defaults may allow more than the platform does.
_STRICT_VALUES: dict[FieldName, Any] = {
    (_Bounds, "grace_period_s"): 4.0,
    (_Bounds, "ttl_max_s"): 1.0,
    (_Bounds, "config_apply_ms"): 2_000.0,
    (_Bounds, "retry_budget_ratio"): 0.0,
    (_Bounds, "retry_budget_slack"): 0.0,
    (_Bounds, "cold_overage"): 1.0,
    (_Bounds, "cold_slack"): 0.0,
    (_Bounds, "quota_slack"): 0.0,
    (_Terms, "bounds"): _Bounds(4.0, 1.0, 2_000.0, 0.0, 0.0, 1.0, 0.0, 0.0),
    (_File, "terms"): _Terms(_Bounds(4.0, 1.0, 2_000.0, 0.0, 0.0, 1.0, 0.0, 0.0)),
}


def load_settings(path: Path) -> InstanceSettings:
    """Load a settings file; raise `InvalidSettingsError` with the location of the first error."""
    try:
        document: dict[str, Any] = tomllib.loads(path.read_text(encoding="utf-8"))
        converter = TolerantConverter(_STRICT_VALUES, (), ())
        file: _File = converter.convert(document, _File)
        return _build_settings(file, converter.malformed)
    except (OSError, ValueError) as error:
        # The errors of msgspec and tomllib are ValueErrors that name the field or the line.
        raise InvalidSettingsError(path, str(error)) from None


def _build_settings(file: _File, malformed: list[MalformedValue]) -> InstanceSettings:
    seeds = _parse_seeds(file.network.seed_nodes, malformed)
    bounds = file.terms.bounds
    listen = file.network.listen
    ports = file.network.internal_ports
    if len(ports) != 2:
        raise ValueError("network.internal_ports: expected the first and the last port")
    return InstanceSettings(
        name=file.self.node_name,
        region=file.self.region,
        failure_domain=file.self.zone,
        callers=_parse_endpoint(listen.frontend),
        readiness=_parse_endpoint(listen.ready),
        directory=_parse_endpoint(listen.directory),
        peer_state=_parse_endpoint(listen.control_plane),
        store=_parse_endpoint(file.platform.platform.address),
        seeds=seeds,
        peer_ports=(ports[0], ports[1]),
        regions=dict(file.network.zones),
        bounds=Bounds(
            grace_period_ms=int(bounds.grace_period_s * 1_000),
            max_ttl_ms=int(bounds.ttl_max_s * 1_000),
            config_apply_ms=int(bounds.config_apply_ms),
            retry_ratio=bounds.retry_budget_ratio,
            retry_slack=bounds.retry_budget_slack,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            rate_slack=bounds.quota_slack,
        ),
        link_mbps=file.self.limits.link_mbps,
        memory_mb=file.self.limits.memory_mb,
        malformed=tuple(malformed),
    )


def _parse_seeds(texts: list[str], malformed: list[MalformedValue]) -> tuple[Endpoint, ...]:
    seeds = []
    for number, text in enumerate(texts):
        try:
            seeds.append(_parse_endpoint(text))
        except ValueError:
            location = f"$.network.seed_nodes[{number}]"
            malformed.append(MalformedValue(location, repr(text), "dropped"))
    return tuple(seeds)


def _parse_endpoint(text: str) -> Endpoint:
    host, port = parse_address(text)
    return Endpoint(host, port)
