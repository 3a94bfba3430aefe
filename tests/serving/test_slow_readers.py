"""Callers that read large responses slowly, or not at all, on loopback."""

import asyncio
import contextlib
import copy
import itertools
import json
import socket

import pytest

from tests.serving.conftest import CONFIG, HOST
from waxwingshelf.serving.instance import Instance
from waxwingshelf.serving.response_buffer import ResponseBuffer, ResponseLimitError
from waxwingshelf.steering.fleet import Heartbeat, PeerAddress
from waxwingshelf.steering.response_room import ResponseRoom

MEMORY_MB = 152
BUDGET_BYTES = MEMORY_MB * 1_000_000 // 4
DOWNLOAD_BYTES = 540_000
READERS = 200
OBJECTIVE_S = 0.4
IDLE_TIMEOUT_MS = 1_000
DOWNLOAD_TIMEOUT_MS = 3_000


def build_config(idle_timeout_ms: int = 15_000, timeout_ms: int = DOWNLOAD_TIMEOUT_MS) -> dict:
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


def add_peers(deployment, counts: dict[str, int]) -> None:
    """Let the instance know ready peers, given by failure domain of its region."""
    instance = deployment.instances["n0"]
    for domain, count in counts.items():
        for number in range(count):
            name = f"{domain}.{number}"
            address = PeerAddress(name, "north", domain, HOST, 1, 2, name)
            heartbeat = Heartbeat(address, 1, 1, True, 1, {}, reaches_targets=True)
            instance._fleet.record_heartbeat(heartbeat, instance._clock.now_ms())


async def start_readers(deployment, count: int) -> list[SlowReader]:
    readers = [SlowReader(number) for number in range(count)]
    await asyncio.gather(*(reader.send(deployment) for reader in readers))
    return readers


def test_many_slow_readers_stay_within_the_budget_and_cost_only_themselves(run_scenario) -> None:
    """Their responses took 108 MB on a machine with 152 MB; small reads are still in time."""

    async def scenario(deployment) -> None:
        # Slots for all of them at once: nothing but the budget limits what is held.
        await start_deployment(deployment, targets=READERS // 4)
        room = get_room(deployment)
        readers = await start_readers(deployment, READERS)
        peak_bytes = 0
        await deployment.wait_until(lambda: room.held_bytes > BUDGET_BYTES // 2)
        loop = asyncio.get_running_loop()
        # Until each download has been answered or refused.
        end_s = loop.time() + DOWNLOAD_TIMEOUT_MS / 1_000 + 1.5
        for number in itertools.count():
            started_s = loop.time()
            if started_s >= end_s:
                break
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


class FakeBody:
    """A response whose body arrives in parts; no length is known if `length` is None."""

    method = "GET"

    def __init__(self, size: int, length: int | None) -> None:
        self.content = self
        self.content_length = length
        self.unread = size

    def at_eof(self) -> bool:
        return self.unread == 0

    async def read(self, max_size: int) -> bytes:
        await asyncio.sleep(0)
        size = min(self.unread, max_size, 10_000)
        self.unread -= size
        return b"x" * size


@pytest.mark.parametrize("has_length", [True, False])
def test_responses_share_the_room_and_all_are_completed(has_length) -> None:
    """Responses that have each been read in part must not wait for each other for ever."""

    async def main() -> None:
        room = ResponseRoom(4_000_000)
        buffer = ResponseBuffer(room)
        peak = 0

        async def read() -> int:
            nonlocal peak
            hold = buffer.open_hold()
            body = await buffer.read(FakeBody(600_000, 600_000 if has_length else None), hold)
            peak = max(peak, room.held_bytes)
            await asyncio.sleep(0.01)
            hold.release()
            return len(body)

        async with asyncio.timeout(20):
            sizes = await asyncio.gather(*(read() for _ in range(30)))
        assert set(sizes) == {600_000}
        assert 600_000 <= peak <= room.budget_bytes
        assert room.held_bytes == 0

    asyncio.run(main())


def test_cancelled_and_failed_reads_release_their_bytes() -> None:
    async def main() -> None:
        room = ResponseRoom(4_000_000)
        buffer = ResponseBuffer(room)
        reads = [
            asyncio.create_task(buffer.read(FakeBody(600_000, length), buffer.open_hold()))
            for length in (600_000, None) * 10
        ]
        await asyncio.sleep(0.001)
        assert room.held_bytes > 0
        for read in reads:
            read.cancel()
        await asyncio.gather(*reads, return_exceptions=True)
        hold = buffer.open_hold()
        hold.release()
        # A response that arrives after its request has ended.
        await buffer.read(FakeBody(1_000, 1_000), hold)
        for length in (room.max_response_bytes + 1, None):
            with pytest.raises(ResponseLimitError):
                await buffer.read(FakeBody(room.max_response_bytes + 1, length))
        # Of the responses that were read whole, nothing is known to release but by their holds.
        assert room.held_bytes == sum(
            600_000 for read in reads if not read.cancelled() and read.exception() is None
        )

    asyncio.run(main())


def test_directory_keeps_callers_of_download_hosts_in_their_failure_domain(run_scenario) -> None:
    """The host is the query's `name`; a host without downloads is shared by the region."""

    async def scenario(deployment) -> None:
        config = build_config()
        reads = [rule for rule in config["listeners"][0]["rules"] if rule["kind"] != "download"]
        config["listeners"].append({"host": "b.example", "rules": reads[:1]})
        deployment.store.put("op/config", config)
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        directory = deployment.settings["n0"].directory

        async def count_addresses(host: str) -> int:
            query = f"/api/resolve?name={host}&region=north&zone=north-1"
            status, body = await deployment.fetch(directory, query)
            assert status == 200
            return len(json.loads(body)["addresses"])

        add_peers(deployment, {"north-1": 2, "north-2": 2})
        assert await count_addresses("a.example") == 5
        add_peers(deployment, {"north-1": 3, "north-2": 2})
        assert await count_addresses("a.example") == 4
        assert await count_addresses("b.example") == 6

    run_scenario(scenario)
