"""Datagrams between instances over pynng push and pull sockets."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

import pynng

from waxwingshelf.ports import PeerAddress

__all__ = ["NngTransport"]

_KEPT_CONNECTIONS = 64
_SEND_BUFFER_MESSAGES = 128
_SEND_TIMEOUT_MS = 1_000
_MOST_WAITING = 256
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 1_000
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class NngTransport:
    """Listen on one pull socket and keep push sockets to the peers used last."""

    def __init__(self, host: str, port: int) -> None:
        self._pull = pynng.Pull0(recv_max_size=_MAX_MESSAGE_BYTES)
        self._pull.listen(_url(host, port))
        self._push: OrderedDict[PeerAddress, pynng.Push0] = OrderedDict()
        self._waiting: set[asyncio.Future[None]] = set()

    def send(self, address: PeerAddress, data: bytes) -> bool:
        """Send without waiting; False when the peer's buffer is full.

        A socket that is still connecting takes nothing, so what goes to it waits for a moment in
        a task of its own.
        """
        socket = self._connect(address)
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            return self._send_later(socket, data)
        except pynng.NNGException:
            return False
        return True

    async def receive(self) -> bytes:
        """Wait for the next datagram."""
        data: bytes = await self._pull.arecv()
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            # A receive that completes while it is cancelled swallows the cancellation.
            raise asyncio.CancelledError
        return data

    def close(self) -> None:
        """Free the sockets."""
        for task in self._waiting:
            task.cancel()
        self._pull.close()
        for socket in self._push.values():
            socket.close()

    def _send_later(self, socket: pynng.Push0, data: bytes) -> bool:
        if len(self._waiting) >= _MOST_WAITING:
            return False
        task = asyncio.ensure_future(socket.asend(data))
        self._waiting.add(task)
        task.add_done_callback(self._end_waiting)
        return True

    def _end_waiting(self, task: asyncio.Future[None]) -> None:
        self._waiting.discard(task)
        if not task.cancelled():
            # Reading the exception marks it as seen: a datagram may be lost.
            task.exception()

    def _connect(self, address: PeerAddress) -> pynng.Push0:
        socket = self._push.get(address)
        if socket is None:
            socket = pynng.Push0(
                send_buffer_size=_SEND_BUFFER_MESSAGES,
                send_timeout=_SEND_TIMEOUT_MS,
                reconnect_time_min=_RECONNECT_MIN_MS,
                reconnect_time_max=_RECONNECT_MAX_MS,
            )
            socket.dial(_url(address.host, address.port), block=False)
            self._push[address] = socket
        self._push.move_to_end(address)
        while len(self._push) > _KEPT_CONNECTIONS:
            _, oldest = self._push.popitem(last=False)
            oldest.close()
        return socket


def _url(host: str, port: int) -> str:
    return f"tcp://{host}:{port}"
