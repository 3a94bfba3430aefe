"""Gather what the logs say of one request and of what its instance believed at that time."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["explain_request", "read_log_lines"]

Line = dict[str, Any]
# Of these the latest before the request tells what was believed.
_BELIEF_EVENTS = (
    "started",
    "stopping",
    "config_in_force",
    "evacuations",
    "store_lost",
    "store_regained",
    "registered",
)
_TARGET_FIELDS = ("target", "peer")


def read_log_lines(paths: Iterable[Path]) -> list[Line]:
    """Read JSON log lines in order of time; text before the first brace is passed over."""
    lines: list[Line] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = _parse(text)
                if line is not None:
                    lines.append(line)
    return sorted(lines, key=lambda line: str(line.get("timestamp", "")))


def explain_request(request_id: str, lines: list[Line]) -> list[Line]:
    """Return the request's lines, after what its instances believed, in order of time."""
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        return []
    instances = {line.get("instance") for line in own}
    targets = {line[name] for line in own for name in _TARGET_FIELDS if line.get(name)}
    until = str(own[-1].get("timestamp", ""))
    beliefs: dict[tuple[Any, ...], Line] = {}
    for line in lines:
        if line.get("instance") not in instances or str(line.get("timestamp", "")) > until:
            continue
        event = line.get("event")
        about_target = line.get("target") in targets and "request" not in line
        if event in _BELIEF_EVENTS or about_target:
            beliefs[(line.get("instance"), event, line.get("target"))] = line
    return sorted([*beliefs.values(), *own], key=lambda line: str(line.get("timestamp", "")))


def _parse(text: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    return line if isinstance(line, dict) and "event" in line else None
