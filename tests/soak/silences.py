"""Checks of what an instance must notice although nobody tells it; they need quiet before them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp

from standins.platform_target import ResponseMode
from tests.soak.deployment import EXTRA_KEY

if TYPE_CHECKING:
    from tests.soak.soak import SoakRun

__all__ = ["check_departed_uploads", "check_key_withdrawn_in_silence"]

CONFIG_APPLY_S = 2.5
STABILITY_WINDOW_S = 3.0
_UPLOADS = 12
# Too large to be read before a target is chosen.
_UPLOAD_BYTES = 2 * 1024 * 1024
_PAUSE_S = 3.0
_GONE_AFTER_S = 0.5


async def check_key_withdrawn_in_silence(run: SoakRun, session: aiohttp.ClientSession) -> None:
    """Withdraw a key after the connections to the store have gone silent; new ones work."""
    run.deployment.store_proxy.silence_connections()
    await asyncio.sleep(run.rng.uniform(0.0, 1.0))
    silent_s = time.monotonic()
    run.deployment.withdraw_extra_key()
    await asyncio.sleep(max(CONFIG_APPLY_S, silent_s + STABILITY_WINDOW_S - time.monotonic()))
    for process in run.deployment.processes:
        status = await run.send_request(session, process, False, key=EXTRA_KEY, may_refuse=True)
        if status != 401:
            run.add_violation("a withdrawn key is refused in time", f"{process.name}: {status}")


async def check_departed_uploads(run: SoakRun, session: aiohttp.ClientSession) -> None:
    """Let callers leave while their uploads wait for targets that have all asked for time."""
    for target in run.deployment.targets:
        target.response_mode, target.pause_s = ResponseMode.SHED, _PAUSE_S
    process = run.rng.choice(run.deployment.processes)
    for _ in range(2 * len(run.deployment.targets)):
        await run.send_request(session, process, False)
    uploads = [
        asyncio.create_task(
            run.send_request(
                session,
                process,
                True,
                "/patient/x",
                deadline_ms=9_000,
                body=b"x" * _UPLOAD_BYTES,
            )
        )
        for _ in range(_UPLOADS)
    ]
    await asyncio.sleep(run.rng.uniform(0.3, 1.0))
    for upload in uploads:
        upload.cancel()
    await asyncio.gather(*uploads, return_exceptions=True)
    await asyncio.sleep(_GONE_AFTER_S)
    before = _count_uploads(run)
    for target in run.deployment.targets:
        target.response_mode, target.pause_s = ResponseMode.NORMAL, None
    await asyncio.sleep(_PAUSE_S + 1.0)
    if reached := _count_uploads(run) - before:
        run.add_violation("an upload whose caller has left reaches no target", str(reached))


def _count_uploads(run: SoakRun) -> int:
    """Return how many uploads have reached the targets."""
    return sum(
        line.startswith("POST /patient/")
        for target in run.deployment.targets
        for line, _ in target.request_heads
    )
