"""Numbers written by others are read, or rejected without an error of another kind."""

import math

import pytest

from waxwingshelf.core.quantities import bound_rate, parse_count
from waxwingshelf.serving.headers import parse_deadline
from waxwingshelf.steering.limits import RateBucket


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("0", 0),
        ("0012", 12),
        ("999999999999999", 10**15 - 1),
        ("", None),
        ("-1", None),
        ("+1", None),
        ("1_000", None),
        (" 1", None),
        ("1.0", None),
        ("²", None),
        ("١٢", None),
        ("\udce9", None),
        ("9" * 5_000, None),
    ],
)
def test_only_ascii_digits_are_a_count(text, expected) -> None:
    """Guards against `int`, which takes other digits and raises for those that only look so."""
    assert parse_count(text) == expected


@pytest.mark.parametrize("text", ["²", "1²", "\udce9", "9" * 400])
def test_deadline_that_is_no_number_is_ignored(text) -> None:
    """Guards against a 500 for a request whose deadline has a superscript digit."""
    assert parse_deadline({"Deadline-Ms": text}) is None


@pytest.mark.parametrize("per_s", [5e-324, 1e-300, 1e-6, 0.5, 1e12, 1e300])
def test_wait_for_a_token_is_finite_at_any_rate(per_s) -> None:
    """Guards against a rate whose reciprocal is infinite, which no wait can be."""
    bucket = RateBucket(per_s, 1.0, 0.5, 0.0, 0)
    while bucket.try_acquire(0):
        pass
    assert 0 < bucket.compute_wait_ms() <= 3_600_001
    assert math.isfinite(1.0 / bound_rate(per_s))


def test_rate_without_a_limit_stays_without() -> None:
    assert bound_rate(0.0) == 0.0
