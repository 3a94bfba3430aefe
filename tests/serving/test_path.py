"""The platform's path end to end on loopback, with its troubles."""

import asyncio

import pytest

from standins.platform_store import StoreFault
from standins.platform_target import Answering
from waxwingshelf.serving import requests


def test_a_request_reaches_its_target_unchanged_and_without_the_key(run_scenario) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        answer = await deployment.send_request(
            "/order/a%2Fb?x=%20y", method="POST", body=b"payload", Tenant="forged", X_Own="kept"
        )
        assert (answer.status, answer.body) == (200, b"answer to id-1")
        assert answer.headers["Server-Signature"] == "ok"
        line, headers = target.heads[0]
        assert line == "POST /order/a%2Fb?x=%20y HTTP/1.1"
        assert target.bodies == [b"payload"]
        assert headers["tenant"] == "acme"
        assert headers["expected-instance"] == "t1"
        assert headers["x-own"] == "kept"
        assert headers["host"] == "a.example"
        assert 0 < int(headers["deadline-ms"]) <= 1_000
        assert "credential" not in headers

    run_scenario(scenario)


REFUSALS = [
    ("/nowhere/", "acme-key", "GET", 404),
    ("/read/", "wrong", "GET", 401),
    ("/read/", "", "GET", 401),
]


@pytest.mark.parametrize(("path", "key", "method", "status"), REFUSALS)
def test_what_the_configuration_does_not_allow(run_scenario, path, key, method, status) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        assert (await deployment.send_request(path, key=key, method=method)).status == status
        assert not target.heads

    run_scenario(scenario)


def test_an_instance_without_a_configuration_promises_not_run(run_scenario) -> None:
    async def scenario(deployment) -> None:
        deployment.store.fault = StoreFault.REFUSE
        await deployment.start_instance("n0")
        await asyncio.sleep(0.2)
        answer = await deployment.send_request("/read/x")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        status, _ = await deployment.fetch(deployment.settings["n0"].readiness, "/api/readiness")
        assert status == 503
        deployment.store.fault = StoreFault.NONE
        await deployment.wait_until_ready("n0")

    run_scenario(scenario)


def test_a_rate_is_kept_and_the_caller_told_when_to_return(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        answers = [await deployment.send_request("/read/x", key="tiny-key") for _ in range(30)]
        # Five seconds of rate 1, burst 2, a tenth more and a slack of 20 is the fleet's bound.
        assert [answer.status for answer in answers].count(200) <= (5 + 2) * 1.1 + 20
        refused = [answer for answer in answers if answer.status == 429]
        assert refused
        assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("answering", "path", "method", "status", "runs"),
    [
        (Answering.SHED, "/order/x", "POST", 200, 1),
        (Answering.RESET, "/order/x", "POST", 502, 1),
        (Answering.CUT, "/order/x", "POST", 502, 1),
        (Answering.UNSIGNED, "/order/x", "POST", 502, 1),
        (Answering.FAIL, "/order/x", "POST", 500, 1),
        (Answering.RESET, "/read/x", "GET", 200, 2),
        (Answering.CUT, "/read/x", "GET", 200, 2),
        (Answering.FAIL, "/read/x", "GET", 200, 2),
    ],
)
def test_only_what_may_run_again_is_sent_again(
    run_scenario, answering, path, method, status, runs
) -> None:
    async def scenario(deployment) -> None:
        first = await deployment.add_target("t1")
        first.answering = answering
        second = await deployment.add_target("t2")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        second_first = None
        # The first send of some object goes to the faulty target.
        for number in range(30):
            before = first.runs.total() + second.runs.total()
            heads = len(first.heads)
            answer = await deployment.send_request(path, method=method, Affinity_Key=str(number))
            if len(first.heads) > heads:
                second_first = answer
                break
        assert second_first is not None
        assert second_first.status == status
        assert first.runs.total() + second.runs.total() - before == runs

    run_scenario(scenario)


def test_a_request_past_its_routes_timeout_is_answered_at_once(run_scenario) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1", work_s=30.0)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        async with asyncio.timeout(1.5):
            answer = await deployment.send_request("/read/x")
        assert answer.status == 504
        await deployment.wait_until(lambda: target.dropped == ["id-1"])

    run_scenario(scenario)


def test_a_refusal_names_what_it_was_decided_on(run_scenario, monkeypatch) -> None:
    lines = []

    def keep(event, **fields) -> None:
        lines.append((event, fields))

    monkeypatch.setattr(requests._log, "info", keep)

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=30.0)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        await deployment.send_request("/read/x")
        (fields,) = [fields for event, fields in lines if event == "refused"]
        expected = {"route": "read", "service": "work", "organisation": "acme", "sends": 1}
        assert expected.items() <= fields.items()
        assert fields["time_ms"] == 1_000
        assert fields["slots"] > 0

    run_scenario(scenario)


def test_an_answer_that_was_made_in_time_is_delivered(run_scenario) -> None:
    """Replay of a far target that answers just before its time is over: callers got 504."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=1.03)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        answer = await deployment.send_request("/order/x", method="POST")
        assert answer.status == 200

    run_scenario(scenario)


def test_a_caller_that_leaves_cancels_the_work(run_scenario) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1", work_s=30.0)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await deployment.send_request("/order/x", method="POST")
        await deployment.wait_until(lambda: target.dropped == ["id-1"])

    run_scenario(scenario)


def test_a_draining_or_removed_target_gets_no_new_work(run_scenario) -> None:
    async def scenario(deployment) -> None:
        first = await deployment.add_target("t1")
        second = await deployment.add_target("t2")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        deployment.register("t1", state="draining")
        await asyncio.sleep(0.5)
        for number in range(10):
            await deployment.send_request("/read/x", Affinity_Key=str(number))
        assert not first.heads
        assert len(second.heads) == 10

    run_scenario(scenario)


def test_a_silent_store_stops_nobody_and_lapsed_entries_are_held(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        deployment.store.fault = StoreFault.REFUSE
        for runner in deployment.runners:
            await runner.cleanup()
        deployment.store.delete("servers/t1")
        # Longer than an outage in which nothing can lapse.
        await asyncio.sleep(1.8)
        assert (await deployment.send_request("/read/x")).status == 200
        deployment.store.fault = StoreFault.NONE
        await deployment.start_store()
        await asyncio.sleep(0.8)
        deployment.register("t1")
        for _ in range(10):
            assert (await deployment.send_request("/read/x")).status == 200
            await asyncio.sleep(0.2)

    run_scenario(scenario)


def test_a_target_that_left_while_the_history_was_forgotten_is_gone_at_once(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        await deployment.add_target("t2")
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        deployment.store.items.pop("servers/t1")
        deployment.store.revision += 1
        deployment.store.forget_history()
        deployment.register("t2")
        started = asyncio.get_running_loop().time()
        await deployment.wait_until(lambda: instance._routing_state.targets.get("t1") is None)
        assert asyncio.get_running_loop().time() - started < 1.0

    run_scenario(scenario)


def test_an_instance_that_the_store_turns_away_learns_from_a_peer(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        instances = [await deployment.start_instance(name) for name in ("n0", "n1")]
        for name in ("n0", "n1"):
            await deployment.wait_until_ready(name)
        await deployment.wait_until(
            lambda: len(instances[0]._fleet.list_ready(instances[0]._clock.now_ms()))
        )
        feed = instances[0]._routing_state
        before = feed.mirror.as_of

        async def refuse(*_args):
            raise AssertionError("not reached")

        # n0 no longer sees the store: its watch is told that nothing changed.
        instances[0]._routing_state.apply = _drop_from_store(instances[0]._routing_state.apply)
        instances[0]._routing_state.replace = _drop_from_store(instances[0]._routing_state.replace)
        deployment.register("t1", state="draining")
        await deployment.wait_until(lambda: feed.targets.list_usable("work") == [])
        assert feed.mirror.as_of > before

    run_scenario(scenario)


def _drop_from_store(take):
    def filtered(changes, as_of, source):
        if source != "store":
            take(changes, as_of, source)

    return filtered


def test_the_directory_names_ready_instances_and_drops_one_that_stops(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=0.6)
        instances = [await deployment.start_instance(name) for name in ("n0", "n1")]
        for name in ("n0", "n1"):
            await deployment.wait_until_ready(name)
        addresses = {str(deployment.settings[name].callers) for name in ("n0", "n1")}

        async def both() -> bool:
            return set(await deployment.resolve("n0")) == addresses

        await deployment.wait_until(both)
        under_way = asyncio.create_task(
            deployment.send_request("/order/x", name="n1", method="POST")
        )
        await asyncio.sleep(0.1)
        instances[1].stop()
        answer = await under_way
        assert answer.status == 200
        assert answer.headers.get("Connection") == "close"

        async def one() -> bool:
            return await deployment.resolve("n0") == [str(deployment.settings["n0"].callers)]

        await deployment.wait_until(one)
        late = await deployment.send_request("/read/x", name="n1")
        assert late.status == 200

    run_scenario(scenario)


def test_the_configuration_never_goes_back(run_scenario) -> None:
    async def scenario(deployment) -> None:
        from tests.serving.conftest import CONFIG

        await deployment.add_target("t1")
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        deployment.store.put("op/config", {**CONFIG, "version": "r20", "listeners": []})
        await deployment.wait_until(lambda: instance._routing_state.config.version == 20)
        assert (await deployment.send_request("/read/x")).status == 404
        deployment.store.put("op/config", {**CONFIG, "version": "r9"})
        deployment.store.put("op/config", b"{not json")
        deployment.store.forget_history()
        await asyncio.sleep(0.8)
        assert instance._routing_state.config.version == 20

    run_scenario(scenario)


def test_changed_settings_are_taken_over_without_a_signal(run_scenario, tmp_path) -> None:
    async def scenario(deployment) -> None:
        from tests.platform.test_settings import TEXT

        path = tmp_path / "node.toml"
        path.write_text(TEXT)
        await deployment.add_target("t1")
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        instance._path = path
        await deployment.wait_until(lambda: instance._settings.bounds.max_ttl_ms == 5_000)
        path.write_text(TEXT.replace("ttl_max_s = 5", "ttl_max_s = 4"))
        await deployment.wait_until(lambda: instance._settings.bounds.max_ttl_ms == 4_000)
        path.write_text("[self")
        instance.reload()
        assert instance._settings.bounds.max_ttl_ms == 4_000
        assert (await deployment.send_request("/read/x")).status == 200

    run_scenario(scenario)
