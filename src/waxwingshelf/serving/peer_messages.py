"""Datagrams between instances: full and brief heartbeats, and load reports.

Heartbeats are the largest part of the traffic between regions. A full heartbeat has its sender's
name and addresses; a brief one names its sender by a hash, and only an instance that knows the
sender's process from a full heartbeat can read it. An instance that does not asks for an
introduction, which is a full heartbeat. Instances of earlier builds get full heartbeats and their
form of load reports; see `Heartbeat.brief`.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass

import msgspec

from waxwingshelf.core.hashing import hash_to_uint32
from waxwingshelf.steering.fleet import Heartbeat, LoadReport

__all__ = [
    "BRIEF_HEARTBEAT_TYPE",
    "BRIEF_LOAD_REPORT_TYPE",
    "HEARTBEAT_TYPE",
    "INTRODUCTION_TYPE",
    "LOAD_REPORT_TYPE",
    "BriefHeartbeat",
    "BriefLoadReport",
    "decode_brief_heartbeat",
    "decode_brief_load_report",
    "decode_heartbeat",
    "decode_load_report",
    "encode_brief_heartbeat",
    "encode_brief_load_report",
    "encode_heartbeat",
    "encode_load_report",
]

# The first byte of a datagram is its type; instances ignore the types that they do not know.
HEARTBEAT_TYPE = b"b"
BRIEF_HEARTBEAT_TYPE = b"h"
INTRODUCTION_TYPE = b"i"
LOAD_REPORT_TYPE = b"l"
BRIEF_LOAD_REPORT_TYPE = b"m"
# Demand is rounded to this many requests per second, so that it takes few bytes.
_DEMAND_UNIT_PER_S = 0.1


class BriefHeartbeat(msgspec.Struct, array_like=True):
    """A heartbeat for instances that know its sender; `demand` is in tenths of requests per second.

    `name_hash` and `boot` identify the sender's process.
    """

    name_hash: int
    boot: int
    number: int
    ready: bool
    revision: int
    demand: dict[str, int]
    watching: bool
    era: int
    config_version: int


class BriefLoadReport(msgspec.Struct, array_like=True):
    """A load report for instances that know its sender."""

    name_hash: int
    boot: int
    number: int
    loads: dict[int, int]


_HEARTBEAT_DECODER = msgspec.msgpack.Decoder(Heartbeat)
_BRIEF_HEARTBEAT_DECODER = msgspec.msgpack.Decoder(BriefHeartbeat)
_LOAD_REPORT_DECODER = msgspec.msgpack.Decoder(LoadReport)
_BRIEF_LOAD_REPORT_DECODER = msgspec.msgpack.Decoder(BriefLoadReport)


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
    )
    return BRIEF_HEARTBEAT_TYPE + msgspec.msgpack.encode(brief)
