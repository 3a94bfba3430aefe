"""Clients of targets and instances for tests that need no whole deployment."""

import asyncio
from dataclasses import dataclass

from waxwingshelf.core.clock import SystemClock
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.target_connections import TargetContact
from waxwingshelf.serving.upstream import UpstreamClient


@dataclass(frozen=True, slots=True)
class RawResponse:
    """A response that was read from a connection."""

    status: int
    headers: dict[str, str]


def build_upstream_client() -> UpstreamClient:
    return UpstreamClient(TargetContact(SystemClock(), Metrics()))


async def read_response(reader: asyncio.StreamReader) -> RawResponse:
    """Read the head of a response; raise `IncompleteReadError` if the connection ends before."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return RawResponse(
        int(status_line.split()[1]), {name: value.strip() for name, _, value in pairs}
    )
