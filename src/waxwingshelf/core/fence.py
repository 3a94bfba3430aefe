"""When an instance may use the shares that it holds.

Others may take an instance's shares only after it has certainly stopped using them. It cannot be
asked, so it stops by itself: when no holder has acked it for `CONTACT_MS`, and, as part of a
cut-off minority, when the key-value service has not confirmed it for the hold time of the fleet.
Both times count from before the question was sent, on a clock that runs on during a suspend.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CONTACT_TIMEOUT_MS", "FENCE_WAIT_MS", "HOLD_MARGIN_MS", "Fence"]

CONTACT_TIMEOUT_MS = 8_000
FENCE_WAIT_MS = 10_000
HOLD_MARGIN_MS = 300_000


@dataclass(slots=True)
class Fence:
    """Track contact and confirmation.

    `contact_ms` is when the last ping was sent that a holder acked, or the last read of the ledger
    was begun that showed this instance as a holder; `confirmed_ms` is the latest known start of
    such a read by any instance. Both are None before the first.
    """

    last_contact_ms: int | None = None
    last_confirmed_ms: int | None = None
    fenced: bool = False

    def record_contact(self, asked_ms: int) -> None:
        """Count an answer to a question that was sent at a time."""
        if self.last_contact_ms is None or asked_ms > self.last_contact_ms:
            self.last_contact_ms = asked_ms

    def record_confirmation(self, read_ms: int) -> None:
        """Count a read of the ledger that began at a time."""
        if self.last_confirmed_ms is None or read_ms > self.last_confirmed_ms:
            self.last_confirmed_ms = read_ms

    def confirmed_age_ms(self, now_ms: int) -> int:
        """Return the age of the last confirmation, or -1 before the first."""
        return -1 if self.last_confirmed_ms is None else max(0, now_ms - self.last_confirmed_ms)

    def can_use_shares(self, now_ms: int, in_majority: bool, hold_ms: int) -> bool:
        """Tell whether shares may be used now."""
        if self.fenced or self.last_contact_ms is None:
            return False
        if now_ms - self.last_contact_ms > CONTACT_TIMEOUT_MS:
            return False
        if in_majority:
            return True
        return self.last_confirmed_ms is not None and now_ms - self.last_confirmed_ms <= hold_ms
