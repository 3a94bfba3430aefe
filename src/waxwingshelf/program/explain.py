"""Collect the log lines about one request and about the state of its instances at that time."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["explain_request", "read_log_lines"]

LogLine = dict[str, Any]
# The latest event of each kind shows the state of the instance during the request.
_STATE_EVENTS = (
    "started",
    "stopping",
    "config_in_force",
    "evacuations",
    "store_lost",
    "store_regained",
    "registered",
)
_TARGET_FIELDS = ("target", "peer")


def read_log_lines(paths: Iterable[Path]) -> list[LogLine]:
    """Return the JSON log lines of all files, sorted by timestamp.

    Text before the first brace of a line is skipped, and so are lines without a JSON log event.
    """
    lines: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = _parse_line(text)
                if line is not None:
                    lines.append(line)
    return sorted(lines, key=lambda line: str(line.get("timestamp", "")))


def explain_request(request_id: str, lines: list[LogLine]) -> list[LogLine]:
    """Return the lines of a request and of the state of its instances, sorted by timestamp.

    `lines` must be sorted by timestamp. For each instance, event and target, the state includes
    only the latest line that is not newer than the last line of the request.
    """
    request_lines = [line for line in lines if line.get("request") == request_id]
    if not request_lines:
        return []
    instances = {line.get("instance") for line in request_lines}
    targets = {line[name] for line in request_lines for name in _TARGET_FIELDS if line.get(name)}
    last_timestamp = str(request_lines[-1].get("timestamp", ""))
    state_lines: dict[tuple[Any, ...], LogLine] = {}
    for line in lines:
        if line.get("instance") not in instances or str(line.get("timestamp", "")) > last_timestamp:
            continue
        event = line.get("event")
        is_target_state = line.get("target") in targets and "request" not in line
        if event in _STATE_EVENTS or is_target_state:
            state_lines[(line.get("instance"), event, line.get("target"))] = line
    return sorted(
        [*state_lines.values(), *request_lines], key=lambda line: str(line.get("timestamp", ""))
    )


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    return line if isinstance(line, dict) and "event" in line else None
