"""Put requests that crash targets under quarantine at all instances.

Instances report crashes to a few collectors, which decide. A quarantine goes to all instances by a
datagram and into the store, so that an instance that starts knows it too.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import replace

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.core.rendezvous import rank
from waxwingshelf.platform.documents import (
    DecodeError,
    decode_quarantine,
    encode_quarantine,
    make_quarantine_key,
)
from waxwingshelf.platform.store import StoreClient, StoreError, StoreErrorKind
from waxwingshelf.serving.crash_messages import (
    ANSWER_TYPE,
    CRASH_TYPE,
    QUARANTINE_TYPE,
    AnswerMessage,
    CrashMessage,
    QuarantineMessage,
    decode_answer,
    decode_crash,
    decode_quarantine_message,
    encode_answer,
    encode_crash,
    encode_quarantine_message,
)
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.send_results import OutgoingRequest, SendFailure, UpstreamResponse
from waxwingshelf.steering.crash_suspects import (
    AnsweredRequests,
    CrashSuspects,
    DeadlyRequest,
    TargetCrash,
)
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.mirror import Position
from waxwingshelf.steering.quarantine import Quarantine
from waxwingshelf.steering.targets import Target

__all__ = ["QuarantineKeeper"]

# More than one, since instances may be gone and datagrams lost.
_COLLECTORS = 3
_MAX_REPORTED_FINGERPRINTS = 64
_MAX_REPORTED_SUSPECTS = 1_024
_BUSY_INTERVAL_S = 0.1
_IDLE_INTERVAL_S = 2.0
_STORE_RETRY_DELAY_S = 1.0
_CLAIM_TIMEOUT_S = 0.3
# A process that was paused since may have become one of several that send a trial.
_MAX_CLAIM_MS = 1_000
_log = structlog.get_logger("quarantine")


class QuarantineKeeper:
    """Report crashes, collect reports, and begin and lift quarantines."""

    def __init__(
        self,
        name: str,
        routing_state: RoutingState,
        fleet: Fleet,
        peer_network: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._routing_state = routing_state
        self._quarantines = routing_state.quarantines
        self._fleet = fleet
        self._peer_network = peer_network
        self._clock = clock
        self._metrics = metrics
        self._suspects = CrashSuspects()
        self._answered = AnsweredRequests()
        # What this instance has reported at crashes, and the quarantines that it has lifted.
        self._reported: dict[str, None] = {}
        self._lifted: set[str] = set()
        # The requests for which this instance is asking the store for a trial.
        self._claims: set[str] = set()
        # Trials that this instance may make, as no target has got the request yet.
        self._permits: set[str] = set()
        self._store: StoreClient | None = None
        self._has_work = asyncio.Event()
        peer_network.add_handler(CRASH_TYPE, self._handle_crash)
        peer_network.add_handler(ANSWER_TYPE, self._handle_answer)
        peer_network.add_handler(QUARANTINE_TYPE, self._handle_quarantine)

    async def run(self, store: StoreClient) -> None:
        """Decide about the reported crashes and keep the store up to date, until cancelled."""
        self._store = store
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_IDLE_INTERVAL_S):
                    await self._has_work.wait()
            self._has_work.clear()
            await asyncio.sleep(_BUSY_INTERVAL_S)
            now_ms = self._clock.now_ms()
            for deadly in self._suspects.take_deadly(now_ms):
                self._begin(deadly, now_ms)
            if self._suspects.is_unsettled(now_ms):
                self._has_work.set()
            self._lift_answered(now_ms)
            in_force = self._quarantines.list_in_force(now_ms)
            self._metrics.quarantined.set(len(in_force))
            try:
                await self._update_store(store, now_ms)
            except StoreError as failure:
                self._metrics.store_calls.labels(failure.step, failure.kind.value).inc()
                _log.info("quarantine_not_stored", detail=str(failure))
                await asyncio.sleep(_STORE_RETRY_DELAY_S)
                self._has_work.set()

    def record_result(
        self, target: Target, request: OutgoingRequest, result: UpstreamResponse | SendFailure
    ) -> None:
        """Take note of an answer: it clears a request of suspicion."""
        if isinstance(result, SendFailure):
            return
        fingerprint, now_ms = request.fingerprint, self._clock.now_ms()
        self._answered.record(fingerprint, now_ms)
        if fingerprint in self._reported:
            del self._reported[fingerprint]
            self._suspects.record_answer(fingerprint)
            self._send(self._list_collectors(), encode_answer(AnswerMessage(fingerprint)))
        if self._quarantines.get_remaining_ms(fingerprint, now_ms) > 0:
            self._has_work.set()

    def report_crash(self, crash: TargetCrash) -> None:
        """Report a crash that this instance has seen to the collectors."""
        collectors = self._list_collectors()
        if self._name in collectors:
            self._record_crash(crash)
        fingerprints = sorted(crash.fingerprints)
        for fingerprint in fingerprints:
            self._reported[fingerprint] = None
        while len(self._reported) > _MAX_REPORTED_SUSPECTS:
            del self._reported[next(iter(self._reported))]
        for start in range(0, len(fingerprints), _MAX_REPORTED_FINGERPRINTS):
            part = fingerprints[start : start + _MAX_REPORTED_FINGERPRINTS]
            self._send(collectors, encode_crash(CrashMessage(crash.target_run, part)))

    def _handle_crash(self, data: memoryview) -> None:
        message = decode_crash(data)
        self._record_crash(TargetCrash(message.target_run, frozenset(message.fingerprints)))

    def _record_crash(self, crash: TargetCrash) -> None:
        now_ms = self._clock.now_ms()
        known = [
            fingerprint
            for fingerprint in crash.fingerprints
            if self._quarantines.get_remaining_ms(fingerprint, now_ms) > 0
        ]
        if known:
            # The request was on its way when its quarantine began; it explains this crash too.
            self._suspects.explain_crash(crash, known[0], now_ms)
            return
        self._suspects.record_crash(crash, now_ms)
        self._has_work.set()

    def _handle_answer(self, data: memoryview) -> None:
        self._suspects.record_answer(decode_answer(data).fingerprint)

    def _handle_quarantine(self, data: memoryview) -> None:
        message = decode_quarantine_message(data)
        self._record_quarantine(message.fingerprint, message.quarantine, "peer")

    def _record_quarantine(self, fingerprint: str, quarantine: Quarantine, source: str) -> None:
        self._routing_state.record_quarantine(fingerprint, quarantine, source)
        self._has_work.set()

    def _begin(self, deadly: DeadlyRequest, now_ms: int) -> None:
        known = self._quarantines.find(deadly.fingerprint)
        began_ms = self._clock.wall_ms()
        if known is not None:
            # The time of day may have jumped back since.
            began_ms = max(began_ms, known.began_ms + 1)
        suspected_ms = now_ms - deadly.first_crash_ms
        quarantine = Quarantine(began_ms, False, suspected_ms=suspected_ms)
        _log.warning(
            "request_deadly",
            fingerprint=deadly.fingerprint,
            crashes=len(deadly.target_runs),
            targets=sorted(deadly.target_runs),
            suspected_ms=quarantine.suspected_ms,
        )
        self._record_quarantine(deadly.fingerprint, quarantine, "crashes")
        self._announce(deadly.fingerprint, quarantine)

    def _lift_answered(self, now_ms: int) -> None:
        for fingerprint, since_ms in self._quarantines.list_in_force(now_ms).items():
            if not self._answered.was_answered_since(fingerprint, since_ms):
                continue
            quarantine = self._quarantines.find(fingerprint)
            if quarantine is None:
                continue
            lifted = replace(quarantine, lifted=True)
            self._lifted.add(fingerprint)
            self._record_quarantine(fingerprint, lifted, "answer")
            self._announce(fingerprint, lifted)

    def _announce(self, fingerprint: str, quarantine: Quarantine) -> None:
        data = encode_quarantine_message(QuarantineMessage(fingerprint, quarantine))
        self._send((peer.address.name for peer in self._fleet.list_peers()), data)

    async def _update_store(self, store: StoreClient, now_ms: int) -> None:
        """Write the quarantines that the store lacks, and remove those that have ended."""
        is_collector = self._name in self._list_collectors()
        for fingerprint, quarantine in self._quarantines.list_all().items():
            is_over = self._quarantines.is_over(fingerprint, now_ms)
            if is_collector or fingerprint in self._lifted:
                await self._update_entry(store, fingerprint, quarantine, is_over)
            if is_over:
                self._quarantines.forget(fingerprint)
                self._lifted.discard(fingerprint)
                self._permits.discard(fingerprint)

    async def _update_entry(
        self, store: StoreClient, fingerprint: str, quarantine: Quarantine, is_over: bool
    ) -> None:
        key = make_quarantine_key(fingerprint)
        stored, position = self._find_stored(key)
        if is_over:
            if stored is not None:
                await store.delete(key, position)
        elif stored is None or stored < quarantine:
            await self._replace(store, key, quarantine, position)

    def _find_stored(self, key: str) -> tuple[Quarantine | None, Position]:
        """Return the quarantine under a store key, and the position of its last change."""
        mirror = self._routing_state.mirror
        change = mirror.get(key)
        if change is None or change.value is None:
            return None, Position(mirror.position.era, 0)
        position = Position(mirror.position.era, change.revision)
        try:
            return decode_quarantine(change.value), position
        except DecodeError:
            # Logged when the entry was read; it is replaced.
            return None, position

    async def _replace(
        self, store: StoreClient, key: str, quarantine: Quarantine, position: Position
    ) -> bool:
        """Write a quarantine; return False if another instance has written meanwhile."""
        try:
            await store.replace(key, encode_quarantine(quarantine), position)
        except StoreError as failure:
            if failure.kind is not StoreErrorKind.CONFLICT:
                raise
            return False
        self._metrics.store_calls.labels("quarantine", "ok").inc()
        return True

    async def try_begin_trial(self, fingerprint: str) -> bool:
        """Return whether a copy of a quarantined request may be sent, once, by this instance.

        The store decides, so that of all instances only one sends it.
        """
        if fingerprint in self._permits:
            self._permits.discard(fingerprint)
            return True
        now_ms = self._clock.now_ms()
        quarantine = self._quarantines.find(fingerprint)
        if quarantine is None or self._store is None or fingerprint in self._claims:
            return False
        if not self._quarantines.is_trial_due(fingerprint, now_ms):
            return False
        key = make_quarantine_key(fingerprint)
        stored, position = self._find_stored(key)
        if stored != quarantine:
            return False
        trial = replace(quarantine, trials=quarantine.trials + 1)
        self._claims.add(fingerprint)
        try:
            async with asyncio.timeout(_CLAIM_TIMEOUT_S):
                is_claimed = await self._replace(self._store, key, trial, position)
        except (StoreError, TimeoutError) as failure:
            _log.info("quarantine_not_stored", fingerprint=fingerprint, detail=repr(failure))
            return False
        finally:
            self._claims.discard(fingerprint)
        if not is_claimed or self._clock.now_ms() - now_ms > _MAX_CLAIM_MS:
            return False
        _log.info("quarantine_trial", fingerprint=fingerprint, trials=trial.trials)
        self._record_quarantine(fingerprint, trial, "trial")
        self._announce(fingerprint, trial)
        return True

    def return_trial(self, fingerprint: str) -> None:
        """Keep a trial for the next copy, as this one was not sent."""
        self._permits.add(fingerprint)

    def _list_collectors(self) -> list[str]:
        peers = [peer.address for peer in self._fleet.list_peers()]
        names = [address.name for address in peers if address.collects_crashes]
        return rank("crash collector", [self._name, *names])[:_COLLECTORS]

    def _send(self, names: Iterable[str], data: bytes) -> None:
        for name in names:
            address = self._fleet.find_address(name)
            if address is not None:
                self._peer_network.send_to(address, data)
