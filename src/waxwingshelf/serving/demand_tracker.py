"""Measure what each organisation asks of this instance, and keep its part of their rates."""

from __future__ import annotations

import math

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.config import OrganisationRule
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.limits import RateBucket
from waxwingshelf.steering.owners import MAX_OWNERS_ASKED, OwnerReports

__all__ = ["DemandTracker"]

_TIME_CONSTANT_MS = 1_000.0
_MIN_RATE = 0.01
# The rest of the slack is for parts that overlap while demand moves.
_SLACK_PART = 0.5
# What all instances together may admit of a rate while nobody keeps it.
_SPARE_PART = 0.1
_MS_PER_S = 1_000
# A longer gap between two updates means that the process stood still.
_FROZEN_MS = 1_000


class DemandTracker:
    """Demand rates and token buckets by organisation."""

    def __init__(self, clock: Clock, fleet: Fleet, owners: OwnerReports, rate_slack: float) -> None:
        self._clock = clock
        self._fleet = fleet
        self._owners = owners
        self._rate_slack = rate_slack
        self._counts: dict[str, int] = {}
        self._rates: dict[str, float] = {}
        self._buckets: dict[str, RateBucket] = {}
        self._spare: dict[str, RateBucket] = {}
        self._updated_ms = clock.now_ms()

    def list_demand_rates(self) -> dict[str, float]:
        """Return the requests a second that arrive here, by organisation."""
        return {name: round(rate, 2) for name, rate in self._rates.items() if rate > _MIN_RATE}

    def acquire(self, rule: OrganisationRule) -> RateBucket | None:
        """Take a token; None when the organisation is over its rate here."""
        self._counts[rule.name] = self._counts.get(rule.name, 0) + 1
        bucket = self.get_or_create_bucket(rule)
        return bucket if bucket.try_acquire(self._clock.now_ms()) else None

    def acquire_fallback(self, rule: OrganisationRule) -> bool:
        """Take a token of the small part that is kept for when no owner answers."""
        now_ms = self._clock.now_ms()
        bucket = self._spare.get(rule.name)
        if bucket is None:
            part = _SPARE_PART / self._fleet.count_instances()
            bucket = RateBucket(rule.rate_per_s, rule.burst, part, now_ms)
            self._spare[rule.name] = bucket
        else:
            bucket.set_rate(rule.rate_per_s, rule.burst, now_ms)
        return bucket.try_acquire(now_ms)

    def get_or_create_bucket(self, rule: OrganisationRule) -> RateBucket:
        """Return the organisation's bucket, made or brought up to date with its rule."""
        now_ms = self._clock.now_ms()
        limits = (rule.rate_per_s, rule.burst)
        bucket = self._buckets.get(rule.name)
        if bucket is None:
            share = self._find_share(rule.name, rule.rate_per_s, now_ms)
            slack = _SLACK_PART * self._rate_slack / self._count_keepers()
            bucket = self._buckets[rule.name] = RateBucket(*limits, share, now_ms, slack)
        else:
            bucket.set_rate(*limits, now_ms)
        return bucket

    def update(self, routing_state: RoutingState) -> None:
        """Measure demand since the last call and follow the fleet's; call some times a second."""
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        part = 1.0 - math.exp(-elapsed_ms / _TIME_CONSTANT_MS)
        for name in set(self._rates) | set(self._counts):
            measured = self._counts.get(name, 0) * _MS_PER_S / elapsed_ms
            rate = self._rates.get(name, 0.0)
            self._rates[name] = rate + part * (measured - rate)
        self._counts.clear()
        self._drop_unknown(routing_state)
        for name, bucket in self._buckets.items():
            if elapsed_ms > _FROZEN_MS:
                bucket.clear(now_ms)
            bucket.set_share(self._find_share(name, bucket.rate_per_s, now_ms), now_ms)

    def _find_share(self, name: str, rate_per_s: float, now_ms: int) -> float:
        own = self._rates.get(name, 0.0)
        if self._fleet.is_large():
            regions = len(self._fleet.list_regions())
            return self._owners.compute_share(name, own, rate_per_s, regions)
        return self._fleet.compute_share(name, own, rate_per_s, now_ms)

    def _count_keepers(self) -> int:
        """Return how many instances may keep a part of a rate at the same time."""
        if self._fleet.is_large():
            return len(self._fleet.list_regions()) * MAX_OWNERS_ASKED
        return self._fleet.count_instances()

    def _drop_unknown(self, routing_state: RoutingState) -> None:
        if routing_state.config is None:
            return
        known = routing_state.config.organisations
        for kept in (self._buckets, self._rates, self._spare):
            for name in kept.keys() - known.keys():
                del kept[name]
