"""Run an entry instance from its start to its graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import structlog
from aiohttp import web

from waxwingshelf.adapters.metrics_statsd import StatsdMetrics
from waxwingshelf.adapters.peers_nng import NngTransport
from waxwingshelf.adapters.store_http import HttpStore
from waxwingshelf.adapters.target_http import TargetClient
from waxwingshelf.core.clock import SystemClock
from waxwingshelf.program.administration import AdminApi
from waxwingshelf.program.control import ControlPlane
from waxwingshelf.program.dispatcher import Dispatcher
from waxwingshelf.program.lookups import LookupHandler
from waxwingshelf.program.prober import Prober
from waxwingshelf.program.requests import RequestHandler
from waxwingshelf.program.settings import Settings

__all__ = ["Instance", "run_instance"]

_POLL_INTERVAL_S = 0.05
_LEAVE_TIMEOUT_S = 10.0
_LOOKUP_TTL_MARGIN_S = 1.0
_DEFAULT_LOOKUP_TTL_MS = 5_000
_MS_PER_S = 1_000
_MAX_HEADER_BYTES = 16_384
_log = structlog.get_logger("instance")


async def run_instance(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT, then drain; a second signal shortens the drain."""
    instance = Instance(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, instance.stop)
    await instance.run()


class Instance:
    """Own the adapters and tasks of one instance process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._stop_count = 0
        self._stop_requested = asyncio.Event()
        clock = SystemClock()
        self._metrics = StatsdMetrics(settings.statsd_host, settings.statsd_port)
        self._store = HttpStore(settings.store_host, settings.store_port)
        self._transport = NngTransport(settings.host, settings.peer_port)
        self._client = TargetClient()
        self._control = ControlPlane(settings, self._store, self._transport, clock, self._metrics)
        self._dispatcher = Dispatcher(
            self._control, self._client, clock, self._metrics, settings.region
        )
        self._prober = Prober(
            self._control, self._dispatcher, self._client, clock, self._metrics, settings.region
        )
        self._request_handler = RequestHandler(
            self._control, self._dispatcher, clock, self._metrics
        )
        self._lookup_handler = LookupHandler(self._control, clock, self._metrics, settings.region)
        self._admin_api = AdminApi(settings, self._control, self._store, clock, self._metrics)

    @property
    def control(self) -> ControlPlane:
        """Return the control plane of this instance."""
        return self._control

    def stop(self) -> None:
        """Start the graceful shutdown.

        A second call skips the waits for earlier lookups to expire and for requests to finish.
        """
        self._stop_count += 1
        self._stop_requested.set()

    async def run(self) -> None:
        """Run all tasks until the shutdown is complete."""
        runner = web.AppRunner(
            self._build_app(),
            handler_cancellation=True,
            access_log=None,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            shutdown_timeout=0.5,
        )
        await runner.setup()
        await web.TCPSite(runner, self._settings.host, self._settings.port).start()
        _log.info("serving", instance=self._settings.name, port=self._settings.port)
        tasks = [
            asyncio.create_task(self._control.run()),
            asyncio.create_task(self._dispatcher.run()),
            asyncio.create_task(self._prober.run()),
        ]
        stopped = asyncio.create_task(self._stop_requested.wait())
        try:
            done, _ = await asyncio.wait([*tasks, stopped], return_when=asyncio.FIRST_COMPLETED)
            if stopped in done:
                await self._drain()
        finally:
            await self._clean_up([*tasks, stopped], runner)
        for task in tasks:
            if not task.cancelled():
                task.result()

    async def _clean_up(self, tasks: list[asyncio.Task[Any]], runner: web.AppRunner) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await runner.cleanup()
        await self._client.close()
        await self._store.close()
        self._transport.close()

    def _build_app(self) -> web.Application:
        app = web.Application(client_max_size=0)
        app.router.add_get("/v1/instances", self._lookup_handler.handle)
        app.router.add_route("*", "/s/{service}", self._request_handler.handle)
        app.router.add_route("*", "/s/{service}/{path:.*}", self._request_handler.handle)
        self._admin_api.add_routes(app)
        return app

    async def _drain(self) -> None:
        """Shut down gracefully.

        Announce the stop, so that lookups no longer return this instance, and keep serving for the
        time to live of earlier lookups. Then refuse new requests, wait for those in flight,
        interrupt what has no result by then, and hand over shares and claims to an heir.
        """
        _log.info("draining", instance=self._settings.name)
        self._control.announce_stop()
        config = self._control.config
        ttl_ms = _DEFAULT_LOOKUP_TTL_MS if config is None else config.manifest.fleet.lookup_ttl_ms
        await self._wait_until(ttl_ms / _MS_PER_S + _LOOKUP_TTL_MARGIN_S, lambda: False)
        self._request_handler.draining = True
        limit_s = self._settings.drain_limit_ms / _MS_PER_S
        await self._wait_until(limit_s, lambda: self._request_handler.in_flight == 0)
        interrupted = self._request_handler.interrupts.interrupt_all()
        if self._request_handler.in_flight:
            _log.warning(
                "interrupting_requests",
                in_flight=self._request_handler.in_flight,
                interrupted=interrupted,
            )
        has_left = await self._control.leave(_LEAVE_TIMEOUT_S)
        _log.info("left" if has_left else "left_without_heir", instance=self._settings.name)
        await asyncio.sleep(self._settings.gossip_period_ms / _MS_PER_S)

    async def _wait_until(self, limit_s: float, is_done) -> None:  # type: ignore[no-untyped-def]
        waited_s = 0.0
        while waited_s < limit_s and self._stop_count < 2 and not is_done():
            await asyncio.sleep(_POLL_INTERVAL_S)
            waited_s += _POLL_INTERVAL_S
