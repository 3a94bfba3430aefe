"""Measure each organisation's demand at this instance and hold the instance's rate shares."""

from __future__ import annotations

import math
from collections.abc import Collection

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.config import OrganisationRule
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.limits import START_DURATION_MS, RateBucket
from waxwingshelf.steering.owners import MAX_OWNERS_ASKED, OwnerReports

__all__ = ["DemandTracker"]

_DEMAND_TIME_CONSTANT_MS = 1_000.0
_MIN_REPORTED_RATE = 0.01
# Fraction of the slack that the buckets hold; the rest covers shares that overlap while demand
# moves between instances.
_SLACK_FRACTION = 0.5
# Fraction of a rate that all instances together may admit while no rate owner responds.
_FALLBACK_FRACTION = 0.1
_MS_PER_S = 1_000
# A longer gap between two updates means that the process was stalled.
_MAX_UPDATE_GAP_MS = 1_000
# In a large fleet, another instance may have owned a rate until this time before the first request.
_HANDOVER_DURATION_MS = 100
# An organisation that is taken out of the configuration may come back with the next change. Its
# bucket is kept for this time, so that it does not begin anew.
_KEEP_REMOVED_MS = 60_000
# A share is logged when it differs from the last logged one by more than this factor.
_LOGGED_SHARE_CHANGE = 1.25
_log = structlog.get_logger("demand_tracker")


class DemandTracker:
    """Demand estimates and token buckets per organisation."""

    def __init__(
        self, clock: Clock, fleet: Fleet, owner_reports: OwnerReports, rate_slack: float
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._owner_reports = owner_reports
        self._rate_slack = rate_slack
        self._request_counts: dict[str, int] = {}
        self._demand_rates: dict[str, float] = {}
        self._buckets: dict[str, RateBucket] = {}
        self._fallback_buckets: dict[str, RateBucket] = {}
        self._logged_shares: dict[str, float] = {}
        # Since when organisations with a bucket or demand have not been in the configuration.
        self._removed_since_ms: dict[str, int] = {}
        # Since when this instance has been the first owner of a rate, in a large fleet.
        self._owned_since_ms: dict[str, int] = {}
        self._owned_at_ms = clock.now_ms()
        self._started_ms = self._updated_ms = clock.now_ms()

    def list_demand_rates(self) -> dict[str, float]:
        """Return the requests per second of each active organisation at this instance."""
        return {
            name: round(rate, 2)
            for name, rate in self._demand_rates.items()
            if rate > _MIN_REPORTED_RATE
        }

    def record_owned(self, organisations: Collection[str]) -> None:
        """Record whose rates this instance owns now; call this several times per second."""
        now_ms = self._clock.now_ms()
        self._owned_since_ms = {
            name: now_ms - self._measure_owned_ms(name, now_ms) for name in organisations
        }
        self._owned_at_ms = now_ms

    def _measure_owned_ms(self, name: str, now_ms: int) -> int:
        """Return for how long this instance has certainly been the owner of a rate."""
        if now_ms - self._owned_at_ms > _MAX_UPDATE_GAP_MS:
            # Another instance may have owned it during a pause of this process.
            return 0
        return now_ms - self._owned_since_ms.get(name, now_ms)

    def try_acquire(self, rule: OrganisationRule) -> RateBucket | None:
        """Count a request and take a token; return the bucket, or None if the bucket is empty."""
        self._request_counts[rule.name] = self._request_counts.get(rule.name, 0) + 1
        bucket = self.get_or_create_bucket(rule)
        return bucket if bucket.try_acquire(self._clock.now_ms()) else None

    def try_acquire_fallback(self, rule: OrganisationRule) -> bool:
        """Take a token from the small fallback bucket, used while no rate owner responds."""
        now_ms = self._clock.now_ms()
        share = _FALLBACK_FRACTION / self._fleet.count_instances()
        bucket = self._fallback_buckets.get(rule.name)
        if bucket is None:
            idle_ms = now_ms - self._started_ms
            bucket = RateBucket(rule.rate_per_s, rule.burst, share, now_ms, idle_ms=idle_ms)
            self._fallback_buckets[rule.name] = bucket
        bucket.set_rate(rule.rate_per_s, rule.burst, now_ms)
        bucket.set_share(share, now_ms)
        return bucket.try_acquire(now_ms)

    def get_or_create_bucket(self, rule: OrganisationRule) -> RateBucket:
        """Return the organisation's bucket, created or updated to match its rule."""
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(rule.name)
        if bucket is None:
            bucket = self._buckets[rule.name] = self._create_bucket(rule, now_ms)
        else:
            bucket.set_rate(rule.rate_per_s, rule.burst, now_ms)
        return bucket

    def _create_bucket(self, rule: OrganisationRule, now_ms: int) -> RateBucket:
        share = self._compute_share(rule.name, rule.rate_per_s, now_ms)
        slack = self._compute_slack()
        if self._fleet.is_large():
            # At least one token, since the first requests may be seconds apart.
            token_ms = math.ceil(_MS_PER_S / (rule.rate_per_s * share))
            owned_ms = self._measure_owned_ms(rule.name, now_ms)
            idle_ms = max(_HANDOVER_DURATION_MS, token_ms, owned_ms)
        else:
            idle_ms = now_ms - self._started_ms + START_DURATION_MS
        bucket = RateBucket(rule.rate_per_s, rule.burst, share, now_ms, slack, idle_ms)
        _log.info(
            "rate_bucket",
            organisation=rule.name,
            share=round(share, 4),
            tokens=round(bucket.tokens, 1),
            slack=round(slack, 1),
            instances=self._fleet.count_instances(),
        )
        return bucket

    def update(self, routing_state: RoutingState) -> None:
        """Update the demand estimates and bucket shares; call this several times per second."""
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        weight = 1.0 - math.exp(-elapsed_ms / _DEMAND_TIME_CONSTANT_MS)
        for name in set(self._demand_rates) | set(self._request_counts):
            measured = self._request_counts.get(name, 0) * _MS_PER_S / elapsed_ms
            rate = self._demand_rates.get(name, 0.0)
            self._demand_rates[name] = rate + weight * (measured - rate)
        self._request_counts.clear()
        self._remove_unknown_organisations(routing_state, now_ms)
        slack = self._compute_slack()
        for name, bucket in self._buckets.items():
            if elapsed_ms > _MAX_UPDATE_GAP_MS:
                bucket.clear(now_ms)
            share = self._compute_share(name, bucket.rate_per_s, now_ms)
            bucket.set_slack(slack)
            bucket.set_share(share, now_ms)
            self._log_share(name, share, now_ms)
        self._fleet.record_demand_used()
        self._owner_reports.record_demand_used()

    def _compute_share(self, name: str, rate_per_s: float, now_ms: int) -> float:
        own = self._demand_rates.get(name, 0.0)
        if self._fleet.is_large():
            regions = len(self._fleet.list_regions())
            return self._owner_reports.compute_share(name, own, rate_per_s, regions, now_ms)
        return self._fleet.compute_share(name, own, rate_per_s, now_ms)

    def _log_share(self, name: str, share: float, now_ms: int) -> None:
        """Log a share that has changed, with the demand that decided it."""
        logged = self._logged_shares.get(name, 0.0)
        if share <= logged * _LOGGED_SHARE_CHANGE and logged <= share * _LOGGED_SHARE_CHANGE:
            return
        self._logged_shares[name] = share
        is_large = self._fleet.is_large()
        source = self._owner_reports if is_large else self._fleet
        peer_demand = source.describe_peer_demand(name, now_ms)
        _log.info(
            "rate_share",
            organisation=name,
            share=round(share, 4),
            before=round(logged, 4),
            own_per_s=round(self._demand_rates.get(name, 0.0), 1),
            peers_per_s=round(peer_demand.per_s, 1),
            oldest_ms=peer_demand.oldest_ms,
            silent_peers=peer_demand.silent_peers,
            instances=self._fleet.count_instances(),
        )

    def _compute_slack(self) -> float:
        """Return the slack of one bucket, in tokens."""
        return _SLACK_FRACTION * self._rate_slack / self._count_share_holders()

    def _count_share_holders(self) -> int:
        """Return how many instances may hold a share of one rate at the same time."""
        if self._fleet.is_large():
            return len(self._fleet.list_regions()) * MAX_OWNERS_ASKED
        return self._fleet.count_instances()

    def _remove_unknown_organisations(self, routing_state: RoutingState, now_ms: int) -> None:
        """Forget the organisations that have been out of the configuration for long enough."""
        if routing_state.config is None:
            return
        known = routing_state.config.organisations
        tables = (self._buckets, self._demand_rates, self._fallback_buckets, self._logged_shares)
        removed = set().union(*tables) - known.keys()
        self._removed_since_ms = {
            name: self._removed_since_ms.get(name, now_ms) for name in removed
        }
        forgotten = [
            name
            for name, since_ms in self._removed_since_ms.items()
            if now_ms - since_ms >= _KEEP_REMOVED_MS
        ]
        for table in tables:
            for name in forgotten:
                table.pop(name, None)
        self._fleet.forget_organisations(known.keys() | removed.difference(forgotten))
