"""Refusals: why no target answered a request, and whether the request may have run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["REASONS", "Ran", "Refusal", "RefusalReason", "Step", "refuse"]

_PROBLEM_TYPE_PREFIX = "urn:waxwingshelf:problem:"


class Ran(StrEnum):
    """Whether the refused request may have run at a target."""

    NO = "no"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """The step of request handling at which a refusal arose."""

    READ = "read"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    CLAIM = "claim"
    ROUTE = "route"
    SEND = "send"
    ANSWER = "answer"
    ADMINISTER = "administer"


@dataclass(frozen=True, slots=True)
class RefusalReason:
    """A refusal reason with a stable name.

    `status` is the HTTP status; `ran` is the default for refusals with this reason.
    """

    name: str
    status: int
    step: Step
    ran: Ran
    title: str

    @property
    def problem_type(self) -> str:
        """Return the URI of the problem type (RFC 9457)."""
        return _PROBLEM_TYPE_PREFIX + self.name


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final response that does not come from a target.

    `peer` names the instance, target or key-value service at which the refusal arose, and may be
    empty.
    """

    reason: RefusalReason
    ran: Ran
    peer: str = ""
    detail: str = ""
    retry_after_ms: int | None = None


REASONS: dict[str, RefusalReason] = {}


def _register(name: str, status: int, step: Step, title: str, ran: Ran = Ran.NO) -> RefusalReason:
    reason = RefusalReason(name, status, step, ran, title)
    REASONS[name] = reason
    return reason


def refuse(
    reason: RefusalReason,
    *,
    ran: Ran | None = None,
    peer: str = "",
    detail: str = "",
    retry_after_ms: int | None = None,
) -> Refusal:
    """Build a refusal; `ran` defaults to the value of the reason."""
    return Refusal(reason, reason.ran if ran is None else ran, peer, detail, retry_after_ms)


BAD_REQUEST = _register("bad_request", 400, Step.READ, "The request is malformed")
BODY_TOO_LARGE = _register("body_too_large", 413, Step.READ, "The body is over the limit")
BODY_TOO_SLOW = _register("body_too_slow", 408, Step.READ, "The body arrived too slowly")
SERVICE_UNKNOWN = _register("service_unknown", 404, Step.READ, "No such service")
KEY_MISSING = _register("key_missing", 401, Step.AUTHENTICATE, "A key is required")
KEY_INVALID = _register("key_invalid", 401, Step.AUTHENTICATE, "The key is not valid")
KEYS_STALE = _register(
    "keys_stale", 503, Step.AUTHENTICATE, "Keys were not confirmed for longer than the limit"
)
NOT_READY = _register("not_ready", 503, Step.ADMIT, "The instance has no configuration yet")
NO_SHARE = _register("no_share", 503, Step.ADMIT, "The instance may not use any share now")
RATE_EXCEEDED = _register("rate_exceeded", 429, Step.ADMIT, "The organisation's rate is used up")
QUEUE_FULL = _register("queue_full", 503, Step.ADMIT, "Too many requests are waiting")
DEADLINE_TOO_SHORT = _register(
    "deadline_too_short", 503, Step.ADMIT, "The request cannot finish before its deadline"
)
DRAINING = _register("draining", 503, Step.ADMIT, "The instance is stopping")
ID_MISSING = _register("id_missing", 400, Step.CLAIM, "An Idempotency-Key is required")
ID_INVALID = _register("id_invalid", 400, Step.CLAIM, "The Idempotency-Key is malformed")
ID_EXPIRED = _register("id_expired", 409, Step.CLAIM, "The request id has expired", Ran.UNKNOWN)
ID_REUSED = _register("id_reused", 422, Step.CLAIM, "The id was used for another request")
IN_PROGRESS = _register(
    "in_progress", 409, Step.CLAIM, "The first request with this id has no answer yet", Ran.UNKNOWN
)
CLAIM_UNAVAILABLE = _register(
    "claim_unavailable", 503, Step.CLAIM, "The request id could not be claimed", Ran.UNKNOWN
)
ANSWER_NOT_KEPT = _register(
    "answer_not_kept", 409, Step.CLAIM, "The first answer was too large to keep", Ran.UNKNOWN
)
NO_TARGET = _register("no_target", 503, Step.ROUTE, "No healthy target has room")
SHIFT_CAPPED = _register("shift_capped", 503, Step.ROUTE, "The cap on the shift is used up")
RETRIES_EXHAUSTED = _register("retries_exhausted", 503, Step.SEND, "Retries are used up")
TARGET_FAILED = _register(
    "target_failed", 502, Step.ANSWER, "The target failed after the request was sent", Ran.UNKNOWN
)
DEADLINE_PASSED = _register(
    "deadline_passed", 504, Step.ANSWER, "The deadline passed after sending", Ran.UNKNOWN
)
INTERNAL_ERROR = _register(
    "internal_error", 500, Step.ANSWER, "The instance failed; its log says how", Ran.UNKNOWN
)
OPERATOR_KEY_INVALID = _register(
    "operator_key_invalid", 401, Step.ADMINISTER, "The operator key is not valid"
)
OUT_OF_SCOPE = _register("out_of_scope", 403, Step.ADMINISTER, "The key may not change this")
MANIFEST_INVALID = _register("manifest_invalid", 422, Step.ADMINISTER, "The manifest has faults")
CHANGE_CONFLICT = _register(
    "change_conflict", 409, Step.ADMINISTER, "Somebody else changed the same thing"
)
STORE_UNAVAILABLE = _register(
    "store_unavailable", 503, Step.ADMINISTER, "The key-value service does not answer"
)
CHANGE_UNKNOWN = _register(
    "change_unknown",
    504,
    Step.ADMINISTER,
    "Whether the change took effect is not known",
    Ran.UNKNOWN,
)

__all__ += sorted(name for name, value in globals().items() if isinstance(value, RefusalReason))
