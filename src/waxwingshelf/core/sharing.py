"""Move shares to instances with demand, and hand over everything before leaving.

The heir of a leaving instance is the instance that takes over its shares and claims.
"""

from __future__ import annotations

from waxwingshelf.core.dispatch import Sender, handles
from waxwingshelf.core.messages import Handover, HandoverAck, ShareRequest, ShareTransfer
from waxwingshelf.core.state import NodeState

__all__ = ["ShareExchange"]

_MAX_REQUESTS_PER_PERIOD = 8


class ShareExchange:
    """Request and transfer units, and hand over all shares when this instance leaves."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._budget_index = 0
        self._pending: Handover | None = None
        self._heir = ""
        self._refusing_peers: set[str] = set()
        self.heir_identity = ""
        self.leaving = False

    def start_period(self) -> None:
        """Request units for a few budgets that are short, or resend an unacked handover."""
        if self.leaving:
            self._resend_handover()
            return
        budgets = list(self._state.shares)
        for _ in range(min(_MAX_REQUESTS_PER_PERIOD, len(budgets))):
            self._budget_index = (self._budget_index + 1) % len(budgets)
            self.request_units(budgets[self._budget_index])

    def request_units(self, budget: str) -> None:
        """Request units of a budget from peers if this instance needs more."""
        state = self._state
        if self.leaving or not state.can_use_shares():
            return
        peers = state.membership.list_alive()
        shortage = state.shares.find_shortage(budget, peers, state.clock.now_ms())
        if shortage is None:
            return
        for name in shortage.peers:
            state.send(name, shortage.request)

    def start_leaving(self) -> bool:
        """Withdraw all shares and offer them to an heir; return False if there is no heir."""
        if self.leaving:
            return True
        heir = self._choose_heir()
        if heir is None:
            return False
        self.leaving = True
        self._state.membership.announce_stop()
        self._offer(heir)
        return True

    def has_left(self) -> bool:
        """Return whether the heir has accepted the handover."""
        return bool(self.heir_identity)

    def discard_pending_shares(self) -> None:
        """Drop the shares of an unacked handover, because a cut counts them as missing."""
        if self._pending is not None:
            self._pending = Handover(
                self._pending.recipient,
                self._state.shares.cut,
                [],
                self._pending.records,
                self._pending.contacts,
                self._pending.departed,
            )

    @handles(ShareRequest)
    def on_request(self, sender: Sender, request: ShareRequest) -> None:
        """Send the units that can be spared, if this instance may use its shares."""
        state = self._state
        if self.leaving or state.is_fenced(sender.identity) or not state.can_use_shares():
            return
        transfer = state.shares.fulfil_request(request, sender.identity, state.clock.now_ms())
        state.send(sender.sender, transfer)

    @handles(ShareTransfer)
    def on_transfer(self, sender: Sender, transfer: ShareTransfer) -> None:
        """Accept a transfer unless this instance is leaving or either side is fenced."""
        state = self._state
        if not self.leaving and not state.fence.fenced and not state.is_fenced(sender.identity):
            state.shares.accept_transfer(transfer, sender.sender, state.clock.now_ms())

    @handles(Handover)
    def on_handover(self, sender: Sender, handover: Handover) -> None:
        """Take over everything from a leaving member once, or refuse its handover permanently."""
        state = self._state
        identity = sender.identity
        if handover.recipient != state.me.identity:
            return
        if identity not in state.departed:
            if self.leaving or identity in state.refused_handovers:
                state.refused_handovers.add(identity)
                state.send(sender.sender, HandoverAck(identity, accepted=False))
                return
            fenced = state.fence.fenced or state.is_fenced(identity)
            if fenced or handover.cut != state.shares.cut:
                return
            self._take_over(sender, handover)
        state.send(sender.sender, HandoverAck(identity))

    @handles(HandoverAck)
    def on_handover_ack(self, sender: Sender, ack: HandoverAck) -> None:
        """Finish leaving, or offer the handover to another heir after a refusal."""
        if self._pending is None or sender.identity != self._pending.recipient:
            return
        if ack.accepted:
            self._pending = None
            self.heir_identity = sender.identity
            self._state.membership.leave(sender.identity)
            return
        self._refusing_peers.add(sender.sender)
        heir = self._choose_heir()
        if heir is not None:
            self._offer(heir)

    def _take_over(self, sender: Sender, handover: Handover) -> None:
        state = self._state
        state.departed[sender.identity] = state.me.identity
        state.departed.update(handover.departed)
        state.shares.contacts.update(set(handover.contacts) - {state.me.identity})
        state.claims.merge(handover.records)
        for transfer in handover.transfers:
            state.shares.accept_transfer(transfer, sender.sender, state.clock.now_ms())

    def _choose_heir(self) -> str | None:
        state = self._state
        names = [name for name in state.membership.list_alive() if self._can_be_heir(name)]
        if not names:
            return None
        return min(names, key=self._heir_preference)

    def _can_be_heir(self, name: str) -> bool:
        record = self._state.membership.find(name)
        if record is None or record.stopping or name in self._refusing_peers:
            return False
        return not self._state.is_fenced(f"{name}#{record.incarnation}")

    def _heir_preference(self, name: str) -> tuple[bool, bool, str]:
        state = self._state
        record = state.membership.find(name)
        assert record is not None
        is_holder = state.is_holder(f"{name}#{record.incarnation}")
        return (not is_holder, record.region != state.me.region, name)

    def _offer(self, heir: str) -> None:
        state = self._state
        record = state.membership.find(heir)
        assert record is not None
        recipient = f"{heir}#{record.incarnation}"
        self._heir = heir
        self._pending = Handover(
            recipient,
            state.shares.cut,
            state.shares.withdraw_all(recipient, state.clock.now_ms()),
            state.claims.list_records(),
            sorted(state.shares.contacts),
            dict(state.departed),
        )
        state.send(heir, self._pending)

    def _resend_handover(self) -> None:
        """Resend the handover to the same heir: only a refusal shows that it was not accepted."""
        if self._pending is not None:
            self._state.send(self._heir, self._pending)
