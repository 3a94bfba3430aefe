"""The present speed of targets, as their responses report it.

Targets share their machines, so that some are several times slower for a few hundred milliseconds,
and then others are. A moving average of durations shows that too late. A reported figure shows it
at once, but it is outdated as soon as the speed changes. Its weight therefore decays with its age,
by a time that `SpeedModel` learns from how soon figures change.

A slowness is how many times longer than usual work takes; 1.0 is usual.
"""

from __future__ import annotations

import math

import msgspec

__all__ = ["UNKNOWN_SPEED", "SpeedEstimate", "SpeedModel", "TargetSpeed"]

_USUAL_SLOWNESS = 1.0
# Reported figures are bounded, since some are mistakes.
_MIN_SLOWNESS = 0.25
_MAX_SLOWNESS = 8.0
# Two figures whose ratio is below this are the same speed with noise.
_CHANGE_RATIO = 1.25
_MIN_LASTING_MS = 100.0
_MAX_LASTING_MS = 4_000.0
_INITIAL_LASTING_MS = 600.0
_LEARNING_RATE = 0.1
# Some hundred responses, since all of one period in which a machine is slow tell the same.
_SMOOTHING_FACTOR = 0.005
# The variance of reported figures that counts as much as the initial trust in them.
_INITIAL_VARIANCE = 0.05
_MAX_EXCESS = _MAX_SLOWNESS - _USUAL_SLOWNESS
# The weight of an older figure is below 0.001.
_MAX_AGE_FACTOR = 7.0
# A figure is taken to be stuck when it stays the same for this many times the usual time.
_STEADY_FACTOR = 3.0
_MAX_STEADY_MS = 2_000.0


class SpeedEstimate(msgspec.Struct, frozen=True):
    """A reported slowness, and its weight against other estimates, from 0 to 1."""

    slowness: float
    weight: float


UNKNOWN_SPEED = SpeedEstimate(_USUAL_SLOWNESS, 0.0)


class SpeedModel(msgspec.Struct):
    """What an instance learns of reported figures from the responses of all its targets.

    `lasting_ms` is the time for which an unusual speed lasts. `trust` is the part of a reported
    slowness that durations confirm, from 0 to 1: it falls to 0 if figures are always outdated.
    `mean_excess` is the mean of the reported slowness during requests, less 1.
    """

    lasting_ms: float = _INITIAL_LASTING_MS
    trust: float = 1.0
    mean_excess: float = 0.0
    _unusual_fraction: float = 0.0
    _mean_observed: float = 0.0
    _variance: float = 0.0
    _covariance: float = 0.0

    def record_figure(self, slowness: float) -> None:
        """Count a reported figure towards the fraction of unusual ones."""
        unusual = 1.0 if _is_unusual(slowness) else 0.0
        self._unusual_fraction += _SMOOTHING_FACTOR * (unusual - self._unusual_fraction)

    def record_succession(self, earlier: float, later: float, gap_ms: int) -> None:
        """Learn how long unusual speeds last from two successive figures of one target.

        The estimate moves until changes are as frequent as it predicts. Figures may be far apart,
        and a speed that has changed may be unusual again by chance.
        """
        if not _is_unusual(earlier) or gap_ms <= 0:
            return
        expected = (1.0 - self._unusual_fraction) * (1.0 - math.exp(-gap_ms / self.lasting_ms))
        changed = 1.0 if _is_change(earlier, later) else 0.0
        lasting_ms = self.lasting_ms * math.exp(_LEARNING_RATE * (expected - changed))
        self.lasting_ms = min(_MAX_LASTING_MS, max(_MIN_LASTING_MS, lasting_ms))

    def record_run(self, reported: float, observed: float) -> None:
        """Update the trust from one request's reported and observed slowness.

        The trust is the slope of a linear regression over the last requests.
        """
        reported_excess = reported - _USUAL_SLOWNESS
        observed_excess = min(observed - _USUAL_SLOWNESS, _MAX_EXCESS)
        reported_change = reported_excess - self.mean_excess
        observed_change = observed_excess - self._mean_observed
        self.mean_excess += _SMOOTHING_FACTOR * reported_change
        self._mean_observed += _SMOOTHING_FACTOR * observed_change
        self._variance += _SMOOTHING_FACTOR * (reported_change**2 - self._variance)
        product = reported_change * observed_change
        self._covariance += _SMOOTHING_FACTOR * (product - self._covariance)
        slope = (_INITIAL_VARIANCE + self._covariance) / (_INITIAL_VARIANCE + self._variance)
        self.trust = min(1.0, max(0.0, slope))


class TargetSpeed(msgspec.Struct):
    """The last figure that one run of a target reported, to this instance or to a peer.

    `own` is set if this instance got the figure from the target. `reported_at_ms` is None before
    the first figure. The figure was about `steady_slowness` since `steady_since_ms`.
    `notable_at_ms` is when this instance last got a figure that peers should know.
    """

    model: SpeedModel = msgspec.field(default_factory=SpeedModel)
    slowness: float = _USUAL_SLOWNESS
    reported_at_ms: int | None = None
    own: bool = False
    steady_slowness: float = _USUAL_SLOWNESS
    steady_since_ms: int = 0
    notable_at_ms: int | None = None

    def record_report(self, slowness: float, now_ms: int) -> None:
        """Take over the figure of a response."""
        slowness = _bound(slowness)
        self.model.record_figure(slowness)
        if self.reported_at_ms is not None:
            self.model.record_succession(self.slowness, slowness, now_ms - self.reported_at_ms)
        if _is_unusual(slowness) or _is_change(self.slowness, slowness):
            self.notable_at_ms = now_ms
        self._replace(slowness, now_ms, own=True)

    def record_peer_report(self, slowness: float, reported_at_ms: int) -> None:
        """Take over the figure that a peer passed on, unless a later one is known."""
        if slowness <= 0:
            return
        if self.reported_at_ms is None or reported_at_ms > self.reported_at_ms:
            self._replace(_bound(slowness), reported_at_ms, own=False)

    def estimate(self, now_ms: int) -> SpeedEstimate:
        """Return the reported slowness and its weight."""
        weight = self.compute_weight(now_ms)
        return SpeedEstimate(self.slowness, weight) if weight > 0 else UNKNOWN_SPEED

    def compute_weight(self, now_ms: int) -> float:
        """Return the weight of the reported slowness, which decays with its age.

        It is called for each target that a request may go to.
        """
        if self.reported_at_ms is None:
            return 0.0
        lasting_ms = self.model.lasting_ms
        age = (now_ms - self.reported_at_ms) / lasting_ms
        if age > _MAX_AGE_FACTOR:
            return 0.0
        # A figure that stays the same for longer than speeds last may be stuck. If it is right, the
        # average of durations shows it as well by then.
        steady_ms = self.reported_at_ms - self.steady_since_ms
        limit_ms = min(_MAX_STEADY_MS, _STEADY_FACTOR * lasting_ms)
        if steady_ms > limit_ms:
            age += steady_ms / limit_ms - 1.0
        return math.exp(-age) if age > 0 else 1.0

    def estimate_run(self, before: SpeedEstimate, sent_ms: int, now_ms: int) -> float:
        """Return the reported slowness during a request that ends now.

        `before` is the estimate when the request was sent. Figures reported since tell the speed at
        the end of the request; they fill in for what was not known before. Both count less for a
        request that took longer than speeds last.
        """
        elapsed = max(1, now_ms - sent_ms) / self.model.lasting_ms
        mean_weight = (1.0 - math.exp(-elapsed)) / elapsed
        before_weight = before.weight * mean_weight
        run_slowness = _USUAL_SLOWNESS + before_weight * (before.slowness - _USUAL_SLOWNESS)
        if self.reported_at_ms is not None and self.reported_at_ms >= sent_ms:
            after_weight = (1.0 - before_weight) * mean_weight * self.compute_weight(now_ms)
            run_slowness += after_weight * (self.slowness - _USUAL_SLOWNESS)
        return run_slowness

    def compute_run_factor(self, run_slowness: float) -> float:
        """Return how many times longer a request took because of its reported slowness.

        That is relative to the mean of all requests: what slows all of them for long has to count
        as their duration.
        """
        model = self.model
        factor = _USUAL_SLOWNESS + model.trust * (run_slowness - _USUAL_SLOWNESS)
        return factor / (_USUAL_SLOWNESS + model.trust * model.mean_excess)

    def find_recent(self, now_ms: int) -> float | None:
        """Return the reported slowness, or None if it is so old that it does not count."""
        return self.slowness if self.compute_weight(now_ms) > 0 else None

    def find_notable(self, now_ms: int, max_age_ms: int) -> float | None:
        """Return this instance's figure if it is fresh and peers should know it, else None."""
        if self.notable_at_ms is None or not self.own:
            return None
        return self.slowness if now_ms - self.notable_at_ms <= max_age_ms else None

    def _replace(self, slowness: float, reported_at_ms: int, own: bool) -> None:
        if self.reported_at_ms is None or _is_change(self.steady_slowness, slowness):
            self.steady_slowness = slowness
            self.steady_since_ms = reported_at_ms
        self.slowness = slowness
        self.reported_at_ms = reported_at_ms
        self.own = own


def _bound(slowness: float) -> float:
    return min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, slowness))


def _is_unusual(slowness: float) -> bool:
    return _is_change(_USUAL_SLOWNESS, slowness)


def _is_change(earlier: float, later: float) -> bool:
    return max(earlier, later) >= min(earlier, later) * _CHANGE_RATIO
