"""Heartbeats between instances, and reading a peer's view of the store when ours lags.

Heartbeats are datagrams: a late one is worthless, and none may wait behind a cut link.
"""

from __future__ import annotations

import asyncio
import random
import time
import zlib
from collections.abc import Callable

import aiohttp
import msgspec
import structlog
from aiohttp import web

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.settings import InstanceSettings
from waxwingshelf.serving.client_sessions import build_session
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.fleet import Fleet, Heartbeat, LoadReport, Peer, PeerAddress
from waxwingshelf.steering.mirror import Change

__all__ = ["STATE_PATH", "PeerNetwork"]

STATE_PATH = "/waxwingshelf/state"
_BEAT_S = 0.25
# Work at a target lasts some tenths of a second; what is in flight is told more often than that.
_LOAD_S = 0.1
_PULL_TIMEOUT_S = 1.0
# The store's own watch is nearly always faster than this.
_LAG_MS = 400
_KEEPALIVE_S = 10.0
_COMPRESSION_LEVEL = 1
_log = structlog.get_logger("peers")


class _State(msgspec.Struct):
    """Changes after a revision, or everything when `whole`."""

    as_of: int
    whole: bool
    changes: list[tuple[str, int, bytes | None]]


_BEAT_DECODER = msgspec.msgpack.Decoder(Heartbeat)
_LOAD_DECODER = msgspec.msgpack.Decoder(LoadReport)
# The first byte of a datagram tells its kind.
_BEAT_MARK = b"b"
_LOAD_MARK = b"l"


DatagramHandler = Callable[[memoryview], None]


class _BeatProtocol(asyncio.DatagramProtocol):
    def __init__(self, peer_network: PeerNetwork) -> None:
        self._peer_network = peer_network

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._peer_network.handle_datagram(data)

    def error_received(self, exc: Exception) -> None:
        # An unreachable peer shows by its silence.
        pass


class PeerNetwork:
    """Own the datagram socket and the reads from peers."""

    def __init__(
        self,
        settings: InstanceSettings,
        fleet: Fleet,
        routing_state: RoutingState,
        demand: DemandTracker,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._routing_state = routing_state
        self._demand = demand
        self._clock = clock
        self._metrics = metrics
        self._rng = random.Random(settings.name)
        self._boot = time.time_ns()
        self._number = 0
        self._load_number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._session: aiohttp.ClientSession | None = None
        self._behind_since_ms: int | None = None
        self._pulling: asyncio.Task[None] | None = None
        self._handlers: dict[bytes, DatagramHandler] = {
            _BEAT_MARK: self._take_beat,
            _LOAD_MARK: self._take_loads,
        }
        self.ready = False
        self.is_watching: Callable[[], bool] = lambda: True
        self.address = PeerAddress(
            name=settings.name,
            region=settings.region,
            failure_domain=settings.failure_domain,
            host=settings.callers.host,
            beat_port=settings.peer_ports[0],
            state_port=settings.peer_state.port,
            caller_address=str(settings.callers),
            rate_port=settings.peer_ports[1],
            link_mbps=settings.link_mbps,
        )

    async def open(self) -> None:
        """Bind the datagram socket."""
        loop = asyncio.get_running_loop()
        local = (self.address.host, self.address.beat_port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _BeatProtocol(self), local_addr=local
        )
        self._session = build_session(_KEEPALIVE_S)

    async def run(self) -> None:
        """Send heartbeats and catch up, for ever."""
        while True:
            self.send_heartbeats()
            self._catch_up()
            for name in self._fleet.remove_lost(self._clock.now_ms()):
                _log.info("peer_gone", peer=name)
            await asyncio.sleep(_BEAT_S * self._rng.uniform(0.9, 1.1))

    async def close(self) -> None:
        """Close the sockets."""
        if self._pulling is not None:
            self._pulling.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._session is not None:
            await self._session.close()

    def send_heartbeats(self) -> None:
        """Send one heartbeat to every peer, or to some of them in a large fleet."""
        self._send_all(self._build_beat())

    def announce_changes(self) -> None:
        """Tell all of the region at once that there is something new to read here."""
        if self._fleet.is_large():
            data = self._build_beat()
            for address in self._fleet.list_in_region(self.address.region):
                self.send_to(address, data)

    def _build_beat(self) -> bytes:
        self._number += 1
        beat = Heartbeat(
            self.address,
            self._boot,
            self._number,
            self.ready,
            self._routing_state.mirror.as_of,
            {} if self._fleet.is_large() else self._demand.list_demand_rates(),
            self.is_watching(),
        )
        return _BEAT_MARK + msgspec.msgpack.encode(beat)

    async def run_load_reports(self) -> None:
        """Tell the peers what is in flight here, for ever."""
        while True:
            await asyncio.sleep(_LOAD_S * self._rng.uniform(0.9, 1.1))
            self._load_number += 1
            loads = self._routing_state.targets.count_in_flight()
            beat = LoadReport(self.address.name, self._boot, self._load_number, loads)
            self._send_all(_LOAD_MARK + msgspec.msgpack.encode(beat))

    def add_handler(self, mark: bytes, handler: DatagramHandler) -> None:
        """Give the datagrams that begin with `mark` to a handler."""
        self._handlers[mark] = handler

    def handle_datagram(self, data: bytes) -> None:
        """Take in a datagram of any kind."""
        handler = self._handlers.get(data[:1])
        try:
            if handler is not None:
                handler(memoryview(data)[1:])
        except msgspec.DecodeError as error:
            _log.warning("beat_rejected", detail=str(error))

    def send_to(self, address: PeerAddress, data: bytes) -> None:
        """Send a datagram to one peer."""
        if self._transport is not None:
            self._transport.sendto(data, (address.host, address.beat_port))

    def _take_beat(self, data: memoryview) -> None:
        now_ms = self._clock.now_ms()
        beat = _BEAT_DECODER.decode(data)
        known = self._fleet.record_heartbeat(beat, now_ms)
        # In a small fleet the regular turn is soon enough, as everyone watches the store.
        if known and self._fleet.is_large() and beat.revision > self._routing_state.mirror.as_of:
            self._catch_up()

    def _take_loads(self, data: memoryview) -> None:
        beat = _LOAD_DECODER.decode(data)
        if self._fleet.record_load_report(beat):
            now_ms = self._clock.now_ms()
            self._routing_state.targets.record_peer_loads(beat.name, beat.loads, now_ms)

    def _send_all(self, data: bytes) -> None:
        for peer in self._fleet.choose_heartbeat_recipients(self.address.region, self._rng):
            self.send_to(peer.address, data)

    async def handle_state_request(self, request: web.BaseRequest) -> web.Response:
        """Answer a peer with the changes after its revision."""
        after_text = request.query.get("after", "")
        after = int(after_text) if after_text.isdigit() else 0
        mirror = self._routing_state.mirror
        changes = mirror.list_changes_since(after)
        whole = changes is None
        listed = mirror.list_items() if changes is None else changes
        rows = [(change.key, change.revision, change.value) for change in listed]
        body = msgspec.msgpack.encode(_State(mirror.as_of, whole, rows))
        # A whole configuration goes to many peers at once, and small machines have small links.
        return web.Response(body=zlib.compress(body, _COMPRESSION_LEVEL))

    async def pull_from_seeds(self) -> None:
        """Ask the peers of the settings for their view, while the store is not to be had."""
        for seed in self._settings.seeds:
            if seed.host != self.address.host:
                await self._pull(seed.host, seed.port)

    def _catch_up(self) -> None:
        now_ms = self._clock.now_ms()
        ahead = self._find_ahead(now_ms)
        if ahead is None:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        # One who watches the store itself is nearly always served by that first.
        covered = not self._fleet.should_watch_store(now_ms)
        if not covered and now_ms - self._behind_since_ms < _LAG_MS:
            return
        if self._pulling is None or self._pulling.done():
            address = ahead.address
            self._pulling = asyncio.create_task(self._pull(address.host, address.state_port))

    def _find_ahead(self, now_ms: int) -> Peer | None:
        heard = [
            peer
            for peer in self._fleet.list_peers()
            if self._fleet.has_recent_heartbeat(peer, now_ms)
        ]
        ahead = [peer for peer in heard if peer.revision > self._routing_state.mirror.as_of]
        near = [peer for peer in ahead if peer.address.region == self.address.region]
        # Any of them will do: all reading from the first would fill its link.
        return self._rng.choice(near or ahead) if ahead else None

    async def _pull(self, host: str, port: int) -> None:
        if self._session is None:
            return
        url = f"http://{host}:{port}{STATE_PATH}"
        query = {"after": str(self._routing_state.mirror.as_of)}
        try:
            async with asyncio.timeout(_PULL_TIMEOUT_S):
                async with self._session.get(url, params=query) as response:
                    body = await response.read()
            state = msgspec.msgpack.decode(zlib.decompress(body), type=_State)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, zlib.error) as error:
            self._metrics.peer_pulls.labels("failed").inc()
            _log.info("pull_failed", peer=f"{host}:{port}", detail=repr(error))
            return
        self._metrics.peer_pulls.labels("ok").inc()
        changes = [Change(key, revision, value) for key, revision, value in state.changes]
        source = f"{host}:{port}"
        if state.whole:
            self._routing_state.replace(changes, state.as_of, source)
        else:
            self._routing_state.apply(changes, state.as_of, source)
