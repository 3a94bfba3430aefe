"""Messages between instances, encoded as MessagePack arrays."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

__all__ = [
    "Ack",
    "AddressedMessage",
    "Claim",
    "ClaimDone",
    "ClaimRelease",
    "ClaimRequest",
    "ClaimVote",
    "CutReport",
    "Digest",
    "DocumentPatch",
    "DocumentPull",
    "DocumentState",
    "Handover",
    "HandoverAck",
    "MemberRecord",
    "Message",
    "Ping",
    "PingRequest",
    "PingResult",
    "ShareHint",
    "ShareRequest",
    "ShareTransfer",
    "StoredResponse",
    "decode_message",
    "encode_message",
]


class Message(Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages between instances."""


class MemberRecord(Struct, frozen=True, array_like=True):
    """The state of a member, as spread by gossip.

    `incarnation` changes with each process and each replacement of a fenced member. A member
    increases its `state_version` to refute a record with a wrong state or to announce that it is
    stopping. `heir` is the identity to which a member that left handed over its claims, or empty.
    """

    name: str
    incarnation: int
    state_version: int
    state: str
    region: str
    failure_domain: str
    host: str
    port: int
    peer_port: int
    heir: str = ""
    stopping: bool = False


class ShareHint(Struct, frozen=True, array_like=True):
    """The units of a budget that the sender holds beyond its need."""

    budget: str
    units: int


class Digest(Struct, frozen=True, array_like=True):
    """State of the sender that is included in every ping and ack.

    `versions` are the sender's versions of the replicated documents, ordered by document id.
    `confirmed_age_ms` is the age in milliseconds of the latest read of the ledger from the
    key-value service that the sender knows of, made by itself or by another member, or -1 if it
    knows of none. `hints` lists budgets with units that the sender can spare.
    """

    versions: list[int]
    confirmed_age_ms: int
    member_records: list[MemberRecord] = []
    hints: list[ShareHint] = []


class Ping(Message, frozen=True, array_like=True, tag="p"):
    """Request an ack; the ack returns `sent_ms`, which is read from the sender's clock."""

    sent_ms: int
    digest: Digest


class Ack(Message, frozen=True, array_like=True, tag="a"):
    """Answer a ping; `echo_ms` is the `sent_ms` of the ping."""

    echo_ms: int
    digest: Digest


class PingRequest(Message, frozen=True, array_like=True, tag="q"):
    """Ask a member to ping the member `subject` on behalf of the sender."""

    subject: str


class PingResult(Message, frozen=True, array_like=True, tag="r"):
    """Report that the member `subject` answered an indirect ping."""

    subject: str
    incarnation: int


class DocumentPull(Message, frozen=True, array_like=True, tag="dp"):
    """Request all changes of a document after `version`."""

    document_id: int
    version: int


class DocumentPatch(Message, frozen=True, array_like=True, tag="dd"):
    """Transfer changes of a document as JSON patches (RFC 6902).

    Each patch is paired with the version that it produces; the first one applies to
    `base_version`.
    """

    document_id: int
    base_version: int
    patches: list[tuple[int, list[dict[str, Any]]]]


class DocumentState(Message, frozen=True, array_like=True, tag="ds"):
    """Transfer a whole document."""

    document_id: int
    version: int
    value: Any


class ShareRequest(Message, frozen=True, array_like=True, tag="sr"):
    """Request units of a budget; `held` and `need` are the units that the sender holds and needs.

    `waiting` is the number of requests at the sender that wait for a token.
    """

    budget: str
    generation: int
    held: int
    need: int
    waiting: int


class ShareTransfer(Message, frozen=True, array_like=True, tag="st"):
    """Transfer units that the sender has already withdrawn; zero units means it can spare none."""

    recipient: str
    cut: int
    budget: str
    generation: int
    units: int
    tokens: float


class CutReport(Message, frozen=True, array_like=True, tag="cr"):
    """Report the units held at a cut.

    `contacts` are identities that received units or acks from the reporter, or from a member that
    handed over to it, and that may be missing from the ledger. `departed` maps each identity whose
    handover is known to the reporter to the heir that accepted it.
    """

    number: int
    held: dict[str, int]
    contacts: list[str]
    departed: dict[str, str]


class Claim(Struct, frozen=True, array_like=True):
    """The claim of one attempt on a request id.

    `epoch` and `issued_s` are parsed from the id; `attempt` identifies the attempt uniquely.
    """

    organisation: str
    service: str
    request_id: str
    epoch: int
    issued_s: int
    fingerprint: bytes
    attempt: str


class StoredResponse(Struct, frozen=True, array_like=True):
    """A response that is stored to answer repeated requests."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimRequest(Message, frozen=True, array_like=True, tag="cq"):
    """Request a vote on a claim from a replica of its request id."""

    claim: Claim


class ClaimVote(Message, frozen=True, array_like=True, tag="cv"):
    """Vote on a claim; `answer` is the stored response if the first attempt is done."""

    attempt: str
    voter: str
    verdict: str
    answer: StoredResponse | None = None


class ClaimDone(Message, frozen=True, array_like=True, tag="cd"):
    """Tell a replica that the attempt is done.

    `answer` is its final response, or None if no response can be stored, for example because it is
    too large.
    """

    claim: Claim
    answer: StoredResponse | None


class ClaimRelease(Message, frozen=True, array_like=True, tag="cl"):
    """Tell a replica that the attempt certainly did not run and never will."""

    claim: Claim


class ClaimRecord(Struct, frozen=True, array_like=True):
    """The state of a claim at a replica."""

    claim: Claim
    done: bool = False
    answer: StoredResponse | None = None


class Handover(Message, frozen=True, array_like=True, tag="ho"):
    """Transfer all shares and claims to an heir before leaving.

    The heir accepts the handover only if `cut` equals its own cut number.
    """

    recipient: str
    cut: int
    transfers: list[ShareTransfer]
    records: list[ClaimRecord]
    contacts: list[str]
    departed: dict[str, str]


class HandoverAck(Message, frozen=True, array_like=True, tag="ha"):
    """Accept the handover of the leaving member `identity`, or refuse it permanently."""

    identity: str
    accepted: bool = True


class AddressedMessage(Struct, frozen=True):
    """A message and the name of its recipient."""

    recipient: str
    message: Message


__all__ += ["ClaimRecord"]

_AnyMessage = (
    Ping
    | Ack
    | PingRequest
    | PingResult
    | DocumentPull
    | DocumentPatch
    | DocumentState
    | ShareRequest
    | ShareTransfer
    | CutReport
    | ClaimRequest
    | ClaimVote
    | ClaimDone
    | ClaimRelease
    | Handover
    | HandoverAck
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(_AnyMessage)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a message; raise `msgspec.MsgspecError` if the data is not a valid message."""
    message: Message = _DECODER.decode(data)
    return message
