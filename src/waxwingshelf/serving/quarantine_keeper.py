"""Put requests that crash targets under quarantine at all instances.

Instances report crashes to a few collectors, which decide. A quarantine goes to all instances by a
datagram and into the store, so that an instance that starts knows it too.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping

import structlog
from msgspec.structs import replace

from waxwingshelf.core.clock import Clock
from waxwingshelf.core.rendezvous import rank
from waxwingshelf.serving.crash_messages import (
    ANSWER_TYPE,
    CRASH_TYPE,
    QUARANTINE_TYPE,
    SUSPECT_TYPE,
    AnswerMessage,
    CrashMessage,
    QuarantineMessage,
    SuspectMessage,
    decode_answer,
    decode_crash,
    decode_quarantine_message,
    decode_suspect,
    encode_answer,
    encode_crash,
    encode_quarantine_message,
    encode_suspect,
)
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.serving.quarantine_store import QuarantineStore
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.send_results import OutgoingRequest, SendFailure, UpstreamResponse
from waxwingshelf.steering.crash_suspects import (
    AnsweredRequests,
    CrashSuspects,
    DeadlyRequest,
    TargetCrash,
)
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.quarantine import Quarantine, QuarantineEntry
from waxwingshelf.steering.targets import Target

__all__ = ["QuarantineKeeper"]

# More than one, since instances may be gone and datagrams lost.
_COLLECTORS = 3
_MAX_REPORTED_FINGERPRINTS = 64
_MAX_REPORTED_SUSPECTS = 1_024
_BUSY_INTERVAL_S = 0.1
_IDLE_INTERVAL_S = 2.0
# The time from a crash until it is decided whether a request that was there is deadly: reports
# settle, and the decision goes to all instances.
_VERDICT_MS = 500
_VERDICT_POLL_S = 0.02
# Several instances report one crash.
_SAME_SUSPICION_MS = 100
_log = structlog.get_logger("quarantine")


class QuarantineKeeper:
    """Report crashes, collect reports, and begin and lift quarantines."""

    def __init__(
        self,
        name: str,
        routing_state: RoutingState,
        fleet: Fleet,
        peer_network: PeerNetwork,
        store: QuarantineStore,
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
        # The requests that one more crash may show to be deadly, and when that was last said.
        self._suspected_ms: OrderedDict[str, int] = OrderedDict()
        # What this instance has reported at crashes, and the quarantines that it has changed.
        self._reported: dict[str, None] = {}
        self._changed: set[str] = set()
        # Trials that this instance may make, as no target has got the request yet: the beginning of
        # the quarantine by fingerprint.
        self._permits: dict[str, int] = {}
        # The requests of which this instance has sent a trial, until its outcome is known.
        self._trials: set[str] = set()
        self._store = store
        store.is_responsible = self._is_responsible
        self._has_work = asyncio.Event()
        peer_network.add_handler(CRASH_TYPE, self._handle_crash)
        peer_network.add_handler(ANSWER_TYPE, self._handle_answer)
        peer_network.add_handler(QUARANTINE_TYPE, self._handle_quarantine)
        peer_network.add_handler(SUSPECT_TYPE, self._handle_suspect)

    async def run(self) -> None:
        """Decide about the reported crashes and lift quarantines, until cancelled."""
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
            self._forget_ended(in_force)

    def record_result(
        self, target: Target, request: OutgoingRequest, result: UpstreamResponse | SendFailure
    ) -> None:
        """Take note of an answer: it clears a request of suspicion."""
        if isinstance(result, SendFailure):
            return
        fingerprint, now_ms = request.fingerprint, self._clock.now_ms()
        self._answered.record(fingerprint, now_ms)
        self._suspected_ms.pop(fingerprint, None)
        if fingerprint in self._reported:
            del self._reported[fingerprint]
            self._suspects.record_answer(fingerprint)
            self._send(self._list_collectors(), encode_answer(AnswerMessage(fingerprint)))
        if self._quarantines.get_remaining_ms(fingerprint, now_ms) > 0:
            self._has_work.set()

    async def wait_for_verdict(self, fingerprint: str, deadline_ms: int) -> None:
        """Wait, before a request is sent, while it is being decided whether it is deadly.

        It returns at once for a request that was not at two crashes since it was last answered.
        """
        while self._is_verdict_due(fingerprint) and self._clock.now_ms() < deadline_ms:
            await asyncio.sleep(_VERDICT_POLL_S)

    def _is_verdict_due(self, fingerprint: str) -> bool:
        suspected_ms = self._suspected_ms.get(fingerprint)
        if suspected_ms is None:
            return False
        now_ms = self._clock.now_ms()
        is_recent = now_ms - suspected_ms < _VERDICT_MS
        return is_recent and self._quarantines.get_remaining_ms(fingerprint, now_ms) == 0

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request was lost in a crash that this instance saw, and not answered."""
        return fingerprint in self._reported

    def report_crash(self, crash: TargetCrash) -> None:
        """Report a crash that this instance has seen to the collectors."""
        collectors = self._list_collectors()
        if self._name in collectors:
            self._record_crash(crash)
        fingerprints = sorted(crash.fingerprints)
        for fingerprint in fingerprints:
            self._reported[fingerprint] = None
            if fingerprint in self._suspected_ms:
                self._suspect(fingerprint)
            if fingerprint in self._trials:
                self._settle_trial(fingerprint)
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
        for fingerprint in crash.fingerprints:
            if self._suspects.is_nearly_deadly(fingerprint) and self._suspect(fingerprint):
                self._send_to_all(encode_suspect(SuspectMessage(fingerprint)))

    def _suspect(self, fingerprint: str) -> bool:
        """Let the next copies of a request wait; return False if they do so already."""
        now_ms = self._clock.now_ms()
        suspected_ms = self._suspected_ms.pop(fingerprint, None)
        self._suspected_ms[fingerprint] = now_ms
        if len(self._suspected_ms) > _MAX_REPORTED_SUSPECTS:
            self._suspected_ms.popitem(last=False)
        return suspected_ms is None or now_ms - suspected_ms >= _SAME_SUSPICION_MS

    def _handle_suspect(self, data: memoryview) -> None:
        self._suspect(decode_suspect(data).fingerprint)

    def _handle_answer(self, data: memoryview) -> None:
        self._suspects.record_answer(decode_answer(data).fingerprint)

    def _handle_quarantine(self, data: memoryview) -> None:
        message = decode_quarantine_message(data)
        self._record_quarantine(message.fingerprint, message.quarantine, "peer")

    def _record_quarantine(self, fingerprint: str, quarantine: Quarantine, source: str) -> None:
        self._routing_state.record_quarantine(fingerprint, quarantine, source)
        self._has_work.set()
        self._store.update_soon()

    def _begin(self, deadly: DeadlyRequest, now_ms: int) -> None:
        if self._quarantines.get_remaining_ms(deadly.fingerprint, now_ms) > 0:
            # Another collector was sooner.
            return
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
        for fingerprint, entry in self._quarantines.list_in_force(now_ms).items():
            if not self._answered.was_answered_since(fingerprint, entry.suspected_since_ms):
                continue
            lifted = replace(entry.quarantine, lifted=True)
            self._changed.add(fingerprint)
            self._record_quarantine(fingerprint, lifted, "answer")
            self._announce(fingerprint, lifted)

    def _settle_trial(self, fingerprint: str) -> None:
        """Tell all instances that a trial crashed its target or is unsent."""
        self._trials.discard(fingerprint)
        known = self._quarantines.find(fingerprint)
        if known is not None and known.settled_trials < known.trials:
            settled = replace(known, settled_trials=known.trials)
            self._changed.add(fingerprint)
            self._record_quarantine(fingerprint, settled, "trial")
            self._announce(fingerprint, settled)

    def _forget_ended(self, in_force: Mapping[str, QuarantineEntry]) -> None:
        for fingerprint in self._permits.keys() - in_force.keys():
            del self._permits[fingerprint]
        self._trials &= in_force.keys()
        self._changed &= self._quarantines.list_all().keys()

    def _is_responsible(self, fingerprint: str) -> bool:
        """Return whether this instance keeps a quarantine in the store."""
        return fingerprint in self._changed or self._name in self._list_collectors()

    def _announce(self, fingerprint: str, quarantine: Quarantine) -> None:
        self._send_to_all(encode_quarantine_message(QuarantineMessage(fingerprint, quarantine)))

    async def try_begin_trial(self, fingerprint: str) -> bool:
        """Return whether a copy of a quarantined request may be sent, once, by this instance."""
        known = self._quarantines.find(fingerprint)
        if known is not None and self._permits.pop(fingerprint, None) == known.began_ms:
            self._trials.add(fingerprint)
            return True
        trial = await self._store.claim_trial(fingerprint)
        if trial is None:
            return False
        _log.info("quarantine_trial", fingerprint=fingerprint, trials=trial.trials)
        self._record_quarantine(fingerprint, trial, "trial")
        self._announce(fingerprint, trial)
        self._trials.add(fingerprint)
        return True

    def return_trial(self, fingerprint: str) -> None:
        """Keep a trial for the next copy, as this one was not sent."""
        self._settle_trial(fingerprint)
        known = self._quarantines.find(fingerprint)
        if known is not None:
            self._permits[fingerprint] = known.began_ms

    def _list_collectors(self) -> list[str]:
        peers = [peer.address for peer in self._fleet.list_peers()]
        names = [address.name for address in peers if address.collects_crashes]
        return rank("crash collector", [self._name, *names])[:_COLLECTORS]

    def _send_to_all(self, data: bytes) -> None:
        self._send((peer.address.name for peer in self._fleet.list_peers()), data)

    def _send(self, names: Iterable[str], data: bytes) -> None:
        for name in names:
            address = self._fleet.find_address(name)
            if address is not None:
                self._peer_network.send_to(address, data)
