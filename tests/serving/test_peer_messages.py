"""Brief heartbeats and load reports, and instances that do not know their sender."""

import asyncio

import msgspec
import pytest
from msgspec.structs import replace

from waxwingshelf.core.quantities import split_long_number
from waxwingshelf.serving.peer_messages import (
    HEARTBEAT_TYPE,
    LOAD_REPORT_TYPE,
    decode_brief_heartbeat,
    decode_brief_load_report,
    decode_heartbeat,
    encode_brief_heartbeat,
    encode_brief_load_report,
    encode_heartbeat,
    expand_heartbeat,
    expand_load_report,
)
from waxwingshelf.steering.fleet import Heartbeat, LoadReport, PeerAddress
from waxwingshelf.steering.sent_demand import DemandAck

ADDRESS = PeerAddress(
    "frontend-north-1-1", "north", "north-1", "127.0.0.1", 7740, 8688, "127.0.0.1:8124", 7741, 100.0
)
BOOT = 1_784_540_782_000_000_000
DEMAND = {f"organisation-{number}": 12.3 for number in range(8)}
ACK = DemandAck(BOOT - 1, 1_234)
HEARTBEAT = Heartbeat(
    ADDRESS, BOOT, 9, True, 145, DEMAND, True, 2, 7, brief=True, ack=ACK, reaches_targets=True
)
# With 1,000 instances control may cost an instance 3 KB/s; four heartbeats a second go to 9 peers.
MAX_BRIEF_HEARTBEAT_FRACTION = 0.5


def test_brief_heartbeat_expands_to_the_full_one() -> None:
    body = encode_brief_heartbeat(HEARTBEAT)
    heartbeat = expand_heartbeat(decode_brief_heartbeat(body[1:]), ADDRESS)
    demand = {name: round(per_s, 6) for name, per_s in heartbeat.demand.items()}
    assert demand == DEMAND
    assert heartbeat.address == ADDRESS
    for field in ("boot", "number", "ready", "revision", "watching", "era", "config_version"):
        assert getattr(heartbeat, field) == getattr(HEARTBEAT, field)
    assert heartbeat.ack == ACK
    assert heartbeat.reaches_targets is True
    assert len(body) < len(encode_heartbeat(HEARTBEAT)) * MAX_BRIEF_HEARTBEAT_FRACTION


@pytest.mark.parametrize(("missing_fields", "ack"), [(4, ACK), (6, None)])
def test_brief_heartbeats_of_earlier_builds_are_read(missing_fields, ack) -> None:
    row = msgspec.msgpack.decode(encode_brief_heartbeat(HEARTBEAT)[1:])
    body = msgspec.msgpack.encode(row[:-missing_fields])
    heartbeat = expand_heartbeat(decode_brief_heartbeat(body), ADDRESS)
    assert heartbeat.ack == ack
    assert heartbeat.reaches_targets is None
    assert heartbeat.service_slots is None
    assert heartbeat.region_slots is None


def test_heartbeats_carry_the_demand_in_few_bytes() -> None:
    """Heartbeats are the largest part of the traffic between regions, which is priced."""
    slots = {4_000_000_000: 300, 17: 45, 3_000_000_000: 1_200}
    told = replace(HEARTBEAT, region_slots=slots)
    body = encode_brief_heartbeat(told)
    assert expand_heartbeat(decode_brief_heartbeat(body[1:]), ADDRESS).region_slots == slots
    assert decode_heartbeat(encode_heartbeat(told)[1:]).region_slots == slots
    # At most eight bytes for each service with demand.
    assert len(body) - len(encode_brief_heartbeat(HEARTBEAT)) <= 8 * len(slots)


@pytest.mark.parametrize("value", ["x", 1.5, [1], {"x": 1}])
def test_malformed_demand_leaves_the_rest_of_a_heartbeat(value) -> None:
    row = msgspec.msgpack.decode(encode_brief_heartbeat(HEARTBEAT)[1:])
    row[-2] = value
    body = msgspec.msgpack.encode(row)
    heartbeat = expand_heartbeat(decode_brief_heartbeat(body), ADDRESS)
    assert heartbeat.revision == HEARTBEAT.revision
    full = msgspec.to_builtins(HEARTBEAT) | {"service_slots": value}
    assert decode_heartbeat(msgspec.msgpack.encode(full)).boot == BOOT


@pytest.mark.parametrize("version", [0, 7, 2**63 - 1, 2**63, 2**64, 20261207045959123456, 10**299])
def test_version_of_any_length_reaches_peers(version) -> None:
    """Guards against an encoder that takes no integer over 64 bits, in the task of heartbeats."""
    number, digits = split_long_number(version)
    told = replace(HEARTBEAT, config_version=number, long_config_version=digits)
    full = decode_heartbeat(encode_heartbeat(told)[1:])
    brief = encode_brief_heartbeat(told)[1:]
    expanded = expand_heartbeat(decode_brief_heartbeat(brief), ADDRESS)
    assert full.full_config_version == expanded.full_config_version == version
    # Builds that do not know the last field read all others, and a number that they can send on.
    earlier = msgspec.msgpack.encode(msgspec.msgpack.decode(brief)[:-1])
    assert 0 <= decode_brief_heartbeat(earlier).config_version <= 2**63 - 1


def test_brief_load_report_expands_to_the_full_one() -> None:
    report = LoadReport(ADDRESS.name, BOOT, 3, {4_000_000_000: 2, 17: 1})
    body = encode_brief_load_report(report)
    assert expand_load_report(decode_brief_load_report(body[1:]), ADDRESS) == report


def test_instance_that_does_not_know_a_peer_asks_for_an_introduction(run_scenario) -> None:
    async def scenario(deployment) -> None:
        instances = [await deployment.start_instance(name) for name in ("n0", "n1")]
        for name in ("n0", "n1"):
            await deployment.wait_until_ready(name)
        first, second = instances

        def hears(instance) -> bool:
            return bool(instance._fleet.list_ready(instance._clock.now_ms()))

        await deployment.wait_until(lambda: hears(first) and hears(second))
        peer = second._fleet.list_peers()[0]
        assert peer.brief
        # As if this process had not heard the peer since it started.
        peer.boot, peer.last_heartbeat_ms = 0, None
        assert not hears(second)
        await deployment.wait_until(lambda: hears(second))

    run_scenario(scenario)


def test_peer_of_an_earlier_build_gets_messages_that_it_reads(run_scenario) -> None:
    """A peer whose heartbeats do not say that it reads brief messages gets full ones alone."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=1.0)
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        received: list[bytes] = []

        class Peer(asyncio.DatagramProtocol):
            def datagram_received(self, data, addr) -> None:
                received.append(data)

        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(Peer, local_addr=("127.0.0.1", 0))
        port = transport.get_extra_info("sockname")[1]
        address = PeerAddress("old", "north", "north-1", "127.0.0.1", port, 1, "127.0.0.1:2")
        earlier = {
            "address": msgspec.to_builtins(address),
            "boot": 1,
            "number": 1,
            "ready": True,
            "revision": 1,
            "demand": {},
        }
        own = instance._peer_network.address
        datagram = HEARTBEAT_TYPE + msgspec.msgpack.encode(earlier)
        transport.sendto(datagram, (own.host, own.beat_port))
        # Load reports are sent only while a request is in flight.
        request = asyncio.create_task(deployment.send_request("/read/x"))
        await deployment.wait_until(lambda: len(received) >= 12)
        await request
        transport.close()
        assert {data[:1] for data in received} == {HEARTBEAT_TYPE, LOAD_REPORT_TYPE}

    run_scenario(scenario)


def test_instances_learn_the_demand_of_another_region(run_scenario) -> None:
    """An instance that knows only its own callers cannot tell that another region is short."""

    async def scenario(deployment) -> None:
        first = await deployment.start_instance("n0")
        second = await deployment.start_instance("s0", failure_domain="south-1")
        for name in ("n0", "s0"):
            await deployment.wait_until_ready(name)
        known = second._peer_network.regional_demand

        def record_and_check() -> bool:
            first._dispatch_state.placer.record_request(
                "reads", frozenset(), first._clock.now_ms(), 300.0
            )
            return known.get_demand("reads").get("north", 0.0) > 1.0

        await deployment.wait_until(record_and_check)
        assert known.get_demand("reads").get("south", 0.0) == 0.0

    run_scenario(scenario)
