"""A short seeded part of the soak; `make soak` plays many seeds."""

import pytest

from tests.soak.soak import play_seed

# Seeds that once failed stay here, each with its cause.
SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_drawn_faults(seed, tmp_path) -> None:
    violations, outcomes = play_seed(seed, tmp_path)
    assert not violations
    assert outcomes.get(200, 0) > 100
