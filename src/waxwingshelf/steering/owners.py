"""Shares of an organisation's rate in a large fleet, where one instance per region owns a share.

The rate owners of all regions report to each other the demand that they receive. An owner's share
grows only with demand that the other owners have acknowledged, and shrinks immediately, so that the
shares do not sum to more than the whole rate while demand moves or a region gets a second owner. A
region without reports is assumed to hold an equal share.
"""

from __future__ import annotations

import functools

import msgspec

from waxwingshelf.core.hashing import hash_to_unit_interval
from waxwingshelf.core.quantities import Amount, Sequence
from waxwingshelf.core.rendezvous import rank
from waxwingshelf.steering.fleet import PeerAddress, PeerDemand
from waxwingshelf.steering.limits import compute_rate_share
from waxwingshelf.steering.sent_demand import DemandAck, SentDemand

__all__ = [
    "MAX_OWNERS_ASKED",
    "OwnerRankings",
    "OwnerReport",
    "OwnerReports",
    "list_candidate_owners",
    "rank_owners",
]

# The second owner is asked if the first does not respond. Each further owner would also hold a
# share of the rate.
MAX_OWNERS_ASKED = 2
# More owners would spread the load further, at the cost of more reports between regions.
_MAX_CANDIDATE_OWNERS = 8
# Instances with much slower links than others lose datagrams while callers upload.
_MIN_LINK_SPEED_RATIO = 0.5
_REPORT_TTL_MS = 3_000
_MAX_CACHED_HASHES = 4_096
_MAX_CACHED_RANKINGS = 4_096


class OwnerReport(msgspec.Struct, frozen=True):
    """The demand at a rate owner, in requests per second by organisation.

    Organisations whose rate it owns, but for which it has no demand, are listed with 0. `ack` is
    the recipient's report that the sender's shares use; None if the sender's build does not tell.
    """

    name: str
    region: str
    boot: Sequence
    number: Sequence
    demand: dict[str, Amount]
    ack: DemandAck | None = None


class _ReceivedReport(msgspec.Struct, frozen=True):
    """The last report of an owner; `heard_since` is as in `Peer`."""

    report: OwnerReport
    at_ms: int
    heard_since: int


def list_candidate_owners(addresses: list[PeerAddress]) -> list[PeerAddress]:
    """Return the instances of a region that may own rates; every instance gets the same result."""
    max_link_mbps = max((address.link_mbps for address in addresses), default=0.0)
    candidates = [
        item for item in addresses if item.link_mbps >= max_link_mbps * _MIN_LINK_SPEED_RATIO
    ]
    candidates.sort(key=lambda address: _hash_candidate(address.name))
    return candidates[:_MAX_CANDIDATE_OWNERS]


@functools.lru_cache(maxsize=_MAX_CACHED_HASHES)
def _hash_candidate(name: str) -> float:
    return hash_to_unit_interval("rate owners", name)


def rank_owners(organisation: str, candidates: list[PeerAddress]) -> list[PeerAddress]:
    """Return the candidates for an organisation's rate, the preferred owner first.

    With rendezvous hashing, the loss of a candidate moves only the rates that it owned.
    """
    by_name = {address.name: address for address in candidates}
    return [by_name[name] for name in rank(organisation, by_name)]


class OwnerRankings:
    """The candidate owners of each region, and their order for each organisation.

    The order is computed once: it is needed for all organisations several times per second.
    """

    def __init__(self) -> None:
        self._candidates: dict[str, list[PeerAddress]] = {}
        self._rankings: dict[tuple[str, str], list[PeerAddress]] = {}

    def set_candidates(self, region: str, candidates: list[PeerAddress]) -> None:
        """Replace the candidate owners of a region."""
        if self._candidates.get(region) == candidates:
            return
        self._candidates[region] = candidates
        self._rankings = {key: value for key, value in self._rankings.items() if key[0] != region}

    def list_regions(self) -> list[str]:
        """Return the regions that have candidates."""
        return list(self._candidates)

    def get_candidates(self, region: str) -> list[PeerAddress]:
        """Return the candidate owners of a region."""
        return self._candidates.get(region, [])

    def rank(self, region: str, organisation: str) -> list[PeerAddress]:
        """Return the candidates of a region for an organisation's rate, preferred first."""
        key = (region, organisation)
        ranking = self._rankings.get(key)
        if ranking is None:
            if len(self._rankings) >= _MAX_CACHED_RANKINGS:
                self._rankings.clear()
            ranking = rank_owners(organisation, self.get_candidates(region))
            self._rankings[key] = ranking
        return ranking


class OwnerReports:
    """The demand reports that this instance sent to other rate owners and received from them."""

    def __init__(self, name: str, region: str) -> None:
        self._name = name
        self._region = region
        self._received: dict[str, _ReceivedReport] = {}
        self._used: dict[str, DemandAck] = {}
        self._sent_demand = SentDemand()

    def record_sent_report(self, report: OwnerReport, now_ms: int) -> None:
        """Record the demand of a report that is about to be sent."""
        self._sent_demand.record(report.boot, report.number, report.demand, now_ms)

    def record_received_report(self, report: OwnerReport, now_ms: int) -> None:
        """Record a received report unless it is outdated or this instance's own."""
        if report.name == self._name:
            return
        received = self._received.get(report.name)
        heard_since = self._sent_demand.last_number
        if received is not None:
            known = received.report
            if (report.boot, report.number) <= (known.boot, known.number):
                return
            if report.boot == known.boot:
                heard_since = received.heard_since
        self._received[report.name] = _ReceivedReport(report, now_ms, heard_since)

    def record_demand_used(self) -> None:
        """Record that all shares were computed from the last received reports."""
        self._used = {
            name: DemandAck(received.report.boot, received.report.number)
            for name, received in self._received.items()
        }

    def get_ack(self, name: str) -> DemandAck:
        """Return the report of another owner that this instance's shares use."""
        return self._used.get(name, DemandAck())

    def remove_unresponsive(self, now_ms: int) -> None:
        """Remove the reports of owners that have stopped reporting."""
        for name, received in list(self._received.items()):
            if now_ms - received.at_ms >= _REPORT_TTL_MS:
                del self._received[name]

    def list_reporters(self, organisations: set[str]) -> list[str]:
        """Return the names of the owners whose last report lists any of these organisations."""
        return [
            name
            for name, received in self._received.items()
            if not organisations.isdisjoint(received.report.demand)
        ]

    def describe_peer_demand(self, organisation: str, now_ms: int) -> PeerDemand:
        """Return the inputs from other owners to this instance's share of a rate."""
        received = [item for item in self._received.values() if organisation in item.report.demand]
        return PeerDemand(
            sum(item.report.demand[organisation] for item in received),
            max((now_ms - item.at_ms for item in received), default=0),
            silent_peers=0,
        )

    def compute_share(
        self, organisation: str, own_demand: float, rate: float, regions: int, now_ms: int
    ) -> float:
        """Return this instance's share of an organisation's rate, from 0 to 1.

        `regions` is the number of regions that have instances.
        """
        reporting_regions = {self._region}
        owners_in_region = 1
        acked_demand = self._find_acked_demand(organisation, own_demand, now_ms)
        total_demand = acked_demand
        for received in self._received.values():
            demand = received.report.demand.get(organisation)
            if demand is not None:
                reporting_regions.add(received.report.region)
                owners_in_region += received.report.region == self._region
                total_demand += demand
        available_fraction = min(1.0, len(reporting_regions) / regions)
        equal_share = 1.0 / (len(reporting_regions) * owners_in_region)
        proportional_share = acked_demand / total_demand if total_demand > 0 else equal_share
        return available_fraction * compute_rate_share(
            proportional_share,
            total_demand + own_demand - acked_demand,
            rate * available_fraction,
            equal_share,
        )

    def _find_acked_demand(self, organisation: str, own_demand: float, now_ms: int) -> float:
        """Return the lowest own demand since the report that all owners of the rate use."""
        used_numbers = [
            self._sent_demand.find_used_number(received.report.ack, received.heard_since, now_ms)
            for received in self._received.values()
            if organisation in received.report.demand
        ]
        return min(own_demand, self._sent_demand.find_lowest_since(organisation, used_numbers))
