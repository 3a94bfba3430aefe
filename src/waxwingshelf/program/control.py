"""The control task: it owns the member, its socket to peers and its reads of the store."""

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
_WATCH_MS = 1_000
_IDLE_S = 0.2
_KEPT_ADDRESSES = 256
_STORE_BACKOFF_S = 0.5
_LEAVE_TRIES = 10
_SHARE_POLL_S = 0.01
_SHARE_WAIT_S = 0.25
_MS_PER_S = 1_000
_log = structlog.get_logger("control")


class ControlPlane:
    """Run the member of one instance on real sockets.

    Request tasks call `take` and the claim methods directly, in the loop's one thread, because a
    message to another task for each token would cost more than the token.
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
        self._claims: dict[str, asyncio.Future[ClaimResult]] = {}
        self._addresses: dict[str, PeerAddress] = {}
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
        self._use(Member(me, options, clock, incarnation))

    @property
    def state(self) -> NodeState:
        """Return the member's state, to be read only."""
        return self.member.state

    @property
    def config(self) -> Config | None:
        """Return the configuration in force."""
        return self.member.state.config

    @property
    def store_reachable(self) -> bool:
        """Tell whether this instance's last call to the store was answered."""
        return self._store_reachable

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._tick())
            group.create_task(self._follow_store())

    def take(self, budget: str) -> Holding | None:
        """Use one token or place of a budget, or return None."""
        holding = self.member.take(budget)
        self._flush()
        return holding

    async def take_or_wait(self, budget: str) -> Holding | None:
        """Use one token; wait a few round trips when peers have lately had some to spare."""
        member = self.member
        holding = member.take_or_wait(budget)
        self._flush()
        if holding is not None:
            return holding
        waited_s = 0.0
        try:
            while holding is None and waited_s < _SHARE_WAIT_S:
                if member is not self.member or not member.state.shares.can_expect_units(budget):
                    return None
                await asyncio.sleep(_SHARE_POLL_S)
                waited_s += _SHARE_POLL_S
                holding = member.take_again(budget)
                self._flush()
        finally:
            member.stop_waiting(budget)
        return holding

    async def claim(self, claim: Claim, request_id: RequestId, wait_s: float) -> ClaimResult:
        """Claim a request id; the result is final."""
        future: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        self._claims[claim.attempt] = future
        try:
            if not self.member.claims.start(claim, request_id):
                return ClaimResult(ClaimState.UNAVAILABLE)
            self._flush()
            with contextlib.suppress(TimeoutError):
                return await asyncio.wait_for(future, wait_s)
            return self.member.claims.close(claim.attempt)
        finally:
            del self._claims[claim.attempt]
            self._flush()

    def finish_claim(self, attempt: str, answer: StoredResponse | None) -> None:
        """Give the final answer of a claim that won to its replicas."""
        self.member.claims.finish(attempt, answer)
        self._flush()

    def release_claim(self, attempt: str) -> None:
        """Free the id of a claim whose request certainly did not run."""
        self.member.claims.release(attempt)
        self._flush()

    def abandon_claim(self, attempt: str) -> None:
        """Leave the id of a claim whose outcome is unknown as it is."""
        self.member.claims.abandon(attempt)

    def announce_stop(self) -> None:
        """Tell others to offer this instance to no more callers."""
        self.member.state.membership.announce_stop()

    async def leave(self, limit_s: float) -> bool:
        """Hand everything to an heir and leave the ledger; False when time ran out first."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while not self.member.sharing.start_leaving():
                    await asyncio.sleep(_SHARE_POLL_S)
                self._flush()
                while not self.member.sharing.has_left():
                    await asyncio.sleep(_SHARE_POLL_S)
            return await self._leave_ledger()
        return False

    def apply_manifest(self, version: int, value: Any) -> None:
        """Take in a manifest that this instance has just written."""
        self.member.observe_manifest(version, value)
        self._flush()

    def ping_all(self) -> None:
        """Ask all members what is in force there."""
        self.member.gossip.ping_all()
        self._flush()

    def _use(self, member: Member) -> None:
        self.member = member
        self.member.claims.set_listener(self._on_claim)
        me = member.state.me
        self._sealer = Sealer(self._settings.fleet, me, self._settings.fleet_secrets)

    def _on_claim(self, attempt: str, result: ClaimResult) -> None:
        future = self._claims.get(attempt)
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
            self._note_address(opened)
            try:
                message = decode_message(opened.payload)
            except msgspec.MsgspecError:
                self._metrics.count(f"peer.rejected.{Rejection.GARBLED.value}")
                continue
            try:
                self.member.handle(opened, message)
            except Exception:
                # A member of another version may send what this one cannot handle.
                self._metrics.count("peer.handler_failed")
                _log.exception("handler_failed", peer=opened.identity, step=type(message).__name__)
            self._rejoin_if_fenced()
            self._flush()

    async def _tick(self) -> None:
        half_s = self._settings.gossip_period_ms / 2 / _MS_PER_S
        while True:
            self.member.tick()
            self._flush()
            await asyncio.sleep(half_s)

    def _rejoin_if_fenced(self) -> None:
        if not self.member.is_fenced():
            return
        _log.warning("fenced", identity=self.member.state.me.identity)
        self._metrics.count("control.fenced")
        incarnation = max(self._clock.wall_ms(), self.member.state.me.incarnation + 1)
        self._use(self.member.build_next_incarnation(incarnation, incarnation))

    def _flush(self) -> None:
        for addressed in self.member.take_outbox():
            address = self._resolve(addressed.recipient)
            if address is None:
                self._metrics.count("peer.unknown_recipient")
                self.member.revert_unsent(addressed.message)
                continue
            data = self._sealer.seal(addressed.recipient, encode_message(addressed.message))
            self._metrics.count("peer.sent_bytes", len(data))
            if not self._transport.send(address, data):
                self._metrics.count("peer.dropped")
                self.member.revert_unsent(addressed.message)

    def _resolve(self, name: str) -> PeerAddress | None:
        record = self.member.state.membership.find(name)
        if record is not None:
            return PeerAddress(record.host, record.peer_port)
        return self._addresses.get(name) or self._seeds.get(name)

    def _note_address(self, opened: OpenedEnvelope) -> None:
        """Remember where to answer a sender of whom gossip has not told yet."""
        self._addresses.pop(opened.sender, None)
        self._addresses[opened.sender] = PeerAddress(opened.host, opened.port)
        while len(self._addresses) > _KEPT_ADDRESSES:
            self._addresses.pop(next(iter(self._addresses)))

    async def _follow_store(self) -> None:
        while True:
            if not self.member.recovery.is_store_watcher():
                await asyncio.sleep(_IDLE_S)
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
            self._flush()

    async def _read_store(self) -> None:
        await self._step_ledger()
        self._flush()
        state = self.member.state
        wait_ms = _WATCH_MS if state.ledger is not None else 0
        version = state.documents[MANIFEST_DOCUMENT].version
        manifest = await self._store.watch(MANIFEST_KEY, version, wait_ms)
        if manifest is not None:
            self.member.observe_manifest(manifest.version, manifest.value)

    async def _step_ledger(self) -> None:
        member = self.member
        document = member.state.documents[LEDGER_DOCUMENT]
        read_ms = self._clock.now_ms()
        newer = await self._store.watch(LEDGER_KEY, document.version, 0)
        if newer is not None:
            member.observe_ledger(newer.version, newer.value, read_ms)
        elif document.version > 0:
            member.observe_ledger(document.version, document.value, read_ms)
        version = document.version
        # The manifest is read after the ledger: the other way round, a budget issued for a newer
        # manifest would look as if nobody wanted it.
        wanted = await self._read_wanted_budgets()
        if member is not self.member or document.version != version:
            return
        ledger = member.state.ledger if version > 0 else None
        planned = member.plan_ledger(ledger, wanted)
        if planned is not None and planned.version == version + 1:
            await self._write_ledger(planned)

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

    async def _write_ledger(self, planned: Ledger) -> None:
        value = encode_ledger(planned)
        read_ms = self._clock.now_ms()
        if await self._store.compare_and_swap(LEDGER_KEY, planned.version - 1, value):
            self.member.observe_ledger(planned.version, value, read_ms)

    async def _leave_ledger(self) -> bool:
        me = self.member.state.me.identity
        for _ in range(_LEAVE_TRIES):
            with contextlib.suppress(StoreError):
                await self._step_ledger()
            self._flush()
            ledger = self.member.state.ledger
            if ledger is None or ledger.find(me) is None:
                return True
            await asyncio.sleep(_IDLE_S)
        # Others take the entry out of the ledger: gossip has told them who the heir is.
        return True
