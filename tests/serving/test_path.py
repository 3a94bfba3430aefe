"""Tests of the request path end to end on loopback, with failures of targets and the store."""

import asyncio

import pytest

from standins.platform_store import StoreFault
from standins.platform_target import ResponseMode
from waxwingshelf.serving import requests


def test_request_is_forwarded_unchanged_without_the_credential(run_scenario) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        response = await deployment.send_request(
            "/order/a%2Fb?x=%20y", method="POST", body=b"payload", Tenant="forged", X_Own="kept"
        )
        assert (response.status, response.body) == (200, b"answer to id-1")
        assert response.headers["Server-Signature"] == "ok"
        line, headers = target.request_heads[0]
        assert line == "POST /order/a%2Fb?x=%20y HTTP/1.1"
        assert target.request_bodies == [b"payload"]
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
def test_unknown_routes_and_invalid_keys_are_refused(
    run_scenario, path, key, method, status
) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        assert (await deployment.send_request(path, key=key, method=method)).status == status
        assert not target.request_heads

    run_scenario(scenario)


def test_instance_without_configuration_responds_503_with_retry_after(run_scenario) -> None:
    async def scenario(deployment) -> None:
        deployment.store.fault = StoreFault.REFUSE
        await deployment.start_instance("n0")
        await asyncio.sleep(0.2)
        response = await deployment.send_request("/read/x")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        status, _ = await deployment.fetch(deployment.settings["n0"].readiness, "/api/readiness")
        assert status == 503
        deployment.store.fault = StoreFault.NONE
        await deployment.wait_until_ready("n0")

    run_scenario(scenario)


def test_rate_limit_is_enforced_with_retry_after(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        responses = [await deployment.send_request("/read/x", key="tiny-key") for _ in range(30)]
        # Limit of the fleet: 5 s at rate 1 plus burst 2, with 10% tolerance and a slack of 20.
        assert [response.status for response in responses].count(200) <= (5 + 2) * 1.1 + 20
        refused_responses = [response for response in responses if response.status == 429]
        assert refused_responses
        assert all(float(response.headers["Retry-After"]) > 0 for response in refused_responses)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("response_mode", "path", "method", "status", "runs"),
    [
        (ResponseMode.SHED, "/order/x", "POST", 200, 1),
        (ResponseMode.RESET, "/order/x", "POST", 502, 1),
        (ResponseMode.CUT, "/order/x", "POST", 502, 1),
        (ResponseMode.UNSIGNED, "/order/x", "POST", 502, 1),
        (ResponseMode.FAIL, "/order/x", "POST", 500, 1),
        (ResponseMode.RESET, "/read/x", "GET", 200, 2),
        (ResponseMode.CUT, "/read/x", "GET", 200, 2),
        (ResponseMode.FAIL, "/read/x", "GET", 200, 2),
    ],
)
def test_only_safe_retries_are_sent(
    run_scenario, response_mode, path, method, status, runs
) -> None:
    async def scenario(deployment) -> None:
        first = await deployment.add_target("t1")
        first.response_mode = response_mode
        second = await deployment.add_target("t2")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        faulty_response = None
        # Try affinity keys until the first attempt of a request goes to the faulty target.
        for number in range(30):
            runs_before = first.runs.total() + second.runs.total()
            heads_before = len(first.request_heads)
            response = await deployment.send_request(path, method=method, Affinity_Key=str(number))
            if len(first.request_heads) > heads_before:
                faulty_response = response
                break
        assert faulty_response is not None
        assert faulty_response.status == status
        assert first.runs.total() + second.runs.total() - runs_before == runs

    run_scenario(scenario)


def test_request_past_its_route_timeout_gets_504_promptly(run_scenario) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1", work_s=30.0)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        async with asyncio.timeout(1.5):
            response = await deployment.send_request("/read/x")
        assert response.status == 504
        await deployment.wait_until(lambda: target.abandoned_requests == ["id-1"])

    run_scenario(scenario)


def test_refusal_log_contains_the_inputs_of_the_decision(run_scenario, monkeypatch) -> None:
    log_calls = []

    def record_log_call(event, **fields) -> None:
        log_calls.append((event, fields))

    monkeypatch.setattr(requests._log, "info", record_log_call)

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=30.0)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        await deployment.send_request("/read/x")
        (fields,) = [fields for event, fields in log_calls if event == "refused"]
        expected = {"route": "read", "service": "work", "organisation": "acme", "sends": 1}
        assert expected.items() <= fields.items()
        assert fields["time_ms"] == 1_000
        assert fields["slots"] > 0

    run_scenario(scenario)


def test_response_sent_just_before_the_deadline_is_delivered(run_scenario) -> None:
    """Regression test: callers got 504 when a distant target responded just before its deadline."""

    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=1.03)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        response = await deployment.send_request("/order/x", method="POST")
        assert response.status == 200

    run_scenario(scenario)


def test_caller_disconnect_cancels_the_request_at_the_target(run_scenario) -> None:
    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1", work_s=30.0)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await deployment.send_request("/order/x", method="POST")
        await deployment.wait_until(lambda: target.abandoned_requests == ["id-1"])

    run_scenario(scenario)


def test_draining_target_receives_no_new_requests(run_scenario) -> None:
    async def scenario(deployment) -> None:
        first = await deployment.add_target("t1")
        second = await deployment.add_target("t2")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        deployment.register("t1", state="draining")
        await asyncio.sleep(0.5)
        for number in range(10):
            await deployment.send_request("/read/x", Affinity_Key=str(number))
        assert not first.request_heads
        assert len(second.request_heads) == 10

    run_scenario(scenario)


def test_requests_succeed_during_and_after_a_store_outage(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        deployment.store.fault = StoreFault.REFUSE
        for runner in deployment.runners:
            await runner.cleanup()
        deployment.store.delete("servers/t1")
        # Longer than the outages in which no registration can expire.
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


def test_target_removed_while_history_was_lost_is_dropped_promptly(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        await deployment.add_target("t2")
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        deployment.store.items.pop("servers/t1")
        deployment.store.revision += 1
        deployment.store.compact_history()
        deployment.register("t2")
        started_s = asyncio.get_running_loop().time()
        await deployment.wait_until(lambda: instance._routing_state.targets.get("t1") is None)
        assert asyncio.get_running_loop().time() - started_s < 1.0

    run_scenario(scenario)


def test_instance_without_store_updates_receives_them_from_a_peer(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        instances = [await deployment.start_instance(name) for name in ("n0", "n1")]
        for name in ("n0", "n1"):
            await deployment.wait_until_ready(name)
        await deployment.wait_until(
            lambda: len(instances[0]._fleet.list_ready(instances[0]._clock.now_ms()))
        )
        routing_state = instances[0]._routing_state
        revision_before = routing_state.mirror.position

        async def fail_if_called(*_args):
            raise AssertionError("not reached")

        # n0 ignores the changes that its own watch of the store delivers.
        instances[0]._routing_state.apply = _drop_from_store(instances[0]._routing_state.apply)
        instances[0]._routing_state.replace = _drop_from_store(instances[0]._routing_state.replace)
        deployment.register("t1", state="draining")
        await deployment.wait_until(lambda: routing_state.targets.list_usable("work") == [])
        assert routing_state.mirror.position > revision_before

    run_scenario(scenario)


def _drop_from_store(apply):
    def filtered(changes, as_of, source):
        if source != "store":
            apply(changes, as_of, source)

    return filtered


def test_directory_lists_ready_instances_and_drops_a_stopping_one(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1", work_s=0.6)
        instances = [await deployment.start_instance(name) for name in ("n0", "n1")]
        for name in ("n0", "n1"):
            await deployment.wait_until_ready(name)
        addresses = {str(deployment.settings[name].callers) for name in ("n0", "n1")}

        async def lists_both() -> bool:
            return set(await deployment.resolve("n0")) == addresses

        await deployment.wait_until(lists_both)
        pending_request = asyncio.create_task(
            deployment.send_request("/order/x", name="n1", method="POST")
        )
        await asyncio.sleep(0.1)
        instances[1].stop()
        response = await pending_request
        assert response.status == 200
        assert response.headers.get("Connection") == "close"

        async def lists_one() -> bool:
            return await deployment.resolve("n0") == [str(deployment.settings["n0"].callers)]

        await deployment.wait_until(lists_one)
        late_response = await deployment.send_request("/read/x", name="n1")
        assert late_response.status == 200

    run_scenario(scenario)


def test_configuration_version_never_decreases(run_scenario) -> None:
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
        deployment.store.compact_history()
        await asyncio.sleep(0.8)
        assert instance._routing_state.config.version == 20

    run_scenario(scenario)


def test_changed_settings_are_reloaded_without_a_signal(run_scenario, tmp_path) -> None:
    async def scenario(deployment) -> None:
        from tests.platform.test_settings import SETTINGS_TEXT

        path = tmp_path / "node.toml"
        path.write_text(SETTINGS_TEXT)
        await deployment.add_target("t1")
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        instance._path = path
        await deployment.wait_until(lambda: instance._settings.bounds.max_ttl_ms == 5_000)
        path.write_text(SETTINGS_TEXT.replace("ttl_max_s = 5", "ttl_max_s = 4"))
        await deployment.wait_until(lambda: instance._settings.bounds.max_ttl_ms == 4_000)
        path.write_text("[self")
        instance.reload()
        assert instance._settings.bounds.max_ttl_ms == 4_000
        assert (await deployment.send_request("/read/x")).status == 200

    run_scenario(scenario)
