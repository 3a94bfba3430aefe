"""Callers that come back, told from new ones."""

import random

from waxwingshelf.steering.deadlines import UsualDeadlines


def test_a_caller_that_comes_back_has_tried_for_a_while() -> None:
    """Replay of a burst: two in five requests are callers that were refused before."""
    rng = random.Random(1)
    deadlines = UsualDeadlines()
    wrong = 0
    for _ in range(2_000):
        if rng.random() < 0.4:
            elapsed = rng.randint(300, 2_000)
            found = deadlines.find_elapsed_ms(3_000 - elapsed)
        else:
            elapsed = 0
            found = deadlines.find_elapsed_ms(3_000)
        wrong += found != elapsed
    assert wrong <= 0.02 * 2_000


def test_callers_with_a_shorter_deadline_of_their_own_are_new() -> None:
    deadlines = UsualDeadlines()
    found = [deadlines.find_elapsed_ms(3_000 if number % 4 else 1_000) for number in range(400)]
    assert found[40:] == [0] * 360


def test_a_changed_deadline_is_learnt() -> None:
    deadlines = UsualDeadlines()
    for _ in range(1_000):
        deadlines.find_elapsed_ms(3_000)
    found = [deadlines.find_elapsed_ms(2_000) for _ in range(600)]
    assert found[100:] == [0] * 500


def test_few_requests_tell_nothing() -> None:
    deadlines = UsualDeadlines()
    assert deadlines.find_elapsed_ms(3_000) == 0
    assert deadlines.find_elapsed_ms(1_234) == 0


def test_memory_is_bounded_whatever_callers_send() -> None:
    deadlines = UsualDeadlines()
    for value in range(20_000):
        deadlines.find_elapsed_ms(value)
    assert len(deadlines._counts) <= 256
