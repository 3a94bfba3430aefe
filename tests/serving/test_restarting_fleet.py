"""The fleet on virtual time that the tests of restarts use."""

import asyncio

from tests.serving.restarting_fleet import RestartingFleet, run_fleet


def test_killed_instance_leaves_no_read_from_a_peer_behind() -> None:
    """Guards against a task that outlives its instance, which fails a test only at some seeds."""

    async def play(fleet: RestartingFleet) -> None:
        killed, peer = fleet.nodes[0], fleet.nodes[1]
        killed.network._pull_task = asyncio.create_task(killed._pull(peer.host, 0))
        await killed.kill()

    run_fleet(play, 2)
