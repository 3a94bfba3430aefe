"""One member of the fleet: its protocols over one state, without sockets or an event loop."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from waxwingshelf.core.claimdesk import ClaimDesk
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
    """Take in messages, periods and reads of the key-value service; give out messages."""

    def __init__(self, me: Holder, options: MemberOptions, clock: Clock, seed: int) -> None:
        self.state = NodeState(me, options, clock, seed)
        self.gossip = Gossip(self.state)
        self.sharing = ShareExchange(self.state)
        self.recovery = Recovery(self.state, self.sharing)
        self.claims = ClaimDesk(self.state, self.sharing)
        self._handlers = collect_handlers(self.gossip, self.sharing, self.recovery, self.claims)
        self._half = False

    def handle(self, sender: Sender, message: Message) -> None:
        """Handle a message from a proven sender."""
        version = self.state.documents[LEDGER_DOCUMENT].version
        self._handlers[type(message)](sender, message)
        self._follow(version)

    def tick(self) -> None:
        """Do the work of half a period."""
        self._half = not self._half
        if not self._half:
            self.gossip.request_indirect_pings()
            return
        self.gossip.start_period()
        self.sharing.start_period()
        self.recovery.start_period()

    def take_outbox(self) -> list[AddressedMessage]:
        """Take the messages to send."""
        return self.state.take_outbox()

    def revert_unsent(self, message: Message) -> None:
        """Undo what a message carried that was certainly not sent."""
        if isinstance(message, ShareTransfer):
            self.state.shares.revert_transfer(message, self.state.clock.now_ms())

    def observe_manifest(self, version: int, value: Any) -> None:
        """Take in the manifest as read from the key-value service."""
        self._observe(MANIFEST_DOCUMENT, version, value)

    def observe_ledger(self, version: int, value: Any, read_ms: int) -> None:
        """Take in the ledger as read from the key-value service by a read begun at `read_ms`."""
        known = self.state.documents[LEDGER_DOCUMENT].version
        if self._observe(LEDGER_DOCUMENT, version, value):
            self._follow(known)
        if version >= self.state.documents[LEDGER_DOCUMENT].version:
            self.state.fence.record_confirmation(read_ms)
            if self.state.is_holder(self.state.me.identity):
                self.state.fence.record_contact(read_ms)

    def plan_ledger(self, ledger: Ledger | None, wanted_budgets: set[str] | None) -> Ledger | None:
        """Plan the ledger that should follow the one just read, or None."""
        return self.recovery.plan_ledger(ledger, wanted_budgets)

    def take(self, budget: str) -> Holding | None:
        """Use one token or place of a budget here; None when there is none to use.

        The caller gives a place back to the holding that it got.
        """
        return self._take(budget, 0)

    def take_or_wait(self, budget: str) -> Holding | None:
        """Use one token; None counts the request as waiting until `stop_waiting`."""
        return self._take(budget, 1)

    def take_again(self, budget: str) -> Holding | None:
        """Use one token for a request that waits, and ask on when there is none."""
        holding = self.state.shares.find_holding(budget)
        if holding is None or not self.state.can_use_shares():
            return None
        taken = holding.retry_acquire(self.state.clock.now_ms())
        if not taken:
            self.sharing.request_units(budget)
        return holding if taken else None

    def stop_waiting(self, budget: str) -> None:
        """End the wait of one request, served or not."""
        self.state.shares.adjust_waiting(budget, -1)

    def _take(self, budget: str, waiting: int) -> Holding | None:
        holding = self.state.shares.find_holding(budget)
        if holding is None or not self.state.can_use_shares():
            return None
        taken = holding.try_acquire(self.state.clock.now_ms())
        if not taken:
            self.state.shares.adjust_waiting(budget, waiting)
        self.sharing.request_units(budget)
        return holding if taken else None

    def is_fenced(self) -> bool:
        """Tell whether this incarnation was fenced and a new one has to take its place."""
        return self.state.fence.fenced

    def build_next_incarnation(self, incarnation: int, seed: int) -> Member:
        """Build the next incarnation, which knows what this one knew and holds nothing."""
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

    def _observe(self, number: int, version: int, value: Any) -> bool:
        since = self.state.documents[number].version
        if not self.state.replace_document(number, version, value):
            return False
        self.gossip.apply_and_push(number, since)
        return True

    def _follow(self, since: int) -> None:
        if self.state.documents[LEDGER_DOCUMENT].version != since:
            self.recovery.apply_ledger()
