"""An unexpected error costs one round of a task, one entry or one request, and shows."""

import asyncio

import pytest
import uvloop

from tests.serving.conftest import Deployment
from waxwingshelf.core.clock import ManualClock
from waxwingshelf.platform.documents import make_member_key
from waxwingshelf.serving.dispatch_state import DispatchState
from waxwingshelf.serving.dispatcher import Dispatcher
from waxwingshelf.serving.failures import Failures
from waxwingshelf.serving.instance import Instance
from waxwingshelf.serving.member_list import MemberListKeeper
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.serving.placement_checks import PlacementChecks
from waxwingshelf.serving.quarantine_keeper import QuarantineKeeper
from waxwingshelf.serving.quarantine_store import QuarantineStore
from waxwingshelf.serving.rate_limiter import RateLimiter
from waxwingshelf.serving.reachability_prober import ReachabilityProber
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.store_watcher import StoreWatcher
from waxwingshelf.steering.waiting import WaitQueue

FAULT = "a deliberate fault"
# Each task of an instance, and a function that it calls in each round or when it begins.
TASKS = [
    ("store_watch", StoreWatcher, "_watch"),
    ("registration", StoreWatcher, "_register_or_renew"),
    ("heartbeats", PeerNetwork, "_catch_up"),
    ("load_reports", PeerNetwork, "_list_sent_objects"),
    ("rate_limiter", RateLimiter, "_close_stale_connections"),
    ("readiness", Instance, "_announce_ready"),
    ("updates", RoutingState, "expire_held"),
    ("dispatcher", Dispatcher, "run"),
    ("prober", ReachabilityProber, "run"),
    ("quarantine_keeper", QuarantineKeeper, "run"),
    ("quarantine_store", QuarantineStore, "_update"),
    ("member_list", MemberListKeeper, "_list_own"),
    ("seed_reads", Instance, "_pull_from_seeds"),
    ("settings", Instance, "_poll_settings"),
]


def fail_first(monkeypatch, owner: type, name: str, times: int) -> list[str]:
    """Make a method raise when it is called, but only so often; return the list of its failures."""
    original = getattr(owner, name)
    failures: list[str] = []

    def call(self, *args, **kwargs):
        if len(failures) < times:
            failures.append(name)
            raise RuntimeError(FAULT)
        return original(self, *args, **kwargs)

    monkeypatch.setattr(owner, name, call)
    return failures


async def read_metrics(deployment: Deployment) -> str:
    _, body = await deployment.fetch(deployment.settings["n0"].readiness, "/metrics")
    return body.decode()


async def start(deployment: Deployment) -> None:
    await deployment.add_target("t0")
    await deployment.start_instance("n0")
    await deployment.wait_until_ready("n0")


@pytest.mark.parametrize(("task", "owner", "name"), TASKS, ids=[task for task, _, _ in TASKS])
def test_task_that_raises_goes_on(run_scenario, monkeypatch, capsys, task, owner, name) -> None:
    """Guards against an error in one task that ends the process, and against one that hides."""
    failures = fail_first(monkeypatch, owner, name, times=2)

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        await deployment.wait_until(lambda: len(failures) == 2)
        response = await deployment.send_request("/order/x", method="POST")
        assert response.status == 200
        metrics = await read_metrics(deployment)
        assert f'waxwingshelf_failures_total{{place="{task}"}} 2.0' in metrics
        await deployment.wait_until(lambda: deployment.instances["n0"]._failures.list_failing())
        deployment.register("t0", sequence=2, state="draining")
        targets = deployment.instances["n0"]._routing_state.targets
        await deployment.wait_until(lambda: targets.get("t0").target.draining)
        assert not any(run.done() for run in deployment.tasks)

    run_scenario(scenario, uvloop.run)
    lines = capsys.readouterr().out
    assert lines.count(f"place={task} ") == 1
    assert FAULT in lines


def test_every_task_has_a_fault() -> None:
    """Guards against a task of an instance that no case above fails."""
    source = Instance.run.__code__.co_consts
    names = next(const for const in source if isinstance(const, tuple) and "updates" in const)
    assert sorted(names) == sorted(task for task, _, _ in TASKS)


async def send_many(deployment: Deployment, count: int) -> list[int]:
    """Send more requests than targets take at once, and return the statuses."""
    target = deployment.targets["t0"]
    target.work_s, target.slots, target.queue_length = 0.05, 4, 4
    calls = [
        deployment.send_request("/order/x", method="POST", Attempt_Id=f"many-{number}")
        for number in range(count)
    ]
    return [response.status for response in await asyncio.gather(*calls)]


@pytest.mark.parametrize(
    ("owner", "name"),
    [(Dispatcher, "_place"), (PlacementChecks, "find_obstacle"), (DispatchState, "record_result")],
)
def test_error_over_one_request_costs_no_other(run_scenario, monkeypatch, owner, name) -> None:
    """Guards against a waiting request that stays in the queue and fails every round.

    It also failed requests that had just run, since their end begins a round.
    """
    original = getattr(owner, name)

    def call(self, *args):
        if any(getattr(part, "id", "") == "many-7" for part in args):
            raise RuntimeError(FAULT)
        return original(self, *args)

    monkeypatch.setattr(owner, name, call)

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        statuses = await send_many(deployment, 24)
        if name != "record_result":
            assert statuses.pop(7) == 500
            assert deployment.targets["t0"].runs["many-7"] == 0
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 8
        assert not deployment.instances["n0"]._dispatcher._queues["work"]

    run_scenario(scenario, uvloop.run)


@pytest.mark.parametrize("name", ["place_waiting", "expire"])
def test_request_is_answered_although_the_rounds_fail(run_scenario, monkeypatch, name) -> None:
    """Guards against waiting requests that nobody answers when a round raises each time."""

    def fail(*args, **kwargs):
        raise RuntimeError(FAULT)

    monkeypatch.setattr(WaitQueue, name, fail)

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        statuses = await send_many(deployment, 24)
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 4
        runs = deployment.targets["t0"].runs
        assert sum(runs.values()) == statuses.count(200)
        assert not deployment.instances["n0"]._dispatcher._queues["work"]

    run_scenario(scenario, uvloop.run)


def test_error_over_one_entry_costs_only_it(run_scenario, monkeypatch) -> None:
    """Guards against a listing whose other entries are lost, as the mirror already has them."""
    original = RoutingState._apply_member

    def fail(self, name, *args):
        if name == "other":
            raise RuntimeError(FAULT)
        original(self, name, *args)

    monkeypatch.setattr(RoutingState, "_apply_member", fail)

    async def scenario(deployment: Deployment) -> None:
        deployment.store.put(make_member_key("other"), {})
        await start(deployment)
        assert (await deployment.send_request("/order/x", method="POST")).status == 200

    run_scenario(scenario, uvloop.run)


def test_error_over_a_datagram_costs_only_it(run_scenario, monkeypatch) -> None:
    """Guards against a message whose handler raises what no decoder does."""
    failures = fail_first(monkeypatch, PeerNetwork, "_record_heartbeat", times=2)

    async def scenario(deployment: Deployment) -> None:
        await start(deployment)
        await deployment.start_instance("n1")
        await deployment.wait_until_ready("n1")
        await deployment.wait_until(lambda: len(failures) == 2)
        assert 'waxwingshelf_failures_total{place="datagram"}' in await read_metrics(deployment)

    run_scenario(scenario, uvloop.run)


def test_failing_place_is_logged_now_and_then(capsys) -> None:
    """Guards against a log that fills with the traceback of a task that fails in every round."""
    clock, metrics = ManualClock(), Metrics()
    failures = Failures(clock, metrics)
    for _ in range(100):
        with failures.contain("rounds"):
            raise RuntimeError(FAULT)
        clock.advance(250)
    assert capsys.readouterr().out.count("place=rounds") == 3
    assert b'waxwingshelf_failures_total{place="rounds"} 100.0' in metrics.render()
    assert failures.list_failing() == ["rounds"]
    clock.advance(10_000)
    assert failures.list_failing() == []


def test_cancellation_is_no_failure() -> None:
    """Guards against a request whose caller has left, or a stop, that is taken for an error."""
    failures = Failures(ManualClock())
    with pytest.raises(asyncio.CancelledError), failures.contain("rounds"):
        raise asyncio.CancelledError
    assert failures.list_failing() == []
