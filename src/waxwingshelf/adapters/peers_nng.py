"""Send datagrams between instances over pynng push and pull sockets."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

import pynng

from waxwingshelf.ports import PeerAddress

__all__ = ["NngTransport"]

_MAX_CONNECTIONS = 64
_SEND_BUFFER_MESSAGES = 128
_SEND_TIMEOUT_MS = 1_000
_MAX_PENDING_SENDS = 256
_MIN_RECONNECT_MS = 50
_MAX_RECONNECT_MS = 1_000
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class NngTransport:
    """Receive on one pull socket and send over push sockets to the most recently used peers."""

    def __init__(self, host: str, port: int) -> None:
        self._pull_socket = pynng.Pull0(recv_max_size=_MAX_MESSAGE_BYTES)
        self._pull_socket.listen(_build_url(host, port))
        self._push_sockets: OrderedDict[PeerAddress, pynng.Push0] = OrderedDict()
        self._pending_sends: set[asyncio.Future[None]] = set()

    def send(self, address: PeerAddress, data: bytes) -> bool:
        """Send a datagram without waiting; return False if it was dropped immediately.

        A socket that is still connecting or whose buffer is full does not accept a datagram at
        once; a separate task then waits to send it, for at most the send timeout.
        """
        socket = self._get_push_socket(address)
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            return self._send_later(socket, data)
        except pynng.NNGException:
            return False
        return True

    async def receive(self) -> bytes:
        """Wait for the next datagram and return it."""
        data: bytes = await self._pull_socket.arecv()
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            # `arecv` swallows a cancellation that arrives while it completes.
            raise asyncio.CancelledError
        return data

    def close(self) -> None:
        """Cancel the pending sends and close all sockets."""
        for task in self._pending_sends:
            task.cancel()
        self._pull_socket.close()
        for socket in self._push_sockets.values():
            socket.close()

    def _send_later(self, socket: pynng.Push0, data: bytes) -> bool:
        if len(self._pending_sends) >= _MAX_PENDING_SENDS:
            return False
        task = asyncio.ensure_future(socket.asend(data))
        self._pending_sends.add(task)
        task.add_done_callback(self._finish_pending_send)
        return True

    def _finish_pending_send(self, task: asyncio.Future[None]) -> None:
        self._pending_sends.discard(task)
        if not task.cancelled():
            # A datagram may be lost. Retrieving the exception keeps asyncio from reporting it.
            task.exception()

    def _get_push_socket(self, address: PeerAddress) -> pynng.Push0:
        socket = self._push_sockets.get(address)
        if socket is None:
            socket = pynng.Push0(
                send_buffer_size=_SEND_BUFFER_MESSAGES,
                send_timeout=_SEND_TIMEOUT_MS,
                reconnect_time_min=_MIN_RECONNECT_MS,
                reconnect_time_max=_MAX_RECONNECT_MS,
            )
            socket.dial(_build_url(address.host, address.port), block=False)
            self._push_sockets[address] = socket
        self._push_sockets.move_to_end(address)
        while len(self._push_sockets) > _MAX_CONNECTIONS:
            _, least_recently_used = self._push_sockets.popitem(last=False)
            least_recently_used.close()
        return socket


def _build_url(host: str, port: int) -> str:
    return f"tcp://{host}:{port}"
