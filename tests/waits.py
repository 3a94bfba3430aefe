"""Wait for what real sockets bring about."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

_POLL_S = 0.02


async def wait_until(condition: Callable[[], Any], timeout_s: float) -> None:
    """Poll a condition, plain or awaitable, until it holds; raise TimeoutError after the limit."""
    async with asyncio.timeout(timeout_s):
        while True:
            result = condition()
            if isinstance(result, Awaitable):
                result = await result
            if result:
                return
            await asyncio.sleep(_POLL_S)
