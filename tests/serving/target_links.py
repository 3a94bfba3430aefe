"""The links between single instances and all targets, which a test can cut."""

import contextlib
import socket
from collections.abc import Iterator
from enum import StrEnum

from aiohappyeyeballs import AddrInfoType

from tests.soak.proxy import LinkFault, Proxy
from waxwingshelf.serving.client_sessions import open_client_socket

_HOST = "127.0.0.1"


class Cut(StrEnum):
    """How an instance loses all targets.

    SILENT: no byte arrives any more, and new connections neither open nor fail. RESET: open
    connections are reset, and new ones refused. REFUSE: open connections live on, and new ones are
    refused.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSE = "refuse"


_FAULTS = {Cut.SILENT: LinkFault.SILENT, Cut.RESET: LinkFault.RESET, Cut.REFUSE: LinkFault.NONE}


@contextlib.contextmanager
def open_unresponsive_port() -> Iterator[int]:
    """Yield a port where connections neither open nor fail, since its queue of them is full."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        port = listener.getsockname()[1]
        for _ in range(4):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", port))
        yield port


def reserve_refusing_port() -> socket.socket:
    """Return a socket whose port refuses connections, and which no server can take meanwhile.

    It is bound but does not listen. Its port is not of the range in which `find_ports` looks.
    """
    reserved = socket.socket()
    reserved.bind((_HOST, 0))
    return reserved


class _RedirectedSocket(socket.socket):
    """A socket that connects to the proxy of the address instead, if the links allow it."""

    links: "TargetLinks"

    def connect(self, address) -> None:
        super().connect((_HOST, self.links.find_port(address[1])))


class TargetLinks:
    """The links between one instance and all targets, each through a proxy of its own."""

    def __init__(self, unresponsive_port: int) -> None:
        self._unresponsive_port = unresponsive_port
        self._refusing_socket = reserve_refusing_port()
        self._proxies: dict[int, Proxy] = {}
        self._cut: Cut | None = None

    async def add_target(self, port: int) -> None:
        proxy = Proxy(_HOST, port)
        await proxy.start(_HOST)
        self._proxies[port] = proxy

    def open_socket(self, address: AddrInfoType) -> socket.socket:
        opened = _RedirectedSocket(fileno=open_client_socket(address).detach())
        opened.setblocking(False)
        opened.links = self
        return opened

    def find_port(self, port: int) -> int:
        if self._cut is None:
            return self._proxies[port].port
        if self._cut is Cut.SILENT:
            return self._unresponsive_port
        return self._refusing_socket.getsockname()[1]

    def cut(self, cut: Cut) -> None:
        self._cut = cut
        for proxy in self._proxies.values():
            proxy.set_fault(_FAULTS[cut])

    def heal(self) -> None:
        self._cut = None
        for proxy in self._proxies.values():
            proxy.set_fault(LinkFault.NONE)

    def stop(self) -> None:
        for proxy in self._proxies.values():
            proxy.stop()
        self._refusing_socket.close()
