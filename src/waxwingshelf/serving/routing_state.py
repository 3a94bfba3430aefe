"""The state behind routing decisions: configuration, targets, evacuations and members.

It is derived from a mirror of the store's keys, which is updated from the store or from a peer. The
configuration never reverts to an older version while the process runs.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import structlog
from msgspec.structs import asdict

from waxwingshelf.core.clock import Clock
from waxwingshelf.platform.documents import (
    DecodeError,
    decode_config,
    decode_member,
    decode_quarantine,
    make_target_key,
    parse_evacuated_domain,
    parse_listed_member_name,
    parse_member_name,
    parse_quarantined_request,
)
from waxwingshelf.platform.names import CONFIG_KEY
from waxwingshelf.serving.failures import Failures
from waxwingshelf.serving.target_entries import TargetEntries
from waxwingshelf.steering.config import SteeringConfig
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.mirror import Change, Mirror, Position
from waxwingshelf.steering.quarantine import Quarantine, QuarantineList

__all__ = ["RoutingState"]

# An evacuation that an older copy of the store lacks stays in force until the operators write it
# again, or for this long: they may have ended it while the store was away.
_EVACUATION_HOLD_MS = 10_000
# The time to live of an instance's lease. An instance that an older copy of the store lacks may be
# partitioned and still serve, so it counts as stopped only when its lease would have expired.
_MEMBER_HOLD_MS = 6_000
_DEFAULT_COLD_START_MS = 3_000
_log = structlog.get_logger("routing_state")


class RoutingState:
    """Configuration, targets and evacuations from the store; member entries go to the fleet."""

    def __init__(self, clock: Clock, fleet: Fleet, failures: Failures | None = None) -> None:
        self._clock = clock
        self._fleet = fleet
        self._failures = failures or Failures(clock)
        # By kind of entry, how many could not be decoded.
        self.rejected_entries: Counter[str] = Counter()
        self._target_entries = TargetEntries(clock, self._failures, self.rejected_entries)
        self.mirror = Mirror()
        self.targets = self._target_entries.registry
        self.quarantines = QuarantineList()
        self.config: SteeringConfig | None = None
        self.config_loaded = asyncio.Event()
        self._config_value: bytes | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._held_evacuations_until_ms: dict[str, int] = {}
        self.store_restores = 0

    @property
    def config_version(self) -> int:
        """Return the version of the configuration in force, or 0."""
        return self.config.version if self.config is not None else 0

    def apply(self, changes: list[Change], position: Position, source: str) -> None:
        """Apply changes from the store or a peer that are complete up to `position`."""
        self._apply_changes(self.mirror.apply(changes, position), source)

    def replace(self, items: list[Change], position: Position, source: str) -> None:
        """Apply a listing of all keys at `position`; keys that it lacks were removed."""
        self._fleet.settling.record_view(self._clock.now_ms())
        earlier = self.mirror.position
        changes = self.mirror.replace(items, position)
        if position.era > earlier.era and earlier != Position():
            self._apply_restored(changes, earlier, source)
        else:
            self._apply_changes(changes, source)

    def apply_config(self, value: bytes, source: str) -> None:
        """Apply a configuration that a peer uses, if it is newer than the one in force."""
        self._apply_config(value, self.mirror.position.revision, source)

    def find_config_ahead_of_store(self) -> bytes | None:
        """Return the configuration in force if the store's keys hold another one."""
        change = self.mirror.get(CONFIG_KEY)
        stored = change.value if change is not None else None
        return self._config_value if stored != self._config_value else None

    def record_misdirected(self, target_id: str) -> None:
        """Stop using a target for a while, as another one has answered at its address."""
        self._target_entries.record_misdirected(target_id)

    def record_store_recovered(self) -> None:
        """Delay target removals for a while, since leases may have expired during the outage."""
        self._target_entries.record_store_recovered()

    def expire_held(self) -> None:
        """End what was only held for a time: removed targets, evacuations, outdated entries."""
        confirmed = [
            change
            for target_id in self._target_entries.expire()
            if (change := self.mirror.get(make_target_key(target_id))) is not None
        ]
        self._target_entries.apply(confirmed)
        now_ms = self._clock.now_ms()
        held = self._held_evacuations_until_ms
        expired = [domain for domain, until_ms in held.items() if now_ms >= until_ms]
        for domain in expired:
            del held[domain]
        if expired:
            self._update_evacuations()

    def record_quarantine(self, fingerprint: str, quarantine: Quarantine, source: str) -> None:
        """Take over a quarantine from the store or an instance, unless a later one is known."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        was_in_force = self.quarantines.get_remaining_ms(fingerprint, now_ms) > 0
        self.quarantines.record(fingerprint, quarantine, now_ms, wall_ms)
        remaining_ms = self.quarantines.get_remaining_ms(fingerprint, now_ms)
        if (remaining_ms > 0) == was_in_force:
            # Known, or another instance has come to the same conclusion.
            return
        _log.warning(
            "quarantine_lifted" if quarantine.lifted else "request_quarantined",
            fingerprint=fingerprint,
            began_ms=quarantine.began_ms,
            remaining_ms=remaining_ms,
            source=source,
        )

    def _apply_changes(self, changes: list[Change], source: str) -> None:
        self._target_entries.apply(changes)
        now_ms = self._clock.now_ms()
        has_evacuation = False
        for change in changes:
            with self._failures.contain("entry", key=change.key):
                self._apply_system_entry(change, source, now_ms)
            domain = parse_evacuated_domain(change.key)
            if domain is not None:
                has_evacuation = True
                self._held_evacuations_until_ms.pop(domain, None)
        if has_evacuation:
            self._update_evacuations()

    def _apply_restored(self, changes: list[Change], earlier: Position, source: str) -> None:
        """Apply a listing of the store after it came back from an older copy."""
        self.store_restores += 1
        position = self.mirror.position
        _log.warning(
            "store_restored",
            era=position.era,
            revision=position.revision,
            era_before=earlier.era,
            revision_before=earlier.revision,
            source=source,
        )
        self._target_entries.apply_restored(changes)
        now_ms = self._clock.now_ms()
        for change in changes:
            with self._failures.contain("entry", key=change.key):
                self._apply_system_entry(change, source, now_ms + _MEMBER_HOLD_MS)
        for domain in self._evacuated - self._list_evacuated():
            self._held_evacuations_until_ms[domain] = now_ms + _EVACUATION_HOLD_MS
        self._update_evacuations()

    def _apply_system_entry(self, change: Change, source: str, unregistered_ms: int) -> None:
        if change.key == CONFIG_KEY:
            if change.value is not None:
                self._apply_config(change.value, change.revision, source)
            return
        name = parse_member_name(change.key)
        if name is not None:
            self._apply_member(name, change.value, unregistered_ms)
        if parse_listed_member_name(change.key) is not None and change.value is not None:
            self._apply_listed_member(change)
        fingerprint = parse_quarantined_request(change.key)
        if fingerprint is not None and change.value is not None:
            self._apply_quarantine(fingerprint, change.value, source)

    def _apply_config(self, value: bytes, revision: int, source: str) -> None:
        try:
            config = decode_config(value)
        except DecodeError as error:
            self.rejected_entries["config"] += 1
            _log.error("config_rejected", revision=revision, detail=str(error))
            return
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self._config_value = value
        self.config_loaded.set()
        _log.info(
            "config_in_force",
            version=config.version,
            era=self.mirror.position.era,
            revision=revision,
            source=source,
            routes=len(config.routes),
            organisations=len(config.organisations),
        )
        for unknown in config.unknown_values:
            _log.warning("config_value_unknown", version=config.version, **asdict(unknown))

    def _apply_member(self, name: str, value: bytes | None, unregistered_ms: int) -> None:
        if value is None:
            self._fleet.record_unregistered(name, unregistered_ms)
            return
        try:
            self._fleet.record_registered(decode_member(value))
        except DecodeError as error:
            self.rejected_entries["member"] += 1
            _log.warning("member_rejected", member=name, detail=str(error))

    def _apply_listed_member(self, change: Change) -> None:
        # A removed entry ends nothing: a registration or heartbeats tell of an instance that runs.
        assert change.value is not None
        try:
            self._fleet.record_listed(decode_member(change.value), self._clock.now_ms())
        except DecodeError as error:
            self.rejected_entries["listed_member"] += 1
            _log.warning("member_rejected", member=change.key, detail=str(error))

    def _apply_quarantine(self, fingerprint: str, value: bytes, source: str) -> None:
        # A removed entry ends nothing: an older copy of the store may lack it.
        try:
            quarantine = decode_quarantine(value)
        except DecodeError as error:
            self.rejected_entries["quarantine"] += 1
            _log.warning("quarantine_rejected", fingerprint=fingerprint, detail=str(error))
            return
        self.record_quarantine(fingerprint, quarantine, source)

    def _list_evacuated(self) -> frozenset[str]:
        """Return the failure domains that the store's keys name as evacuated."""
        return frozenset(
            domain
            for item in self.mirror.list_items()
            if (domain := parse_evacuated_domain(item.key)) is not None
        )

    def _update_evacuations(self) -> None:
        domains = self._list_evacuated() | self._held_evacuations_until_ms.keys()
        if domains == self._evacuated:
            return
        self._evacuated = domains
        self.targets.set_evacuated(domains, self._clock.now_ms(), self._compute_cold_start_ms())
        _log.info("evacuations", failure_domains=sorted(domains))

    def _compute_cold_start_ms(self) -> int:
        if self.config is None or not self.config.services:
            return _DEFAULT_COLD_START_MS
        return max(rule.cold_start_ms for rule in self.config.services.values())
