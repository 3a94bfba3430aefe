"""Tests that a request is retried only if that is safe, within its attempts and the budget."""

import pytest

from waxwingshelf.steering.attempts import AttemptOutcome, Attempts, NextStep
from waxwingshelf.steering.refusals import Refusal, RefusalReason, Step

UNSAFE_CASES = [
    (AttemptOutcome.NOT_CONNECTED, NextStep.SEND_AGAIN, False),
    (AttemptOutcome.NOT_RUN, NextStep.SEND_AGAIN, False),
    (AttemptOutcome.UNCERTAIN, NextStep.REFUSE, True),
    (AttemptOutcome.TIMED_OUT, NextStep.REFUSE, True),
    (AttemptOutcome.ANSWERED_FAILURE, NextStep.DELIVER, True),
    (AttemptOutcome.ANSWERED, NextStep.DELIVER, False),
]


@pytest.mark.parametrize(("outcome", "next_step", "maybe_run"), UNSAFE_CASES)
def test_unsafe_request_that_may_have_run_is_not_retried(outcome, next_step, maybe_run) -> None:
    attempts = Attempts(idempotent=False, max_attempts=3)
    attempts.record_attempt()
    decision = attempts.decide(outcome, lambda: True)
    assert decision.step is next_step
    assert attempts.maybe_run is maybe_run


def test_idempotent_request_is_retried_up_to_max_attempts() -> None:
    attempts = Attempts(idempotent=True, max_attempts=2)
    attempts.record_attempt()
    assert attempts.decide(AttemptOutcome.UNCERTAIN, lambda: True).step is NextStep.SEND_AGAIN
    attempts.record_attempt()
    decision = attempts.decide(AttemptOutcome.UNCERTAIN, lambda: True)
    assert decision.step is NextStep.REFUSE
    assert decision.reason is RefusalReason.ATTEMPTS_USED


def test_retry_uses_budget_except_after_failed_connection() -> None:
    taken_retries = []
    attempts = Attempts(idempotent=True, max_attempts=5)
    attempts.record_attempt()
    assert attempts.decide(AttemptOutcome.NOT_CONNECTED, lambda: taken_retries.append(1)).step is (
        NextStep.SEND_AGAIN
    )
    assert not taken_retries
    attempts.record_attempt()
    decision = attempts.decide(AttemptOutcome.NOT_RUN, lambda: False)
    assert decision.reason is RefusalReason.RETRY_BUDGET


def test_non_repeatable_body_is_sent_once() -> None:
    attempts = Attempts(idempotent=True, max_attempts=3, repeatable=False)
    attempts.record_attempt()
    assert attempts.decide(AttemptOutcome.NOT_RUN, lambda: True).step is NextStep.REFUSE


@pytest.mark.parametrize("reason", list(RefusalReason))
def test_status_implies_not_run_only_if_certain(reason) -> None:
    refusal = Refusal(reason, Step.SEND, maybe_run=True)
    assert refusal.status not in (408, 421, 429, 503)


@pytest.mark.parametrize(
    ("outcome", "sends", "maybe_run"),
    [
        (AttemptOutcome.NOT_CONNECTED, 1, False),
        (AttemptOutcome.UNREACHABLE, 1, False),
        (AttemptOutcome.NOT_RUN, 2, False),
        (AttemptOutcome.ANSWERED, 2, False),
        (AttemptOutcome.ANSWERED_FAILURE, 2, True),
        (AttemptOutcome.UNCERTAIN, 2, True),
        (AttemptOutcome.TIMED_OUT, 2, True),
    ],
)
def test_failed_copy_is_counted_but_decides_nothing(outcome, sends, maybe_run) -> None:
    """Fails if a copy that was not sent uses up an attempt, or one that may have run is lost."""
    attempts = Attempts(idempotent=True, max_attempts=3)
    attempts.record_attempt()
    attempts.record_attempt()
    attempts.record_failure(outcome)
    assert (attempts.sends, attempts.maybe_run) == (sends, maybe_run)
