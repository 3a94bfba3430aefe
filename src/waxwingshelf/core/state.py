"""State shared by the protocols of one member."""

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
_DEFAULT_MINORITY_HOLD_MS = 75 * 60_000


@dataclass(frozen=True, slots=True)
class MemberOptions:
    """Options of the member protocols.

    `period_ms` is the gossip period; `fanout` is the number of members to which a changed
    document is pushed; `hints_per_message` limits the share hints in a ping or ack; `seeds` are
    the names of the members to ping while there is no other member to ping.
    """

    period_ms: int = 500
    fanout: int = 3
    hints_per_message: int = 4
    seeds: tuple[str, ...] = ()


class NodeState:
    """The complete protocol state of one incarnation of an instance.

    `peer_versions` holds the document versions last received from each member. `departed` maps
    each identity whose handover this instance knows of to the heir that accepted it;
    `refused_handovers` are the identities whose handovers this instance refused.
    `reported_contacts` are the contacts in the last cut report.
    """

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
        self._departed_identities: set[str] = set()
        self._cached_majority = False
        self._majority_cache_key = (-1, -1)

    def send(self, recipient: str, message: Message) -> None:
        """Queue a message to the member named `recipient`."""
        self.outbox.append(AddressedMessage(recipient, message))

    def take_outbox(self) -> list[AddressedMessage]:
        """Return the queued messages and empty the queue."""
        messages, self.outbox = self.outbox, []
        return messages

    def minority_hold_ms(self) -> int:
        """Return how long members in a partitioned minority may keep using their shares."""
        return (
            _DEFAULT_MINORITY_HOLD_MS
            if self.config is None
            else self.config.manifest.fleet.cut_hold_ms
        )

    def is_holder(self, identity: str) -> bool:
        """Return whether an identity is a current holder that is not being fenced."""
        ledger = self.ledger
        if ledger is None or ledger.find(identity) is None:
            return False
        return ledger.cut is None or identity not in ledger.cut.fenced

    def is_fenced(self, identity: str) -> bool:
        """Return whether an identity was fenced, has departed or has a newer incarnation.

        Such an identity must not be acked any more.
        """
        ledger = self.ledger
        if ledger is None:
            return False
        if ledger.cut is not None and identity in ledger.cut.fenced:
            return True
        if identity in self._departed_identities:
            return True
        name, _, incarnation = identity.partition("#")
        holder = ledger.holders.get(name)
        return holder is not None and int(incarnation) < holder.incarnation

    def can_ack(self, identity: str) -> bool:
        """Return whether an identity may be acked; an ack allows it to use its shares.

        An identity that is not a holder is acked only if a cut counts it. With no cut in
        progress, it is added to the contacts for the next cut report; during a cut, it must be
        among the contacts of the report already made.
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
        """Return whether most holders in the ledger are alive, as far as this member knows."""
        if self.ledger is None:
            return False
        cache_key = (self.membership.change_count, self.ledger.version)
        if cache_key != self._majority_cache_key:
            holders = self.ledger.holders.values()
            alive = self.membership.list_live_identities()
            count = sum(1 for holder in holders if holder.identity in alive)
            self._cached_majority = 2 * count > len(holders)
            self._majority_cache_key = cache_key
        return self._cached_majority

    def is_every_holder_alive(self) -> bool:
        """Return whether every holder in the ledger is alive, as far as this member knows.

        If so, no holder that could have accepted a change is unreachable.
        """
        if self.ledger is None:
            return False
        alive = self.membership.list_live_identities()
        return all(identity in alive for identity in self.ledger.list_identities())

    def can_use_shares(self) -> bool:
        """Return whether this member may use its shares now."""
        return self.fence.can_use_shares(
            self.clock.now_ms(), self.is_in_majority(), self.minority_hold_ms()
        )

    def apply_config(self) -> None:
        """Apply the replicated manifest; an invalid one is counted and otherwise ignored."""
        document = self.documents[MANIFEST_DOCUMENT]
        config = build_config(document.version, document.value)
        if config is None:
            self.invalid_document_count += 1
            return
        self.config = config
        self.shares.set_limits(config.limits, self.clock.now_ms())

    def apply_ledger(self) -> bool:
        """Apply the replicated ledger; an invalid one is counted, and False is returned."""
        document = self.documents[LEDGER_DOCUMENT]
        try:
            self.ledger = decode_ledger(document.value)
        except msgspec.ValidationError:
            self.invalid_document_count += 1
            return False
        self._departed_identities = {
            departure.holder.identity for departure in self.ledger.departures
        }
        return True

    def replace_document(self, document_id: int, version: int, value: Any) -> bool:
        """Replace a document if `version` is newer; return whether it was replaced."""
        return self.documents[document_id].replace(version, value)
