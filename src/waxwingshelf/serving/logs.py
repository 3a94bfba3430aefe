"""Structured logging that never blocks: a bounded buffer in front of standard output."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections import deque
from typing import Any

import msgspec
import structlog

from waxwingshelf.core.opaque_text import show_text

__all__ = ["LogBuffer", "configure_logging"]

_MAX_LINES = 4_096
_WRITE_CHUNK_BYTES = 65_536
_STDOUT_DESCRIPTOR = 1


class LogBuffer:
    """Buffer log lines for a file descriptor; when full, drop new lines and count them."""

    def __init__(self, descriptor: int = _STDOUT_DESCRIPTOR, max_lines: int = _MAX_LINES) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._max_lines = max_lines
        self._pending = b""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._writer_added = False
        self.dropped = 0

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Make the descriptor non-blocking and use `loop` to detect when it is writable again."""
        os.set_blocking(self._descriptor, False)
        self._loop = loop

    def msg(self, line: bytes) -> None:
        """Buffer one line, and write it unless an earlier write is still waiting."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(line + b"\n")
        if not self._writer_added:
            self._flush()

    debug = info = warning = error = critical = exception = msg

    def close(self) -> None:
        """Write as much as the descriptor accepts now; the rest stays unwritten."""
        self._flush()

    def _flush(self) -> None:
        try:
            while self._pending or self._lines:
                self._fill_pending()
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            self._wait_until_writable()
        except OSError:
            # The reader is gone: drop the buffered lines and keep serving without logs.
            self.dropped += len(self._lines)
            self._lines.clear()
            self._pending = b""

    def _fill_pending(self) -> None:
        parts = [self._pending]
        size = len(self._pending)
        while self._lines and size < _WRITE_CHUNK_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        self._pending = b"".join(parts)

    def _wait_until_writable(self) -> None:
        if self._loop is None or self._writer_added:
            return
        with contextlib.suppress(OSError, ValueError, NotImplementedError):
            self._loop.add_writer(self._descriptor, self._handle_writable)
            self._writer_added = True

    def _handle_writable(self) -> None:
        if self._loop is not None:
            self._loop.remove_writer(self._descriptor)
        self._writer_added = False
        self._flush()


def configure_logging(buffer: LogBuffer, instance: str) -> None:
    """Configure structlog to write events to `buffer` as JSON lines with the instance's name."""

    def render(_logger: object, _name: str, event: Any) -> bytes:
        event["instance"] = instance
        try:
            return msgspec.json.encode(event, enc_hook=str)
        except (ValueError, OverflowError, TypeError):
            return msgspec.json.encode(_make_encodable(event))

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


def _make_encodable(value: Any) -> Any:
    """Return a value as the encoder takes it, with all texts in valid Unicode."""
    if value is None or isinstance(value, int | float):
        return value
    if isinstance(value, dict):
        return {show_text(str(key)): _make_encodable(item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [_make_encodable(item) for item in value]
    return show_text(str(value))
