"""What an instance knows about targets: entries, load, outcomes, cold starts, evacuations."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from waxwingshelf.core.hashing import hash_to_uint32
from waxwingshelf.steering.target_limits import TargetRateShare
from waxwingshelf.steering.target_pauses import TargetPause
from waxwingshelf.steering.target_reports import Load
from waxwingshelf.steering.target_speed import SpeedModel, TargetSpeed
from waxwingshelf.steering.warm_objects import SentObjects, WarmObjects, hash_object_key

__all__ = [
    "PeerLoad",
    "Target",
    "TargetRegistry",
    "TargetState",
    "hash_target_id",
    "is_mass_removal",
]

_REPORTED_LOAD_TTL_MS = 300
_FAILURE_HALF_LIFE_MS = 3_000
_SLOWNESS_HALF_LIFE_MS = 4_000
_SMOOTHING_FACTOR = 0.25
_SUSPEND_MS = 1_000
_MASS_REMOVAL_FRACTION = 0.34
_MAX_REMOVED_TARGETS = 1_024
# Peers learn of a new run of a target within this time; their reports until then may be of the
# earlier run.
_NEW_RUN_DELAY_MS = 1_000
_MAX_SLOWNESS_ENTRIES = 32
_MIN_SLOWNESS = 0.01
_PERCENT = 100


class Target(msgspec.Struct, frozen=True):
    """A target's entry; `started_ms` distinguishes two runs of a target under the same id.

    `cold_for_ms` is the time for which the target is still cold, that is, limited to the service's
    `cold_per_s`. `entry_number` increases with each entry that one run of the target writes.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    version: str
    slots: int
    draining: bool
    cold_for_ms: int
    started_ms: int
    entry_number: int = 0

    @property
    def run(self) -> str:
        """Return a name of this run of the target."""
        return f"{self.id}@{self.started_ms}"

    @property
    def entry_version(self) -> tuple[int, int]:
        """Return a value that increases with each entry that the target writes."""
        return (self.started_ms, self.entry_number)


class PeerLoad(msgspec.Struct, frozen=True):
    """The number of requests that another instance has in flight at a target."""

    count: int
    valid_until_ms: int


class TargetState(msgspec.Struct):
    """A target and this instance's observations of it.

    `in_flight` maps the number of each attempt to the time from which its age counts: the send
    time, or later by the extra time of a first run if the object may not have been warm.
    `rate_share` is this instance's share of the rate limit that the target names, if it names one.
    `downloads` is the number of this instance's downloads in flight there.
    `leaving` is set once a response has said that the target's run will end. `pause` is what a
    response asked for and no later one has ended. Peers' reports of it count from
    `peer_reports_from_ms`. Times are readings of the instance's clock.
    """

    target: Target
    cold_until_ms: int = 0
    in_flight: dict[int, int] = msgspec.field(default_factory=dict)
    reported_load: int = 0
    reported_at_ms: int = -_REPORTED_LOAD_TTL_MS
    in_flight_at_report: int = 0
    failure_rate: float = 0.0
    failure_rate_at_ms: int = 0
    slowness: float = 1.0
    slowness_at_ms: int = 0
    suspended_until_ms: int = 0
    peer_loads: dict[str, PeerLoad] = msgspec.field(default_factory=dict)
    warm_objects: WarmObjects = msgspec.field(default_factory=WarmObjects)
    rate_share: TargetRateShare | None = None
    leaving: bool = False
    pause: TargetPause | None = None
    speed: TargetSpeed = msgspec.field(default_factory=TargetSpeed)
    peer_reports_from_ms: int = 0
    downloads: int = 0

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the target is limited to its cold rate."""
        return now_ms < self.cold_until_ms

    def may_send(self, now_ms: int) -> bool:
        """Return whether the target, its rate limit and its suspension allow a request now."""
        if self.leaving or self.is_suspended(now_ms):
            return False
        if self.pause is not None and not self.pause.may_send(now_ms, len(self.in_flight)):
            return False
        return self.rate_share is None or self.rate_share.may_send(now_ms)

    def refuses_requests(self, now_ms: int) -> bool:
        """Return whether the target has asked this instance to send it nothing now."""
        return self.leaving or (self.pause is not None and now_ms < self.pause.until_ms)

    def find_earliest_send_ms(self, now_ms: int) -> int:
        """Return the earliest time at which a pause allows a request."""
        return now_ms if self.pause is None else max(now_ms, self.pause.resume_at_ms)

    def record_pause(self, pause: TargetPause) -> bool:
        """Take over a pause; of several, the one that ends last stands. Return whether it does."""
        if self.pause is not None and pause.until_ms <= self.pause.until_ms:
            return False
        self.pause = pause
        return True

    def end_pause(self, now_ms: int) -> bool:
        """End a pause whose time is over, after a response that asks for none."""
        if self.pause is None or now_ms < self.pause.resume_at_ms:
            return False
        self.pause = None
        return True

    def estimate_load(self, now_ms: int) -> int:
        """Return the estimated number of requests at the target.

        This is the number that all instances have in flight, or the number in a recent report of
        the target if that is higher. The reported number is adjusted by the change of this
        instance's requests in flight since the report.
        """
        own = len(self.in_flight)
        peers = sum(load.count for load in self.peer_loads.values() if now_ms < load.valid_until_ms)
        if now_ms - self.reported_at_ms > _REPORTED_LOAD_TTL_MS:
            return own + peers
        return max(own + peers, self.reported_load + own - self.in_flight_at_report)

    def compute_failure_rate(self, now_ms: int) -> float:
        """Return the moving average of the fraction of failed attempts, decayed over time."""
        return self.failure_rate * _decay(now_ms - self.failure_rate_at_ms, _FAILURE_HALF_LIFE_MS)

    def compute_slowness(self, now_ms: int, expected_ms: float) -> float:
        """Return the ratio of a request's duration at this target to the expected duration.

        Half the age of the oldest request in flight counts as a duration too, so that an
        unresponsive target is detected early. A reported slowness replaces these estimates as far
        as it is recent. Reports to peers do not tell whether the target answers this instance.
        """
        average = self._compute_decayed_slowness(now_ms)
        unresponsiveness = 0.0
        if self.in_flight:
            oldest_ms = max(0, now_ms - min(self.in_flight.values()))
            unresponsiveness = oldest_ms / expected_ms / 2
        slowness = max(average, unresponsiveness)
        speed = self.speed
        weight = speed.compute_weight(now_ms)
        if weight == 0:
            return slowness
        slowness += weight * speed.model.trust * (average * speed.slowness - slowness)
        return slowness if speed.own else max(slowness, unresponsiveness)

    def _compute_decayed_slowness(self, now_ms: int) -> float:
        decay_factor = _decay(now_ms - self.slowness_at_ms, _SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self.slowness - 1.0) * decay_factor

    def is_warm_for(self, key: str, now_ms: int) -> bool:
        """Return whether the object is known to be warm at the target."""
        return self.warm_objects.has(hash_object_key(key), now_ms)

    def record_load(self, load: Load, now_ms: int, in_flight: int) -> None:
        """Record the load that the target reported.

        `in_flight` is the number of this instance's requests there, without the one that the
        report came with.
        """
        self.reported_load = load.running + load.waiting
        self.reported_at_ms = now_ms
        self.in_flight_at_report = in_flight
        if load.slowness is not None:
            self.speed.record_report(load.slowness, now_ms)

    def record_outcome(self, failed: bool, now_ms: int) -> None:
        """Update the failure rate with the outcome of one attempt."""
        rate = self.compute_failure_rate(now_ms)
        self.failure_rate = rate + _SMOOTHING_FACTOR * ((1.0 if failed else 0.0) - rate)
        self.failure_rate_at_ms = now_ms

    def record_duration(self, ratio: float, now_ms: int, run_slowness: float = 1.0) -> None:
        """Update the slowness with a response that took `ratio` times the expected time.

        `run_slowness` is the reported slowness during the request; see `TargetSpeed.estimate_run`.
        It is not learned as a property of the target.
        """
        slowness = self._compute_decayed_slowness(now_ms)
        if self.speed.reported_at_ms is not None:
            self.speed.model.record_run(run_slowness, ratio / max(slowness, _MIN_SLOWNESS))
            ratio /= self.speed.compute_run_factor(run_slowness)
        self.slowness = slowness + _SMOOTHING_FACTOR * (ratio - slowness)
        self.slowness_at_ms = now_ms

    def record_warm_object(self, key: str, now_ms: int) -> None:
        """Record that a request for the object was sent to the target."""
        self.warm_objects.record(hash_object_key(key), now_ms)

    def suspend(self, now_ms: int) -> None:
        """Exclude the target for a short time after a failed connection."""
        self.suspended_until_ms = now_ms + _SUSPEND_MS

    def is_suspended(self, now_ms: int) -> bool:
        """Return whether the target is excluded after a failed connection."""
        return now_ms < self.suspended_until_ms


class TargetRegistry:
    """All targets by service; `version` increases when earlier rankings may be outdated.

    `pauses` is the number of pauses that targets have asked for.

    The state of a removed target is kept for a while. Its entry may come back although the same run
    of the target is meant, for example after an outage of the store, and what that run has said
    still holds.
    """

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self._removed: OrderedDict[str, TargetState] = OrderedDict()
        self._by_service: dict[str, list[TargetState]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._by_id_hash: dict[int, TargetState] = {}
        self._id_hashes_by_peer: dict[str, set[int]] = {}
        self._listed_version = 0
        self.version = 0
        self.pauses = 0
        self._speed_model = SpeedModel()
        self._sent_objects = SentObjects()

    def put(self, target: Target, now_ms: int) -> None:
        """Add or update a target; a restarted target loses its recorded state."""
        state = self._states.get(target.id) or self._removed.pop(target.id, None)
        if state is None:
            state = TargetState(target, speed=TargetSpeed(self._speed_model))
        elif _is_new_run(state.target, target):
            state = TargetState(target, speed=TargetSpeed(self._speed_model))
            state.peer_reports_from_ms = now_ms + _NEW_RUN_DELAY_MS
        self._states[target.id] = state
        self._by_id_hash[hash_target_id(target.id)] = state
        state.target = target
        if target.cold_for_ms > 0:
            state.cold_until_ms = max(state.cold_until_ms, now_ms + target.cold_for_ms)
        self.version += 1

    def remove(self, target_id: str) -> bool:
        """Remove a target; return False if it was not known."""
        state = self._states.pop(target_id, None)
        if state is None:
            return False
        id_hash = hash_target_id(target_id)
        if self._by_id_hash.get(id_hash) is state:
            del self._by_id_hash[id_hash]
        self._removed[target_id] = state
        if len(self._removed) > _MAX_REMOVED_TARGETS:
            self._removed.popitem(last=False)
        self.version += 1
        return True

    def record_leaving(self, state: TargetState) -> bool:
        """Stop using this run of a target; return False if it was known to be leaving."""
        if state.leaving:
            return False
        state.leaving = True
        self.version += 1
        return True

    def record_paused(self) -> None:
        """Count a pause that a target has asked for."""
        self.pauses += 1

    def find(self, target_id: str) -> TargetState | None:
        """Return the state of a known or recently removed target, or None."""
        return self._states.get(target_id) or self._removed.get(target_id)

    def set_evacuated(self, domains: frozenset[str], now_ms: int, cold_ms: int) -> None:
        """Replace the set of evacuated failure domains.

        Targets in a domain that is no longer evacuated are cold for `cold_ms`.
        """
        if domains == self._evacuated:
            return
        for state in self._states.values():
            if state.target.failure_domain in self._evacuated - domains:
                state.cold_until_ms = max(state.cold_until_ms, now_ms + cold_ms)
        self._evacuated = domains
        self.version += 1

    def get(self, target_id: str) -> TargetState | None:
        """Return the state of a target, or None if it is not known."""
        return self._states.get(target_id)

    def list_ids(self) -> list[str]:
        """Return the ids of all known targets."""
        return list(self._states)

    def list_usable(self, service: str) -> list[TargetState]:
        """Return the targets in use: neither draining nor leaving nor evacuated."""
        self._rebuild_lists()
        return self._by_service.get(service, [])

    def list_accepting(self, now_ms: int) -> list[TargetState]:
        """Return the targets in use of all services that have not asked for a pause."""
        self._rebuild_lists()
        return [
            state
            for states in self._by_service.values()
            for state in states
            if not state.refuses_requests(now_ms)
        ]

    def has(self, state: TargetState) -> bool:
        """Return whether the target has an entry now, and this is its state."""
        return self._states.get(state.target.id) is state

    def find_usable(self, target_id: str) -> TargetState | None:
        """Return a target if it is in use: neither draining nor leaving nor evacuated."""
        state = self._states.get(target_id)
        return state if state is not None and self._is_usable(state) else None

    def count_suspended(self, service: str, now_ms: int) -> int:
        """Return how many targets in use are excluded after a failed connection."""
        return sum(state.is_suspended(now_ms) for state in self.list_usable(service))

    def count_in_flight(self) -> dict[int, int]:
        """Return the number of this instance's requests in flight by hash of the target id."""
        return {
            id_hash: len(state.in_flight)
            for id_hash, state in self._by_id_hash.items()
            if state.in_flight
        }

    def list_slowness(self, now_ms: int, max_age_ms: int) -> dict[int, int]:
        """Return the figures that peers should know, in percent by hash of the target id.

        These are fresh reports to this instance that are unusual or differ from the figure before.
        Of many, those that differ most from usual are returned.
        """
        notable = {
            id_hash: round(slowness * _PERCENT)
            for id_hash, state in self._by_id_hash.items()
            if state.speed.notable_at_ms is not None
            and (slowness := state.speed.find_notable(now_ms, max_age_ms)) is not None
        }
        if len(notable) <= _MAX_SLOWNESS_ENTRIES:
            return notable
        ranked = sorted(notable.items(), key=lambda item: -abs(item[1] - _PERCENT))
        return dict(ranked[:_MAX_SLOWNESS_ENTRIES])

    def record_peer_slowness(self, slowness: dict[int, int], reported_at_ms: int) -> None:
        """Take over figures that a peer passed on, in percent by hash of the target id."""
        for id_hash, percent in slowness.items():
            state = self._by_id_hash.get(id_hash)
            if state is not None and reported_at_ms >= state.peer_reports_from_ms:
                state.speed.record_peer_report(percent / _PERCENT, reported_at_ms)

    def record_send(self, state: TargetState, object_key: str, now_ms: int) -> None:
        """Record that a request for an object is sent to a target, where it becomes warm."""
        state.record_warm_object(object_key, now_ms)
        target_hash = hash_target_id(state.target.id)
        self._sent_objects.record(hash_object_key(object_key), target_hash, now_ms)

    def list_sent_objects(self, since_ms: int) -> dict[int, int]:
        """Return the hash of the target by hash of the object, of requests since `since_ms`."""
        return self._sent_objects.list_recent(since_ms)

    def record_peer_objects(self, objects: dict[int, int], now_ms: int) -> None:
        """Take over where a peer has sent requests, as target hashes by hash of the object."""
        for object_hash, target_hash in objects.items():
            state = self._by_id_hash.get(target_hash)
            if state is not None and now_ms >= state.peer_reports_from_ms:
                state.warm_objects.record(object_hash, now_ms)

    def record_peer_loads(self, peer: str, loads: dict[int, int], valid_until_ms: int) -> None:
        """Replace the numbers of a peer's requests in flight, given by hash of the target id."""
        for id_hash in self._id_hashes_by_peer.get(peer, set()) - loads.keys():
            if (state := self._by_id_hash.get(id_hash)) is not None:
                state.peer_loads.pop(peer, None)
        for id_hash, count in loads.items():
            if (state := self._by_id_hash.get(id_hash)) is not None:
                state.peer_loads[peer] = PeerLoad(count, valid_until_ms)
        self._id_hashes_by_peer[peer] = set(loads)

    def _rebuild_lists(self) -> None:
        """Rebuild the lists of targets in use if a target has changed.

        They are rebuilt on access and not on each change, so that a listing of many entries causes
        only one rebuild.
        """
        if self._listed_version == self.version:
            return
        self._listed_version = self.version
        by_service: dict[str, list[TargetState]] = {}
        for state in self._states.values():
            if self._is_usable(state):
                by_service.setdefault(state.target.service, []).append(state)
        self._by_service = by_service

    def _is_usable(self, state: TargetState) -> bool:
        is_ending = state.target.draining or state.leaving
        return not is_ending and state.target.failure_domain not in self._evacuated


def _is_new_run(known: Target, target: Target) -> bool:
    """Return whether an entry is of a later run of a target than the known one."""
    if target.started_ms != known.started_ms:
        return True
    # Without a start time, only a count of entries that starts anew tells.
    return target.started_ms == 0 and target.entry_number < known.entry_number


def hash_target_id(target_id: str) -> int:
    """Return a short hash that identifies a target in load reports between instances."""
    return hash_to_uint32(target_id)


def is_mass_removal(removed: int, known: int) -> bool:
    """Return whether many of the known entries were removed at the same time.

    Then they probably expired, rather than being removed on purpose.
    """
    return removed > 1 and removed > known * _MASS_REMOVAL_FRACTION


def _decay(age_ms: int, half_life_ms: int) -> float:
    return float(0.5 ** (max(0, age_ms) / half_life_ms))
