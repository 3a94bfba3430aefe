"""Bytes without end, from targets, the store, peers and callers, are bounded; on loopback."""

import asyncio
import zlib
from pathlib import Path

import pytest

from standins.platform_target import ResponseMode
from waxwingshelf.core.bounded_reads import BodyLimitError, read_bounded
from waxwingshelf.serving.peers import _decompress

ENDLESS_MODES = [mode for mode in ResponseMode if mode.name.startswith("ENDLESS")]
TARGETS = 20
# Half of the memory that a small machine has beyond what an idle process takes.
MAX_GROWTH_BYTES = 80_000_000
PAGE_BYTES = 4_096


def read_resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


class MemoryWatch:
    """Record the process's largest resident size while a test runs."""

    def __init__(self) -> None:
        self.before = self.peak = read_resident_bytes()

    async def run(self) -> None:
        while True:
            self.peak = max(self.peak, read_resident_bytes())
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("response_mode", ENDLESS_MODES)
def test_endless_response_is_ended_at_once(run_scenario, response_mode) -> None:
    """It was read until the deadline, a body into memory without bound."""

    async def scenario(deployment) -> None:
        endless = await deployment.add_target("t1")
        endless.response_mode = response_mode
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        loop = asyncio.get_running_loop()
        started = loop.time()
        response = await deployment.send_request("/order/x", method="POST", deadline_ms=3_000)
        assert response.status == 502
        assert loop.time() - started < 0.8
        await deployment.add_target("t2")
        await asyncio.sleep(0.2)
        statuses = {
            (await deployment.send_request("/read/x", Affinity_Key=str(number))).status
            for number in range(8)
        }
        assert statuses == {200}

    run_scenario(scenario)


def test_many_endless_responses_take_bounded_memory(run_scenario) -> None:
    async def scenario(deployment) -> None:
        for number in range(TARGETS):
            target = await deployment.add_target(f"t{number}")
            target.response_mode = ENDLESS_MODES[number % 2]
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        watch = MemoryWatch()
        task = asyncio.create_task(watch.run())
        responses = asyncio.gather(
            *(
                deployment.send_request("/order/x", method="POST", Affinity_Key=str(number))
                for number in range(2 * TARGETS)
            )
        )
        readiness = deployment.settings["n0"].readiness
        while not responses.done():
            async with asyncio.timeout(0.5):
                assert (await deployment.fetch(readiness, "/api/readiness"))[0] == 200
            await asyncio.sleep(0.01)
        task.cancel()
        assert {response.status for response in await responses} <= {502, 503, 504}
        assert watch.peak - watch.before <= MAX_GROWTH_BYTES

    run_scenario(scenario)


def test_endless_head_of_a_caller_is_ended(run_scenario) -> None:
    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        await deployment.start_instance("n0")
        await deployment.wait_until_ready("n0")
        callers = deployment.settings["n0"].callers
        _, writer = await asyncio.open_connection(callers.host, callers.port)
        writer.write(b"GET /read/x HTTP/1.1\r\nHost: a.example\r\n")
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(2):
                while True:
                    writer.write(b"X-More: 1\r\n" * 1_000)
                    await writer.drain()
        assert (await deployment.send_request("/read/x")).status == 200

    run_scenario(scenario)


class EndlessReader:
    """A body without end."""

    async def readany(self) -> bytes:
        return b"x" * 1_000


def test_read_without_end_fails_at_its_limit() -> None:
    with pytest.raises(BodyLimitError):
        asyncio.run(read_bounded(EndlessReader(), 10_000))


def test_state_of_a_peer_that_expands_without_bound_is_rejected() -> None:
    assert _decompress(zlib.compress(b"state")) == b"state"
    with pytest.raises(BodyLimitError):
        _decompress(zlib.compress(bytes(40_000_000)))
    with pytest.raises(BodyLimitError):
        _decompress(zlib.compress(b"state" * 100)[:-8])
