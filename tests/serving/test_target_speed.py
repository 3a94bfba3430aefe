"""Reported speeds of targets on their way through instances, on loopback."""

import pytest
from structlog.testing import capture_logs

EXPECTED_MS = 100.0


def get_slowness(instance, target_id: str) -> float:
    state = instance._routing_state.targets.get(target_id)
    return state.compute_slowness(instance._clock.now_ms(), EXPECTED_MS)


async def start_fleet(deployment):
    target = await deployment.add_target("t0", work_s=0.01)
    instances = [await deployment.start_instance(name) for name in ("n0", "n1")]
    for name in ("n0", "n1"):
        await deployment.wait_until_ready(name)
    await deployment.wait_until(lambda: all(i._fleet.list_peers() for i in instances))
    return target, instances


def test_reported_speed_reaches_peers_metric_and_log(run_scenario) -> None:
    """An instance that sends a target little learned of a slow machine only seconds later."""

    async def scenario(deployment) -> None:
        target, (first, second) = await start_fleet(deployment)
        target.percent = 250

        async def is_known_to_peer() -> bool:
            assert (await deployment.send_request("/read/x")).status == 200
            return get_slowness(second, "t0") > 1.5

        with capture_logs() as logs:
            await deployment.wait_until(is_known_to_peer)
        answered = [line for line in logs if line["event"] == "answered"]
        assert {line["slowness"] for line in answered} == {2.5}
        metrics = first._metrics.render().decode()
        assert f'target_slowness_bucket{{le="2.5"}} {len(answered)}.0' in metrics
        assert 'target_slowness_bucket{le="2.0"} 0.0' in metrics
        target.percent = 100

        async def is_usual_again() -> bool:
            await deployment.send_request("/read/x")
            return get_slowness(second, "t0") < 1.2

        await deployment.wait_until(is_usual_again)

    run_scenario(scenario)


@pytest.mark.parametrize("percent", [None, 0, 999_999_999])
def test_missing_and_absurd_figures_do_not_stop_requests(run_scenario, percent) -> None:
    async def scenario(deployment) -> None:
        target, (first, _) = await start_fleet(deployment)
        target.percent = percent
        for _ in range(5):
            assert (await deployment.send_request("/read/x")).status == 200
        assert get_slowness(first, "t0") < 9
        if not percent:
            assert first._routing_state.targets.get("t0").speed.reported_at_ms is None

    run_scenario(scenario)


def test_slowdown_is_not_learned_as_duration_of_the_route(run_scenario) -> None:
    """While one machine was slow, all targets were expected to take as long."""

    def measure_growth(percent: int | None) -> float:
        growth_ms = 0.0

        async def scenario(deployment) -> None:
            nonlocal growth_ms
            target, (first, _) = await start_fleet(deployment)
            route = first._routing_state.config.routes[0]
            durations = first._dispatch_state.get_durations(route)
            durations.warm_ms = 40.0
            target.work_s, target.percent = 0.1, percent
            for _ in range(4):
                assert (await deployment.send_request("/read/x")).status == 200
            growth_ms = durations.warm_ms - 40.0

        run_scenario(scenario)
        return growth_ms

    assert measure_growth(250) < 0.5 * measure_growth(None)
