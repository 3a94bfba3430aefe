"""Fair shares of a service's capacity between organisations, and headroom for urgent routes.

An organisation that sends many times its usual load must not take the slots of the others. Among
requests of equal urgency, the organisation with the fewest requests in flight relative to its
weight goes first: weighted max-min fairness (Bertsekas and Gallager, 1992). Requests in flight are
counted over all instances, as far as their load reports tell. Capacity that an organisation does
not ask for goes to the others.

An organisation's usage is mostly the average of its requests in flight over the last seconds. Most
organisations have at most one request in flight at a time, and by the present number alone, the
small ones would always go before the large ones.
"""

from __future__ import annotations

import heapq
import math
import statistics
from collections.abc import Iterator, Set
from typing import Generic, Protocol, TypeVar

import msgspec

from waxwingshelf.core.hashing import hash_to_uint32
from waxwingshelf.steering.config import OrganisationRule, SteeringConfig

__all__ = [
    "FairMerge",
    "OrganisationLoads",
    "OrganisationWeights",
    "compute_headroom",
    "hash_organisation",
]

# Entries in one load report; a report with 16 of them is about 100 bytes longer.
_MAX_REPORTED = 16
# No instance has more requests in flight; a higher count in a report is a fault of its sender.
_MAX_COUNT = 100_000
_EXPIRY_INTERVAL_MS = 100
_DEFAULT_WEIGHT = 1.0
_USAGE_SMOOTHING_MS = 2_000.0
# The part of the present number of requests in flight that counts besides their average, so that
# several slots that become free at the same time do not all go to one organisation.
_PRESENT_FRACTION = 0.1
# In requests in flight; averages below it are dropped.
_MIN_KEPT_AVERAGE = 0.01
_MAX_KEPT_AVERAGES = 4_096
# The fraction of a target's slots that less urgent requests leave to urgent ones.
_HEADROOM_FRACTION = 0.2


class _Numbered(Protocol):
    sequence: int


_T = TypeVar("_T", bound=_Numbered)


def hash_organisation(service: str, organisation: str) -> int:
    """Return a short hash that identifies an organisation at a service in load reports."""
    return hash_to_uint32(f"{service}\0{organisation}")


def compute_headroom(slots: int) -> int:
    """Return how many of a target's slots less urgent requests leave to urgent ones."""
    return max(1, int(slots * _HEADROOM_FRACTION)) if slots > 1 else 0


class _PeerCounts(msgspec.Struct, frozen=True):
    counts: dict[int, int]
    valid_until_ms: int


class _Average(msgspec.Struct):
    value: float
    at_ms: int


class OrganisationLoads:
    """The requests in flight of each organisation at each service, over all instances.

    Counts of 0 and averages near 0 are not kept, so the state is bounded by the requests of the
    last seconds and by the number of peers times the entries of a load report.
    """

    def __init__(self) -> None:
        self._own: dict[int, int] = {}
        self._peers: dict[str, _PeerCounts] = {}
        self._peer_totals: dict[int, int] = {}
        self._averages: dict[int, _Average] = {}
        self._expired_at_ms = 0
        self._cleaned_at_ms = 0

    def __len__(self) -> int:
        reported = sum(len(peer.counts) for peer in self._peers.values())
        return len(self._own) + len(self._averages) + reported

    def start(self, service: str, organisation: str, now_ms: int) -> None:
        """Count a request that this instance sends to a target."""
        key = hash_organisation(service, organisation)
        self._update_average(key, now_ms)
        _change_count(self._own, key, 1)

    def finish(self, service: str, organisation: str, now_ms: int) -> None:
        """Count the end of a request."""
        key = hash_organisation(service, organisation)
        self._update_average(key, now_ms)
        _change_count(self._own, key, -1)

    def count(self, service: str, organisation: str, now_ms: int) -> int:
        """Return the known requests in flight of an organisation at a service."""
        self._expire(now_ms)
        return self._count(hash_organisation(service, organisation))

    def compute_usage(self, service: str, organisation: str, now_ms: int) -> float:
        """Return what an organisation uses of a service, in requests in flight."""
        self._expire(now_ms)
        key = hash_organisation(service, organisation)
        average = self._averages.get(key)
        present = self._count(key)
        value = 0.0 if average is None else _compute_average(average, present, now_ms)
        return value + present * _PRESENT_FRACTION

    def list_largest(self) -> dict[int, int]:
        """Return the largest counts of this instance, for its load report."""
        if len(self._own) <= _MAX_REPORTED:
            return dict(self._own)
        return dict(heapq.nlargest(_MAX_REPORTED, self._own.items(), key=lambda item: item[1]))

    def record_peer(
        self, peer: str, counts: dict[int, int], valid_until_ms: int, now_ms: int
    ) -> None:
        """Replace the counts of a peer by those of its load report."""
        self._remove_peer(peer, now_ms)
        bounded = {
            key: min(count, _MAX_COUNT)
            for key, count in list(counts.items())[:_MAX_REPORTED]
            if count > 0
        }
        if not bounded:
            return
        self._peers[peer] = _PeerCounts(bounded, valid_until_ms)
        for key, count in bounded.items():
            self._update_average(key, now_ms)
            _change_count(self._peer_totals, key, count)

    def _count(self, key: int) -> int:
        return self._own.get(key, 0) + self._peer_totals.get(key, 0)

    def _update_average(self, key: int, now_ms: int) -> None:
        """Include the time for which the present count has stood; call this before it changes."""
        average = self._averages.get(key)
        if average is not None:
            average.value = _compute_average(average, self._count(key), now_ms)
            average.at_ms = now_ms
            return
        if len(self._averages) >= _MAX_KEPT_AVERAGES:
            self._remove_idle_averages(now_ms, math.inf)
        self._averages[key] = _Average(0.0, now_ms)

    def _remove_idle_averages(self, now_ms: int, max_value: float) -> None:
        self._averages = {
            key: average
            for key, average in self._averages.items()
            if (present := self._count(key))
            or _compute_average(average, present, now_ms) > max_value
        }

    def _expire(self, now_ms: int) -> None:
        if now_ms - self._expired_at_ms < _EXPIRY_INTERVAL_MS:
            return
        self._expired_at_ms = now_ms
        for name, peer in list(self._peers.items()):
            if now_ms >= peer.valid_until_ms:
                self._remove_peer(name, now_ms)
        if now_ms - self._cleaned_at_ms >= _USAGE_SMOOTHING_MS:
            self._cleaned_at_ms = now_ms
            self._remove_idle_averages(now_ms, _MIN_KEPT_AVERAGE)

    def _remove_peer(self, name: str, now_ms: int) -> None:
        peer = self._peers.pop(name, None)
        if peer is None:
            return
        for key, count in peer.counts.items():
            self._update_average(key, now_ms)
            _change_count(self._peer_totals, key, -count)


class OrganisationWeights:
    """The weights of organisations: their rates, or the median rate for one that has none."""

    def __init__(self) -> None:
        self._config: SteeringConfig | None = None
        self._median = _DEFAULT_WEIGHT

    def get(self, config: SteeringConfig, organisation: OrganisationRule | None) -> float:
        """Return the weight of an organisation; requests without one count as one organisation."""
        if organisation is not None and organisation.rate_per_s > 0:
            return organisation.rate_per_s
        if config is not self._config:
            self._config = config
            rates = [rule.rate_per_s for rule in config.organisations.values()]
            rates = [rate for rate in rates if rate > 0]
            self._median = statistics.median(rates) if rates else _DEFAULT_WEIGHT
        return self._median


class _Stream(msgspec.Struct, Generic[_T]):
    """The items of one organisation in order of arrival; `head` is the next one."""

    organisation: str
    weight: float
    usage: float
    group: frozenset[str]
    head: _T
    items: Iterator[_T]


class FairMerge(msgspec.Struct, Generic[_T]):
    """Merge the waiting items of organisations: the smallest share first, then the first arrival.

    An organisation's share is its usage relative to its weight. It grows with each item that is
    recorded as placed.
    """

    _heap: list[tuple[float, int, _Stream[_T]]] = msgspec.field(default_factory=list)
    _placed: dict[str, int] = msgspec.field(default_factory=dict)

    def add(
        self,
        organisation: str,
        weight: float,
        usage: float,
        group: frozenset[str],
        items: Iterator[_T],
    ) -> None:
        """Add items of an organisation that compete for the same targets, in order of arrival."""
        head = next(items, None)
        if head is None:
            return
        stream = _Stream(organisation, weight, usage, group, head, items)
        heapq.heappush(self._heap, (usage / weight, head.sequence, stream))

    def pop(self, blocked_groups: Set[frozenset[str]]) -> _T | None:
        """Return the next item that is in none of the blocked groups, or None."""
        heap = self._heap
        while heap:
            known_share, sequence, stream = heap[0]
            if stream.group in blocked_groups:
                heapq.heappop(heap)
                continue
            share = self._compute_share(stream)
            if share > known_share:
                heapq.heapreplace(heap, (share, sequence, stream))
                continue
            item = stream.head
            following = next(stream.items, None)
            if following is None:
                heapq.heappop(heap)
            else:
                stream.head = following
                heapq.heapreplace(heap, (share, following.sequence, stream))
            return item
        return None

    def record_placed(self, organisation: str) -> None:
        """Count an item of an organisation as in flight."""
        self._placed[organisation] = self._placed.get(organisation, 0) + 1

    def _compute_share(self, stream: _Stream[_T]) -> float:
        placed = self._placed.get(stream.organisation, 0)
        return (stream.usage + placed * _PRESENT_FRACTION) / stream.weight


def _compute_average(average: _Average, present: int, now_ms: int) -> float:
    """Return an average after a time in which the count was `present`."""
    kept = math.exp(-max(0, now_ms - average.at_ms) / _USAGE_SMOOTHING_MS)
    return present + (average.value - present) * kept


def _change_count(counts: dict[int, int], key: int, change: int) -> None:
    count = counts.get(key, 0) + change
    if count > 0:
        counts[key] = count
    else:
        counts.pop(key, None)
