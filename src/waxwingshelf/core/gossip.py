"""Pings, acks and the spread of replicated documents."""

from __future__ import annotations

from waxwingshelf.core.dispatch import Sender, handles
from waxwingshelf.core.messages import (
    Ack,
    Digest,
    DocumentPatch,
    DocumentPull,
    DocumentSnapshot,
    Ping,
    PingRequest,
    PingResult,
)
from waxwingshelf.core.state import LEDGER_DOCUMENT, MANIFEST_DOCUMENT, NodeState

__all__ = ["Gossip"]


class Gossip:
    """Run the periodic exchange with a few members."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._turn = 0
        self._asked_for: dict[str, list[str]] = {}

    def start_period(self) -> None:
        """Ping the next member, or the seeds when none is known."""
        state = self._state
        probe = state.membership.start_period(state.clock.now_ms())
        self._asked_for.clear()
        for name in probe.direct or state.options.seeds:
            if name != state.me.name:
                self._ping(name)

    def ping_all(self) -> None:
        """Ping every live member, to learn what is in force there."""
        for name in self._state.membership.list_alive():
            self._ping(name)

    def request_indirect_pings(self) -> None:
        """Have others ping a member that has not answered by half of the period."""
        probe = self._state.membership.choose_helpers()
        if probe is None:
            return
        for helper in probe.helpers:
            self._state.send(helper, PingRequest(probe.subject))

    def push_document(self, number: int, since: int) -> None:
        """Send a changed document to a few members at once."""
        state = self._state
        update = state.documents[number].build_update(since)
        if update is None:
            return
        for name in state.membership.sample_alive(state.options.fanout):
            state.send(name, update)

    def apply_and_push(self, number: int, since: int) -> None:
        """Put a changed document in force and spread it."""
        if number == MANIFEST_DOCUMENT:
            self._state.apply_config()
        elif number == LEDGER_DOCUMENT and not self._state.apply_ledger():
            return
        self.push_document(number, since)

    def send_ledger(self, name: str) -> None:
        """Send the whole ledger to a member that is not acked any more."""
        update = self._state.documents[LEDGER_DOCUMENT].build_update(0)
        if update is not None:
            self._state.send(name, update)

    @handles(Ping)
    def on_ping(self, sender: Sender, ping: Ping) -> None:
        """Ack a ping, unless the sender may not be acked: then tell it why."""
        state = self._state
        if not state.can_ack(sender.identity):
            self.send_ledger(sender.sender)
            return
        state.membership.notify_if_dead(sender.sender, sender.incarnation)
        self._take_digest(sender, ping.digest)
        state.send(sender.sender, Ack(ping.sent_ms, self._build_digest()))

    @handles(Ack)
    def on_ack(self, sender: Sender, ack: Ack) -> None:
        """Count an ack as contact, and its confirmation as old as it can be."""
        state = self._state
        now_ms = state.clock.now_ms()
        state.membership.notify_if_dead(sender.sender, sender.incarnation)
        state.membership.record_ack(sender.sender, sender.incarnation, now_ms)
        for requester in self._asked_for.pop(sender.sender, []):
            state.send(requester, PingResult(sender.sender, sender.incarnation))
        if state.is_holder(sender.identity):
            state.fence.record_contact(min(ack.echo_ms, now_ms))
        digest = ack.digest
        versions = digest.versions
        same = len(versions) > LEDGER_DOCUMENT and versions[LEDGER_DOCUMENT] == self._version()
        if same and digest.confirmed_age_ms >= 0:
            state.fence.record_confirmation(min(ack.echo_ms, now_ms) - digest.confirmed_age_ms)
        self._take_digest(sender, digest)

    @handles(PingRequest)
    def on_ping_request(self, sender: Sender, request: PingRequest) -> None:
        """Ping a member on another's behalf."""
        self._asked_for.setdefault(request.subject, []).append(sender.sender)
        self._ping(request.subject)

    @handles(PingResult)
    def on_ping_result(self, sender: Sender, result: PingResult) -> None:
        """Count an indirect ack as a sign of life, not as contact."""
        now_ms = self._state.clock.now_ms()
        self._state.membership.record_ack(result.subject, result.incarnation, now_ms)

    @handles(DocumentPull)
    def on_pull(self, sender: Sender, pull: DocumentPull) -> None:
        """Answer with what the sender lacks."""
        if 0 <= pull.document < len(self._state.documents):
            update = self._state.documents[pull.document].build_update(pull.version)
            if update is not None:
                self._state.send(sender.sender, update)

    @handles(DocumentPatch)
    def on_patch(self, sender: Sender, message: DocumentPatch) -> None:
        """Apply patches, or ask for what is missing before them."""
        if not 0 <= message.document < len(self._state.documents):
            return
        document = self._state.documents[message.document]
        since = document.version
        if document.apply(message):
            self.apply_and_push(message.document, since)
        elif message.base_version > document.version:
            self._state.send(sender.sender, DocumentPull(message.document, since))

    @handles(DocumentSnapshot)
    def on_state(self, sender: Sender, message: DocumentSnapshot) -> None:
        """Take over a newer document."""
        if not 0 <= message.document < len(self._state.documents):
            return
        document = self._state.documents[message.document]
        since = document.version
        if document.replace(message.version, message.value):
            self.apply_and_push(message.document, since)

    def _version(self) -> int:
        return self._state.documents[LEDGER_DOCUMENT].version

    def _ping(self, name: str) -> None:
        self._state.send(name, Ping(self._state.clock.now_ms(), self._build_digest()))

    def _build_digest(self) -> Digest:
        state = self._state
        now_ms = state.clock.now_ms()
        self._turn += 1
        member_records = state.membership.take_records()
        if state.fence.last_contact_ms is None:
            # Nobody has answered yet, so nobody may know where to send the answer.
            member_records = [state.membership.describe_self(), *member_records]
        return Digest(
            versions=[document.version for document in state.documents],
            confirmed_age_ms=state.fence.confirmed_age_ms(now_ms),
            member_records=member_records,
            hints=state.shares.list_hints(state.options.hints_per_message, self._turn, now_ms),
        )

    def _take_digest(self, sender: Sender, digest: Digest) -> None:
        state = self._state
        now_ms = state.clock.now_ms()
        for record in digest.member_records:
            state.membership.apply_record(record, now_ms)
        state.peer_versions[sender.sender] = digest.versions
        state.shares.record_hints(sender.sender, digest.hints)
        for document, version in zip(state.documents, digest.versions, strict=False):
            if version > document.version:
                state.send(sender.sender, DocumentPull(document.number, document.version))
            elif version < document.version:
                update = document.build_update(version)
                if update is not None:
                    state.send(sender.sender, update)
