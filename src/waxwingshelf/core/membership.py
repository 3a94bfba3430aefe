"""Membership by gossip, after SWIM (Das, Gupta and Motivala, 2002).

Each period one member is pinged; when no ack comes, others ping it on our behalf. The load on a
member does not grow with the fleet. Being silent is not being dead: a member that was declared
dead can refute that by a higher beat, and nothing is taken from it on the word of gossip alone.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import StrEnum

from msgspec.structs import replace

from waxwingshelf.core.ledger import Holder, Ledger
from waxwingshelf.core.messages import MemberRecord

__all__ = ["MemberState", "Membership", "Probe"]

_HELPERS = 3
_RUMOURS_PER_MESSAGE = 6
_SPREAD_FACTOR = 3
_SUSPICION_FACTOR = 3
_RETRY_DEAD_EVERY = 4


class MemberState(StrEnum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
_PRECEDENCE = {state.value: place for place, state in enumerate(MemberState)}


@dataclass(frozen=True, slots=True)
class Probe:
    """Members to ping directly, and members to ask for a ping of `subject`."""

    direct: list[str]
    helpers: list[str]
    subject: str


@dataclass(slots=True)
class _Entry:
    record: MemberRecord
    since_ms: int
    acked_ms: int


class Membership:
    """Keep what one member believes of all others.

    `returns` counts members that were taken for dead and came back in the same incarnation;
    `changes` rises whenever anything that is believed of others changes.
    """

    def __init__(self, me: Holder, period_ms: int, rng: random.Random) -> None:
        self.me = me
        self.period_ms = period_ms
        self._rng = rng
        self._own = _describe(me)
        self._entries: dict[str, _Entry] = {}
        self._sends_left: dict[str, int] = {}
        self._order: list[str] = []
        self._pending: str | None = None
        self._turn = 0
        self.false_positives = 0
        self.change_count = 0
        self._alive: list[str] | None = None
        self._spread(me.name)

    def list_alive(self) -> list[str]:
        """List the names of other members that are not known to be dead or gone."""
        if self._alive is None:
            entries = self._entries.items()
            self._alive = [name for name, entry in entries if entry.record.state in _LIVE_STATES]
        return self._alive

    def list_live_identities(self) -> set[str]:
        """List the identities of live members, the own one included."""
        alive = {_identify(self._entries[name].record) for name in self.list_alive()}
        alive.add(self.me.identity)
        return alive

    def find(self, name: str) -> MemberRecord | None:
        """Return what is believed of a member."""
        if name == self.me.name:
            return self._own
        entry = self._entries.get(name)
        return None if entry is None else entry.record

    def list_dead(self, older_than_ms: int, now_ms: int) -> list[str]:
        """List identities that have been dead for some time."""
        return [
            _identify(entry.record)
            for entry in self._entries.values()
            if entry.record.state == MemberState.DEAD and now_ms - entry.since_ms >= older_than_ms
        ]

    def list_heirs(self) -> dict[str, str]:
        """Map the identities of members that left in order to their heirs."""
        return {
            _identify(entry.record): entry.record.heir
            for entry in self._entries.values()
            if entry.record.state == MemberState.LEFT
        }

    def apply_ledger(self, ledger: Ledger, now_ms: int) -> None:
        """Learn of holders that gossip has not mentioned yet."""
        for holder in ledger.holders.values():
            entry = self._entries.get(holder.name)
            known = entry is not None and entry.record.incarnation >= holder.incarnation
            if holder.name != self.me.name and not known:
                self._entries[holder.name] = _Entry(_describe(holder), now_ms, now_ms)
                self._note_change()
        for departure in ledger.departures:
            entry = self._entries.get(departure.holder.name)
            if entry is not None and entry.record.incarnation == departure.holder.incarnation:
                del self._entries[departure.holder.name]
                self._note_change()

    def announce_stop(self) -> None:
        """Tell others that this member takes no new callers."""
        self._own = replace(self._own, state_version=self._own.state_version + 1, stopping=True)
        self._spread(self.me.name)

    def leave(self, heir: str) -> None:
        """Tell others that this member leaves in order."""
        self._own = replace(self._own, state=MemberState.LEFT.value, heir=heir)
        self._spread(self.me.name)

    def apply_record(self, record: MemberRecord, now_ms: int) -> bool:
        """Take in a rumour; True when it was news."""
        if record.name == self.me.name:
            return self._refute(record)
        entry = self._entries.get(record.name)
        if entry is not None and not _is_newer(record, entry.record):
            return False
        if entry is None and record.state in (MemberState.DEAD, MemberState.LEFT):
            return False
        if entry is not None and entry.record.state == MemberState.DEAD:
            self.false_positives += record.incarnation == entry.record.incarnation
        acked_ms = now_ms if entry is None else entry.acked_ms
        self._entries[record.name] = _Entry(record, now_ms, acked_ms)
        self._note_change()
        self._spread(record.name)
        return True

    def record_ack(self, name: str, incarnation: int, now_ms: int) -> None:
        """Note that a member answered, directly or through a helper."""
        entry = self._entries.get(name)
        if entry is None or entry.record.incarnation != incarnation:
            return
        entry.acked_ms = now_ms
        if name == self._pending:
            self._pending = None
        if entry.record.state == MemberState.SUSPECT:
            entry.record = replace(entry.record, state=MemberState.ALIVE.value)
            entry.since_ms = now_ms
            self._note_change()

    def notify_if_dead(self, name: str, incarnation: int) -> None:
        """Have a member that is taken for dead hear of it, so that it can refute that."""
        entry = self._entries.get(name)
        if entry is None or entry.record.incarnation != incarnation:
            return
        if entry.record.state == MemberState.DEAD:
            self._spread(name)

    def start_period(self, now_ms: int) -> Probe:
        """Judge the last period's probe and choose whom to ping next."""
        if self._pending is not None:
            self._suspect(self._pending, now_ms)
        self._bury_suspects(now_ms)
        self._turn += 1
        self._pending = self._choose_next()
        direct = [] if self._pending is None else [self._pending]
        if self._turn % _RETRY_DEAD_EVERY == 0:
            direct += self._choose_dead()
        return Probe(direct, [], "")

    def choose_helpers(self) -> Probe | None:
        """Choose helpers when the pinged member has not answered by half of the period."""
        if self._pending is None:
            return None
        others = [name for name in self.list_alive() if name != self._pending]
        helpers = self._rng.sample(others, min(_HELPERS, len(others)))
        return Probe([], helpers, self._pending)

    def sample_alive(self, count: int) -> list[str]:
        """Choose some live members at random."""
        alive = self.list_alive()
        return self._rng.sample(alive, min(count, len(alive)))

    def take_records(self) -> list[MemberRecord]:
        """Take the rumours to send with the next message, the least spread first."""
        names = sorted(self._sends_left, key=lambda name: -self._sends_left[name])
        rumours = []
        for name in names[:_RUMOURS_PER_MESSAGE]:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
            record = self.find(name)
            if record is not None:
                rumours.append(record)
        return rumours

    def describe_self(self) -> MemberRecord:
        """Return the rumour of this member itself."""
        return self._own

    def _refute(self, record: MemberRecord) -> bool:
        same = record.incarnation == self._own.incarnation
        if (
            not same
            or record.state_version < self._own.state_version
            or record.state == self._own.state
        ):
            return False
        self._own = replace(self._own, state_version=record.state_version + 1)
        self._spread(self.me.name)
        return True

    def _spread(self, name: str) -> None:
        members = len(self._entries) + 1
        self._sends_left[name] = _SPREAD_FACTOR * math.ceil(math.log2(members + 1))

    def _suspect(self, name: str, now_ms: int) -> None:
        entry = self._entries.get(name)
        if entry is not None and entry.record.state == MemberState.ALIVE:
            entry.record = replace(entry.record, state=MemberState.SUSPECT.value)
            entry.since_ms = now_ms
            self._note_change()
            self._spread(name)

    def _bury_suspects(self, now_ms: int) -> None:
        members = len(self._entries) + 1
        limit_ms = int(_SUSPICION_FACTOR * math.log2(members + 1) * self.period_ms)
        for name, entry in self._entries.items():
            suspect = entry.record.state == MemberState.SUSPECT
            if suspect and now_ms - entry.since_ms >= limit_ms:
                entry.record = replace(entry.record, state=MemberState.DEAD.value)
                entry.since_ms = now_ms
                self._note_change()
                self._spread(name)

    def _choose_next(self) -> str | None:
        if not self.list_alive():
            return None
        while True:
            if not self._order:
                self._order = sorted(self.list_alive())
                self._rng.shuffle(self._order)
            name = self._order.pop()
            entry = self._entries.get(name)
            if entry is not None and entry.record.state in _LIVE_STATES:
                return name

    def _note_change(self) -> None:
        self.change_count += 1
        self._alive = None

    def _choose_dead(self) -> list[str]:
        dead = [n for n, e in self._entries.items() if e.record.state == MemberState.DEAD]
        return [self._rng.choice(dead)] if dead else []


def _describe(holder: Holder) -> MemberRecord:
    return MemberRecord(
        name=holder.name,
        incarnation=holder.incarnation,
        state_version=0,
        state=MemberState.ALIVE.value,
        region=holder.region,
        failure_domain=holder.failure_domain,
        host=holder.host,
        port=holder.port,
        peer_port=holder.peer_port,
    )


def _identify(record: MemberRecord) -> str:
    return f"{record.name}#{record.incarnation}"


def _is_newer(record: MemberRecord, known: MemberRecord) -> bool:
    return _rank_rumour(record) > _rank_rumour(known)


def _rank_rumour(record: MemberRecord) -> tuple[int, bool, int, int]:
    left = record.state == MemberState.LEFT
    return (record.incarnation, left, record.state_version, _PRECEDENCE.get(record.state, 0))
