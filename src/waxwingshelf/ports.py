"""What the program needs from the outside, as protocols that adapters fulfil."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

__all__ = [
    "Metrics",
    "PeerAddress",
    "PeerTransport",
    "Store",
    "StoreError",
    "StoreTimeoutError",
    "StoredValue",
]


class StoreError(Exception):
    """The key-value service refused or could not be reached; nothing was written."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer


class StoreTimeoutError(StoreError):
    """No answer came: a write may have taken effect."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value with its version, which rises by one with each write."""

    version: int
    value: Any


class Store(Protocol):
    """The platform's key-value service."""

    async def get(self, key: str) -> StoredValue | None:
        """Read a value; None when the key was never written."""

    async def compare_and_swap(self, key: str, expected: int, value: Any) -> bool:
        """Write when the version is as expected, 0 for a new key; False when it is not."""

    async def watch(self, key: str, after: int, wait_ms: int) -> StoredValue | None:
        """Wait for a version above `after`; None when the wait ended without one."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer listens."""

    host: str
    port: int


class PeerTransport(Protocol):
    """Datagrams between instances: they may be lost, doubled, delayed or reordered."""

    def send(self, address: PeerAddress, data: bytes) -> bool:
        """Send without waiting; False when it was dropped at once."""

    async def receive(self) -> bytes:
        """Wait for the next datagram."""

    def close(self) -> None:
        """Free the sockets."""


class Metrics(Protocol):
    """Counters, timings and gauges."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def time(self, name: str, ms: float) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
