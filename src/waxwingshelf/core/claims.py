"""Run a request at most once: a majority of fixed replicas must grant its id before it is sent.

A request id carries the ledger version at which it was issued, called its epoch. The epoch
determines the replicas permanently, so membership changes cannot produce two majorities without a
common replica. A replica that crashed has lost its votes and is not replaced; the heir of a replica
that left gracefully votes for it.
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

_REPLICA_COUNT = 3
_MAX_ID_LENGTH = 200
_MAX_STORED_BODY_BYTES = 65_536
_FUTURE_TOLERANCE_S = 60
_PURGE_INTERVAL_MS = 1_000
_MS_PER_S = 1_000
# Replaces the attempt in a record if two attempts hold its id; see `ClaimStore.merge`.
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
    """The state of a claim at the instance that makes it."""

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
    """A parsed request id; replicas in `region` are preferred."""

    text: str
    epoch: int
    region: str
    issued_s: int


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The state of a claim, with the stored response of the first attempt if it is done."""

    state: ClaimState
    answer: StoredResponse | None = None


def build_id_prefix(epoch: int, region: str, issued_s: int) -> str:
    """Build the prefix of a request id, to which the caller appends a text of its own."""
    return f"{epoch}.{region}.{issued_s}."


def parse_request_id(text: str) -> RequestId | None:
    """Parse a request id, or return None if it was not built from a valid prefix."""
    parts = text.split(".", 3)
    if len(parts) != 4 or not parts[3] or len(text) > _MAX_ID_LENGTH or not text.isascii():
        return None
    epoch, region, issued_s, _ = parts
    if not (epoch.isdigit() and issued_s.isdigit()):
        return None
    return RequestId(text, int(epoch), region, int(issued_s))


def choose_replicas(ledger: Ledger, request_id: RequestId) -> list[str]:
    """Choose the replicas of a request id by rendezvous hashing.

    The replicas are in distinct failure domains where possible. Subject to that, holders in the
    region of the id are preferred, then holders with a higher weight for the id.
    """
    holders = {holder.identity: holder for holder in ledger.list_holders_at(request_id.epoch)}
    ranked = rank(request_id.text, holders)
    ranked.sort(key=lambda identity: holders[identity].region != request_id.region)
    chosen: list[Holder] = []
    for require_new_domain in (True, False):
        for identity in ranked:
            holder = holders[identity]
            used_domains = {other.failure_domain for other in chosen}
            if len(chosen) == _REPLICA_COUNT or holder in chosen:
                continue
            if not require_new_domain or holder.failure_domain not in used_domains:
                chosen.append(holder)
    return [holder.identity for holder in chosen]


class ClaimStore:
    """The claims stored at one replica.

    A claim is purged only after its id has expired by this replica's own clock. From then on the
    replica refuses the id, so a late repeat never finds the id free.
    """

    def __init__(self) -> None:
        self._records: dict[tuple[str, str, str], ClaimRecord] = {}
        self._latest_wall_ms = 0
        self._purged_ms = 0

    def __len__(self) -> int:
        return len(self._records)

    def vote(self, claim: Claim, voter: str, id_life_ms: int, wall_ms: int) -> ClaimVote:
        """Vote on a claim.

        The first attempt that asks is granted the id. A repeat of a finished request gets the
        stored response.
        """
        wall_ms = self._advance_and_purge(wall_ms, id_life_ms)
        if _is_expired(claim, id_life_ms, wall_ms):
            return ClaimVote(claim.attempt, voter, Verdict.EXPIRED)
        record = self._records.setdefault(_key(claim), ClaimRecord(claim))
        verdict = _determine_verdict(record, claim)
        answer = record.answer if verdict is Verdict.DONE else None
        return ClaimVote(claim.attempt, voter, verdict, answer)

    def finish(self, claim: Claim, response: StoredResponse | None) -> None:
        """Store the final response of an attempt, unless another attempt holds the id.

        `response` is None if it is too large to store.
        """
        record = self._records.get(_key(claim))
        if record is not None and record.claim.attempt not in (claim.attempt, _CONTESTED):
            return
        self._records[_key(claim)] = ClaimRecord(claim, True, response)

    def release(self, claim: Claim) -> None:
        """Free the id of an attempt that certainly did not run."""
        record = self._records.get(_key(claim))
        if record is not None and record.claim.attempt == claim.attempt and not record.done:
            del self._records[_key(claim)]

    def list_records(self) -> list[ClaimRecord]:
        """Return all records, for a handover."""
        return list(self._records.values())

    def merge(self, records: Iterable[ClaimRecord]) -> None:
        """Add the records of a leaving replica; a finished record replaces an unfinished one.

        If two attempts hold the same id after the merge, neither attempt can release it, because a
        release by one attempt would also delete the vote for the other attempt.
        """
        for record in records:
            key = _key(record.claim)
            known = self._records.get(key)
            if known is None or (record.done and not known.done):
                self._records[key] = record
            elif not known.done and known.claim.attempt != record.claim.attempt:
                contested = replace(known.claim, attempt=_CONTESTED)
                self._records[key] = ClaimRecord(contested)

    def _advance_and_purge(self, wall_ms: int, id_life_ms: int) -> int:
        self._latest_wall_ms = max(self._latest_wall_ms, wall_ms)
        now_ms = self._latest_wall_ms
        if now_ms - self._purged_ms >= _PURGE_INTERVAL_MS:
            self._purged_ms = now_ms
            records = self._records.items()
            expired = [k for k, r in records if _is_expired(r.claim, id_life_ms, now_ms)]
            for key in expired:
                del self._records[key]
        return now_ms


class ClaimTally:
    """Count the votes on one attempt.

    `voters` maps the identity of each replica to the identity that votes for it now; an heir of
    two replicas votes for both.
    """

    def __init__(self, claim: Claim, voters: dict[str, str]) -> None:
        self.claim = claim
        self._voters = voters
        self._votes: dict[str, ClaimVote] = {}
        self.result = ClaimResult(ClaimState.OPEN)

    @property
    def majority(self) -> int:
        """Return how many replicas must grant the claim."""
        return len(self._voters) // 2 + 1

    def list_voters(self) -> list[str]:
        """Return the identities to ask for a vote, each once."""
        return sorted(set(self._voters.values()))

    def add(self, vote: ClaimVote) -> ClaimResult:
        """Count a vote and return the result; a result that is not open is final."""
        if self.result.state is not ClaimState.OPEN:
            return self.result
        self._votes[vote.voter] = vote
        self.result = self._determine_result(vote)
        return self.result

    def close(self) -> ClaimResult:
        """End an open count without a majority, so that the attempt can never win."""
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
        votes = (self._votes.get(voter) for voter in self._voters.values())
        return sum(1 for vote in votes if vote is not None and vote.verdict == verdict)


_FINAL_STATES: dict[str, ClaimState] = {
    Verdict.DONE: ClaimState.DONE,
    Verdict.NOT_KEPT: ClaimState.NOT_KEPT,
    Verdict.REUSED: ClaimState.REUSED,
    Verdict.EXPIRED: ClaimState.EXPIRED,
}


def discard_oversized_response(response: StoredResponse) -> StoredResponse | None:
    """Return the response, or None if its body is too large to store."""
    return response if len(response.body) <= _MAX_STORED_BODY_BYTES else None


__all__ += ["discard_oversized_response"]


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
