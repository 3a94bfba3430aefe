"""Checks of planned stops and restarts that need quiet before them."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from typing import TYPE_CHECKING

import aiohttp

from standins.platform_target import ResponseMode
from tests.soak.deployment import (
    GRACE_PERIOD_S,
    LIMITED_BURST,
    LIMITED_KEY,
    LIMITED_RATE_PER_S,
    Process,
)
from tests.soak.proxy import LinkFault

if TYPE_CHECKING:
    from tests.soak.soak import SoakRun

__all__ = ["check_rate_after_restart", "check_stop_while_requests_wait"]

# Far more than the slots of all targets.
_WAITING_REQUESTS = 120
_SLOW_WORK_S = 1.0
_PAUSE_S = 5.0
# Requests are accepted for this long after the signal.
_ACCEPTED_S = 2.5
_PATIENT_MS = 9_000
_LEASE_TTL_S = 6.0
_WINDOW_S = 5.0
_OVERAGE = 0.1
_SLACK = 20.0
# Requests per second at each instance, together several times the rate.
_ASKED_PER_S = 50


async def check_stop_while_requests_wait(run: SoakRun, session: aiohttp.ClientSession) -> None:
    """Stop an instance in which requests wait for targets: each one must get an answer.

    Callers go on sending to it for a while, as its addresses are still known to them. The targets
    are busy, or have all asked for time.
    """
    response_mode = run.rng.choice((ResponseMode.NORMAL, ResponseMode.SHED))
    for target in run.deployment.targets:
        target.work_s, target.response_mode = _SLOW_WORK_S, response_mode
        target.pause_s = _PAUSE_S
    process = run.rng.choice(run.deployment.processes)
    tasks = [_send_patiently(run, session, process) for _ in range(_WAITING_REQUESTS)]
    await asyncio.sleep(run.rng.uniform(0.0, 1.0))
    for _ in range(run.rng.choice((1, 1, 2))):
        run.deployment.send_signal(process, signal.SIGTERM)
        await asyncio.sleep(0.2)
    stop_accepting_s = time.monotonic() + _ACCEPTED_S - 0.5
    while time.monotonic() < stop_accepting_s:
        tasks.append(_send_patiently(run, session, process))
        await asyncio.sleep(0.05)
    statuses = await asyncio.gather(*tasks)
    if unanswered := statuses.count(0) + statuses.count(500):
        run.add_violation(
            "a planned stop answers every request that it accepted",
            f"{process.name}: {unanswered} of {len(statuses)}",
        )
    await asyncio.sleep(GRACE_PERIOD_S)
    run.restart_exited()
    for target in run.deployment.targets:
        target.work_s, target.response_mode = 0.02, ResponseMode.NORMAL
        target.pause_s = None


def _send_patiently(
    run: SoakRun, session: aiohttp.ClientSession, process: Process
) -> asyncio.Task[int]:
    request = run.send_request(session, process, True, "/patient/x", deadline_ms=_PATIENT_MS)
    return asyncio.create_task(request)


async def check_rate_after_restart(run: SoakRun, session: aiohttp.ClientSession) -> None:
    """Restart all instances while the store is away, and maybe again: a rate must hold.

    The outage is longer than the leases of the instances last. Callers ask for several times the
    rate all the time.
    """
    times_s: list[tuple[float, float]] = []
    callers = [
        asyncio.create_task(_ask_often(run, session, process, times_s))
        for process in run.deployment.processes
    ]
    await asyncio.sleep(2.0)
    run.deployment.store_proxy.set_fault(run.rng.choice((LinkFault.RESET, LinkFault.SILENT)))
    await _restart_all(run)
    await asyncio.sleep(_LEASE_TTL_S)
    run.deployment.store_proxy.set_fault(LinkFault.NONE)
    for _ in range(run.rng.choice((0, 1))):
        await asyncio.sleep(run.rng.uniform(0.5, 2.0))
        await _restart_all(run)
    await asyncio.sleep(_WINDOW_S)
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    _check_windows(run, times_s)


async def _restart_all(run: SoakRun) -> None:
    for process in run.deployment.processes:
        run.deployment.send_signal(process, signal.SIGKILL)
    await asyncio.sleep(run.rng.uniform(0.5, 1.5))
    run.restart_exited()


async def _ask_often(
    run: SoakRun,
    session: aiohttp.ClientSession,
    process: Process,
    times_s: list[tuple[float, float]],
) -> None:
    """Send requests of the limited organisation, and keep when each one ran."""
    tasks: list[asyncio.Task[None]] = []

    async def ask() -> None:
        sent_s = time.monotonic()
        if await run.send_request(session, process, False, key=LIMITED_KEY) == 200:
            times_s.append((sent_s, time.monotonic()))

    try:
        while True:
            tasks.append(asyncio.create_task(ask()))
            await asyncio.sleep(1 / _ASKED_PER_S)
    finally:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)


def _check_windows(run: SoakRun, times_s: list[tuple[float, float]]) -> None:
    limit = (LIMITED_RATE_PER_S * _WINDOW_S + LIMITED_BURST) * (1 + _OVERAGE) + _SLACK
    most = 0
    for start_s, _ in times_s:
        end_s = start_s + _WINDOW_S
        most = max(most, sum(start_s <= sent_s and ran_s <= end_s for sent_s, ran_s in times_s))
    if most > limit:
        run.add_violation("an organisation keeps its rate", f"{most} requests, allowed {limit:g}")
    if not times_s:
        run.add_violation("requests are served", "none of the limited organisation")
