"""No value of any kind from outside raises an unexpected error or ends an instance."""

import asyncio
import json
import socket
from typing import Any

import msgspec
import pytest
import uvloop
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.platform.test_unknown_values import CONFIG as WHOLE_CONFIG
from tests.platform.test_unknown_values import MEMBER, QUARANTINE_ENTRY, SERVER
from tests.serving.conftest import CONFIG, HOST, Deployment
from tests.serving.outside_values import draw_changed, draw_struct, list_changed
from tests.serving.test_opaque_bytes import fetch
from waxwingshelf.core.clock import ManualClock
from waxwingshelf.platform import documents
from waxwingshelf.platform.documents import (
    DecodeError,
    decode_config,
    decode_member,
    decode_quarantine,
    decode_target,
    make_listed_member_key,
    make_member_key,
    make_quarantine_key,
    make_target_key,
)
from waxwingshelf.platform.names import CONFIG_KEY
from waxwingshelf.serving import crash_messages, object_announcements, peer_messages
from waxwingshelf.serving.failures import Failures
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.fleet import Fleet, Heartbeat, LoadReport, PeerAddress
from waxwingshelf.steering.mirror import Change, Position
from waxwingshelf.steering.owners import OwnerReport
from waxwingshelf.steering.quarantine import Quarantine

# The same examples each time, so that CI gives the same verdict.
FIXED = settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
WORK_CONFIG = {**WHOLE_CONFIG, "clusters": CONFIG["clusters"], "listeners": CONFIG["listeners"]}
WORK_TARGET = {**SERVER, "information": {**SERVER["information"], "service": "work"}}
# A valid document of each kind, its type, and the beginning of its key.
EXAMPLES: dict[str, tuple[Any, type[msgspec.Struct], str]] = {
    "config": (WORK_CONFIG, documents._Config, CONFIG_KEY),
    "target": (WORK_TARGET, documents._Server, make_target_key("drawn")),
    "member": (MEMBER, PeerAddress, make_member_key("drawn")),
    "listed member": (MEMBER, PeerAddress, make_listed_member_key("drawn")),
    "quarantine": (QUARANTINE_ENTRY, Quarantine, make_quarantine_key("f" * 16)),
}
DECODERS = {
    "config": decode_config,
    "target": lambda value: decode_target("t", value),
    "member": decode_member,
    "listed member": decode_member,
    "quarantine": decode_quarantine,
}
HEARTBEAT = msgspec.to_builtins(
    Heartbeat(msgspec.convert(MEMBER, PeerAddress), 1, 1, True, 1, {"acme": 1.0})
)
# The type byte of each datagram, and what it holds.
DATAGRAMS: dict[bytes, st.SearchStrategy[Any]] = {
    peer_messages.HEARTBEAT_TYPE: draw_changed(HEARTBEAT, Heartbeat),
    peer_messages.BRIEF_HEARTBEAT_TYPE: draw_struct(peer_messages.BriefHeartbeat),
    peer_messages.LOAD_REPORT_TYPE: draw_struct(LoadReport),
    peer_messages.BRIEF_LOAD_REPORT_TYPE: draw_struct(peer_messages.BriefLoadReport),
    peer_messages.CHANGES_TYPE: draw_struct(peer_messages.ChangesMessage),
    crash_messages.CRASH_TYPE: draw_struct(crash_messages.CrashMessage),
    crash_messages.ANSWER_TYPE: draw_struct(crash_messages.AnswerMessage),
    crash_messages.SUSPECT_TYPE: draw_struct(crash_messages.SuspectMessage),
    crash_messages.QUARANTINE_TYPE: draw_struct(crash_messages.QuarantineMessage),
    object_announcements.OBJECT_TYPE: draw_struct(object_announcements.ObjectSent),
    b"r": draw_struct(OwnerReport),
}
_ARRAYS = (b"h", b"m", b"c", b"x", b"a", b"s", b"q", b"o")
HEADER_VALUES = st.binary(max_size=30).filter(lambda value: not set(value) & {0, 10, 13})
LAST_VERSION = "r" + "9" * 300


def encode(document: Any) -> bytes:
    return json.dumps(document).encode()


@pytest.mark.parametrize("kind", EXAMPLES)
@settings(FIXED, max_examples=150)
@given(data=st.data())
def test_document_is_used_or_rejected(kind, data) -> None:
    """Guards against a value that raises where it is read, or where it is used first."""
    example, wanted, key = EXAMPLES[kind]
    value = encode(data.draw(draw_changed(example, wanted)))
    try:
        DECODERS[kind](value)
    except DecodeError as error:
        assert len(str(error)) <= 200
    failures = Failures(ManualClock())
    state = RoutingState(ManualClock(), Fleet("n0", 0, "north"), failures)
    state.replace([Change(key, 1, value)], Position(1, 1), "store")
    state.expire_held()
    assert failures.list_failing() == []


def pack(message_type: bytes, drawn: Any) -> bytes | None:
    """Return a datagram, or None if its encoder cannot write what was drawn."""
    if message_type in _ARRAYS and isinstance(drawn, dict):
        drawn = list(drawn.values())
    try:
        return message_type + msgspec.msgpack.encode(drawn)
    except (ValueError, OverflowError):
        return None


async def check_serving(deployment: Deployment) -> None:
    """Check that an instance has had no unexpected error and serves under a new configuration."""
    for key in list(deployment.store.items):
        if "drawn" in key:
            deployment.store.delete(key)
    deployment.store.put(CONFIG_KEY, {**CONFIG, "version": LAST_VERSION})

    async def is_served() -> bool:
        response = await deployment.send_request("/order/x", method="POST")
        assert response.status != 500
        return response.status == 200

    await deployment.wait_until(is_served)
    for instance in deployment.instances.values():
        assert instance._failures.list_failing() == []
    assert not any(task.done() for task in deployment.tasks)


async def start(deployment: Deployment) -> None:
    await deployment.add_target("t0")
    await deployment.add_target("t1")
    deployment.register("t1", failure_domain="south-1")
    await deployment.start_instance("n0")
    await deployment.start_instance("n1", failure_domain="south-1")
    for name in ("n0", "n1"):
        await deployment.wait_until_ready(name)


@pytest.mark.parametrize("kind", EXAMPLES)
def test_instance_serves_whatever_another_writer_puts(run_scenario, kind) -> None:
    """Guards against a field whose value ends the task that uses it, after it was read.

    All documents that have one extreme value in one field are there at the same time.
    """
    example, wanted, key = EXAMPLES[kind]
    drawn = list_changed(example, wanted)

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        for number, document in enumerate(drawn):
            name = key if kind == "config" else f"{key}-{number}"
            deployment.store.put(name, document)
            if kind == "config":
                await asyncio.sleep(0.002)
        for _ in range(20):
            await deployment.send_request("/read/x")
            await asyncio.sleep(0.05)
        await check_serving(deployment)

    run_scenario(scenario, uvloop.run)


def test_instance_serves_whatever_a_heartbeat_tells(run_scenario) -> None:
    """Guards against a field of a peer that ends the tasks that send to it or share with it."""
    drawn = list_changed(HEARTBEAT, Heartbeat)

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for document in drawn:
                datagram = pack(peer_messages.HEARTBEAT_TYPE, document)
                for network in deployment.settings.values():
                    sender.sendto(datagram or b"b", (HOST, network.peer_ports[0]))
                await asyncio.sleep(0.002)
        await asyncio.sleep(0.3)
        await check_serving(deployment)

    run_scenario(scenario, uvloop.run)


@settings(FIXED, max_examples=5)
@given(data=st.data())
def test_instance_serves_whatever_a_datagram_holds(run_scenario, data) -> None:
    """Guards against a message that ends the task that uses it, some time after it was read."""
    drawn = [
        pack(message_type, data.draw(strategy))
        for _ in range(20)
        for message_type, strategy in DATAGRAMS.items()
    ]

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for datagram in filter(None, drawn):
                for network in deployment.settings.values():
                    sender.sendto(datagram, (HOST, network.peer_ports[0]))
        await asyncio.sleep(0.6)
        await check_serving(deployment)

    run_scenario(scenario, uvloop.run)


@settings(FIXED, max_examples=5)
@given(data=st.data())
def test_instance_serves_whatever_heads_hold(run_scenario, data) -> None:
    """Guards against a head that gets 500, or ends the process while requests wait."""
    names = st.sampled_from(
        ["Attempt-Id", "Affinity-Key", "Host", "Credential", "Deadline-Ms", "X"]
    )
    drawn = [data.draw(st.dictionaries(names, HEADER_VALUES, max_size=4)) for _ in range(30)]

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        target = deployment.targets["t0"]
        target.work_s, target.slots, target.queue_length = 0.02, 2, 2
        calls = [fetch(deployment, b"POST", b"/order/x", **headers) for headers in drawn]
        statuses = [status for status, _ in await asyncio.gather(*calls)]
        assert 500 not in statuses
        await check_serving(deployment)

    run_scenario(scenario, uvloop.run)
