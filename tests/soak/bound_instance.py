"""Run one instance whose links to targets and to other instances can be cut one by one.

Its connections come from its own loopback address, so that proxies can tell the instances apart,
and those to other instances go through the proxies before them.
"""

from __future__ import annotations

import functools
import os
import socket
import sys
from pathlib import Path

from aiohappyeyeballs import AddrInfoType

from waxwingshelf.serving import __main__ as program
from waxwingshelf.serving import client_sessions, instance

__all__ = ["CUT_VARIABLE", "HOST_VARIABLE", "INSTANCE_SUBNET", "PROXY_SUBNET"]

HOST_VARIABLE = "SOAK_INSTANCE_HOST"
# Names a file that exists while new connections to targets fail; it holds the port that they go to.
CUT_VARIABLE = "SOAK_INSTANCE_CUT"
# The third number of the loopback addresses of instances, and of the proxies before them.
INSTANCE_SUBNET = ".7."
PROXY_SUBNET = ".8."


class PeerSocket(socket.socket):
    """A socket that connects to the proxy before an instance instead of the instance."""

    def connect(self, address: tuple[str, int]) -> None:  # type: ignore[override]
        """Connect to an address, or to the proxy before it."""
        host, port = address
        super().connect((host.replace(INSTANCE_SUBNET, PROXY_SUBNET), port))


class TargetSocket(socket.socket):
    """A socket that does not connect to targets while the links to them are cut."""

    def connect(self, address: tuple[str, int]) -> None:  # type: ignore[override]
        """Connect to a target, or to a port that does not open a connection."""
        host, port = address
        try:
            port = int(Path(os.environ[CUT_VARIABLE]).read_text())
        except (FileNotFoundError, ValueError):
            pass
        super().connect((host, port))


def open_linked_socket(socket_class: type[socket.socket], address: AddrInfoType) -> socket.socket:
    """Return a socket for a connection that comes from the instance's address."""
    opened = socket_class(fileno=client_sessions.open_client_socket(address).detach())
    opened.setblocking(False)
    opened.bind((os.environ[HOST_VARIABLE], 0))
    return opened


def main() -> int:
    """Run the instance with these sockets in place of the usual ones."""
    build_session = client_sessions.build_session
    open_peer_socket = functools.partial(open_linked_socket, PeerSocket)
    build_session.__defaults__ = tuple(
        open_peer_socket if default is client_sessions.open_client_socket else default
        for default in build_session.__defaults__ or ()
    )
    instance.Instance = functools.partial(  # type: ignore[assignment,misc]
        instance.Instance, open_target_socket=functools.partial(open_linked_socket, TargetSocket)
    )
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
