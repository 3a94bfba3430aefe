"""Contain unexpected errors: each costs one round of a task, one entry or one request.

An error that no code expects is logged with its traceback and counted by the place where it was
contained. A place that fails again and again is logged only now and then.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, ParamSpec

import msgspec
import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.metrics import Metrics

__all__ = ["Failures", "supervise"]

# Longer than the rounds of the tasks, so that a task that fails in every round costs little.
_RESTART_DELAY_S = 0.25
_MIN_LOG_INTERVAL_MS = 10_000
# The failures of a place are over after this time without one.
_RECOVERED_MS = 10_000
_log = structlog.get_logger("failures")
P = ParamSpec("P")


class _Place(msgspec.Struct):
    """What failed at one place, and when it was logged; `unlogged` have come since."""

    last_ms: int
    logged_ms: int
    unlogged: int = 0


class Failures:
    """Log and count the unexpected errors of one instance."""

    def __init__(self, clock: Clock, metrics: Metrics | None = None) -> None:
        self._clock = clock
        self._metrics = metrics
        self._places: dict[str, _Place] = {}

    def record(self, place: str, error: BaseException, **context: Any) -> None:
        """Count an error, and log it with its traceback unless one was logged just before."""
        if self._metrics is not None:
            self._metrics.failures.labels(place).inc()
        now_ms = self._clock.now_ms()
        known = self._places.get(place)
        if known is not None and now_ms - known.logged_ms < _MIN_LOG_INTERVAL_MS:
            known.last_ms = now_ms
            known.unlogged += 1
            return
        unlogged = known.unlogged if known is not None else 0
        self._places[place] = _Place(now_ms, now_ms)
        _log.error("failure", place=place, unlogged=unlogged, exc_info=error, **context)

    @contextlib.contextmanager
    def contain(self, place: str, **context: Any) -> Iterator[None]:
        """Record an error that the block raises, and go on behind it."""
        try:
            yield
        except Exception as error:
            self.record(place, error, **context)

    def guard(self, place: str, function: Callable[P, None]) -> Callable[P, None]:
        """Return a function whose errors are recorded instead of raised."""

        def call(*args: P.args, **kwargs: P.kwargs) -> None:
            with self.contain(place):
                function(*args, **kwargs)

        return call

    def list_failing(self) -> list[str]:
        """Return the places that have failed lately."""
        since_ms = self._clock.now_ms() - _RECOVERED_MS
        return [name for name, place in self._places.items() if place.last_ms > since_ms]


async def supervise(name: str, run: Callable[[], Awaitable[None]], failures: Failures) -> None:
    """Run a background task until it returns, and start it again after each error."""
    while True:
        try:
            await run()
            return
        except Exception as error:
            failures.record(name, error)
        await asyncio.sleep(_RESTART_DELAY_S)
