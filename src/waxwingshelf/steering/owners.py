"""Parts of an organisation's rate in a large fleet, where one instance a region keeps the region's.

The owners of all regions tell each other what they are asked for. A part grows only with demand
that the others have already been told of, and shrinks at once, so that the parts do not sum to more
than the whole while demand moves or a region gets a second owner. A region that tells nothing keeps
an equal part.
"""

from __future__ import annotations

from dataclasses import dataclass

from waxwingshelf.core.hashing import hash_unit
from waxwingshelf.core.rendezvous import rank
from waxwingshelf.steering.fleet import PeerAddress
from waxwingshelf.steering.limits import compute_rate_share

__all__ = [
    "MAX_OWNERS_ASKED",
    "OwnerReport",
    "OwnerReports",
    "list_candidate_owners",
    "rank_owners",
]

# The second is asked when the first is silent. More would each keep a part of the rate.
MAX_OWNERS_ASKED = 2
# More owners would spread the load further, and cost as many more reports between regions.
_PANEL_SIZE = 8
# A machine with a much smaller link than another loses datagrams when callers upload.
_FAST_LINK_PART = 0.5
_FORGET_AFTER_MS = 3_000


@dataclass(frozen=True, slots=True)
class OwnerReport:
    """The requests a second that an owner is asked for, by organisation.

    Organisations that it owns without being asked for any are listed with 0.
    """

    name: str
    region: str
    boot: int
    number: int
    demand: dict[str, float]


@dataclass(frozen=True, slots=True)
class _Heard:
    report: OwnerReport
    at_ms: int


def list_candidate_owners(addresses: list[PeerAddress]) -> list[PeerAddress]:
    """Return the instances of a region that may own rates; every instance finds the same ones."""
    fastest = max((address.link_mbps for address in addresses), default=0.0)
    fast = [item for item in addresses if item.link_mbps >= fastest * _FAST_LINK_PART]
    fast.sort(key=lambda address: hash_unit("rate owners", address.name))
    return fast[:_PANEL_SIZE]


def rank_owners(organisation: str, candidates: list[PeerAddress]) -> list[PeerAddress]:
    """Rank by rendezvous hashing, so that one candidate's end moves only its own rates."""
    by_name = {address.name: address for address in candidates}
    return [by_name[name] for name in rank(organisation, by_name)]


class OwnerReports:
    """What this instance has told other owners, and was told by them."""

    def __init__(self, name: str, region: str) -> None:
        self._name = name
        self._region = region
        self._heard: dict[str, _Heard] = {}
        self._told: dict[str, float] = {}
        self._told_before: dict[str, float] = {}

    def record_sent_report(self, demand: dict[str, float]) -> None:
        """Keep what a report says; what the one before said has arrived by now."""
        self._told_before = self._told
        self._told = demand

    def record_report(self, report: OwnerReport, now_ms: int) -> None:
        """Take in a report unless it is old or this instance's own."""
        if report.name == self._name:
            return
        heard = self._heard.get(report.name)
        if heard is not None:
            known = heard.report
            if (report.boot, report.number) <= (known.boot, known.number):
                return
        self._heard[report.name] = _Heard(report, now_ms)

    def remove_unresponsive(self, now_ms: int) -> None:
        """Drop the reports of owners that have stopped."""
        for name, heard in list(self._heard.items()):
            if now_ms - heard.at_ms >= _FORGET_AFTER_MS:
                del self._heard[name]

    def list_reporters(self, organisations: set[str]) -> list[str]:
        """Return the names of those who are asked for some of these organisations too."""
        return [
            name
            for name, heard in self._heard.items()
            if not organisations.isdisjoint(heard.report.demand)
        ]

    def compute_share(
        self, organisation: str, own_demand: float, rate: float, regions: int
    ) -> float:
        """Return this instance's part of the rate, between 0 and 1."""
        arrived = self._told_before.get(organisation, 0.0)
        told = max(self._told.get(organisation, 0.0), arrived)
        heard_regions = {self._region}
        owners_here = 1
        total = max(own_demand, told)
        for heard in self._heard.values():
            demand = heard.report.demand.get(organisation)
            if demand is not None:
                heard_regions.add(heard.report.region)
                owners_here += heard.report.region == self._region
                total += demand
        available = min(1.0, len(heard_regions) / regions)
        equal = 1.0 / (len(heard_regions) * owners_here)
        grown = min(own_demand, arrived)
        return available * compute_rate_share(grown, total, rate * available, equal)
