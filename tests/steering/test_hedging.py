"""Tests of the decision about copies: the quantile, the limit, the times and the targets."""

import random

import pytest

from waxwingshelf.steering.hedging import (
    CopyBudget,
    DurationQuantile,
    RouteQuantiles,
    compute_next_check_ms,
    estimate_remaining_ms,
    list_copy_placements,
)
from waxwingshelf.steering.placement import Placement
from waxwingshelf.steering.targets import Target, TargetState

DISTRIBUTIONS = {
    "exponential": lambda rng: rng.expovariate(1 / 200),
    "uniform": lambda rng: rng.uniform(50, 500),
    "heavy tail": lambda rng: 50 * rng.paretovariate(1.5),
    "one in seven slow": lambda rng: 250 if rng.random() < 1 / 7 else 100,
}


@pytest.mark.parametrize("name", DISTRIBUTIONS)
def test_quantile_is_near_the_true_one(name: str) -> None:
    """Fails if the histogram's range, resolution or halving distorts the quantile."""
    rng = random.Random(11)
    durations = [int(DISTRIBUTIONS[name](rng)) for _ in range(20_000)]
    true_ms = sorted(durations)[int(0.95 * len(durations))]
    quantile = DurationQuantile()
    estimates = []
    for duration_ms in durations:
        quantile.record(duration_ms)
        estimates.append(quantile.estimate_ms())
    # Of 256 to 512 durations, 13 to 26 are above the quantile: it varies by a few tenths.
    assert all(0.6 * true_ms < estimate < 1.7 * true_ms for estimate in estimates[1_000:])
    assert sum(estimates[1_000:]) / len(estimates[1_000:]) == pytest.approx(true_ms, rel=0.15)


def test_quantile_is_unknown_at_first() -> None:
    """Fails if copies are sent on the evidence of a few requests."""
    quantile = DurationQuantile()
    for _ in range(39):
        quantile.record(100)
    assert quantile.estimate_ms() is None
    quantile.record(100)
    assert 100 <= quantile.estimate_ms() <= 110


@pytest.mark.parametrize("duration_ms", [-5, 0, 1, 10**9])
def test_extreme_durations_are_bounded(duration_ms: int) -> None:
    """Fails if a jump of the clock or a very long request breaks the histogram."""
    quantile = DurationQuantile()
    for _ in range(50):
        quantile.record(duration_ms)
    assert 1 <= quantile.estimate_ms() < 400_000


def test_quantile_follows_a_change_of_speed() -> None:
    """Fails if old durations outweigh new ones, so that copies go on when all have become slow."""
    quantile = DurationQuantile()
    for _ in range(5_000):
        quantile.record(100)
    for _ in range(30):
        quantile.record(300)
    assert quantile.estimate_ms() >= 300
    for _ in range(1_500):
        quantile.record(100)
    assert quantile.estimate_ms() < 120


def test_routes_are_bounded() -> None:
    """Fails if routes of earlier configurations are kept for ever."""
    quantiles = RouteQuantiles()
    first = quantiles.get("r0")
    for number in range(5_000):
        quantiles.get(f"r{number}")
        assert quantiles.get("r0") is first
    assert len(quantiles._quantiles) <= 1_024


@pytest.mark.parametrize("ratio", [0.01, 0.05, 0.1, 0.2])
def test_copies_stay_within_the_ratio_from_the_start_on(ratio: float) -> None:
    """Fails if there are more copies than the ratio allows at any time, or far fewer."""
    budget, copies = CopyBudget(ratio), 0
    for requests in range(1, 2_001):
        budget.record_request()
        copies += budget.try_acquire()
        assert copies <= ratio * requests + 1e-6
    assert copies >= ratio * 2_000 - 1


def test_saved_copies_are_few() -> None:
    """Fails if a long quiet time allows a burst of copies, or a refund exceeds the capacity."""
    budget = CopyBudget(0.2)
    for _ in range(10_000):
        budget.record_request()
    budget.refund()
    assert [budget.try_acquire() for _ in range(5)] == [True, True, True, False, False]
    budget.refund()
    assert budget.try_acquire()


def test_checks_are_few_and_begin_before_the_quantile() -> None:
    """Fails if a request that hangs is never considered again, or all the time."""
    elapsed_ms, checks = 0, []
    while elapsed_ms < 30_000:
        elapsed_ms += compute_next_check_ms(elapsed_ms, 100)
        checks.append(elapsed_ms)
    assert checks[:5] == [50, 100, 200, 400, 800]
    assert len(checks) < 12


@pytest.mark.parametrize("quantile_ms", [1, 2, 3, 101])
@pytest.mark.parametrize("elapsed_ms", [0, 1, 50, 100, 101, 10_000])
def test_time_to_the_next_check_is_positive(quantile_ms: int, elapsed_ms: int) -> None:
    """Fails if the wait for the next check does not end, or ends at once for ever."""
    assert 0 < compute_next_check_ms(elapsed_ms, quantile_ms) <= max(quantile_ms, elapsed_ms)


REMAINING_CASES = [
    # Before the quantile, only a target that is known to be slow leaves much time.
    (50, 100.0, 110, 50.0),
    (50, 250.0, 110, 200.0),
    (90, 50.0, 110, -40.0),
    # From the quantile on, something unknown is wrong.
    (110, 100.0, 110, 110.0),
    (220, 100.0, 110, 440.0),
    (440, 100.0, 110, 1_760.0),
    # At a target that is known to be slow, that is what takes so long.
    (110, 900.0, 110, 790.0),
]


@pytest.mark.parametrize(("elapsed_ms", "expected_ms", "quantile_ms", "remaining"), REMAINING_CASES)
def test_remaining_time(
    elapsed_ms: int, expected_ms: float, quantile_ms: int, remaining: float
) -> None:
    """Fails if reported slowness does not bring a copy forward, or a hang is not noticed."""
    assert estimate_remaining_ms(elapsed_ms, expected_ms, quantile_ms) == remaining


def make_placement(name: str, cost_ms: float, load: int = 0) -> Placement:
    target = Target(name, "reads", "h", 1, "north-1", "", 4, False, 0, 0)
    return Placement(TargetState(target), 0, load, False, cost_ms, cost_ms)


def test_copy_goes_only_where_it_is_worth_it() -> None:
    """Fails if a copy goes to the first target, a full one, or one that is not sooner."""
    placements = [
        make_placement("first", 10),
        make_placement("full", 20, load=4),
        make_placement("good", 50, load=3),
        make_placement("too slow", 150),
        make_placement("also good", 60),
    ]
    first = placements[0].state
    chosen = list_copy_placements(placements, first, 100.0, 1_000)
    assert [placement.state.target.id for placement in chosen] == ["good", "also good"]
    assert list_copy_placements(placements, first, 100.0, 50) == []
    assert list_copy_placements(placements, first, -1.0, 1_000) == []


def test_equally_slow_targets_are_not_worth_a_copy() -> None:
    """Fails if a slowness that all targets share makes copies look useful."""
    for factor in (1.0, 2.5, 4.0):
        other = make_placement("other", 100 * factor)
        first = make_placement("first", 100 * factor).state
        for elapsed_ms in (50, 110, 220, 399):
            if elapsed_ms < 100 * factor:
                remaining_ms = estimate_remaining_ms(elapsed_ms, 100 * factor, 110)
                assert list_copy_placements([other], first, remaining_ms, 9_999) == []
