"""Each deliberate fault, injected alone, makes the scenario that covers it fail.

`pytest --durations=0` on this file shows how long the detection of each fault takes.
"""

from collections.abc import Callable
from typing import Any

import pytest

from standins.fleet import FakeFleet, build_fleet
from tests import test_fleet as scenarios
from waxwingshelf.core import (
    changes,
    claim_protocol,
    claims,
    cuts,
    documents,
    envelope,
    fence,
    gossip,
    holding,
    ledger,
    recovery,
    shares,
    sharing,
)
from waxwingshelf.core.claims import ClaimState, RequestId
from waxwingshelf.core.holding import ConcurrencyHolding, RateHolding
from waxwingshelf.core.messages import Claim, ClaimRecord, CutReport

Patch = pytest.MonkeyPatch
FAULTS: dict[str, tuple[Callable[[Patch], None], Callable[[FakeFleet], Any]]] = {}


def fault(scenario: Callable[[FakeFleet], Any]) -> Callable:
    """Register the decorated fault with the scenario that must fail under it."""

    def add(inject: Callable[[Patch], None]) -> Callable[[Patch], None]:
        FAULTS[inject.__name__] = (inject, scenario)
        return inject

    return add


def delayed_and_duplicated_messages(fleet: FakeFleet) -> None:
    fleet.duplication_rate, fleet.max_delay_ms = 0.5, 300
    for name in ("n0", "n1", "n2", "n3"):
        scenarios.send_requests(fleet, 2_000, [name], 60.0)


def cuts_during_transfers(fleet: FakeFleet) -> None:
    fleet.max_delay_ms = 900
    for round_number in range(12):
        scenarios.send_requests(fleet, 500, [f"n{round_number % 8}"], 50.0)
        fleet.run_audit()


def fill_slots(fleet: FakeFleet) -> None:
    for _ in range(100):
        fleet.acquire_slot("n0")
        fleet.advance(50)
    for _ in range(40):
        fleet.acquire_slot("n1")
        fleet.advance(50)


def idle_then_burst(fleet: FakeFleet) -> None:
    fleet.advance(20_000)
    for name in sorted(fleet.nodes):
        for _ in range(20):
            fleet.send_request(name, "acme")


def retired_budget_waits_for_a_cut(fleet: FakeFleet) -> None:
    _, value = fleet.store.read("ledger")
    retired = recovery.issue_budgets(ledger.decode_ledger(value), set(), "n0")
    requested_again = recovery.issue_budgets(retired, {scenarios.BUDGET}, "n0")
    assert scenarios.BUDGET not in requested_again.issued
    assert requested_again.audit_due
    settled = ledger.settle_cut(ledger.start_cut(requested_again, "n0#1", []), {}, {}, [], "n0")
    assert scenarios.BUDGET in recovery.issue_budgets(settled, {scenarios.BUDGET}, "n0").issued


def collector_waits_for_fenced_holders(fleet: FakeFleet) -> None:
    _, value = fleet.store.read("ledger")
    ledger_before = ledger.start_cut(ledger.decode_ledger(value), "n0#1", ["n2#3"])
    assert ledger_before.cut is not None
    collector = cuts.CutCollector(ledger_before.cut, 0)
    for identity in ledger_before.list_identities():
        collector.add_report(identity, CutReport(ledger_before.cut.number, {}, [], {}), 1_000)
    assert collector.evaluate(ledger_before, 0, 1_000 + fence.CONTACT_TIMEOUT_MS) is None
    assert collector.evaluate(ledger_before, 0, 1_000 + 2 * fence.CONTACT_TIMEOUT_MS) is not None


def isolate_an_instance(fleet: FakeFleet) -> None:
    fleet.isolated = {"n2"}
    fleet.advance(40_000)


def partition_a_region(fleet: FakeFleet) -> None:
    fleet.partitioned_regions = {"r1"}
    fleet.advance(60_000)


def change_often(fleet: FakeFleet) -> None:
    for number in range(6):
        patch = [{"op": "replace", "path": "/organisations/acme/rate_per_s", "value": 40.0}]
        fleet.change("n0", changes.Change(f"c{number}", "same", 0, patch=patch))
        scenarios.send_requests(fleet, 500, sorted(fleet.nodes), 300.0)


def messages_out_of_order(fleet: FakeFleet) -> None:
    fleet.max_delay_ms = 900
    change_often(fleet)


def order_twice(fleet: FakeFleet) -> None:
    scenarios.test_concurrent_attempts_at_two_instances_run_once(fleet)


def repeat_an_order_after_minutes(fleet: FakeFleet) -> None:
    request_id = fleet.build_request_id("n0", "late")
    fleet.start_claim("n0", request_id)
    fleet.advance(1_000)
    for name in ("n1", "n2"):
        fleet.advance(200_000)
        fleet.start_claim(name, request_id)
        fleet.advance(1_000)
    assert fleet.runs[request_id] == 1


def retry_after_instance_death(fleet: FakeFleet) -> None:
    scenarios.test_an_instance_dies_between_claim_and_response(fleet)


def replace_all_instances(fleet: FakeFleet) -> None:
    scenarios.test_all_instances_replaced_one_by_one(fleet, True)


def merge_contested_claims(fleet: FakeFleet) -> None:
    store = claims.ClaimStore()
    first_claim, second_claim, third_claim = (_build_claim(attempt) for attempt in ("a", "b", "c"))
    store.vote(first_claim, "n0", 900_000, 1_000_000)
    store.merge([ClaimRecord(second_claim)])
    store.release(first_claim)
    assert store.vote(third_claim, "n0", 900_000, 1_000_000).verdict == claims.Verdict.HELD


def _build_claim(attempt: str) -> Claim:
    return Claim("acme", "orders", "1.r0.1000.x", 1, 1_000, b"x", attempt)


def handovers_during_cuts(fleet: FakeFleet) -> None:
    fleet.max_delay_ms = 900
    for number in range(6):
        fleet.nodes[f"n{number}"].member.sharing.start_leaving()
        fleet.flush(f"n{number}")
        fleet.run_audit()


def leave_without_reaching_the_heir(fleet: FakeFleet) -> None:
    """A cut issues grants while a leaving holder cannot hand over to its heir."""
    sharing_of_leaver = fleet.nodes["n0"].member.sharing
    sharing_of_leaver.start_leaving()
    fleet.blocked_pair = {"n0", sharing_of_leaver._heir}
    fleet.nodes["n5"].alive = False
    fleet.forget("n5")
    fleet.advance(15_000)
    units_by_budget = fleet.nodes["n0"].member.state.shares.units_by_budget()
    assert not any(units_by_budget.values())


def join_without_store(fleet: FakeFleet) -> None:
    """A new instance that the ledger does not list yet holds units when a cut is taken."""
    fleet.store.down = True
    fleet.start("n8")
    scenarios.send_requests(fleet, 5_000, ["n8"], 30.0)
    original_poll_store = fleet.poll_store
    fleet.poll_store = lambda name: None if name == "n8" else original_poll_store(name)  # type: ignore[method-assign]
    fleet.store.down = False
    fleet.run_audit()
    fleet.advance(20_000)


@fault(delayed_and_duplicated_messages)
def sender_keeps_transferred_units(patch: Patch) -> None:
    original_withdraw = RateHolding.withdraw

    def faulty(self: RateHolding, units: int, now_ms: int) -> holding.TransferAmount:
        transfer_amount = original_withdraw(self, units, now_ms)
        self.units += transfer_amount.units
        return transfer_amount

    patch.setattr(RateHolding, "withdraw", faulty)


@fault(delayed_and_duplicated_messages)
def duplicated_messages_are_accepted(patch: Patch) -> None:
    patch.setattr(envelope._ReplayWindow, "admit", lambda self, sequence: True)


@fault(change_often)
def resizing_fills_the_bucket(patch: Patch) -> None:
    def faulty(self: RateHolding, limit: holding.Limit, now_ms: int) -> None:
        self.limit = limit
        self.tokens = self._capacity(self.units)

    patch.setattr(RateHolding, "update_limit", faulty)


@fault(idle_then_burst)
def rate_is_checked_per_instance(patch: Patch) -> None:
    patch.setattr(RateHolding, "_capacity", lambda self, units: self.limit.size)


@fault(fill_slots)
def slots_in_use_are_transferred(patch: Patch) -> None:
    patch.setattr(ConcurrencyHolding, "free_units", lambda self: self.units)


@fault(cuts_during_transfers)
def transfers_of_an_old_cut_are_accepted(patch: Patch) -> None:
    original_accept_transfer = shares.ShareStore.accept_transfer

    def faulty(self: shares.ShareStore, transfer: Any, sender: str, now_ms: int) -> bool:
        from msgspec.structs import replace

        return original_accept_transfer(self, replace(transfer, cut=self.cut), sender, now_ms)

    patch.setattr(shares.ShareStore, "accept_transfer", faulty)


@fault(lambda fleet: fleet.run_audit() or scenarios.send_requests(fleet, 2_000, ["n1"], 50.0))
def grants_are_not_divided(patch: Patch) -> None:
    patch.setattr(shares, "_divide", lambda total, count, position: total)


@fault(lambda fleet: [fleet.start("n8"), fleet.advance(5_000)])
def joiner_takes_old_grants(patch: Patch) -> None:
    def faulty(
        self: shares.ShareStore,
        ledger: ledger.Ledger,
        version: int,
        units: dict[str, int],
        now_ms: int,
    ) -> None:
        for budget, total in units.items():
            share = total // len(ledger.holders)
            self._accounts[budget].holding.deposit(holding.TransferAmount(share, 0.0), now_ms)

    patch.setattr(shares.ShareStore, "_apply_grant", faulty)


@fault(collector_waits_for_fenced_holders)
def fence_does_not_wait(patch: Patch) -> None:
    patch.setattr(cuts, "FENCE_WAIT_MS", 0)


@fault(isolate_an_instance)
def fenced_holder_is_still_acked(patch: Patch) -> None:
    patch.setattr(fence, "CONTACT_TIMEOUT_MS", 3_600_000)


@fault(partition_a_region)
def partitioned_region_is_fenced_without_hold(patch: Patch) -> None:
    patch.setattr(cuts.CutCollector, "_compute_wait_ms", lambda self, ledger, hold_ms: 0)
    patch.setattr(recovery.Recovery, "_list_dead_regions", lambda self, ledger, dead: set())


@fault(scenarios.test_an_ack_from_before_a_freeze_does_not_count_as_contact)
def contact_counts_from_the_ack(patch: Patch) -> None:
    original_on_ack = gossip.Gossip.on_ack

    def faulty(self: gossip.Gossip, sender: Any, ack: Any) -> None:
        original_on_ack(self, sender, ack)
        self._state.fence.record_contact(self._state.clock.now_ms())

    faulty._message_types = original_on_ack._message_types  # type: ignore[attr-defined]
    patch.setattr(gossip.Gossip, "on_ack", faulty)


@fault(scenarios.test_a_frozen_holder_admits_nothing_with_its_old_shares)
def freeze_is_not_detected(patch: Patch) -> None:
    patch.setattr(
        fence.Fence, "can_use_shares", lambda self, now_ms, majority, hold_ms: not self.fenced
    )


@fault(retired_budget_waits_for_a_cut)
def retired_budget_is_issued_at_once(patch: Patch) -> None:
    original_issue_budgets = ledger.issue_budgets

    def faulty(ledger_before: ledger.Ledger, wanted: set[str], writer: str) -> ledger.Ledger:
        from msgspec.structs import replace

        return original_issue_budgets(replace(ledger_before, retired={}), wanted, writer)

    patch.setattr(recovery, "issue_budgets", faulty)


@fault(join_without_store)
def holders_outside_the_ledger_are_not_asked(patch: Patch) -> None:
    patch.setattr(
        cuts.CutCollector,
        "_list_required",
        lambda self, ledger, departed: {
            holder.identity
            for holder in ledger.holders.values()
            if holder.joined <= self.cut.started
        }
        - set(self.cut.fenced),
    )


@fault(leave_without_reaching_the_heir)
def leaving_holder_takes_grants(patch: Patch) -> None:
    original_apply_ledger = recovery.Recovery.apply_ledger

    def faulty(self: recovery.Recovery) -> None:
        original_apply_ledger(self)
        self._state.shares.apply_ledger(self._state.ledger, self._state.clock.now_ms())

    patch.setattr(recovery.Recovery, "apply_ledger", faulty)


@fault(handovers_during_cuts)
def handover_keeps_its_shares_over_a_cut(patch: Patch) -> None:
    def faulty(self: sharing.ShareExchange) -> None:
        from msgspec.structs import replace

        cut = self._state.shares.cut
        if self._pending is not None:
            transfers = [replace(transfer, cut=cut) for transfer in self._pending.transfers]
            self._pending = replace(self._pending, cut=cut, transfers=transfers)

    patch.setattr(sharing.ShareExchange, "discard_pending_shares", faulty)


@fault(messages_out_of_order)
def lower_revisions_are_accepted(patch: Patch) -> None:
    def faulty(self: documents.ReplicatedDocument, version: int, value: Any) -> bool:
        if version == self.version:
            return False
        self._patches.clear()
        self.version, self.value = version, value
        return True

    patch.setattr(documents.ReplicatedDocument, "replace", faulty)


@fault(scenarios.test_concurrent_changes_by_operators)
def conflicts_are_not_detected(patch: Patch) -> None:
    patch.setattr(changes, "_find_conflict", lambda head, log, change, patch: None)


@fault(order_twice)
def one_vote_wins(patch: Patch) -> None:
    patch.setattr(claims.ClaimTally, "majority", property(lambda self: 1))


@fault(order_twice)
def claim_is_skipped(patch: Patch) -> None:
    def faulty(self: claim_protocol.ClaimProtocol, claim: Claim, request_id: RequestId) -> bool:
        self._listener(claim.attempt, claims.ClaimResult(ClaimState.WON))
        return True

    patch.setattr(claim_protocol.ClaimProtocol, "start", faulty)


@fault(repeat_an_order_after_minutes)
def claim_is_forgotten_before_the_id_expires(patch: Patch) -> None:
    def faulty(
        self: claims.ClaimStore, claim: Claim, voter: str, life_ms: int, wall_ms: int
    ) -> Any:
        self._advance_and_purge(wall_ms, 60_000)
        return original_vote(self, claim, voter, life_ms, wall_ms)

    original_vote = claims.ClaimStore.vote
    patch.setattr(claims.ClaimStore, "vote", faulty)


@fault(retry_after_instance_death)
def every_vote_is_granted(patch: Patch) -> None:
    patch.setattr(claims, "_determine_verdict", lambda record, claim: claims.Verdict.GRANTED)


@fault(replace_all_instances)
def heir_does_not_take_over_claims(patch: Patch) -> None:
    patch.setattr(claims.ClaimStore, "merge", lambda self, records: None)


@fault(merge_contested_claims)
def contested_claim_can_be_released(patch: Patch) -> None:
    def faulty(self: claims.ClaimStore, records: Any) -> None:
        for record in records:
            self._records.setdefault(claims._key(record.claim), record)

    patch.setattr(claims.ClaimStore, "merge", faulty)


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_fault_is_caught(name: str, monkeypatch: Patch) -> None:
    inject, scenario = FAULTS[name]
    inject(monkeypatch)
    with pytest.raises(AssertionError):
        scenario(build_fleet(8, 1))


@pytest.mark.parametrize(
    "scenario", sorted({function.__name__: function for _, function in FAULTS.values()})
)
def test_scenario_passes_without_a_fault(scenario: str) -> None:
    chosen = {function.__name__: function for _, function in FAULTS.values()}[scenario]
    chosen(build_fleet(8, 1))
