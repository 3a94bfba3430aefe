"""Refusals: responses of the instance itself instead of a response of a target.

A refusal states the reason and whether a target may have run the request.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

__all__ = ["NOT_RUN_STATUSES", "Refusal", "RefusalReason", "RefusedRequest", "Step"]


class Step(StrEnum):
    """The step of the request path at which a request was refused."""

    READ = "read"
    ROUTE = "route"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    PLACE = "place"
    SEND = "send"
    ANSWER = "answer"


class RefusalReason(StrEnum):
    """Why a request was refused or failed."""

    NO_CONFIG = "no_config"
    STOPPING = "stopping"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BODY_TOO_LARGE = "body_too_large"
    OVER_RATE = "over_rate"
    NO_TARGET = "no_target"
    TARGETS_PAUSED = "targets_paused"
    TARGETS_UNREACHABLE = "targets_unreachable"
    QUARANTINED = "quarantined"
    NO_ROOM = "no_room"
    RETRY_BUDGET = "retry_budget"
    ATTEMPTS_USED = "attempts_used"
    TIMEOUT_BEFORE_SEND = "timeout_before_send"
    TIMEOUT_AFTER_SEND = "timeout_after_send"
    TARGET_FAILED = "target_failed"
    INTERNAL = "internal"


_STATUSES = {
    RefusalReason.NO_CONFIG: 503,
    RefusalReason.STOPPING: 503,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.OVER_RATE: 429,
    RefusalReason.NO_TARGET: 503,
    RefusalReason.TARGETS_PAUSED: 503,
    RefusalReason.TARGETS_UNREACHABLE: 503,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.NO_ROOM: 503,
    RefusalReason.RETRY_BUDGET: 503,
    RefusalReason.ATTEMPTS_USED: 503,
    RefusalReason.TIMEOUT_BEFORE_SEND: 503,
    RefusalReason.TIMEOUT_AFTER_SEND: 504,
    RefusalReason.TARGET_FAILED: 502,
    RefusalReason.INTERNAL: 500,
}
# Statuses that tell a caller that its request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class RefusedRequest(msgspec.Struct, frozen=True):
    """The inputs of a decision to refuse a request, for the log.

    `time_ms` is the total time that the request had, `regions` the regions that it may run in
    (empty for any). `load`, `slots` and `waited_ms` belong to the last attempt. `position` is the
    number of waiting requests that went before it, and `share` its organisation's requests in
    flight relative to the organisation's weight, if it was refused for want of capacity.
    """

    route: str
    service: str
    organisation: str
    regions: tuple[str, ...]
    time_ms: int
    sends: int = 0
    waited_ms: int = 0
    load: int = 0
    slots: int = 0
    fingerprint: str = ""
    position: int = 0
    share: float = 0.0


class Refusal(msgspec.Struct, frozen=True):
    """The response to a refused request; `maybe_run` states whether a target may have run it."""

    reason: RefusalReason
    step: Step
    peer: str = ""
    detail: str = ""
    maybe_run: bool = False
    retry_after_ms: int = 0
    request: RefusedRequest | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status: one of `NOT_RUN_STATUSES` only if no target can have run it."""
        status = _STATUSES[self.reason]
        if self.maybe_run and status in NOT_RUN_STATUSES:
            return 502
        return status
