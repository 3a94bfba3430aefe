"""The state behind routing decisions: configuration, targets, evacuations and members.

It is derived from a mirror of the store's keys, which is updated from the store or from a peer. The
configuration never reverts to an older version while the process runs.
"""

from __future__ import annotations

import asyncio

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.documents import (
    DecodeError,
    decode_config,
    decode_member,
    decode_target,
    parse_evacuated_domain,
    parse_member_name,
    parse_target_id,
)
from waxwingshelf.platform.names import CONFIG_KEY, EVACUATION_PREFIX
from waxwingshelf.steering.config import SteeringConfig
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.mirror import Change, Mirror
from waxwingshelf.steering.targets import TargetRegistry, is_mass_removal

__all__ = ["RoutingState"]

# Entries whose lease expired during a store outage reappear about two seconds after the outage.
_REMOVAL_HOLD_MS = 2_200
_DEFAULT_COLD_START_MS = 3_000
_log = structlog.get_logger("routing_state")


class RoutingState:
    """Configuration, targets and evacuations from the store; member entries go to the fleet."""

    def __init__(self, clock: Clock, fleet: Fleet) -> None:
        self._clock = clock
        self._fleet = fleet
        self.mirror = Mirror()
        self.targets = TargetRegistry()
        self.config: SteeringConfig | None = None
        self.config_loaded = asyncio.Event()
        self._held_until_ms: dict[str, int] = {}
        self._store_recovered_ms: int | None = None

    def apply(self, changes: list[Change], as_of: int, source: str) -> None:
        """Apply changes from the store or a peer that are complete up to revision `as_of`."""
        self._apply_changes(self.mirror.apply(changes, as_of), source)

    def replace(self, items: list[Change], as_of: int, source: str) -> None:
        """Apply a listing of all keys at revision `as_of`; keys that it lacks were removed."""
        self._apply_changes(self.mirror.replace(items, as_of), source)

    def record_store_recovered(self) -> None:
        """Delay target removals for a while, since leases may have expired during the outage."""
        self._store_recovered_ms = self._clock.now_ms()

    def expire_held_targets(self) -> None:
        """Remove the held targets whose entries did not reappear in time."""
        now_ms = self._clock.now_ms()
        due = [
            target_id for target_id, until_ms in self._held_until_ms.items() if now_ms >= until_ms
        ]
        for target_id in due:
            del self._held_until_ms[target_id]
            self._remove_target(target_id, "lapsed")

    def _apply_changes(self, changes: list[Change], source: str) -> None:
        if not changes:
            return
        removed = [
            target_id
            for change in changes
            if change.value is None and (target_id := parse_target_id(change.key)) is not None
        ]
        hold_ms = self._compute_hold_ms(len(removed))
        for change in changes:
            self._apply_change(change, hold_ms, source)
        if any(change.key.startswith(EVACUATION_PREFIX) for change in changes):
            self._update_evacuations()

    def _compute_hold_ms(self, removed_count: int) -> int:
        """Return how long to hold removed targets: after a store outage or in a mass removal."""
        now_ms = self._clock.now_ms()
        if self._store_recovered_ms is not None:
            remaining_ms = self._store_recovered_ms + _REMOVAL_HOLD_MS - now_ms
            if remaining_ms > 0:
                return remaining_ms
        if is_mass_removal(removed_count, len(self.targets.list_ids())):
            return _REMOVAL_HOLD_MS
        return 0

    def _apply_change(self, change: Change, hold_ms: int, source: str) -> None:
        if change.key == CONFIG_KEY:
            self._apply_config(change, source)
            return
        target_id = parse_target_id(change.key)
        if target_id is not None:
            self._apply_target(target_id, change, hold_ms)
            return
        name = parse_member_name(change.key)
        if name is not None:
            self._apply_member(name, change)

    def _apply_config(self, change: Change, source: str) -> None:
        if change.value is None:
            return
        try:
            config = decode_config(change.value)
        except DecodeError as error:
            _log.error("config_rejected", revision=change.revision, detail=str(error))
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self.config_loaded.set()
        _log.info(
            "config_in_force",
            version=config.version,
            revision=change.revision,
            source=source,
            routes=len(config.routes),
            organisations=len(config.organisations),
        )

    def _apply_target(self, target_id: str, change: Change, hold_ms: int) -> None:
        if change.value is None:
            if hold_ms > 0:
                self._held_until_ms[target_id] = self._clock.now_ms() + hold_ms
                _log.info("target_held", target=target_id, hold_ms=hold_ms)
                return
            self._remove_target(target_id, "removed")
            return
        self._held_until_ms.pop(target_id, None)
        try:
            target = decode_target(target_id, change.value)
        except DecodeError as error:
            _log.warning("target_rejected", target=target_id, detail=str(error))
            self.targets.remove(target_id)
            return
        self.targets.put(target, self._clock.now_ms())
        _log.info(
            "target_known",
            target=target_id,
            service=target.service,
            failure_domain=target.failure_domain,
            draining=target.draining,
            cold_ms=target.cold_for_ms,
            revision=change.revision,
        )

    def _remove_target(self, target_id: str, reason: str) -> None:
        if self.targets.remove(target_id):
            _log.info("target_gone", target=target_id, why=reason)

    def _apply_member(self, name: str, change: Change) -> None:
        if change.value is None:
            self._fleet.record_unregistered(name, self._clock.now_ms())
            return
        try:
            self._fleet.record_registered(decode_member(change.value))
        except DecodeError as error:
            _log.warning("member_rejected", member=name, detail=str(error))

    def _update_evacuations(self) -> None:
        domains = frozenset(
            domain
            for item in self.mirror.list_items()
            if (domain := parse_evacuated_domain(item.key)) is not None
        )
        self.targets.set_evacuated(domains, self._clock.now_ms(), self._compute_cold_start_ms())
        _log.info("evacuations", failure_domains=sorted(domains))

    def _compute_cold_start_ms(self) -> int:
        if self.config is None or not self.config.services:
            return _DEFAULT_COLD_START_MS
        return max(rule.cold_start_ms for rule in self.config.services.values())
