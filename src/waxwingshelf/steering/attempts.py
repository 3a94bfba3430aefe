"""Decide after each attempt whether to deliver the response, retry or refuse the request.

A request that is not idempotent is retried only if no target can have run it. Every retry takes one
token from the retry budget, except a retry after a failed connection.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

import msgspec

from waxwingshelf.steering.refusals import RefusalReason

__all__ = ["AttemptOutcome", "Attempts", "NextStep", "RetryDecision"]


class AttemptOutcome(StrEnum):
    """The outcome of one attempt, as far as the next step depends on it.

    After `NOT_RUN` the target has certainly not run the request; after `UNCERTAIN` it may have.
    `UNREACHABLE` means that no instance could be found that reaches any target.
    """

    ANSWERED = "answered"
    ANSWERED_FAILURE = "answered_failure"
    NOT_CONNECTED = "not_connected"
    UNREACHABLE = "unreachable"
    NOT_RUN = "not_run"
    UNCERTAIN = "uncertain"
    TIMED_OUT = "timed_out"


class NextStep(StrEnum):
    """What to do with the request after an attempt."""

    DELIVER = "deliver"
    SEND_AGAIN = "send_again"
    REFUSE = "refuse"


class RetryDecision(msgspec.Struct, frozen=True):
    """The next step, with a reason if the step is `REFUSE`."""

    step: NextStep
    reason: RefusalReason | None = None


_DELIVER = RetryDecision(NextStep.DELIVER)
_SEND_AGAIN = RetryDecision(NextStep.SEND_AGAIN)


class Attempts(msgspec.Struct):
    """Attempt count and retry state of one request.

    `repeatable` states whether the request body can be sent again. `sends` excludes attempts that
    could not connect.
    """

    idempotent: bool
    max_attempts: int
    repeatable: bool = True
    sends: int = 0
    maybe_run: bool = False

    def record_attempt(self) -> None:
        """Count the start of an attempt."""
        self.sends += 1

    def record_failure(self, outcome: AttemptOutcome) -> None:
        """Take note of a failed attempt without deciding about the next step."""
        if outcome in (AttemptOutcome.NOT_CONNECTED, AttemptOutcome.UNREACHABLE):
            self.sends -= 1
        elif outcome not in (AttemptOutcome.NOT_RUN, AttemptOutcome.ANSWERED):
            self.maybe_run = True

    def decide(self, outcome: AttemptOutcome, take_retry: Callable[[], bool]) -> RetryDecision:
        """Return what to do after an attempt that ended with `outcome`.

        `take_retry` takes one token from the service's retry budget and returns whether there was
        one.
        """
        if outcome is AttemptOutcome.ANSWERED:
            return _DELIVER
        self.record_failure(outcome)
        if outcome is AttemptOutcome.TIMED_OUT:
            return RetryDecision(NextStep.REFUSE, RefusalReason.TIMEOUT_AFTER_SEND)
        if outcome is AttemptOutcome.UNREACHABLE:
            return RetryDecision(NextStep.REFUSE, RefusalReason.TARGETS_UNREACHABLE)
        reason = self._find_refusal_reason(outcome, take_retry)
        if reason is None:
            return _SEND_AGAIN
        if outcome is AttemptOutcome.ANSWERED_FAILURE:
            return _DELIVER
        return RetryDecision(NextStep.REFUSE, reason)

    def _find_refusal_reason(
        self, outcome: AttemptOutcome, take_retry: Callable[[], bool]
    ) -> RefusalReason | None:
        """Return why the request must not be retried, or None if it may be retried."""
        if self.maybe_run and not self.idempotent:
            return RefusalReason.TARGET_FAILED
        # A body that was not begun can be sent to another target.
        if not self.repeatable and outcome is not AttemptOutcome.NOT_CONNECTED:
            return RefusalReason.TARGET_FAILED
        if self.sends >= self.max_attempts:
            return RefusalReason.ATTEMPTS_USED
        if outcome is not AttemptOutcome.NOT_CONNECTED and not take_retry():
            return RefusalReason.RETRY_BUDGET
        return None
