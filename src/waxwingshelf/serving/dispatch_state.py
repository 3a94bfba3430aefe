"""State that dispatched requests share: placement, durations, retry budgets, cold targets."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import msgspec
import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.core.hashing import hash_to_unit_interval
from waxwingshelf.platform.settings import Bounds
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.upstream import FailureKind, SendFailure, UpstreamResponse
from waxwingshelf.steering.config import RouteKind, RouteRule
from waxwingshelf.steering.distances import ResponseSize
from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.fair_order import OrganisationLoads
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.limits import ColdTargetLimiter, RetryBudget
from waxwingshelf.steering.load_reports import DurationAverage
from waxwingshelf.steering.placement import Locality, Placement, Placer
from waxwingshelf.steering.region_weights import RegionWeights
from waxwingshelf.steering.regional_demand import RegionalDemand
from waxwingshelf.steering.response_room import ResponseRoom
from waxwingshelf.steering.target_limits import TargetRateShare
from waxwingshelf.steering.target_pauses import TargetPause
from waxwingshelf.steering.target_reports import NamedLimit, TargetReport
from waxwingshelf.steering.target_speed import UNKNOWN_SPEED, SpeedEstimate
from waxwingshelf.steering.targets import TargetState

__all__ = ["Attempt", "DispatchState"]

# Assumed until a response of the route has arrived; about the size of the largest usual downloads.
_INITIAL_DOWNLOAD_BYTES = 524_288
_SUCCESS_STATUSES = range(200, 300)
# One failure raises the rate to 0.25; it falls below this within a second.
_RECENT_FAILURE_RATE = 0.2
_log = structlog.get_logger("dispatch_state")


class Attempt(msgspec.Struct, frozen=True):
    """One send of a request to a target, with the placement that chose the target.

    `speed` is the reported speed of the target when the request was sent.
    `download_bytes` is the usual size of a download's response, or 0 if the request is none.
    """

    placement: Placement
    number: int
    sent_ms: int
    speed: SpeedEstimate = UNKNOWN_SPEED
    download_bytes: int = 0
    organisation: str = ""

    @property
    def state(self) -> TargetState:
        """Return the state of the target."""
        return self.placement.state


class DispatchState:
    """Track attempts, route durations, retry budgets and cold targets for all requests.

    Retry budgets are kept per service, durations per route.
    """

    def __init__(
        self,
        instance_name: str,
        locality: Locality,
        bounds: Bounds,
        routing_state: RoutingState,
        fleet: Fleet,
        clock: Clock,
        metrics: Metrics,
        response_room: ResponseRoom,
        regional_demand: RegionalDemand,
    ) -> None:
        self._response_room = response_room
        self._instance_name = instance_name
        self._bounds = bounds
        self._routing_state = routing_state
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._cold_limiter = ColdTargetLimiter(instance_name, clock.now_ms())
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._durations: dict[str, RouteDurations] = {}
        self._response_sizes: dict[str, ResponseSize] = {}
        self._attempt_numbers = itertools.count()
        self.duration_average = DurationAverage()
        self.organisation_loads = OrganisationLoads()
        self.region_weights = RegionWeights(regional_demand)
        self.placer = Placer(locality, routing_state.targets, self.region_weights)

    def apply_settings(self, locality: Locality, bounds: Bounds) -> None:
        """Apply changed settings."""
        self._bounds = bounds
        for budget in self._retry_budgets.values():
            budget.set_bounds(bounds.retry_ratio, bounds.retry_slack)
        self.placer = Placer(locality, self._routing_state.targets, self.region_weights)

    def record_request(self, service: str) -> None:
        """Count a new request towards the retry budget of its service."""
        self._get_retry_budget(service).record_request()

    def try_acquire_retry(self, service: str) -> bool:
        """Take one retry from the service's budget; return whether one was available."""
        return self._get_retry_budget(service).try_acquire()

    def return_retry(self, service: str) -> None:
        """Put back a token of the retry budget that was not used."""
        self._get_retry_budget(service).refund()

    def get_durations(self, route: RouteRule) -> RouteDurations:
        """Return the moving averages of a route's request durations.

        They restart when the route's latency objective changes.
        """
        durations = self._durations.get(route.name)
        if durations is None or durations.latency_objective_ms != route.latency_objective_ms:
            durations = self._durations[route.name] = RouteDurations(route.latency_objective_ms)
        return durations

    def get_response_size(self, route: RouteRule) -> ResponseSize:
        """Return the moving average of the size of a route's successful responses."""
        return self._response_sizes.setdefault(route.name, ResponseSize())

    def try_acquire_send(self, state: TargetState, now_ms: int) -> bool:
        """Return whether the target may receive a request now.

        A permitted request counts towards the rate limits of a cold or limited target.
        """
        if not state.may_send(now_ms) or not self._try_acquire_cold_send(state, now_ms):
            return False
        if state.rate_share is not None:
            state.rate_share.record_send(now_ms)
        return True

    def _try_acquire_cold_send(self, state: TargetState, now_ms: int) -> bool:
        if not state.is_cold(now_ms):
            return True
        config = self._routing_state.config
        rule = config.services.get(state.target.service) if config else None
        if rule is None or rule.cold_per_s <= 0:
            return True
        max_sends_per_s = rule.cold_per_s * self._bounds.cold_overage + self._bounds.cold_slack
        return self._cold_limiter.try_acquire(
            state.target.id,
            max_sends_per_s,
            self._fleet.list_instance_names(),
            now_ms,
            self._fleet.count_instances(),
        )

    def estimate_download_bytes(self, route: RouteRule) -> int:
        """Return the usual size of a route's responses if it is one of downloads, else 0."""
        if route.kind is not RouteKind.DOWNLOAD:
            return 0
        size = self.get_response_size(route)
        return max(1, int(size.mean_bytes)) if size.samples else _INITIAL_DOWNLOAD_BYTES

    def has_room_for_download(self, download_bytes: int) -> bool:
        """Return whether this instance has room for the response to a download."""
        return self._response_room.has_room_for_download(download_bytes)

    def try_start_attempt(
        self,
        placements: Iterable[Placement],
        organisation: str,
        download_bytes: int,
        now_ms: int,
    ) -> Attempt | None:
        """Start an attempt at the first target that may receive a request now, if there is one."""
        for placement in placements:
            if self.try_acquire_send(placement.state, now_ms):
                return self.start_attempt(placement, organisation, download_bytes)
        return None

    def start_attempt(
        self, placement: Placement, organisation: str = "", download_bytes: int = 0
    ) -> Attempt:
        """Add a request to the in-flight requests of the target and of the organisation."""
        number, now_ms = next(self._attempt_numbers), self._clock.now_ms()
        speed = placement.state.speed.estimate(now_ms)
        attempt = Attempt(placement, number, now_ms, speed, download_bytes, organisation)
        attempt.state.in_flight[attempt.number] = attempt.sent_ms + int(placement.cold_extra_ms)
        self.organisation_loads.start(attempt.state.target.service, organisation, now_ms)
        if download_bytes:
            attempt.state.downloads += 1
            self._response_room.expect(download_bytes)
        return attempt

    def finish_attempt(self, attempt: Attempt) -> None:
        """Remove a request from the in-flight requests."""
        if attempt.state.in_flight.pop(attempt.number, None) is None:
            return
        self.organisation_loads.finish(
            attempt.state.target.service, attempt.organisation, self._clock.now_ms()
        )
        if attempt.download_bytes:
            attempt.state.downloads -= 1
            self._response_room.stop_expecting(attempt.download_bytes)

    def record_report(self, attempt: Attempt, report: TargetReport) -> None:
        """Take over what the response to an attempt says of its target."""
        is_in_flight = attempt.number in attempt.state.in_flight
        self.apply_report(attempt.state, report, own_requests=int(is_in_flight))

    def apply_report(
        self, sent_to: TargetState, report: TargetReport, own_requests: int = 0
    ) -> None:
        """Take over what a response to a request sent to a target says of the target.

        `own_requests` is 1 if the request is still among those in flight there, else 0.
        """
        now_ms = self._clock.now_ms()
        state: TargetState | None = sent_to
        # The address may belong to another target by now, which then speaks for itself.
        if report.target_id != sent_to.target.id:
            state, own_requests = self._routing_state.targets.find(report.target_id), 0
        if state is None:
            return
        if report.leaving:
            self._record_leaving(state)
        if report.pause_ms > 0:
            self._record_pause(state, report.pause_ms, now_ms)
        elif state.end_pause(now_ms):
            _log.info("target_resumed", target=state.target.id, service=state.target.service)
        if report.load is not None:
            state.record_load(report.load, now_ms, len(state.in_flight) - own_requests)
            if report.load.slowness is not None:
                self._metrics.target_slowness.observe(report.load.slowness)
        if report.limit is not None:
            self._record_limit(state, report.limit, now_ms)

    def record_result(
        self,
        route: RouteRule,
        object_key: str,
        attempt: Attempt,
        result: UpstreamResponse | SendFailure,
    ) -> None:
        """Update the target's state and the route's durations from the result of an attempt."""
        now_ms = self._clock.now_ms()
        state = attempt.state
        if isinstance(result, UpstreamResponse):
            state.record_outcome(result.is_failure, now_ms)
            self._record_duration(route, attempt, now_ms - attempt.sent_ms, now_ms)
            state.record_warm_object(object_key, now_ms)
            if result.status in _SUCCESS_STATUSES:
                self.get_response_size(route).record(len(result.body))
            return
        if result.links_lost or result.kind is FailureKind.UNREACHABLE:
            return
        if result.kind is FailureKind.WRONG_TARGET:
            self._routing_state.record_misdirected(state.target.id)
        elif result.kind is FailureKind.NOT_CONNECTED:
            state.suspend(now_ms)
        elif result.kind is FailureKind.WITHDRAWN:
            return
        state.record_outcome(True, now_ms)

    def record_unfinished(self, attempt: Attempt) -> None:
        """Record the slowness shown by an attempt that was cancelled before its response.

        It would have taken at least as long. Otherwise, a slow target would look usual, as another
        target answers its requests.
        """
        now_ms = self._clock.now_ms()
        state, typical_ms = attempt.state, attempt.placement.longest_ms
        ratio = (now_ms - attempt.sent_ms) / typical_ms
        if ratio > state.compute_slowness(now_ms, typical_ms):
            run_slowness = state.speed.estimate_run(attempt.speed, attempt.sent_ms, now_ms)
            state.record_duration(ratio, now_ms, run_slowness)

    def looks_crashed(self, state: TargetState) -> bool:
        """Return whether a target has failed lately, or its entry is gone."""
        now_ms = self._clock.now_ms()
        if state.is_suspended(now_ms) or not self._routing_state.targets.has(state):
            return True
        return state.compute_failure_rate(now_ms) >= _RECENT_FAILURE_RATE

    def _record_leaving(self, state: TargetState) -> None:
        if self._routing_state.targets.record_leaving(state):
            _log.info(
                "target_leaving",
                target=state.target.id,
                service=state.target.service,
                draining=state.target.draining,
                in_flight=len(state.in_flight),
            )

    def _record_pause(self, state: TargetState, pause_ms: int, now_ms: int) -> None:
        target = state.target
        phase = hash_to_unit_interval("pause", self._instance_name, target.id)
        instances = self._fleet.count_instances()
        pause = TargetPause(now_ms + pause_ms, instances, target.slots, phase)
        if not state.record_pause(pause):
            return
        self._routing_state.targets.record_paused()
        _log.info(
            "target_paused",
            target=target.id,
            service=target.service,
            pause_ms=pause_ms,
            resume_ms=pause.resume_at_ms - now_ms,
            instances=instances,
            in_flight=len(state.in_flight),
        )

    def _record_limit(self, state: TargetState, limit: NamedLimit, now_ms: int) -> None:
        """Take over the rate limit that a target names, or that it names none any more."""
        share, instances = state.rate_share, self._fleet.count_instances()
        if limit.per_s is None:
            state.rate_share = None
        elif share is not None:
            share.set_limit(limit.per_s, instances)
        else:
            phase = hash_to_unit_interval(self._instance_name, state.target.id)
            state.rate_share = TargetRateShare(limit.per_s, instances, phase, now_ms)
        if (share is None) != (limit.per_s is None):
            _log.info(
                "target_limited" if share is None else "target_unlimited",
                target=state.target.id,
                service=state.target.service,
                limit_per_s=limit.per_s,
                before_per_s=share.limit_per_s if share else None,
                instances=instances,
                in_flight=len(state.in_flight),
            )

    def _record_duration(
        self, route: RouteRule, attempt: Attempt, elapsed_ms: int, now_ms: int
    ) -> None:
        self.duration_average.record(elapsed_ms)
        placement, state = attempt.placement, attempt.state
        run_slowness = state.speed.estimate_run(attempt.speed, attempt.sent_ms, now_ms)
        state.record_duration(placement.compute_ratio(elapsed_ms), now_ms, run_slowness)
        if placement.load < state.target.slots:
            usual_ms = round(elapsed_ms / state.speed.compute_run_factor(run_slowness))
            durations = self.get_durations(route)
            durations.record(usual_ms, placement.was_warm(usual_ms, durations))

    def _get_retry_budget(self, service: str) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        instance_count = self._fleet.count_instances()
        if budget is None:
            budget = RetryBudget(self._bounds.retry_ratio, self._bounds.retry_slack, instance_count)
            self._retry_budgets[service] = budget
        budget.set_instance_count(instance_count)
        return budget
