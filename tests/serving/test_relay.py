"""Requests that reach their target through a peer, on loopback."""

import asyncio
import contextlib
import copy

import pytest
import uvloop

from standins.platform_target import REQUEST_ID, ResponseMode
from tests.serving.conftest import CONFIG
from tests.serving.target_links import Cut, TargetLinks, open_unresponsive_port
from waxwingshelf.serving.relay_messages import build_relay_path, split_relay_path


class CutInstance:
    """Instance n0 without targets, and peers that reach them; the first target is t0."""

    def __init__(self, deployment, links: TargetLinks) -> None:
        self.deployment = deployment
        self.links = links

    @property
    def target(self):
        return self.deployment.targets["t0"]

    async def start(self, peers: int = 1, work_s: float = 0.0) -> None:
        target = await self.deployment.add_target("t0", work_s)
        await self.links.add_target(target.port)
        await self.deployment.start_instance("n0", open_target_socket=self.links.open_socket)
        for number in range(1, peers + 1):
            await self.deployment.start_instance(f"n{number}")
        for name in self.deployment.instances:
            await self.deployment.wait_until_ready(name)
        # Peers tell with their heartbeats that they can send for others.
        await asyncio.sleep(0.6)

    async def cut(self) -> None:
        self.links.cut(Cut.RESET)
        with contextlib.suppress(TimeoutError):
            await self.deployment.send_request("/read/x")
        await self.deployment.wait_until(lambda: self._prober.has_lost_links)

    @property
    def _prober(self):
        return self.deployment.instances["n0"]._prober


@pytest.fixture
def run_cut_scenario(run_scenario):
    """Return a function that runs a scenario with an instance whose links can be cut."""

    def run(scenario, run_loop=asyncio.run) -> None:
        async def with_links(deployment) -> None:
            with open_unresponsive_port() as port:
                links = TargetLinks(port)
                try:
                    await scenario(CutInstance(deployment, links))
                finally:
                    links.stop()

        run_scenario(with_links, run_loop)

    return run


@pytest.mark.parametrize("target_id", ["i-7f3a91c2", "a/b", "a%2Fb c?d#e"])
def test_relay_path_keeps_target_and_path(target_id) -> None:
    raw_path = "/a%2Fb//c?x=%20y&z=/"
    assert split_relay_path(build_relay_path(target_id, raw_path)) == (target_id, raw_path)


def test_target_gets_the_request_as_if_sent_directly(run_cut_scenario) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start()
        await cut.cut()
        response = await cut.deployment.send_request(
            "/sheet/a%2Fb?x=%20y", method="POST", body=b"drawing", X_Extra="kept"
        )
        assert response.status == 200
        assert response.headers["Server-Signature"] == "ok"
        assert "Waxwingshelf-Failure" not in response.headers
        line, headers = cut.target.request_heads[-1]
        assert line == "POST /sheet/a%2Fb?x=%20y HTTP/1.1"
        assert headers["host"] == "a.example"
        assert headers["tenant"] == "acme"
        assert headers["expected-instance"] == "t0"
        assert headers["x-extra"] == "kept"
        assert "credential" not in headers
        assert 0 < int(headers["deadline-ms"]) <= 1_000
        assert cut.target.request_bodies[-1] == b"drawing"

    run_cut_scenario(scenario)


def test_body_that_is_streamed_passes_through_a_peer(run_cut_scenario) -> None:
    """Bodies over 1 MiB are not buffered, so a second peer could not be sent them."""

    async def scenario(cut: CutInstance) -> None:
        await cut.start()
        limits = {"max_body_bytes": 5_000_000}
        cut.deployment.store.put("op/config", {**CONFIG, "version": "r2", "limits": limits})
        await asyncio.sleep(0.5)
        await cut.cut()
        body = b"x" * 1_500_000
        response = await cut.deployment.send_request("/sheet/x", method="POST", body=body)
        assert response.status == 200
        assert cut.target.request_bodies[-1] == body

    run_cut_scenario(scenario)


@pytest.mark.parametrize(
    ("response_mode", "status"),
    [(ResponseMode.EARLY_RESET, 502), (ResponseMode.EARLY_CLOSE, 200)],
)
def test_response_to_an_upload_that_goes_on_comes_whole_through_a_peer(
    run_cut_scenario, response_mode, status
) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start()
        limits = {"max_body_bytes": 20_000_000}
        cut.deployment.store.put("op/config", {**CONFIG, "version": "r2", "limits": limits})
        await asyncio.sleep(0.5)
        await cut.cut()
        cut.target.response_mode = response_mode
        response = await cut.deployment.send_request(
            "/sheet/x", method="POST", body=bytes(10_000_000), Attempt_Id="one"
        )
        assert response.status == status
        assert (response.body == b"answer to one") == (status == 200)
        assert cut.target.runs["one"] == 1

    run_cut_scenario(scenario, uvloop.run)


@pytest.mark.parametrize(
    ("response_mode", "status"), [(ResponseMode.RESET, 502), (ResponseMode.CUT, 502)]
)
def test_order_whose_result_the_peer_lost_is_not_sent_again(
    run_cut_scenario, response_mode, status
) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start(peers=2)
        await cut.cut()
        cut.target.response_mode = response_mode
        response = await cut.deployment.send_request("/order/x", method="POST", Attempt_Id="one")
        assert response.status == status
        assert cut.target.runs["one"] == 1

    run_cut_scenario(scenario)


@pytest.mark.parametrize(
    ("status_line", "status"),
    [
        (b"HTTP/1.1 000 X", 502),
        (b"RTSP/1.0 200 OK", 502),
        (b"HTTP/1.1 299", 299),
        (b"HTTP/1.1 599 Unusual", 599),
    ],
)
def test_only_well_formed_responses_come_through_a_peer(
    run_cut_scenario, status_line, status
) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start(peers=2)
        await cut.cut()
        cut.target.response_mode = ResponseMode.RAW
        fields = b"Attempt-Id: %b\r\nServer-Signature: raw\r\n" % REQUEST_ID
        cut.target.raw_response = status_line + b"\r\n" + fields + b"Content-Length: 2\r\n\r\nok"
        response = await cut.deployment.send_request("/order/x", method="POST", Attempt_Id="one")
        assert response.status == status
        assert cut.target.runs["one"] == 1
        assert (response.body == b"ok") == (status != 502)
        assert (response.headers.get("Server-Signature") == "raw") == (status != 502)

    run_cut_scenario(scenario, uvloop.run)


def test_order_at_a_peer_that_is_lost_is_not_sent_again(run_cut_scenario) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start(peers=2, work_s=0.5)
        await cut.cut()
        request = asyncio.create_task(
            cut.deployment.send_request("/order/x", method="POST", Attempt_Id="one")
        )
        await cut.deployment.wait_until(lambda: cut.target.runs["one"])
        session = cut.deployment.instances["n0"]._upstream._peer_session
        for connection in list(session.connector._acquired):
            connection.transport.abort()
        assert (await request).status == 502
        assert cut.target.runs["one"] == 1

    run_cut_scenario(scenario)


def test_requests_that_hang_are_sent_again_only_if_idempotent(run_cut_scenario) -> None:
    """They were on their way when the links went, so they may have run."""

    async def scenario(cut: CutInstance) -> None:
        await cut.start(work_s=0.3)
        config = copy.deepcopy(CONFIG) | {"version": "r2"}
        for rule in config["listeners"][0]["rules"]:
            rule["action"]["timeout_ms"] = 3_000
        cut.deployment.store.put("op/config", config)
        await asyncio.sleep(0.5)
        send = cut.deployment.send_request
        read = asyncio.create_task(send("/read/x", Attempt_Id="read"))
        order = asyncio.create_task(send("/order/x", method="POST", Attempt_Id="order"))
        await cut.deployment.wait_until(lambda: len(cut.target.runs) == 2)
        cut.links.cut(Cut.SILENT)
        assert (await read).status == 200
        assert cut.target.runs["read"] == 2
        assert (await order).status in (502, 504)
        assert cut.target.runs["order"] == 1

    run_cut_scenario(scenario)


def test_target_that_the_peer_knows_to_be_leaving_gets_nothing(run_cut_scenario) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start()
        await cut.cut()
        cut.target.leaving = True
        assert (await cut.deployment.send_request("/read/x", "n1")).status == 200
        sent_before = len(cut.target.request_heads)
        assert (await cut.deployment.send_request("/read/x", "n0")).status == 503
        assert len(cut.target.request_heads) == sent_before

    run_cut_scenario(scenario)


def test_both_instances_learn_what_a_target_says_of_itself(run_cut_scenario) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start()
        await cut.cut()
        cut.target.leaving = True
        assert (await cut.deployment.send_request("/read/x", "n0")).status == 200
        for name in ("n0", "n1"):
            targets = cut.deployment.instances[name]._routing_state.targets
            assert targets.find("t0").leaving

    run_cut_scenario(scenario)


def test_caller_that_leaves_ends_the_work_behind_the_peer(run_cut_scenario) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start(work_s=0.8)
        await cut.cut()
        request = asyncio.create_task(cut.deployment.send_request("/read/x", Attempt_Id="one"))
        await cut.deployment.wait_until(lambda: cut.target.runs["one"])
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)
        await cut.deployment.wait_until(lambda: "one" in cut.target.abandoned_requests)

    run_cut_scenario(scenario)


def test_planned_stop_of_the_peer_cuts_no_request(run_cut_scenario) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start(peers=2, work_s=0.3)
        await cut.cut()
        requests = []
        for number in range(60):
            if number == 5:
                cut.deployment.instances["n1"].stop()
            requests.append(
                asyncio.create_task(cut.deployment.send_request("/order/x", method="POST"))
            )
            await asyncio.sleep(0.08)
        statuses = [(await request).status for request in requests]
        assert set(statuses) == {200}

    run_cut_scenario(scenario)


def test_directory_names_instances_that_reach_targets(run_cut_scenario) -> None:
    async def scenario(cut: CutInstance) -> None:
        await cut.start()
        settings = cut.deployment.settings
        n0, n1 = (str(settings[name].callers) for name in ("n0", "n1"))

        async def wait_until_named(expected: set[str]) -> None:
            for name in ("n0", "n1"):
                async with asyncio.timeout(5.0):
                    while set(await cut.deployment.resolve(name)) != expected:
                        await asyncio.sleep(0.05)

        await wait_until_named({n0, n1})
        await cut.cut()
        await wait_until_named({n1})
        status, _ = await cut.deployment.fetch(settings["n0"].readiness, "/api/readiness")
        assert status == 200
        cut.links.heal()
        await wait_until_named({n0, n1})

    run_cut_scenario(scenario)
