"""Requests over real sockets, with faulty targets and misbehaving clients."""

import asyncio

import pytest
from multidict import CIMultiDict

from tests.conftest import HOST, LoopbackFleet
from waxwingshelf.adapters.target_http import TargetRequest
from waxwingshelf.core.refusals import Ran, Refusal
from waxwingshelf.program.dispatcher import Exchange

parametrize = pytest.mark.parametrize


def test_request_is_forwarded_without_api_key(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        status, response, headers = await fleet.send_request("n0", "GET", "/s/web/a?b=1", "acme")
        assert (status, response["path"], response["organisation"]) == (200, "/a?b=1", "acme")
        assert headers["X-Request-Id"]
        seen = fleet.targets[response["target"]].header_values_seen
        assert not any(fleet.keys["acme"] in value for value in seen)
        assert "Authorization" not in fleet.targets[response["target"]].headers_seen

    run_with_fleet(body)


def test_invalid_requests_are_refused_before_dispatch(run_with_fleet) -> None:
    cases = [
        ("/s/none/x", "acme", {}, 404, "service_unknown"),
        ("/s/web/x", "", {}, 401, "key_missing"),
        ("/s/web/x", "wrong", {}, 401, "key_invalid"),
        ("/s/web/x", "", {"Authorization": "Basic eA=="}, 401, "key_invalid"),
        ("/s/web/x", "acme", {"X-Deadline-Ms": "soon"}, 400, "bad_request"),
        ("/s/web/x", "acme", {"X-Deadline-Ms": "0"}, 400, "bad_request"),
        ("/s/web/x", "acme", {"X-Deadline-Ms": "9" * 50}, 400, "bad_request"),
    ]

    async def body(fleet: LoopbackFleet) -> None:
        for path, key, headers, status, reason in cases:
            received_status, problem, response_headers = await fleet.send_request(
                "n0", "GET", path, key, headers=headers
            )
            assert (received_status, problem["reason"], problem["ran"]) == (
                status,
                reason,
                "no",
            ), path
            assert response_headers["Content-Type"] == "application/problem+json"
        operator = fleet.operator_key
        assert (await fleet.send_request("n0", "GET", "/s/web/x", operator))[1][
            "reason"
        ] == "key_invalid"
        status, problem, _ = await fleet.send_request("n0", "GET", "/admin/v1/manifest", "acme")
        assert (status, problem["reason"]) == (401, "operator_key_invalid")

    run_with_fleet(body, "n0")


def test_non_idempotent_request_needs_valid_request_id(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        status, problem, _ = await fleet.send_request("n0", "POST", "/s/orders/x", "acme")
        assert (status, problem["reason"]) == (400, "id_missing")
        for invalid_id in ("mine", "1.r0.x.y", "1.r0.5.", "1.r0.5." + "z" * 300):
            status, problem, _ = await fleet.send_order("n0", invalid_id)
            assert (status, problem["reason"]) == (400, "id_invalid"), invalid_id
        status, problem, _ = await fleet.send_order("n0", "1.r0.1000.old")
        assert (problem["reason"], problem["ran"]) == ("id_expired", "unknown")

    run_with_fleet(body)


def test_repeated_request_gets_stored_response(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        request_id = await fleet.build_request_id("a")
        _, first, _ = await fleet.send_order("n0", request_id)
        status, second, headers = await fleet.send_order("n2", request_id)
        assert (status, second, headers["X-Replayed"]) == (200, first, "1")
        status, problem, _ = await fleet.send_order("n1", request_id, b"another body")
        assert (status, problem["reason"]) == (422, "id_reused")
        assert count_runs(fleet, request_id) == 1

    run_with_fleet(body)


def test_concurrent_duplicate_requests_run_at_most_once(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        for number in range(10):
            request_id = await fleet.build_request_id(f"race-{number}")
            await asyncio.gather(*(fleet.send_order(name, request_id) for name in fleet.instances))
            assert count_runs(fleet, request_id) <= 1

    run_with_fleet(body)


@parametrize("mode", ["cut", "error", "crossed", "hang"])
def test_non_idempotent_request_is_not_rerun_after_target_failure(
    run_with_fleet, mode: str
) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        for target in fleet.targets.values():
            target.behaviour.mode = mode
        request_id = await fleet.build_request_id(mode)
        headers = {"Idempotency-Key": request_id, "X-Deadline-Ms": "1500"}
        status, problem, _ = await fleet.send_request(
            "n0", "POST", "/s/orders/x", "acme", headers=headers, data=b"{}"
        )
        assert status >= 500
        if mode != "error":
            assert problem["ran"] == "unknown"
        for target in fleet.targets.values():
            target.behaviour.mode = "normal"
        await fleet.send_order("n1", request_id)
        assert count_runs(fleet, request_id) == 1

    run_with_fleet(body)


def test_request_refused_by_target_is_retried(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        fleet.targets["orders-0"].behaviour.mode = "refuse"
        request_id = await fleet.build_request_id("a")
        status, response, _ = await fleet.send_order("n0", request_id)
        assert (status, response["target"]) == (200, "orders-1")
        fleet.targets["orders-1"].behaviour.mode = "refuse"
        request_id = await fleet.build_request_id("b")
        status, problem, headers = await fleet.send_order("n0", request_id)
        assert (status, problem["ran"]) == (503, "no")
        assert int(headers["Retry-After"]) >= 1
        fleet.targets["orders-1"].behaviour.mode = "normal"
        await asyncio.sleep(int(headers["Retry-After"]))
        assert (await fleet.send_order("n1", request_id))[0] == 200
        assert count_runs(fleet, request_id) == 1

    run_with_fleet(body)


@parametrize("mode", ["cut", "crossed"])
def test_idempotent_request_is_retried_after_target_failure(run_with_fleet, mode: str) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        fleet.targets["web-0"].behaviour.mode = mode
        for number in range(10):
            status, response, _ = await fleet.send_request("n0", "GET", f"/s/web/{number}", "acme")
            assert status in (200, 503)
            if status == 200:
                assert (response["path"], response["target"]) == (f"/{number}", "web-1")
            else:
                assert response["ran"] == "unknown"

    run_with_fleet(body, "n0")


def test_truncated_streamed_response_fails_at_caller(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        async def serve_truncated(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + bytes(200_000))
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve_truncated, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        patch = [{"op": "replace", "path": f"/targets/web-{n}/port", "value": port} for n in (0, 1)]
        assert (await fleet.patch("n0", patch))[0] == 200
        with pytest.raises(Exception, match=r"payload|closed|disconnected|ContentLength"):
            await fleet.send_request("n0", "GET", "/s/web/x", "acme")
        server.close()

    run_with_fleet(body, "n0")


def test_draining_target_gets_no_requests(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        target = fleet.targets["web-0"]
        target.behaviour.draining = True
        await fleet.wait_until(lambda: fleet.send_request("n0", "GET", "/s/web/x", "acme"))
        await asyncio.sleep(1.5)
        before = target.headers_seen.copy(), sum(target.runs.values())
        for _ in range(20):
            assert (await fleet.send_request("n0", "GET", "/s/web/x", "acme"))[1][
                "target"
            ] == "web-1"
        assert before == (target.headers_seen, sum(target.runs.values()))

    run_with_fleet(body, "n0")


def test_planned_target_stop_applies_within_two_seconds(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        stop = {"op": "add", "path": "/planned_stops/web-0", "value": {"kind": "target"}}
        await fleet.patch("n1", [stop])
        await asyncio.sleep(2)
        before = sum(fleet.targets["web-0"].runs.values())
        for name in fleet.instances:
            for _ in range(10):
                assert (await fleet.send_request(name, "GET", "/s/web/x", "acme"))[0] == 200
        assert sum(fleet.targets["web-0"].runs.values()) == before

    run_with_fleet(body)


def test_request_body_size_limits(run_with_fleet) -> None:
    async def endless():  # type: ignore[no-untyped-def]
        for _ in range(1_000):
            yield bytes(10_000)

    async def body(fleet: LoopbackFleet) -> None:
        request_id = await fleet.build_request_id("a")
        status, problem, _ = await fleet.send_order("n0", request_id, bytes(100_001))
        assert (status, problem["reason"], problem["ran"]) == (413, "body_too_large", "no")
        status, problem, _ = await fleet.send_order("n0", request_id, endless())
        assert (status, problem["reason"], problem["ran"]) == (413, "body_too_large", "no")
        status, response, _ = await fleet.send_request(
            "n0", "PUT", "/s/web/x", "acme", data=bytes(900_000)
        )
        assert (status, response["body_bytes"]) == (200, 900_000)

    run_with_fleet(body)


def test_request_to_removed_service_is_refused(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        instance = fleet.instances["n0"]
        config = instance.control.config
        operations = [
            {"op": "remove", "path": "/targets/public-0"},
            {"op": "remove", "path": "/services/public"},
        ]
        assert (await fleet.patch("n0", operations))[0] == 200
        request = TargetRequest("GET", "/x", CIMultiDict(), None, "id", 1_000, True)
        result = await instance._dispatcher.dispatch(config, Exchange("public", "", request, 1_000))
        assert isinstance(result, Refusal)
        assert (result.reason.name, result.ran) == ("service_unknown", Ran.NO)

    run_with_fleet(body, "n0")


def test_slow_request_body_is_refused(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        reader, writer = await asyncio.open_connection(HOST, fleet.ports["n0"])
        request_id = await fleet.build_request_id("slow")
        head = (
            f"POST /s/orders/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n"
            f"Authorization: Bearer {fleet.keys['acme']}\r\nIdempotency-Key: {request_id}\r\n\r\n"
        )
        writer.write(head.encode() + b"{")
        status = await asyncio.wait_for(reader.readline(), 10)
        assert b" 408 " in status
        writer.close()
        assert count_runs(fleet, request_id) == 0
        assert (await fleet.send_request("n0", "GET", "/s/web/x", "acme"))[0] == 200

    run_with_fleet(body, "n0")


def test_internal_error_returns_500(run_with_fleet, monkeypatch: pytest.MonkeyPatch) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        monkeypatch.setattr("waxwingshelf.program.requests._read_deadline", lambda *_: 1 / 0)
        status, problem, _ = await fleet.send_request("n0", "GET", "/s/web/x", "acme")
        assert (status, problem["reason"], problem["ran"]) == (500, "internal_error", "unknown")

    run_with_fleet(body, "n0")


def test_organisation_rate_limit_is_enforced(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        await asyncio.sleep(4)
        statuses = [
            (await fleet.send_request(name, "GET", "/s/web/x", "tiny"))[0]
            for name in list(fleet.instances) * 4
        ]
        assert statuses.count(200) <= 2 + 0.5 * 5
        assert 429 in statuses

    run_with_fleet(body)


def test_caller_disconnect_cancels_target_request(run_with_fleet) -> None:
    async def body(fleet: LoopbackFleet) -> None:
        for name in ("web-0", "web-1"):
            fleet.targets[name].behaviour.mode = "hang"
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(fleet.send_request("n0", "GET", "/s/web/x", "acme"), 0.3)
        web_targets = [fleet.targets[name] for name in ("web-0", "web-1")]
        await fleet.wait_until(lambda: sum(target.cancelled for target in web_targets) == 1)

    run_with_fleet(body, "n0")


def count_runs(fleet: LoopbackFleet, request_id: str) -> int:
    return sum(target.runs[request_id] for target in fleet.targets.values())
