"""Datagrams between instances: full and brief heartbeats, load reports, changes of the store.

Heartbeats are the largest part of the traffic between regions. A full heartbeat has its sender's
name and addresses; a brief one names its sender by a hash, and only an instance that knows the
sender's process from a full heartbeat can read it. An instance that does not asks for an
introduction, which is a full heartbeat. Instances of earlier builds get full heartbeats and their
form of load reports; see `Heartbeat.brief`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from waxwingshelf.core.hashing import hash_to_uint32
from waxwingshelf.core.quantities import Count, LongNumber, Sequence
from waxwingshelf.serving.tolerant_messages import TolerantDecoder
from waxwingshelf.steering.fleet import Heartbeat, LoadReport, PeerAddress
from waxwingshelf.steering.load_reports import DEFAULT_VALIDITY_MS
from waxwingshelf.steering.sent_demand import DemandAck

__all__ = [
    "BRIEF_HEARTBEAT_TYPE",
    "BRIEF_LOAD_REPORT_TYPE",
    "CHANGES_TYPE",
    "HEARTBEAT_TYPE",
    "INTRODUCTION_TYPE",
    "LOAD_REPORT_TYPE",
    "BriefHeartbeat",
    "BriefLoadReport",
    "ChangesMessage",
    "decode_brief_heartbeat",
    "decode_brief_load_report",
    "decode_changes",
    "decode_heartbeat",
    "decode_load_report",
    "encode_brief_heartbeat",
    "encode_brief_load_report",
    "encode_changes",
    "encode_heartbeat",
    "encode_load_report",
    "expand_heartbeat",
    "expand_load_report",
]

# The first byte of a datagram is its type; instances ignore the types that they do not know.
HEARTBEAT_TYPE = b"b"
BRIEF_HEARTBEAT_TYPE = b"h"
INTRODUCTION_TYPE = b"i"
LOAD_REPORT_TYPE = b"l"
BRIEF_LOAD_REPORT_TYPE = b"m"
CHANGES_TYPE = b"c"
# Demand is rounded to this many requests per second, so that it takes few bytes.
_DEMAND_UNIT_PER_S = 0.1


class BriefHeartbeat(msgspec.Struct, array_like=True):
    """A heartbeat for instances that know its sender; `demand` is in tenths of requests per second.

    `name_hash` and `boot` identify the sender's process. `acked_boot` and `acked_number` are the
    heartbeat's ack; `acked_boot` is None if the sender's build does not tell. The last fields are
    the heartbeat's.
    """

    name_hash: int
    boot: Sequence
    number: Sequence
    ready: bool
    revision: Sequence
    demand: dict[str, Count]
    watching: bool
    era: Sequence
    config_version: Sequence
    acked_boot: Sequence | None = None
    acked_number: Sequence = 0
    reaches_targets: bool | None = None
    service_slots: Any = None
    region_slots: Any = None
    long_config_version: LongNumber = ""


class BriefLoadReport(msgspec.Struct, array_like=True):
    """A load report for instances that know its sender."""

    name_hash: int
    boot: Sequence
    number: Sequence
    loads: dict[int, Count]
    validity_ms: Count = DEFAULT_VALIDITY_MS
    slowness: dict[int, Count] = msgspec.field(default_factory=dict)
    organisations: dict[int, Count] = msgspec.field(default_factory=dict)
    objects: dict[int, int] = msgspec.field(default_factory=dict)


class ChangesMessage(msgspec.Struct, array_like=True):
    """All changes of the store's keys after one revision, up to another of the same era.

    `name` is the sender's; a change is a key, its revision, and its value or None if removed.
    """

    name: str
    era: Sequence
    after: Sequence
    revision: Sequence
    changes: list[tuple[str, Sequence, bytes | None]]


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat with the sender's name and addresses."""
    return HEARTBEAT_TYPE + msgspec.msgpack.encode(heartbeat)


def encode_brief_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat for an instance that knows the sender."""
    demand = {
        organisation: units
        for organisation, per_s in heartbeat.demand.items()
        if (units := round(per_s / _DEMAND_UNIT_PER_S)) > 0
    }
    brief = BriefHeartbeat(
        hash_to_uint32(heartbeat.address.name),
        heartbeat.boot,
        heartbeat.number,
        heartbeat.ready,
        heartbeat.revision,
        demand,
        heartbeat.watching,
        heartbeat.era,
        heartbeat.config_version,
        heartbeat.ack.boot if heartbeat.ack else None,
        heartbeat.ack.number if heartbeat.ack else 0,
        heartbeat.reaches_targets,
        heartbeat.service_slots,
        heartbeat.region_slots,
        heartbeat.long_config_version,
    )
    return BRIEF_HEARTBEAT_TYPE + msgspec.msgpack.encode(brief)


def encode_load_report(report: LoadReport) -> bytes:
    """Encode a load report with the sender's name."""
    return LOAD_REPORT_TYPE + msgspec.msgpack.encode(report)


def encode_brief_load_report(report: LoadReport) -> bytes:
    """Encode a load report for an instance that knows the sender."""
    name_hash = hash_to_uint32(report.name)
    brief = BriefLoadReport(
        name_hash,
        report.boot,
        report.number,
        report.loads,
        report.validity_ms,
        report.slowness,
        report.organisations,
        report.objects,
    )
    return BRIEF_LOAD_REPORT_TYPE + msgspec.msgpack.encode(brief)


def encode_changes(message: ChangesMessage) -> bytes:
    """Encode changes of the store."""
    return CHANGES_TYPE + msgspec.msgpack.encode(message)


def expand_heartbeat(brief: BriefHeartbeat, address: PeerAddress) -> Heartbeat:
    """Return the full form of a brief heartbeat whose sender is known."""
    ack = None if brief.acked_boot is None else DemandAck(brief.acked_boot, brief.acked_number)
    return Heartbeat(
        address,
        brief.boot,
        brief.number,
        brief.ready,
        brief.revision,
        {name: units * _DEMAND_UNIT_PER_S for name, units in brief.demand.items()},
        brief.watching,
        brief.era,
        brief.config_version,
        brief=True,
        ack=ack,
        reaches_targets=brief.reaches_targets,
        service_slots=brief.service_slots,
        region_slots=brief.region_slots,
        long_config_version=brief.long_config_version,
    )


def expand_load_report(brief: BriefLoadReport, address: PeerAddress) -> LoadReport:
    """Return the full form of a brief load report whose sender is known."""
    return LoadReport(
        address.name,
        brief.boot,
        brief.number,
        brief.loads,
        brief.validity_ms,
        brief.slowness,
        brief.organisations,
        brief.objects,
    )


# Each function decodes a datagram without its type byte, and raises `msgspec.DecodeError`. A
# malformed ack acknowledges nothing, and a malformed reach counts as lost links.
decode_heartbeat = TolerantDecoder(Heartbeat, {"ack": DemandAck(), "reaches_targets": False}).decode
decode_brief_heartbeat = TolerantDecoder(
    BriefHeartbeat, {"acked_boot": 0, "acked_number": 0, "reaches_targets": False}
).decode
decode_load_report = TolerantDecoder(LoadReport).decode
decode_brief_load_report = TolerantDecoder(BriefLoadReport).decode
decode_changes = msgspec.msgpack.Decoder(ChangesMessage).decode
