"""Interrupt the handlers of requests that have no result when the process is about to end.

A request may wait in many places: for its body, a token, a trial, a target or a connection. An
interruption is a cancellation of its handler's task, so that it reaches all of them, but the
handler goes on and answers.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

__all__ = ["RequestInterruptedError", "RequestInterrupts"]


class RequestInterruptedError(Exception):
    """The process ends before the request has a result."""


class RequestInterrupts:
    """The tasks of the handlers that can be interrupted at present."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()
        self._interrupted: set[asyncio.Task[object]] = set()

    @contextlib.contextmanager
    def allow(self) -> Iterator[None]:
        """Let the current task be interrupted, which raises `RequestInterruptedError`."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            yield
        except asyncio.CancelledError:
            if task not in self._interrupted:
                raise
            task.uncancel()
            raise RequestInterruptedError from None
        finally:
            self._tasks.discard(task)
            self._interrupted.discard(task)

    def interrupt_all(self) -> int:
        """Interrupt all tasks that allow it now, and return their number."""
        tasks = self._tasks - self._interrupted
        for task in tasks:
            self._interrupted.add(task)
            task.cancel()
        return len(tasks)
