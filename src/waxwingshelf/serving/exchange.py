"""The state of a request while it is dispatched, and the refusals that can end it."""

from __future__ import annotations

import random
from enum import StrEnum

import msgspec

from waxwingshelf.platform.names import ORGANISATION_HEADER
from waxwingshelf.serving.dispatch_state import Attempt
from waxwingshelf.serving.send_results import OutgoingRequest, SendFailure, UpstreamResponse
from waxwingshelf.steering.attempts import Attempts
from waxwingshelf.steering.config import RouteRule
from waxwingshelf.steering.refusals import Refusal, RefusalReason, RefusedRequest, Step

__all__ = [
    "Exchange",
    "Hedging",
    "choose_retry_after_ms",
    "exclude_target",
    "prefer_failed_response",
    "refuse",
    "refuse_expired",
]

_RETRY_AFTER_RANGE_MS = (150, 450)
_MAX_RETRY_AFTER_MS = 2_000
# Largest random deviation, as a fraction of the delay.
_RETRY_AFTER_SPREAD = 0.1
_rng = random.Random()


class Hedging(StrEnum):
    """Whether a copy of the request was sent, and whose response counted."""

    NO = "no"
    FIRST = "first"
    COPY = "copy"
    NEITHER = "neither"


class Exchange(msgspec.Struct):
    """The state of one request while it is dispatched; times are clock readings in milliseconds.

    `queued_at_ms` is when the dispatcher last began to look for a target. `latency_objective_at_ms`
    is when the route's latency objective is reached, `deadline_ms` the deadline given to the
    target, and `response_deadline_ms` the time by which this instance must have the response.
    `failed_response` is a target's last failure response. `is_trial` is set while the request may
    be sent once although it is quarantined. `weight` is the organisation's in the order of waiting
    requests. `position` and `share` say where a refused request was in that order: the number of
    requests before it, and the organisation's requests in flight relative to the weight.
    """

    id: str
    route: RouteRule
    service: str
    object_key: str
    priority: int
    queued_at_ms: int
    latency_objective_at_ms: int
    deadline_ms: int
    response_deadline_ms: int
    allowed_regions: frozenset[str]
    outgoing: OutgoingRequest
    attempts: Attempts
    excluded_targets: set[str] = msgspec.field(default_factory=set)
    failed_response: UpstreamResponse | None = None
    last_failed_target_id: str = ""
    last_attempt: Attempt | None = None
    is_trial: bool = False
    hedging: Hedging = Hedging.NO
    weight: float = 1.0
    position: int = 0
    share: float = 0.0

    @property
    def has_object(self) -> bool:
        """Return whether the request is for an object, which may be warm at a target."""
        return self.object_key != self.id

    @property
    def organisation(self) -> str:
        """Return the name of the caller's organisation, or an empty string if it has none."""
        return self.outgoing.headers.get(ORGANISATION_HEADER, "")


def choose_retry_after_ms(expected_wait_ms: int = 0) -> int:
    """Return a random delay in milliseconds after which a refused caller may retry.

    The delay is random so that the callers of a burst do not all retry at the same time. It is near
    the expected wait for capacity if that is known, which differs between the callers of a burst;
    see `steering.wait_estimates`.
    """
    min_ms, max_ms = _RETRY_AFTER_RANGE_MS
    if expected_wait_ms <= 0:
        return _rng.randint(min_ms, max_ms)
    delay_ms = min(max(expected_wait_ms, min_ms), _MAX_RETRY_AFTER_MS)
    spread_ms = int(delay_ms * _RETRY_AFTER_SPREAD)
    return _rng.randint(delay_ms - spread_ms, delay_ms + spread_ms)


def exclude_target(exchange: Exchange, result: UpstreamResponse | SendFailure) -> None:
    """Record the target of a failed attempt, and exclude it unless the links were lost."""
    exchange.last_failed_target_id = result.target_id
    if not (isinstance(result, SendFailure) and result.links_lost):
        exchange.excluded_targets.add(result.target_id)


def prefer_failed_response(exchange: Exchange, refusal: Refusal) -> UpstreamResponse | Refusal:
    """Return the last failure response of a target if there is one, else the refusal."""
    return exchange.failed_response or refusal


def refuse_expired(exchange: Exchange) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    if exchange.attempts.maybe_run:
        return refuse(exchange, RefusalReason.TIMEOUT_AFTER_SEND, Step.SEND, "")
    return refuse(exchange, RefusalReason.TIMEOUT_BEFORE_SEND, Step.PLACE, "")


def refuse(
    exchange: Exchange,
    reason: RefusalReason,
    step: Step,
    detail: str,
    retry_after_ms: int | None = None,
) -> Refusal:
    """Return a refusal that tells what the request has gone through.

    Without `retry_after_ms`, its caller may retry after a random delay.
    """
    return Refusal(
        reason,
        step,
        exchange.last_failed_target_id,
        detail,
        exchange.attempts.maybe_run,
        choose_retry_after_ms() if retry_after_ms is None else retry_after_ms,
        _describe_request(exchange),
    )


def _describe_request(exchange: Exchange) -> RefusedRequest:
    route, attempt = exchange.route, exchange.last_attempt
    return RefusedRequest(
        route=route.name,
        service=exchange.service,
        organisation=exchange.organisation,
        regions=tuple(sorted(exchange.allowed_regions)),
        time_ms=exchange.deadline_ms
        - (exchange.latency_objective_at_ms - route.latency_objective_ms),
        sends=exchange.attempts.sends,
        waited_ms=attempt.sent_ms - exchange.queued_at_ms if attempt else 0,
        load=attempt.placement.load if attempt else 0,
        slots=attempt.state.target.slots if attempt else 0,
        fingerprint=exchange.outgoing.fingerprint,
        position=exchange.position,
        share=round(exchange.share, 4),
    )
