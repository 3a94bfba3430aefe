"""Decode what targets say of themselves in the headers of their responses."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

import structlog

from waxwingshelf.platform.names import (
    IDLE_TIMEOUT_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    RATE_LIMIT_HEADER,
    REQUEST_ID_HEADER,
    RESPONDING_TARGET_HEADER,
    RETRY_AFTER_HEADER,
)
from waxwingshelf.steering.target_reports import Load, NamedLimit, TargetReport

__all__ = [
    "MISDIRECTED_REQUEST",
    "decode_idle_timeout",
    "decode_target_report",
    "is_rejection",
    "parse_load",
    "parse_pause",
    "parse_rate_limit",
]

MISDIRECTED_REQUEST = 421
_SERVICE_UNAVAILABLE = 503
_USUAL_PERCENT = 100
_MS_PER_S = 1_000
# A longer pause is more likely a mistake than a plan; an operator can still remove the target.
_MAX_PAUSE_MS = 600_000
_MAX_LOGGED_CHARACTERS = 100
# Above what any target serves, and low enough for sums over targets.
_MAX_LIMIT_PER_S = 1e9
_IDLE_TIMEOUT = re.compile(r"(?:^|[,;\s])timeout\s*=\s*(\d{1,6})(?:$|[,;\s])", re.IGNORECASE)
# Running, waiting and slots, and the optional percentage.
_LOAD = re.compile(
    r"\s*(\d{1,9})\s*,\s*(\d{1,9})\s*,\s*(\d{1,9})\s*(?:$|,(?:\s*(\d{1,9})\s*(?:$|,))?)", re.ASCII
)
_log = structlog.get_logger("target_responses")


def decode_target_report(
    status: int, headers: Mapping[str, str], target_id: str, request_id: str
) -> TargetReport | None:
    """Return what a response to a request sent to `target_id` says of the target that sent it.

    Return None if it is not certain which target and which request the response belongs to.
    """
    if status == MISDIRECTED_REQUEST:
        sender = headers.get(RESPONDING_TARGET_HEADER, "")
        return TargetReport(sender, leaving=_is_leaving(headers)) if sender else None
    if NOT_RUN_HEADER not in headers and headers.get(REQUEST_ID_HEADER) != request_id:
        return None
    pause_text = headers.get(RETRY_AFTER_HEADER) if status == _SERVICE_UNAVAILABLE else None
    return TargetReport(
        target_id,
        load=parse_load(headers.get(LOAD_HEADER)),
        limit=parse_rate_limit(headers.get(RATE_LIMIT_HEADER), target_id),
        leaving=_is_leaving(headers),
        pause_ms=parse_pause(pause_text, target_id),
    )


def is_rejection(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a response says that its sender did not run the request."""
    return status == MISDIRECTED_REQUEST or NOT_RUN_HEADER in headers


def parse_load(text: str | None) -> Load | None:
    """Parse "running,waiting,slots[,percent]"; return None when it is missing or malformed.

    The percentage is the time that work takes at the moment, 100 being usual. If it is malformed,
    the other figures still hold. Further figures are ignored.
    """
    match = _LOAD.match(text or "")
    if match is None:
        return None
    percent = int(match[4] or 0)
    slowness = percent / _USUAL_PERCENT if percent > 0 else None
    return Load(int(match[1]), int(match[2]), int(match[3]), slowness)


def parse_rate_limit(text: str | None, target_id: str) -> NamedLimit | None:
    """Return the limit that a response names; None if it is malformed and says nothing."""
    if text is None:
        return NamedLimit()
    per_s = _parse_non_negative(text)
    if per_s is None:
        _log.warning(
            "target_limit_rejected", target=target_id, detail=text[:_MAX_LOGGED_CHARACTERS]
        )
        return None
    return NamedLimit(min(per_s, _MAX_LIMIT_PER_S))


def parse_pause(text: str | None, target_id: str) -> int:
    """Return the pause in milliseconds that a target asks for; 0 if it is missing or malformed."""
    if text is None:
        return 0
    seconds = _parse_non_negative(text)
    if seconds is None:
        _log.warning(
            "target_pause_rejected", target=target_id, detail=text[:_MAX_LOGGED_CHARACTERS]
        )
        return 0
    pause_ms = math.ceil(min(seconds, _MAX_PAUSE_MS) * _MS_PER_S)
    if pause_ms > _MAX_PAUSE_MS:
        _log.warning("target_pause_shortened", target=target_id, asked_s=seconds)
    return min(pause_ms, _MAX_PAUSE_MS)


def decode_idle_timeout(headers: Mapping[str, str]) -> int | None:
    """Return the milliseconds after which the sender closes an idle connection, or None."""
    match = _IDLE_TIMEOUT.search(headers.get(IDLE_TIMEOUT_HEADER, ""))
    return int(match[1]) * _MS_PER_S if match else None


def _is_leaving(headers: Mapping[str, str]) -> bool:
    return headers.get(LEAVING_HEADER, "").strip() == "1"


def _parse_non_negative(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
