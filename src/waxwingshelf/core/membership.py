"""Gossip membership and failure detection, after SWIM (Das, Gupta and Motivala, 2002).

Each period, a member pings one other member; if no ack arrives, helpers ping that member on its
behalf. The load on a member does not grow with the size of the fleet. A member that does not
answer may still be running: one that was declared dead can refute this with a higher state
version, and gossip alone never revokes its shares.
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

_HELPER_COUNT = 3
_RECORDS_PER_MESSAGE = 6
_RETRANSMIT_FACTOR = 3
_SUSPICION_FACTOR = 3
_PERIODS_PER_DEAD_PROBE = 4


class MemberState(StrEnum):
    """The state of a member as known locally."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
_PRECEDENCE = {state.value: rank for rank, state in enumerate(MemberState)}


@dataclass(frozen=True, slots=True)
class Probe:
    """Members to ping directly, and helpers to ask for an indirect ping of `subject`."""

    direct: list[str]
    helpers: list[str]
    subject: str


@dataclass(slots=True)
class _Entry:
    record: MemberRecord
    state_since_ms: int
    acked_ms: int


class Membership:
    """Track the state of all other members as known to one member.

    `false_positives` counts members that were declared dead and came back in the same
    incarnation; `change_count` increases with every change in the state of another member.
    """

    def __init__(self, me: Holder, period_ms: int, rng: random.Random) -> None:
        self.me = me
        self.period_ms = period_ms
        self._rng = rng
        self._own_record = _build_record(me)
        self._entries: dict[str, _Entry] = {}
        self._remaining_sends: dict[str, int] = {}
        self._probe_order: list[str] = []
        self._pending_name: str | None = None
        self._period_count = 0
        self.false_positives = 0
        self.change_count = 0
        self._cached_alive: list[str] | None = None
        self._queue_record(me.name)

    def list_alive(self) -> list[str]:
        """Return the names of the other members that are alive or suspect."""
        if self._cached_alive is None:
            entries = self._entries.items()
            self._cached_alive = [
                name for name, entry in entries if entry.record.state in _LIVE_STATES
            ]
        return self._cached_alive

    def list_live_identities(self) -> set[str]:
        """Return the identities of the live members, including this one."""
        alive = {_format_identity(self._entries[name].record) for name in self.list_alive()}
        alive.add(self.me.identity)
        return alive

    def find(self, name: str) -> MemberRecord | None:
        """Return the latest record of a member, or None when it is unknown."""
        if name == self.me.name:
            return self._own_record
        entry = self._entries.get(name)
        return None if entry is None else entry.record

    def list_dead(self, older_than_ms: int, now_ms: int) -> list[str]:
        """Return the identities that have been dead for at least `older_than_ms`."""
        return [
            _format_identity(entry.record)
            for entry in self._entries.values()
            if entry.record.state == MemberState.DEAD
            and now_ms - entry.state_since_ms >= older_than_ms
        ]

    def list_heirs(self) -> dict[str, str]:
        """Return the heir of each member that left gracefully, by the identity of that member."""
        return {
            _format_identity(entry.record): entry.record.heir
            for entry in self._entries.values()
            if entry.record.state == MemberState.LEFT
        }

    def apply_ledger(self, ledger: Ledger, now_ms: int) -> None:
        """Add holders that gossip has not reported yet, and remove departed ones."""
        for holder in ledger.holders.values():
            entry = self._entries.get(holder.name)
            is_known = entry is not None and entry.record.incarnation >= holder.incarnation
            if holder.name != self.me.name and not is_known:
                self._entries[holder.name] = _Entry(_build_record(holder), now_ms, now_ms)
                self._record_change()
        for departure in ledger.departures:
            entry = self._entries.get(departure.holder.name)
            if entry is not None and entry.record.incarnation == departure.holder.incarnation:
                del self._entries[departure.holder.name]
                self._record_change()

    def announce_stop(self) -> None:
        """Announce that this member is stopping and accepts no new callers."""
        self._own_record = replace(
            self._own_record, state_version=self._own_record.state_version + 1, stopping=True
        )
        self._queue_record(self.me.name)

    def leave(self, heir: str) -> None:
        """Announce that this member leaves gracefully and that `heir` takes over its claims."""
        self._own_record = replace(self._own_record, state=MemberState.LEFT.value, heir=heir)
        self._queue_record(self.me.name)

    def apply_record(self, record: MemberRecord, now_ms: int) -> bool:
        """Apply a record received by gossip; return whether it changed anything.

        If the record is about this member itself and its state is wrong, it is refuted.
        """
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
        self._record_change()
        self._queue_record(record.name)
        return True

    def record_ack(self, name: str, incarnation: int, now_ms: int) -> None:
        """Record that a member answered a ping, directly or through a helper."""
        entry = self._entries.get(name)
        if entry is None or entry.record.incarnation != incarnation:
            return
        entry.acked_ms = now_ms
        if name == self._pending_name:
            self._pending_name = None
        if entry.record.state == MemberState.SUSPECT:
            entry.record = replace(entry.record, state=MemberState.ALIVE.value)
            entry.state_since_ms = now_ms
            self._record_change()

    def notify_if_dead(self, name: str, incarnation: int) -> None:
        """Queue the record of a member that is considered dead, so that it can refute the record.

        Called when a message from that member arrives.
        """
        entry = self._entries.get(name)
        if entry is None or entry.record.incarnation != incarnation:
            return
        if entry.record.state == MemberState.DEAD:
            self._queue_record(name)

    def start_period(self, now_ms: int) -> Probe:
        """Choose the members to ping in a new period.

        The member probed in the last period becomes suspect unless it answered, and suspects
        that have exceeded the suspicion timeout are declared dead. Every
        `_PERIODS_PER_DEAD_PROBE` periods, one dead member is pinged as well.
        """
        if self._pending_name is not None:
            self._mark_suspect(self._pending_name, now_ms)
        self._declare_suspects_dead(now_ms)
        self._period_count += 1
        self._pending_name = self._choose_next_member()
        direct = [] if self._pending_name is None else [self._pending_name]
        if self._period_count % _PERIODS_PER_DEAD_PROBE == 0:
            direct += self._choose_dead_member()
        return Probe(direct, [], "")

    def choose_helpers(self) -> Probe | None:
        """Choose helpers to ping a member that has not answered by mid-period, or return None."""
        if self._pending_name is None:
            return None
        others = [name for name in self.list_alive() if name != self._pending_name]
        helpers = self._rng.sample(others, min(_HELPER_COUNT, len(others)))
        return Probe([], helpers, self._pending_name)

    def sample_alive(self, count: int) -> list[str]:
        """Return up to `count` live members, chosen at random."""
        alive = self.list_alive()
        return self._rng.sample(alive, min(count, len(alive)))

    def take_records(self) -> list[MemberRecord]:
        """Return the records to send with the next message and count them as sent.

        Records with the most remaining sends come first.
        """
        names = sorted(self._remaining_sends, key=lambda name: -self._remaining_sends[name])
        records = []
        for name in names[:_RECORDS_PER_MESSAGE]:
            self._remaining_sends[name] -= 1
            if self._remaining_sends[name] <= 0:
                del self._remaining_sends[name]
            record = self.find(name)
            if record is not None:
                records.append(record)
        return records

    def describe_self(self) -> MemberRecord:
        """Return the record of this member itself."""
        return self._own_record

    def _refute(self, record: MemberRecord) -> bool:
        same_incarnation = record.incarnation == self._own_record.incarnation
        if (
            not same_incarnation
            or record.state_version < self._own_record.state_version
            or record.state == self._own_record.state
        ):
            return False
        self._own_record = replace(self._own_record, state_version=record.state_version + 1)
        self._queue_record(self.me.name)
        return True

    def _queue_record(self, name: str) -> None:
        members = len(self._entries) + 1
        self._remaining_sends[name] = _RETRANSMIT_FACTOR * math.ceil(math.log2(members + 1))

    def _mark_suspect(self, name: str, now_ms: int) -> None:
        entry = self._entries.get(name)
        if entry is not None and entry.record.state == MemberState.ALIVE:
            entry.record = replace(entry.record, state=MemberState.SUSPECT.value)
            entry.state_since_ms = now_ms
            self._record_change()
            self._queue_record(name)

    def _declare_suspects_dead(self, now_ms: int) -> None:
        members = len(self._entries) + 1
        limit_ms = int(_SUSPICION_FACTOR * math.log2(members + 1) * self.period_ms)
        for name, entry in self._entries.items():
            suspect = entry.record.state == MemberState.SUSPECT
            if suspect and now_ms - entry.state_since_ms >= limit_ms:
                entry.record = replace(entry.record, state=MemberState.DEAD.value)
                entry.state_since_ms = now_ms
                self._record_change()
                self._queue_record(name)

    def _choose_next_member(self) -> str | None:
        if not self.list_alive():
            return None
        while True:
            if not self._probe_order:
                self._probe_order = sorted(self.list_alive())
                self._rng.shuffle(self._probe_order)
            name = self._probe_order.pop()
            entry = self._entries.get(name)
            if entry is not None and entry.record.state in _LIVE_STATES:
                return name

    def _record_change(self) -> None:
        self.change_count += 1
        self._cached_alive = None

    def _choose_dead_member(self) -> list[str]:
        dead = [
            name for name, entry in self._entries.items() if entry.record.state == MemberState.DEAD
        ]
        return [self._rng.choice(dead)] if dead else []


def _build_record(holder: Holder) -> MemberRecord:
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


def _format_identity(record: MemberRecord) -> str:
    return f"{record.name}#{record.incarnation}"


def _is_newer(record: MemberRecord, known: MemberRecord) -> bool:
    return _precedence_key(record) > _precedence_key(known)


def _precedence_key(record: MemberRecord) -> tuple[int, bool, int, int]:
    left = record.state == MemberState.LEFT
    return (record.incarnation, left, record.state_version, _PRECEDENCE.get(record.state, 0))
