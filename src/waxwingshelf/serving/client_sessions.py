"""HTTP client sessions whose connections detect unresponsive peers."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

import aiohttp
from aiohappyeyeballs import AddrInfoType
from aiohttp.client_proto import ResponseHandler

from waxwingshelf.checked_responses import CompleteResponseHandler, build_connector
from waxwingshelf.header_bytes import preserve_header_bytes

__all__ = ["SocketFactory", "build_session", "open_client_socket"]

_TCP_USER_TIMEOUT_MS = 2_000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# SO_LINGER with a timeout of zero: close() resets the connection and discards unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)
SocketFactory = Callable[[AddrInfoType], socket.socket]


def open_client_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket whose connection is reset when its peer is silent for too long."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
    return opened


def build_session(
    keepalive_s: float,
    max_connections_per_host: int = 0,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
    request_class: type[aiohttp.ClientRequest] = aiohttp.ClientRequest,
    protocol_class: Callable[..., ResponseHandler] = CompleteResponseHandler,
    connector_class: Callable[..., aiohttp.TCPConnector] = aiohttp.TCPConnector,
    open_socket: SocketFactory = open_client_socket,
    timeout: aiohttp.ClientTimeout = _NO_TIMEOUT,
) -> aiohttp.ClientSession:
    """Return a session that neither decompresses bodies nor retries requests on its own."""
    preserve_header_bytes()
    connector = build_connector(
        protocol_class,
        connector_class,
        limit=0,
        limit_per_host=max_connections_per_host,
        keepalive_timeout=keepalive_s,
        use_dns_cache=False,
        socket_factory=open_socket,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=response_class,
        request_class=request_class,
        timeout=timeout,
    )
    # aiohttp would retry a DELETE on a new connection although the first attempt may have run.
    session._retry_connection = False
    return session
