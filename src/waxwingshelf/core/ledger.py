"""The ledger: which instances hold shares, and which budgets are issued.

The ledger is one small value in the platform's key-value service. It changes only when a holder
joins or leaves, a budget is issued or retired, or a cut starts or is settled. Transfers of units
between holders do not change it. Each transition is a pure function from one ledger to the next,
so a writer that got no response to its write reads the ledger again and recomputes the transition.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from waxwingshelf.core.holding import TOTAL_UNITS
from waxwingshelf.core.rendezvous import rank

__all__ = [
    "Cut",
    "Departure",
    "Grant",
    "Holder",
    "Ledger",
    "add_holder",
    "build_ledger",
    "decode_ledger",
    "encode_ledger",
    "forget_holder",
    "issue_budgets",
    "remove_holder",
    "settle_cut",
    "start_cut",
]

_MAX_DEPARTURES = 256
_MAX_GRANTS = 64


class Holder(Struct, frozen=True):
    """An incarnation of an instance that may hold shares.

    `joined` is the version of the ledger that added the holder.
    """

    name: str
    incarnation: int
    region: str
    failure_domain: str
    host: str
    port: int
    peer_port: int
    joined: int = 0

    @property
    def identity(self) -> str:
        """Return the identity of this incarnation."""
        return f"{self.name}#{self.incarnation}"


class Departure(Struct, frozen=True):
    """A former holder, removed with ledger version `left`.

    `heir` is the identity that took over the holder's claims, or empty if there is none.
    """

    holder: Holder
    left: int
    heir: str = ""


class Grant(Struct, frozen=True):
    """Units by budget, issued in equal parts to all holders as of ledger version `version`."""

    version: int
    units: dict[str, int]


class Cut(Struct, frozen=True):
    """A cut in progress: a consistent snapshot of all holdings (Mattern, 1989).

    `started` is the ledger version that started the cut. `coordinator` is the identity that
    collects the reports. `fenced` are the identities that may no longer use their shares.
    """

    number: int
    started: int
    coordinator: str
    fenced: list[str]


class Ledger(Struct, frozen=True):
    """One version of the ledger.

    `writer` is the identity that wrote this version. `holders` maps the name of each current holder
    to the holder.

    `issued` maps each budget to the version that issued it. `retired` maps each budget that is no
    longer wanted to the version that retired it, until a cut shows that no holder uses the budget.
    `cuts_taken` is the number of cuts started, and also the number of the last one. `settled_cut`
    is the number of the last settled cut, which started at version `settled_started`. `counted`
    are the identities whose reports that cut counted although they were not holders at its start.
    `audit_due` requests a cut.
    """

    version: int
    writer: str
    holders: dict[str, Holder] = {}
    departures: list[Departure] = []
    issued: dict[str, int] = {}
    retired: dict[str, int] = {}
    grants: list[Grant] = []
    cut: Cut | None = None
    cuts_taken: int = 0
    settled_cut: int = 0
    settled_started: int = 0
    counted: list[str] = []
    audit_due: bool = False

    def find(self, identity: str) -> Holder | None:
        """Return the current holder with an identity, or None."""
        holder = self.holders.get(identity.partition("#")[0])
        return holder if holder is not None and holder.identity == identity else None

    def list_identities(self) -> list[str]:
        """Return the sorted identities of the current holders."""
        return sorted(holder.identity for holder in self.holders.values())

    def list_holders_at(self, version: int) -> list[Holder]:
        """Return the holders as of an earlier version, as far back as departures are kept."""
        holders = [holder for holder in self.holders.values() if holder.joined <= version]
        holders += [
            departure.holder
            for departure in self.departures
            if departure.holder.joined <= version < departure.left
        ]
        return sorted(holders, key=lambda holder: holder.identity)

    def can_list_holders_at(self, version: int) -> bool:
        """Return whether all departures since a version are kept, so that its holders are known."""
        if version > self.version:
            return False
        return len(self.departures) < _MAX_DEPARTURES or self.departures[0].left <= version

    def find_heir(self, identity: str) -> str:
        """Follow departures from an identity to the one that now holds its claims."""
        heirs = {departure.holder.identity: departure.heir for departure in self.departures}
        seen = set()
        while identity in heirs and identity not in seen:
            seen.add(identity)
            identity = heirs[identity]
        return identity

    def rank_holders(self, role: str, alive: set[str]) -> list[str]:
        """Return the live holders in order of preference for a role.

        The order is by rendezvous hashing, so all instances that see the same live holders agree.
        """
        return rank(role, [identity for identity in self.list_identities() if identity in alive])


def encode_ledger(ledger: Ledger) -> Any:
    """Return a ledger as plain JSON values."""
    return msgspec.to_builtins(ledger)


def decode_ledger(value: Any) -> Ledger:
    """Build a ledger from JSON values; raise `msgspec.ValidationError` if they do not fit."""
    return msgspec.convert(value, Ledger)


def build_ledger(first_holder: Holder) -> Ledger:
    """Build the first ledger, with one holder and no issued budgets."""
    return Ledger(
        version=1,
        writer=first_holder.identity,
        holders={first_holder.name: replace(first_holder, joined=1)},
    )


def add_holder(ledger: Ledger, holder: Holder) -> Ledger | None:
    """Add a holder, or return None while its name is held at another address.

    An older incarnation at the same address has certainly stopped, because only one process at a
    time can bind an address. The next cut finds the share of the older incarnation missing.
    """
    version = ledger.version + 1
    previous = ledger.holders.get(holder.name)
    departures = ledger.departures
    if previous is not None:
        if (previous.host, previous.peer_port) != (holder.host, holder.peer_port):
            return None
        departures = [*departures, Departure(previous, version)][-_MAX_DEPARTURES:]
    return replace(
        ledger,
        version=version,
        writer=holder.identity,
        holders={**ledger.holders, holder.name: replace(holder, joined=version)},
        departures=departures,
        audit_due=ledger.audit_due or previous is not None,
    )


def remove_holder(ledger: Ledger, identity: str, heir: str, writer: str) -> Ledger:
    """Remove a holder that handed over everything to its heir."""
    holder = ledger.find(identity)
    if holder is None:
        return ledger
    version = ledger.version + 1
    holders = {name: kept for name, kept in ledger.holders.items() if name != holder.name}
    departures = [*ledger.departures, Departure(holder, version, heir)][-_MAX_DEPARTURES:]
    return replace(ledger, version=version, writer=writer, holders=holders, departures=departures)


def forget_holder(ledger: Ledger, name: str, writer: str) -> Ledger:
    """Remove a holder that an operator declares permanently gone, and request a cut.

    The cut finds the share of the holder missing and issues it again.
    """
    holder = ledger.holders[name]
    return replace(remove_holder(ledger, holder.identity, "", writer), audit_due=True)


def issue_budgets(ledger: Ledger, wanted: set[str], writer: str) -> Ledger:
    """Issue wanted budgets that are not yet issued, and retire those that are no longer wanted.

    A retired budget that is wanted again is issued only after a cut, because until then a holder
    may still use its old units. This function requests that cut.
    """
    missing = wanted - ledger.issued.keys()
    new_budgets = sorted(missing - ledger.retired.keys())
    unwanted = ledger.issued.keys() - wanted
    audit_due = ledger.audit_due or bool(missing & ledger.retired.keys())
    if not new_budgets and not unwanted and audit_due == ledger.audit_due:
        return ledger
    version = ledger.version + 1
    grants = ledger.grants
    if new_budgets:
        grants = [*grants, Grant(version, dict.fromkeys(new_budgets, TOTAL_UNITS))][-_MAX_GRANTS:]
    kept = {budget: issued for budget, issued in ledger.issued.items() if budget in wanted}
    return replace(
        ledger,
        version=version,
        writer=writer,
        issued={**kept, **dict.fromkeys(new_budgets, version)},
        retired={**ledger.retired, **dict.fromkeys(sorted(unwanted), version)},
        grants=grants,
        audit_due=audit_due,
    )


def start_cut(ledger: Ledger, coordinator: str, fenced: list[str]) -> Ledger:
    """Start a cut, which supersedes a cut in progress."""
    number = ledger.cuts_taken + 1
    version = ledger.version + 1
    return replace(
        ledger,
        version=version,
        writer=coordinator,
        cut=Cut(number, version, coordinator, sorted(fenced)),
        cuts_taken=number,
    )


def settle_cut(
    ledger: Ledger,
    held: dict[str, int],
    departed: dict[str, str],
    counted: list[str],
    writer: str,
) -> Ledger:
    """Settle the cut: remove fenced and departed holders, and issue missing units again.

    `held` is the sum of the reported units by budget, `departed` maps departed identities to their
    heirs, and `counted` lists the identities that were counted although they were not holders at
    the start of the cut. A budget issued while the cut was in progress is skipped, because not
    every report could include its grant.
    """
    cut = ledger.cut
    if cut is None:
        return ledger
    version = ledger.version + 1
    heir_by_identity = {
        identity: departed.get(identity, "") for identity in [*cut.fenced, *departed]
    }
    new_departures = [
        Departure(holder, version, heir_by_identity[holder.identity])
        for holder in ledger.holders.values()
        if holder.identity in heir_by_identity
    ]
    missing = {
        budget: TOTAL_UNITS - held.get(budget, 0)
        for budget, issued in sorted(ledger.issued.items())
        if issued <= cut.started and held.get(budget, 0) < TOTAL_UNITS
    }
    grants = [*ledger.grants, Grant(version, missing)] if missing else ledger.grants
    return replace(
        ledger,
        version=version,
        writer=writer,
        holders={
            name: holder
            for name, holder in ledger.holders.items()
            if holder.identity not in heir_by_identity
        },
        departures=[*ledger.departures, *new_departures][-_MAX_DEPARTURES:],
        retired={budget: since for budget, since in ledger.retired.items() if since >= cut.started},
        grants=grants[-_MAX_GRANTS:],
        cut=None,
        settled_cut=cut.number,
        settled_started=cut.started,
        counted=counted,
        audit_due=False,
    )
