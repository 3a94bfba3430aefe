"""Apply the ledger, take part in cuts, and plan the next version of the ledger."""

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
_AUDIT_AFTER_PARTITION_MS = 10_000
_FENCE_DELAY_MS = 2_000
_COORDINATOR_ROLE = "coordinator"
_WATCHER_ROLE = "reader"
_WATCHER_COUNT = 2


class Recovery:
    """Recover the shares of removed holders and the units lost in transfers.

    The coordinator starts a cut to fence dead holders, or to find units that were lost in transfers
    (an audit). When the cut is settled, the missing units are issued again.
    """

    def __init__(self, state: NodeState, sharing: ShareExchange) -> None:
        self._state = state
        self._sharing = sharing
        self._collector: CutCollector | None = None
        self._report: CutReport | None = None
        self._report_recipient = ""
        self._last_audit_ms = state.clock.now_ms()
        self._false_positives_at_audit = 0
        self._is_watcher = True
        self._watcher_cache_key = (-1, -1)

    def is_store_watcher(self) -> bool:
        """Return whether this member watches the key-value service for the fleet."""
        ledger = self._state.ledger
        if ledger is None or ledger.find(self._state.me.identity) is None:
            return True
        cache_key = (self._state.membership.change_count, ledger.version)
        if cache_key != self._watcher_cache_key:
            alive = self._state.membership.list_live_identities()
            watchers = ledger.rank_holders(_WATCHER_ROLE, alive)[:_WATCHER_COUNT]
            self._is_watcher = self._state.me.identity in watchers or self._is_coordinator(ledger)
            self._watcher_cache_key = cache_key
        return self._is_watcher

    def apply_ledger(self) -> None:
        """Apply the current ledger after it has changed."""
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
            # This instance took no part in the settled cut, so its units were issued again.
            state.shares.clear()
            state.shares.enter_cut(ledger.settled_cut, now_ms)
        if self._was_excluded_from_cut(ledger):
            state.shares.clear()
        if not self._sharing.leaving:
            # A leaving instance is not asked for a report, so it takes no grants either.
            state.shares.apply_ledger(ledger, now_ms)
        if ledger.cut is not None:
            self._enter_cut(ledger, ledger.cut, now_ms)
        else:
            self._report = None
            self._collector = None

    def _was_excluded_from_cut(self, ledger: Ledger) -> bool:
        """Return whether a cut was settled without counting the units of this instance's report."""
        report = self._report
        if report is None or report.number != ledger.settled_cut or not any(report.held.values()):
            return False
        me = self._state.me.identity
        holders_at_start = {
            holder.identity for holder in ledger.list_holders_at(ledger.settled_started)
        }
        return me not in holders_at_start and me not in ledger.counted

    def start_period(self) -> None:
        """Resend the report of the cut in progress to its coordinator."""
        if self._report is not None and self._report_recipient != self._state.me.name:
            self._state.send(self._report_recipient, self._report)

    @handles(CutReport)
    def on_report(self, sender: Sender, report: CutReport) -> None:
        """Add a report to the cut that this member coordinates."""
        if self._collector is not None and not self._state.is_fenced(sender.identity):
            self._collector.add_report(sender.identity, report, self._state.clock.now_ms())

    def plan_ledger(self, ledger: Ledger | None, wanted_budgets: set[str] | None) -> Ledger | None:
        """Return the ledger that should follow the one just read, or None for no change.

        `wanted_budgets` are the budgets of the manifest read at the same time, or None if no
        manifest was read.
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
        return self._plan_as_coordinator(ledger, wanted_budgets)

    def _plan_as_coordinator(
        self, ledger: Ledger, wanted_budgets: set[str] | None
    ) -> Ledger | None:
        state = self._state
        me = state.me.identity
        for identity, heir in state.membership.list_heirs().items():
            if ledger.find(identity) is not None:
                return remove_holder(ledger, identity, heir, me)
        if ledger.cut is not None:
            return self._plan_cut(ledger, ledger.cut)
        if wanted_budgets is not None:
            updated = issue_budgets(ledger, wanted_budgets, me)
            if updated is not ledger:
                return updated
        dead = [identity for identity in self._list_dead(ledger) if ledger.find(identity)]
        if dead or ledger.audit_due or self._is_audit_due(ledger):
            self._last_audit_ms = state.clock.now_ms()
            self._false_positives_at_audit = state.membership.false_positives
            return start_cut(ledger, me, dead)
        return None

    def _is_audit_due(self, ledger: Ledger) -> bool:
        """Return whether an audit is due, because transfers may have been lost.

        Audits run every `AUDIT_PERIOD_MS`, and sooner after a partition has healed.
        """
        state = self._state
        elapsed_ms = state.clock.now_ms() - self._last_audit_ms
        healed = state.membership.false_positives != self._false_positives_at_audit
        due = elapsed_ms >= (_AUDIT_AFTER_PARTITION_MS if healed else AUDIT_PERIOD_MS)
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
            holders_at_start = {holder.identity for holder in ledger.list_holders_at(cut.started)}
            outsiders = [
                identity for identity in result.counted if identity not in holders_at_start
            ]
            return settle_cut(ledger, result.held, result.departed, outsiders, me)
        missing = set(collector.list_missing(ledger))
        departed_identities = {departure.holder.identity for departure in ledger.departures}
        if missing & (departed_identities | set(dead)):
            return start_cut(ledger, me, dead)
        return None

    def _list_dead(self, ledger: Ledger) -> list[str]:
        """Return the identities to fence.

        If a region has several holders and all of them seem dead, it is more likely that the region
        is partitioned. Fencing would make its holders drop their shares when they return, so they
        are fenced only after the hold time, when a partitioned minority has stopped using its
        shares anyway.
        """
        now_ms = self._state.clock.now_ms()
        dead = self._state.membership.list_dead(_FENCE_DELAY_MS, now_ms)
        long_dead = self._state.membership.list_dead(self._state.minority_hold_ms(), now_ms)
        dead_regions = self._list_dead_regions(ledger, set(dead))
        return [
            identity
            for identity in dead
            if identity in long_dead or self._find_region(ledger, identity) not in dead_regions
        ]

    def _find_region(self, ledger: Ledger, identity: str) -> str:
        holder = ledger.find(identity)
        record = self._state.membership.find(identity.partition("#")[0])
        if holder is not None:
            return holder.region
        return "" if record is None else record.region

    def _list_dead_regions(self, ledger: Ledger, dead: set[str]) -> set[str]:
        identities_by_region: dict[str, set[str]] = {}
        for holder in ledger.holders.values():
            identities_by_region.setdefault(holder.region, set()).add(holder.identity)
        return {
            region
            for region, identities in identities_by_region.items()
            if len(identities) > 1 and identities <= dead
        }

    def _is_coordinator(self, ledger: Ledger) -> bool:
        alive = self._state.membership.list_live_identities()
        ranked = ledger.rank_holders(_COORDINATOR_ROLE, alive)
        return ranked[:1] == [self._state.me.identity]

    def _enter_cut(self, ledger: Ledger, cut: Cut, now_ms: int) -> None:
        state = self._state
        me = state.me.identity
        if cut.number > state.shares.cut:
            self._prune_collections(ledger, cut.started)
            self._report = CutReport(
                cut.number,
                state.shares.units_by_budget(),
                sorted(state.shares.contacts),
                dict(state.departed),
            )
            state.reported_contacts = set(self._report.contacts)
            self._report_recipient = cut.coordinator.partition("#")[0]
            state.shares.enter_cut(cut.number, now_ms)
            self._sharing.discard_pending_shares()
        if cut.coordinator == me:
            if self._collector is None or self._collector.cut.number != cut.number:
                self._collector = CutCollector(cut, now_ms)
            if self._report is not None and self._report.number == cut.number:
                self._collector.add_report(me, self._report, now_ms)
        elif self._report is not None:
            state.send(self._report_recipient, self._report)

    def _prune_collections(self, ledger: Ledger, version: int) -> None:
        """Remove entries that the ledger covers as of a version, to keep collections bounded.

        Document versions of peers that are neither holders nor members are removed as well.
        """
        state = self._state
        departed_identities = {
            departure.holder.identity
            for departure in ledger.departures
            if departure.left <= version
        }
        present = {
            holder.identity for holder in ledger.holders.values() if holder.joined <= version
        }
        state.shares.contacts -= present | departed_identities
        for identity in departed_identities & state.departed.keys():
            del state.departed[identity]
        for name in state.peer_versions.keys() - ledger.holders.keys():
            if state.membership.find(name) is None:
                del state.peer_versions[name]
