"""HTTP endpoints of the instance itself: readiness, directory, state for peers, metrics."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.names import READINESS_PATH, RESOLVE_PATH
from waxwingshelf.serving.logs import LogBuffer
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.peers import STATE_PATH, PeerNetwork
from waxwingshelf.serving.relay import RelayEndpoint
from waxwingshelf.serving.relay_messages import RELAY_PATH
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.directory import choose_addresses
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.routes import has_download_route

__all__ = ["InternalEndpoints"]

METRICS_PATH = "/metrics"
_MAX_TTL_S = 2
_Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]


class _Addresses(msgspec.Struct):
    addresses: list[str]
    ttl_s: int


class InternalEndpoints:
    """Serve HTTP requests that are addressed to this instance rather than to a service."""

    def __init__(
        self,
        peer_network: PeerNetwork,
        fleet: Fleet,
        clock: Clock,
        metrics: Metrics,
        logs: LogBuffer,
        max_ttl_ms: int,
        relay: RelayEndpoint,
        routing_state: RoutingState,
    ) -> None:
        self._relay = relay
        self._routing_state = routing_state
        self._peer_network = peer_network
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._logs = logs
        self._ttl_s = min(_MAX_TTL_S, max_ttl_ms // 1_000)
        self._handlers: dict[str, _Handler] = {
            READINESS_PATH: self._handle_readiness,
            RESOLVE_PATH: self._handle_resolve,
            STATE_PATH: peer_network.handle_state_request,
            METRICS_PATH: self._handle_metrics,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Route a request to the handler of its path; respond 404 to unknown paths."""
        if request.path.startswith(RELAY_PATH):
            return await self._relay.handle(request)
        handler = self._handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        return await handler(request)

    async def _handle_readiness(self, _request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._peer_network.ready else 503)

    async def _handle_resolve(self, request: web.BaseRequest) -> web.Response:
        ready = self._fleet.list_ready(self._clock.now_ms())
        if self._peer_network.ready:
            ready.append(self._peer_network.address)
        region = request.query.get("region", "")
        failure_domain = request.query.get("zone", "")
        without_targets = self._fleet.list_without_targets()
        if not self._peer_network.reaches_targets():
            without_targets.add(self._peer_network.address.name)
        config = self._routing_state.config
        has_downloads = config is not None and has_download_route(
            config, request.query.get("name", "")
        )
        addresses = choose_addresses(
            ready,
            without_targets,
            region,
            failure_domain,
            has_downloads,
            request.remote or "",
            self._fleet.is_large(),
        )
        if not addresses:
            return web.Response(status=503)
        body = msgspec.json.encode(_Addresses(addresses, self._ttl_s))
        return web.Response(body=body, content_type="application/json")

    async def _handle_metrics(self, _request: web.BaseRequest) -> web.Response:
        now_ms = self._clock.now_ms()
        peers = self._fleet.list_peers()
        self._metrics.peers.set(
            sum(self._fleet.has_recent_heartbeat(peer, now_ms) for peer in peers)
        )
        self._metrics.dropped_log_lines.set(self._logs.dropped)
        return web.Response(body=self._metrics.render(), content_type="text/plain")
