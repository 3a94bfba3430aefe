"""The shares that one instance holds, and the rules for transferring units."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from waxwingshelf.core.budgets import budget_kind
from waxwingshelf.core.holding import HOLDING_KINDS, TOTAL_UNITS, Holding, Limit, TransferAmount
from waxwingshelf.core.ledger import Ledger
from waxwingshelf.core.messages import ShareHint, ShareRequest, ShareTransfer

__all__ = ["ShareStore", "Shortage"]

_MIN_REQUEST_PAUSE_MS = 40
_MAX_REQUEST_PAUSE_MS = 1_000
_MAX_PROMISING_PAUSE_MS = 320
_MAX_ASKED_PEERS = 3
_MAX_HINTS = 8
_MAX_EARLY_TRANSFERS = 64
_MAX_INITIAL_REQUESTS = 5
_MIN_TRANSFER_DIVISOR = 20  # transfers below 1/20 of the recipient's need are skipped


@dataclass(frozen=True, slots=True)
class Shortage:
    """A request for units that this instance needs, and the peers to send it to."""

    request: ShareRequest
    peers: list[str]


@dataclass(frozen=True, slots=True)
class _EarlyTransfer:
    transfer: ShareTransfer
    sender: str


class _Account:
    """A holding, the ledger version that issued its budget, and the state of requests for units."""

    __slots__ = (
        "generation",
        "hints",
        "holding",
        "initial_requests_left",
        "last_request_ms",
        "next_peer",
        "request_pause_ms",
        "waiting",
    )

    def __init__(self, holding: Holding, generation: int) -> None:
        self.holding = holding
        self.generation = generation
        self.request_pause_ms = _MIN_REQUEST_PAUSE_MS
        self.last_request_ms = -_MAX_REQUEST_PAUSE_MS
        self.next_peer = 0
        self.initial_requests_left = _MAX_INITIAL_REQUESTS
        self.waiting = 0
        self.hints: dict[str, int] = {}


class ShareStore:
    """Hold this instance's share of every budget.

    Units are added by grants of the ledger and by transfers from other holders. Units that are
    transferred away are withdrawn before the transfer is sent. Every transfer belongs to a cut. A
    transfer that was sent before a cut and arrives after it is dropped, and the cut finds its units
    missing. A transfer that arrives before this instance enters the transfer's cut is kept until
    then.

    `cut` is the number of the last cut entered. `contacts` are identities that this instance, or a
    member that handed over to it, sent units to or acked: a cut requires their reports even if they
    are not in the ledger.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.cut = 0
        self.contacts: set[str] = set()
        self._early_transfers: list[_EarlyTransfer] = []
        self._last_grant_version = 0
        self._accounts: dict[str, _Account] = {}
        self._limits: dict[str, Limit] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self._accounts)

    def find_holding(self, budget: str) -> Holding | None:
        """Return the holding of a budget, or None if the budget is not issued."""
        account = self._accounts.get(budget)
        return None if account is None else account.holding

    def set_limits(self, limits: dict[str, Limit], now_ms: int) -> None:
        """Set the limits of all budgets."""
        self._limits = limits
        for budget, account in self._accounts.items():
            if budget in limits:
                account.holding.update_limit(limits[budget], now_ms)

    def apply_ledger(self, ledger: Ledger, now_ms: int) -> None:
        """Open accounts for issued budgets, close retired ones and apply each new grant once."""
        for budget in [name for name in self._accounts if name not in ledger.issued]:
            del self._accounts[budget]
        for budget, generation in ledger.issued.items():
            account = self._accounts.get(budget)
            if account is None or account.generation != generation:
                self._open_account(budget, generation, now_ms)
        self._apply_grants(ledger, now_ms)

    def skip_grants_through(self, joined: int) -> None:
        """Ignore grants up to the ledger version with which this holder joined."""
        self._last_grant_version = max(self._last_grant_version, joined)

    def enter_cut(self, number: int, now_ms: int) -> None:
        """Enter a cut after its report was made, and accept transfers that arrived early."""
        self.cut = number
        early, self._early_transfers = self._early_transfers, []
        for entry in early:
            self.accept_transfer(entry.transfer, entry.sender, now_ms)

    def clear(self) -> None:
        """Discard all units and contacts."""
        self._accounts.clear()
        self.contacts.clear()

    def units_by_budget(self) -> dict[str, int]:
        """Return the number of units held of each budget."""
        return {budget: account.holding.units for budget, account in self._accounts.items()}

    def list_holdings(self) -> list[tuple[str, int, int]]:
        """Return the budget, generation and units of every holding."""
        return [
            (budget, account.generation, account.holding.units)
            for budget, account in self._accounts.items()
        ]

    def fulfil_request(self, request: ShareRequest, recipient: str, now_ms: int) -> ShareTransfer:
        """Withdraw the units that can be spared for a request; the transfer may be empty."""
        account = self._accounts.get(request.budget)
        amount = TransferAmount(0, 0.0)
        if account is not None and account.generation == request.generation:
            units = _compute_transfer_units(account.holding, request, now_ms)
            if account.waiting == 0:
                units = max(units, account.holding.units_for_tokens(request.waiting, now_ms))
            if units > 0:
                amount = account.holding.withdraw(units, now_ms)
                self.contacts.add(recipient)
        return self._build_transfer(recipient, request.budget, request.generation, amount)

    def withdraw_all(self, recipient: str, now_ms: int) -> list[ShareTransfer]:
        """Withdraw all units that are not in use, and return the transfers for a recipient."""
        transfers = []
        for budget, account in self._accounts.items():
            amount = account.holding.withdraw(account.holding.free_units(), now_ms)
            transfers.append(self._build_transfer(recipient, budget, account.generation, amount))
        self.contacts.add(recipient)
        return transfers

    def accept_transfer(self, transfer: ShareTransfer, sender: str, now_ms: int) -> bool:
        """Add the units of a transfer; return False if it is dropped or kept for a later cut."""
        if transfer.recipient != self.identity:
            return False
        if transfer.cut != self.cut:
            if transfer.cut > self.cut and len(self._early_transfers) < _MAX_EARLY_TRANSFERS:
                self._early_transfers.append(_EarlyTransfer(transfer, sender))
            return False
        account = self._accounts.get(transfer.budget)
        if account is None or account.generation != transfer.generation:
            return False
        account.hints.pop(sender, None)
        if transfer.units <= 0:
            return True
        account.initial_requests_left = 0
        account.request_pause_ms = _MIN_REQUEST_PAUSE_MS
        account.holding.deposit(TransferAmount(transfer.units, transfer.tokens), now_ms)
        return True

    def revert_transfer(self, transfer: ShareTransfer, now_ms: int) -> None:
        """Add back the units of a transfer that was certainly not sent.

        Do nothing if a cut was entered since the transfer was built.
        """
        account = self._accounts.get(transfer.budget)
        if account is None or account.generation != transfer.generation:
            return
        if transfer.cut == self.cut and transfer.units > 0:
            account.holding.deposit(TransferAmount(transfer.units, transfer.tokens), now_ms)

    def record_hints(self, sender: str, hints: list[ShareHint]) -> None:
        """Record the units that a peer can spare."""
        for hint in hints:
            account = self._accounts.get(hint.budget)
            if account is None:
                continue
            account.hints.pop(sender, None)
            account.hints[sender] = hint.units
            while len(account.hints) > _MAX_HINTS:
                account.hints.pop(next(iter(account.hints)))

    def list_hints(self, max_hints: int, turn: int, now_ms: int) -> list[ShareHint]:
        """Return the spare units of up to `max_hints` budgets; each turn covers other budgets.

        Budgets without spare units are left out.
        """
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
        """Add `change` to the number of local requests that wait for a token of a budget."""
        account = self._accounts.get(budget)
        if account is not None:
            account.waiting = max(0, account.waiting + change)

    def can_expect_units(self, budget: str) -> bool:
        """Return whether peers are likely to send units of a budget soon.

        The pause between requests doubles with each request and is reset when units arrive, so a
        short pause means that few requests have gone unanswered.
        """
        account = self._accounts.get(budget)
        return account is not None and account.request_pause_ms <= _MAX_PROMISING_PAUSE_MS

    def find_shortage(self, budget: str, peers: list[str], now_ms: int) -> Shortage | None:
        """Return the request to send now, or None if nothing is short or it is too early."""
        account = self._accounts.get(budget)
        if (
            account is None
            or not peers
            or now_ms - account.last_request_ms < account.request_pause_ms
        ):
            return None
        held = account.holding.units
        need = account.holding.needed_units(now_ms)
        max_peers = _MAX_ASKED_PEERS
        if need <= held and account.initial_requests_left > 0:
            # A new holder asks one peer for half of an equal share, so that its first callers need
            # not wait and an idle peer keeps some units for its own callers.
            account.initial_requests_left -= 1
            need = TOTAL_UNITS // (2 * (len(peers) + 1))
            max_peers = 1
        if need <= held and account.waiting == 0:
            return None
        account.last_request_ms = now_ms
        account.request_pause_ms = min(account.request_pause_ms * 2, _MAX_REQUEST_PAUSE_MS)
        request = ShareRequest(budget, account.generation, held, need, account.waiting)
        return Shortage(request, self._choose_peers(account, peers)[:max_peers])

    def _choose_peers(self, account: _Account, peers: list[str]) -> list[str]:
        hinted = sorted(account.hints, key=lambda name: account.hints[name], reverse=True)
        chosen = [name for name in hinted if name in peers][:_MAX_ASKED_PEERS]
        for _ in range(min(len(peers), _MAX_ASKED_PEERS - len(chosen))):
            account.next_peer = (account.next_peer + 1) % len(peers)
            if peers[account.next_peer] not in chosen:
                chosen.append(peers[account.next_peer])
        return chosen

    def _build_transfer(
        self, recipient: str, budget: str, generation: int, amount: TransferAmount
    ) -> ShareTransfer:
        return ShareTransfer(recipient, self.cut, budget, generation, amount.units, amount.tokens)

    def _open_account(self, budget: str, generation: int, now_ms: int) -> None:
        limit = self._limits.get(budget, Limit(budget_kind(budget), 0.0))
        self._accounts[budget] = _Account(HOLDING_KINDS[limit.kind](limit, now_ms), generation)

    def _apply_grants(self, ledger: Ledger, now_ms: int) -> None:
        for grant in ledger.grants:
            if grant.version <= self._last_grant_version:
                continue
            self._last_grant_version = grant.version
            if ledger.can_list_holders_at(grant.version):
                self._apply_grant(ledger, grant.version, grant.units, now_ms)

    def _apply_grant(
        self, ledger: Ledger, version: int, units: dict[str, int], now_ms: int
    ) -> None:
        identities = [holder.identity for holder in ledger.list_holders_at(version)]
        if self.identity not in identities:
            return
        position = identities.index(self.identity)
        for budget, total in units.items():
            account = self._accounts.get(budget)
            if account is None or account.generation > version:
                continue
            share = _divide(total, len(identities), position)
            account.initial_requests_left = 0
            # Deposit no tokens, because the previous holder of these units may have just used the
            # tokens that came with them. Tokens refill over time.
            account.holding.deposit(TransferAmount(share, 0.0), now_ms)


def _divide(total: int, count: int, position: int) -> int:
    """Return the share of one of `count` holders; the first holder also gets the remainder."""
    return total // count + (total % count if position == 0 else 0)


def _compute_transfer_units(holding: Holding, request: ShareRequest, now_ms: int) -> int:
    """Return the units to transfer so that both sides cover the same fraction of their needs.

    Repeated between pairs of holders, this leads to shares in proportion to demand, whether or not
    the budget covers all demand. Amounts too small to matter are not transferred.
    """
    need = holding.needed_units(now_ms)
    if request.need <= 0:
        return 0
    balanced = (holding.units * request.need - request.held * need) // (need + request.need)
    shortfall = request.need - request.held
    units = min(balanced, shortfall, holding.free_units())
    return units if units * _MIN_TRANSFER_DIVISOR >= request.need else 0
