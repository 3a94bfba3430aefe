"""An event loop whose time jumps to the next timer, so that tests with delays take no time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """A selector that never waits; it tells the loop how long it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        # Without a timer, only another thread could wake the loop: the test would hang.
        assert timeout is not None, "nothing is left to wait for"
        self.skipped_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop and clock on virtual time, which begins at 1,000 s."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        return 1_000.0 + self._jumping_selector.skipped_s

    def now_ms(self) -> int:
        return round(self.time() * 1_000)

    def wall_ms(self) -> int:
        return self.now_ms() + 1_700_000_000_000

    def run(self, main: Coroutine[Any, Any, None]) -> None:
        """Run a test to its end, and check that it leaves no task behind."""

        async def check_tasks() -> None:
            await main
            await asyncio.sleep(0)
            left = asyncio.all_tasks() - {asyncio.current_task()}
            assert not left, left

        try:
            self.run_until_complete(check_tasks())
        finally:
            self.close()
