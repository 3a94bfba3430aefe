"""Tests of the lists of peers that an instance keeps between changes of the fleet."""

import random

from msgspec.structs import replace

from waxwingshelf.steering.fleet import Fleet, Heartbeat, PeerAddress
from waxwingshelf.steering.peer_rotation import PeerRotation

PEERS = 30


def make_heartbeat(number: int, beat: int, region: str, link_mbps: float = 0.0) -> Heartbeat:
    address = PeerAddress(f"n{number}", region, "d", "127.0.0.1", 1, 2, "x", link_mbps=link_mbps)
    return Heartbeat(address, 1, beat, True, 1, {}, reaches_targets=True)


def make_fleet() -> Fleet:
    fleet = Fleet("own", 0, "north")
    for number in range(PEERS):
        fleet.record_heartbeat(make_heartbeat(number, 1, "north" if number % 2 else "south"), 0)
    return fleet


def test_recipients_follow_peers_that_change_their_region() -> None:
    fleet = make_fleet()
    fleet.choose_heartbeat_recipients("north", PeerRotation(random.Random(1)))
    for number in range(PEERS):
        fleet.record_heartbeat(make_heartbeat(number, 2, "south" if number % 2 else "north"), 1)
    names = {
        peer.address.name
        for seed in range(20)
        for peer in fleet.choose_heartbeat_recipients("north", PeerRotation(random.Random(seed)))
        if peer.address.region == "north"
    }
    assert names == {f"n{number}" for number in range(0, PEERS, 2)}


def test_version_rises_with_any_change_of_an_address() -> None:
    """Candidate owners of rates are chosen by their links, and connected to by their address."""
    fleet = make_fleet()
    version = fleet.version
    fleet.record_heartbeat(make_heartbeat(1, 2, "north"), 1)
    assert fleet.version == version
    fleet.record_heartbeat(make_heartbeat(1, 3, "north", link_mbps=60.0), 2)
    assert fleet.version > version


def test_peers_are_heard_until_their_heartbeats_are_missing() -> None:
    fleet = make_fleet()
    late = make_heartbeat(1, 2, "north")
    fleet.record_heartbeat(replace(late, number=2), 60_000)
    assert [peer.address.name for peer in fleet.list_heard(60_000)] == ["n1"]
    assert [address.name for address in fleet.list_ready(60_000)] == ["n1"]
