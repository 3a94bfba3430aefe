"""Membership of the fleet: known peers, their readiness, and shares of the organisations' rates.

Instances detect each other's liveness by heartbeats. The platform's store only makes instances
known to each other and, when a lease expires, confirms that an instance has stopped. Missing
heartbeats alone never free a peer's share of a rate, because a partitioned peer may still serve
requests.
"""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Collection

import msgspec

from waxwingshelf.core.hashing import hash_to_uint32, hash_to_unit_interval
from waxwingshelf.steering.limits import compute_rate_share
from waxwingshelf.steering.mirror import Position
from waxwingshelf.steering.peer_reports import Heartbeat, LoadReport, Peer, PeerAddress
from waxwingshelf.steering.peer_rotation import PeerRotation
from waxwingshelf.steering.sent_demand import DemandAck, SentDemand
from waxwingshelf.steering.settling import Settling
from waxwingshelf.steering.silent_peers import SilentPeerCap

__all__ = ["Fleet", "Heartbeat", "LoadReport", "Peer", "PeerAddress", "PeerDemand"]

_HEARTBEAT_TIMEOUT_MS = 1_200
# With up to this many peers, every instance sends each heartbeat to all peers.
_MAX_FULL_MESH_PEERS = 16
_SAME_REGION_RECIPIENTS = 8
_OTHER_REGION_RECIPIENTS = 1
_STORE_WATCHERS_PER_REGION = 2
_MAX_CACHED_HASHES = 4_096
# In a larger fleet, heartbeats from a peer in the same region arrive about every other second, and
# from a peer in another region rarely.
_SPARSE_HEARTBEAT_TIMEOUT_MS = 4_000
_REMOVAL_DELAY_MS = 3_000
_ISOLATION_TIMEOUT_MS = 2_500
_ISOLATED_SHARE_FACTOR = 0.8
# A peer is silent after this time without a heartbeat, two or three heartbeat intervals. It is
# shorter than the heartbeat timeout, since a silent peer only stops the growth of shares.
_SILENT_AFTER_MS = 600
# The store drops the registration of an isolated instance after the time to live of its lease, and
# peers take over its share after a further `_REMOVAL_DELAY_MS`. The share ends before that.
_SHARE_EXPIRY_MS = 8_000
_EXPIRED_SHARE_FACTOR = 0.1


class PeerDemand(msgspec.Struct, frozen=True):
    """What is known of the peers' demand for one organisation's rate.

    `per_s` is the sum of the peers' last reports; `oldest_ms` is the age of the oldest of them.
    """

    per_s: float
    oldest_ms: int
    silent_peers: int


class Fleet:
    """All known instances except this one.

    `version` rises with each change of the instances or their addresses. There are at least
    `min_instances`, this one included, as far as the settings tell.
    """

    def __init__(self, name: str, now_ms: int, region: str = "", min_instances: int = 1) -> None:
        self._name = name
        self._region = region
        self._peers: dict[str, Peer] = {}
        # By hash of the name, and boot.
        self._peers_by_boot: dict[tuple[int, int], Peer] = {}
        # None after a change of the peers or their addresses.
        self._regions: set[str] | None = None
        # The peers in a region and the others; empty after a change.
        self._divided_peers: dict[str, tuple[list[Peer], list[Peer]]] = {}
        self.version = 0
        self._started_ms = now_ms
        self._silent_peer_caps: dict[str, SilentPeerCap] = {}
        self._sent_demand = SentDemand()
        self._rng = random.Random(name)
        self.settling = Settling(min_instances)
        self.last_store_contact_ms: int | None = None

    def record_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Apply a heartbeat; return False if it is outdated or this instance's own.

        The time of day may have jumped back between two starts of a peer. Its new boot is then
        lower than the last one, and counts once the peer has been silent.
        """
        name = heartbeat.address.name
        if name == self._name:
            return False
        is_known = name in self._peers
        peer = self._peers.setdefault(name, Peer(heartbeat.address))
        is_older = (heartbeat.boot, heartbeat.number) <= (peer.boot, peer.number)
        is_restarted = heartbeat.boot < peer.boot and not self.has_recent_heartbeat(peer, now_ms)
        if is_older and not is_restarted:
            return False
        if heartbeat.boot != peer.boot:
            name_hash = hash_to_uint32(name)
            self._peers_by_boot.pop((name_hash, peer.boot), None)
            self._peers_by_boot[name_hash, heartbeat.boot] = peer
            peer.load_report_number = -1
            peer.heard_since = self._sent_demand.last_number
        if not is_known or heartbeat.address != peer.address:
            self._record_change()
        peer.address = heartbeat.address
        peer.boot, peer.number = heartbeat.boot, heartbeat.number
        peer.ready = heartbeat.ready
        peer.position = Position(heartbeat.era, heartbeat.revision)
        peer.config_version = heartbeat.full_config_version
        peer.demand = heartbeat.demand
        peer.watching = heartbeat.watching
        peer.brief = heartbeat.brief
        peer.ack = heartbeat.ack
        peer.reaches_targets = heartbeat.reaches_targets
        peer.last_heartbeat_ms = now_ms
        return True

    def record_sent_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Record the demand of a heartbeat of this instance before it is sent."""
        self._sent_demand.record(heartbeat.boot, heartbeat.number, heartbeat.demand, now_ms)

    def record_demand_used(self) -> None:
        """Record that all shares were computed from the peers' last reported demand."""
        for peer in self._peers.values():
            peer.used = DemandAck(peer.boot, peer.number)

    def find_by_boot(self, name_hash: int, boot: int) -> PeerAddress | None:
        """Return the address of the peer with this hash of its name, if its boot is known."""
        peer = self._peers_by_boot.get((name_hash, boot))
        return peer.address if peer is not None else None

    def record_load_report(self, report: LoadReport) -> bool:
        """Record a load report's number; return False if the report must be ignored.

        That is the case if it is outdated or its sender's process is not known from a heartbeat.
        """
        peer = self._peers.get(report.name)
        if peer is None or (report.boot, report.number) <= (peer.boot, peer.load_report_number):
            return False
        if report.boot != peer.boot:
            return False
        peer.load_report_number = report.number
        return True

    def record_registered(self, address: PeerAddress) -> None:
        """Add an instance that is registered in the store."""
        if address.name == self._name:
            return
        peer = self._peers.setdefault(address.name, Peer(address))
        self._record_change()
        if peer.last_heartbeat_ms is None:
            peer.address = address
        peer.unregistered_at_ms = None

    def record_listed(self, address: PeerAddress, now_ms: int) -> None:
        """Add an instance that may be running, as its entry in the member list tells.

        It counts as one whose registration has just ended.
        """
        if address.name == self._name or address.name in self._peers:
            return
        self._peers[address.name] = Peer(address, unregistered_at_ms=now_ms)
        self._record_change()

    def record_unregistered(self, name: str, now_ms: int) -> None:
        """Record that an instance is no longer registered in the store."""
        peer = self._peers.get(name)
        if peer is not None and peer.unregistered_at_ms is None:
            peer.unregistered_at_ms = now_ms

    def remove_lost(self, now_ms: int) -> list[str]:
        """Remove the instances that have stopped, and return their names.

        These are the instances without a recent heartbeat whose registration ended some time ago.
        """
        has_unheard = any(peer.last_heartbeat_ms is None for peer in self._peers.values())
        self.settling.update(len(self._peers) + 1, has_unheard, now_ms)
        lost = [
            name
            for name, peer in self._peers.items()
            if peer.unregistered_at_ms is not None
            and now_ms - peer.unregistered_at_ms >= _REMOVAL_DELAY_MS
            and not self.has_recent_heartbeat(peer, now_ms)
        ]
        if lost:
            self._record_change()
        for name in lost:
            peer = self._peers.pop(name)
            self._peers_by_boot.pop((hash_to_uint32(name), peer.boot), None)
        return lost

    def has_recent_heartbeat(self, peer: Peer, now_ms: int) -> bool:
        """Return whether a peer's last heartbeat is recent."""
        if peer.last_heartbeat_ms is None:
            return False
        return now_ms - peer.last_heartbeat_ms < self._get_heartbeat_timeout_ms()

    def list_heard(self, now_ms: int) -> list[Peer]:
        """Return the peers whose last heartbeat is recent."""
        since_ms = now_ms - self._get_heartbeat_timeout_ms()
        return [
            peer
            for peer in self._peers.values()
            if peer.last_heartbeat_ms is not None and peer.last_heartbeat_ms > since_ms
        ]

    def should_watch_store(self, now_ms: int) -> bool:
        """Return whether this instance has to watch the store itself.

        In a large fleet, the first few instances of each region in hash order watch the store, and
        the other instances of the region read the changes from them. An instance also watches if no
        responsive peer in its region does.
        """
        if not self.is_large():
            return True
        same_region = [
            peer for peer in self.list_heard(now_ms) if peer.address.region == self._region
        ]
        own_hash = _hash_watcher(self._name)
        preceding = sum(_hash_watcher(peer.address.name) < own_hash for peer in same_region)
        if preceding < _STORE_WATCHERS_PER_REGION:
            return True
        return not any(peer.watching for peer in same_region)

    def list_in_region(self, region: str) -> list[PeerAddress]:
        """Return the addresses of the known peers in a region."""
        return [peer.address for peer in self._peers.values() if peer.address.region == region]

    def list_region_peers(self) -> list[Peer]:
        """Return the known peers in this instance's region."""
        return self._divide_peers(self._region)[0]

    def list_regions(self) -> Collection[str]:
        """Return this instance's region and the regions of all known peers."""
        if self._regions is None:
            self._regions = {self._region, *(peer.address.region for peer in self._peers.values())}
        return self._regions

    def count_by_region(self) -> dict[str, int]:
        """Return the number of instances in each region that may be running, with this one."""
        counts = {self._region: 1}
        for peer in self._peers.values():
            region = peer.address.region
            counts[region] = counts.get(region, 0) + 1
        return counts

    def find_address(self, name: str) -> PeerAddress | None:
        """Return the address of a peer, or None if the peer is unknown."""
        peer = self._peers.get(name)
        return peer.address if peer is not None else None

    def is_available(self, name: str, now_ms: int) -> bool:
        """Return whether a peer is ready and its last heartbeat is recent."""
        peer = self._peers.get(name)
        return peer is not None and peer.ready and self.has_recent_heartbeat(peer, now_ms)

    def may_be_available(self, name: str, now_ms: int) -> bool:
        """Return whether a peer is available, or may be as this instance has just started."""
        if self.is_available(name, now_ms):
            return True
        peer = self._peers.get(name)
        is_unheard = peer is not None and peer.last_heartbeat_ms is None
        return is_unheard and self.settling.is_in_progress

    def is_large(self) -> bool:
        """Return whether the fleet is so large that heartbeats go only to a sample of the peers."""
        return len(self._peers) > _MAX_FULL_MESH_PEERS

    def choose_heartbeat_recipients(self, region: str, rotation: PeerRotation) -> list[Peer]:
        """Return the peers to send the next heartbeat to.

        In a small fleet these are all peers. In a large fleet they are some of `region` in turn,
        whose instances share their callers, and a random one of the others. Their number is fixed,
        so that the heartbeat traffic of the fleet grows only linearly with the number of instances.
        """
        if not self.is_large():
            return list(self._peers.values())
        same_region, other_regions = self._divide_peers(region)
        near = rotation.take(same_region, _SAME_REGION_RECIPIENTS)
        return near + rotation.sample(other_regions, _OTHER_REGION_RECIPIENTS)

    def _divide_peers(self, region: str) -> tuple[list[Peer], list[Peer]]:
        """Return the peers in a region and the others."""
        divided = self._divided_peers.get(region)
        if divided is None:
            peers = self._peers.values()
            divided = self._divided_peers[region] = (
                [peer for peer in peers if peer.address.region == region],
                [peer for peer in peers if peer.address.region != region],
            )
        return divided

    def list_peers(self) -> list[Peer]:
        """Return all known peers, whether or not they are alive."""
        return list(self._peers.values())

    def list_ready(self, now_ms: int) -> list[PeerAddress]:
        """Return the addresses of the peers that are ready and have a recent heartbeat."""
        return [peer.address for peer in self.list_heard(now_ms) if peer.ready]

    def list_without_targets(self) -> set[str]:
        """Return the names of the peers that have lost their links to the targets."""
        return {name for name, peer in self._peers.items() if peer.reaches_targets is False}

    def choose_relay(
        self, allowed_regions: Collection[str], excluded: Collection[str], now_ms: int
    ) -> PeerAddress | None:
        """Return a peer that can send to targets for this instance, or None if there is none.

        Peers in this instance's region are preferred. An empty `allowed_regions` allows all.
        """
        candidates = [
            peer.address
            for name, peer in self._peers.items()
            if peer.ready
            and peer.reaches_targets
            and name not in excluded
            and (not allowed_regions or peer.address.region in allowed_regions)
            and self.has_recent_heartbeat(peer, now_ms)
        ]
        same_region = [address for address in candidates if address.region == self._region]
        return self._rng.choice(same_region or candidates) if candidates else None

    def list_instance_names(self) -> list[str]:
        """Return the names of all instances that may be running, including this one."""
        return [self._name, *self._peers]

    def count_instances(self) -> int:
        """Return the number of instances that may be running, including this one."""
        return max(len(self._peers) + 1, self.settling.min_instances)

    def is_isolated(self, now_ms: int) -> bool:
        """Return whether peers may have wrongly concluded that this instance has stopped.

        That is possible after a loss of contact with both the store and most peers.
        """
        return (
            not self._hears_most_peers(now_ms)
            and self._compute_store_silence_ms(now_ms) > _ISOLATION_TIMEOUT_MS
        )

    def compute_share(
        self, organisation: str, own_demand: float, rate: float, now_ms: int
    ) -> float:
        """Return this instance's share of an organisation's rate in a small fleet, from 0 to 1.

        The shares of the instances follow their demand; see `compute_rate_share`. The last demand
        of an unresponsive peer counts until the store confirms that the peer has stopped, and until
        then the shares of the others do not grow; see `SilentPeerCap`. A share grows only with
        demand that heartbeats have reported to the peers. An isolated instance reduces its share;
        see `is_isolated`. An instance that has just started takes at most an equal share; see
        `Settling`.
        """
        is_settling = self.settling.is_in_progress
        if not self._peers and not is_settling:
            return 1.0
        demand = {name: peer.demand.get(organisation, 0.0) for name, peer in self._peers.items()}
        demand[self._name] = own_demand
        silent_since_ms = self._list_silent_peers(now_ms)
        cap = self._silent_peer_caps.setdefault(organisation, SilentPeerCap())
        part = cap.update(demand, silent_since_ms, now_ms)
        used_numbers = self._list_used_numbers(silent_since_ms, now_ms)
        acked_demand = min(
            own_demand, self._sent_demand.find_lowest_since(organisation, used_numbers)
        )
        # Of its own demand, an instance counts the same on both sides of the division.
        unacked_demand = own_demand - acked_demand
        total_demand = sum(demand.values()) - unacked_demand
        if part < 1.0:
            heard = sum(value for name, value in demand.items() if name not in silent_since_ms)
            group_demand = (heard - unacked_demand) / part if part > 0 else math.inf
            total_demand = max(total_demand, group_demand)
        equal_share = 1.0 / self.count_instances()
        proportional_share = acked_demand / total_demand if total_demand > 0 else equal_share
        share = compute_rate_share(
            proportional_share, total_demand + unacked_demand, rate, equal_share
        )
        if is_settling:
            share = min(share, equal_share)
        return share * self._compute_isolation_factor(now_ms)

    def describe_peer_demand(self, organisation: str, now_ms: int) -> PeerDemand:
        """Return the inputs from peers to this instance's share of an organisation's rate."""
        ages = [
            now_ms - peer.last_heartbeat_ms
            for peer in self._peers.values()
            if peer.last_heartbeat_ms is not None
        ]
        return PeerDemand(
            sum(peer.demand.get(organisation, 0.0) for peer in self._peers.values()),
            max(ages, default=0),
            len(self._list_silent_peers(now_ms)),
        )

    def forget_organisations(self, known: Collection[str]) -> None:
        """Drop the demand history of organisations that are no longer known."""
        for organisation in self._silent_peer_caps.keys() - set(known):
            del self._silent_peer_caps[organisation]

    def _get_heartbeat_timeout_ms(self) -> int:
        return _SPARSE_HEARTBEAT_TIMEOUT_MS if self.is_large() else _HEARTBEAT_TIMEOUT_MS

    def _record_change(self) -> None:
        self._regions = None
        self._divided_peers.clear()
        self.version += 1

    def _list_silent_peers(self, now_ms: int) -> dict[str, int]:
        """Return the time of the last heartbeat of each silent peer."""
        return {
            name: peer.last_heartbeat_ms
            for name, peer in self._peers.items()
            if peer.last_heartbeat_ms is not None
            and now_ms - peer.last_heartbeat_ms >= _SILENT_AFTER_MS
        }

    def _list_used_numbers(self, silent: Collection[str], now_ms: int) -> list[int]:
        """Return, for each peer that is heard, the last heartbeat of this instance that it uses."""
        return [
            self._sent_demand.find_used_number(peer.ack, peer.heard_since, now_ms)
            for name, peer in self._peers.items()
            if peer.last_heartbeat_ms is not None and name not in silent
        ]

    def _hears_most_peers(self, now_ms: int) -> bool:
        return len(self.list_heard(now_ms)) * 2 >= len(self._peers)

    def _compute_store_silence_ms(self, now_ms: int) -> int:
        last_contact_ms = self.last_store_contact_ms
        return now_ms - (self._started_ms if last_contact_ms is None else last_contact_ms)

    def _compute_isolation_factor(self, now_ms: int) -> float:
        if not self.is_isolated(now_ms):
            return 1.0
        expired = self._compute_store_silence_ms(now_ms) >= _SHARE_EXPIRY_MS
        return _EXPIRED_SHARE_FACTOR if expired else _ISOLATED_SHARE_FACTOR


@functools.lru_cache(maxsize=_MAX_CACHED_HASHES)
def _hash_watcher(name: str) -> float:
    return hash_to_unit_interval("store watch", name)
