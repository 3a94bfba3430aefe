"""Tests of the end of a graceful shutdown."""

import asyncio
import time

GRACE_PERIOD_MS = 4_000


def test_shutdown_ends_in_time_while_a_connection_does_not_close(run_scenario) -> None:
    """A connection with unsent bytes closes only when they are sent or the link is given up.

    A process that waits for that is killed at the end of its grace period.
    """

    async def scenario(deployment) -> None:
        await deployment.add_target("t1")
        instance = await deployment.start_instance("n0", GRACE_PERIOD_MS)
        await deployment.wait_until_ready("n0")
        instance._upstream.close = asyncio.Event().wait
        task = deployment.tasks[-1]
        started_s = time.monotonic()
        instance.stop()
        await asyncio.wait([task], timeout=GRACE_PERIOD_MS / 1_000)
        assert task.done(), f"still running after {time.monotonic() - started_s:.1f} s"
        assert task.exception() is None

    run_scenario(scenario)
