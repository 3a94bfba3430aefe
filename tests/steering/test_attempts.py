"""A request is repeated only where that is safe, within its attempts and the budget."""

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


@pytest.mark.parametrize(("end", "step", "maybe_run"), UNSAFE_CASES)
def test_a_request_that_may_have_run_is_never_sent_again(end, step, maybe_run) -> None:
    attempts = Attempts(idempotent=False, max_attempts=3)
    attempts.record_attempt()
    verdict = attempts.decide(end, lambda: True)
    assert verdict.step is step
    assert attempts.maybe_run is maybe_run


def test_an_idempotent_request_is_repeated_until_its_attempts_are_used() -> None:
    attempts = Attempts(idempotent=True, max_attempts=2)
    attempts.record_attempt()
    assert attempts.decide(AttemptOutcome.UNCERTAIN, lambda: True).step is NextStep.SEND_AGAIN
    attempts.record_attempt()
    verdict = attempts.decide(AttemptOutcome.UNCERTAIN, lambda: True)
    assert verdict.step is NextStep.REFUSE
    assert verdict.reason is RefusalReason.ATTEMPTS_USED


def test_a_repeat_takes_from_the_budget_but_not_after_a_failed_connection() -> None:
    asked = []
    attempts = Attempts(idempotent=True, max_attempts=5)
    attempts.record_attempt()
    assert attempts.decide(AttemptOutcome.NOT_CONNECTED, lambda: asked.append(1)).step is (
        NextStep.SEND_AGAIN
    )
    assert not asked
    attempts.record_attempt()
    verdict = attempts.decide(AttemptOutcome.NOT_RUN, lambda: False)
    assert verdict.reason is RefusalReason.RETRY_BUDGET


def test_a_streamed_body_is_sent_once() -> None:
    attempts = Attempts(idempotent=True, max_attempts=3, repeatable=False)
    attempts.record_attempt()
    assert attempts.decide(AttemptOutcome.NOT_RUN, lambda: True).step is NextStep.REFUSE


@pytest.mark.parametrize("reason", list(RefusalReason))
def test_a_status_promises_not_run_only_when_that_is_certain(reason) -> None:
    refusal = Refusal(reason, Step.SEND, maybe_run=True)
    assert refusal.status not in (408, 421, 429, 503)
