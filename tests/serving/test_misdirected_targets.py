"""A target at whose address another one has answered is tried again after a while."""

import json

import pytest

from tests.serving.conftest import Deployment
from waxwingshelf.core.clock import ManualClock
from waxwingshelf.serving import target_entries
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.mirror import Change, Position

ENTRY = {
    "address": "10.0.0.9:80",
    "information": {"service": "work", "zone": "north-1", "slots": 4},
    "status": {"state": "ready"},
}
KEY = "servers/t0"


def put(state: RoutingState, revision: int, **changes) -> None:
    value = json.dumps({**ENTRY, **changes}).encode()
    state.apply([Change(KEY, revision, value)], Position(0, revision), "store")


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def state(clock) -> RoutingState:
    state = RoutingState(clock, Fleet("n0", 0))
    put(state, 1)
    return state


def is_used(state: RoutingState, clock: ManualClock, elapsed_ms: int) -> bool:
    clock.advance(elapsed_ms)
    state.expire_held()
    return state.targets.get("t0") is not None


def test_wrong_answers_cost_a_target_longer_each_time(state, clock) -> None:
    """Guards against a target that is lost to an instance for ever, and against many retrials."""
    for delay_ms in (5_000, 10_000, 20_000, 40_000, 60_000, 60_000):
        state.record_misdirected("t0")
        assert not is_used(state, clock, 0)
        assert not is_used(state, clock, delay_ms - 1)
        assert is_used(state, clock, 1)
        assert is_used(state, clock, 100_000)


def test_changed_entry_is_used_at_once(state, clock) -> None:
    state.record_misdirected("t0")
    put(state, 2, born=7)
    assert is_used(state, clock, 0)


def test_target_without_an_entry_is_not_tried_again(state, clock) -> None:
    state.record_misdirected("t0")
    state.apply([Change(KEY, 2, None)], Position(0, 2), "store")
    assert not is_used(state, clock, 100_000)


def test_outdated_entry_is_not_tried_again_before_it_is_confirmed(state, clock) -> None:
    """Guards against requests to a target that left, as an older copy of the store says it stays.

    Its address may belong to another service by then.
    """
    state.record_misdirected("t0")
    put(state, 2, status={"state": "draining", "sequence": 2})
    clock.advance(1_000)
    older = Change(KEY, 1, json.dumps(ENTRY).encode())
    state.replace([older], Position(1, 1), "store")
    clock.advance(5_000)
    state.expire_held()
    target = state.targets.get("t0")
    assert target is None or target.target.draining
    # The target did not let the entry lapse: it has written it, and is back.
    assert is_used(state, clock, 1_000)
    assert not state.targets.get("t0").target.draining


def test_instance_recovers_from_wrong_answers_of_all_targets(run_scenario, monkeypatch) -> None:
    """Guards against an instance without targets for the rest of its life after two 421."""
    monkeypatch.setattr(target_entries, "_FIRST_RETRIAL_MS", 300)

    async def scenario(deployment: Deployment) -> None:
        for name in ("t0", "t1"):
            await deployment.add_target(name)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        for target in deployment.targets.values():
            target.restart_as("other")
        refused = await deployment.send_request("/order/x", method="POST")
        assert refused.status == 503
        for name, target in deployment.targets.items():
            target.restart_as(name)

        async def is_served() -> bool:
            return (await deployment.send_request("/order/x", method="POST")).status == 200

        await deployment.wait_until(is_served)

    run_scenario(scenario)
