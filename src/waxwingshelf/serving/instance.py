"""One entry instance on the platform: its tasks from start to graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import structlog
from aiohttp import web

from waxwingshelf.core.clock import SystemClock
from waxwingshelf.platform.settings import (
    Endpoint,
    FaultySettingsError,
    InstanceSettings,
    load_settings,
)
from waxwingshelf.platform.store import StoreClient
from waxwingshelf.serving.client_sessions import build_session
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.serving.dispatch_state import DispatchState
from waxwingshelf.serving.dispatcher import Dispatcher
from waxwingshelf.serving.internal_endpoints import InternalEndpoints
from waxwingshelf.serving.logs import LogBuffer
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.serving.rate_limiter import RateLimiter
from waxwingshelf.serving.requests import RequestHandler
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.store_watcher import StoreWatcher
from waxwingshelf.serving.upstream import UpstreamClient
from waxwingshelf.steering.config import CallerLimits
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.owners import OwnerReports
from waxwingshelf.steering.placement import Locality

__all__ = ["Instance", "run_instance"]

_TICK_S = 0.25
_SEED_PERIOD_S = 0.5
_SETTINGS_PERIOD_S = 2.0
_POLL_S = 0.05
_STORE_KEEPALIVE_S = 20.0
# Until a configuration tells how long callers may stay idle.
_CALLER_KEEPALIVE_S = 15.0
# Callers reuse a connection for up to four fifths of that time.
_KEEPALIVE_PART = 0.9
_MOST_HEADER_BYTES = 32_768
# Callers may use an old answer of the directory for three times its time to live.
_REFUSE_AFTER_S = 2.9
_STOP_MARGIN_S = 0.5
_BACKLOG = 1_024
_MS_PER_S = 1_000
_log = structlog.get_logger("instance")
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def run_instance(path: Path, settings: InstanceSettings, logs: LogBuffer) -> None:
    """Serve until SIGTERM, following the settings file at `path`."""
    instance = Instance(settings, logs, path)
    loop = asyncio.get_running_loop()
    logs.attach(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.stop)
    loop.add_signal_handler(signal.SIGHUP, instance.reload)
    await instance.run()


class Instance:
    """Own the adapters and tasks of one process."""

    def __init__(
        self, settings: InstanceSettings, logs: LogBuffer, path: Path | None = None
    ) -> None:
        self._settings = settings
        self._path = path
        self._logs = logs
        self._stopped = asyncio.Event()
        self._clock = clock = SystemClock()
        self._metrics = metrics = Metrics()
        self._fleet = Fleet(settings.name, clock.now_ms(), settings.region)
        self._routing_state = RoutingState(clock, self._fleet)
        owners = OwnerReports(settings.name, settings.region)
        self._demand = DemandTracker(clock, self._fleet, owners, settings.bounds.rate_slack)
        self._upstream = UpstreamClient()
        self._peer_network = PeerNetwork(
            settings, self._fleet, self._routing_state, self._demand, clock, metrics
        )
        locality = _find_locality(settings)
        self._dispatch_state = dispatch_state = DispatchState(
            settings.name, locality, settings.bounds, self._routing_state, self._fleet, clock
        )
        regions = frozenset(settings.regions.values())
        self._dispatcher = Dispatcher(
            self._routing_state, dispatch_state, self._upstream, clock, metrics
        )
        self._rates = rates = RateLimiter(
            self._demand, self._fleet, owners, self._routing_state, self._peer_network, clock
        )
        self._request_handler = RequestHandler(
            self._routing_state, dispatch_state, self._dispatcher, rates, clock, metrics, regions
        )
        self._internal_endpoints = InternalEndpoints(
            self._peer_network, self._fleet, clock, metrics, logs, settings.bounds.max_ttl_ms
        )
        self._servers: list[asyncio.Server] = []
        self._idle_s = _CALLER_KEEPALIVE_S
        self._callers = _build_server(self._request_handler.handle, self._idle_s)

    def stop(self) -> None:
        """Begin the graceful shutdown."""
        self._stopped.set()

    def reload(self) -> None:
        """Take over regions and bounds of the settings file; addresses stay as they are."""
        if self._path is None:
            return
        try:
            settings = load_settings(self._path)
        except FaultySettingsError as error:
            _log.error("settings_rejected", detail=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._dispatch_state.apply_settings(_find_locality(settings), settings.bounds)
        self._request_handler.regions = frozenset(settings.regions.values())
        _log.info("settings_reloaded", regions=sorted(set(settings.regions.values())))

    async def run(self) -> None:
        """Run all tasks until the shutdown is over."""
        session = build_session(_STORE_KEEPALIVE_S)
        store = StoreClient(self._settings.store, session)
        store_watcher = StoreWatcher(
            store,
            self._routing_state,
            self._fleet,
            self._peer_network.address,
            self._clock,
            self._metrics,
        )
        store_watcher.on_changes = self._peer_network.announce_changes
        self._peer_network.is_watching = lambda: store_watcher.watching
        await self._open()
        _log.info("started", callers=str(self._settings.callers), region=self._settings.region)
        tasks = [
            asyncio.create_task(store_watcher.run_watch()),
            asyncio.create_task(store_watcher.run_registration()),
            asyncio.create_task(self._peer_network.run()),
            asyncio.create_task(self._peer_network.run_load_reports()),
            asyncio.create_task(self._rates.run()),
            asyncio.create_task(self._become_ready()),
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._dispatcher.run()),
            asyncio.create_task(self._seed()),
            asyncio.create_task(self._follow_settings()),
        ]
        stopped = asyncio.create_task(self._stopped.wait())
        try:
            done, _ = await asyncio.wait([*tasks, stopped], return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task is not stopped:
                    task.result()
            await self._drain(store_watcher)
        finally:
            for task in [*tasks, stopped]:
                task.cancel()
            await asyncio.gather(*tasks, stopped, return_exceptions=True)
            await self._close(session)
        _log.info("stopped", in_flight=self._request_handler.in_flight)
        self._logs.close()

    async def _open(self) -> None:
        await self._peer_network.open()
        settings = self._settings
        # Each connection gets the idle limit in force when it is accepted.
        await self._listen(settings.callers, lambda: self._callers())
        internal_endpoints = {settings.readiness, settings.directory, settings.peer_state}
        internal_endpoints.add(Endpoint(settings.callers.host, settings.peer_ports[0]))
        server = _build_server(self._internal_endpoints.handle, _CALLER_KEEPALIVE_S)
        for endpoint in internal_endpoints:
            await self._listen(endpoint, server)
        self._servers.append(await self._rates.listen())

    async def _listen(self, endpoint: Endpoint, factory: Callable[[], asyncio.Protocol]) -> None:
        loop = asyncio.get_running_loop()
        self._servers.append(
            await loop.create_server(factory, endpoint.host, endpoint.port, backlog=_BACKLOG)
        )

    def _follow_limits(self, limits: CallerLimits) -> None:
        idle_s = limits.idle_timeout_ms / _MS_PER_S * _KEEPALIVE_PART
        if idle_s != self._idle_s:
            self._idle_s = idle_s
            self._callers = _build_server(self._request_handler.handle, idle_s)

    async def _become_ready(self) -> None:
        """Be ready, and say so, as soon as there is a configuration."""
        await self._routing_state.config_loaded.wait()
        if not self._stopped.is_set():
            self._peer_network.ready = True
            self._peer_network.send_heartbeats()
        await asyncio.Event().wait()

    async def _tick(self) -> None:
        while True:
            self._routing_state.expire_held_targets()
            self._demand.update(self._routing_state)
            if self._routing_state.config is not None:
                self._metrics.config_version.set(self._routing_state.config.version)
                self._follow_limits(self._routing_state.config.limits)
            self._metrics.in_flight.set(self._request_handler.in_flight)
            await asyncio.sleep(_TICK_S)

    async def _seed(self) -> None:
        while True:
            await asyncio.sleep(_SEED_PERIOD_S)
            if self._routing_state.config is None:
                await self._peer_network.pull_from_seeds()

    async def _follow_settings(self) -> None:
        """Read the file again now and then, as it may change without a signal."""
        while True:
            await asyncio.sleep(_SETTINGS_PERIOD_S)
            self.reload()

    async def _drain(self, store_watcher: StoreWatcher) -> None:
        """Leave the directory, serve on, refuse what could not end in time, then finish."""
        started_ms = self._clock.now_ms()
        _log.info("stopping", in_flight=self._request_handler.in_flight)
        self._peer_network.ready = False
        self._request_handler.closing_connections = True
        self._peer_network.send_heartbeats()
        deregistration = asyncio.create_task(store_watcher.deregister())
        limit_ms = self._settings.bounds.grace_ms - int(_STOP_MARGIN_S * _MS_PER_S)
        while True:
            elapsed_ms = self._clock.now_ms() - started_ms
            if elapsed_ms >= limit_ms:
                break
            if elapsed_ms >= _REFUSE_AFTER_S * _MS_PER_S:
                self._request_handler.refusing_requests = True
                if self._request_handler.in_flight == 0:
                    break
            await asyncio.sleep(_POLL_S)
        for server in self._servers:
            server.close()
        await asyncio.sleep(_POLL_S)
        deregistration.cancel()

    async def _close(self, session: aiohttp.ClientSession) -> None:
        self._rates.close()
        await self._upstream.close()
        await self._peer_network.close()
        await session.close()


def _find_locality(settings: InstanceSettings) -> Locality:
    return Locality(settings.region, settings.failure_domain, settings.regions)


def _build_server(handler: Handler, keepalive_s: float) -> web.Server:
    return web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        keepalive_timeout=keepalive_s,
        max_line_size=_MOST_HEADER_BYTES,
        max_field_size=_MOST_HEADER_BYTES,
    )
