"""Callers that read large responses slowly, or not at all, on loopback."""

import asyncio
import contextlib
import copy
import socket

import pytest

from tests.serving.conftest import CONFIG
from waxwingshelf.serving.instance import Instance

MEMORY_MB = 152
BUDGET_BYTES = MEMORY_MB * 1_000_000 // 4
DOWNLOAD_BYTES = 540_000
READERS = 200
OBJECTIVE_S = 0.4
IDLE_TIMEOUT_MS = 1_000


def build_config(idle_timeout_ms: int = 15_000, timeout_ms: int = 3_000) -> dict:
    """Return the configuration with a route of the kind download and a service of its own."""
    config = copy.deepcopy(CONFIG)
    config["limits"]["idle_timeout_ms"] = idle_timeout_ms
    rules = config["listeners"][0]["rules"]
    rules.append(
        {
            "name": "file",
            "kind": "download",
            "target_latency_ms": 500,
            "priority": 1,
            "match": {"path_prefix": "/file/"},
            "action": {"service": "work", "timeout_ms": timeout_ms, "attempts": 3},
        }
    )
    return config


class SlowReader:
    """A caller that asks for a download, and reads nothing of the response by itself."""

    def __init__(self, number: int, path: str = "/file/x") -> None:
        self.socket = socket.socket()
        # With a small buffer, nearly all of the response stays at the instance.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.socket.setblocking(False)
        self._head = (
            f"GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: slow-{number}\r\n"
            "Credential: acme-key\r\nDeadline-Ms: 20000\r\n\r\n"
        ).encode()

    async def send(self, deployment) -> None:
        endpoint = deployment.settings["n0"].callers
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, (endpoint.host, endpoint.port))
        await loop.sock_sendall(self.socket, self._head)

    async def read_all(self, pause_s: float = 0.0) -> bytes:
        """Read until the response is whole or the connection ends."""
        loop = asyncio.get_running_loop()
        received = bytearray()
        with contextlib.suppress(ConnectionError):
            while part := await loop.sock_recv(self.socket, 65_536):
                received += part
                _, found, body = received.partition(b"\r\n\r\n")
                if found and len(body) >= DOWNLOAD_BYTES:
                    break
                await asyncio.sleep(pause_s)
        return bytes(received)

    def close(self) -> None:
        self.socket.close()


@pytest.fixture(autouse=True)
def small_send_buffers(monkeypatch):
    """Keep the system from taking whole responses into the buffers of connections."""
    listen = Instance._listen

    async def listen_with_small_buffers(self, endpoint, factory):
        await listen(self, endpoint, factory)
        for listener in self._servers[-1].sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)

    monkeypatch.setattr(Instance, "_listen", listen_with_small_buffers)


async def start_deployment(deployment, targets: int = 2, **config) -> None:
    deployment.store.put("op/config", build_config(**config))
    for number in range(targets):
        target = await deployment.add_target(f"t{number}")
        target.body_bytes = DOWNLOAD_BYTES
        target.large_path = "/file/"
    await deployment.start_instance("n0", memory_mb=MEMORY_MB)
    await deployment.wait_until_ready("n0")


def get_room(deployment):
    return deployment.instances["n0"]._response_room


async def start_readers(deployment, count: int) -> list[SlowReader]:
    readers = [SlowReader(number) for number in range(count)]
    await asyncio.gather(*(reader.send(deployment) for reader in readers))
    return readers


def test_many_slow_readers_stay_within_the_budget_and_cost_only_themselves(run_scenario) -> None:
    """Their responses took 108 MB on a machine with 152 MB; small reads are still in time."""

    async def scenario(deployment) -> None:
        await start_deployment(deployment)
        room = get_room(deployment)
        readers = await start_readers(deployment, READERS)
        peak_bytes = 0
        await deployment.wait_until(lambda: room.held_bytes > BUDGET_BYTES // 2)
        loop = asyncio.get_running_loop()
        for number in range(40):
            started_s = loop.time()
            response = await deployment.send_request("/read/x", Affinity_Key=str(number))
            assert response.status == 200
            assert loop.time() - started_s <= OBJECTIVE_S
            peak_bytes = max(peak_bytes, room.held_bytes)
            await asyncio.sleep(0.02)
        assert BUDGET_BYTES // 2 < peak_bytes <= BUDGET_BYTES
        for reader in readers:
            reader.close()
        await deployment.wait_until(lambda: room.held_bytes == 0)

    run_scenario(scenario)


def test_reader_that_stops_is_ended_and_others_get_their_responses(run_scenario) -> None:
    """A caller that read nothing kept its response in memory until its connection broke."""

    async def scenario(deployment) -> None:
        await start_deployment(deployment, idle_timeout_ms=IDLE_TIMEOUT_MS)
        stopped, slow = await start_readers(deployment, 2)
        # It needs more time than the timeout, but reads all the while.
        body = await slow.read_all(pause_s=0.02)
        assert body.endswith(b".") and body.startswith(b"HTTP/1.1 200")
        assert len(body.partition(b"\r\n\r\n")[2]) == DOWNLOAD_BYTES
        room = get_room(deployment)
        await deployment.wait_until(lambda: room.held_bytes == 0)
        received = await stopped.read_all()
        assert len(received) < DOWNLOAD_BYTES
        status, metrics = await deployment.fetch(deployment.settings["n0"].directory, "/metrics")
        assert status == 200
        assert b"waxwingshelf_slow_readers_total 1.0" in metrics
        assert b"waxwingshelf_response_bytes_held" in metrics
        assert (await deployment.send_request("/file/x")).status == 200
        stopped.close()
        slow.close()

    run_scenario(scenario)


def test_bytes_are_released_when_the_caller_leaves(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await start_deployment(deployment)
        room = get_room(deployment)
        for _ in range(3):
            readers = await start_readers(deployment, 4)
            await deployment.wait_until(lambda: room.held_bytes >= 4 * DOWNLOAD_BYTES)
            for reader in readers:
                reader.close()
            await deployment.wait_until(lambda: room.held_bytes == 0)
        await deployment.wait_until(lambda: room._expected_bytes == 0)
        assert room.has_room_for_download(BUDGET_BYTES // 2)

    run_scenario(scenario)


def test_bytes_are_released_at_the_shutdown(run_scenario) -> None:
    """A response that is being written is a request in progress; the instance waits for it."""

    async def scenario(deployment) -> None:
        await start_deployment(deployment)
        room = get_room(deployment)
        (reader,) = await start_readers(deployment, 1)
        await deployment.wait_until(lambda: room.held_bytes >= DOWNLOAD_BYTES)
        deployment.instances["n0"].stop()
        await asyncio.sleep(0.2)
        received = await reader.read_all()
        assert len(received.partition(b"\r\n\r\n")[2]) == DOWNLOAD_BYTES
        await deployment.wait_until(lambda: room.held_bytes == 0)
        reader.close()

    run_scenario(scenario)


def test_target_gets_at_most_its_slots_of_downloads_at_once(run_scenario) -> None:
    """Targets crash when the responses that they hold exceed their memory."""

    async def scenario(deployment) -> None:
        deployment.store.put("op/config", build_config())
        target = await deployment.add_target("t0", work_s=0.2)
        target.body_bytes = 100_000
        await deployment.start_instance("n0", memory_mb=MEMORY_MB)
        await deployment.wait_until_ready("n0")
        state = deployment.instances["n0"]._routing_state.targets.get("t0")
        peak = 0

        async def watch() -> None:
            nonlocal peak
            while True:
                peak = max(peak, state.downloads)
                await asyncio.sleep(0.005)

        watcher = asyncio.create_task(watch())
        responses = await asyncio.gather(
            *(deployment.send_request("/file/x", Affinity_Key=str(n)) for n in range(12))
        )
        watcher.cancel()
        assert {response.status for response in responses} == {200}
        assert {len(response.body) for response in responses} == {100_000}
        assert 1 < peak <= state.target.slots
        assert state.downloads == 0

    run_scenario(scenario)


def test_large_response_reaches_its_caller_whole_on_a_kept_connection(run_scenario) -> None:
    """Large responses are written in parts, and the connection serves the next request."""

    async def scenario(deployment) -> None:
        await start_deployment(deployment, targets=1)
        for _ in range(3):
            response = await deployment.send_request("/file/x")
            assert response.status == 200
            assert len(response.body) == DOWNLOAD_BYTES
            assert response.headers["Content-Length"] == str(DOWNLOAD_BYTES)
            assert "Transfer-Encoding" not in response.headers
        assert get_room(deployment).held_bytes == 0

    run_scenario(scenario)
