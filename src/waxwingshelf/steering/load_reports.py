"""How often instances tell each other what they have in flight, and for how long that counts.

The load pattern that this answers: where requests take seconds, the number at each target changes
little within a tenth of a second, and hundreds of instances that report so often spend more on
reports than on requests. Where requests are short, a report is soon outdated.
"""

from __future__ import annotations

__all__ = [
    "DEFAULT_VALIDITY_MS",
    "DurationAverage",
    "choose_objects_max_age_ms",
    "choose_period_ms",
    "choose_slowness_max_age_ms",
    "choose_validity_ms",
    "estimate_slowness_age_ms",
]

_MIN_PERIOD_MS = 100
_MAX_PERIOD_MS = 300
# Reports per typical duration of a request.
_REPORTS_PER_DURATION = 3.0
# A report counts for this many periods, since a large fleet sends each to some peers only.
_VALID_PERIODS = 6
DEFAULT_VALIDITY_MS = _VALID_PERIODS * _MIN_PERIOD_MS
_SMOOTHING_FACTOR = 0.05
# A figure of a target's speed is in the reports of this many periods, since one may be lost, and
# since a large fleet sends each to some peers only.
_SLOWNESS_PERIODS = 2
# An object is in the reports of this many periods in a small fleet, since one may be lost.
_OBJECT_PERIODS = 2


class DurationAverage:
    """The moving average of the time that requests take at targets; None before the first."""

    __slots__ = ("mean_ms",)

    def __init__(self) -> None:
        self.mean_ms: float | None = None

    def record(self, elapsed_ms: float) -> None:
        """Include the time of one request."""
        if self.mean_ms is None:
            self.mean_ms = elapsed_ms
        else:
            self.mean_ms += _SMOOTHING_FACTOR * (elapsed_ms - self.mean_ms)


def choose_period_ms(mean_duration_ms: float | None) -> int:
    """Return the time between two load reports."""
    if mean_duration_ms is None:
        return _MIN_PERIOD_MS
    return int(min(_MAX_PERIOD_MS, max(_MIN_PERIOD_MS, mean_duration_ms / _REPORTS_PER_DURATION)))


def choose_validity_ms(period_ms: int) -> int:
    """Return how long a report counts whose sender sends one each period."""
    return _VALID_PERIODS * period_ms


def choose_slowness_max_age_ms(period_ms: int) -> int:
    """Return the maximum age of the targets' figures in a report that is sent each period."""
    return _SLOWNESS_PERIODS * period_ms


def choose_objects_max_age_ms(period_ms: int, is_large_fleet: bool) -> int:
    """Return the maximum age of the requests whose objects are in a report.

    A large fleet sends each report to some peers only, so that objects are in more of them.
    """
    periods = _VALID_PERIODS if is_large_fleet else _OBJECT_PERIODS
    return periods * period_ms


def estimate_slowness_age_ms(validity_ms: int) -> int:
    """Return the mean age of the targets' figures in a report that counts for `validity_ms`."""
    period_ms = min(_MAX_PERIOD_MS, max(_MIN_PERIOD_MS, validity_ms // _VALID_PERIODS))
    return choose_slowness_max_age_ms(period_ms) // 2
