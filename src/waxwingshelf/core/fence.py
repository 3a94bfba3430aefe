"""Decide when an instance may use the shares that it holds.

The shares of an instance may be issued again only after the instance has certainly stopped using
them. An unreachable instance cannot be told to stop, so every instance stops by itself: when no
holder has acked it for `CONTACT_TIMEOUT_MS`, or, in a partitioned minority, when the key-value
service has not confirmed the ledger for the fleet's hold time. Both intervals start before the ping
or read is sent, and the clock keeps running while the machine is suspended.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CONTACT_TIMEOUT_MS", "FENCE_WAIT_MS", "HOLD_MARGIN_MS", "Fence"]

CONTACT_TIMEOUT_MS = 8_000
FENCE_WAIT_MS = 10_000
HOLD_MARGIN_MS = 300_000


@dataclass(slots=True)
class Fence:
    """Track the last contact with a holder and the last confirmation of the ledger.

    `last_contact_ms` is when this instance sent the last ping that a holder acked, or began the
    last read of the ledger that listed this instance as a holder. `last_confirmed_ms` is the latest
    known time at which any instance began a read of the current ledger. Both are None until the
    first such event. `fenced` is True once the ledger fences this incarnation.
    """

    last_contact_ms: int | None = None
    last_confirmed_ms: int | None = None
    fenced: bool = False

    def record_contact(self, sent_ms: int) -> None:
        """Record the response to a ping or ledger read that was sent at `sent_ms`."""
        if self.last_contact_ms is None or sent_ms > self.last_contact_ms:
            self.last_contact_ms = sent_ms

    def record_confirmation(self, read_started_ms: int) -> None:
        """Record a read of the current ledger that began at `read_started_ms`."""
        if self.last_confirmed_ms is None or read_started_ms > self.last_confirmed_ms:
            self.last_confirmed_ms = read_started_ms

    def confirmed_age_ms(self, now_ms: int) -> int:
        """Return the age of the last confirmation, or -1 before the first one."""
        return -1 if self.last_confirmed_ms is None else max(0, now_ms - self.last_confirmed_ms)

    def can_use_shares(self, now_ms: int, in_majority: bool, hold_ms: int) -> bool:
        """Return whether the instance may use its shares now."""
        if self.fenced or self.last_contact_ms is None:
            return False
        if now_ms - self.last_contact_ms > CONTACT_TIMEOUT_MS:
            return False
        if in_majority:
            return True
        return self.last_confirmed_ms is not None and now_ms - self.last_confirmed_ms <= hold_ms
