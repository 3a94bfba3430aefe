"""Gossip protocol: pings, acks and the replication of documents."""

from __future__ import annotations

from waxwingshelf.core.dispatch import Sender, handles
from waxwingshelf.core.messages import (
    Ack,
    Digest,
    DocumentPatch,
    DocumentPull,
    DocumentState,
    Ping,
    PingRequest,
    PingResult,
)
from waxwingshelf.core.state import LEDGER_DOCUMENT, MANIFEST_DOCUMENT, NodeState

__all__ = ["Gossip"]


class Gossip:
    """Exchange pings and document updates with other members."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._digest_count = 0
        self._ping_requesters: dict[str, list[str]] = {}

    def start_period(self) -> None:
        """Ping the next member, or the seeds when there is no member to ping."""
        state = self._state
        probe = state.membership.start_period(state.clock.now_ms())
        self._ping_requesters.clear()
        for name in probe.direct or state.options.seeds:
            if name != state.me.name:
                self._ping(name)

    def ping_all(self) -> None:
        """Ping every live member to learn its document versions."""
        for name in self._state.membership.list_alive():
            self._ping(name)

    def request_indirect_pings(self) -> None:
        """Ask helpers to ping a member that has not answered in the first half of the period."""
        probe = self._state.membership.choose_helpers()
        if probe is None:
            return
        for helper in probe.helpers:
            self._state.send(helper, PingRequest(probe.subject))

    def push_document(self, document_id: int, previous_version: int) -> None:
        """Send the changes since `previous_version` to a random sample of live members."""
        state = self._state
        update = state.documents[document_id].build_update(previous_version)
        if update is None:
            return
        for name in state.membership.sample_alive(state.options.fanout):
            state.send(name, update)

    def apply_and_push(self, document_id: int, previous_version: int) -> None:
        """Apply a changed document locally and push it to other members.

        An invalid ledger is not pushed.
        """
        if document_id == MANIFEST_DOCUMENT:
            self._state.apply_config()
        elif document_id == LEDGER_DOCUMENT and not self._state.apply_ledger():
            return
        self.push_document(document_id, previous_version)

    def send_ledger(self, name: str) -> None:
        """Send the whole ledger to a member that may not be acked."""
        update = self._state.documents[LEDGER_DOCUMENT].build_update(0)
        if update is not None:
            self._state.send(name, update)

    @handles(Ping)
    def on_ping(self, sender: Sender, ping: Ping) -> None:
        """Ack a ping; if the sender may not be acked, send it the ledger, which shows why."""
        state = self._state
        if not state.can_ack(sender.identity):
            self.send_ledger(sender.sender)
            return
        state.membership.notify_if_dead(sender.sender, sender.incarnation)
        self._apply_digest(sender, ping.digest)
        state.send(sender.sender, Ack(ping.sent_ms, self._build_digest()))

    @handles(Ack)
    def on_ack(self, sender: Sender, ack: Ack) -> None:
        """Record contact with the sender and the ledger confirmation in its ack.

        The age of the confirmation is counted from the time when the ping was sent, so it is never
        underestimated.
        """
        state = self._state
        now_ms = state.clock.now_ms()
        state.membership.notify_if_dead(sender.sender, sender.incarnation)
        state.membership.record_ack(sender.sender, sender.incarnation, now_ms)
        for requester in self._ping_requesters.pop(sender.sender, []):
            state.send(requester, PingResult(sender.sender, sender.incarnation))
        if state.is_holder(sender.identity):
            state.fence.record_contact(min(ack.echo_ms, now_ms))
        digest = ack.digest
        versions = digest.versions
        same_ledger_version = (
            len(versions) > LEDGER_DOCUMENT and versions[LEDGER_DOCUMENT] == self._ledger_version()
        )
        if same_ledger_version and digest.confirmed_age_ms >= 0:
            state.fence.record_confirmation(min(ack.echo_ms, now_ms) - digest.confirmed_age_ms)
        self._apply_digest(sender, digest)

    @handles(PingRequest)
    def on_ping_request(self, sender: Sender, request: PingRequest) -> None:
        """Ping a member on behalf of the sender."""
        self._ping_requesters.setdefault(request.subject, []).append(sender.sender)
        self._ping(request.subject)

    @handles(PingResult)
    def on_ping_result(self, sender: Sender, result: PingResult) -> None:
        """Record an indirect ack as a sign of life of the pinged member, but not as contact."""
        now_ms = self._state.clock.now_ms()
        self._state.membership.record_ack(result.subject, result.incarnation, now_ms)

    @handles(DocumentPull)
    def on_pull(self, sender: Sender, pull: DocumentPull) -> None:
        """Send the changes that the sender is missing."""
        if 0 <= pull.document_id < len(self._state.documents):
            update = self._state.documents[pull.document_id].build_update(pull.version)
            if update is not None:
                self._state.send(sender.sender, update)

    @handles(DocumentPatch)
    def on_patch(self, sender: Sender, message: DocumentPatch) -> None:
        """Apply patches, or request the changes that are missing before them."""
        if not 0 <= message.document_id < len(self._state.documents):
            return
        document = self._state.documents[message.document_id]
        previous_version = document.version
        if document.apply(message):
            self.apply_and_push(message.document_id, previous_version)
        elif message.base_version > document.version:
            self._state.send(sender.sender, DocumentPull(message.document_id, previous_version))

    @handles(DocumentState)
    def on_state(self, sender: Sender, message: DocumentState) -> None:
        """Replace a document with a newer version."""
        if not 0 <= message.document_id < len(self._state.documents):
            return
        document = self._state.documents[message.document_id]
        previous_version = document.version
        if document.replace(message.version, message.value):
            self.apply_and_push(message.document_id, previous_version)

    def _ledger_version(self) -> int:
        return self._state.documents[LEDGER_DOCUMENT].version

    def _ping(self, name: str) -> None:
        self._state.send(name, Ping(self._state.clock.now_ms(), self._build_digest()))

    def _build_digest(self) -> Digest:
        state = self._state
        now_ms = state.clock.now_ms()
        self._digest_count += 1
        member_records = state.membership.take_records()
        if state.fence.last_contact_ms is None:
            # Before the first contact, other members may not know where to send the ack.
            member_records = [state.membership.describe_self(), *member_records]
        return Digest(
            versions=[document.version for document in state.documents],
            confirmed_age_ms=state.fence.confirmed_age_ms(now_ms),
            member_records=member_records,
            hints=state.shares.list_hints(
                state.options.hints_per_message, self._digest_count, now_ms
            ),
        )

    def _apply_digest(self, sender: Sender, digest: Digest) -> None:
        state = self._state
        now_ms = state.clock.now_ms()
        for record in digest.member_records:
            state.membership.apply_record(record, now_ms)
        state.peer_versions[sender.sender] = digest.versions
        state.shares.record_hints(sender.sender, digest.hints)
        for document, version in zip(state.documents, digest.versions, strict=False):
            if version > document.version:
                state.send(sender.sender, DocumentPull(document.document_id, document.version))
            elif version < document.version:
                update = document.build_update(version)
                if update is not None:
                    state.send(sender.sender, update)
