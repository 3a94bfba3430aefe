"""Open connections to targets only to learn whether they accept them; nothing is sent."""

from __future__ import annotations

import asyncio
import socket

from aiohappyeyeballs import AddrInfoType

from waxwingshelf.serving.client_sessions import SocketFactory
from waxwingshelf.steering.reachability import ProbeOutcome
from waxwingshelf.steering.targets import Target

__all__ = ["probe_target", "probe_targets"]

# A further target is probed if the ones before have not accepted a connection by then.
_NEXT_PROBE_AFTER_S = 0.1
_ROUND_TIMEOUT_S = 0.5


async def probe_targets(targets: list[Target], open_socket: SocketFactory) -> list[ProbeOutcome]:
    """Connect to one target after the other until one accepts; return how that went for each."""
    probes: list[asyncio.Task[ProbeOutcome]] = []
    deadline_s = asyncio.get_running_loop().time() + _ROUND_TIMEOUT_S
    try:
        for target in targets:
            probes.append(asyncio.create_task(probe_target(target, open_socket, deadline_s)))
            await asyncio.wait({probes[-1]}, timeout=_NEXT_PROBE_AFTER_S)
            if _has_opened(probes):
                return [ProbeOutcome.OPENED]
        pending = set(probes)
        while pending and not _has_opened(probes):
            _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        return [probe.result() for probe in probes if probe.done()]
    finally:
        for probe in probes:
            probe.cancel()


def _has_opened(probes: list[asyncio.Task[ProbeOutcome]]) -> bool:
    return any(probe.done() and probe.result() is ProbeOutcome.OPENED for probe in probes)


async def probe_target(
    target: Target, open_socket: SocketFactory, deadline_s: float
) -> ProbeOutcome:
    """Connect to a target and close the connection; `deadline_s` is a time of the event loop."""
    loop = asyncio.get_running_loop()
    destination = (target.host, target.port)
    address: AddrInfoType = (
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
        "",
        destination,
    )
    with open_socket(address) as opened:
        try:
            async with asyncio.timeout_at(deadline_s):
                await loop.sock_connect(opened, destination)
        except TimeoutError:
            return ProbeOutcome.OPENED if _is_connected(opened) else ProbeOutcome.TIMED_OUT
        except ConnectionError:
            return ProbeOutcome.REFUSED
        except OSError:
            return ProbeOutcome.TIMED_OUT
    return ProbeOutcome.OPENED


def _is_connected(opened: socket.socket) -> bool:
    """Return whether a connection is open that this process was too slow to notice."""
    try:
        opened.getpeername()
    except OSError:
        return False
    return True
