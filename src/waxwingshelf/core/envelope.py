"""Envelopes that authenticate messages between instances and protect them from replays."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from msgspec import Struct

from waxwingshelf.core.ledger import Holder

__all__ = ["SUPPORTED_PROTOCOL_VERSIONS", "OpenedEnvelope", "Rejection", "Sealer"]

PROTOCOL_VERSION = 1
SUPPORTED_PROTOCOL_VERSIONS = frozenset({PROTOCOL_VERSION})
_TAG_BYTES = 16
_REPLAY_WINDOW_SIZE = 1_024
_MAX_SENDERS = 4_096


class Rejection(StrEnum):
    """The reason why an envelope was rejected.

    `STRANGER` stands for an invalid signature or another fleet, `GARBLED` for undecodable data.
    """

    GARBLED = "garbled"
    STRANGER = "stranger"
    OTHER_VERSION = "other_version"
    OTHER_RECIPIENT = "other_recipient"
    REPLAY = "replay"


@dataclass(frozen=True, slots=True)
class OpenedEnvelope:
    """An authenticated envelope; `host` and `port` are the peer address of the sender."""

    sender: str
    incarnation: int
    host: str
    port: int
    payload: bytes

    @property
    def identity(self) -> str:
        """Return the identity of the sender, which combines name and incarnation."""
        return f"{self.sender}#{self.incarnation}"


class _Envelope(Struct, frozen=True, array_like=True):
    fleet: str
    version: int
    sender: str
    incarnation: int
    host: str
    port: int
    recipient: str
    sequence: int
    payload: bytes


class _ReplayWindow:
    """Sliding window over the sequence numbers received from one sender."""

    __slots__ = ("_highest", "_seen")

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0

    def admit(self, sequence: int) -> bool:
        ahead = sequence - self._highest
        if ahead > 0:
            self._seen = ((self._seen << ahead) | 1) & ((1 << _REPLAY_WINDOW_SIZE) - 1)
            self._highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= _REPLAY_WINDOW_SIZE or self._seen & bit:
            return False
        self._seen |= bit
        return True


class Sealer:
    """Seal and open envelopes of one fleet; payloads are authenticated, not encrypted.

    Envelopes are sealed with the first secret and opened with any of them, so that secrets can be
    rotated without downtime.
    """

    def __init__(self, fleet: str, me: Holder, secrets: list[str]) -> None:
        self._fleet = fleet
        self._me = me
        self._secrets = [secret.encode() for secret in secrets]
        self._sequences: dict[str, int] = {}
        self._windows: dict[tuple[str, int], _ReplayWindow] = {}

    def seal(self, recipient: str, payload: bytes) -> bytes:
        """Return a signed envelope with a payload for one recipient."""
        sequence = self._sequences.get(recipient, 0) + 1
        self._sequences[recipient] = sequence
        body = msgspec.msgpack.encode(
            _Envelope(
                self._fleet,
                PROTOCOL_VERSION,
                self._me.name,
                self._me.incarnation,
                self._me.host,
                self._me.peer_port,
                recipient,
                sequence,
                payload,
            )
        )
        return _sign(self._secrets[0], body) + body

    def open(self, data: bytes) -> OpenedEnvelope | Rejection:
        """Verify an envelope; return the opened envelope, or the reason for its rejection."""
        tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
        if not any(hmac.compare_digest(_sign(secret, body), tag) for secret in self._secrets):
            return Rejection.STRANGER
        try:
            envelope = msgspec.msgpack.decode(body, type=_Envelope)
        except msgspec.MsgspecError:
            return Rejection.GARBLED
        if envelope.fleet != self._fleet:
            return Rejection.STRANGER
        if envelope.version not in SUPPORTED_PROTOCOL_VERSIONS:
            return Rejection.OTHER_VERSION
        if envelope.recipient != self._me.name:
            return Rejection.OTHER_RECIPIENT
        if not self._admit(envelope):
            return Rejection.REPLAY
        return OpenedEnvelope(
            envelope.sender,
            envelope.incarnation,
            envelope.host,
            envelope.port,
            envelope.payload,
        )

    def _admit(self, envelope: _Envelope) -> bool:
        origin = (envelope.sender, envelope.incarnation)
        window = self._windows.get(origin)
        if window is None:
            if len(self._windows) >= _MAX_SENDERS:
                self._windows.pop(next(iter(self._windows)))
            window = self._windows[origin] = _ReplayWindow()
        return window.admit(envelope.sequence)


def _sign(secret: bytes, body: bytes) -> bytes:
    return hmac.digest(secret, body, hashlib.sha256)[:_TAG_BYTES]
