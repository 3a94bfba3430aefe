"""Turns of peers among the recipients of heartbeats."""

import random

import pytest

from waxwingshelf.steering.fleet import Fleet, Heartbeat, PeerAddress
from waxwingshelf.steering.peer_rotation import PeerRotation

INTERVAL_MS = 250
REGIONS = ("north", "south", "west")


def make_address(name: str) -> PeerAddress:
    return PeerAddress(name, "north", "north-1", "127.0.0.1", 1, 2, "x")


@pytest.mark.parametrize("instances", [8, 76, 195, 300])
def test_live_instances_of_a_region_never_seem_to_be_gone(instances) -> None:
    """With random recipients, a tenth of the region's live instances went unheard at any time.

    A rate then had several owners, and the directory and relays left these instances out.
    """
    names = [f"n{number}" for number in range(max(2, instances // len(REGIONS)))]
    elsewhere = [f"far{number}" for number in range(instances - len(names))]
    rng = random.Random(instances)
    fleets = {name: Fleet(name, 0, "north") for name in names}
    rotations = {name: PeerRotation(rng) for name in names}
    for fleet in fleets.values():
        for name in names:
            fleet.record_registered(make_address(name))
        for name in elsewhere:
            fleet.record_registered(PeerAddress(name, "south", "d", "127.0.0.1", 1, 2, "x"))
    for number in range(1, 120):
        now_ms = number * INTERVAL_MS
        for name in rng.sample(names, len(names)):
            heartbeat = Heartbeat(make_address(name), 1, number, True, 1, {})
            for peer in fleets[name].choose_heartbeat_recipients("north", rotations[name]):
                if peer.address.name in fleets:
                    fleets[peer.address.name].record_heartbeat(heartbeat, now_ms)
        if now_ms > 5_000:
            heard = [len(fleet.list_heard(now_ms)) for fleet in fleets.values()]
            assert min(heard) == len(names) - 1


def test_each_peer_has_its_turn_before_any_has_a_second() -> None:
    peers = [make_peer(number) for number in range(20)]
    rotation = PeerRotation(random.Random(1))
    taken = [peer.address.name for _ in range(5) for peer in rotation.take(peers, 4)]
    assert sorted(taken) == sorted(peer.address.name for peer in peers)
    assert [peer.address.name for peer in rotation.take(peers, 4)] == taken[:4]


def test_turns_go_on_when_peers_come_and_go() -> None:
    peers = [make_peer(number) for number in range(20)]
    rotation = PeerRotation(random.Random(1))
    first = {peer.address.name for peer in rotation.take(peers, 8)}
    remaining = [peer for peer in peers if peer.address.name != "n3"] + [make_peer(20)]
    later = {peer.address.name for _ in range(2) for peer in rotation.take(remaining, 8)}
    assert {f"n{number}" for number in range(20)} - first - {"n3"} <= later
    assert "n3" not in later
    assert "n20" in {peer.address.name for _ in range(3) for peer in rotation.take(remaining, 8)}


def test_few_peers_all_get_a_message() -> None:
    peers = [make_peer(number) for number in range(3)]
    assert len(PeerRotation(random.Random(1)).take(peers, 8)) == 3


def make_peer(number: int):
    fleet = Fleet("own", 0, "north")
    fleet.record_registered(make_address(f"n{number}"))
    return fleet.list_peers()[0]
