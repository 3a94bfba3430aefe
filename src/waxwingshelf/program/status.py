"""The status of the fleet as one instance sees it, for operators."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from waxwingshelf.core.holding import TOTAL_UNITS
from waxwingshelf.core.membership import MemberState
from waxwingshelf.core.state import LEDGER_DOCUMENT, MANIFEST_DOCUMENT, NodeState
from waxwingshelf.program.control import ControlPlane

__all__ = ["MemberStatus", "Status", "build_status"]


class MemberStatus(Struct, frozen=True):
    """The status of one member; `revision` is -1 until the member has reported its revision."""

    name: str
    region: str
    failure_domain: str
    state: str
    stopping: bool
    revision: int


class Status(Struct, frozen=True):
    """The status of the fleet as `instance` sees it.

    `confirmed_age_ms` is the age of the latest known read of the current ledger by any instance,
    or -1 before the first one. `not_confirmed` lists the members whose manifest revision is older
    than `revision` or unknown. `shares` maps each budget to the share that `instance` holds, from
    0 to 1.
    """

    instance: str
    revision: int
    ledger_version: int
    store_reachable: bool
    confirmed_age_ms: int
    uses_shares: bool
    cut_running: bool
    fenced: list[str]
    members: list[MemberStatus]
    not_confirmed: list[str]
    shares: dict[str, float]


def build_status(control: ControlPlane, now_ms: int, include_shares: bool) -> Any:
    """Return the fleet's status, with the shares of this instance if `include_shares` is set."""
    state = control.state
    revision = state.documents[MANIFEST_DOCUMENT].version
    ledger = state.ledger
    cut = None if ledger is None else ledger.cut
    members = _list_members(state, revision)
    held_units = state.shares.units_by_budget() if include_shares else {}
    return Status(
        instance=state.me.identity,
        revision=revision,
        ledger_version=state.documents[LEDGER_DOCUMENT].version,
        store_reachable=control.store_reachable,
        confirmed_age_ms=state.fence.confirmed_age_ms(now_ms),
        uses_shares=state.can_use_shares(),
        cut_running=cut is not None,
        fenced=[] if cut is None else cut.fenced,
        members=members,
        not_confirmed=[member.name for member in members if member.revision < revision],
        shares={budget: units / TOTAL_UNITS for budget, units in held_units.items()},
    )


def _list_members(state: NodeState, revision: int) -> list[MemberStatus]:
    names = {state.me.name, *state.membership.list_alive()}
    if state.ledger is not None:
        names |= state.ledger.holders.keys()
    members = []
    for name in sorted(names):
        record = state.membership.find(name)
        if record is None or record.state == MemberState.LEFT:
            continue
        versions = state.peer_versions.get(name, [-1])
        members.append(
            MemberStatus(
                name=name,
                region=record.region,
                failure_domain=record.failure_domain,
                state=record.state,
                stopping=record.stopping,
                revision=revision if name == state.me.name else versions[MANIFEST_DOCUMENT],
            )
        )
    return members
