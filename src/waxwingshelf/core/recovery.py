"""Follow the ledger, take part in cuts, and plan the ledger's next version."""

from __future__ import annotations

from waxwingshelf.core.cuts import CutCollector
from waxwingshelf.core.dispatch import Sender, handles
from waxwingshelf.core.ledger import (
    Cut,
    Ledger,
    add_holder,
    build_ledger,
    issue_budgets,
    remove_holder,
    settle_cut,
    start_cut,
)
from waxwingshelf.core.messages import CutReport
from waxwingshelf.core.sharing import ShareExchange
from waxwingshelf.core.state import NodeState

__all__ = ["AUDIT_PERIOD_MS", "Recovery"]

AUDIT_PERIOD_MS = 600_000
_HEALED_AUDIT_MS = 10_000
_FENCE_DELAY_MS = 2_000
_DUTY_COORDINATOR = "coordinator"
_DUTY_READER = "reader"
_READERS = 2


class Recovery:
    """Recover the shares of holders that are gone, and those lost between holders."""

    def __init__(self, state: NodeState, sharing: ShareExchange) -> None:
        self._state = state
        self._sharing = sharing
        self._collector: CutCollector | None = None
        self._report: CutReport | None = None
        self._report_to = ""
        self._audited_ms = state.clock.now_ms()
        self._audited_returns = 0
        self._reader = True
        self._duties_seen = (-1, -1)

    def is_store_watcher(self) -> bool:
        """Tell whether this member keeps a watch on the key-value service for others."""
        ledger = self._state.ledger
        if ledger is None or ledger.find(self._state.me.identity) is None:
            return True
        seen = (self._state.membership.change_count, ledger.version)
        if seen != self._duties_seen:
            alive = self._state.membership.list_live_identities()
            readers = ledger.rank_holders(_DUTY_READER, alive)[:_READERS]
            self._reader = self._state.me.identity in readers or self._is_coordinator(ledger)
            self._duties_seen = seen
        return self._reader

    def apply_ledger(self) -> None:
        """React to a ledger that has just been put in force."""
        state = self._state
        ledger = state.ledger
        if ledger is None:
            return
        now_ms = state.clock.now_ms()
        me = state.me.identity
        if state.is_fenced(me) and not self._sharing.has_left():
            state.fence.fenced = True
            state.shares.clear()
            return
        state.membership.apply_ledger(ledger, now_ms)
        holder = ledger.find(me)
        if holder is not None:
            state.shares.skip_grants_through(holder.joined)
        if ledger.settled_cut > state.shares.cut:
            # Whoever was not part of a settled cut had its units issued again.
            state.shares.clear()
            state.shares.enter_cut(ledger.settled_cut, now_ms)
        if self._was_passed_over(ledger):
            state.shares.clear()
        if not self._sharing.leaving:
            # Whoever leaves is not asked for a report, so it takes no grants either.
            state.shares.apply_ledger(ledger, now_ms)
        if ledger.cut is not None:
            self._enter_cut(ledger, ledger.cut, now_ms)
        else:
            self._report = None
            self._collector = None

    def _was_passed_over(self, ledger: Ledger) -> bool:
        """Tell whether a cut was settled without counting the units that were reported here."""
        report = self._report
        if report is None or report.number != ledger.settled_cut or not any(report.held.values()):
            return False
        me = self._state.me.identity
        roster = {holder.identity for holder in ledger.list_holders_at(ledger.settled_started)}
        return me not in roster and me not in ledger.counted

    def start_period(self) -> None:
        """Send the report of a cut again until the ledger moves on."""
        if self._report is not None and self._report_to != self._state.me.name:
            self._state.send(self._report_to, self._report)

    @handles(CutReport)
    def on_report(self, sender: Sender, report: CutReport) -> None:
        """Collect a report as the coordinator."""
        if self._collector is not None and not self._state.is_fenced(sender.identity):
            self._collector.add_report(sender.identity, report, self._state.clock.now_ms())

    def plan_ledger(self, ledger: Ledger | None, wanted_budgets: set[str] | None) -> Ledger | None:
        """Plan the ledger that should follow the one just read, or None.

        `wanted_budgets` are those of the manifest read at the same time, or None without one.
        """
        state = self._state
        me = state.me.identity
        if ledger is None:
            return None if self._sharing.leaving else build_ledger(state.me)
        if ledger.find(me) is None:
            if self._sharing.leaving or state.fence.fenced or state.is_fenced(me):
                return None
            return add_holder(ledger, state.me)
        if self._sharing.has_left():
            return remove_holder(ledger, me, self._sharing.heir_identity, me)
        if not self._is_coordinator(ledger):
            return None
        return self._plan_duties(ledger, wanted_budgets)

    def _plan_duties(self, ledger: Ledger, wanted_budgets: set[str] | None) -> Ledger | None:
        state = self._state
        me = state.me.identity
        for identity, heir in state.membership.list_heirs().items():
            if ledger.find(identity) is not None:
                return remove_holder(ledger, identity, heir, me)
        if ledger.cut is not None:
            return self._plan_cut(ledger, ledger.cut)
        if wanted_budgets is not None:
            issued = issue_budgets(ledger, wanted_budgets, me)
            if issued is not ledger:
                return issued
        dead = [identity for identity in self._list_dead(ledger) if ledger.find(identity)]
        if dead or ledger.audit_due or self._is_audit_due(ledger):
            self._audited_ms = state.clock.now_ms()
            self._audited_returns = state.membership.false_positives
            return start_cut(ledger, me, dead)
        return None

    def _is_audit_due(self, ledger: Ledger) -> bool:
        """Tell whether transfers may have been lost: by time, or in a cut that has healed."""
        state = self._state
        since_ms = state.clock.now_ms() - self._audited_ms
        healed = state.membership.false_positives != self._audited_returns
        due = since_ms >= (_HEALED_AUDIT_MS if healed else AUDIT_PERIOD_MS)
        return len(ledger.holders) > 1 and due

    def _plan_cut(self, ledger: Ledger, cut: Cut) -> Ledger | None:
        state = self._state
        me = state.me.identity
        dead = self._list_dead(ledger)
        collector = self._collector
        if cut.coordinator != me or collector is None or collector.cut.number != cut.number:
            return start_cut(ledger, me, dead)
        now_ms = state.clock.now_ms()
        result = collector.evaluate(ledger, state.minority_hold_ms(), now_ms)
        if result is not None:
            roster = {holder.identity for holder in ledger.list_holders_at(cut.started)}
            outsiders = [identity for identity in result.counted if identity not in roster]
            return settle_cut(ledger, result.held, result.departed, outsiders, me)
        missing = set(collector.list_missing(ledger))
        gone = {departure.holder.identity for departure in ledger.departures}
        if missing & (gone | set(dead)):
            return start_cut(ledger, me, dead)
        return None

    def _list_dead(self, ledger: Ledger) -> list[str]:
        """List the identities to fence.

        When a whole region is silent it is more likely cut off than dead, and would have to drop
        its shares on its return; it is left alone until a cut-off minority has stopped anyway.
        """
        now_ms = self._state.clock.now_ms()
        dead = self._state.membership.list_dead(_FENCE_DELAY_MS, now_ms)
        long_dead = self._state.membership.list_dead(self._state.minority_hold_ms(), now_ms)
        silent = self._list_silent_regions(ledger, set(dead))
        return [
            identity
            for identity in dead
            if identity in long_dead or self._find_region(ledger, identity) not in silent
        ]

    def _find_region(self, ledger: Ledger, identity: str) -> str:
        holder = ledger.find(identity)
        record = self._state.membership.find(identity.partition("#")[0])
        if holder is not None:
            return holder.region
        return "" if record is None else record.region

    def _list_silent_regions(self, ledger: Ledger, dead: set[str]) -> set[str]:
        by_region: dict[str, set[str]] = {}
        for holder in ledger.holders.values():
            by_region.setdefault(holder.region, set()).add(holder.identity)
        return {region for region, names in by_region.items() if len(names) > 1 and names <= dead}

    def _is_coordinator(self, ledger: Ledger) -> bool:
        alive = self._state.membership.list_live_identities()
        ranked = ledger.rank_holders(_DUTY_COORDINATOR, alive)
        return ranked[:1] == [self._state.me.identity]

    def _enter_cut(self, ledger: Ledger, cut: Cut, now_ms: int) -> None:
        state = self._state
        me = state.me.identity
        if cut.number > state.shares.cut:
            self._forget_settled(ledger, cut.started)
            self._report = CutReport(
                cut.number,
                state.shares.units_by_budget(),
                sorted(state.shares.contacts),
                dict(state.departed),
            )
            state.reported_contacts = set(self._report.contacts)
            self._report_to = cut.coordinator.partition("#")[0]
            state.shares.enter_cut(cut.number, now_ms)
            self._sharing.discard_pending_shares()
        if cut.coordinator == me:
            if self._collector is None or self._collector.cut.number != cut.number:
                self._collector = CutCollector(cut, now_ms)
            if self._report is not None and self._report.number == cut.number:
                self._collector.add_report(me, self._report, now_ms)
        elif self._report is not None:
            state.send(self._report_to, self._report)

    def _forget_settled(self, ledger: Ledger, version: int) -> None:
        """Drop what the ledger itself tells as of a version, so that no list grows for ever."""
        state = self._state
        gone = {each.holder.identity for each in ledger.departures if each.left <= version}
        present = {h.identity for h in ledger.holders.values() if h.joined <= version}
        state.shares.contacts -= present | gone
        for identity in gone & state.departed.keys():
            del state.departed[identity]
        for name in state.peer_versions.keys() - ledger.holders.keys():
            if state.membership.find(name) is None:
                del state.peer_versions[name]
