"""Tests of the end of a graceful shutdown: each request that was read gets a true answer."""

import asyncio
import copy
import time

import pytest

from standins.platform_target import ResponseMode
from tests.serving.clients import read_response
from tests.serving.conftest import CONFIG
from waxwingshelf.serving.relay_messages import build_relay_path

GRACE_PERIOD_MS = 4_000
SHORT_GRACE_PERIOD_MS = 1_500
PATIENT_TIMEOUT_MS = 20_000
SLOTS = 4
ANSWER_TIMEOUT_S = 0.2


class Stop:
    """One instance with a short grace period, its target and the responses of its callers."""

    def __init__(self, deployment, grace_period_ms: int = SHORT_GRACE_PERIOD_MS) -> None:
        self.deployment = deployment
        self.grace_period_ms = grace_period_ms
        self.callers: list[asyncio.Task] = []

    async def start(self, work_s: float) -> None:
        self.deployment.store.put("op/config", build_patient_config())
        self.target = await self.deployment.add_target("t1", work_s)
        self.instance = await self.deployment.start_instance("n0", self.grace_period_ms)
        self.task = self.deployment.tasks[-1]
        await self.deployment.wait_until_ready("n0")

    async def send(self, count: int, path: str = "/order/x", **options) -> None:
        """Send requests at the same time, and go on when the instance has read them."""
        expected = self.instance._request_handler.in_flight + count
        for _ in range(count):
            request = self.deployment.send_request(path, method="POST", body=b"x", **options)
            self.callers.append(asyncio.create_task(request))
        await self.deployment.wait_until(
            lambda: self.instance._request_handler.in_flight == expected
        )

    async def stop(self) -> float:
        """Stop the instance as a signal does; return how long it took in seconds."""
        started_s = time.monotonic()
        self.instance.stop()
        await asyncio.wait([self.task], timeout=self.grace_period_ms / 1_000)
        assert self.task.done(), f"still running after {time.monotonic() - started_s:.1f} s"
        assert self.task.exception() is None
        return time.monotonic() - started_s

    async def list_statuses(self) -> list[int]:
        """Return the status that each caller got by the end of the process, 0 for no answer."""
        await asyncio.wait(self.callers, timeout=ANSWER_TIMEOUT_S)
        for caller in self.callers:
            caller.cancel()
        responses = await asyncio.gather(*self.callers, return_exceptions=True)
        return [getattr(response, "status", 0) for response in responses]


def build_patient_config() -> dict:
    """Return the configuration with routes whose requests may wait for longer than a stop takes."""
    config = copy.deepcopy(CONFIG)
    for rule in config["listeners"][0]["rules"]:
        rule["action"]["timeout_ms"] = PATIENT_TIMEOUT_MS
    return {**config, "version": "r2"}


@pytest.fixture
def run_stop(run_scenario):
    """Return a function that runs a scenario with an instance that will be stopped."""

    def run(scenario, **options) -> None:
        run_scenario(lambda deployment: scenario(Stop(deployment, **options)))

    return run


def test_shutdown_ends_in_time_while_a_connection_does_not_close(run_stop) -> None:
    """A connection with unsent bytes closes only when they are sent or the link is given up.

    A process that waits for that is killed at the end of its grace period.
    """

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=0.0)
        stop.instance._upstream.close = asyncio.Event().wait
        await stop.stop()

    run_stop(scenario, grace_period_ms=GRACE_PERIOD_MS)


@pytest.mark.parametrize("path", ["/order/x", "/read/x", "/sheet/x"])
def test_waiting_requests_are_refused_when_a_stop_ends(run_stop, path) -> None:
    """Guards against requests in the queue that get no answer, as the process ends before them."""

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=5.0)
        await stop.send(SLOTS, path, deadline_ms=PATIENT_TIMEOUT_MS)
        await stop.send(20, path, deadline_ms=PATIENT_TIMEOUT_MS)
        await stop.stop()
        statuses = await stop.list_statuses()
        runs = sum(stop.target.runs.values())
        assert statuses.count(502) == runs
        assert statuses.count(503) == len(statuses) - runs
        assert runs < len(statuses)

    run_stop(scenario)


@pytest.mark.parametrize("signals", [1, 3])
def test_requests_at_a_target_get_an_answer_when_a_stop_ends(run_stop, signals) -> None:
    """Guards against connections that end without an answer while a target is at work.

    It may have run the request, so that the answer is no promise that it has not.
    """

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=5.0)
        await stop.send(2)
        await asyncio.sleep(0.1)
        for _ in range(signals - 1):
            stop.instance.stop()
            await asyncio.sleep(0.1)
        await stop.stop()
        assert await stop.list_statuses() == [502, 502]
        assert len(stop.target.runs) == 2

    run_stop(scenario)


def test_a_request_that_waits_after_a_rejection_is_refused_when_a_stop_ends(run_stop) -> None:
    """Guards against requests without an answer that wait for a target once more."""

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=0.0)
        stop.target.response_mode = ResponseMode.SHED
        stop.target.pause_s = 10.0
        await stop.send(1, deadline_ms=PATIENT_TIMEOUT_MS)
        await stop.stop()
        assert await stop.list_statuses() == [503]
        assert not stop.target.runs

    run_stop(scenario)


def test_a_request_whose_body_is_still_read_is_refused_when_a_stop_ends(run_stop) -> None:
    """Guards against a caller that is still sending and finds its connection closed."""

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=0.0)
        callers = stop.deployment.settings["n0"].callers
        reader, writer = await asyncio.open_connection(callers.host, callers.port)
        writer.write(
            b"POST /sheet/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: slow-1\r\n"
            b"Credential: acme-key\r\nContent-Length: 1000\r\n\r\n" + b"x" * 400
        )
        await stop.deployment.wait_until(lambda: stop.instance._request_handler.in_flight == 1)
        await stop.stop()
        response = await asyncio.wait_for(read_response(reader), ANSWER_TIMEOUT_S)
        assert response.status == 503
        assert not stop.target.runs
        writer.close()

    run_stop(scenario)


@pytest.mark.parametrize(("sent", "failure"), [(True, "broken"), (False, "unreachable")])
def test_requests_of_peers_get_an_answer_when_a_stop_ends(run_stop, sent, failure) -> None:
    """Guards against peers that lose requests which this instance sends for them.

    Only what was not written to the target may be sent again.
    """

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=5.0)
        peer_state = stop.deployment.settings["n0"].peer_state
        reader, writer = await asyncio.open_connection(peer_state.host, peer_state.port)
        writer.write(
            f"POST {build_relay_path('t1', '/order/x')} HTTP/1.1\r\nHost: a.example\r\n"
            "Attempt-Id: relayed-1\r\nDeadline-Ms: 9000\r\nContent-Length: 4\r\n\r\n".encode()
        )
        if sent:
            writer.write(b"body")
        await stop.deployment.wait_until(lambda: stop.instance._relay.in_flight == 1)
        if sent:
            await stop.deployment.wait_until(lambda: stop.target.runs)
        await stop.stop()
        response = await asyncio.wait_for(read_response(reader), ANSWER_TIMEOUT_S)
        assert response.headers["Waxwingshelf-Failure"] == failure
        assert len(stop.target.runs) == int(sent)
        writer.close()

    run_stop(scenario)


def test_a_request_that_asks_for_a_token_is_refused_when_a_stop_ends(run_stop) -> None:
    """Guards against requests without an answer that wait for a token of their rate."""

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=0.0)
        stop.instance._rate_limiter.acquire = _wait_forever
        await stop.send(1)
        await stop.stop()
        assert await stop.list_statuses() == [503]

    run_stop(scenario)


def test_a_request_that_claims_a_trial_is_refused_when_a_stop_ends(run_stop) -> None:
    """Guards against quarantined requests without an answer that wait for the store."""

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=0.0)
        stop.instance._dispatcher._checks.get_quarantine_ms = lambda exchange: 60_000
        stop.instance._quarantine_keeper.try_begin_trial = _wait_forever
        await stop.send(1)
        await stop.stop()
        assert await stop.list_statuses() == [503]
        assert not stop.target.runs

    run_stop(scenario)


def test_waiting_requests_run_while_a_stop_has_time_for_them(run_stop) -> None:
    """Guards against a stop that turns away requests which it could still serve."""

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=0.2)
        for _ in range(3):
            # The usual duration is known from earlier requests.
            await stop.deployment.send_request("/order/x", method="POST", body=b"x")
        await stop.send(4 * SLOTS, deadline_ms=PATIENT_TIMEOUT_MS)
        duration_s = await stop.stop()
        assert await stop.list_statuses() == [200] * (4 * SLOTS)
        assert duration_s < GRACE_PERIOD_MS / 1_000

    run_stop(scenario, grace_period_ms=GRACE_PERIOD_MS)


def test_waiting_requests_that_a_stop_would_break_off_are_refused_before(run_stop) -> None:
    """Guards against orders that are sent to a target although the process ends before its answer.

    Their callers could not tell whether they have run.
    """

    async def scenario(stop: Stop) -> None:
        await stop.start(work_s=0.6)
        for _ in range(8):
            # The usual duration is known from earlier requests.
            requests = [
                stop.deployment.send_request("/order/x", method="POST") for _ in range(SLOTS)
            ]
            await asyncio.gather(*requests)
        stop.target.runs.clear()
        await stop.send(SLOTS, deadline_ms=PATIENT_TIMEOUT_MS)
        await stop.send(8, deadline_ms=PATIENT_TIMEOUT_MS)
        await stop.stop()
        statuses = await stop.list_statuses()
        assert statuses.count(200) == sum(stop.target.runs.values())
        assert statuses.count(503) == len(statuses) - statuses.count(200)

    run_stop(scenario)


async def _wait_forever(*_arguments) -> None:
    await asyncio.Event().wait()
