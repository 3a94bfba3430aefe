"""An entry instance: its components and tasks, from startup to graceful shutdown."""

from __future__ import annotations

import asyncio
import functools
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import structlog
from aiohttp import web
from msgspec.structs import asdict

from waxwingshelf.core.clock import SystemClock
from waxwingshelf.header_bytes import preserve_header_bytes
from waxwingshelf.platform.settings import (
    Endpoint,
    InstanceSettings,
    InvalidSettingsError,
    load_settings,
)
from waxwingshelf.platform.store import StoreClient
from waxwingshelf.serving.client_sessions import (
    SocketFactory,
    build_session,
    open_client_socket,
)
from waxwingshelf.serving.crash_detector import CrashDetector
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.serving.dispatch_state import DispatchState
from waxwingshelf.serving.dispatcher import Dispatcher
from waxwingshelf.serving.failures import Failures, supervise
from waxwingshelf.serving.hedged_sender import CopyConditions, HedgedSender
from waxwingshelf.serving.internal_endpoints import InternalEndpoints
from waxwingshelf.serving.logs import LogBuffer
from waxwingshelf.serving.member_list import MemberListKeeper
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.object_announcements import ObjectAnnouncer
from waxwingshelf.serving.own_settings import OwnSettings
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.serving.quarantine_keeper import QuarantineKeeper
from waxwingshelf.serving.quarantine_store import QuarantineStore
from waxwingshelf.serving.rate_limiter import RateLimiter
from waxwingshelf.serving.reachability_prober import ReachabilityProber
from waxwingshelf.serving.region_balancer import RegionBalancer
from waxwingshelf.serving.relay import RelayEndpoint
from waxwingshelf.serving.requests import RequestHandler
from waxwingshelf.serving.response_buffer import ResponseBuffer
from waxwingshelf.serving.response_writer import ResponseWriter
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.shutdown import Shutdown
from waxwingshelf.serving.store_watcher import StoreWatcher
from waxwingshelf.serving.target_connections import TargetContact
from waxwingshelf.serving.target_sender import TargetSender
from waxwingshelf.serving.upstream import UpstreamClient
from waxwingshelf.steering.config import CallerLimits
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.owners import OwnerReports
from waxwingshelf.steering.placement import Locality
from waxwingshelf.steering.response_room import ResponseRoom, compute_budget_bytes
from waxwingshelf.steering.targets import Target

__all__ = ["Instance", "run_instance"]

_UPDATE_INTERVAL_S = 0.25
_SEED_PULL_INTERVAL_S = 0.5
_SETTINGS_RELOAD_INTERVAL_S = 2.0
# Requests on connections that were accepted at the last moment get a refusal meanwhile.
_LAST_REFUSALS_S = 0.05
_STORE_KEEPALIVE_S = 20.0
# Idle timeout of caller connections until a configuration sets another.
_DEFAULT_KEEPALIVE_S = 15.0
# Idle connections are closed after this fraction of the configured timeout. Callers reuse them for
# up to four fifths of that timeout.
_KEEPALIVE_FRACTION = 0.9
_MAX_HEADER_BYTES = 32_768
# A connection with unsent bytes closes only when they are sent or its link is given up.
_CLOSE_TIMEOUT_S = 0.2
_LISTEN_BACKLOG = 1_024
_MS_PER_S = 1_000
_log = structlog.get_logger("instance")
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def run_instance(
    path: Path, settings: InstanceSettings, logs: LogBuffer, own_settings: OwnSettings
) -> None:
    """Serve until SIGTERM or SIGINT, and reload the settings file at `path` when it changes."""
    instance = Instance(settings, logs, path, own_settings=own_settings)
    loop = asyncio.get_running_loop()
    logs.attach(loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, instance.stop)
    loop.add_signal_handler(signal.SIGHUP, instance.reload)
    await instance.run()


class Instance:
    """Create, run and shut down the components of one entry instance."""

    def __init__(
        self,
        settings: InstanceSettings,
        logs: LogBuffer,
        path: Path | None = None,
        open_target_socket: SocketFactory = open_client_socket,
        own_settings: OwnSettings | None = None,
    ) -> None:
        self._settings = settings
        self._path = path
        self._logs = logs
        self._stop_requested = asyncio.Event()
        self._clock = clock = SystemClock()
        self._metrics = metrics = Metrics()
        self._failures = failures = Failures(clock, metrics)
        # Each failure domain has an instance at least.
        min_instances = len(settings.regions)
        self._fleet = Fleet(settings.name, clock.now_ms(), settings.region, min_instances)
        self._routing_state = RoutingState(clock, self._fleet, failures)
        owner_reports = OwnerReports(settings.name, settings.region)
        self._demand_tracker = DemandTracker(
            clock, self._fleet, owner_reports, settings.bounds.rate_slack
        )
        self._target_contact = TargetContact(clock, metrics)
        self._response_room = ResponseRoom(compute_budget_bytes(settings.memory_mb))
        response_buffer = ResponseBuffer(self._response_room)
        self._response_writer = ResponseWriter(clock, metrics)
        self._upstream = UpstreamClient(self._target_contact, open_target_socket, response_buffer)
        self._peer_network = PeerNetwork(
            settings,
            self._fleet,
            self._routing_state,
            self._demand_tracker,
            clock,
            metrics,
            failures,
        )
        locality = _build_locality(settings)
        self._dispatch_state = dispatch_state = DispatchState(
            settings.name,
            locality,
            settings.bounds,
            self._routing_state,
            self._fleet,
            clock,
            metrics,
            self._response_room,
            self._peer_network.regional_demand,
        )
        self._region_balancer = RegionBalancer(
            dispatch_state, self._routing_state, self._fleet, clock, metrics
        )
        self._prober = ReachabilityProber(
            self._target_contact,
            self._upstream,
            self._routing_state.targets,
            open_target_socket,
            clock,
            metrics,
        )
        self._prober.on_changed = self._peer_network.announce_reach
        self._peer_network.reaches_targets = lambda: not self._prober.has_lost_links
        self._crash_detector = CrashDetector(
            self._prober, self._target_contact, open_target_socket, metrics
        )
        self._quarantine_store = QuarantineStore(self._routing_state, clock, metrics)
        self._quarantine_keeper = QuarantineKeeper(
            settings.name,
            self._routing_state,
            self._fleet,
            self._peer_network,
            self._quarantine_store,
            clock,
            metrics,
        )
        self._crash_detector.on_crash = self._quarantine_keeper.report_crash
        self._upstream.result_handlers += [
            failures.guard("crash_detector", self._crash_detector.record_result),
            failures.guard("quarantine_results", self._quarantine_keeper.record_result),
        ]
        self._relay = RelayEndpoint(
            self._upstream,
            self._prober,
            dispatch_state,
            self._routing_state.targets,
            clock,
            metrics,
            response_buffer,
            self._response_writer,
        )
        sender = TargetSender(self._upstream, self._prober, self._fleet, clock, metrics)
        durations = dispatch_state.duration_average
        self._peer_network.get_mean_duration_ms = lambda: durations.mean_ms
        organisation_loads = dispatch_state.organisation_loads
        self._peer_network.list_organisation_loads = organisation_loads.list_largest
        self._peer_network.record_organisation_loads = organisation_loads.record_peer
        regions = frozenset(settings.regions.values())
        self._rate_limiter = rate_limiter = RateLimiter(
            self._demand_tracker,
            self._fleet,
            owner_reports,
            self._routing_state,
            self._peer_network,
            clock,
        )
        self._hedged_sender = self._build_hedged_sender(own_settings or OwnSettings(), sender)
        self._dispatcher = Dispatcher(
            self._routing_state,
            dispatch_state,
            sender,
            self._quarantine_keeper,
            clock,
            metrics,
            self._hedged_sender,
            failures,
        )
        object_announcer = ObjectAnnouncer(
            self._peer_network, self._fleet, self._routing_state.targets, clock, metrics
        )
        self._dispatcher.wait_for_probe = self._crash_detector.wait_for_probe
        self._dispatcher.on_possible_first_run = object_announcer.announce
        self._request_handler = RequestHandler(
            self._routing_state,
            dispatch_state,
            self._dispatcher,
            rate_limiter,
            clock,
            metrics,
            regions,
            response_buffer,
            self._response_writer,
            failures,
        )
        self._internal_endpoints = InternalEndpoints(
            self._peer_network,
            self._fleet,
            clock,
            metrics,
            logs,
            settings.bounds.max_ttl_ms,
            self._relay,
            self._routing_state,
        )
        self._servers: list[asyncio.Server] = []
        self._idle_timeout_s = _DEFAULT_KEEPALIVE_S
        self._caller_server = _build_server(self._request_handler.handle, self._idle_timeout_s)

    def _build_hedged_sender(
        self, own_settings: OwnSettings, sender: TargetSender
    ) -> HedgedSender | None:
        """Return the sender of copies, or None if copies are off."""
        max_extra_ratio = own_settings.hedging.max_extra_ratio
        if max_extra_ratio <= 0:
            return None
        conditions = CopyConditions(
            sender.reaches_directly,
            self._is_crash_suspected,
            self._rate_limiter.acquire_for,
        )
        return HedgedSender(
            max_extra_ratio, self._dispatch_state, conditions, self._clock, self._metrics
        )

    def _is_crash_suspected(self, target: Target, fingerprint: str) -> bool:
        if self._crash_detector.is_probing(target):
            return True
        return self._quarantine_keeper.is_suspect(fingerprint)

    def stop(self) -> None:
        """Begin the graceful shutdown."""
        self._stop_requested.set()

    def reload(self) -> None:
        """Reload the regions and bounds from the settings file; addresses stay unchanged."""
        if self._path is None:
            return
        try:
            settings = load_settings(self._path)
        except InvalidSettingsError as error:
            _log.error("settings_rejected", detail=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._dispatch_state.apply_settings(_build_locality(settings), settings.bounds)
        self._request_handler.regions = frozenset(settings.regions.values())
        _log_malformed_settings(settings)
        _log.info("settings_reloaded", regions=sorted(set(settings.regions.values())))

    async def run(self) -> None:
        """Run all tasks until the graceful shutdown is complete.

        A task that raises is started again. Only what the instance cannot work without raises here,
        such as a port that is in use.
        """
        sessions = [build_session(_STORE_KEEPALIVE_S) for _ in range(2)]
        store = StoreClient(self._settings.store, *sessions)
        store_watcher = StoreWatcher(
            store,
            self._routing_state,
            self._fleet,
            self._peer_network.address,
            self._clock,
            self._metrics,
            self._settings.bounds.config_apply_ms,
        )
        store_watcher.on_changes = self._peer_network.announce_changes
        store_watcher.read_from_peers = self._peer_network.read_from_seeds
        self._peer_network.is_watching = lambda: store_watcher.watching
        member_list_keeper = MemberListKeeper(
            self._peer_network.address,
            self._routing_state,
            self._fleet,
            self._clock,
            self._metrics,
        )
        await self._open()
        _log_malformed_settings(self._settings)
        _log.info("started", callers=str(self._settings.callers), region=self._settings.region)
        runs: dict[str, Callable[[], Awaitable[None]]] = {
            "store_watch": store_watcher.run_watch,
            "registration": store_watcher.run_registration,
            "heartbeats": self._peer_network.run,
            "load_reports": self._peer_network.run_load_reports,
            "rate_limiter": self._rate_limiter.run,
            "readiness": self._announce_ready,
            "updates": self._run_updates,
            "dispatcher": self._dispatcher.run,
            "prober": self._prober.run,
            "quarantine_keeper": self._quarantine_keeper.run,
            "quarantine_store": functools.partial(self._quarantine_store.run, store),
            "member_list": functools.partial(member_list_keeper.run, store),
            "seed_reads": self._pull_from_seeds,
            "settings": self._poll_settings,
        }
        tasks = [
            asyncio.create_task(supervise(name, run, self._failures), name=name)
            for name, run in runs.items()
        ]
        try:
            await self._stop_requested.wait()
            await self._shut_down(store_watcher)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close(sessions)
        _log.info("stopped", in_flight=self._request_handler.in_flight)
        self._logs.close()

    async def _open(self) -> None:
        await self._peer_network.open()
        settings = self._settings
        # A connection keeps the idle timeout that was configured when it was accepted.
        await self._listen(settings.callers, lambda: self._caller_server())
        endpoints = {settings.readiness, settings.directory, settings.peer_state}
        endpoints.add(Endpoint(settings.callers.host, settings.peer_ports[0]))
        server = _build_server(self._internal_endpoints.handle, _DEFAULT_KEEPALIVE_S)
        for endpoint in endpoints:
            await self._listen(endpoint, server)
        self._servers.append(await self._rate_limiter.listen())

    async def _listen(self, endpoint: Endpoint, factory: Callable[[], asyncio.Protocol]) -> None:
        loop = asyncio.get_running_loop()
        self._servers.append(
            await loop.create_server(factory, endpoint.host, endpoint.port, backlog=_LISTEN_BACKLOG)
        )

    def _apply_caller_limits(self, limits: CallerLimits) -> None:
        idle_timeout_s = limits.idle_timeout_ms / _MS_PER_S * _KEEPALIVE_FRACTION
        if idle_timeout_s != self._idle_timeout_s:
            self._idle_timeout_s = idle_timeout_s
            self._caller_server = _build_server(self._request_handler.handle, idle_timeout_s)

    async def _announce_ready(self) -> None:
        """Mark the instance as ready and announce it once a configuration is loaded."""
        await self._routing_state.config_loaded.wait()
        if not self._stop_requested.is_set():
            self._peer_network.ready = True
            self._peer_network.send_heartbeats()

    async def _run_updates(self) -> None:
        while True:
            self._routing_state.expire_held()
            config = self._routing_state.config
            if config is not None:
                self._metrics.config_version.set(config.version)
                self._metrics.unknown_config_values.set(len(config.unknown_values))
                self._apply_caller_limits(config.limits)
                self._response_writer.end_slow_readers(config.limits.idle_timeout_ms)
            self._metrics.response_bytes_held.set(self._response_room.held_bytes)
            self._metrics.store_restores.set(self._routing_state.store_restores)
            self._metrics.failing_places.set(len(self._failures.list_failing()))
            for kind, count in self._routing_state.rejected_entries.items():
                self._metrics.rejected_entries.labels(kind).set(count)
            self._region_balancer.update()
            self._metrics.in_flight.set(self._request_handler.in_flight)
            silence_ms = self._target_contact.compute_silence_ms()
            self._metrics.target_silence.set(silence_ms / _MS_PER_S)
            await asyncio.sleep(_UPDATE_INTERVAL_S)

    async def _pull_from_seeds(self) -> None:
        while True:
            await asyncio.sleep(_SEED_PULL_INTERVAL_S)
            if self._routing_state.config is None:
                await self._peer_network.pull_from_seeds()

    async def _poll_settings(self) -> None:
        """Reload the settings file periodically, since it may change without a signal."""
        while True:
            await asyncio.sleep(_SETTINGS_RELOAD_INTERVAL_S)
            self.reload()

    async def _shut_down(self, store_watcher: StoreWatcher) -> None:
        """Run the graceful shutdown until nothing is in progress, then stop listening."""
        deregistration = asyncio.create_task(store_watcher.deregister())
        shutdown = Shutdown(
            self._peer_network,
            self._request_handler,
            self._dispatcher,
            self._relay,
            self._hedged_sender,
            self._clock,
        )
        await shutdown.run(self._settings.bounds.grace_period_ms)
        for server in self._servers:
            server.close()
        await asyncio.sleep(_LAST_REFUSALS_S)
        deregistration.cancel()

    async def _close(self, sessions: list[aiohttp.ClientSession]) -> None:
        """Close everything; connections that do not close in time end with the process."""
        self._rate_limiter.close()
        self._crash_detector.close()
        closing = [self._upstream.close(), self._peer_network.close()]
        closing += [session.close() for session in sessions]
        try:
            async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                await asyncio.gather(*closing)
        except TimeoutError:
            _log.warning("connections_not_closed", timeout_s=_CLOSE_TIMEOUT_S)


def _log_malformed_settings(settings: InstanceSettings) -> None:
    for fault in settings.malformed:
        _log.warning("settings_value_unknown", **asdict(fault))


def _build_locality(settings: InstanceSettings) -> Locality:
    return Locality(settings.region, settings.failure_domain, settings.regions, settings.link_mbps)


def _build_server(handler: Handler, keepalive_s: float) -> web.Server:
    preserve_header_bytes()
    return web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        keepalive_timeout=keepalive_s,
        max_line_size=_MAX_HEADER_BYTES,
        max_field_size=_MAX_HEADER_BYTES,
    )
