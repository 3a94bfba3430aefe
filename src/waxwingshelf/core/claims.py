"""At most once: a request id is claimed by a majority of fixed replicas before it is sent.

A request id carries the ledger version at which it was issued. That version names the replicas
for good, so no change of members can make two majorities that do not meet. A replica that crashed
has lost its votes and is not replaced; one that left in order is answered for by its heir.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from msgspec.structs import replace

from waxwingshelf.core.ledger import Holder, Ledger
from waxwingshelf.core.messages import Claim, ClaimRecord, ClaimVote, StoredResponse
from waxwingshelf.core.rendezvous import rank

__all__ = [
    "ClaimResult",
    "ClaimState",
    "ClaimStore",
    "ClaimTally",
    "RequestId",
    "Verdict",
    "build_id_prefix",
    "choose_replicas",
    "parse_request_id",
]

_REPLICAS = 3
_MAX_ID_LENGTH = 200
_MAX_ANSWER_BYTES = 65_536
_FUTURE_TOLERANCE_S = 60
_PURGE_EVERY_MS = 1_000
_MS_PER_S = 1_000
_CONTESTED = ""


class Verdict(StrEnum):
    """A replica's vote on a claim."""

    GRANTED = "granted"
    HELD = "held"
    DONE = "done"
    NOT_KEPT = "not_kept"
    REUSED = "reused"
    EXPIRED = "expired"


class ClaimState(StrEnum):
    """How a claim stands at the instance that makes it."""

    OPEN = "open"
    WON = "won"
    LOST = "lost"
    UNAVAILABLE = "unavailable"
    DONE = "done"
    NOT_KEPT = "not_kept"
    REUSED = "reused"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class RequestId:
    """A parsed id; `region` is where its replicas are preferred."""

    text: str
    epoch: int
    region: str
    issued_s: int


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The final state of a claim, with the first answer when it is done."""

    state: ClaimState
    answer: StoredResponse | None = None


def build_id_prefix(epoch: int, region: str, issued_s: int) -> str:
    """Build the prefix to which a caller adds a text of its own."""
    return f"{epoch}.{region}.{issued_s}."


def parse_request_id(text: str) -> RequestId | None:
    """Parse an id that was built from a prefix; None when it was not."""
    parts = text.split(".", 3)
    if len(parts) != 4 or not parts[3] or len(text) > _MAX_ID_LENGTH or not text.isascii():
        return None
    epoch, region, issued_s, _ = parts
    if not (epoch.isdigit() and issued_s.isdigit()):
        return None
    return RequestId(text, int(epoch), region, int(issued_s))


def choose_replicas(ledger: Ledger, request_id: RequestId) -> list[str]:
    """Choose the replicas of an id: in its region first, then in other failure domains first."""
    roster = {holder.identity: holder for holder in ledger.list_holders_at(request_id.epoch)}
    ranked = rank(request_id.text, roster)
    ranked.sort(key=lambda identity: roster[identity].region != request_id.region)
    chosen: list[Holder] = []
    for spread_out in (True, False):
        for identity in ranked:
            holder = roster[identity]
            taken = {other.failure_domain for other in chosen}
            if len(chosen) == _REPLICAS or holder in chosen:
                continue
            if not spread_out or holder.failure_domain not in taken:
                chosen.append(holder)
    return [holder.identity for holder in chosen]


class ClaimStore:
    """The claims that one replica remembers.

    A claim is forgotten only when its id has expired by this replica's own clock, after which the
    replica refuses the id, so a late repeat never finds it free.
    """

    def __init__(self) -> None:
        self._records: dict[tuple[str, str, str], ClaimRecord] = {}
        self._latest_wall_ms = 0
        self._purged_ms = 0

    def __len__(self) -> int:
        return len(self._records)

    def vote(self, claim: Claim, voter: str, id_life_ms: int, wall_ms: int) -> ClaimVote:
        """Vote on a claim; the first attempt to ask gets the id, a repeat the kept answer."""
        wall_ms = self._advance(wall_ms, id_life_ms)
        if _is_expired(claim, id_life_ms, wall_ms):
            return ClaimVote(claim.attempt, voter, Verdict.EXPIRED)
        record = self._records.setdefault(_key(claim), ClaimRecord(claim))
        verdict = _determine_verdict(record, claim)
        answer = record.answer if verdict is Verdict.DONE else None
        return ClaimVote(claim.attempt, voter, verdict, answer)

    def finish(self, claim: Claim, answer: StoredResponse | None) -> None:
        """Keep the final answer of the attempt that holds the id."""
        record = self._records.get(_key(claim))
        if record is not None and record.claim.attempt not in (claim.attempt, _CONTESTED):
            return
        self._records[_key(claim)] = ClaimRecord(claim, True, answer)

    def release(self, claim: Claim) -> None:
        """Forget an attempt that certainly did not run."""
        record = self._records.get(_key(claim))
        if record is not None and record.claim.attempt == claim.attempt and not record.done:
            del self._records[_key(claim)]

    def list_records(self) -> list[ClaimRecord]:
        """List all records, for a handover."""
        return list(self._records.values())

    def merge(self, records: Iterable[ClaimRecord]) -> None:
        """Take over the records of a replica that leaves; what is done wins.

        An id that two attempts hold here after the merge stays held: if one of them let go, the
        other's vote would be forgotten.
        """
        for record in records:
            key = _key(record.claim)
            known = self._records.get(key)
            if known is None or (record.done and not known.done):
                self._records[key] = record
            elif not known.done and known.claim.attempt != record.claim.attempt:
                contested = replace(known.claim, attempt=_CONTESTED)
                self._records[key] = ClaimRecord(contested)

    def _advance(self, wall_ms: int, id_life_ms: int) -> int:
        self._latest_wall_ms = max(self._latest_wall_ms, wall_ms)
        now_ms = self._latest_wall_ms
        if now_ms - self._purged_ms >= _PURGE_EVERY_MS:
            self._purged_ms = now_ms
            records = self._records.items()
            expired = [k for k, r in records if _is_expired(r.claim, id_life_ms, now_ms)]
            for key in expired:
                del self._records[key]
        return now_ms


class ClaimTally:
    """Count the votes on one attempt.

    `replicas` are identities as chosen, and `voters` maps each to the identity that answers for
    it now; an heir of two replicas votes for both.
    """

    def __init__(self, claim: Claim, voters: dict[str, str]) -> None:
        self.claim = claim
        self._voters = voters
        self._verdicts: dict[str, ClaimVote] = {}
        self.result = ClaimResult(ClaimState.OPEN)

    @property
    def majority(self) -> int:
        """Return how many replicas must grant the claim."""
        return len(self._voters) // 2 + 1

    def list_voters(self) -> list[str]:
        """List the identities to ask, each once."""
        return sorted(set(self._voters.values()))

    def add(self, vote: ClaimVote) -> ClaimResult:
        """Count a vote; once the result is not open it stays."""
        if self.result.state is not ClaimState.OPEN:
            return self.result
        self._verdicts[vote.voter] = vote
        self.result = self._determine_result(vote)
        return self.result

    def close(self) -> ClaimResult:
        """End the count without a majority: from now on the attempt can never win."""
        if self.result.state is ClaimState.OPEN:
            self.result = ClaimResult(ClaimState.UNAVAILABLE)
        return self.result

    def _determine_result(self, vote: ClaimVote) -> ClaimResult:
        if vote.verdict in _FINAL_STATES:
            return ClaimResult(_FINAL_STATES[vote.verdict], vote.answer)
        if self._count(Verdict.GRANTED) >= self.majority:
            return ClaimResult(ClaimState.WON)
        if self._count(Verdict.HELD) > len(self._voters) - self.majority:
            return ClaimResult(ClaimState.LOST)
        return self.result

    def _count(self, verdict: Verdict) -> int:
        votes = (self._verdicts.get(voter) for voter in self._voters.values())
        return sum(1 for vote in votes if vote is not None and vote.verdict == verdict)


_FINAL_STATES: dict[str, ClaimState] = {
    Verdict.DONE: ClaimState.DONE,
    Verdict.NOT_KEPT: ClaimState.NOT_KEPT,
    Verdict.REUSED: ClaimState.REUSED,
    Verdict.EXPIRED: ClaimState.EXPIRED,
}


def discard_oversized_answer(answer: StoredResponse) -> StoredResponse | None:
    """Return the answer, or None when it is too large to keep."""
    return answer if len(answer.body) <= _MAX_ANSWER_BYTES else None


__all__ += ["discard_oversized_answer"]


def _key(claim: Claim) -> tuple[str, str, str]:
    return (claim.organisation, claim.service, claim.request_id)


def _determine_verdict(record: ClaimRecord, claim: Claim) -> Verdict:
    if record.claim.fingerprint != claim.fingerprint:
        return Verdict.REUSED
    if record.done:
        return Verdict.NOT_KEPT if record.answer is None else Verdict.DONE
    if record.claim.attempt == claim.attempt:
        return Verdict.GRANTED
    return Verdict.HELD


def _is_expired(claim: Claim, id_life_ms: int, wall_ms: int) -> bool:
    issued_ms = claim.issued_s * _MS_PER_S
    if issued_ms > wall_ms + _FUTURE_TOLERANCE_S * _MS_PER_S:
        return True
    return wall_ms > issued_ms + id_life_ms
