"""The state of one member that its protocols share."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import msgspec

from waxwingshelf.core.claims import ClaimStore
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.config import Config, build_config
from waxwingshelf.core.documents import ReplicatedDocument
from waxwingshelf.core.fence import Fence
from waxwingshelf.core.ledger import Holder, Ledger, decode_ledger
from waxwingshelf.core.membership import Membership
from waxwingshelf.core.messages import AddressedMessage, Message
from waxwingshelf.core.shares import ShareStore

__all__ = ["LEDGER_DOCUMENT", "MANIFEST_DOCUMENT", "MemberOptions", "NodeState"]

MANIFEST_DOCUMENT = 0
LEDGER_DOCUMENT = 1
_DEFAULT_HOLD_MS = 75 * 60_000


@dataclass(frozen=True, slots=True)
class MemberOptions:
    """Options of the protocols.

    `seeds` are names of members to ping before any other is known.
    """

    period_ms: int = 500
    fanout: int = 3
    hints_per_message: int = 4
    seeds: tuple[str, ...] = ()


class NodeState:
    """Everything that one incarnation of an instance knows and holds."""

    def __init__(self, me: Holder, options: MemberOptions, clock: Clock, seed: int) -> None:
        self.me = me
        self.options = options
        self.clock = clock
        self.rng = random.Random(seed)
        self.membership = Membership(me, options.period_ms, self.rng)
        self.fence = Fence()
        self.shares = ShareStore(me.identity)
        self.claims = ClaimStore()
        self.documents = [
            ReplicatedDocument(MANIFEST_DOCUMENT),
            ReplicatedDocument(LEDGER_DOCUMENT),
        ]
        self.config: Config | None = None
        self.ledger: Ledger | None = None
        self.peer_versions: dict[str, list[int]] = {}
        self.departed: dict[str, str] = {}
        self.refused_handovers: set[str] = set()
        self.reported_contacts: set[str] = set()
        self.outbox: list[AddressedMessage] = []
        self.invalid_document_count = 0
        self._gone: set[str] = set()
        self._majority = False
        self._majority_seen = (-1, -1)

    def send(self, recipient: str, message: Message) -> None:
        """Queue a message to a member by name."""
        self.outbox.append(AddressedMessage(recipient, message))

    def take_outbox(self) -> list[AddressedMessage]:
        """Take all queued messages."""
        messages, self.outbox = self.outbox, []
        return messages

    def minority_hold_ms(self) -> int:
        """Return how long a cut-off minority keeps serving."""
        return _DEFAULT_HOLD_MS if self.config is None else self.config.manifest.fleet.cut_hold_ms

    def is_holder(self, identity: str) -> bool:
        """Tell whether an identity is a present holder that is not being fenced."""
        ledger = self.ledger
        if ledger is None or ledger.find(identity) is None:
            return False
        return ledger.cut is None or identity not in ledger.cut.fenced

    def is_fenced(self, identity: str) -> bool:
        """Tell whether an identity must not be acked any more."""
        ledger = self.ledger
        if ledger is None:
            return False
        if ledger.cut is not None and identity in ledger.cut.fenced:
            return True
        if identity in self._gone:
            return True
        name, _, incarnation = identity.partition("#")
        holder = ledger.holders.get(name)
        return holder is not None and int(incarnation) < holder.incarnation

    def can_ack(self, identity: str) -> bool:
        """Tell whether an ack may be given, which lets the other use its shares.

        One that is no holder is acked only if a cut would count it: it is noted for the next
        report, and while a cut is taken it must stand in the last one.
        """
        if self.is_fenced(identity):
            return False
        ledger = self.ledger
        if ledger is None or ledger.find(identity) is not None:
            return True
        if ledger.cut is not None:
            return identity in self.reported_contacts
        self.shares.contacts.add(identity)
        return True

    def is_in_majority(self) -> bool:
        """Tell whether most holders of the ledger are alive as far as is known here."""
        if self.ledger is None:
            return False
        seen = (self.membership.change_count, self.ledger.version)
        if seen != self._majority_seen:
            holders = self.ledger.holders.values()
            alive = self.membership.list_live_identities()
            count = sum(1 for holder in holders if holder.identity in alive)
            self._majority = 2 * count > len(holders)
            self._majority_seen = seen
        return self._majority

    def is_every_holder_alive(self) -> bool:
        """Tell whether every holder is alive as far as is known here.

        Then nobody who could have accepted a change is out of earshot.
        """
        if self.ledger is None:
            return False
        alive = self.membership.list_live_identities()
        return all(identity in alive for identity in self.ledger.list_identities())

    def can_use_shares(self) -> bool:
        """Tell whether the shares held here may be used now."""
        return self.fence.can_use_shares(
            self.clock.now_ms(), self.is_in_majority(), self.minority_hold_ms()
        )

    def apply_config(self) -> None:
        """Put the manifest replica in force; a faulty one is counted and left alone."""
        document = self.documents[MANIFEST_DOCUMENT]
        config = build_config(document.version, document.value)
        if config is None:
            self.invalid_document_count += 1
            return
        self.config = config
        self.shares.set_limits(config.limits, self.clock.now_ms())

    def apply_ledger(self) -> bool:
        """Put the ledger replica in force; False when it is faulty."""
        document = self.documents[LEDGER_DOCUMENT]
        try:
            self.ledger = decode_ledger(document.value)
        except msgspec.ValidationError:
            self.invalid_document_count += 1
            return False
        self._gone = {departure.holder.identity for departure in self.ledger.departures}
        return True

    def replace_document(self, number: int, version: int, value: Any) -> bool:
        """Take over a document read from the key-value service."""
        return self.documents[number].replace(version, value)
