"""One member of the fleet: its protocols and their shared state, without I/O."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from waxwingshelf.core.claim_protocol import ClaimProtocol
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.dispatch import Sender, collect_handlers
from waxwingshelf.core.gossip import Gossip
from waxwingshelf.core.holding import Holding
from waxwingshelf.core.ledger import Holder, Ledger
from waxwingshelf.core.messages import AddressedMessage, Message, ShareTransfer
from waxwingshelf.core.recovery import Recovery
from waxwingshelf.core.sharing import ShareExchange
from waxwingshelf.core.state import LEDGER_DOCUMENT, MANIFEST_DOCUMENT, MemberOptions, NodeState

__all__ = ["Member"]


class Member:
    """Run the protocols of one incarnation of an instance.

    Inputs are messages, half-period ticks and documents read from the key-value service; the
    output is the messages to send.
    """

    def __init__(self, me: Holder, options: MemberOptions, clock: Clock, seed: int) -> None:
        self.state = NodeState(me, options, clock, seed)
        self.gossip = Gossip(self.state)
        self.sharing = ShareExchange(self.state)
        self.recovery = Recovery(self.state, self.sharing)
        self.claims = ClaimProtocol(self.state, self.sharing)
        self._handlers = collect_handlers(self.gossip, self.sharing, self.recovery, self.claims)
        self._in_first_half = False

    def handle(self, sender: Sender, message: Message) -> None:
        """Handle a message from an authenticated sender."""
        version = self.state.documents[LEDGER_DOCUMENT].version
        self._handlers[type(message)](sender, message)
        self._apply_ledger_if_changed(version)

    def tick(self) -> None:
        """Run the periodic work of half a gossip period."""
        self._in_first_half = not self._in_first_half
        if not self._in_first_half:
            self.gossip.request_indirect_pings()
            return
        self.gossip.start_period()
        self.sharing.start_period()
        self.recovery.start_period()

    def take_outbox(self) -> list[AddressedMessage]:
        """Return the queued messages and empty the queue."""
        return self.state.take_outbox()

    def revert_unsent(self, message: Message) -> None:
        """Restore the units of a share transfer that was certainly not sent."""
        if isinstance(message, ShareTransfer):
            self.state.shares.revert_transfer(message, self.state.clock.now_ms())

    def observe_manifest(self, version: int, value: Any) -> None:
        """Apply a manifest read from the key-value service."""
        self._replace_document(MANIFEST_DOCUMENT, version, value)

    def observe_ledger(self, version: int, value: Any, read_ms: int) -> None:
        """Apply a ledger from a read of the key-value service that started at `read_ms`."""
        previous_version = self.state.documents[LEDGER_DOCUMENT].version
        if self._replace_document(LEDGER_DOCUMENT, version, value):
            self._apply_ledger_if_changed(previous_version)
        if version >= self.state.documents[LEDGER_DOCUMENT].version:
            self.state.fence.record_confirmation(read_ms)
            if self.state.is_holder(self.state.me.identity):
                self.state.fence.record_contact(read_ms)

    def plan_ledger(self, ledger: Ledger | None, wanted_budgets: set[str] | None) -> Ledger | None:
        """Return the ledger that should follow the one just read, or None for no change."""
        return self.recovery.plan_ledger(ledger, wanted_budgets)

    def take(self, budget: str) -> Holding | None:
        """Acquire one token or slot from the local share of a budget.

        Return the holding that it came from, or None when none is available. The caller must
        release a slot by calling `release` on the returned holding.
        """
        return self._acquire(budget, 0)

    def take_or_wait(self, budget: str) -> Holding | None:
        """Acquire one token like `take`.

        When None is returned, the request counts as waiting until `stop_waiting` is called.
        """
        return self._acquire(budget, 1)

    def take_again(self, budget: str) -> Holding | None:
        """Try again to acquire a token for a waiting request; ask peers for units if that fails."""
        holding = self.state.shares.find_holding(budget)
        if holding is None or not self.state.can_use_shares():
            return None
        acquired = holding.retry_acquire(self.state.clock.now_ms())
        if not acquired:
            self.sharing.request_units(budget)
        return holding if acquired else None

    def stop_waiting(self, budget: str) -> None:
        """Stop counting one request as waiting, whether or not it got a token."""
        self.state.shares.adjust_waiting(budget, -1)

    def _acquire(self, budget: str, waiting: int) -> Holding | None:
        holding = self.state.shares.find_holding(budget)
        if holding is None or not self.state.can_use_shares():
            return None
        acquired = holding.try_acquire(self.state.clock.now_ms())
        if not acquired:
            self.state.shares.adjust_waiting(budget, waiting)
        self.sharing.request_units(budget)
        return holding if acquired else None

    def is_fenced(self) -> bool:
        """Return whether this incarnation was fenced, so that a new one must replace it."""
        return self.state.fence.fenced

    def build_next_incarnation(self, incarnation: int, seed: int) -> Member:
        """Return a new incarnation of this member that holds no shares.

        It starts with the documents and the live members known to this incarnation.
        """
        me = replace(self.state.me, incarnation=incarnation, joined=0)
        member = Member(me, self.state.options, self.state.clock, seed)
        for old, new in zip(self.state.documents, member.state.documents, strict=True):
            if old.value is not None:
                new.replace(old.version, old.value)
        if self.state.config is not None:
            member.state.apply_config()
        if self.state.ledger is not None and member.state.apply_ledger():
            member.recovery.apply_ledger()
        for name in self.state.membership.list_alive():
            record = self.state.membership.find(name)
            if record is not None:
                member.state.membership.apply_record(record, self.state.clock.now_ms())
        return member

    def _replace_document(self, document_id: int, version: int, value: Any) -> bool:
        previous_version = self.state.documents[document_id].version
        if not self.state.replace_document(document_id, version, value):
            return False
        self.gossip.apply_and_push(document_id, previous_version)
        return True

    def _apply_ledger_if_changed(self, previous_version: int) -> None:
        if self.state.documents[LEDGER_DOCUMENT].version != previous_version:
            self.recovery.apply_ledger()
