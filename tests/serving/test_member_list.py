"""Tests of the list of instances that outlasts their registrations."""

import asyncio

from tests.serving.fake_store import Outage
from tests.serving.restarting_fleet import RestartingFleet, run_fleet
from waxwingshelf.platform.documents import make_listed_member_key, parse_listed_member_name

# An instance that is gone stays listed for a minute after its lease ended.
GONE_S = 80.0


def list_listed(fleet: RestartingFleet) -> list[str]:
    names = (parse_listed_member_name(key) for key in fleet.store.items)
    return sorted(name for name in names if name is not None)


def list_revisions(fleet: RestartingFleet) -> list[int]:
    return [fleet.store.items[make_listed_member_key(node.name)][0] for node in fleet.nodes]


def list_names(fleet: RestartingFleet) -> list[str]:
    return sorted(node.name for node in fleet.nodes)


def test_instances_list_themselves_once() -> None:
    async def play(fleet: RestartingFleet) -> None:
        assert list_listed(fleet) == list_names(fleet)
        revisions = list_revisions(fleet)
        await fleet.restart(fleet.nodes, 1.0)
        await asyncio.sleep(20.0)
        assert list_revisions(fleet) == revisions

    run_fleet(play, 8)


def test_member_list_outlasts_registrations_and_tells_of_all_instances() -> None:
    """Guards against an instance that takes itself for the only one after a restart of all."""

    async def play(fleet: RestartingFleet) -> None:
        fleet.store.outage = Outage.REFUSING
        await fleet.restart(fleet.nodes, 1.5)
        await asyncio.sleep(8.0)
        assert not any("members" in key for key in fleet.store.items)
        fleet.store.outage = Outage.NONE
        await asyncio.sleep(0.45)
        assert {node.fleet.count_instances() for node in fleet.nodes} == {8}

    run_fleet(play, 8)


def test_instance_that_is_gone_leaves_the_member_list_and_one_that_comes_back_returns() -> None:
    async def play(fleet: RestartingFleet) -> None:
        gone = fleet.nodes[0]
        await gone.kill()
        await asyncio.sleep(GONE_S / 2)
        assert gone.name in list_listed(fleet)
        await asyncio.sleep(GONE_S / 2)
        assert list_listed(fleet) == list_names(fleet)[1:]
        assert {node.fleet.count_instances() for node in fleet.nodes[1:]} == {7}
        gone.start()
        await asyncio.sleep(5.0)
        assert list_listed(fleet) == list_names(fleet)

    run_fleet(play, 8)


def test_listed_instance_that_never_comes_back_counts_for_seconds_only() -> None:
    """Guards against a limit that is divided by instances that are gone for good."""

    async def play(fleet: RestartingFleet) -> None:
        for node in fleet.nodes:
            await node.kill()
        await asyncio.sleep(8.0)
        for node in fleet.nodes[:5]:
            node.start()
        await asyncio.sleep(0.5)
        assert {node.fleet.count_instances() for node in fleet.nodes[:5]} == {8}
        await asyncio.sleep(3.5)
        assert {node.fleet.count_instances() for node in fleet.nodes[:5]} == {5}
        assert not any(node.fleet.settling.is_in_progress for node in fleet.nodes[:5])

    run_fleet(play, 8)
