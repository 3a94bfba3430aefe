"""Structured logs that never block: a bounded buffer in front of standard output."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections import deque
from typing import Any

import msgspec
import structlog

__all__ = ["LogBuffer", "configure_logging"]

_MOST_LINES = 4_096
_WRITE_BYTES = 65_536
_STDOUT = 1


class LogBuffer:
    """Hold lines until the descriptor takes them; drop the newest when full and count them."""

    def __init__(self, descriptor: int = _STDOUT, max_lines: int = _MOST_LINES) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._most_lines = max_lines
        self._rest = b""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._waiting = False
        self.dropped = 0

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write without blocking from now on."""
        os.set_blocking(self._descriptor, False)
        self._loop = loop

    def msg(self, line: bytes) -> None:
        """Take one line."""
        if len(self._lines) >= self._most_lines:
            self.dropped += 1
            return
        self._lines.append(line + b"\n")
        if not self._waiting:
            self._flush()

    debug = info = warning = error = critical = exception = msg

    def close(self) -> None:
        """Write what the descriptor still takes at once."""
        self._flush()

    def _flush(self) -> None:
        try:
            while self._rest or self._lines:
                self._fill()
                written = os.write(self._descriptor, self._rest)
                self._rest = self._rest[written:]
        except BlockingIOError:
            self._wait()
        except OSError:
            # Nobody reads any more; serving goes on without logs.
            self.dropped += len(self._lines)
            self._lines.clear()
            self._rest = b""

    def _fill(self) -> None:
        parts = [self._rest]
        size = len(self._rest)
        while self._lines and size < _WRITE_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        self._rest = b"".join(parts)

    def _wait(self) -> None:
        if self._loop is None or self._waiting:
            return
        with contextlib.suppress(OSError, ValueError, NotImplementedError):
            self._loop.add_writer(self._descriptor, self._resume)
            self._waiting = True

    def _resume(self) -> None:
        if self._loop is not None:
            self._loop.remove_writer(self._descriptor)
        self._waiting = False
        self._flush()


def configure_logging(buffer: LogBuffer, instance: str) -> None:
    """Send structlog's events to the buffer as JSON lines."""

    def render(_logger: object, _name: str, event: Any) -> bytes:
        event["instance"] = instance
        return msgspec.json.encode(event, enc_hook=str)

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=lambda *_: buffer,
        cache_logger_on_first_use=True,
    )
