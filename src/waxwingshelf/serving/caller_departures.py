"""Notice that a caller has left while the rest of its body is not read.

The server stops reading a connection whose body nobody takes, and learns of the connection's end
only when it reads on. Meanwhile, the operating system is asked whether the connection has ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections.abc import Iterator

from aiohttp import web

from waxwingshelf.serving.bodies import StreamedBody

__all__ = ["cancel_when_caller_leaves"]

_CHECK_INTERVAL_S = 0.1
# The other end has finished sending, or the connection was reset.
_END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@contextlib.contextmanager
def cancel_when_caller_leaves(request: web.BaseRequest, body: object) -> Iterator[None]:
    """Cancel the current task, like the server does, when the caller of a streamed body leaves."""
    task = asyncio.current_task()
    if not isinstance(body, StreamedBody) or task is None:
        yield
        return
    watch = asyncio.create_task(_cancel_at_end(request, task))
    try:
        yield
    finally:
        watch.cancel()


async def _cancel_at_end(request: web.BaseRequest, handler: asyncio.Task[object]) -> None:
    while not _has_ended(request.transport):
        await asyncio.sleep(_CHECK_INTERVAL_S)
    handler.cancel()


def _has_ended(transport: asyncio.Transport | None) -> bool:
    """Return whether the other end has closed or reset a connection."""
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    descriptor = -1 if sock is None else sock.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, _END_EVENTS)
    return bool(poll.poll(0))
