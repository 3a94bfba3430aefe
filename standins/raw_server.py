"""A stand-in for any HTTP server, which answers every request with the same bytes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

__all__ = ["ConnectionEnd", "RawServerStandIn"]

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# The bytes before a reset must arrive first.
_RESET_DELAY_S = 0.02
_PART_BYTES = 65_536


class ConnectionEnd(StrEnum):
    """What happens to a connection after a response."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"


class RawServerStandIn:
    """Send `response` when the head of a request has arrived, and read the body afterwards.

    `end` is what then happens to the connection. `connections` counts them.
    """

    def __init__(self, response: bytes, end: ConnectionEnd = ConnectionEnd.KEEP) -> None:
        self.response = response
        self.end = end
        self.connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.response)
            await writer.drain()
            if self.end is ConnectionEnd.RESET:
                await asyncio.sleep(_RESET_DELAY_S)
                raw_socket = writer.get_extra_info("socket")
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                writer.transport.abort()
                return
            if self.end is ConnectionEnd.CLOSE:
                writer.write_eof()
            while await reader.read(_PART_BYTES):
                pass
        writer.close()
