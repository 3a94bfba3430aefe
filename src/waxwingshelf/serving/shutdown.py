"""Stop an instance gracefully: finish what its callers wait for, and answer the rest in time."""

from __future__ import annotations

import asyncio

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.dispatcher import Dispatcher
from waxwingshelf.serving.hedged_sender import HedgedSender
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.serving.relay import RelayEndpoint
from waxwingshelf.serving.requests import RequestHandler

__all__ = ["Shutdown"]

_POLL_INTERVAL_S = 0.05
# New requests are still accepted for this long after the shutdown has begun, since callers may use
# a directory response for up to three times its time to live.
_ACCEPT_NEW_MS = 2_900
# What remains of the grace period when requests in progress are interrupted.
_MARGIN_MS = 500
# For the answers to interrupted requests, and for callers that are still reading.
_ANSWER_MS = 200
_MS_PER_S = 1_000
_log = structlog.get_logger("shutdown")


class Shutdown:
    """Leave the directory, serve for a while, refuse new requests, and interrupt the last ones."""

    def __init__(
        self,
        peer_network: PeerNetwork,
        request_handler: RequestHandler,
        dispatcher: Dispatcher,
        relay: RelayEndpoint,
        hedged_sender: HedgedSender | None,
        clock: Clock,
    ) -> None:
        self._peer_network = peer_network
        self._request_handler = request_handler
        self._dispatcher = dispatcher
        self._relay = relay
        self._hedged_sender = hedged_sender
        self._clock = clock

    async def run(self, grace_period_ms: int) -> None:
        """Return when no request is in progress, or shortly before the grace period ends."""
        now_ms = self._clock.now_ms()
        ends_at_ms = now_ms + max(0, grace_period_ms - _MARGIN_MS)
        _log.info("stopping", in_flight=self._request_handler.in_flight)
        self._leave(ends_at_ms)
        await self._sleep_until(min(now_ms + _ACCEPT_NEW_MS, ends_at_ms))
        self._request_handler.refusing_requests = True
        self._relay.refusing_requests = True
        await self._wait_until_idle(ends_at_ms)
        self._interrupt()
        await self._wait_until_idle(ends_at_ms + _ANSWER_MS)

    def _leave(self, ends_at_ms: int) -> None:
        self._peer_network.ready = False
        if self._hedged_sender is not None:
            self._hedged_sender.stopping = True
        self._request_handler.closing_connections = True
        self._dispatcher.begin_shutdown(ends_at_ms)
        self._peer_network.send_heartbeats()

    def _interrupt(self) -> None:
        """End the requests that wait, or whose targets are at work: the process ends before them.

        Waiting ones are refused. Those that a target may have run get an answer that promises
        nothing.
        """
        requests = self._request_handler.interrupts.interrupt_all()
        relayed = self._relay.interrupts.interrupt_all()
        if requests or relayed:
            _log.warning("requests_interrupted", requests=requests, relayed=relayed)

    async def _sleep_until(self, time_ms: int) -> None:
        await asyncio.sleep(max(0, time_ms - self._clock.now_ms()) / _MS_PER_S)

    async def _wait_until_idle(self, limit_ms: int) -> None:
        while self._request_handler.in_flight + self._relay.in_flight > 0:
            if self._clock.now_ms() >= limit_ms:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
