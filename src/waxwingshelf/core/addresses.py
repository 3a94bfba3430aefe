"""Check network addresses that come from outside."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec

from waxwingshelf.core.quantities import parse_count

__all__ = ["Ipv4Address", "Ipv4Endpoint", "parse_address"]

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IPV4 = rf"{_OCTET}(\.{_OCTET}){{3}}"
# Texts that a decoder checks: an IPv4 address, and one with a port.
Ipv4Address = Annotated[str, msgspec.Meta(pattern=rf"^{_IPV4}\Z")]
Ipv4Endpoint = Annotated[str, msgspec.Meta(pattern=rf"^{_IPV4}:[0-9]{{1,5}}\Z")]

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
_MAX_SHOWN_CHARACTERS = 60


def parse_address(text: str) -> tuple[str, int]:
    """Split HOST:PORT; raise `ValueError` unless the host is an IP address and the port valid.

    An IPv6 address stands in brackets, and keeps them.
    """
    host, _, port = text.rpartition(":")
    if not _is_ip_address(host):
        raise ValueError(f"{text[:_MAX_SHOWN_CHARACTERS]!r} is not HOST:PORT with an IP address")
    number = parse_count(port, _MAX_PORT_DIGITS)
    if number is None or not 0 < number <= _MAX_PORT:
        raise ValueError(f"{port[:_MAX_SHOWN_CHARACTERS]!r} is no port")
    return host, number


def _is_ip_address(host: str) -> bool:
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        version = ipaddress.ip_address(host[1:-1] if is_bracketed else host).version
    except ValueError:
        return False
    return is_bracketed == (version == 6)
