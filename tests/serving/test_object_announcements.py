"""Announcements of objects that may have become warm at a target."""

import asyncio

from waxwingshelf.serving.object_announcements import OBJECT_TYPE

OBJECT_KEY = "read\0" + "7"
OTHER_REGION_DOMAIN = "south-1"


def knows_object(instance) -> bool:
    """Return whether an instance knows a target where the object of the requests is warm."""
    now_ms = instance._clock.now_ms()
    states = instance._routing_state.targets.list_usable("work")
    return any(state.is_warm_for(OBJECT_KEY, now_ms) for state in states)


async def start_large_fleet(deployment, far: str = "") -> None:
    """Start instances of one region, and one of another if it has a name; wait until all are heard.

    Only a fleet of more than 16 announces objects.
    """
    names = [f"n{number}" for number in range(18)]
    for name in names:
        await deployment.start_instance(name)
    if far:
        await deployment.start_instance(far, failure_domain=OTHER_REGION_DOMAIN)
    instances = deployment.instances.values()
    for name in deployment.instances:
        await deployment.wait_until_ready(name)
    await deployment.wait_until(
        lambda: all(
            len([peer for peer in instance._fleet.list_region_peers() if peer.brief]) == 17
            for name, instance in deployment.instances.items()
            if name != far
        )
    )
    assert all(instance._fleet.is_large() for instance in instances)


def silence_load_reports(deployment) -> None:
    """Let no instance send load reports, which tell where objects were sent too."""
    for instance in deployment.instances.values():
        instance._peer_network._send_load_report = lambda report: None


def test_peers_of_the_region_learn_of_a_first_run_while_it_runs(run_scenario) -> None:
    """The next request for an object may reach any instance, and ran cold at another target."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=0.5)
        await start_large_fleet(deployment, far="far")
        silence_load_reports(deployment)
        request = asyncio.create_task(deployment.send_request("/read/x", name="n0"))
        await deployment.wait_until(lambda: knows_object(deployment.instances["n1"]))
        assert not request.done()
        assert (await request).status == 200
        assert not knows_object(deployment.instances["far"])

    run_scenario(scenario)


def test_object_that_is_known_to_be_warm_is_not_announced_again(run_scenario) -> None:
    """Each request would cost a datagram to every instance of the region."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        await start_large_fleet(deployment)
        sent: list[bytes] = []
        network = deployment.instances["n0"]._peer_network
        send_to = network.send_to

        def record(address, data: bytes) -> None:
            sent.append(data[:1])
            send_to(address, data)

        network.send_to = record
        for _ in range(5):
            assert (await deployment.send_request("/read/x", name="n0")).status == 200
            await asyncio.sleep(0.1)
        # The announcement of the first request to each of 17 peers, and its repetition.
        assert sent.count(OBJECT_TYPE) == 2 * 17

    run_scenario(scenario)


def test_peers_learn_of_a_first_run_although_a_datagram_is_lost(run_scenario) -> None:
    """One in twenty datagrams was lost, and its recipients ran the object elsewhere."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=0.5)
        await start_large_fleet(deployment)
        silence_load_reports(deployment)
        network = deployment.instances["n0"]._peer_network
        send_to, lost = network.send_to, []

        def lose_first(address, data: bytes) -> None:
            if data[:1] == OBJECT_TYPE and len(lost) < 17:
                lost.append(data)
                return
            send_to(address, data)

        network.send_to = lose_first
        request = asyncio.create_task(deployment.send_request("/read/x", name="n0"))
        await deployment.wait_until(lambda: knows_object(deployment.instances["n1"]))
        assert lost
        assert not request.done()
        assert (await request).status == 200

    run_scenario(scenario)


def test_small_fleet_announces_nothing(run_scenario) -> None:
    """Load reports reach all peers there, and targets that join get objects that are not known."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        for name in ("n0", "n1"):
            await deployment.start_instance(name)
            await deployment.wait_until_ready(name)
        sent: list[bytes] = []
        network = deployment.instances["n0"]._peer_network
        network.send_to = lambda address, data: sent.append(data[:1])
        assert (await deployment.send_request("/read/x", name="n0")).status == 200
        await asyncio.sleep(0.2)
        assert OBJECT_TYPE not in sent

    run_scenario(scenario)


def test_malformed_announcement_is_ignored(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        await start_large_fleet(deployment)
        network = deployment.instances["n0"]._peer_network
        for body in (b"", b"x", b"\x92\xa1x\x01", b"\x91\x01"):
            network.handle_datagram(OBJECT_TYPE + body, ("127.0.0.1", 9))
        assert (await deployment.send_request("/read/x", name="n0")).status == 200

    run_scenario(scenario)
