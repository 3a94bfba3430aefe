"""Run one instance whose connections to targets come from its own loopback address.

Proxies can then cut the links between single instances and targets.
"""

from __future__ import annotations

import functools
import os
import socket
import sys

from aiohappyeyeballs import AddrInfoType

from waxwingshelf.serving import __main__ as program
from waxwingshelf.serving import instance
from waxwingshelf.serving.client_sessions import open_client_socket

HOST_VARIABLE = "SOAK_INSTANCE_HOST"


def open_bound_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket for a connection that comes from the instance's address."""
    opened = open_client_socket(address)
    opened.bind((os.environ[HOST_VARIABLE], 0))
    return opened


if __name__ == "__main__":
    instance.Instance = functools.partial(  # type: ignore[assignment,misc]
        instance.Instance, open_target_socket=open_bound_socket
    )
    sys.exit(program.main())
