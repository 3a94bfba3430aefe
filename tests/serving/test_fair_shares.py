"""Fair shares between organisations on the whole path of requests, and between instances."""

import asyncio
import copy

from tests.serving.conftest import CONFIG
from waxwingshelf.serving import requests

SLOW_S = 0.3


def make_config() -> dict:
    config = copy.deepcopy(CONFIG)
    config["version"] = "r2"
    # Long enough that the greedy organisation's requests are not late before the others come.
    for rule in config["listeners"][0]["rules"]:
        rule["target_latency_ms"] = 1_500
        rule["action"]["timeout_ms"] = 2_000
    config["tenants"].append(
        {"name": "bolt", "api_keys": ["bolt-key"], "priority": 1, "rate_per_s": 1000, "burst": 500}
    )
    return config


def test_greedy_organisation_does_not_delay_another(run_scenario, monkeypatch) -> None:
    """Requests waited in order of arrival, so 60 of one organisation delayed all later ones."""
    lines: list[dict] = []
    monkeypatch.setattr(requests._log, "info", lambda event, **fields: lines.append(fields))

    async def scenario(deployment) -> None:
        deployment.store.put("op/config", make_config())
        await deployment.add_target("t1", work_s=SLOW_S)
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        await deployment.send_request("/read/warm")
        greedy = [asyncio.create_task(deployment.send_request("/read/x")) for _ in range(60)]
        await asyncio.sleep(0.05)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        others = await asyncio.gather(
            *(deployment.send_request("/read/x", key="bolt-key") for _ in range(4))
        )
        elapsed_s = loop.time() - started_s
        assert [response.status for response in others] == [200] * 4
        # The four take the next slots. In order of arrival, they would wait until the others are
        # late, over 1 s.
        assert elapsed_s < 3 * SLOW_S
        statuses = [response.status for response in await asyncio.gather(*greedy)]
        assert set(statuses) == {200, 503}
        refused = [line for line in lines if line.get("reason") == "no_room"]
        assert len(refused) == statuses.count(503)
        assert all(line["position"] >= 0 and line["share"] > 0 for line in refused)
        metrics = instance._metrics.render().decode()
        placed = 'waxwingshelf_organisation_waits_total{result="placed"}'
        assert f"{placed} 0.0" not in metrics
        assert placed in metrics
        assert len(instance._dispatch_state.organisation_loads._own) == 0

    run_scenario(scenario)


def test_instances_tell_each_other_the_requests_in_flight_of_organisations(run_scenario) -> None:
    """An organisation that spreads its requests over all instances got a share at each of them."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=1.0)
        first = await deployment.start_instance("n0")
        second = await deployment.start_instance("n1")
        for name in ("n0", "n1"):
            await deployment.wait_until_ready(name)

        def count(instance) -> int:
            loads = instance._dispatch_state.organisation_loads
            return loads.count("work", "acme", instance._clock.now_ms())

        sent = [asyncio.create_task(deployment.send_request("/read/x")) for _ in range(3)]
        await deployment.wait_until(lambda: count(second) == 3)
        await asyncio.gather(*sent)
        await deployment.wait_until(lambda: count(first) == count(second) == 0)

    run_scenario(scenario)


def test_caller_that_leaves_while_it_waits_frees_its_place(run_scenario) -> None:
    """A request placed for a caller that had just left stayed in flight for ever."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=SLOW_S)
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        sent = [asyncio.create_task(deployment.send_request("/read/x")) for _ in range(30)]
        await asyncio.sleep(SLOW_S / 2)
        for task in sent:
            task.cancel()
        await asyncio.gather(*sent, return_exceptions=True)
        loads = instance._dispatch_state.organisation_loads
        await deployment.wait_until(lambda: not loads._own)
        assert not any(instance._dispatcher._queues.values())
        assert "waxwingshelf_organisation_waits_total" in instance._metrics.render().decode()

    run_scenario(scenario)
