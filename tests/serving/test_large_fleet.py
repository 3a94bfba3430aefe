"""Fleets too large for heartbeats between all instances, where rate owners admit requests."""

import asyncio
import itertools
import time

from waxwingshelf.serving import rate_limiter
from waxwingshelf.steering.mirror import Position


def drop_every_second(instance) -> None:
    """Drop every second datagram that an instance sends."""
    send, counter = instance._peer_network.send_to, itertools.count()

    def lossy(address, data) -> None:
        if next(counter) % 2 == 0:
            send(address, data)

    instance._peer_network.send_to = lossy


async def wait_until_large(deployment) -> None:
    """Wait until every instance is ready and considers the fleet large."""
    for name in deployment.instances:
        await deployment.wait_until_ready(name)
    fleets = [instance._fleet for instance in deployment.instances.values()]
    await deployment.wait_until(lambda: all(fleet.is_large() for fleet in fleets))
    await asyncio.sleep(1.0)


def test_lost_datagrams_fail_no_request(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        names = [f"n{number}" for number in range(18)]
        for name in names:
            drop_every_second(await deployment.start_instance(name))
        await wait_until_large(deployment)
        responses = [
            await deployment.send_request("/read/x", name=names[number % 18], key="acme-key")
            for number in range(36)
        ]
        assert [response.status for response in responses].count(200) == 36

    run_scenario(scenario)


def test_directory_names_a_subset_of_the_instances(run_scenario) -> None:
    async def scenario(deployment) -> None:
        names = [f"n{number}" for number in range(18)]
        for name in names:
            await deployment.start_instance(name)
        await wait_until_large(deployment)
        # A third of the failure domain, the same for this caller wherever it asks.
        expected = set(await deployment.resolve("n0"))
        assert len(expected) == 6
        assert set(await deployment.resolve("n1")) == expected

    run_scenario(scenario)


def test_rate_owners_respond_and_enforce_the_rate(run_scenario, monkeypatch) -> None:
    unresponsive = []
    monkeypatch.setattr(
        rate_limiter._log, "info", lambda event, **fields: unresponsive.append(fields)
    )

    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        names = [f"n{number}" for number in range(20)]
        for name in names:
            await deployment.start_instance(name)
        await wait_until_large(deployment)
        responses = [
            await deployment.send_request("/read/x", name=names[number % 20], key="tiny-key")
            for number in range(60)
        ]
        served = [response.status for response in responses].count(200)
        assert 1 <= served <= (5 + 2) * 1.1 + 20
        responses = [
            await deployment.send_request("/read/x", name=names[number % 20], key="acme-key")
            for number in range(60)
        ]
        assert [response.status for response in responses].count(200) == 60
        assert len(unresponsive) == 0

    run_scenario(scenario)


def test_changes_of_the_store_reach_all_instances_without_reads_from_peers(run_scenario) -> None:
    """Each change made every instance of the region read it from a peer over HTTP."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        for name in [f"n{number}" for number in range(18)]:
            await deployment.start_instance(name)
        await wait_until_large(deployment)
        instances = deployment.instances.values()

        def count_reads() -> float:
            return sum(
                instance._metrics.peer_pulls.labels("ok")._value.get() for instance in instances
            )

        before = count_reads()
        for number in range(2, 8):
            await deployment.add_target(f"t{number}")
            target_id = f"t{number}"
            await deployment.wait_until(
                lambda target_id=target_id: all(
                    instance._routing_state.targets.get(target_id) for instance in instances
                )
            )
        # A lost datagram costs a read.
        assert count_reads() - before <= len(instances)

    run_scenario(scenario)


def test_instance_that_is_behind_reads_from_peers_twice_a_second(run_scenario) -> None:
    """It read with each heartbeat of a peer that was ahead, while changes came in series."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        names = [f"n{number}" for number in range(18)]
        for name in names:
            await deployment.start_instance(name)
        await wait_until_large(deployment)
        networks = [instance._peer_network for instance in deployment.instances.values()]
        network = next(item for item in networks if not item.is_watching())
        reads = []

        async def read(host, port) -> None:
            reads.append(time.monotonic())

        network._pull = read
        for peer in network._fleet.list_peers():
            peer.position = Position(peer.position.era, peer.position.revision + 100)
        for _ in range(100):
            network._catch_up()
            await asyncio.sleep(0.01)
        assert len(reads) >= 2
        gaps = [later - earlier for earlier, later in itertools.pairwise(reads)]
        assert min(gaps) >= 0.4

    run_scenario(scenario)


def test_instances_agree_on_the_owner_of_each_rate(run_scenario) -> None:
    async def scenario(deployment) -> None:
        for name in [f"n{number}" for number in range(18)]:
            await deployment.start_instance(name)
        await wait_until_large(deployment)
        organisations = [f"organisation-{number}" for number in range(40)]
        limiters = [instance._rate_limiter for instance in deployment.instances.values()]

        def agree() -> bool:
            owned = {}
            for limiter in limiters:
                for name in limiter._list_owned(organisations):
                    owned.setdefault(name, []).append(limiter._peer_network.address.name)
            chosen = {
                name: sorted({limiter._list_owners(name)[0].name for limiter in limiters})
                for name in organisations
            }
            return owned == chosen

        # Each heartbeat goes to some peers only, so that it takes a few until all are heard.
        await deployment.wait_until(agree)

    run_scenario(scenario)
