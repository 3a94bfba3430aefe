"""Connections to targets, and what they tell of the network between this instance and targets."""

from __future__ import annotations

from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.response_buffer import BoundedResponseHandler

__all__ = ["TargetConnection", "TargetConnector", "TargetContact"]


class TargetContact:
    """When this instance last heard from any target, and how many connections it opened."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self.heard_at_ms = clock.now_ms()

    def record_heard(self) -> None:
        """Record that a target sent bytes."""
        self.heard_at_ms = self._clock.now_ms()

    def record_opened(self) -> None:
        """Count a new connection to a target."""
        self._metrics.target_connections.labels("opened").inc()

    def record_failed(self) -> None:
        """Count a connection to a target that could not be opened."""
        self._metrics.target_connections.labels("failed").inc()

    def compute_silence_ms(self) -> int:
        """Return the time since a target was last heard."""
        return self._clock.now_ms() - self.heard_at_ms


class TargetConnector(aiohttp.TCPConnector):
    """A connection pool that records which connections could be opened."""

    def __init__(self, contact: TargetContact, **options: Any) -> None:
        super().__init__(**options)
        self._contact = contact

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        try:
            connection = await super()._create_connection(req, traces, timeout)
        except OSError:
            self._contact.record_failed()
            raise
        self._contact.record_opened()
        return connection


class TargetConnection(BoundedResponseHandler):
    """A connection to a target that records when the target is heard."""

    def __init__(self, contact: TargetContact, **options: Any) -> None:
        super().__init__(**options)
        self._contact = contact

    def data_received(self, data: bytes) -> None:
        """Record that the target is heard, and parse what it sent."""
        self._contact.record_heard()
        super().data_received(data)
