"""Callers that leave while the rest of a large body is not read are noticed, on loopback."""

import asyncio
import contextlib
import copy
import socket
import struct

import pytest

from standins.platform_target import ResponseMode
from tests.serving.conftest import CONFIG
from waxwingshelf.serving.relay_messages import build_relay_path

BODY_BYTES = 3 * 1024 * 1024
# The platform allows a request to reach a target for half a second after its caller has left.
GONE_AFTER_S = 0.5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def build_large_config() -> dict:
    """Return a configuration with large bodies and requests that may wait for long."""
    config = copy.deepcopy(CONFIG)
    for rule in config["listeners"][0]["rules"]:
        rule["action"]["timeout_ms"] = 20_000
    return {**config, "version": "r2", "limits": {"max_body_bytes": 10 * BODY_BYTES}}


class Upload:
    """An upload of a large body on a connection of its own."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)

    async def begin(self, path: str, *headers: str, chunked: bool = False) -> None:
        """Send the head and as much of the body as the connection takes."""
        loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setblocking(False)
        await loop.sock_connect(self._socket, self._address)
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {BODY_BYTES}"
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: a.example",
            "Attempt-Id: upload-1",
            "Credential: acme-key",
            "Deadline-Ms: 15000",
            framing,
            *headers,
        ]
        body = b"x" * BODY_BYTES
        if chunked:
            body = f"{BODY_BYTES:x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self._send = asyncio.create_task(loop.sock_sendall(self._socket, data))

    async def leave(self, how: str) -> None:
        """Reset, close or half-close the connection."""
        self._send.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._send
        if how == "half-close":
            self._socket.shutdown(socket.SHUT_WR)
            return
        if how == "reset":
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._socket.close()

    def close(self) -> None:
        self._socket.close()


@pytest.fixture
def run_with_paused_target(run_scenario):
    """Return a function that runs a scenario in which every request waits for the target."""

    def run(scenario) -> None:
        async def prepared(deployment) -> None:
            deployment.store.put("op/config", build_large_config())
            target = await deployment.add_target("t1")
            instance = await deployment.start_instance("n0")
            await deployment.wait_until_ready("n0")
            target.response_mode, target.pause_s = ResponseMode.SHED, 3.0
            await deployment.send_request("/order/x", method="POST", body=b"x")
            target.response_mode, target.pause_s = ResponseMode.NORMAL, None
            await scenario(deployment, instance, target)

        run_scenario(prepared)

    return run


@pytest.mark.parametrize("how", ["reset", "close", "half-close"])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("headers", [(), ("Expect: 100-continue",)])
def test_waiting_upload_of_a_caller_that_left_reaches_no_target(
    run_with_paused_target, how, chunked, headers
) -> None:
    """Guards against uploads that keep their place in the queue after their callers have left.

    The close reaches the instance behind the unread bytes that the system has taken.
    """

    async def scenario(deployment, instance, target) -> None:
        callers = deployment.settings["n0"].callers
        upload = Upload(callers.host, callers.port)
        await upload.begin("/sheet/x", *headers, chunked=chunked)
        handler = instance._request_handler
        await deployment.wait_until(lambda: handler.in_flight == 1)
        await asyncio.sleep(0.5)
        heads_before = len(target.request_heads)
        await upload.leave(how)
        await asyncio.sleep(GONE_AFTER_S)
        assert handler.in_flight == 0
        await asyncio.sleep(3.0)
        assert len(target.request_heads) == heads_before
        upload.close()

    run_with_paused_target(scenario)


def test_waiting_upload_of_a_caller_that_stays_runs(run_with_paused_target) -> None:
    """Guards against callers that are taken for gone as their connection is quiet."""

    async def scenario(deployment, instance, target) -> None:
        body = b"x" * BODY_BYTES
        response = await deployment.send_request(
            "/sheet/x", method="POST", body=body, deadline_ms=15_000
        )
        assert response.status == 200
        assert target.request_bodies[-1] == body

    run_with_paused_target(scenario)


@pytest.mark.parametrize("how", ["reset", "close"])
def test_upload_of_a_peer_that_left_reaches_no_target(run_scenario, how) -> None:
    """Guards against uploads for a peer that wait for a connection after the peer has left."""

    async def scenario(deployment) -> None:
        target = await deployment.add_target("t1")
        instance = await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        started = asyncio.Event()

        async def wait_for_connection(*_arguments, **_options):
            started.set()
            await asyncio.Event().wait()

        instance._relay._upstream.fetch = wait_for_connection
        peer_state = deployment.settings["n0"].peer_state
        upload = Upload(peer_state.host, peer_state.port)
        await upload.begin(build_relay_path("t1", "/sheet/x"))
        await started.wait()
        await upload.leave(how)
        await asyncio.sleep(GONE_AFTER_S)
        assert instance._relay.in_flight == 0
        assert not target.request_heads

    run_scenario(scenario)
