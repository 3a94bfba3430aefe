"""Decide after each attempt whether a request is answered, sent once more or refused.

A request that is not idempotent is sent again only while it certainly has not run; every repeat
takes one from the retry budget, except after a connection that was never made.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from waxwingshelf.steering.refusals import RefusalReason

__all__ = ["AttemptOutcome", "Attempts", "NextStep", "RetryDecision"]


class AttemptOutcome(StrEnum):
    """How one attempt ended, as far as the next step depends on it."""

    ANSWERED = "answered"
    ANSWERED_FAILURE = "answered_failure"
    NOT_CONNECTED = "not_connected"
    NOT_RUN = "not_run"
    UNCERTAIN = "uncertain"
    TIMED_OUT = "timed_out"


class NextStep(StrEnum):
    """What to do with the request."""

    DELIVER = "deliver"
    SEND_AGAIN = "send_again"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """The next step; a refusal has its reason."""

    step: NextStep
    reason: RefusalReason | None = None


_DELIVER = RetryDecision(NextStep.DELIVER)
_SEND_AGAIN = RetryDecision(NextStep.SEND_AGAIN)


@dataclass(slots=True)
class Attempts:
    """The attempts of one request so far; `repeatable` tells that its body can be sent again."""

    idempotent: bool
    max_attempts: int
    repeatable: bool = True
    sends: int = 0
    maybe_run: bool = False

    def record_attempt(self) -> None:
        """Count an attempt that starts."""
        self.sends += 1

    def decide(self, end: AttemptOutcome, take_retry: Callable[[], bool]) -> RetryDecision:
        """Return the verdict; `take_retry` takes one repeat from the service's budget."""
        if end is AttemptOutcome.ANSWERED:
            return _DELIVER
        if end is AttemptOutcome.NOT_CONNECTED:
            self.sends -= 1
        elif end is not AttemptOutcome.NOT_RUN:
            self.maybe_run = True
        if end is AttemptOutcome.TIMED_OUT:
            return RetryDecision(NextStep.REFUSE, RefusalReason.TIMEOUT_AFTER_SEND)
        reason = self._find_obstacle(end, take_retry)
        if reason is None:
            return _SEND_AGAIN
        if end is AttemptOutcome.ANSWERED_FAILURE:
            return _DELIVER
        return RetryDecision(NextStep.REFUSE, reason)

    def _find_obstacle(
        self, end: AttemptOutcome, take_retry: Callable[[], bool]
    ) -> RefusalReason | None:
        if self.maybe_run and not self.idempotent:
            return RefusalReason.TARGET_FAILED
        if not self.repeatable:
            return RefusalReason.TARGET_FAILED
        if self.sends >= self.max_attempts:
            return RefusalReason.ATTEMPTS_USED
        if end is not AttemptOutcome.NOT_CONNECTED and not take_retry():
            return RefusalReason.RETRY_BUDGET
        return None
