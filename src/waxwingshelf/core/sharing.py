"""Move shares to where the demand is, and hand everything over before leaving."""

from __future__ import annotations

from waxwingshelf.core.dispatch import Sender, handles
from waxwingshelf.core.messages import Handover, HandoverAck, ShareRequest, ShareTransfer
from waxwingshelf.core.state import NodeState

__all__ = ["Sharing"]

_REQUESTS_PER_PERIOD = 8
_REPEATS_PER_HEIR = 6


class Sharing:
    """Ask for, give and hand over shares."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._turn = 0
        self._pending: Handover | None = None
        self._heir = ""
        self._refusers: set[str] = set()
        self._repeats = 0
        self.heir_identity = ""
        self.leaving = False

    def start_period(self) -> None:
        """Ask for what is short, a few budgets a period, and repeat an unacked handover."""
        if self.leaving:
            self._repeat_handover()
            return
        budgets = list(self._state.shares)
        for _ in range(min(_REQUESTS_PER_PERIOD, len(budgets))):
            self._turn = (self._turn + 1) % len(budgets)
            self.ask_for(budgets[self._turn])

    def ask_for(self, budget: str) -> None:
        """Ask peers for a budget when it is short here."""
        state = self._state
        if self.leaving or not state.may_use_shares():
            return
        peers = state.membership.list_alive()
        shortage = state.shares.find_shortage(budget, peers, state.clock.now_ms())
        if shortage is None:
            return
        for name in shortage.peers:
            state.send(name, shortage.request)

    def start_leaving(self) -> bool:
        """Write off everything and offer it to an heir; False when there is none."""
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
        """Tell whether the heir has confirmed."""
        return bool(self.heir_identity)

    def void_pending(self) -> None:
        """Drop the shares of an unacked handover, because a cut counts them as missing."""
        if self._pending is not None:
            self._pending = Handover(
                self._pending.recipient,
                self._state.shares.cut,
                [],
                self._pending.records,
                self._pending.met,
                self._pending.departed,
            )

    @handles(ShareRequest)
    def on_request(self, sender: Sender, request: ShareRequest) -> None:
        """Give what can be spared, as long as the shares here may be used at all."""
        state = self._state
        if self.leaving or state.is_fenced(sender.identity) or not state.may_use_shares():
            return
        transfer = state.shares.grant(request, sender.identity, state.clock.now_ms())
        state.send(sender.sender, transfer)

    @handles(ShareTransfer)
    def on_transfer(self, sender: Sender, transfer: ShareTransfer) -> None:
        """Take in units, unless their sender was fenced."""
        state = self._state
        if not self.leaving and not state.fence.fenced and not state.is_fenced(sender.identity):
            state.shares.accept(transfer, sender.sender, state.clock.now_ms())

    @handles(Handover)
    def on_handover(self, sender: Sender, handover: Handover) -> None:
        """Take over everything of a member that leaves, once."""
        state = self._state
        stale = handover.recipient != state.me.identity or handover.cut != state.shares.cut
        if stale or self.leaving or state.fence.fenced or state.is_fenced(sender.identity):
            return
        if sender.identity not in state.departed:
            state.departed[sender.identity] = state.me.identity
            state.departed.update(handover.departed)
            state.shares.met.update(set(handover.met) - {state.me.identity})
            state.claims.merge(handover.records)
            for transfer in handover.transfers:
                state.shares.accept(transfer, sender.sender, state.clock.now_ms())
        state.send(sender.sender, HandoverAck(sender.identity))

    @handles(HandoverAck)
    def on_handover_ack(self, sender: Sender, ack: HandoverAck) -> None:
        """Finish leaving."""
        if self._pending is not None and sender.identity == self._pending.recipient:
            self._pending = None
            self.heir_identity = sender.identity
            self._state.membership.leave(sender.identity)

    def _choose_heir(self) -> str | None:
        state = self._state
        names = [name for name in state.membership.list_alive() if self._is_fit(name)]
        if not names:
            return None
        return min(names, key=self._rank_heir)

    def _is_fit(self, name: str) -> bool:
        rumour = self._state.membership.find(name)
        if rumour is None or rumour.stopping or name in self._refusers:
            return False
        return not self._state.is_fenced(f"{name}#{rumour.incarnation}")

    def _rank_heir(self, name: str) -> tuple[bool, bool, str]:
        state = self._state
        rumour = state.membership.find(name)
        assert rumour is not None
        holder = state.is_holder(f"{name}#{rumour.incarnation}")
        return (not holder, rumour.region != state.me.region, name)

    def _offer(self, heir: str) -> None:
        state = self._state
        rumour = state.membership.find(heir)
        assert rumour is not None
        recipient = f"{heir}#{rumour.incarnation}"
        self._heir = heir
        self._pending = Handover(
            recipient,
            state.shares.cut,
            state.shares.give_all(recipient, state.clock.now_ms()),
            state.claims.list_records(),
            sorted(state.shares.met),
            dict(state.departed),
        )
        state.send(heir, self._pending)

    def _repeat_handover(self) -> None:
        """Offer again, and after some repeats to another heir.

        The shares go with the first offer only: nobody can tell whether it was accepted.
        """
        if self._pending is None:
            return
        self._repeats += 1
        if self._repeats % _REPEATS_PER_HEIR and self._heir in self._state.membership.list_alive():
            self._state.send(self._heir, self._pending)
            return
        self._refusers.add(self._heir)
        heir = self._choose_heir()
        if heir is not None:
            self._offer(heir)
