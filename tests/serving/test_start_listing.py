"""An instance that starts beside others reads a large store from them, on loopback."""

import asyncio

from waxwingshelf.serving import peers

TARGETS = 10


async def start_first(deployment) -> None:
    deployment.store.page_size = 3
    for number in range(TARGETS):
        await deployment.add_target(f"t{number}")
    await deployment.start_instance("n0")
    await deployment.wait_until_ready("n0")


def count_targets(deployment, name: str) -> int:
    return len(deployment.instances[name]._routing_state.targets.list_ids())


def test_large_store_is_read_from_a_peer_at_the_start(run_scenario) -> None:
    """Each of hundreds of instances listed the whole store, most of all calls of a day."""

    async def scenario(deployment) -> None:
        await start_first(deployment)
        pages = deployment.store.pages
        assert pages > 1
        await deployment.start_instance("n1")
        await deployment.wait_until_ready("n1")
        assert deployment.store.pages == pages + 1
        await deployment.wait_until(lambda: count_targets(deployment, "n1") == TARGETS)
        # It follows the store from there on.
        await deployment.add_target("late")
        await deployment.wait_until(lambda: count_targets(deployment, "n1") == TARGETS + 1)

    run_scenario(scenario)


def test_store_is_listed_if_no_peer_answers(run_scenario, monkeypatch) -> None:
    monkeypatch.setattr(peers, "_SEED_WAIT_MS", 500)

    async def scenario(deployment) -> None:
        await start_first(deployment)
        deployment.tasks[-1].cancel()
        await asyncio.sleep(0.2)
        await deployment.start_instance("n1")
        await deployment.wait_until_ready("n1")
        await deployment.wait_until(lambda: count_targets(deployment, "n1") == TARGETS)

    run_scenario(scenario)


def test_store_is_listed_if_the_peer_is_behind_it(run_scenario, monkeypatch) -> None:
    monkeypatch.setattr(peers, "_SEED_WAIT_MS", 500)

    async def scenario(deployment) -> None:
        await start_first(deployment)
        # The peer stops following the store, but still tells what it knows.
        for task in asyncio.all_tasks():
            if "run_watch" in str(task.get_coro()):
                task.cancel()
        deployment.store.delete("servers/t0")
        await deployment.start_instance("n1")
        await deployment.wait_until_ready("n1")
        await deployment.wait_until(lambda: count_targets(deployment, "n1") == TARGETS - 1)

    run_scenario(scenario)
