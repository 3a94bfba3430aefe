"""A loopback proxy that delays, resets, cuts one way or silences the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

__all__ = ["LinkFault", "Proxy"]

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CHUNK_BYTES = 65_536
_DELAY_S = 0.15
_HELD_S = 60.0


class LinkFault(StrEnum):
    """What happens to the bytes of a link."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"


class Proxy:
    """Pass bytes between a listening port and a destination."""

    def __init__(self, host: str, port: int) -> None:
        self._destination = (host, port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._healed = asyncio.Event()
        self.fault = LinkFault.NONE
        self.port = 0

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_fault(self, fault: LinkFault) -> None:
        """Change what happens from now on; a reset hits open connections at once."""
        self.fault = fault
        if fault is LinkFault.NONE:
            self._healed.set()
            self._healed = asyncio.Event()
        if fault is LinkFault.RESET:
            for writer in list(self._writers):
                _reset(writer)

    def stop(self) -> None:
        """Stop listening and close everything."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is LinkFault.RESET:
            _reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._destination)
        except OSError:
            _reset(writer)
            return
        pair = (writer, far_writer)
        self._writers.update(pair)
        there = asyncio.create_task(self._pass(reader, far_writer, forward=True))
        back = asyncio.create_task(self._pass(far_reader, writer, forward=False))
        await asyncio.wait([there, back], return_when=asyncio.FIRST_COMPLETED)
        for task in (there, back):
            task.cancel()
        for end in pair:
            self._writers.discard(end)
            end.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forward: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(_DELAY_S)
                silenced = self.fault is LinkFault.SILENT
                if silenced or (self.fault is LinkFault.ONE_WAY and not forward):
                    # A connection that went silent stays so; only new ones work again.
                    await asyncio.sleep(_HELD_S)
                    return
                writer.write(data)
                await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError, AttributeError):
        opened = writer.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
