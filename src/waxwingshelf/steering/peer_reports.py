"""What instances tell each other of themselves, and what each keeps of the others."""

from __future__ import annotations

from typing import Any

import msgspec

from waxwingshelf.core.addresses import Ipv4Address, Ipv4Endpoint
from waxwingshelf.core.quantities import Amount, Count, LongNumber, Port, PortOrNone, Sequence
from waxwingshelf.steering.load_reports import DEFAULT_VALIDITY_MS
from waxwingshelf.steering.mirror import Position
from waxwingshelf.steering.sent_demand import DemandAck

__all__ = ["Heartbeat", "LoadReport", "Peer", "PeerAddress"]


class PeerAddress(msgspec.Struct, frozen=True):
    """The name, location and addresses of an instance, for its peers and for callers.

    `collects_crashes` is set if the instance's build decides about requests that crash targets.
    """

    name: str
    region: str
    failure_domain: str
    host: Ipv4Address
    beat_port: Port
    state_port: Port
    caller_address: Ipv4Endpoint
    rate_port: PortOrNone = 0
    link_mbps: Amount = 0.0
    collects_crashes: bool = False


class Heartbeat(msgspec.Struct, frozen=True):
    """A periodic message with the current state of its sender.

    `demand` is in requests per second by organisation. It is empty in a large fleet, where rate
    owners report their demand to each other. `boot` identifies the run of the sender's process; a
    heartbeat is outdated if its (`boot`, `number`) is not greater than the last. `watching` is set
    if the sender watches the store itself. `revision` and `era` are the position of the sender's
    mirror of the store; `config_version` is the configuration that it uses, or 0. A version beyond
    `MAX_SEQUENCE` is in `long_config_version`, and `config_version` is that number, since builds
    that do not know the second field reject a larger one in the first. `brief` is set if the sender
    reads brief messages; see `serving.peer_messages`. `ack` is the recipient's heartbeat whose
    demand the sender's shares use; None if the sender's build does not tell.
    `reaches_targets` is False if the sender has lost its links to the targets, and None if its
    build does not tell and does not send to targets for peers. `service_slots` is the demand of the
    sender's callers, and `region_slots` that of all callers in the sender's region, in tenths of
    slots by hash of the service; each is None if not told. See `steering.regional_demand`.
    """

    address: PeerAddress
    boot: Sequence
    number: Sequence
    ready: bool
    revision: Sequence
    demand: dict[str, Amount]
    watching: bool = False
    era: Sequence = 0
    config_version: Sequence = 0
    brief: bool = False
    ack: DemandAck | None = None
    reaches_targets: bool | None = None
    # Not checked when decoded, so that a malformed value leaves the rest of the heartbeat usable.
    service_slots: Any = None
    region_slots: Any = None
    long_config_version: LongNumber = ""

    @property
    def full_config_version(self) -> int:
        """Return the version of the configuration that the sender uses, whatever its length."""
        return int(self.long_config_version or self.config_version)


class LoadReport(msgspec.Struct, frozen=True):
    """The numbers of requests that an instance has in flight, by hash of the target id.

    The report counts for `validity_ms`; an earlier build does not tell. `slowness` is what targets
    told of their speed, in percent by hash of the target id. `organisations` holds the requests in
    flight by hash of the service and the organisation. `objects` holds the targets of the sender's
    last requests, as their hash by hash of the object; peers in other regions do not get it.
    """

    name: str
    boot: Sequence
    number: Sequence
    loads: dict[int, Count]
    validity_ms: Count = DEFAULT_VALIDITY_MS
    slowness: dict[int, Count] = msgspec.field(default_factory=dict)
    organisations: dict[int, Count] = msgspec.field(default_factory=dict)
    objects: dict[int, int] = msgspec.field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether the sender has nothing in flight and nothing to tell of targets."""
        return not (self.loads or self.slowness or self.organisations or self.objects)


class Peer(msgspec.Struct):
    """The last known state of one other instance.

    `used` is its last heartbeat whose demand this instance's shares take into account. `ack` is the
    last one of this instance that the peer's shares use, and `heard_since` the number of the last
    one sent when the peer's process was first heard.
    """

    address: PeerAddress
    boot: int = 0
    number: int = -1
    load_report_number: int = -1
    ready: bool = False
    watching: bool = False
    brief: bool = False
    reaches_targets: bool | None = None
    position: Position = msgspec.field(default_factory=Position)
    config_version: int = 0
    demand: dict[str, float] = msgspec.field(default_factory=dict)
    used: DemandAck = msgspec.field(default_factory=DemandAck)
    ack: DemandAck | None = None
    heard_since: int = 0
    last_heartbeat_ms: int | None = None
    unregistered_at_ms: int | None = None
