"""A loopback proxy that can delay, reset or stop the data of its connections."""

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
_SILENCE_S = 60.0


class LinkFault(StrEnum):
    """Faults of the connections through a proxy.

    SILENT forwards nothing, ONE_WAY forwards only data towards the destination, and RESET resets
    open and new connections.
    """

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"


class Proxy:
    """Forward data between a listening port and a destination, subject to a fault."""

    def __init__(self, host: str, port: int) -> None:
        self._destination = (host, port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._healed = asyncio.Event()
        self.fault = LinkFault.NONE
        self._cut_hosts: dict[str, LinkFault] = {}
        self.port = 0

    async def start(self, host: str) -> None:
        """Listen on a free port, or again on the same one after `refuse`."""
        if self._server is None:
            self._server = await asyncio.start_server(self._handle_connection, host, self.port)
            self.port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse new connections while open ones live on, until `start` is called."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault; RESET resets open connections immediately."""
        self.fault = fault
        if fault is LinkFault.NONE:
            self._healed.set()
            self._healed = asyncio.Event()
        if fault is LinkFault.RESET:
            for writer in list(self._writers):
                _reset_connection(writer)

    def cut_host(self, host: str, fault: LinkFault) -> None:
        """Set a fault, SILENT or RESET, of the connections that come from one address only."""
        self._cut_hosts[host] = fault
        if fault is LinkFault.RESET:
            for writer in list(self._writers):
                if _get_source(writer) == host:
                    _reset_connection(writer)

    def silence_connections(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        self._silent |= self._writers

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = _get_source(writer)
        if LinkFault.RESET in (self.fault, self._cut_hosts.get(host)):
            _reset_connection(writer)
            return
        try:
            destination_reader, destination_writer = await asyncio.open_connection(
                *self._destination
            )
        except OSError:
            _reset_connection(writer)
            return
        writers = (writer, destination_writer)
        self._writers.update(writers)
        forward_task = asyncio.create_task(
            self._relay(reader, destination_writer, host, forward=True)
        )
        backward_task = asyncio.create_task(
            self._relay(destination_reader, writer, host, forward=False)
        )
        ended, _ = await asyncio.wait(
            [forward_task, backward_task], return_when=asyncio.FIRST_COMPLETED
        )
        for task in (forward_task, backward_task):
            task.cancel()
        # A close in place of a reset would make a truncated body look complete.
        was_reset = any(task.result() for task in ended)
        for end in writers:
            self._writers.discard(end)
            self._silent.discard(end)
            if was_reset:
                _reset_connection(end)
            end.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
        forward: bool,
    ) -> bool:
        """Pass bytes on until one end is closed; return whether it was reset."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(_DELAY_S)
                is_silent = LinkFault.SILENT in (self.fault, self._cut_hosts.get(host))
                is_silent = is_silent or writer in self._silent
                if is_silent or (self.fault is LinkFault.ONE_WAY and not forward):
                    # A connection stays silent after the fault ends; only new connections work.
                    await asyncio.sleep(_SILENCE_S)
                    return False
                writer.write(data)
                await writer.drain()
        except OSError:
            return True
        return False


def _get_source(writer: asyncio.StreamWriter) -> str:
    """Return the address that a connection comes from; empty if it has been closed."""
    peer = writer.get_extra_info("peername")
    return peer[0] if peer else ""


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError, AttributeError):
        raw_socket = writer.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
