"""The ledger: who holds shares and which budgets were issued.

The ledger is one small value in the platform's key-value service. It changes only when a holder
comes or goes, a budget is issued or a cut is settled. Units move between holders without it.
Each transition is a pure function from one ledger to the next, so a writer that lost an answer
reads the ledger and decides afresh.
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

_KEPT_DEPARTURES = 256
_KEPT_GRANTS = 64


class Holder(Struct, frozen=True):
    """An instance's incarnation that may hold shares; `joined` is a ledger version."""

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
        """Return the name of this incarnation."""
        return f"{self.name}#{self.incarnation}"


class Departure(Struct, frozen=True):
    """A holder that is gone; `heir` is the identity that took over its claims, or empty."""

    holder: Holder
    left: int
    heir: str = ""


class Grant(Struct, frozen=True):
    """Units issued to all holders that joined before `version`, in equal parts."""

    version: int
    units: dict[str, int]


class Cut(Struct, frozen=True):
    """A consistent cut of all holdings (Mattern, 1989) that is being taken.

    `fenced` are identities whose rights end; `coordinator` collects the reports; `started` is the
    ledger version with which the cut began.
    """

    number: int
    started: int
    coordinator: str
    fenced: list[str]


class Ledger(Struct, frozen=True):
    """The whole ledger.

    `issued` maps a budget to the version that issued it; `retired` maps one that is no longer
    wanted to the version that retired it, until a cut shows that nobody uses it; `cuts_taken`
    counts cuts, of which `settled_cut` is the last that was settled; it began at
    `settled_started`, and `counted` are those whose reports counted although they were no holders
    then; `audit_due` asks for a cut.
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
        """Return the present holder with an identity."""
        holder = self.holders.get(identity.partition("#")[0])
        return holder if holder is not None and holder.identity == identity else None

    def list_identities(self) -> list[str]:
        """List the identities of present holders in a fixed order."""
        return sorted(holder.identity for holder in self.holders.values())

    def list_holders_at(self, version: int) -> list[Holder]:
        """List the holders as of an earlier version, as far back as departures are kept."""
        roster = [holder for holder in self.holders.values() if holder.joined <= version]
        roster += [
            departure.holder
            for departure in self.departures
            if departure.holder.joined <= version < departure.left
        ]
        return sorted(roster, key=lambda holder: holder.identity)

    def can_list_holders_at(self, version: int) -> bool:
        """Tell whether departures since a version are all kept."""
        if version > self.version:
            return False
        return len(self.departures) < _KEPT_DEPARTURES or self.departures[0].left <= version

    def find_heir(self, identity: str) -> str:
        """Follow departures to the identity that now answers for another's claims."""
        heirs = {departure.holder.identity: departure.heir for departure in self.departures}
        seen = set()
        while identity in heirs and identity not in seen:
            seen.add(identity)
            identity = heirs[identity]
        return identity

    def rank_holders(self, role: str, alive: set[str]) -> list[str]:
        """Order the live holders for a duty; all that see the same holders agree."""
        return rank(role, [name for name in self.list_identities() if name in alive])


def encode_ledger(ledger: Ledger) -> Any:
    """Return a ledger as plain JSON values."""
    return msgspec.to_builtins(ledger)


def decode_ledger(value: Any) -> Ledger:
    """Build a ledger from JSON values; `msgspec.ValidationError` when they do not fit."""
    return msgspec.convert(value, Ledger)


def build_ledger(first_holder: Holder) -> Ledger:
    """Build the first ledger, in which nothing is issued yet."""
    return Ledger(
        version=1,
        writer=first_holder.identity,
        holders={first_holder.name: replace(first_holder, joined=1)},
    )


def add_holder(ledger: Ledger, holder: Holder) -> Ledger | None:
    """Add a holder, or return None while its name is held at another address.

    An older incarnation at the same address is gone for certain, because an address is bound by
    one process at a time; its share is found missing by the next cut.
    """
    version = ledger.version + 1
    old = ledger.holders.get(holder.name)
    departures = ledger.departures
    if old is not None:
        if (old.host, old.peer_port) != (holder.host, holder.peer_port):
            return None
        departures = [*departures, Departure(old, version)][-_KEPT_DEPARTURES:]
    return replace(
        ledger,
        version=version,
        writer=holder.identity,
        holders={**ledger.holders, holder.name: replace(holder, joined=version)},
        departures=departures,
        audit_due=ledger.audit_due or old is not None,
    )


def remove_holder(ledger: Ledger, identity: str, heir: str, writer: str) -> Ledger:
    """Remove a holder that handed everything to its heir."""
    holder = ledger.find(identity)
    if holder is None:
        return ledger
    version = ledger.version + 1
    holders = {name: kept for name, kept in ledger.holders.items() if name != holder.name}
    departures = [*ledger.departures, Departure(holder, version, heir)][-_KEPT_DEPARTURES:]
    return replace(ledger, version=version, writer=writer, holders=holders, departures=departures)


def forget_holder(ledger: Ledger, name: str, writer: str) -> Ledger:
    """Remove a holder that an operator knows to be gone for good, and have its share found."""
    holder = ledger.holders[name]
    return replace(remove_holder(ledger, holder.identity, "", writer), audit_due=True)


def issue_budgets(ledger: Ledger, wanted: set[str], writer: str) -> Ledger:
    """Issue wanted budgets that are not yet issued and retire those no longer wanted.

    A retired budget that is wanted again waits for a cut: until then some holder may still use
    its old units.
    """
    missing = wanted - ledger.issued.keys()
    new = sorted(missing - ledger.retired.keys())
    dropped = ledger.issued.keys() - wanted
    audit_due = ledger.audit_due or bool(missing & ledger.retired.keys())
    if not new and not dropped and audit_due == ledger.audit_due:
        return ledger
    version = ledger.version + 1
    grants = ledger.grants
    if new:
        grants = [*grants, Grant(version, dict.fromkeys(new, TOTAL_UNITS))][-_KEPT_GRANTS:]
    kept = {name: issued for name, issued in ledger.issued.items() if name in wanted}
    return replace(
        ledger,
        version=version,
        writer=writer,
        issued={**kept, **dict.fromkeys(new, version)},
        retired={**ledger.retired, **dict.fromkeys(sorted(dropped), version)},
        grants=grants,
        audit_due=audit_due,
    )


def start_cut(ledger: Ledger, coordinator: str, fenced: list[str]) -> Ledger:
    """Start a cut that supersedes any that is being taken."""
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
    """End the cut: drop the fenced and the departed, and issue again what nobody holds.

    `held` is the sum of all reports by budget. A budget issued while the cut was being taken is
    left alone, because its grant was not visible to every report.
    """
    cut = ledger.cut
    if cut is None:
        return ledger
    version = ledger.version + 1
    gone = {identity: departed.get(identity, "") for identity in [*cut.fenced, *departed]}
    left = [
        Departure(holder, version, gone[holder.identity])
        for holder in ledger.holders.values()
        if holder.identity in gone
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
        holders={n: h for n, h in ledger.holders.items() if h.identity not in gone},
        departures=[*ledger.departures, *left][-_KEPT_DEPARTURES:],
        retired={name: at for name, at in ledger.retired.items() if at >= cut.started},
        grants=grants[-_KEPT_GRANTS:],
        cut=None,
        settled_cut=cut.number,
        settled_started=cut.started,
        counted=counted,
        audit_due=False,
    )
