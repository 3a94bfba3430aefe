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
    "DocumentSnapshot",
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
    """Be one of the messages below."""


class MemberRecord(Struct, frozen=True, array_like=True):
    """What is said of a member.

    `incarnation` changes with each process; a process raises `beat` to refute a rumour of its
    death or to say that it is stopping. `heir` is the identity that a member which left handed
    its claims to.
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
    """Units of a budget that the sender holds beyond its need."""

    budget: str
    units: int


class Digest(Struct, frozen=True, array_like=True):
    """What rides along with every ping and ack.

    `versions` are the sender's versions of the replicated documents, in their fixed order.
    `confirmed_age_ms` is the time since the key-value service confirmed them, directly or through
    others, or -1 when it never did.
    """

    versions: list[int]
    confirmed_age_ms: int
    member_records: list[MemberRecord] = []
    hints: list[ShareHint] = []


class Ping(Message, frozen=True, array_like=True, tag="p"):
    """Ask a member for an ack; `sent_ms` is the sender's clock and comes back in the ack."""

    sent_ms: int
    digest: Digest


class Ack(Message, frozen=True, array_like=True, tag="a"):
    """Answer a ping."""

    echo_ms: int
    digest: Digest


class PingRequest(Message, frozen=True, array_like=True, tag="q"):
    """Ask a member to ping another on the sender's behalf."""

    subject: str


class PingResult(Message, frozen=True, array_like=True, tag="r"):
    """Tell that a member answered an indirect ping."""

    subject: str
    incarnation: int


class DocumentPull(Message, frozen=True, array_like=True, tag="dp"):
    """Ask for all changes of a document after a version."""

    document: int
    version: int


class DocumentPatch(Message, frozen=True, array_like=True, tag="dd"):
    """Carry JSON patches (RFC 6902) that lead from `base` one version at a time."""

    document: int
    base_version: int
    patches: list[tuple[int, list[dict[str, Any]]]]


class DocumentSnapshot(Message, frozen=True, array_like=True, tag="ds"):
    """Carry a whole document."""

    document: int
    version: int
    value: Any


class ShareRequest(Message, frozen=True, array_like=True, tag="sr"):
    """Ask for units of a budget, by the units held and needed.

    `waiting` requests wait for a token each.
    """

    budget: str
    generation: int
    held: int
    need: int
    waiting: int


class ShareTransfer(Message, frozen=True, array_like=True, tag="st"):
    """Hand over units that the sender has written off; zero units say that none can be spared."""

    recipient: str
    cut: int
    budget: str
    generation: int
    units: int
    tokens: float


class CutReport(Message, frozen=True, array_like=True, tag="cr"):
    """Report the holdings as of a cut.

    `met` are identities that received units and are not in the ledger; `departed` maps identities
    that handed over to the reporter to the reporter's identity.
    """

    number: int
    held: dict[str, int]
    contacts: list[str]
    departed: dict[str, str]


class Claim(Struct, frozen=True, array_like=True):
    """The claim of one request id by one attempt.

    `epoch` and `issued_s` come from the id; `attempt` is unique to the attempt.
    """

    organisation: str
    service: str
    request_id: str
    epoch: int
    issued_s: int
    fingerprint: bytes
    attempt: str


class StoredResponse(Struct, frozen=True, array_like=True):
    """A kept answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimRequest(Message, frozen=True, array_like=True, tag="cq"):
    """Ask a replica of the request id for its vote."""

    claim: Claim


class ClaimVote(Message, frozen=True, array_like=True, tag="cv"):
    """Give a vote; `answer` is there when the first attempt is done."""

    attempt: str
    voter: str
    verdict: str
    answer: StoredResponse | None = None


class ClaimDone(Message, frozen=True, array_like=True, tag="cd"):
    """Tell a replica that the attempt has its final answer; None when it was too large to keep."""

    claim: Claim
    answer: StoredResponse | None


class ClaimRelease(Message, frozen=True, array_like=True, tag="cl"):
    """Tell a replica that the attempt certainly did not run and never will."""

    claim: Claim


class ClaimRecord(Struct, frozen=True, array_like=True):
    """What a replica keeps of a claim."""

    claim: Claim
    done: bool = False
    answer: StoredResponse | None = None


class Handover(Message, frozen=True, array_like=True, tag="ho"):
    """Hand everything to an heir before leaving.

    `cut` must be the heir's, or the shares are not accepted.
    """

    recipient: str
    cut: int
    transfers: list[ShareTransfer]
    records: list[ClaimRecord]
    contacts: list[str]
    departed: dict[str, str]


class HandoverAck(Message, frozen=True, array_like=True, tag="ha"):
    """Confirm a handover, or refuse it for good."""

    identity: str
    accepted: bool = True


class AddressedMessage(Struct, frozen=True):
    """A message and the name of the member it goes to."""

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
    | DocumentSnapshot
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
    """Decode a message; `msgspec.MsgspecError` when the bytes are no message."""
    message: Message = _DECODER.decode(data)
    return message
