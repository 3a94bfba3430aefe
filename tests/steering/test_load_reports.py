"""Tests that load reports are as frequent as requests are short."""

import pytest

from waxwingshelf.steering.load_reports import (
    DurationAverage,
    choose_period_ms,
    choose_validity_ms,
)


@pytest.mark.parametrize(
    ("mean_duration_ms", "period_ms"),
    [(None, 100), (50.0, 100), (300.0, 100), (600.0, 200), (900.0, 300), (4_000.0, 300)],
)
def test_period_follows_the_duration_of_requests(mean_duration_ms, period_ms) -> None:
    assert choose_period_ms(mean_duration_ms) == period_ms
    # A peer that hears every sixth report knows the load all the time.
    assert choose_validity_ms(period_ms) == 6 * period_ms


def test_average_follows_the_durations() -> None:
    average = DurationAverage()
    assert average.mean_ms is None
    average.record(1_000)
    assert average.mean_ms == 1_000
    for _ in range(200):
        average.record(200)
    assert average.mean_ms == pytest.approx(200, abs=1)
