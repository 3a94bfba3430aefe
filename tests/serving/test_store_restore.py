"""The store comes back from an older copy while instances serve."""

import asyncio
import copy

import pytest

from standins.platform_store import StoreFault
from tests.serving.conftest import CONFIG

# Calm instances are in touch 3 s after an outage; a configuration then has 2.5 s.
STABLE_AND_APPLIED_S = 5.5


def make_config(version: int, **changes):
    return {**copy.deepcopy(CONFIG), "version": f"r{version}", **changes}


def is_usable(instance, name) -> bool:
    usable = instance._routing_state.targets.list_usable("work")
    return name in [state.target.id for state in usable]


def get_era(instance) -> int:
    return instance._routing_state.mirror.position.era


def ignore_store(routing_state) -> None:
    """Let a routing state learn only from peers."""
    apply, replace = routing_state.apply, routing_state.replace

    def apply_from_peers(changes, position, source) -> None:
        if source != "store":
            apply(changes, position, source)

    def replace_from_peers(items, position, source) -> None:
        if source != "store":
            replace(items, position, source)

    routing_state.apply, routing_state.replace = apply_from_peers, replace_from_peers


async def start(deployment, *names):
    instances = [await deployment.start_instance(name) for name in names]
    for name in names:
        await deployment.wait_until_ready(name)
    return instances


def test_configuration_and_targets_outlive_a_restore(run_scenario) -> None:
    """The copy lacks a configuration and a new target, and shows a draining target as ready."""

    async def scenario(deployment) -> None:
        store = deployment.store
        await deployment.add_target("leaving")
        (instance,) = await start(deployment, "n0")
        snapshot = store.take_snapshot()
        store.put("op/config", make_config(2))
        deployment.register("leaving", "draining", sequence=2)
        await deployment.add_target("new")
        await deployment.wait_until(lambda: is_usable(instance, "new"))
        await deployment.wait_until(lambda: instance._routing_state.config_version == 2)
        assert not is_usable(instance, "leaving")

        store.restore(snapshot)
        await deployment.wait_until(lambda: get_era(instance) == 2)
        # Well within the time for which the missing target is held.
        for _ in range(4):
            assert instance._routing_state.config_version == 2
            assert not is_usable(instance, "leaving")
            assert is_usable(instance, "new")
            response = await deployment.send_request("/read/1")
            assert response.status == 200
            await asyncio.sleep(0.05)

        store.put("op/config", make_config(2))
        deployment.register("leaving", "draining", sequence=3)
        deployment.register("new", sequence=2)
        await asyncio.sleep(2.5)
        assert is_usable(instance, "new")
        assert not is_usable(instance, "leaving")
        store.put("op/config", make_config(3))
        await deployment.wait_until(lambda: instance._routing_state.config_version == 3)
        assert instance._routing_state.store_restores == 1

    run_scenario(scenario)


def test_target_that_does_not_write_again_is_removed(run_scenario) -> None:
    async def scenario(deployment) -> None:
        snapshot = deployment.store.take_snapshot()
        await deployment.add_target("t1")
        (instance,) = await start(deployment, "n0")
        deployment.store.restore(snapshot)
        await deployment.wait_until(lambda: get_era(instance) == 2)
        assert is_usable(instance, "t1")
        await deployment.wait_until(lambda: not is_usable(instance, "t1"))

    run_scenario(scenario)


def test_evacuation_stays_in_force(run_scenario) -> None:
    async def scenario(deployment) -> None:
        store = deployment.store
        await deployment.add_target("t1")
        (instance,) = await start(deployment, "n0")
        snapshot = store.take_snapshot()
        store.put("op/evacuate/north-1", {})
        await deployment.wait_until(lambda: not is_usable(instance, "t1"))
        store.restore(snapshot)
        await deployment.wait_until(lambda: get_era(instance) == 2)
        assert not is_usable(instance, "t1")
        store.put("op/evacuate/north-1", {})
        await asyncio.sleep(0.5)
        assert not is_usable(instance, "t1")
        store.delete("op/evacuate/north-1")
        await deployment.wait_until(lambda: is_usable(instance, "t1"))

    run_scenario(scenario)


def test_instances_register_anew(run_scenario) -> None:
    async def scenario(deployment) -> None:
        store = deployment.store
        await deployment.add_target("t1")
        snapshot = store.take_snapshot()
        await start(deployment, "n0", "n1")
        store.restore(snapshot)
        # Another client gets a lease id that an instance held before.
        store.lease_ttls_s[1] = 60.0
        store.lease_deadlines[1] = float("inf")
        store.put("other", {}, lease=1)

        def is_registered(name) -> bool:
            item = store.items.get(f"waxwingshelf/members/{name}")
            return item is not None and item.lease in store.lease_deadlines and item.lease != 1

        await deployment.wait_until(lambda: is_registered("n0") and is_registered("n1"))
        assert "other" in store.items

    run_scenario(scenario)


def test_instance_cut_off_from_the_store_learns_of_it_from_a_peer(run_scenario) -> None:
    async def scenario(deployment) -> None:
        store = deployment.store
        await deployment.add_target("t1")
        instances = await start(deployment, "n0", "n1")
        cut_off = instances[1]
        snapshot = store.take_snapshot()
        store.put("op/config", make_config(2))
        await deployment.wait_until(lambda: cut_off._routing_state.config_version == 2)
        ignore_store(cut_off._routing_state)
        store.restore(snapshot)
        await deployment.wait_until(lambda: get_era(cut_off) == 2)
        store.put("op/config", make_config(3))
        await deployment.wait_until(lambda: cut_off._routing_state.config_version == 3)

    run_scenario(scenario)


def test_instance_that_starts_after_a_restore_gets_the_newer_configuration(run_scenario) -> None:
    async def scenario(deployment) -> None:
        store = deployment.store
        await deployment.add_target("t1")
        (first,) = await start(deployment, "n0")
        snapshot = store.take_snapshot()
        store.put("op/config", make_config(2))
        await deployment.wait_until(lambda: first._routing_state.config_version == 2)
        store.restore(snapshot)
        await deployment.wait_until(lambda: get_era(first) == 2)
        (second,) = await start(deployment, "n1")
        await deployment.wait_until(lambda: second._routing_state.config_version == 2)

    run_scenario(scenario)


@pytest.mark.parametrize("silent_s", [2.5, 4.0])
def test_watch_caught_by_a_silent_store_is_dropped(run_scenario, silent_s: float) -> None:
    """The silence swallows a watch; the store then answers new calls but never that one."""

    async def scenario(deployment) -> None:
        store = deployment.store
        await deployment.add_target("t1")
        instances = await start(deployment, "n0", "n1")
        # A change ends the current watches, so that the next ones begin in the silence.
        store.fault = StoreFault.SILENT
        store.put("op/config", make_config(2))
        await asyncio.sleep(silent_s)
        store.fault = StoreFault.NONE
        store.put("op/config", make_config(3))
        async with asyncio.timeout(STABLE_AND_APPLIED_S):
            while any(instance._routing_state.config_version < 3 for instance in instances):
                await asyncio.sleep(0.05)

    run_scenario(scenario)
