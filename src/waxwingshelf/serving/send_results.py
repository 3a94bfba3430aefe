"""Requests to send to targets, and how a send ended."""

from __future__ import annotations

from enum import StrEnum

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from waxwingshelf.serving.bodies import StreamedBody
from waxwingshelf.serving.response_buffer import UNKNOWN_USE, ConnectionUse, ResponseHold

__all__ = [
    "MIN_FAILURE_STATUS",
    "FailureKind",
    "OutgoingRequest",
    "SendFailure",
    "SendResult",
    "UpstreamResponse",
    "allow_send",
]

MIN_FAILURE_STATUS = 500


class FailureKind(StrEnum):
    """Why an attempt produced no response to forward.

    `UNCONFIRMED` is a status that tells the caller that its request did not run, from a target that
    does not confirm it; the caller would repeat a request that may have run.
    """

    NOT_CONNECTED = "not_connected"
    UNREACHABLE = "unreachable"
    WITHDRAWN = "withdrawn"
    SHED = "shed"
    WRONG_TARGET = "wrong_target"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    CROSSED = "crossed"
    UNSIGNED = "unsigned"
    UNCONFIRMED = "unconfirmed"
    TOO_LARGE = "too_large"

    @property
    def certainly_not_run(self) -> bool:
        """Return whether the request certainly did not run and never will."""
        return self in _NOT_RUN_KINDS

    @property
    def certainly_not_sent(self) -> bool:
        """Return whether no target has got any part of the request."""
        return self in _NOT_SENT_KINDS

    @property
    def may_be_due_to_links(self) -> bool:
        """Return whether the link to the target can be the cause, as no response was read."""
        return self in _LINK_KINDS


_NOT_SENT_KINDS = frozenset(
    {FailureKind.NOT_CONNECTED, FailureKind.UNREACHABLE, FailureKind.WITHDRAWN}
)
_LINK_KINDS = frozenset({FailureKind.NOT_CONNECTED, FailureKind.TIMEOUT, FailureKind.BROKEN})
_NOT_RUN_KINDS = _NOT_SENT_KINDS | {FailureKind.SHED, FailureKind.WRONG_TARGET}


class SendFailure(msgspec.Struct, frozen=True):
    """An attempt that produced no response to forward.

    `links_lost` is set if this instance reached no target then, so that the failure says nothing of
    this one.
    """

    kind: FailureKind
    target_id: str
    detail: str
    links_lost: bool = False


class UpstreamResponse(msgspec.Struct, frozen=True):
    """The complete response of a target, and the connection on which it came."""

    target_id: str
    status: int
    headers: CIMultiDictProxy[str]
    body: bytes
    use: ConnectionUse = UNKNOWN_USE

    @property
    def is_failure(self) -> bool:
        """Return whether the status is that of a failure at the target (500 or more)."""
        return self.status >= MIN_FAILURE_STATUS


SendResult = UpstreamResponse | SendFailure


def allow_send() -> bool:
    """Allow the send; the default permission."""
    return True


class OutgoingRequest(msgspec.Struct):
    """A request to send to a target; a streamed body can be sent only once.

    The target is told how much time remains until `deadline_ms`, a clock reading, at the send.
    `fingerprint` is the same for all copies of a request; it is empty until the body is known.
    `hold` takes over the bytes of the responses. `begun` is set once writing it to a target or a
    peer has begun in the last send.
    """

    method: str
    raw_path: str
    headers: CIMultiDict[str]
    body: bytes | StreamedBody | None
    request_id: str
    deadline_ms: int | None = None
    idempotent: bool = False
    fingerprint: str = ""
    hold: ResponseHold | None = None
    begun: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether the body can be sent again."""
        return self.body is None or isinstance(self.body, bytes)
