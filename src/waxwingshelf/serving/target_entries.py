"""Apply the store's entries of targets to the target registry, and hold back doubtful removals."""

from __future__ import annotations

from collections import Counter

import msgspec
import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.documents import DecodeError, decode_target, parse_target_id
from waxwingshelf.serving.failures import Failures
from waxwingshelf.steering.mirror import Change
from waxwingshelf.steering.restored_entries import RestoredEntries
from waxwingshelf.steering.targets import Target, TargetRegistry, is_mass_removal

__all__ = ["TargetEntries"]

# An address at which another target has answered is tried again after this time, and after twice as
# long each further time. The entry of a target that has ended is removed sooner.
_FIRST_RETRIAL_MS = 5_000
_MAX_RETRIAL_MS = 60_000
# Entries whose lease expired during a store outage reappear about two seconds after the outage.
_REMOVAL_HOLD_MS = 2_200
_log = structlog.get_logger("target_entries")


class _Retrial(msgspec.Struct):
    """When a target is tried again at whose address another answered; None once it is."""

    delay_ms: int
    due_ms: int | None


class TargetEntries:
    """Keep a target registry in line with the entries; a held target is removed after a delay."""

    def __init__(self, clock: Clock, failures: Failures, rejected: Counter[str]) -> None:
        self._clock = clock
        self._failures = failures
        self._rejected = rejected
        self.registry = TargetRegistry()
        self._held_until_ms: dict[str, int] = {}
        self._store_recovered_ms: int | None = None
        self._restored_entries = RestoredEntries()
        self._retrials: dict[str, _Retrial] = {}

    def record_misdirected(self, target_id: str) -> None:
        """Stop using a target for a while, as another one has answered at its address."""
        if not self.registry.remove(target_id):
            return
        known = self._retrials.get(target_id)
        delay_ms = _FIRST_RETRIAL_MS
        if known is not None:
            delay_ms = min(_MAX_RETRIAL_MS, 2 * known.delay_ms)
        self._retrials[target_id] = _Retrial(delay_ms, self._clock.now_ms() + delay_ms)
        _log.warning("target_misdirected", target=target_id, retry_ms=delay_ms)

    def record_store_recovered(self) -> None:
        """Delay removals for a while, since leases may have expired during the outage."""
        self._store_recovered_ms = self._clock.now_ms()

    def apply(self, changes: list[Change]) -> None:
        """Apply changes of entries that targets have written; other keys are ignored."""
        entries = _list_entries(changes)
        hold_ms = self._compute_hold_ms(sum(change.value is None for _, change in entries))
        for target_id, change in entries:
            with self._failures.contain("entry", key=change.key):
                if change.value is None:
                    self._hold_or_remove(target_id, hold_ms)
                else:
                    self._put(target_id, change.value, change.revision)

    def apply_restored(self, changes: list[Change]) -> None:
        """Apply the entries that an older copy of the store shows, or lacks."""
        self.record_store_recovered()
        for target_id, change in _list_entries(changes):
            with self._failures.contain("entry", key=change.key):
                if change.value is None:
                    self._hold_or_remove(target_id, _REMOVAL_HOLD_MS)
                else:
                    self._put_restored(target_id, change.value, change.revision)

    def expire(self) -> list[str]:
        """Remove held targets that did not reappear; return those whose entries hold again.

        These are restored ones that are confirmed, and those that are due for a retrial.
        """
        now_ms = self._clock.now_ms()
        due = [
            target_id for target_id, until_ms in self._held_until_ms.items() if now_ms >= until_ms
        ]
        for target_id in due:
            del self._held_until_ms[target_id]
            self._remove(target_id, "lapsed")
        return [*self._restored_entries.list_confirmed(now_ms), *self._take_retrials(now_ms)]

    def _take_retrials(self, now_ms: int) -> list[str]:
        due = [
            target_id
            for target_id, retrial in self._retrials.items()
            if retrial.due_ms is not None
            and now_ms >= retrial.due_ms
            and not self._restored_entries.is_unconfirmed(target_id)
        ]
        for target_id in due:
            self._retrials[target_id].due_ms = None
        return due

    def _compute_hold_ms(self, removed_count: int) -> int:
        """Return how long to hold removed targets: after a store outage or in a mass removal."""
        now_ms = self._clock.now_ms()
        if self._store_recovered_ms is not None:
            remaining_ms = self._store_recovered_ms + _REMOVAL_HOLD_MS - now_ms
            if remaining_ms > 0:
                return remaining_ms
        if is_mass_removal(removed_count, len(self.registry.list_ids())):
            return _REMOVAL_HOLD_MS
        return 0

    def _hold_or_remove(self, target_id: str, hold_ms: int) -> None:
        self._restored_entries.record_removed(target_id)
        if hold_ms <= 0:
            self._remove(target_id, "removed")
            return
        self._held_until_ms[target_id] = self._clock.now_ms() + hold_ms
        _log.info("target_held", target=target_id, hold_ms=hold_ms)

    def _remove(self, target_id: str, reason: str) -> None:
        self._retrials.pop(target_id, None)
        if self.registry.remove(target_id):
            _log.info("target_gone", target=target_id, why=reason)

    def _put(self, target_id: str, value: bytes, revision: int) -> None:
        self._held_until_ms.pop(target_id, None)
        target = self._decode(target_id, value)
        if target is not None:
            self._use(target, revision)

    def _put_restored(self, target_id: str, value: bytes, revision: int) -> None:
        target = self._decode(target_id, value)
        if target is None:
            return
        if self._restored_entries.is_outdated(target, self._clock.now_ms()):
            _log.info("target_outdated", target=target_id, revision=revision)
            return
        self._held_until_ms.pop(target_id, None)
        self._use(target, revision)

    def _decode(self, target_id: str, value: bytes) -> Target | None:
        try:
            return decode_target(target_id, value)
        except DecodeError as error:
            self._rejected["target"] += 1
            _log.warning("target_rejected", target=target_id, detail=str(error))
            self.registry.remove(target_id)
            return None

    def _use(self, target: Target, revision: int) -> None:
        self._restored_entries.record(target)
        self.registry.put(target, self._clock.now_ms())
        _log.info(
            "target_known",
            target=target.id,
            service=target.service,
            failure_domain=target.failure_domain,
            draining=target.draining,
            cold_ms=target.cold_for_ms,
            revision=revision,
        )


def _list_entries(changes: list[Change]) -> list[tuple[str, Change]]:
    """Return the target ids and changes of those changes that concern targets."""
    return [
        (target_id, change)
        for change in changes
        if (target_id := parse_target_id(change.key)) is not None
    ]
