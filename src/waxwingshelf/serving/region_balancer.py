"""Adapt the weights of the regions to their demand, and report each change."""

from __future__ import annotations

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.dispatch_state import DispatchState
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.region_weights import RegionShift

__all__ = ["RegionBalancer"]

_log = structlog.get_logger("region_balancer")


class RegionBalancer:
    """Update the weights of the regions for all services."""

    def __init__(
        self,
        dispatch_state: DispatchState,
        routing_state: RoutingState,
        fleet: Fleet,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._dispatch_state = dispatch_state
        self._routing_state = routing_state
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics

    def update(self) -> None:
        """Update the known demand and the weights; call this several times per second."""
        now_ms = self._clock.now_ms()
        region_weights = self._dispatch_state.region_weights
        region_weights.demand.update(self._fleet.count_by_region(), now_ms)
        config = self._routing_state.config
        if config is None:
            return
        region_weights.forget_services(config.services)
        placer = self._dispatch_state.placer
        for service in config.services:
            shift = placer.update_region_weights(service, now_ms, self._clock.wall_ms())
            if shift is not None:
                self._report(service, shift)

    def _report(self, service: str, shift: RegionShift) -> None:
        for region, weight in shift.weights.items():
            self._metrics.region_weight.labels(service, region).set(weight)
        _log.info(
            "region_weights",
            service=service,
            weights=_round(shift.weights),
            demand_slots=_round(shift.demand),
            slots=_round(shift.slots),
            moved=round(shift.moved, 3),
        )


def _round(values: dict[str, float]) -> dict[str, float]:
    return {region: round(value, 2) for region, value in values.items()}
