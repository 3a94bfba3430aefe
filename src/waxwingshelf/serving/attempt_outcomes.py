"""Classify the results of attempts for the decision about the next step."""

from __future__ import annotations

from waxwingshelf.serving.send_results import FailureKind, SendFailure, UpstreamResponse
from waxwingshelf.steering.attempts import AttemptOutcome

__all__ = ["classify_outcome"]

_OUTCOMES = {
    FailureKind.NOT_CONNECTED: AttemptOutcome.NOT_CONNECTED,
    FailureKind.UNREACHABLE: AttemptOutcome.UNREACHABLE,
    FailureKind.WITHDRAWN: AttemptOutcome.NOT_CONNECTED,
    FailureKind.SHED: AttemptOutcome.NOT_RUN,
    FailureKind.WRONG_TARGET: AttemptOutcome.NOT_RUN,
    FailureKind.TIMEOUT: AttemptOutcome.TIMED_OUT,
}


def classify_outcome(result: UpstreamResponse | SendFailure) -> AttemptOutcome:
    """Return the outcome of an attempt, as far as the next step depends on it."""
    if isinstance(result, UpstreamResponse):
        return AttemptOutcome.ANSWERED_FAILURE if result.is_failure else AttemptOutcome.ANSWERED
    return _OUTCOMES.get(result.kind, AttemptOutcome.UNCERTAIN)
