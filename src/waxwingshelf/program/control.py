"""Connect the fleet member of an instance to its peers and to the key-value service."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import msgspec
import structlog

from waxwingshelf.core.claims import ClaimResult, ClaimState, RequestId
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.config import Config
from waxwingshelf.core.envelope import OpenedEnvelope, Rejection, Sealer
from waxwingshelf.core.holding import Holding
from waxwingshelf.core.ledger import Holder, Ledger, encode_ledger
from waxwingshelf.core.member import Member
from waxwingshelf.core.messages import Claim, StoredResponse, decode_message, encode_message
from waxwingshelf.core.state import LEDGER_DOCUMENT, MANIFEST_DOCUMENT, MemberOptions, NodeState
from waxwingshelf.ports import Metrics, PeerAddress, PeerTransport, Store, StoreError
from waxwingshelf.program.settings import Settings

__all__ = ["LEDGER_KEY", "MANIFEST_KEY", "ControlPlane"]

MANIFEST_KEY = "manifest"
LEDGER_KEY = "ledger"
_WATCH_TIMEOUT_MS = 1_000
_IDLE_INTERVAL_S = 0.2
_MAX_SENDER_ADDRESSES = 256
_STORE_BACKOFF_S = 0.5
_MAX_LEAVE_ATTEMPTS = 10
_SHARE_POLL_INTERVAL_S = 0.01
_MAX_SHARE_WAIT_S = 0.25
_MS_PER_S = 1_000
_log = structlog.get_logger("control")


class ControlPlane:
    """Run the fleet member of one instance on real sockets.

    Request tasks call `take` and the claim methods directly, in the single thread of the event
    loop, because passing a message to another task for each token would cost more than the token.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        transport: PeerTransport,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._store = store
        self._transport = transport
        self._clock = clock
        self._metrics = metrics
        self._seeds = {seed.name: PeerAddress(seed.host, seed.port) for seed in settings.peers}
        self._claim_futures: dict[str, asyncio.Future[ClaimResult]] = {}
        self._sender_addresses: dict[str, PeerAddress] = {}
        self._store_reachable = False
        incarnation = clock.wall_ms()
        options = MemberOptions(
            period_ms=settings.gossip_period_ms,
            seeds=tuple(self._seeds),
        )
        me = Holder(
            name=settings.name,
            incarnation=incarnation,
            region=settings.region,
            failure_domain=settings.failure_domain,
            host=settings.host,
            port=settings.port,
            peer_port=settings.peer_port,
        )
        self._set_member(Member(me, options, clock, incarnation))

    @property
    def state(self) -> NodeState:
        """Return the member's state, which callers must not modify."""
        return self.member.state

    @property
    def config(self) -> Config | None:
        """Return the current configuration, or None before the first one."""
        return self.member.state.config

    @property
    def store_reachable(self) -> bool:
        """Return whether the last poll of the key-value service by this instance succeeded."""
        return self._store_reachable

    async def run(self) -> None:
        """Receive messages, run periodic work and watch the key-value service until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._tick())
            group.create_task(self._watch_store())

    def take(self, budget: str) -> Holding | None:
        """Acquire one token or slot from the local share of a budget.

        Return the holding that it came from, or None when none is available.
        """
        holding = self.member.take(budget)
        self._send_outbox()
        return holding

    async def take_or_wait(self, budget: str) -> Holding | None:
        """Acquire one token from the local share of a budget, or return None.

        If none is available, wait for up to 250 ms, a few round trips, while peers are likely to
        send units.
        """
        member = self.member
        holding = member.take_or_wait(budget)
        self._send_outbox()
        if holding is not None:
            return holding
        waited_s = 0.0
        try:
            while holding is None and waited_s < _MAX_SHARE_WAIT_S:
                if member is not self.member or not member.state.shares.can_expect_units(budget):
                    return None
                await asyncio.sleep(_SHARE_POLL_INTERVAL_S)
                waited_s += _SHARE_POLL_INTERVAL_S
                holding = member.take_again(budget)
                self._send_outbox()
        finally:
            member.stop_waiting(budget)
        return holding

    async def claim(self, claim: Claim, request_id: RequestId, wait_s: float) -> ClaimResult:
        """Claim a request id and return the final result, after at most `wait_s` seconds."""
        future: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        self._claim_futures[claim.attempt] = future
        try:
            if not self.member.claims.start(claim, request_id):
                return ClaimResult(ClaimState.UNAVAILABLE)
            self._send_outbox()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    return await future
            return self.member.claims.close(claim.attempt)
        finally:
            del self._claim_futures[claim.attempt]
            self._send_outbox()

    def finish_claim(self, attempt: str, response: StoredResponse | None) -> None:
        """Send the final response of a won claim to its replicas."""
        self.member.claims.finish(attempt, response)
        self._send_outbox()

    def release_claim(self, attempt: str) -> None:
        """Release the request id of a claim whose request certainly did not run."""
        self.member.claims.release(attempt)
        self._send_outbox()

    def abandon_claim(self, attempt: str) -> None:
        """Drop a claim whose outcome is unknown; its request id stays claimed."""
        self.member.claims.abandon(attempt)

    def announce_stop(self) -> None:
        """Announce the stop to peers, so that their lookups no longer return this instance."""
        self.member.state.membership.announce_stop()

    async def leave(self, limit_s: float) -> bool:
        """Hand over shares and claims to an heir (the successor instance), then leave the ledger.

        Return False if no heir accepted the handover within `limit_s` seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while not self.member.sharing.start_leaving():
                    await asyncio.sleep(_SHARE_POLL_INTERVAL_S)
                self._send_outbox()
                while not self.member.sharing.has_left():
                    await asyncio.sleep(_SHARE_POLL_INTERVAL_S)
            return await self._leave_ledger()
        return False

    def apply_manifest(self, version: int, value: Any) -> None:
        """Apply a manifest that this instance has just written or read."""
        self.member.observe_manifest(version, value)
        self._send_outbox()

    def ping_all(self) -> None:
        """Ping all live members to learn their document versions."""
        self.member.gossip.ping_all()
        self._send_outbox()

    def _set_member(self, member: Member) -> None:
        self.member = member
        self.member.claims.set_listener(self._on_claim_result)
        me = member.state.me
        self._sealer = Sealer(self._settings.fleet, me, self._settings.fleet_secrets)

    def _on_claim_result(self, attempt: str, result: ClaimResult) -> None:
        future = self._claim_futures.get(attempt)
        if future is not None and not future.done():
            future.set_result(result)

    async def _receive(self) -> None:
        while True:
            data = await self._transport.receive()
            self._metrics.count("peer.received_bytes", len(data))
            opened = self._sealer.open(data)
            if isinstance(opened, Rejection):
                self._metrics.count(f"peer.rejected.{opened.value}")
                continue
            self._record_sender_address(opened)
            try:
                message = decode_message(opened.payload)
            except msgspec.MsgspecError:
                self._metrics.count(f"peer.rejected.{Rejection.GARBLED.value}")
                continue
            try:
                self.member.handle(opened, message)
            except Exception:
                # A member that runs another version may send a message whose handling fails.
                self._metrics.count("peer.handler_failed")
                _log.exception("handler_failed", peer=opened.identity, step=type(message).__name__)
            self._rejoin_if_fenced()
            self._send_outbox()

    async def _tick(self) -> None:
        half_period_s = self._settings.gossip_period_ms / 2 / _MS_PER_S
        while True:
            self.member.tick()
            self._send_outbox()
            await asyncio.sleep(half_period_s)

    def _rejoin_if_fenced(self) -> None:
        if not self.member.is_fenced():
            return
        _log.warning("fenced", identity=self.member.state.me.identity)
        self._metrics.count("control.fenced")
        incarnation = max(self._clock.wall_ms(), self.member.state.me.incarnation + 1)
        self._set_member(self.member.build_next_incarnation(incarnation, incarnation))

    def _send_outbox(self) -> None:
        for addressed in self.member.take_outbox():
            address = self._resolve_address(addressed.recipient)
            if address is None:
                self._metrics.count("peer.unknown_recipient")
                self.member.revert_unsent(addressed.message)
                continue
            data = self._sealer.seal(addressed.recipient, encode_message(addressed.message))
            self._metrics.count("peer.sent_bytes", len(data))
            if not self._transport.send(address, data):
                self._metrics.count("peer.dropped")
                self.member.revert_unsent(addressed.message)

    def _resolve_address(self, name: str) -> PeerAddress | None:
        record = self.member.state.membership.find(name)
        if record is not None:
            return PeerAddress(record.host, record.peer_port)
        return self._sender_addresses.get(name) or self._seeds.get(name)

    def _record_sender_address(self, opened: OpenedEnvelope) -> None:
        """Record a sender's address for replies until gossip has delivered its member record."""
        self._sender_addresses.pop(opened.sender, None)
        self._sender_addresses[opened.sender] = PeerAddress(opened.host, opened.port)
        while len(self._sender_addresses) > _MAX_SENDER_ADDRESSES:
            self._sender_addresses.pop(next(iter(self._sender_addresses)))

    async def _watch_store(self) -> None:
        while True:
            if not self.member.recovery.is_store_watcher():
                await asyncio.sleep(_IDLE_INTERVAL_S)
                continue
            try:
                await self._read_store()
                self._store_reachable = True
            except StoreError as error:
                self._store_reachable = False
                self._metrics.count("store.errors")
                _log.debug("store_failed", step=error.step, peer=error.peer, detail=str(error))
                await asyncio.sleep(_STORE_BACKOFF_S)
            self._rejoin_if_fenced()
            self._send_outbox()

    async def _read_store(self) -> None:
        await self._update_ledger()
        self._send_outbox()
        state = self.member.state
        wait_ms = _WATCH_TIMEOUT_MS if state.ledger is not None else 0
        version = state.documents[MANIFEST_DOCUMENT].version
        manifest = await self._store.watch(MANIFEST_KEY, version, wait_ms)
        if manifest is not None:
            self.member.observe_manifest(manifest.version, manifest.value)

    async def _update_ledger(self) -> None:
        member = self.member
        document = member.state.documents[LEDGER_DOCUMENT]
        read_ms = self._clock.now_ms()
        newer = await self._store.watch(LEDGER_KEY, document.version, 0)
        if newer is not None:
            member.observe_ledger(newer.version, newer.value, read_ms)
        elif document.version > 0:
            member.observe_ledger(document.version, document.value, read_ms)
        version = document.version
        # The manifest is read after the ledger. In the reverse order, a budget issued for a newer
        # manifest would appear to be unwanted.
        wanted = await self._read_wanted_budgets()
        if member is not self.member or document.version != version:
            return
        ledger = member.state.ledger if version > 0 else None
        next_ledger = member.plan_ledger(ledger, wanted)
        if next_ledger is not None and next_ledger.version == version + 1:
            await self._write_ledger(next_ledger)

    async def _read_wanted_budgets(self) -> set[str] | None:
        member = self.member
        document = member.state.documents[MANIFEST_DOCUMENT]
        newer = await self._store.watch(MANIFEST_KEY, document.version, 0)
        if newer is not None:
            member.observe_manifest(newer.version, newer.value)
        config = member.state.config
        if config is None or config.revision != document.version:
            return None
        return set(config.limits)

    async def _write_ledger(self, next_ledger: Ledger) -> None:
        value = encode_ledger(next_ledger)
        read_ms = self._clock.now_ms()
        if await self._store.compare_and_swap(LEDGER_KEY, next_ledger.version - 1, value):
            self.member.observe_ledger(next_ledger.version, value, read_ms)

    async def _leave_ledger(self) -> bool:
        me = self.member.state.me.identity
        for _ in range(_MAX_LEAVE_ATTEMPTS):
            with contextlib.suppress(StoreError):
                await self._update_ledger()
            self._send_outbox()
            ledger = self.member.state.ledger
            if ledger is None or ledger.find(me) is None:
                return True
            await asyncio.sleep(_IDLE_INTERVAL_S)
        # If the ledger still lists this instance, other members remove the entry, because they know
        # the heir from gossip.
        return True
