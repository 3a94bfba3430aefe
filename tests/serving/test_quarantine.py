"""Quarantines outlast instances and the store's troubles, and harmless requests leave them."""

import asyncio
import base64
import json
import time
from collections import Counter

from multidict import CIMultiDict

from standins.platform_store import StoreFault
from standins.platform_target import ResponseMode
from tests.serving.conftest import CONFIG
from tests.serving.target_links import Cut, TargetLinks, open_unresponsive_port
from tests.serving.test_deadly_requests import (
    DEADLY_TEXT,
    STABILITY_WINDOW_S,
    count_crashes,
    start_fleet,
)
from waxwingshelf.core.rendezvous import rank
from waxwingshelf.serving.quarantine_keeper import QuarantineKeeper
from waxwingshelf.serving.request_fingerprints import compute_fingerprint
from waxwingshelf.serving.send_results import OutgoingRequest

PREFIX = "waxwingshelf/quarantine/"
DEADLY_PATH = f"/read/{DEADLY_TEXT}"
WAIT_S = 6.0
# Within this time after a fault callers are served again, as the users' rules ask.
RECOVERY_S = 15.0


def list_stored(deployment) -> dict[str, dict]:
    """Return the quarantines in the store by fingerprint."""
    return {
        key.removeprefix(PREFIX): json.loads(base64.b64decode(item.value))
        for key, item in deployment.store.items.items()
        if key.startswith(PREFIX)
    }


async def send_until_quarantined(deployment, names, path=DEADLY_PATH, body=None) -> None:
    method = "GET" if body is None else "POST"
    async with asyncio.timeout(WAIT_S):
        for number in range(1_000):
            name = names[number % len(names)]
            response = await deployment.send_request(path, name, method, body=body)
            if response.body == b"quarantined\n":
                return
            await asyncio.sleep(0.05)


async def assert_quarantined(deployment, names) -> None:
    """Assert that all copies are refused but for a trial, after which the result is unknown."""
    before = count_crashes(deployment)
    statuses = Counter()
    for name in names * 2:
        response = await deployment.send_request(DEADLY_PATH, name)
        statuses[response.status] += 1
        assert response.body == b"quarantined\n"
        assert response.status != 503 or float(response.headers["Retry-After"]) > 60
    trials = count_crashes(deployment) - before
    assert trials <= 1
    assert statuses == Counter({503: 2 * len(names) - trials, 502: trials})


def compute_read_fingerprint(path: str) -> str:
    headers = CIMultiDict({"Host": "a.example", "Tenant": "acme"})
    return compute_fingerprint(OutgoingRequest("GET", path, headers, None, "any"))


def test_instance_that_starts_knows_the_quarantines(run_scenario) -> None:
    """All instances may be killed at once; a new one would lose three targets again."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 2)
        await send_until_quarantined(deployment, names)
        await deployment.wait_until(lambda: list_stored(deployment))
        for task in deployment.tasks[-len(names) :]:
            task.cancel()
        await asyncio.gather(*deployment.tasks[-len(names) :], return_exceptions=True)
        await deployment.start_instance("new")
        await deployment.wait_until_ready("new")
        await assert_quarantined(deployment, ["new"])

    run_scenario(scenario)


def test_all_instances_know_a_quarantine_while_the_store_is_away(run_scenario) -> None:
    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 4)
        deployment.store.fault = StoreFault.REFUSE
        await send_until_quarantined(deployment, names)
        await asyncio.sleep(0.3)
        await assert_quarantined(deployment, names)
        await asyncio.sleep(1.0)
        # Trials need the store.
        await assert_quarantined(deployment, names)
        assert not list_stored(deployment)
        deployment.store.fault = StoreFault.NONE
        await deployment.wait_until(lambda: list_stored(deployment))

    run_scenario(scenario)


def test_streamed_request_is_quarantined_and_another_body_is_not(run_scenario) -> None:
    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 3)
        limits = {"max_body_bytes": 5_000_000}
        deployment.store.put("op/config", {**CONFIG, "version": "r2", "limits": limits})
        await asyncio.sleep(0.5)
        path, body = f"/sheet/{DEADLY_TEXT}", b"x" * 1_500_000
        await send_until_quarantined(deployment, names, path, body)
        await asyncio.sleep(0.3)
        before = count_crashes(deployment)
        for name in names:
            response = await deployment.send_request(path, name, "POST", body=body)
            assert (response.status, response.body) == (503, b"quarantined\n")
        assert count_crashes(deployment) == before
        other = await deployment.send_request(path, names[0], "POST", body=b"y" + body)
        assert other.body != b"quarantined\n"

    run_scenario(scenario)


def test_request_sent_through_a_peer_is_quarantined(run_scenario) -> None:
    """The instance that the callers use reaches no target; its peer sees the crashes."""

    async def scenario(deployment) -> None:
        with open_unresponsive_port() as port:
            links = TargetLinks(port)
            for number in range(4):
                target = await deployment.add_target(f"t{number}")
                target.deadly_text = DEADLY_TEXT
                await links.add_target(target.port)
            cut = await deployment.start_instance("n0", open_target_socket=links.open_socket)
            await deployment.start_instance("n1")
            for name in ("n0", "n1"):
                await deployment.wait_until_ready(name)
            await asyncio.sleep(0.6)
            links.cut(Cut.RESET)
            await deployment.wait_until(lambda: deployment.send_request("/read/fine", "n0"))
            await deployment.wait_until(lambda: cut._prober.has_lost_links)
            await send_until_quarantined(deployment, ["n0"])
            await asyncio.sleep(0.3)
            await assert_quarantined(deployment, ["n0", "n1"])
            links.stop()

    run_scenario(scenario)


def test_second_deadly_request_is_stopped_while_the_store_is_silent(run_scenario) -> None:
    """The decision waited until the store had answered about the first one."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 2)
        deployment.store.fault = StoreFault.SILENT
        await send_until_quarantined(deployment, names)
        began_s = time.monotonic()
        await send_until_quarantined(deployment, names, DEADLY_PATH + "/2")
        assert time.monotonic() - began_s < STABILITY_WINDOW_S / 2

    run_scenario(scenario)


def test_quarantine_is_stored_again_after_the_store_came_back_from_a_copy(run_scenario) -> None:
    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 2)
        snapshot = deployment.store.take_snapshot()
        await send_until_quarantined(deployment, names)
        await deployment.wait_until(lambda: list_stored(deployment))
        deployment.store.restore(snapshot)
        assert not list_stored(deployment)
        await deployment.wait_until(lambda: list_stored(deployment))
        await assert_quarantined(deployment, names)

    run_scenario(scenario)


def test_quarantine_of_a_request_that_was_answered_is_lifted(run_scenario) -> None:
    """An instance that has not seen the crashes may know that the request is harmless."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 4)
        assert (await deployment.send_request("/read/fine", "n1")).status == 200
        fingerprint = compute_read_fingerprint("/read/fine")
        entry = {"began_ms": 2_000_000_000_000, "lifted": False, "suspected_ms": 5_000}
        deployment.store.put(PREFIX + fingerprint, entry)
        await deployment.wait_until(lambda: list_stored(deployment)[fingerprint]["lifted"])
        for name in names:
            assert (await deployment.send_request("/read/fine", name)).status == 200

    run_scenario(scenario)


def test_trial_lifts_the_quarantine_of_a_harmless_request(run_scenario) -> None:
    """A request that is often sent was at all crashes of an outage, and was held back for long."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 4)
        fingerprint = compute_read_fingerprint("/read/fine")
        began_ms = int(time.time() * 1_000)
        entry = {"began_ms": began_ms, "lifted": False, "suspected_ms": 500}
        deployment.store.put(PREFIX + fingerprint, entry)
        await asyncio.sleep(0.5)

        async def send_all() -> set[int]:
            sends = (deployment.send_request("/read/fine", name) for name in names)
            return {response.status for response in await asyncio.gather(*sends)}

        assert await send_all() == {503}

        async def is_lifted() -> bool:
            await send_all()
            return list_stored(deployment)[fingerprint]["lifted"]

        await deployment.wait_until(is_lifted)
        await asyncio.sleep(0.5)
        assert await send_all() == {200}

    run_scenario(scenario)


def test_trial_lost_with_its_instance_is_made_up_for_soon(run_scenario) -> None:
    """Guards against harmless requests held back for long as the instance of a trial was killed."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 4)
        fingerprint = compute_read_fingerprint("/read/fine")
        began_ms = int(time.time() * 1_000) - 5_500
        # The second trial was claimed by an instance that nobody has heard of since.
        entry = {"began_ms": began_ms, "lifted": False, "trials": 2, "suspected_ms": 500}
        deployment.store.put(PREFIX + fingerprint, entry)
        await asyncio.sleep(0.5)
        assert (await deployment.send_request("/read/fine", names[0])).status == 503

        async with asyncio.timeout(RECOVERY_S - 3.0):
            while (await deployment.send_request("/read/fine", names[1])).status != 200:
                await asyncio.sleep(0.1)
        assert list_stored(deployment)[fingerprint]["trials"] == 3

    run_scenario(scenario)


def test_trial_that_crashed_its_target_is_not_made_up_for(run_scenario) -> None:
    """Guards against deadly requests that use up their trials at once."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 4)
        fingerprint = compute_read_fingerprint(DEADLY_PATH)
        began_ms = int(time.time() * 1_000) - 5_500
        entry = {"began_ms": began_ms, "lifted": False, "trials": 1, "settled_trials": 1}
        deployment.store.put(PREFIX + fingerprint, {**entry, "suspected_ms": 500})
        await asyncio.sleep(0.5)
        ends_s = time.monotonic() + 5.0
        while time.monotonic() < ends_s:
            await asyncio.gather(*(deployment.send_request(DEADLY_PATH, name) for name in names))
            await asyncio.sleep(0.1)
        assert count_crashes(deployment) == 1
        stored = list_stored(deployment)[fingerprint]
        assert (stored["trials"], stored["settled_trials"]) == (2, 2)

    run_scenario(scenario)


def test_outcome_of_a_trial_is_stored_without_collectors(run_scenario, monkeypatch) -> None:
    """Guards against quarantines that no instance may try again as collectors of an earlier build
    do not write the outcome of a trial."""
    monkeypatch.setattr(QuarantineKeeper, "_list_collectors", lambda keeper: ["earlier"])

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 2)
        fingerprint = compute_read_fingerprint(DEADLY_PATH)
        began_ms = int(time.time() * 1_000) - 1_500
        entry = {"began_ms": began_ms, "lifted": False, "trials": 0, "suspected_ms": 500}
        deployment.store.put(PREFIX + fingerprint, entry)
        await asyncio.sleep(0.5)
        assert (await deployment.send_request(DEADLY_PATH, names[0])).status == 502
        await deployment.wait_until(
            lambda: list_stored(deployment)[fingerprint].get("settled_trials") == 1
        )

    run_scenario(scenario)


def test_trials_of_a_deadly_request_are_single(run_scenario) -> None:
    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 4)
        fingerprint = compute_read_fingerprint(DEADLY_PATH)
        began_ms = int(time.time() * 1_000) - 1_500
        entry = {"began_ms": began_ms, "lifted": False, "suspected_ms": 500}
        deployment.store.put(PREFIX + fingerprint, entry)
        await asyncio.sleep(0.5)
        for _ in range(5):
            await asyncio.gather(*(deployment.send_request(DEADLY_PATH, name) for name in names))
            await asyncio.sleep(0.1)
        assert count_crashes(deployment) == 1
        assert list_stored(deployment)[fingerprint]["trials"] == 1

    run_scenario(scenario)


def test_request_answered_before_the_crashes_stays_quarantined(run_scenario) -> None:
    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 2)
        assert (await deployment.send_request("/read/fine", "n1")).status == 200
        fingerprint = compute_read_fingerprint("/read/fine")
        entry = {"began_ms": 2_000_000_000_000, "lifted": False, "suspected_ms": 0}
        deployment.store.put(PREFIX + fingerprint, entry)
        await asyncio.sleep(0.8)
        assert not list_stored(deployment)[fingerprint]["lifted"]
        for name in names:
            assert (await deployment.send_request("/read/fine", name)).status == 503

    run_scenario(scenario)


def test_malformed_quarantine_is_ignored(run_scenario) -> None:
    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 1)
        fingerprint = compute_read_fingerprint("/read/fine")
        deployment.store.put(PREFIX + fingerprint, {"began_ms": "soon"})
        await asyncio.sleep(0.6)
        assert (await deployment.send_request("/read/fine", names[0])).status == 200

    run_scenario(scenario)


def test_connections_reset_by_targets_that_live_on_are_no_crashes(run_scenario) -> None:
    """A target that resets some of its connections answers others, and no request is to blame."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 2)
        for target in deployment.targets.values():
            target.response_mode = ResponseMode.RESET
        for _ in range(6):
            for name in names:
                await deployment.send_request("/read/fine", name)
        for target in deployment.targets.values():
            target.response_mode = ResponseMode.NORMAL
        await asyncio.sleep(1.2)
        assert not list_stored(deployment)
        for name in names:
            assert (await deployment.send_request("/read/fine", name)).status == 200

    run_scenario(scenario)


def test_targets_that_crash_by_themselves_leave_repeated_requests_in_use(run_scenario) -> None:
    """One request that is often sent is at many crashes, and is answered in between."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 3)

        async def send_often() -> list[int]:
            statuses = []
            for number in range(90):
                name = names[number % len(names)]
                response = await deployment.send_request("/read/often", name)
                statuses.append(response.status)
                await asyncio.sleep(0.02)
            return statuses

        senders = [asyncio.create_task(send_often()) for _ in range(3)]
        for target in deployment.targets.values():
            await asyncio.sleep(0.3)
            target.crash()
        await asyncio.gather(*senders)
        await asyncio.sleep(1.2)
        in_force = [entry for entry in list_stored(deployment).values() if not entry["lifted"]]
        assert not in_force
        for name in names:
            assert (await deployment.send_request("/read/often", name)).status == 200

    run_scenario(scenario)


def test_instances_of_an_earlier_build_are_no_collectors(run_scenario) -> None:
    """They ignore reports: while most instances were of an earlier build, nobody decided."""

    async def scenario(deployment) -> None:
        names = await start_fleet(deployment, 2)
        candidates = [f"old{number}" for number in range(50)]
        for name in rank("crash collector", [*names, *candidates])[:3]:
            assert name not in names
            entry = {
                "name": name,
                "region": "north",
                "failure_domain": "north-1",
                "host": "127.0.0.1",
                "beat_port": 9,
                "state_port": 9,
                "caller_address": "127.0.0.1:9",
            }
            deployment.store.put(f"waxwingshelf/members/{name}", entry)
        await asyncio.sleep(0.6)
        await send_until_quarantined(deployment, names)
        await asyncio.sleep(0.3)
        await assert_quarantined(deployment, names)

    run_scenario(scenario)
