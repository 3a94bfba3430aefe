"""Connections to targets, and what they tell of the links between this instance and targets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.response_buffer import BoundedResponseHandler
from waxwingshelf.steering.reachability import TargetReachability

__all__ = ["LinksLostError", "TargetConnection", "TargetConnector", "TargetContact"]


class LinksLostError(aiohttp.ClientError):
    """No connection is opened, since this instance reaches no target at present."""


class TargetContact:
    """Feed the reachability of the targets with what connections to them show."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self.reachability = TargetReachability(clock.now_ms())
        self.on_failed: Callable[[], None] = lambda: None

    def record_heard(self) -> None:
        """Record that a target sent bytes."""
        self.reachability.record_heard(self._clock.now_ms())

    def record_opened(self) -> None:
        """Record a new connection to a target."""
        self.reachability.record_opened(self._clock.now_ms())
        self._metrics.target_connections.labels("opened").inc()

    def record_failed(self) -> None:
        """Record a connection to a target that could not be opened."""
        self.reachability.record_failed(self._clock.now_ms())
        self._metrics.target_connections.labels("failed").inc()
        self.on_failed()

    def compute_silence_ms(self) -> int:
        """Return the time since a target was last heard."""
        return self.reachability.compute_silence_ms(self._clock.now_ms())


class TargetConnector(aiohttp.TCPConnector):
    """A connection pool that opens no connections while the links to all targets are lost."""

    def __init__(self, contact: TargetContact, **options: Any) -> None:
        super().__init__(**options)
        self._contact = contact

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        if not self._contact.reachability.may_open():
            raise LinksLostError("no target can be reached")
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
