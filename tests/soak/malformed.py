"""Malformed responses of all targets, which no client of the soak may get."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from standins.platform_target import REQUEST_ID, ResponseMode

if TYPE_CHECKING:
    from tests.soak.soak import SoakRun

__all__ = ["MALFORMED_RESPONSES", "check_malformed_responses"]

_REST = b"Attempt-Id: %b\r\nServer-Signature: ok\r\nContent-Length: 9\r\n\r\nmalformed" % REQUEST_ID
MALFORMED_RESPONSES = [
    b"HTTP/1.1 000 X\r\nNot-Executed: 1\r\n" + _REST,
    b"HTTP/1.1 777 X\r\nNot-Executed: 1\r\n" + _REST,
    b"RTSP/1.0 200 OK\r\n" + _REST,
    b"HTTP/1.1 200 OK\r\nUpgrade : h2c\r\n" + _REST,
    b"HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" + _REST,
]
_TARGET_FAILED = 502
_FAILED_STATUSES = (_TARGET_FAILED, 503, 504)


async def check_malformed_responses(run: SoakRun, session: aiohttp.ClientSession) -> None:
    """Check that an order whose target sends a malformed response fails."""
    statuses = []
    for number, response in enumerate(MALFORMED_RESPONSES):
        for target in run.deployment.targets:
            target.raw_response = response
            target.response_mode = ResponseMode.RAW
        process = run.rng.choice(run.deployment.processes)
        # No request that was at a target when it crashed, as such a one may be quarantined.
        path = f"/order/malformed-{number}"
        status = await run.send_request(session, process, unsafe=True, path=path)
        statuses.append(status)
        if status not in _FAILED_STATUSES:
            status_line = response.splitlines()[0].decode()
            run.add_violation("no client gets a malformed response", f"{status_line}: {status}")
    for target in run.deployment.targets:
        target.response_mode = ResponseMode.NORMAL
    if _TARGET_FAILED not in statuses:
        run.add_violation("orders reach the targets that send malformed responses", f"{statuses}")
