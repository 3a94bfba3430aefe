"""Changes of the store arrive in time although the connections of watches go silent.

The store's other connections, and new ones, work. Neither TCP nor another call shows the silence,
since a proxy stands between.
"""

import asyncio

import pytest

from tests.serving.conftest import CONFIG, HOST, REGIONS
from tests.soak.proxy import Proxy

# The platform's bound for changes of the configuration, and for connections to recover.
CONFIG_APPLY_S = 2.5
STABILITY_WINDOW_S = 3.0
INSTANCES = ("n0", "n1", "n2")


async def start_behind_proxy(deployment) -> Proxy:
    """Start a target and instances that reach the store through a proxy; return the proxy."""
    await deployment.add_target("t1")
    await deployment.add_target("t2")
    proxy = Proxy(HOST, deployment.store_port)
    await proxy.start(HOST)
    deployment.store_port = proxy.port
    for name, domain in zip(INSTANCES, list(REGIONS) * 2, strict=False):
        await deployment.start_instance(name, failure_domain=domain)
    for name in INSTANCES:
        await deployment.wait_until_ready(name)
    return proxy


def withdraw_key(deployment) -> None:
    tenants = [{**CONFIG["tenants"][0], "api_keys": ["new-key"]}, CONFIG["tenants"][1]]
    deployment.store.put("op/config", {**CONFIG, "version": "r2", "tenants": tenants})


def evacuate(deployment) -> None:
    deployment.store.put("op/evacuate/north-1", {})


def drain(deployment) -> None:
    deployment.register("t1", state="draining")


async def refuses_key(deployment, name: str) -> bool:
    return (await deployment.send_request("/read/x", name=name)).status == 401


async def sends_nothing(deployment, name: str) -> bool:
    return (await deployment.send_request("/read/x", name=name)).status == 503


async def spares_target(deployment, name: str) -> bool:
    targets = deployment.instances[name]._routing_state.targets
    return targets.find_usable("t1") is None


@pytest.mark.parametrize("silenced_before_s", [0.0, 1.0])
@pytest.mark.parametrize(
    ("change", "is_applied"),
    [(withdraw_key, refuses_key), (evacuate, sends_nothing), (drain, spares_target)],
)
def test_change_is_applied_in_time_although_all_watches_go_silent(
    run_scenario, change, is_applied, silenced_before_s
) -> None:
    """Guards against a watch that is given far more time than a change may take."""

    async def scenario(deployment) -> None:
        proxy = await start_behind_proxy(deployment)
        await asyncio.sleep(1.0)
        proxy.silence_connections()
        await asyncio.sleep(silenced_before_s)
        change(deployment)
        # A silence counts as a reset, after which connections have this time to recover.
        recovers_s = STABILITY_WINDOW_S - silenced_before_s
        await asyncio.sleep(max(CONFIG_APPLY_S, recovers_s))
        assert [await is_applied(deployment, name) for name in INSTANCES] == [True] * 3
        proxy.stop()

    run_scenario(scenario)
