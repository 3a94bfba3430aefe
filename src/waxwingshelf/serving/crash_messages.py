"""Datagrams between instances about requests that crash targets."""

from __future__ import annotations

import msgspec

from waxwingshelf.steering.quarantine import Quarantine

__all__ = [
    "ANSWER_TYPE",
    "CRASH_TYPE",
    "QUARANTINE_TYPE",
    "SUSPECT_TYPE",
    "AnswerMessage",
    "CrashMessage",
    "QuarantineMessage",
    "SuspectMessage",
    "decode_answer",
    "decode_crash",
    "decode_quarantine_message",
    "decode_suspect",
    "encode_answer",
    "encode_crash",
    "encode_quarantine_message",
    "encode_suspect",
]

# The first byte of a datagram, beside those of `peer_messages`.
CRASH_TYPE = b"x"
ANSWER_TYPE = b"a"
QUARANTINE_TYPE = b"q"
SUSPECT_TYPE = b"s"


class CrashMessage(msgspec.Struct, array_like=True):
    """The end of a run of a target, and the requests that its sender lost with it."""

    target_run: str
    fingerprints: list[str]


class AnswerMessage(msgspec.Struct, array_like=True):
    """A request whose sender has reported it at a crash was answered."""

    fingerprint: str


class SuspectMessage(msgspec.Struct, array_like=True):
    """A request was at so many crashes that one more may begin its quarantine."""

    fingerprint: str


class QuarantineMessage(msgspec.Struct, array_like=True):
    """A quarantine that began or was lifted."""

    fingerprint: str
    quarantine: Quarantine


def encode_crash(message: CrashMessage) -> bytes:
    """Encode a crash."""
    return CRASH_TYPE + msgspec.msgpack.encode(message)


def encode_answer(message: AnswerMessage) -> bytes:
    """Encode an answer."""
    return ANSWER_TYPE + msgspec.msgpack.encode(message)


def encode_suspect(message: SuspectMessage) -> bytes:
    """Encode a suspect."""
    return SUSPECT_TYPE + msgspec.msgpack.encode(message)


def encode_quarantine_message(message: QuarantineMessage) -> bytes:
    """Encode a quarantine."""
    return QUARANTINE_TYPE + msgspec.msgpack.encode(message)


# Each function decodes a datagram without its type byte, and raises `msgspec.DecodeError`.
decode_crash = msgspec.msgpack.Decoder(CrashMessage).decode
decode_answer = msgspec.msgpack.Decoder(AnswerMessage).decode
decode_suspect = msgspec.msgpack.Decoder(SuspectMessage).decode
decode_quarantine_message = msgspec.msgpack.Decoder(QuarantineMessage).decode
