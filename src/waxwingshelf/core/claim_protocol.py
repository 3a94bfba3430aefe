"""The claim protocol between instances: ask replicas for votes, and vote as a replica."""

from __future__ import annotations

from collections.abc import Callable

from waxwingshelf.core.claims import (
    ClaimResult,
    ClaimState,
    ClaimTally,
    RequestId,
    choose_replicas,
    discard_oversized_response,
)
from waxwingshelf.core.dispatch import Sender, handles
from waxwingshelf.core.messages import (
    Claim,
    ClaimDone,
    ClaimRelease,
    ClaimRequest,
    ClaimVote,
    Message,
    StoredResponse,
)
from waxwingshelf.core.sharing import ShareExchange
from waxwingshelf.core.state import NodeState

__all__ = ["ClaimProtocol"]

ClaimListener = Callable[[str, ClaimResult], None]


class ClaimProtocol:
    """Claim ids for requests of this instance, and vote on ids as one of their replicas."""

    def __init__(self, state: NodeState, sharing: ShareExchange) -> None:
        self._state = state
        self._sharing = sharing
        self._open: dict[str, ClaimTally] = {}
        self._listener: ClaimListener = lambda attempt, result: None

    def set_listener(self, listener: ClaimListener) -> None:
        """Set the function that is called with each attempt and its final result."""
        self._listener = listener

    def start(self, claim: Claim, request_id: RequestId) -> bool:
        """Ask the replicas of an id for votes; return False if no replicas can be determined."""
        ledger = self._state.ledger
        if ledger is None or not ledger.can_list_holders_at(request_id.epoch):
            return False
        replicas = choose_replicas(ledger, request_id)
        if not replicas:
            return False
        tally = ClaimTally(claim, {replica: self._find_voter(replica) for replica in replicas})
        self._open[claim.attempt] = tally
        self._send_to_voters(tally, ClaimRequest(claim))
        return True

    def close(self, attempt: str) -> ClaimResult:
        """End the vote on an attempt that did not win in time, so that it can never win."""
        tally = self._open.get(attempt)
        if tally is None:
            return ClaimResult(ClaimState.UNAVAILABLE)
        result = tally.close()
        if result.state is ClaimState.UNAVAILABLE:
            self.release(attempt)
        return result

    def finish(self, attempt: str, response: StoredResponse | None) -> None:
        """Send the final response of an attempt that won to its replicas."""
        tally = self._open.pop(attempt, None)
        if tally is not None:
            kept = None if response is None else discard_oversized_response(response)
            self._send_to_voters(tally, ClaimDone(tally.claim, kept))

    def abandon(self, attempt: str) -> None:
        """Forget an attempt whose outcome is unknown; its id stays claimed."""
        self._open.pop(attempt, None)

    def release(self, attempt: str) -> None:
        """Free the id of an attempt that certainly did not run."""
        tally = self._open.pop(attempt, None)
        if tally is not None:
            self._send_to_voters(tally, ClaimRelease(tally.claim))

    @handles(ClaimRequest)
    def on_request(self, sender: Sender, request: ClaimRequest) -> None:
        """Vote as a replica, unless the claims were already offered to an heir."""
        if not self._sharing.leaving:
            self._state.send(sender.sender, self._vote(request.claim))

    @handles(ClaimVote)
    def on_vote(self, sender: Sender, vote: ClaimVote) -> None:
        """Count a vote if the voter itself sent it."""
        if vote.voter == sender.identity:
            self._count_vote(vote)

    @handles(ClaimDone)
    def on_done(self, sender: Sender, done: ClaimDone) -> None:
        """Store a response, or forward it to the heir if this instance has left."""
        if self._sharing.has_left():
            self._state.send(self._sharing.heir_identity.partition("#")[0], done)
        else:
            self._state.claims.finish(done.claim, done.answer)

    @handles(ClaimRelease)
    def on_release(self, sender: Sender, release: ClaimRelease) -> None:
        """Free an id, unless its claim was already offered to an heir."""
        if not self._sharing.leaving:
            self._state.claims.release(release.claim)

    def _vote(self, claim: Claim) -> ClaimVote:
        state = self._state
        id_life_ms = 0 if state.config is None else state.config.manifest.fleet.id_life_ms
        return state.claims.vote(claim, state.me.identity, id_life_ms, state.clock.wall_ms())

    def _count_vote(self, vote: ClaimVote) -> None:
        tally = self._open.get(vote.attempt)
        if tally is None or tally.result.state is not ClaimState.OPEN:
            return
        result = tally.add(vote)
        if result.state is ClaimState.OPEN:
            return
        if result.state is not ClaimState.WON:
            self.release(vote.attempt)
        self._listener(vote.attempt, result)

    def _find_voter(self, replica: str) -> str:
        state = self._state
        assert state.ledger is not None
        heir = state.ledger.find_heir(replica)
        heirs = state.membership.list_heirs()
        seen: set[str] = set()
        while heir not in seen:
            seen.add(heir)
            heir = heirs.get(heir, state.departed.get(heir, heir))
        return heir

    def _send_to_voters(self, tally: ClaimTally, message: Message) -> None:
        me = self._state.me
        for voter in tally.list_voters():
            if voter == me.identity:
                self._handle_locally(message)
            elif voter:
                self._state.send(voter.partition("#")[0], message)

    def _handle_locally(self, message: Message) -> None:
        claims = self._state.claims
        if self._sharing.leaving:
            return
        if isinstance(message, ClaimRequest):
            self._count_vote(self._vote(message.claim))
        elif isinstance(message, ClaimDone):
            claims.finish(message.claim, message.answer)
        elif isinstance(message, ClaimRelease):
            claims.release(message.claim)
