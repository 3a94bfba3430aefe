"""Decide whether a request that is slow to be answered gets a copy at another target.

A copy is sent once the request has taken longer than most requests of its route, and if another
target is expected to answer it sooner than the first one (Dean and Barroso, "The Tail at Scale",
2013). Copies are limited to a share of the requests that may be repeated.
"""

from __future__ import annotations

import math
from array import array
from collections import OrderedDict
from collections.abc import Iterable

from waxwingshelf.steering.placement import Placement
from waxwingshelf.steering.targets import TargetState

__all__ = [
    "CopyBudget",
    "DurationQuantile",
    "RouteQuantiles",
    "compute_next_check_ms",
    "estimate_remaining_ms",
    "list_copy_placements",
]

_QUANTILE = 0.95
_BUCKET_RATIO = 1.1
_LOG_BUCKET_RATIO = math.log(_BUCKET_RATIO)
# Up to five minutes; longer durations count as that.
_BUCKETS = 133
# Below this, the quantile would rest on one or two durations.
_MIN_SAMPLES = 40
# When the counts reach this sum, they are halved, so that earlier durations count less.
_MAX_SAMPLES = 512
# An estimate is used for this many further durations, as it takes some microseconds.
_ESTIMATE_USES = 8
_MAX_ROUTES = 1_024
_MAX_TOKENS = 3.0
# Sums of ratios like 0.1 stay just below whole tokens.
_ROUNDING = 1e-9
# The first check, as a fraction of the quantile, finds requests at targets that have become slow.
_EARLY_FRACTION = 0.5


class DurationQuantile:
    """The 0.95 quantile of recent durations, from a histogram with logarithmic buckets.

    The estimate is at most a tenth too high.
    """

    __slots__ = ("_counts", "_estimate_ms", "_recorded", "_total")

    def __init__(self) -> None:
        self._counts = array("f", bytes(4 * _BUCKETS))
        self._total = 0.0
        self._estimate_ms: int | None = None
        # Durations since the estimate.
        self._recorded = 0

    def record(self, duration_ms: int) -> None:
        """Add one duration."""
        index = int(math.log(max(1, duration_ms)) / _LOG_BUCKET_RATIO)
        self._counts[min(index, _BUCKETS - 1)] += 1.0
        self._total += 1.0
        self._recorded += 1
        if self._total >= _MAX_SAMPLES:
            self._counts = array("f", [count / 2 for count in self._counts])
            self._total /= 2

    def estimate_ms(self) -> int | None:
        """Return the quantile in milliseconds, or None while too few durations are known."""
        if self._total < _MIN_SAMPLES:
            return None
        if self._estimate_ms is None or self._recorded >= _ESTIMATE_USES:
            self._estimate_ms = self._compute_ms()
            self._recorded = 0
        return self._estimate_ms

    def _compute_ms(self) -> int:
        max_above = self._total * (1.0 - _QUANTILE)
        above = 0.0
        for index in range(_BUCKETS - 1, -1, -1):
            above += self._counts[index]
            if above > max_above:
                return math.ceil(_BUCKET_RATIO ** (index + 1))
        return 1


class RouteQuantiles:
    """The quantiles of routes by name; those not used for longest are dropped beyond a limit."""

    __slots__ = ("_quantiles",)

    def __init__(self) -> None:
        self._quantiles: OrderedDict[str, DurationQuantile] = OrderedDict()

    def get(self, route: str) -> DurationQuantile:
        """Return the quantile of a route's durations."""
        quantile = self._quantiles.get(route)
        if quantile is None:
            quantile = self._quantiles[route] = DurationQuantile()
            if len(self._quantiles) > _MAX_ROUTES:
                self._quantiles.popitem(last=False)
        self._quantiles.move_to_end(route)
        return quantile


class CopyBudget:
    """A token bucket that allows copies in proportion to the repeatable requests of a service.

    It starts empty, so that copies never exceed the ratio since the start. The copies of all
    instances thus stay within the ratio of all requests, without any message between them.
    """

    __slots__ = ("_ratio", "_tokens")

    def __init__(self, max_extra_ratio: float) -> None:
        self._ratio = max_extra_ratio
        self._tokens = 0.0

    def record_request(self) -> None:
        """Add the tokens that a repeatable request brings."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Take the token for one copy; return False if there is none."""
        if self._tokens < 1.0 - _ROUNDING:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Put back the token of a copy that was not sent."""
        self._tokens = min(_MAX_TOKENS, self._tokens + 1.0)


def compute_next_check_ms(elapsed_ms: int, quantile_ms: int) -> int:
    """Return in how many milliseconds an unanswered request is to be considered for a copy.

    That is at half the quantile, at the quantile, and then each time the elapsed time has doubled,
    since a copy that was not worth it becomes so when the first target never answers.
    """
    early_ms = int(quantile_ms * _EARLY_FRACTION)
    if elapsed_ms < early_ms:
        return early_ms - elapsed_ms
    check_ms = quantile_ms
    while check_ms <= elapsed_ms:
        check_ms *= 2
    return check_ms - elapsed_ms


def estimate_remaining_ms(elapsed_ms: int, expected_ms: float, quantile_ms: int) -> float:
    """Return the time that the first target is expected to need still.

    `expected_ms` is the whole time expected there at its present speed. A request that has taken
    longer than that and than most requests is expected to take as long again, as if its duration
    had a heavy tail, and longer still the more it exceeds them: it may never be answered.
    """
    usual_ms = max(expected_ms, float(quantile_ms))
    if elapsed_ms < usual_ms:
        return expected_ms - elapsed_ms
    return elapsed_ms * (elapsed_ms / usual_ms)


def list_copy_placements(
    placements: Iterable[Placement], first: TargetState, remaining_ms: float, time_left_ms: int
) -> list[Placement]:
    """Return the placements at which a copy is worth it, in the given order.

    The target must be expected to answer sooner than the first one and within the time that is
    left, and have a free slot: a copy must not make other requests wait.
    """
    max_cost_ms = min(remaining_ms, float(time_left_ms))
    return [
        placement
        for placement in placements
        if placement.state.target.id != first.target.id
        and placement.load < placement.state.target.slots
        and placement.cost_ms < max_cost_ms
    ]
