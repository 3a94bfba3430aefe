"""All shares that one instance holds, and the rules by which units move."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from waxwingshelf.core.budgets import budget_kind
from waxwingshelf.core.holding import HOLDING_KINDS, TOTAL_UNITS, Holding, Limit, TransferAmount
from waxwingshelf.core.ledger import Ledger
from waxwingshelf.core.messages import ShareHint, ShareRequest, ShareTransfer

__all__ = ["ShareStore", "Shortage"]

_MIN_PAUSE_MS = 40
_MAX_PAUSE_MS = 1_000
_HOPEFUL_PAUSE_MS = 320
_ASKED_PEERS = 3
_KEPT_HINTS = 8
_KEPT_EARLY = 64
_FIRST_ASKS = 5
_SMALLEST_PART = 20


@dataclass(frozen=True, slots=True)
class Shortage:
    """Units that are needed here, and the peers to ask in turn."""

    request: ShareRequest
    peers: list[str]


@dataclass(frozen=True, slots=True)
class _EarlyTransfer:
    transfer: ShareTransfer
    sender: str


class _Account:
    """A holding with its generation and how it fares when it asks for more."""

    __slots__ = (
        "asked_ms",
        "first_asks",
        "generation",
        "hints",
        "holding",
        "next_peer",
        "pause_ms",
        "waiting",
    )

    def __init__(self, holding: Holding, generation: int) -> None:
        self.holding = holding
        self.generation = generation
        self.pause_ms = _MIN_PAUSE_MS
        self.asked_ms = -_MAX_PAUSE_MS
        self.next_peer = 0
        self.first_asks = _FIRST_ASKS
        self.waiting = 0
        self.hints: dict[str, int] = {}


class ShareStore:
    """Keep the instance's part of every budget.

    Units enter by a grant of the ledger or by a transfer, and leave by a transfer that is written
    off before it is sent. A transfer belongs to a cut: one that was sent before a cut and arrives
    after it is dropped, and the cut finds it missing; one that arrives ahead of its cut waits.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.cut = 0
        self.contacts: set[str] = set()
        self._early: list[_EarlyTransfer] = []
        self._granted_version = 0
        self._accounts: dict[str, _Account] = {}
        self._limits: dict[str, Limit] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self._accounts)

    def find_holding(self, budget: str) -> Holding | None:
        """Return the holding in a budget, or None when the budget is not issued."""
        account = self._accounts.get(budget)
        return None if account is None else account.holding

    def set_limits(self, limits: dict[str, Limit], now_ms: int) -> None:
        """Take over the sizes of all budgets."""
        self._limits = limits
        for budget, account in self._accounts.items():
            if budget in limits:
                account.holding.update_limit(limits[budget], now_ms)

    def apply_ledger(self, ledger: Ledger, now_ms: int) -> None:
        """Open accounts for issued budgets, close retired ones and apply new grants once."""
        for budget in [name for name in self._accounts if name not in ledger.issued]:
            del self._accounts[budget]
        for budget, generation in ledger.issued.items():
            account = self._accounts.get(budget)
            if account is None or account.generation != generation:
                self._open(budget, generation, now_ms)
        self._apply_grants(ledger, now_ms)

    def skip_grants_through(self, joined: int) -> None:
        """Start as a holder that joined at a version: earlier grants are not for it."""
        self._granted_version = max(self._granted_version, joined)

    def enter_cut(self, number: int, now_ms: int) -> None:
        """Go over to a cut, after its report was made, and take in what came ahead of it."""
        self.cut = number
        early, self._early = self._early, []
        for entry in early:
            self.accept_transfer(entry.transfer, entry.sender, now_ms)

    def clear(self) -> None:
        """Drop every unit."""
        self._accounts.clear()
        self.contacts.clear()

    def units_by_budget(self) -> dict[str, int]:
        """Count the units held by budget."""
        return {budget: account.holding.units for budget, account in self._accounts.items()}

    def list_holdings(self) -> list[tuple[str, int, int]]:
        """List budget, generation and units of every holding."""
        return [
            (budget, account.generation, account.holding.units)
            for budget, account in self._accounts.items()
        ]

    def fulfil_request(self, request: ShareRequest, recipient: str, now_ms: int) -> ShareTransfer:
        """Write off what can be spared for a recipient, which may be nothing."""
        account = self._accounts.get(request.budget)
        gift = TransferAmount(0, 0.0)
        if account is not None and account.generation == request.generation:
            units = _balance(account.holding, request, now_ms)
            if account.waiting == 0:
                units = max(units, account.holding.units_for_tokens(request.waiting, now_ms))
            if units > 0:
                gift = account.holding.withdraw(units, now_ms)
                self.contacts.add(recipient)
        return self._build_transfer(recipient, request.budget, request.generation, gift)

    def withdraw_all(self, recipient: str, now_ms: int) -> list[ShareTransfer]:
        """Write off everything for one recipient, except what is in use."""
        transfers = []
        for budget, account in self._accounts.items():
            gift = account.holding.withdraw(account.holding.free_units(), now_ms)
            transfers.append(self._build_transfer(recipient, budget, account.generation, gift))
        self.contacts.add(recipient)
        return transfers

    def accept_transfer(self, transfer: ShareTransfer, sender: str, now_ms: int) -> bool:
        """Add transferred units; False when they are dropped or wait for the cut they belong to."""
        if transfer.recipient != self.identity:
            return False
        if transfer.cut != self.cut:
            if transfer.cut > self.cut and len(self._early) < _KEPT_EARLY:
                self._early.append(_EarlyTransfer(transfer, sender))
            return False
        account = self._accounts.get(transfer.budget)
        if account is None or account.generation != transfer.generation:
            return False
        account.hints.pop(sender, None)
        if transfer.units <= 0:
            return True
        account.first_asks = 0
        account.pause_ms = _MIN_PAUSE_MS
        account.holding.deposit(TransferAmount(transfer.units, transfer.tokens), now_ms)
        return True

    def revert_transfer(self, transfer: ShareTransfer, now_ms: int) -> None:
        """Add the units of a transfer that was certainly not sent, in the cut that it was made."""
        account = self._accounts.get(transfer.budget)
        if account is None or account.generation != transfer.generation:
            return
        if transfer.cut == self.cut and transfer.units > 0:
            account.holding.deposit(TransferAmount(transfer.units, transfer.tokens), now_ms)

    def record_hints(self, sender: str, hints: list[ShareHint]) -> None:
        """Remember who could spare units."""
        for hint in hints:
            account = self._accounts.get(hint.budget)
            if account is None:
                continue
            account.hints.pop(sender, None)
            account.hints[sender] = hint.units
            while len(account.hints) > _KEPT_HINTS:
                account.hints.pop(next(iter(account.hints)))

    def list_hints(self, max_hints: int, turn: int, now_ms: int) -> list[ShareHint]:
        """List up to `most` budgets with spare units, another part of them each turn."""
        budgets = list(self._accounts)
        hints = []
        for offset in range(min(max_hints, len(budgets))):
            budget = budgets[(turn * max_hints + offset) % len(budgets)]
            holding = self._accounts[budget].holding
            spare = min(holding.units - holding.needed_units(now_ms), holding.free_units())
            if spare > 0:
                hints.append(ShareHint(budget, spare))
        return hints

    def adjust_waiting(self, budget: str, change: int) -> None:
        """Count requests that wait for a token."""
        account = self._accounts.get(budget)
        if account is not None:
            account.waiting = max(0, account.waiting + change)

    def can_expect_units(self, budget: str) -> bool:
        """Tell whether peers that were asked for a budget have lately had some to spare."""
        account = self._accounts.get(budget)
        return account is not None and account.pause_ms <= _HOPEFUL_PAUSE_MS

    def find_shortage(self, budget: str, peers: list[str], now_ms: int) -> Shortage | None:
        """Tell what to ask for a budget now, or None when nothing is short or a pause runs."""
        account = self._accounts.get(budget)
        if account is None or not peers or now_ms - account.asked_ms < account.pause_ms:
            return None
        held = account.holding.units
        need = account.holding.needed_units(now_ms)
        asked = _ASKED_PEERS
        if need <= held and account.first_asks > 0:
            # A new holder asks one peer for half of an equal part, so that its first callers need
            # not wait and an idle peer keeps something for its own.
            account.first_asks -= 1
            need = TOTAL_UNITS // (2 * (len(peers) + 1))
            asked = 1
        if need <= held and account.waiting == 0:
            return None
        account.asked_ms = now_ms
        account.pause_ms = min(account.pause_ms * 2, _MAX_PAUSE_MS)
        request = ShareRequest(budget, account.generation, held, need, account.waiting)
        return Shortage(request, self._choose_peers(account, peers)[:asked])

    def _choose_peers(self, account: _Account, peers: list[str]) -> list[str]:
        known = sorted(account.hints, key=lambda name: account.hints[name], reverse=True)
        chosen = [name for name in known if name in peers][:_ASKED_PEERS]
        for _ in range(min(len(peers), _ASKED_PEERS - len(chosen))):
            account.next_peer = (account.next_peer + 1) % len(peers)
            if peers[account.next_peer] not in chosen:
                chosen.append(peers[account.next_peer])
        return chosen

    def _build_transfer(
        self, recipient: str, budget: str, generation: int, gift: TransferAmount
    ) -> ShareTransfer:
        return ShareTransfer(recipient, self.cut, budget, generation, gift.units, gift.tokens)

    def _open(self, budget: str, generation: int, now_ms: int) -> None:
        limit = self._limits.get(budget, Limit(budget_kind(budget), 0.0))
        self._accounts[budget] = _Account(HOLDING_KINDS[limit.kind](limit, now_ms), generation)

    def _apply_grants(self, ledger: Ledger, now_ms: int) -> None:
        for grant in ledger.grants:
            if grant.version <= self._granted_version:
                continue
            self._granted_version = grant.version
            if ledger.can_list_holders_at(grant.version):
                self._apply_grant(ledger, grant.version, grant.units, now_ms)

    def _apply_grant(
        self, ledger: Ledger, version: int, units: dict[str, int], now_ms: int
    ) -> None:
        roster = [holder.identity for holder in ledger.list_holders_at(version)]
        if self.identity not in roster:
            return
        place = roster.index(self.identity)
        for budget, total in units.items():
            account = self._accounts.get(budget)
            if account is None or account.generation > version:
                continue
            part = _divide(total, len(roster), place)
            account.first_asks = 0
            # Tokens come with time: whoever held these units before may have just used theirs.
            account.holding.deposit(TransferAmount(part, 0.0), now_ms)


def _divide(total: int, count: int, place: int) -> int:
    """Return the part of one of `count` holders; the first gets what does not divide."""
    return total // count + (total % count if place == 0 else 0)


def _balance(holding: Holding, request: ShareRequest, now_ms: int) -> int:
    """Return the units to give so that both sides meet the same part of their needs.

    Repeated between pairs this leads to shares in proportion to demand, whether there is enough
    for all or not. Amounts too small to matter are not worth a transfer.
    """
    need = holding.needed_units(now_ms)
    if request.need <= 0:
        return 0
    even = (holding.units * request.need - request.held * need) // (need + request.need)
    wanted = request.need - request.held
    units = min(even, wanted, holding.free_units())
    return units if units * _SMALLEST_PART >= request.need else 0
