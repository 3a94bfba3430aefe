"""Protocols of the external services that the program uses; adapters implement them."""

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
    """The key-value service refused a call or could not be reached.

    Nothing was written, unless the error is a `StoreTimeoutError`.
    """

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer


class StoreTimeoutError(StoreError):
    """The key-value service did not respond, so a write may have taken effect."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A stored value with its version, which increases by one with each write."""

    version: int
    value: Any


class Store(Protocol):
    """The key-value service of the platform."""

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None if the key was never written."""

    async def compare_and_swap(self, key: str, expected: int, value: Any) -> bool:
        """Write a value if the version of the key equals `expected`; return whether it was written.

        The version of a key that was never written is 0.
        """

    async def watch(self, key: str, after: int, wait_ms: int) -> StoredValue | None:
        """Wait for a version above `after`; return None if none appears within `wait_ms`."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """The address on which a peer listens for datagrams."""

    host: str
    port: int


class PeerTransport(Protocol):
    """Datagrams between instances, which may be lost, duplicated, delayed or reordered."""

    def send(self, address: PeerAddress, data: bytes) -> bool:
        """Send a datagram without waiting; return False if it was dropped immediately."""

    async def receive(self) -> bytes:
        """Wait for the next datagram and return it."""

    def close(self) -> None:
        """Close all sockets."""


class Metrics(Protocol):
    """Counters, timings and gauges."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""

    def time(self, name: str, ms: float) -> None:
        """Record a duration in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to a value."""
