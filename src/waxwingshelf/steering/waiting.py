"""Queue of a service's requests that wait on this instance for capacity at a target.

A burst can bring several times the requests that the slots can carry. Served in order of arrival,
every request would wait until it is late, and all slots would produce late responses. Therefore
requests that can still meet their latency objective go first, in order of priority, and late
requests get the remaining capacity. Between requests of equal lateness and priority, organisations
get fair shares (see `steering.fair_order`).

A late request that will probably not get capacity before its deadline leaves the queue immediately;
see `steering.wait_estimates`.

Requests that wait for different targets do not block each other: one that cannot be placed is
skipped. To bound the work, a round tries only the first requests of each group in order, and then
some of the others in turn, those that have never been tried first.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

import msgspec

from waxwingshelf.steering.fair_order import FairMerge
from waxwingshelf.steering.wait_estimates import Group, WaiterKind, WaitEstimates

__all__ = ["WaitQueue", "Waiter"]

_T = TypeVar("_T")
_DEFAULT_MAX_WAITING = 2_000
_MS_PER_S = 1_000
# A try costs some ten microseconds, and a round should cost less than a millisecond.
_MAX_FAILED_TRIES_PER_GROUP = 16
_MAX_TRIES_IN_TURN = 16
# Requests looked at in one round, including those that certainly cannot be placed.
_MAX_EXAMINED = 512
# If more organisations wait, a new request joins the queue without a comparison of all shares.
_MAX_COMPARED_SHARES = 16
_MIN_COMPACTION_SIZE = 64
# A judgement of 2,000 late requests takes about 8 ms, and is then made every 200 ms.
_JUDGED_LATE_PER_MS = 10
# A bucket adds about 5 microseconds to a round, so this bounds that part of the time to 8 %.
_BUCKETS_PER_INTERVAL_MS = 16
# Less urgent requests leave headroom for this long after a more urgent one has waited.
_HEADROOM_MS = 1_000
_NO_GROUPS: frozenset[Group] = frozenset()


class _LastWait(msgspec.Struct, frozen=True):
    """When requests of one kind were last seen waiting, and the typical time of the first one."""

    at_ms: int
    work_ms: int


class Waiter(msgspec.Struct, Generic[_T]):
    """A waiting request; times are clock readings.

    `priority` is the organisation's if it has one, and `route_priority` always the route's. A
    request sent before `late_from_ms` can still meet its latency objective, and a request sent by
    `latest_send_ms` its deadline. Requests of the same `group` of regions compete for the same
    targets; an empty group stands for all regions. Of requests with the same `choice`, unless it is
    None, an earlier one finds a target if a later one does. For an expired request,
    `expected_wait_ms` is the time after which its caller may come back, and `position` the number
    of requests before it. `work_ms` is the typical time at a target where its object is warm.
    """

    item: _T
    priority: int
    late_from_ms: int
    latest_send_ms: int
    group: Group = frozenset()
    expected_wait_ms: int = 0
    sequence: int = 0
    route_priority: int = 0
    organisation: str = ""
    weight: float = 1.0
    choice: Hashable = None
    position: int = 0
    work_ms: int = 0

    @property
    def kind(self) -> WaiterKind:
        """Return the kind of requests that get capacity at the same rate."""
        return WaiterKind(self.organisation, self.priority, self.route_priority, self.group)


# Whether its requests are late, their priority and their route's priority; the first goes first.
_Tier = tuple[bool, int, int]


class _Bucket(msgspec.Struct, Generic[_T]):
    """The requests of one organisation, tier and group, in order of arrival."""

    organisation: str
    group: Group
    weight: float
    waiters: dict[int, Waiter[_T]] = msgspec.field(default_factory=dict)


class _Round(Generic[_T]):
    """One round of tries to place requests."""

    def __init__(self, now_ms: int, place: Callable[[Waiter[_T]], bool]) -> None:
        self._now_ms = now_ms
        self._place = place
        self._failures: dict[Group, int] = {}
        # The sequence of the oldest request that could not be placed, by choice.
        self._failed_choices: dict[Hashable, int] = {}
        self._tried: set[int] = set()
        self.blocked_groups: set[Group] = set()
        self.placed: list[Waiter[_T]] = []

    def was_tried(self, waiter: Waiter[_T]) -> bool:
        """Return whether the request was tried in this round."""
        return waiter.sequence in self._tried

    def try_to_place(self, waiter: Waiter[_T]) -> bool:
        """Return whether the request was placed, which is tried unless it must fail."""
        self._tried.add(waiter.sequence)
        failed_sequence = self._failed_choices.get(waiter.choice)
        if failed_sequence is not None and failed_sequence < waiter.sequence:
            return False
        if self._now_ms > waiter.latest_send_ms:
            return False
        if self._place(waiter):
            self.placed.append(waiter)
            return True
        if waiter.choice is not None:
            self._failed_choices[waiter.choice] = waiter.sequence
        failures = self._failures[waiter.group] = self._failures.get(waiter.group, 0) + 1
        if failures >= _MAX_FAILED_TRIES_PER_GROUP:
            self.blocked_groups.add(waiter.group)
        return False


class WaitQueue(Generic[_T]):
    """The waiting requests of one service.

    `compute_usage` returns what an organisation uses of the service, in requests in flight.
    """

    def __init__(
        self,
        max_waiting: int = _DEFAULT_MAX_WAITING,
        compute_usage: Callable[[str, int], float] | None = None,
    ) -> None:
        self._waiters: dict[int, Waiter[_T]] = {}
        self._sequences = itertools.count(1)
        self._max_waiting = max_waiting
        self._compute_usage = compute_usage or _compute_no_usage
        self._tiers: dict[_Tier, dict[tuple[str, Group], _Bucket[_T]]] = {}
        self._tier_by_sequence: dict[int, _Tier] = {}
        # Requests that are not late yet, by the time from which they are. Those that have left the
        # queue stay until then or until a compaction.
        self._late_times: list[tuple[int, int]] = []
        # The requests to try in turn, with some that have left the queue.
        self._turns: deque[int] = deque()
        # When a request of this priority, route's priority and group waited last.
        # By priority, route priority and group.
        self._last_waits: dict[tuple[int, int, Group], _LastWait] = {}
        self._estimates = WaitEstimates()
        self._late_count = 0
        self._judged_at_ms = -_MS_PER_S

    def __len__(self) -> int:
        return len(self._waiters)

    def is_full(self) -> bool:
        """Return whether the queue has reached its maximum length."""
        return len(self._waiters) >= self._max_waiting

    def compute_min_round_interval_ms(self) -> int:
        """Return the least time between two rounds, so that many organisations cost no more."""
        return sum(map(len, self._tiers.values())) // _BUCKETS_PER_INTERVAL_MS

    def add(self, waiter: Waiter[_T]) -> bool:
        """Add a request; return False if the queue is full."""
        if self.is_full():
            return False
        waiter.sequence = next(self._sequences)
        self._waiters[waiter.sequence] = waiter
        self._put(waiter, (False, waiter.priority, waiter.route_priority))
        late_at_ms = min(waiter.late_from_ms, waiter.latest_send_ms)
        heapq.heappush(self._late_times, (late_at_ms, waiter.sequence))
        self._turns.appendleft(waiter.sequence)
        self._compact()
        return True

    def remove(self, waiter: Waiter[_T]) -> None:
        """Remove a request, for example after its caller has disconnected."""
        if self._waiters.pop(waiter.sequence, None) is not None:
            self._take_out(waiter)

    def expire(self, now_ms: int) -> list[Waiter[_T]]:
        """Remove and return the requests that will probably miss their deadline.

        The more late requests wait, the longer the time between two judgements of them.
        """
        self._move_late(now_ms)
        if now_ms - self._judged_at_ms < self._late_count // _JUDGED_LATE_PER_MS:
            return []
        self._judged_at_ms = now_ms
        expired: list[Waiter[_T]] = []
        positions: dict[Group, int] = {}
        rates: dict[Group, float] = {}
        for tier in sorted(self._tiers):
            if not tier[0]:
                continue
            merge = self._merge(tier, now_ms)
            while (waiter := merge.pop(_NO_GROUPS)) is not None:
                position = positions.get(waiter.group, 0)
                if waiter.group not in rates:
                    rates[waiter.group] = self._estimates.compute_late_rate(waiter.group, now_ms)
                wait_ms = _compute_wait_ms(position, rates[waiter.group])
                if now_ms + wait_ms <= waiter.latest_send_ms:
                    positions[waiter.group] = position + 1
                    merge.record_placed(waiter.organisation)
                    continue
                waiter.position = position
                waiter.expected_wait_ms = self._estimates.announce_return(
                    waiter.kind, wait_ms, now_ms
                )
                expired.append(waiter)
        for waiter in expired:
            self.remove(waiter)
        self._estimates.set_late_groups(positions)
        return expired

    def end_at(self, end_ms: int) -> None:
        """Let no request be sent so late that its response would usually come after `end_ms`."""
        for waiter in self._waiters.values():
            latest_send_ms = end_ms - waiter.work_ms
            if latest_send_ms < waiter.latest_send_ms:
                waiter.latest_send_ms = latest_send_ms
                heapq.heappush(self._late_times, (latest_send_ms, waiter.sequence))

    def record_placement(self, waiter: Waiter[_T], now_ms: int) -> None:
        """Record that a request got capacity at a target."""
        self._estimates.record_placement(waiter.kind, now_ms >= waiter.late_from_ms, now_ms)

    def has_preceding(self, waiter: Waiter[_T], now_ms: int) -> bool:
        """Return whether a waiting request goes before a new one and competes for its targets."""
        if not self._waiters:
            return False
        self._move_late(now_ms)
        own_tier = _find_tier(waiter, now_ms)
        for tier, buckets in self._tiers.items():
            if tier < own_tier and any(
                _compete(bucket.group, waiter.group) for bucket in buckets.values()
            ):
                return True
        return self._has_preceding_share(waiter, self._tiers.get(own_tier, {}), now_ms)

    def estimate_position(self, waiter: Waiter[_T], now_ms: int) -> int:
        """Return how many waiting requests go before a new one and compete for its targets.

        The organisations' usage at present is left out, since it costs more to compute.
        """
        self._move_late(now_ms)
        own_tier = _find_tier(waiter, now_ms)
        own_bucket = self._tiers.get(own_tier, {}).get((waiter.organisation, waiter.group))
        own_waiting = len(own_bucket.waiters) if own_bucket else 0
        position = 0
        for tier, buckets in self._tiers.items():
            for bucket in buckets.values():
                if tier > own_tier or not _compete(bucket.group, waiter.group):
                    continue
                if tier < own_tier or bucket.organisation == waiter.organisation:
                    position += len(bucket.waiters)
                    continue
                before = int((own_waiting + 1) * bucket.weight / waiter.weight)
                position += min(len(bucket.waiters), before)
        return position

    def announce_return(self, waiter: Waiter[_T], now_ms: int) -> int:
        """Return in how many milliseconds the caller of a request that was not added may return."""
        waiter.position = self.estimate_position(waiter, now_ms)
        late_rate = self._estimates.compute_late_rate(waiter.group, now_ms)
        wait_ms = _compute_wait_ms(waiter.position, late_rate)
        return self._estimates.announce_return(waiter.kind, wait_ms, now_ms)

    def needs_headroom(self, waiter: Waiter[_T], now_ms: int) -> bool:
        """Return whether a request must leave slots to a more urgent route of the service.

        That is the case if the route's requests have lately waited for the same targets, unless
        this request goes first because of its organisation. A request that takes less time than
        these leaves no headroom, since its slot is free again before they would gain from it.
        """
        for (priority, route_priority, group), last in self._last_waits.items():
            if route_priority >= waiter.route_priority or priority > waiter.priority:
                continue
            if waiter.work_ms < last.work_ms:
                continue
            if now_ms - last.at_ms < _HEADROOM_MS and _compete(group, waiter.group):
                return True
        return False

    def place_waiting(self, now_ms: int, place: Callable[[Waiter[_T]], bool]) -> None:
        """Call `place` for requests in send order; those that it accepts leave the queue."""
        self._move_late(now_ms)
        current_round = _Round(now_ms, place)
        try:
            self._place_in_order(current_round, now_ms)
            self._place_in_turn(current_round)
        finally:
            for waiter in current_round.placed:
                self.remove(waiter)
                self.record_placement(waiter, now_ms)
            self._record_waits(now_ms)

    def list_in_send_order(self, now_ms: int) -> list[Waiter[_T]]:
        """Return the requests in send order.

        Those that are not late go first, then the priority decides, then the route's own priority,
        then the shares of the organisations, and then the arrival.
        """
        self._move_late(now_ms)
        ordered: list[Waiter[_T]] = []
        for tier in sorted(self._tiers):
            merge = self._merge(tier, now_ms)
            while (waiter := merge.pop(_NO_GROUPS)) is not None:
                merge.record_placed(waiter.organisation)
                ordered.append(waiter)
        return ordered

    def list_waiting(self) -> list[Waiter[_T]]:
        """Return the requests in order of arrival."""
        return list(self._waiters.values())

    def _place_in_order(self, current_round: _Round[_T], now_ms: int) -> None:
        examined = 0
        for tier in sorted(self._tiers):
            merge = self._merge(tier, now_ms)
            while (waiter := merge.pop(current_round.blocked_groups)) is not None:
                if current_round.try_to_place(waiter):
                    merge.record_placed(waiter.organisation)
                examined += 1
                if examined >= _MAX_EXAMINED:
                    return

    def _place_in_turn(self, current_round: _Round[_T]) -> None:
        """Try requests beyond the first ones, which may wait for other targets than these."""
        tries = 0
        for _ in range(min(len(self._turns), _MAX_EXAMINED)):
            sequence = self._turns.popleft()
            waiter = self._waiters.get(sequence)
            if waiter is None:
                continue
            self._turns.append(sequence)
            if current_round.was_tried(waiter):
                continue
            current_round.try_to_place(waiter)
            tries += 1
            if tries >= _MAX_TRIES_IN_TURN:
                return

    def _merge(self, tier: _Tier, now_ms: int) -> FairMerge[Waiter[_T]]:
        merge: FairMerge[Waiter[_T]] = FairMerge()
        for bucket in self._tiers[tier].values():
            usage = self._compute_usage(bucket.organisation, now_ms)
            waiters: Iterator[Waiter[_T]] = iter(bucket.waiters.values())
            merge.add(bucket.organisation, bucket.weight, usage, bucket.group, waiters)
        return merge

    def _has_preceding_share(
        self,
        waiter: Waiter[_T],
        buckets: dict[tuple[str, Group], _Bucket[_T]],
        now_ms: int,
    ) -> bool:
        """Return whether an organisation in these buckets goes before that of a new request."""
        if len(buckets) > _MAX_COMPARED_SHARES:
            return True
        if (waiter.organisation, waiter.group) in buckets:
            return True
        own_share = self._compute_usage(waiter.organisation, now_ms) / waiter.weight
        return any(
            _compete(bucket.group, waiter.group)
            and self._compute_usage(bucket.organisation, now_ms) / bucket.weight <= own_share
            for bucket in buckets.values()
        )

    def _record_waits(self, now_ms: int) -> None:
        """Record which priorities and groups have requests waiting; see `needs_headroom`."""
        for (_, priority, route_priority), buckets in self._tiers.items():
            for bucket in buckets.values():
                first = next(iter(bucket.waiters.values()), None)
                if first is not None:
                    last = _LastWait(now_ms, first.work_ms)
                    self._last_waits[(priority, route_priority, bucket.group)] = last
        if len(self._last_waits) > _MIN_COMPACTION_SIZE:
            self._last_waits = {
                key: last
                for key, last in self._last_waits.items()
                if now_ms - last.at_ms < _HEADROOM_MS
            }

    def _move_late(self, now_ms: int) -> None:
        """Move the requests that have become late to the tiers of late requests."""
        late_times = self._late_times
        while late_times and late_times[0][0] <= now_ms:
            _, sequence = heapq.heappop(late_times)
            waiter = self._waiters.get(sequence)
            if waiter is not None and not self._tier_by_sequence[sequence][0]:
                self._take_out(waiter)
                self._put(waiter, (True, waiter.priority, waiter.route_priority))

    def _put(self, waiter: Waiter[_T], tier: _Tier) -> None:
        buckets = self._tiers.setdefault(tier, {})
        key = (waiter.organisation, waiter.group)
        bucket = buckets.get(key)
        if bucket is None:
            bucket = buckets[key] = _Bucket(waiter.organisation, waiter.group, waiter.weight)
        bucket.weight = waiter.weight
        bucket.waiters[waiter.sequence] = waiter
        self._late_count += tier[0]
        self._tier_by_sequence[waiter.sequence] = tier

    def _take_out(self, waiter: Waiter[_T]) -> None:
        tier = self._tier_by_sequence.pop(waiter.sequence)
        self._late_count -= tier[0]
        buckets = self._tiers[tier]
        key = (waiter.organisation, waiter.group)
        del buckets[key].waiters[waiter.sequence]
        if not buckets[key].waiters:
            del buckets[key]
        if not buckets:
            del self._tiers[tier]

    def _compact(self) -> None:
        """Drop requests that have left the queue once they are the larger part."""
        max_size = max(_MIN_COMPACTION_SIZE, 2 * len(self._waiters))
        if len(self._turns) > max_size:
            self._turns = deque(number for number in self._turns if number in self._waiters)
        if len(self._late_times) > max_size:
            self._late_times = [row for row in self._late_times if row[1] in self._waiters]
            heapq.heapify(self._late_times)


def _compute_no_usage(_organisation: str, _now_ms: int) -> float:
    return 0.0


def _compute_wait_ms(position: int, rate_per_s: float) -> float:
    """Return how long a request waits that has `position` others before it."""
    return (position + 1) / rate_per_s * _MS_PER_S


def _find_tier(waiter: Waiter[_T], now_ms: int) -> _Tier:
    late = now_ms >= min(waiter.late_from_ms, waiter.latest_send_ms)
    return (late, waiter.priority, waiter.route_priority)


def _compete(first: Group, second: Group) -> bool:
    """Return whether requests of two groups compete for targets; an empty group allows all."""
    return not first or not second or not first.isdisjoint(second)
