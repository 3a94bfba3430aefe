"""Judge the results of the two sends of a hedged request."""

from __future__ import annotations

from enum import IntEnum

from waxwingshelf.serving.attempt_outcomes import classify_outcome
from waxwingshelf.serving.exchange import Exchange, exclude_target
from waxwingshelf.serving.send_results import (
    FailureKind,
    SendFailure,
    SendResult,
    UpstreamResponse,
)
from waxwingshelf.steering.refusals import NOT_RUN_STATUSES

__all__ = ["choose_failure", "counts_as_answer"]


class _Precedence(IntEnum):
    """Which of two failures decides about the next step: the one with the higher value."""

    NOT_SENT = 0
    NOT_RUN = 1
    ANSWERED_NOT_RUN = 2
    ANSWERED_FAILURE = 3
    MAYBE_RUN = 4


def counts_as_answer(result: SendResult | None) -> bool:
    """Return whether a result is a response for the caller, whatever the other send brings."""
    if not isinstance(result, UpstreamResponse):
        return False
    return not result.is_failure and result.status not in NOT_RUN_STATUSES


def choose_failure(exchange: Exchange, first: SendResult, copy: SendResult) -> SendResult:
    """Return the failure that decides about the next step, and record the other one.

    A send that may have run decides. If one that certainly did not run decided, the request could
    be sent again without a retry token, or the caller be told that nothing ran.
    """
    chosen, other = first, copy
    if _find_precedence(copy) > _find_precedence(first):
        chosen, other = copy, first
    exchange.attempts.record_failure(classify_outcome(other))
    # A withdrawn copy may have been withdrawn for other reasons than its target.
    if not (isinstance(other, SendFailure) and other.kind is FailureKind.WITHDRAWN):
        exclude_target(exchange, other)
    if (
        isinstance(other, UpstreamResponse)
        and _find_precedence(other) is _Precedence.ANSWERED_FAILURE
    ):
        exchange.failed_response = other
    return chosen


def _find_precedence(result: SendResult) -> _Precedence:
    if isinstance(result, UpstreamResponse):
        is_not_run = result.status in NOT_RUN_STATUSES
        return _Precedence.ANSWERED_NOT_RUN if is_not_run else _Precedence.ANSWERED_FAILURE
    if result.kind.certainly_not_sent:
        return _Precedence.NOT_SENT
    return _Precedence.NOT_RUN if result.kind.certainly_not_run else _Precedence.MAYBE_RUN
