"""How many bytes of responses an instance may hold, and when a caller reads too slowly.

The load pattern that this answers: large responses go to callers that read slowly, through an
instance with little memory. All responses that are being read or written then share a budget:

- Responses up to 64 KiB may use all of it, so that large ones never keep small ones waiting.
- Large responses may use five eighths of it. Those of known length are held whole before their
  first byte is read, so that each one can be completed.
- A single large response without a known length may use another quarter, the most that one response
  may have. It can therefore be completed when several of them have filled the first part.
"""

from __future__ import annotations

import msgspec

__all__ = ["ReaderProgress", "ResponseRoom", "compute_budget_bytes", "is_large"]

_BYTES_PER_MB = 1_000_000
_MEMORY_FRACTION = 0.25
# Without a memory limit in the settings: small machines have 200 MB, of which a process without
# load takes a fifth.
_DEFAULT_BUDGET_BYTES = 48 * 1024 * 1024
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_MAX_RESPONSE_FRACTION = 0.25
_LARGE_FRACTION = 0.625
_SMALL_RESPONSE_BYTES = 65_536


def compute_budget_bytes(memory_mb: float) -> int:
    """Return how many bytes of responses an instance with this memory limit may hold."""
    if memory_mb <= 0:
        return _DEFAULT_BUDGET_BYTES
    return int(memory_mb * _BYTES_PER_MB * _MEMORY_FRACTION)


def is_large(response_bytes: int) -> bool:
    """Return whether a response may use only a part of the budget."""
    return response_bytes > _SMALL_RESPONSE_BYTES


class ResponseRoom:
    """The count of held bytes, and of those that downloads in flight are expected to bring.

    `max_response_bytes` is the most that one response may have.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes = budget_bytes
        self.max_response_bytes = min(
            _MAX_RESPONSE_BYTES, int(budget_bytes * _MAX_RESPONSE_FRACTION)
        )
        self.held_bytes = 0
        self._expected_bytes = 0
        self._large_limit_bytes = int(budget_bytes * _LARGE_FRACTION)

    def try_hold(self, size: int, response_bytes: int, may_complete: bool = False) -> bool:
        """Hold `size` more bytes if there is room for them.

        `response_bytes` is the size of the response with them. `may_complete` is set for the only
        response without a known length that may use room beyond that of other large ones.
        """
        limit_bytes = self.budget_bytes
        if is_large(response_bytes):
            limit_bytes = self._large_limit_bytes
            if may_complete:
                limit_bytes += self.max_response_bytes
        if self.held_bytes + size > limit_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release held bytes."""
        self.held_bytes -= size

    def has_room_for_download(self, usual_bytes: int) -> bool:
        """Return whether a response of the usual size will find room.

        A download may always be sent while nothing is held or expected.
        """
        used_bytes = self.held_bytes + self._expected_bytes
        return used_bytes == 0 or used_bytes + usual_bytes <= self._large_limit_bytes

    def expect(self, size: int) -> None:
        """Count the bytes that a download is expected to bring, until `stop_expecting`."""
        self._expected_bytes += size

    def stop_expecting(self, size: int) -> None:
        """Count a download's expected bytes no longer, as it has ended."""
        self._expected_bytes -= size


class ReaderProgress(msgspec.Struct):
    """How much of a response its caller has not read yet, and when it last read any of it."""

    unsent_bytes: int
    progress_at_ms: int

    def record(self, unsent_bytes: int, now_ms: int) -> None:
        """Update the number of bytes that are still to be sent."""
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes = unsent_bytes
            self.progress_at_ms = now_ms

    def is_stalled(self, idle_timeout_ms: int, now_ms: int) -> bool:
        """Return whether the caller has read nothing for the timeout."""
        return now_ms - self.progress_at_ms >= idle_timeout_ms
