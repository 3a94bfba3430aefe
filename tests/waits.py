"""Wait for conditions in tests that use real sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

_POLL_INTERVAL_S = 0.02


async def wait_until(condition: Callable[[], Any], timeout_s: float) -> None:
    """Poll a synchronous or asynchronous condition; raise TimeoutError after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while True:
            result = condition()
            if isinstance(result, Awaitable):
                result = await result
            if result:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
