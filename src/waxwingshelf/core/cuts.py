"""Collect the reports of a consistent cut and decide when the cut can be settled."""

from __future__ import annotations

from dataclasses import dataclass

from waxwingshelf.core.fence import FENCE_WAIT_MS, HOLD_MARGIN_MS
from waxwingshelf.core.ledger import Cut, Departure, Ledger
from waxwingshelf.core.messages import CutReport

__all__ = ["CutCollector", "CutResult"]


@dataclass(frozen=True, slots=True)
class CutResult:
    """The result of a complete cut.

    `held` is the sum of the reported units by budget, `departed` maps departed identities to their
    heirs, and `counted` lists the identities whose reports are included.
    """

    held: dict[str, int]
    departed: dict[str, str]
    counted: list[str]


class CutCollector:
    """Collect the reports of one cut at its coordinator.

    A single unresponsive holder is fenced `FENCE_WAIT_MS` after the last report of the other
    holders: once all of them have reported, no holder acks it any more. Several unresponsive
    holders may ack each other, so they are fenced only by a majority and only after the hold time.
    By then, a partitioned minority has stopped using its shares. A majority never stops, so a
    minority never settles such a cut.
    """

    def __init__(self, cut: Cut, now_ms: int) -> None:
        self.cut = cut
        self._reports: dict[str, CutReport] = {}
        self._last_report_ms = now_ms

    def add_report(self, identity: str, report: CutReport, now_ms: int) -> None:
        """Add a report of this cut; ignore repeated reports and those of other cuts."""
        if report.number == self.cut.number and identity not in self._reports:
            self._reports[identity] = report
            self._last_report_ms = now_ms

    def list_missing(self, ledger: Ledger) -> list[str]:
        """Return the identities whose reports are required but have not arrived."""
        departed = self._merge_departed()
        return sorted(self._list_required(ledger, departed) - self._reports.keys())

    def evaluate(self, ledger: Ledger, hold_ms: int, now_ms: int) -> CutResult | None:
        """Return the result if the cut can be settled now, or None."""
        departed = self._merge_departed()
        required = self._list_required(ledger, departed)
        if required - self._reports.keys():
            return None
        wait_ms = self._compute_wait_ms(ledger, hold_ms)
        if wait_ms is None or now_ms - self._last_report_ms < wait_ms:
            return None
        return CutResult(self._sum_held(required), departed, sorted(required))

    def _compute_wait_ms(self, ledger: Ledger, hold_ms: int) -> int | None:
        fenced = [identity for identity in self.cut.fenced if self._is_present(ledger, identity)]
        if not fenced:
            # A holder that crashed may have been the last contact of an instance that no other
            # holder knows. Wait until such an instance has stopped using its shares.
            return FENCE_WAIT_MS if ledger.audit_due else 0
        if len(fenced) == 1:
            return FENCE_WAIT_MS
        if 2 * len(self._reports) <= len(ledger.holders):
            return None
        return hold_ms + HOLD_MARGIN_MS

    def _is_present(self, ledger: Ledger, identity: str) -> bool:
        return identity not in {departure.holder.identity for departure in ledger.departures}

    def _list_required(self, ledger: Ledger, departed: dict[str, str]) -> set[str]:
        """Return the identities whose reports are required.

        These are all holders as of the start of the cut, and the instances to which they may have
        transferred units. A holder that left after the start may have reported and then transferred
        its units, so its report is required too: without it, the cut cannot be settled.
        """
        required = {holder.identity for holder in ledger.list_holders_at(self.cut.started)}
        left_before_start = {
            departure.holder.identity
            for departure in ledger.departures
            if self._left_before_start(departure)
        }
        required |= {ledger.find_heir(identity) for identity in left_before_start} - {""}
        for identity in list(required):
            report = self._reports.get(identity)
            if report is not None:
                required |= set(report.contacts)
        required |= {heir for heir in departed.values() if heir}
        return required - left_before_start - departed.keys() - set(self.cut.fenced)

    def _left_before_start(self, departure: Departure) -> bool:
        return departure.left <= self.cut.started

    def _merge_departed(self) -> dict[str, str]:
        departed: dict[str, str] = {}
        for report in self._reports.values():
            departed.update(report.departed)
        return departed

    def _sum_held(self, required: set[str]) -> dict[str, int]:
        held: dict[str, int] = {}
        for identity in required:
            for budget, units in self._reports[identity].held.items():
                held[budget] = held.get(budget, 0) + units
        return held
