"""Changes by operators over real sockets: races, outages, lost responses, scopes, shutdowns."""

import asyncio

from standins.store import Faults
from tests.conftest import LoopbackFleet, is_ready
from waxwingshelf.core.config import hash_key

RATE = "/organisations/acme/rate_per_s"


def build_patch(value: float, path: str = RATE) -> list[dict]:
    return [{"op": "replace", "path": path, "value": value}]


async def read_revision(fleet: LoopbackFleet, name: str) -> int:
    _, response, _ = await fleet.send_request(name, "GET", "/admin/v1/manifest", fleet.operator_key)
    return response["revision"]


def test_change_reaches_all_instances_and_the_history(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        status, response, _ = await fleet.patch("n1", build_patch(77), why="less")
        assert (status, response["revision"]) == (200, 2)
        controls = [instance.control for instance in fleet.instances.values()]
        await fleet.wait_until(lambda: all(control.config.revision == 2 for control in controls))
        _, history, _ = await fleet.send_request(
            "n2", "GET", "/admin/v1/history", fleet.operator_key
        )
        last = history["revisions"][-1]
        assert (last["who"], last["why"], last["based_on"]) == ("bootstrap", "less", 1)
        _, status_page, _ = await fleet.send_request(
            "n0", "GET", "/admin/v1/status", fleet.operator_key
        )
        assert (status_page["revision"], status_page["not_confirmed"]) == (2, [])
        assert [member["name"] for member in status_page["members"]] == ["n0", "n1", "n2"]

    run_with_fleet(body)


def test_concurrent_changes_of_one_entity_conflict(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        responses = await asyncio.gather(
            fleet.patch("n0", build_patch(10), based_on=1, why="ten"),
            fleet.patch("n1", build_patch(20), based_on=1, why="twenty"),
            fleet.patch("n2", build_patch(30, "/organisations/bolt/rate_per_s"), based_on=1),
        )
        statuses = [status for status, _, _ in responses]
        assert sorted(statuses[:2]) == [200, 409]
        assert statuses[2] == 200
        problem = next(response for status, response, _ in responses if status == 409)
        assert problem["reason"] == "change_conflict"
        assert problem["paths"] == ["/organisations/acme"]
        assert problem["theirs"][0]["why"] in ("ten", "twenty")

    run_with_fleet(body)


def test_change_succeeds_if_the_store_response_is_lost(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        fleet.store.faults = Faults(lose_answers=1)
        status, response, _ = await fleet.patch("n0", build_patch(33))
        assert (status, response["revision"]) == (200, 2)
        assert await read_revision(fleet, "n1") == 2

    run_with_fleet(body)


def test_store_outage_refuses_changes_and_keeps_serving(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        fleet.store.faults = Faults(down=True)
        status, problem, headers = await fleet.patch("n0", build_patch(33))
        assert (status, problem["reason"], problem["ran"]) == (503, "store_unavailable", "no")
        assert "Retry-After" in headers
        for name in fleet.instances:
            assert (await fleet.send_request(name, "GET", "/s/web/x", "acme"))[0] == 200
        request_id = await fleet.build_request_id("during")
        assert (await fleet.send_order("n0", request_id))[0] == 200
        fleet.store.faults = Faults()
        await fleet.wait_until(lambda: is_ready(fleet.instances["n0"]))
        assert (await fleet.patch("n0", build_patch(33)))[0] == 200

    run_with_fleet(body)


def test_operator_scopes(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        operators = {
            hash_key("bolt key"): {"name": "b", "organisations": ["bolt"]},
            hash_key("reader key"): {"name": "r", "services": ["*"], "read_only": True},
        }
        operations = [
            {"op": "add", "path": f"/operators/{digest}", "value": value}
            for digest, value in operators.items()
        ]
        assert (await fleet.patch("n0", operations))[0] == 200
        cases = [
            ("bolt key", build_patch(5, "/organisations/bolt/rate_per_s"), 200),
            ("bolt key", build_patch(5), 403),
            ("bolt key", [{"op": "remove", "path": "/operators"}], 403),
            ("reader key", build_patch(5, "/organisations/bolt/rate_per_s"), 403),
            ("no key", build_patch(5), 401),
        ]
        for key, patch, expected in cases:
            change = {"patch": patch, "why": "test"}
            status, _, _ = await fleet.send_request(
                "n0", "PUT", "/admin/v1/manifest", key, json=change
            )
            assert status == expected, (key, patch)
        assert (await fleet.send_request("n0", "GET", "/admin/v1/manifest", "reader key"))[0] == 200

    run_with_fleet(body, "n0")


def test_invalid_changes_are_refused_with_a_reason(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        cases = [
            ({"patch": build_patch(-1), "why": "x"}, 422, "manifest_invalid"),
            ({"patch": [{"op": "remove", "path": "/keys/none"}], "why": "x"}, 422, None),
            ({"document": {}, "why": "x"}, 422, "manifest_invalid"),
            ({"document": 7, "based_on": 1, "why": "x"}, 422, "manifest_invalid"),
            ({"patch": "all", "why": "x"}, 400, "bad_request"),
            ({"why": 1}, 400, "bad_request"),
        ]
        for change, expected, reason in cases:
            status, problem, _ = await fleet.send_request(
                "n0", "PUT", "/admin/v1/manifest", fleet.operator_key, json=change
            )
            assert status == expected, (change, problem)
            assert reason in (None, problem["reason"])
        assert await read_revision(fleet, "n0") == 1

    run_with_fleet(body, "n0")


def test_withdrawn_key_is_refused_on_open_connections(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        for name in fleet.instances:
            assert (await fleet.send_request(name, "GET", "/s/web/x", "acme"))[0] == 200
        path = f"/keys/{hash_key(fleet.keys['acme'])}"
        assert (await fleet.patch("n2", [{"op": "remove", "path": path}]))[0] == 200

        async def is_refused() -> bool:
            calls = [
                fleet.send_request(name, "GET", "/s/web/x", "acme") for name in fleet.instances
            ]
            return all(status == 401 for status, _, _ in await asyncio.gather(*calls))

        async with asyncio.timeout(5):
            await fleet.wait_until(is_refused)

    run_with_fleet(body)


def test_graceful_shutdown_keeps_running_requests_and_responses(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        for target in fleet.targets.values():
            target.behaviour.work_ms = 1_500
        request_id = await fleet.build_request_id("kept")
        pending_order = asyncio.create_task(fleet.send_order("n0", request_id))
        await asyncio.sleep(0.2)
        fleet.instances["n0"].stop()
        status, first, _ = await pending_order
        assert status == 200

        async def is_removed_from_lookups() -> bool:
            _, response, _ = await fleet.send_request("n1", "GET", "/v1/instances?service=web")
            return "n0" not in [entry["name"] for entry in response["instances"]]

        await fleet.wait_until(is_removed_from_lookups)
        await fleet.wait_until(lambda: fleet.tasks["n0"].done())
        ledger = fleet.instances["n1"].control.state.ledger
        await fleet.wait_until(
            lambda: "n0" not in fleet.instances["n1"].control.state.ledger.holders
        )
        assert ledger is not None
        status, second, _ = await fleet.send_order("n1", request_id)
        assert (status, second) == (200, first)

    run_with_fleet(body)


def test_new_instance_gets_state_from_peers_during_store_outage(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        import msgspec

        from tools.processes import find_ports
        from waxwingshelf.program.settings import Peer

        fleet.store.faults = Faults(down=True)
        port, peer_port = find_ports(2)
        peer_settings = fleet.settings["n0"]
        fleet.settings["n9"] = msgspec.structs.replace(
            peer_settings,
            name="n9",
            port=port,
            peer_port=peer_port,
            peers=[Peer(name="n0", host=peer_settings.host, port=peer_settings.peer_port)],
        )
        fleet.ports["n9"] = port
        fleet.start_instance("n9")

        async def is_serving() -> bool:
            try:
                return (await fleet.send_request("n9", "GET", "/s/web/x", "acme"))[0] == 200
            except OSError:
                return False

        await fleet.wait_until(is_serving)

    run_with_fleet(body)
