"""The other instances: who runs, who takes callers, and each one's part of a shared budget.

Liveness comes from heartbeats between the instances; the platform's store only introduces them to
each other and, by the lapse of a lease, confirms that one has gone for good. Silence alone never
moves a dead instance's part of a budget: it may be cut off and still serve.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from waxwingshelf.core.hashing import hash_unit
from waxwingshelf.steering.limits import compute_rate_share

__all__ = ["Fleet", "Heartbeat", "LoadReport", "Peer", "PeerAddress"]

_SILENT_AFTER_MS = 1_200
# A fleet of up to this many peers hears every heartbeat of everyone.
_FULL_MESH = 16
_NEAR_EACH = 8
_FAR_EACH = 1
_WATCHERS_A_REGION = 2
# In a larger fleet a peer nearby is heard every other second or so, one far away seldom.
_SPARSE_SILENT_AFTER_MS = 4_000
_FORGET_DEMAND_AFTER_MS = 3_000
_ISOLATED_AFTER_MS = 2_500
_ISOLATED_PART = 0.8


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where an instance can be reached by its peers and by callers."""

    name: str
    region: str
    failure_domain: str
    host: str
    beat_port: int
    state_port: int
    caller_address: str
    rate_port: int = 0
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat; demand is in requests a second by organisation.

    In a large fleet the demand is left out: owners of rates tell each other. `watching` tells that
    the sender follows the store itself.
    """

    address: PeerAddress
    boot: int
    number: int
    ready: bool
    revision: int
    demand: dict[str, float]
    watching: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The requests that an instance has in flight, by the targets' tokens."""

    name: str
    boot: int
    number: int
    loads: dict[int, int]


@dataclass(slots=True)
class Peer:
    """What is known of one other instance."""

    address: PeerAddress
    boot: int = 0
    number: int = -1
    load_report_number: int = -1
    ready: bool = False
    watching: bool = False
    revision: int = 0
    demand: dict[str, float] = field(default_factory=dict)
    last_heartbeat_ms: int | None = None
    unregistered_at_ms: int | None = None


class Fleet:
    """All known instances but this one."""

    def __init__(self, name: str, now_ms: int, region: str = "") -> None:
        self._name = name
        self._region = region
        self._peers: dict[str, Peer] = {}
        self._started_ms = now_ms
        self.last_store_contact_ms: int | None = None

    def record_heartbeat(self, beat: Heartbeat, now_ms: int) -> bool:
        """Take in a heartbeat; False when it is old or this instance's own."""
        name = beat.address.name
        if name == self._name:
            return False
        peer = self._peers.setdefault(name, Peer(beat.address))
        if (beat.boot, beat.number) <= (peer.boot, peer.number):
            return False
        if beat.boot != peer.boot:
            peer.load_report_number = -1
        peer.address = beat.address
        peer.boot, peer.number = beat.boot, beat.number
        peer.ready, peer.revision = beat.ready, beat.revision
        peer.demand = beat.demand
        peer.watching = beat.watching
        peer.last_heartbeat_ms = now_ms
        return True

    def record_load_report(self, beat: LoadReport) -> bool:
        """Tell whether a load beat of a known peer is news."""
        peer = self._peers.get(beat.name)
        if peer is None or (beat.boot, beat.number) <= (peer.boot, peer.load_report_number):
            return False
        if beat.boot != peer.boot:
            return False
        peer.load_report_number = beat.number
        return True

    def record_registered(self, address: PeerAddress) -> None:
        """Take in an instance that the store names."""
        if address.name == self._name:
            return
        peer = self._peers.setdefault(address.name, Peer(address))
        if peer.last_heartbeat_ms is None:
            peer.address = address
        peer.unregistered_at_ms = None

    def record_unregistered(self, name: str, now_ms: int) -> None:
        """Take in that the store no longer names an instance."""
        peer = self._peers.get(name)
        if peer is not None and peer.unregistered_at_ms is None:
            peer.unregistered_at_ms = now_ms

    def remove_lost(self, now_ms: int) -> list[str]:
        """Drop the instances that are silent and unregistered, and return their names."""
        gone = [
            name
            for name, peer in self._peers.items()
            if not self.has_recent_heartbeat(peer, now_ms)
            and peer.unregistered_at_ms is not None
            and now_ms - peer.unregistered_at_ms >= _FORGET_DEMAND_AFTER_MS
        ]
        for name in gone:
            del self._peers[name]
        return gone

    def has_recent_heartbeat(self, peer: Peer, now_ms: int) -> bool:
        """Tell whether a peer's heartbeats arrive."""
        limit_ms = _SPARSE_SILENT_AFTER_MS if self.is_large() else _SILENT_AFTER_MS
        return peer.last_heartbeat_ms is not None and now_ms - peer.last_heartbeat_ms < limit_ms

    def should_watch_store(self, now_ms: int) -> bool:
        """Tell whether this instance has to follow the store itself.

        In a large fleet the first few of each region do it for the others, who read from them what
        is new; when none of them is heard to, everyone does.
        """
        if not self.is_large():
            return True
        near = [
            peer
            for peer in self._peers.values()
            if peer.address.region == self._region and self.has_recent_heartbeat(peer, now_ms)
        ]
        names = [self._name, *(peer.address.name for peer in near)]
        names.sort(key=lambda name: hash_unit("store watch", name))
        if self._name in names[:_WATCHERS_A_REGION]:
            return True
        return not any(peer.watching for peer in near)

    def list_in_region(self, region: str) -> list[PeerAddress]:
        """Return the known peers of a region."""
        return [peer.address for peer in self._peers.values() if peer.address.region == region]

    def list_regions(self) -> set[str]:
        """Return the regions that have instances, this one's included."""
        return {self._region, *(peer.address.region for peer in self._peers.values())}

    def find_address(self, name: str) -> PeerAddress | None:
        """Return where a peer is, None when it is not known."""
        peer = self._peers.get(name)
        return peer.address if peer is not None else None

    def is_available(self, name: str, now_ms: int) -> bool:
        """Tell whether a peer is ready and heard."""
        peer = self._peers.get(name)
        return peer is not None and peer.ready and self.has_recent_heartbeat(peer, now_ms)

    def is_large(self) -> bool:
        """Tell whether not everyone hears every heartbeat."""
        return len(self._peers) > _FULL_MESH

    def choose_heartbeat_recipients(self, region: str, rng: random.Random) -> list[Peer]:
        """Return the peers that the next heartbeat goes to.

        All of them in a small fleet; in a large one some of the own region, whose callers depend
        on each other, and few of the others, so that the bytes grow with the fleet and no faster.
        """
        peers = list(self._peers.values())
        if not self.is_large():
            return peers
        near = [peer for peer in peers if peer.address.region == region]
        far = [peer for peer in peers if peer.address.region != region]
        chosen = rng.sample(near, min(_NEAR_EACH, len(near)))
        return chosen + rng.sample(far, min(_FAR_EACH, len(far)))

    def list_peers(self) -> list[Peer]:
        """Return all known peers."""
        return list(self._peers.values())

    def list_ready(self, now_ms: int) -> list[PeerAddress]:
        """Return the peers that callers may be sent to."""
        peers = self._peers.values()
        return [
            peer.address for peer in peers if peer.ready and self.has_recent_heartbeat(peer, now_ms)
        ]

    def list_instance_names(self) -> list[str]:
        """Return every instance that may be running, this one included."""
        return [self._name, *self._peers]

    def count_instances(self) -> int:
        """Return how many instances may be running, this one included."""
        return len(self._peers) + 1

    def is_isolated(self, now_ms: int) -> bool:
        """Tell whether others may have confirmed, wrongly, that this instance is gone."""
        heard = sum(self.has_recent_heartbeat(peer, now_ms) for peer in self._peers.values())
        if heard * 2 >= len(self._peers):
            return False
        seen_ms = (
            self.last_store_contact_ms
            if self.last_store_contact_ms is not None
            else self._started_ms
        )
        return now_ms - seen_ms > _ISOLATED_AFTER_MS

    def compute_share(
        self, organisation: str, own_demand: float, rate: float, now_ms: int
    ) -> float:
        """Return this instance's part of an organisation's rate in a small fleet, between 0 and 1.

        The parts of all instances follow their demand and sum to 1 when all know the same. A
        silent peer's last demand stays counted until the store confirms that it is gone.
        """
        known = sum(peer.demand.get(organisation, 0.0) for peer in self._peers.values())
        equal = 1.0 / self.count_instances()
        share = compute_rate_share(own_demand, known + own_demand, rate, equal)
        return share * _ISOLATED_PART if self.is_isolated(now_ms) else share
