"""Heartbeats between instances, and reads of a peer's store mirror when the local one lags.

Heartbeats are UDP datagrams: a late one is worthless, and none may queue up behind a broken link.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import zlib
from collections.abc import Callable

import aiohttp
import msgspec
import structlog
from aiohttp import web
from msgspec.structs import replace

from waxwingshelf.core.bounded_reads import BodyLimitError, read_bounded
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.quantities import Sequence, parse_count, split_long_number
from waxwingshelf.platform.settings import Endpoint, InstanceSettings
from waxwingshelf.platform.store import WatchBatch
from waxwingshelf.serving.client_sessions import build_session
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.serving.failures import Failures
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.peer_messages import (
    BRIEF_HEARTBEAT_TYPE,
    BRIEF_LOAD_REPORT_TYPE,
    CHANGES_TYPE,
    HEARTBEAT_TYPE,
    INTRODUCTION_TYPE,
    LOAD_REPORT_TYPE,
    ChangesMessage,
    decode_brief_heartbeat,
    decode_brief_load_report,
    decode_changes,
    decode_heartbeat,
    decode_load_report,
    encode_brief_heartbeat,
    encode_brief_load_report,
    encode_changes,
    encode_heartbeat,
    encode_load_report,
    expand_heartbeat,
    expand_load_report,
)
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.fleet import Fleet, Heartbeat, LoadReport, Peer, PeerAddress
from waxwingshelf.steering.load_reports import (
    choose_objects_max_age_ms,
    choose_period_ms,
    choose_slowness_max_age_ms,
    choose_validity_ms,
    estimate_slowness_age_ms,
)
from waxwingshelf.steering.mirror import Change, Position
from waxwingshelf.steering.peer_rotation import PeerRotation
from waxwingshelf.steering.regional_demand import RegionalDemand
from waxwingshelf.steering.sent_demand import DemandAck

__all__ = ["STATE_PATH", "PeerNetwork"]

STATE_PATH = "/waxwingshelf/state"
_HEARTBEAT_INTERVAL_S = 0.25
# Only every third report goes to other regions: links between regions are the dearest, and most
# requests there run at other targets.
_FAR_LOAD_REPORT_PERIOD = 3
_PULL_TIMEOUT_S = 1.0
_MS_PER_S = 1_000
_SEED_WAIT_MS = 2_500
_SEED_RETRY_S = 0.3
# Longer datagrams are more often lost on slow links.
_MAX_CHANGES_BYTES = 4_096
# A watch of the store nearly always delivers changes sooner than this.
_MAX_LAG_MS = 650
# An instance that relies on peers reads from them no more often, as changes come in series.
_MIN_PULL_INTERVAL_MS = 500
_KEEPALIVE_S = 10.0
# The store's whole state, compressed or not.
_MAX_STATE_BYTES = 32 * 1024 * 1024
_COMPRESSION_LEVEL = 1
_log = structlog.get_logger("peers")


class _StateResponse(msgspec.Struct):
    """The changes after a position, or all keys if `whole` is set.

    `config` is the configuration in force if it is not the one among the store's keys, which may be
    older after the store came back from an older copy.
    """

    as_of: Sequence
    whole: bool
    changes: list[tuple[str, Sequence, bytes | None]]
    era: Sequence = 0
    config: bytes | None = None


DatagramHandler = Callable[[memoryview], None]


class _PeerProtocol(asyncio.DatagramProtocol):
    def __init__(self, handle: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._handle = handle

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._handle(data, addr)

    def error_received(self, exc: Exception) -> None:
        # An unreachable peer is detected by its missing heartbeats.
        pass


class PeerNetwork:
    """Exchange heartbeats, load reports and store changes with the other instances."""

    def __init__(
        self,
        settings: InstanceSettings,
        fleet: Fleet,
        routing_state: RoutingState,
        demand_tracker: DemandTracker,
        clock: Clock,
        metrics: Metrics,
        failures: Failures | None = None,
    ) -> None:
        self._failures = failures or Failures(clock, metrics)
        self._settings = settings
        self._fleet = fleet
        self._routing_state = routing_state
        self._demand_tracker = demand_tracker
        self._clock = clock
        self._metrics = metrics
        self._rng = random.Random(settings.name)
        self._heartbeat_rotation = PeerRotation(self._rng)
        self._load_report_rotation = PeerRotation(self._rng)
        self._boot = time.time_ns()
        self._heartbeat_number = 0
        self._load_report_number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._session: aiohttp.ClientSession | None = None
        self._behind_since_ms: int | None = None
        self._pull_task: asyncio.Task[None] | None = None
        self._next_pull_ms = 0
        self._is_reading_from_seeds = False
        self._handlers: dict[bytes, DatagramHandler] = {
            HEARTBEAT_TYPE: self._handle_heartbeat,
            LOAD_REPORT_TYPE: self._handle_load_report,
            BRIEF_LOAD_REPORT_TYPE: self._handle_brief_load_report,
            CHANGES_TYPE: self._handle_changes,
        }
        self.regional_demand = RegionalDemand(settings.region)
        self.ready = False
        self.reaches_targets: Callable[[], bool] = lambda: True
        self.is_watching: Callable[[], bool] = lambda: True
        self.get_mean_duration_ms: Callable[[], float | None] = lambda: None
        self.on_shares_updated: Callable[[], None] = lambda: None
        self.list_organisation_loads: Callable[[], dict[int, int]] = dict
        self.record_organisation_loads: Callable[[str, dict[int, int], int, int], None] = (
            lambda name, counts, valid_until_ms, now_ms: None
        )
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
            collects_crashes=True,
        )

    async def open(self) -> None:
        """Bind the datagram socket and open the HTTP session for reads from peers."""
        loop = asyncio.get_running_loop()
        local_address = (self.address.host, self.address.beat_port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _PeerProtocol(self.handle_datagram), local_addr=local_address
        )
        self._session = build_session(_KEEPALIVE_S)

    async def run(self) -> None:
        """Update shares, send heartbeats, catch up and remove lost peers, until cancelled.

        Heartbeats follow an update at once, so that they tell the latest demand and acks.
        """
        while True:
            self._demand_tracker.update(self._routing_state)
            self.on_shares_updated()
            self.send_heartbeats()
            self._catch_up()
            for name in self._fleet.remove_lost(self._clock.now_ms()):
                _log.info("peer_gone", peer=name)
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    async def close(self) -> None:
        """Cancel a read in progress and close the sockets."""
        if self._pull_task is not None:
            self._pull_task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._session is not None:
            await self._session.close()

    def send_heartbeats(self) -> None:
        """Send one heartbeat to every peer, or to some random peers in a large fleet.

        Peers in this region get this instance's demand, and others only the sum over the region.
        """
        heartbeat = self._make_heartbeat()
        now_ms = self._clock.now_ms()
        own_slots = self.regional_demand.list_own(now_ms)
        region_slots = self.regional_demand.list_region(now_ms)
        for peer in self._choose_recipients(self._heartbeat_rotation):
            if peer.address.region == self.address.region:
                addressed = replace(heartbeat, ack=peer.used, service_slots=own_slots)
            else:
                addressed = replace(heartbeat, ack=peer.used, region_slots=region_slots)
            encode = encode_brief_heartbeat if peer.brief else encode_heartbeat
            self.send_to(peer.address, encode(addressed))

    def announce_reach(self) -> None:
        """Tell peers at once that this instance lost its links to the targets, or regained them."""
        self.send_heartbeats()
        if self._fleet.is_large():
            data = encode_heartbeat(self._make_heartbeat())
            for address in self._fleet.list_in_region(self.address.region):
                self.send_to(address, data)

    def announce_changes(self, after: int, batch: WatchBatch) -> None:
        """In a large fleet, immediately send changes after a revision to all peers of the region.

        If they do not fit into a datagram, only the new revision is sent, and peers read them.
        """
        if not self._fleet.is_large():
            return
        rows = [(change.key, change.revision, change.value) for change in batch.changes]
        position = batch.position
        data = encode_changes(
            ChangesMessage(self.address.name, position.era, after, position.revision, rows)
        )
        if len(data) > _MAX_CHANGES_BYTES:
            data = encode_heartbeat(self._make_heartbeat())
        for address in self._fleet.list_in_region(self.address.region):
            self.send_to(address, data)

    def _handle_changes(self, data: memoryview) -> None:
        message = decode_changes(data)
        known = self._routing_state.mirror.position
        if message.era != known.era or not message.after <= known.revision < message.revision:
            # Either known, or there is a gap, which heartbeats of the sender show.
            return
        changes = [Change(key, revision, value) for key, revision, value in message.changes]
        position = Position(message.era, message.revision)
        self._routing_state.apply(changes, position, message.name)

    def _make_heartbeat(self) -> Heartbeat:
        self._heartbeat_number += 1
        position = self._routing_state.mirror.position
        config_version, long_config_version = split_long_number(self._routing_state.config_version)
        heartbeat = Heartbeat(
            self.address,
            self._boot,
            self._heartbeat_number,
            self.ready,
            position.revision,
            {} if self._fleet.is_large() else self._demand_tracker.list_demand_rates(),
            self.is_watching(),
            position.era,
            config_version,
            brief=True,
            ack=DemandAck(),
            reaches_targets=self.reaches_targets(),
            long_config_version=long_config_version,
        )
        self._fleet.record_sent_heartbeat(heartbeat, self._clock.now_ms())
        return heartbeat

    async def run_load_reports(self) -> None:
        """Report the requests in flight at each target to the peers, until cancelled."""
        was_empty = True
        while True:
            period_ms = choose_period_ms(self.get_mean_duration_ms())
            await asyncio.sleep(period_ms / _MS_PER_S * self._rng.uniform(0.9, 1.1))
            self._load_report_number += 1
            targets = self._routing_state.targets
            max_age_ms = choose_slowness_max_age_ms(period_ms)
            report = LoadReport(
                self.address.name,
                self._boot,
                self._load_report_number,
                targets.count_in_flight(),
                choose_validity_ms(period_ms),
                targets.list_slowness(self._clock.now_ms(), max_age_ms),
                self.list_organisation_loads(),
                self._list_sent_objects(period_ms),
            )
            # Peers drop a report when it expires, so that an empty one need not be repeated.
            if not (was_empty and report.is_empty):
                self._send_load_report(report)
            was_empty = report.is_empty

    def _list_sent_objects(self, period_ms: int) -> dict[int, int]:
        max_age_ms = choose_objects_max_age_ms(period_ms, self._fleet.is_large())
        since_ms = self._clock.now_ms() - max_age_ms
        return self._routing_state.targets.list_sent_objects(since_ms)

    def _send_load_report(self, report: LoadReport) -> None:
        """Send a report to some peers; those in other regions get only every third, in part."""
        recipients = self._choose_recipients(self._load_report_rotation)
        near = [peer for peer in recipients if peer.address.region == self.address.region]
        self._send_load_report_to(near, report)
        if report.number % _FAR_LOAD_REPORT_PERIOD == 0:
            far = [peer for peer in recipients if peer.address.region != self.address.region]
            self._send_load_report_to(far, replace(report, objects={}))

    def _send_load_report_to(self, peers: list[Peer], report: LoadReport) -> None:
        full, brief = encode_load_report(report), encode_brief_load_report(report)
        for peer in peers:
            self.send_to(peer.address, brief if peer.brief else full)

    def add_handler(self, message_type: bytes, handler: DatagramHandler) -> None:
        """Pass all datagrams of a type to `handler`, without the type byte."""
        self._handlers[message_type] = handler

    def handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Pass a datagram to the handler of its type; ignore unknown types."""
        message_type, body = data[:1], memoryview(data)[1:]
        handler = self._handlers.get(message_type)
        try:
            if handler is not None:
                handler(body)
            elif message_type == BRIEF_HEARTBEAT_TYPE:
                self._handle_brief_heartbeat(body, sender)
            elif message_type == INTRODUCTION_TYPE and self._transport is not None:
                self._transport.sendto(encode_heartbeat(self._make_heartbeat()), sender)
        except (msgspec.DecodeError, RecursionError) as error:
            _log.warning("beat_rejected", detail=str(error))
        except Exception as error:
            self._failures.record("datagram", error, type=message_type)

    def send_to(self, address: PeerAddress, data: bytes) -> None:
        """Send a datagram to one peer."""
        if self._transport is not None:
            self._transport.sendto(data, (address.host, address.beat_port))

    def _handle_heartbeat(self, data: memoryview) -> None:
        self._record_heartbeat(decode_heartbeat(data))

    def _handle_brief_heartbeat(self, data: memoryview, sender: tuple[str, int]) -> None:
        brief = decode_brief_heartbeat(data)
        address = self._fleet.find_by_boot(brief.name_hash, brief.boot)
        if address is not None:
            self._record_heartbeat(expand_heartbeat(brief, address))
        elif self._transport is not None:
            self._transport.sendto(INTRODUCTION_TYPE, sender)

    def _record_heartbeat(self, heartbeat: Heartbeat) -> None:
        now_ms = self._clock.now_ms()
        is_new = self._fleet.record_heartbeat(heartbeat, now_ms)
        if is_new:
            self.regional_demand.record_peer(
                heartbeat.address.name,
                heartbeat.address.region,
                heartbeat.service_slots,
                heartbeat.region_slots,
                now_ms,
            )
        position = Position(heartbeat.era, heartbeat.revision)
        # In a small fleet every instance watches the store, so the periodic check is soon enough.
        if is_new and self._fleet.is_large() and position > self._routing_state.mirror.position:
            self._catch_up()

    def _handle_load_report(self, data: memoryview) -> None:
        self._record_load_report(decode_load_report(data))

    def _handle_brief_load_report(self, data: memoryview) -> None:
        brief = decode_brief_load_report(data)
        address = self._fleet.find_by_boot(brief.name_hash, brief.boot)
        if address is not None:
            self._record_load_report(expand_load_report(brief, address))

    def _record_load_report(self, report: LoadReport) -> None:
        if self._fleet.record_load_report(report):
            now_ms = self._clock.now_ms()
            valid_until_ms = now_ms + report.validity_ms
            targets = self._routing_state.targets
            targets.record_peer_loads(report.name, report.loads, valid_until_ms)
            reported_at_ms = now_ms - estimate_slowness_age_ms(report.validity_ms)
            targets.record_peer_slowness(report.slowness, reported_at_ms)
            targets.record_peer_objects(report.objects, reported_at_ms)
            self.record_organisation_loads(
                report.name, report.organisations, valid_until_ms, now_ms
            )

    def _choose_recipients(self, rotation: PeerRotation) -> list[Peer]:
        return self._fleet.choose_heartbeat_recipients(self.address.region, rotation)

    async def handle_state_request(self, request: web.BaseRequest) -> web.Response:
        """Answer a peer with the changes after its position, or with all keys."""
        mirror = self._routing_state.mirror
        # An instance of an earlier build sends no era.
        era = parse_count(request.query.get("era", ""))
        if era is None:
            era = mirror.position.era
        after = Position(era, parse_count(request.query.get("after", "")) or 0)
        changes = mirror.list_changes_since(after)
        whole = changes is None
        items = mirror.list_items() if changes is None else changes
        rows = [(change.key, change.revision, change.value) for change in items]
        position = mirror.position
        config = self._routing_state.find_config_ahead_of_store()
        state = _StateResponse(position.revision, whole, rows, position.era, config)
        body = msgspec.msgpack.encode(state)
        # Many peers may read a whole configuration at the same time, and small machines have slow
        # links.
        return web.Response(body=zlib.compress(body, _COMPRESSION_LEVEL))

    async def pull_from_seeds(self) -> None:
        """Read the store state from the seed peers in the settings, since the store may be down."""
        if self._is_reading_from_seeds:
            return
        for seed in self._settings.seeds:
            if seed.host != self.address.host:
                await self._pull(seed.host, seed.port)

    async def read_from_seeds(self, position: Position) -> bool:
        """Read the state at `position` or later from a seed peer; return whether one had it.

        All instances may start at the same time. Seed peers read the store then, and the others
        wait for them for a while.
        """
        seeds = list(self._settings.seeds)
        if self._settings.peer_state in seeds:
            return False
        self._rng.shuffle(seeds)
        self._is_reading_from_seeds = True
        try:
            return await self._read_until(position, seeds)
        finally:
            self._is_reading_from_seeds = False

    async def _read_until(self, position: Position, seeds: list[Endpoint]) -> bool:
        deadline_ms = self._clock.now_ms() + _SEED_WAIT_MS
        for seed in itertools.cycle(seeds):
            await self._pull(seed.host, seed.port)
            if self._routing_state.mirror.position >= position:
                return True
            if self._clock.now_ms() >= deadline_ms:
                break
            await asyncio.sleep(_SEED_RETRY_S * self._rng.uniform(0.5, 1.5))
        return False

    def _catch_up(self) -> None:
        now_ms = self._clock.now_ms()
        ahead = self._choose_ahead_peer(now_ms)
        if ahead is None:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        # An instance that watches the store nearly always gets the changes from the store first.
        relies_on_peers = not self._fleet.should_watch_store(now_ms)
        if not relies_on_peers and now_ms - self._behind_since_ms < _MAX_LAG_MS:
            return
        if now_ms < self._next_pull_ms:
            return
        if self._pull_task is None or self._pull_task.done():
            self._next_pull_ms = now_ms + _MIN_PULL_INTERVAL_MS
            address = ahead.address
            self._pull_task = asyncio.create_task(self._pull(address.host, address.state_port))

    def _choose_ahead_peer(self, now_ms: int) -> Peer | None:
        position = self._routing_state.mirror.position
        config_version = self._routing_state.config_version
        ahead = [
            peer
            for peer in self._fleet.list_heard(now_ms)
            if peer.position > position or peer.config_version > config_version
        ]
        same_region = [peer for peer in ahead if peer.address.region == self.address.region]
        # Choose at random: if all instances read from the same peer, its link would saturate.
        return self._rng.choice(same_region or ahead) if ahead else None

    async def _pull(self, host: str, port: int) -> None:
        if self._session is None:
            return
        url = f"http://{host}:{port}{STATE_PATH}"
        known = self._routing_state.mirror.position
        query = {"after": str(known.revision), "era": str(known.era)}
        try:
            async with asyncio.timeout(_PULL_TIMEOUT_S):
                async with self._session.get(url, params=query) as response:
                    body = await read_bounded(response.content, _MAX_STATE_BYTES)
            state = msgspec.msgpack.decode(_decompress(body), type=_StateResponse)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, zlib.error) as error:
            self._metrics.peer_pulls.labels("failed").inc()
            _log.info("pull_failed", peer=f"{host}:{port}", detail=repr(error))
            return
        self._metrics.peer_pulls.labels("ok").inc()
        with self._failures.contain("peer_state", peer=f"{host}:{port}"):
            self._apply_state(state, f"{host}:{port}")

    def _apply_state(self, state: _StateResponse, source: str) -> None:
        changes = [Change(key, revision, value) for key, revision, value in state.changes]
        position = Position(state.era, state.as_of)
        if state.whole:
            self._routing_state.replace(changes, position, source)
        else:
            self._routing_state.apply(changes, position, source)
        if state.config is not None:
            self._routing_state.apply_config(state.config, source)


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    state = decompressor.decompress(body, _MAX_STATE_BYTES)
    if not decompressor.eof:
        raise BodyLimitError(f"state incomplete or over {_MAX_STATE_BYTES} bytes")
    return state
