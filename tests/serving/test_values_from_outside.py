"""A value from outside costs its own entry, message or request, and never ends an instance."""

import asyncio
import json
import socket
from typing import Any

import msgspec
import pytest
import uvloop

from tests.serving.conftest import CONFIG, HOST, Deployment
from waxwingshelf.platform.documents import make_listed_member_key, make_member_key
from waxwingshelf.serving.peer_messages import HEARTBEAT_TYPE

# Longer than the periods of the tasks that use what an instance has read.
_OBSERVATION_S = 0.8
_CALL_INTERVAL_S = 0.1


async def start_fleet(deployment: Deployment, instances: int = 1) -> None:
    """Start instances in turn in both regions, and a target in each."""
    await deployment.add_target("t0")
    await deployment.add_target("t1")
    deployment.register("t1", failure_domain="south-1")
    for number in range(instances):
        domain = ("north-1", "south-1")[number % 2]
        await deployment.start_instance(f"n{number}", failure_domain=domain)
    for number in range(instances):
        await deployment.wait_until_ready(f"n{number}")


async def check_serving(deployment: Deployment) -> None:
    """Send requests to all instances for a while: each is answered, and no instance ends."""
    runs = [task for task in deployment.tasks if task.get_coro().__name__ == "run"][1:]
    assert len(runs) == len(deployment.instances)
    for _ in range(round(_OBSERVATION_S / _CALL_INTERVAL_S)):
        for name in deployment.instances:
            for method, path in (("GET", "/read/x"), ("POST", "/order/x")):
                response = await deployment.send_request(path, name, method)
                assert response.status == 200
        await asyncio.sleep(_CALL_INTERVAL_S)
    assert not any(run.done() for run in runs)


def encode(document: Any) -> bytes:
    return json.dumps(document).encode()


def build_entry(port: int, **information: Any) -> dict[str, Any]:
    return {
        "address": f"{HOST}:{port}",
        "information": {"service": "work", "zone": "north-1", "slots": 4, **information},
        "status": {"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
    }


@pytest.mark.parametrize(
    "slots", [2**63 - 1, 2**64 - 1, pytest.param(10**400, id="longer than any float")]
)
def test_entry_with_impossible_slots_ends_no_instance(run_scenario, slots) -> None:
    """Guards against a division by zero over a target's slots, which ended a region's instances."""

    async def scenario(deployment: Deployment) -> None:
        await start_fleet(deployment, 2)
        port = deployment.targets["t0"].port
        deployment.store.put("servers/other-writer", build_entry(port, slots=slots))
        await check_serving(deployment)

    run_scenario(scenario)


def build_registration(**changes: Any) -> dict[str, Any]:
    return {
        "name": "other",
        "region": "north",
        "failure_domain": "north-1",
        "host": HOST,
        "beat_port": 9,
        "state_port": 9,
        "caller_address": f"{HOST}:9",
        **changes,
    }


UNUSABLE_ADDRESSES = [{"beat_port": 2**31}, {"beat_port": -(2**31)}, {"host": "x"}, {"host": ""}]


@pytest.mark.parametrize("make_key", [make_member_key, make_listed_member_key])
@pytest.mark.parametrize("change", UNUSABLE_ADDRESSES)
def test_registration_with_an_unusable_address_ends_no_instance(
    run_scenario, make_key, change
) -> None:
    """Guards against a socket call that raises in the task that sends heartbeats to all peers."""

    async def scenario(deployment: Deployment) -> None:
        await start_fleet(deployment, 2)
        deployment.store.put(make_key("other"), build_registration(**change))
        await check_serving(deployment)

    run_scenario(scenario, uvloop.run)


@pytest.mark.parametrize("change", UNUSABLE_ADDRESSES)
def test_heartbeat_with_an_unusable_address_ends_no_instance(run_scenario, change) -> None:
    """Guards against one datagram that makes an instance unable to send heartbeats."""

    async def scenario(deployment: Deployment) -> None:
        await start_fleet(deployment, 2)
        heartbeat = {
            "address": build_registration(**change),
            "boot": 1,
            "number": 1,
            "ready": True,
            "revision": 1,
            "demand": {},
        }
        datagram = HEARTBEAT_TYPE + msgspec.msgpack.encode(heartbeat)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for settings in deployment.settings.values():
                sender.sendto(datagram, (HOST, settings.peer_ports[0]))
        await check_serving(deployment)

    run_scenario(scenario, uvloop.run)


def test_value_that_is_no_base64_costs_only_its_key(run_scenario) -> None:
    """Guards against an error in the task that watches the store, over one item of an answer."""

    async def scenario(deployment: Deployment) -> None:
        await start_fleet(deployment, 2)
        deployment.store.put("servers/other-writer", {})
        deployment.store.items["servers/other-writer"].value = "a"
        deployment.register("t0", version="later")
        await check_serving(deployment)
        await deployment.start_instance("n2")
        await deployment.wait_until_ready("n2")
        await check_serving(deployment)

    run_scenario(scenario)


@pytest.mark.parametrize("era", ["²", "9" * 5_000, "-1"])
def test_era_that_is_no_number_is_ignored(run_scenario, era) -> None:
    """Guards against an error in the tasks that call the store, over a header of its answers."""

    async def scenario(deployment: Deployment) -> None:
        await start_fleet(deployment)
        deployment.store.era = era
        deployment.register("t0", sequence=2)
        await check_serving(deployment)

    run_scenario(scenario)


LONG_VERSIONS = [2**63, 2**64, 20261207045959123456, pytest.param(10**299, id="300 digits")]


@pytest.mark.parametrize("version", LONG_VERSIONS)
def test_config_version_of_any_length_is_in_force(run_scenario, version) -> None:
    """Guards against a version beyond 64 bits that ended all instances, and each one at its start.

    Heartbeats, log lines and metrics hold the version.
    """

    async def scenario(deployment: Deployment) -> None:
        await start_fleet(deployment, 2)
        deployment.store.put("op/config", {**CONFIG, "version": f"r{version}"})
        await deployment.start_instance("n2")
        await deployment.wait_until_ready("n2")
        await check_serving(deployment)
        for name, instance in deployment.instances.items():
            assert instance._routing_state.config_version == version
            peers = instance._fleet.list_peers()
            assert [peer.config_version for peer in peers] == [version, version]
            status, _ = await deployment.fetch(deployment.settings[name].readiness, "/metrics")
            assert status == 200

    run_scenario(scenario)


def test_instance_without_the_store_reads_a_long_version_from_a_peer(run_scenario) -> None:
    """Guards against two long versions that look the same to peers, so that the older one stays."""

    async def scenario(deployment: Deployment) -> None:
        await start_fleet(deployment, 2)
        for number in (10**20, 10**20 + 1):
            document = {**CONFIG, "version": f"r{number}"}
            deployment.instances["n0"]._routing_state.apply_config(encode(document), "test")
            instance = deployment.instances["n1"]
            await deployment.wait_until(
                lambda: instance._routing_state.config_version == number  # noqa: B023
            )

    run_scenario(scenario)


@pytest.mark.parametrize("version", ["r" + "9" * 301, "r²", "r-1", "r" + "9" * 5_000])
def test_config_with_an_unusable_version_leaves_the_one_before(run_scenario, version) -> None:
    """Guards against a version that raises where it is read, and ends the reader."""

    async def scenario(deployment: Deployment) -> None:
        await start_fleet(deployment, 2)
        deployment.store.put("op/config", {**CONFIG, "version": version})
        await check_serving(deployment)
        for instance in deployment.instances.values():
            assert instance._routing_state.config_version == 1

    run_scenario(scenario)


def test_config_without_organisations_lets_no_key_in(run_scenario) -> None:
    """Guards against a last organisation that leaves and opens its routes to every key."""

    async def scenario(deployment: Deployment) -> None:
        await start_fleet(deployment)
        rules = CONFIG["listeners"][0]["rules"]
        public = {**rules[0], "name": "open", "match": {"path_prefix": "/open/"}, "public": True}
        listeners = [{"host": "a.example", "rules": [*rules, public]}]
        document = {**CONFIG, "listeners": listeners, "version": "r2", "tenants": []}
        deployment.store.put("op/config", document)
        routing_state = deployment.instances["n0"]._routing_state
        await deployment.wait_until(lambda: routing_state.config_version == 2)
        for key in ("acme-key", "no-key", ""):
            for method, path in (("GET", "/read/x"), ("POST", "/order/x")):
                assert (await deployment.send_request(path, "n0", method, key)).status == 401
            assert (await deployment.send_request("/open/x", "n0", "GET", key)).status == 200
        del document["tenants"]
        deployment.store.put("op/config", {**document, "version": "r3"})
        await deployment.wait_until(lambda: routing_state.config_version == 3)
        assert (await deployment.send_request("/order/x", "n0", "POST", "no-key")).status == 200

    run_scenario(scenario)
