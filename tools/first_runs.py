"""Count the first runs of objects at targets, from the logs of instances on the platform.

Reads `answered` lines from files or standard input; anything before the JSON object of a line is
ignored, but its first word must be the time of the line in seconds. A request is a first run if no
request for its object was sent to its target before. The first of all runs of an object is
necessary. Others are counted by the rank that the target had in the order of the request.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

__all__ = ["FirstRuns", "Run", "count_first_runs", "parse_runs"]

_MS_PER_S = 1_000


class Run(NamedTuple):
    """One answered request for an object, with the time of its send in seconds."""

    sent_s: float
    object: tuple[str, str]
    target: str
    rank: int
    late: bool


class FirstRuns(msgspec.Struct):
    """Numbers of requests by kind of run, and of the late ones among them."""

    objects: int = 0
    runs: Counter[str] = msgspec.field(default_factory=Counter)
    late: Counter[str] = msgspec.field(default_factory=Counter)


class _Line(msgspec.Struct):
    event: str
    route: str = ""
    object: str = ""
    target: str = ""
    rank: int = 0
    waited_ms: int = 0
    elapsed_ms: int = 0
    objective_ms: int = 0


_DECODER = msgspec.json.Decoder(_Line)


def parse_runs(lines: Iterable[str]) -> list[Run]:
    """Return the answered requests for objects in order of their sends; skip other lines."""
    runs: list[Run] = []
    for text in lines:
        before, brace, rest = text.partition("{")
        try:
            line = _DECODER.decode(brace + rest)
            answered_s = float(before.split()[0])
        except (msgspec.DecodeError, ValueError, IndexError):
            continue
        if line.event == "answered" and line.object:
            sent_s = answered_s - (line.elapsed_ms - line.waited_ms) / _MS_PER_S
            late = line.elapsed_ms > line.objective_ms
            runs.append(Run(sent_s, (line.route, line.object), line.target, line.rank, late))
    return sorted(runs)


def count_first_runs(runs: Iterable[Run]) -> FirstRuns:
    """Count requests that found their object warm, necessary first runs, and others by rank."""
    targets: dict[tuple[str, str], set[str]] = defaultdict(set)
    counts = FirstRuns()
    for run in runs:
        seen = targets[run.object]
        if run.target in seen:
            kind = "warm"
        else:
            kind = f"again at rank {run.rank}" if seen else "necessary"
        seen.add(run.target)
        counts.runs[kind] += 1
        counts.late[kind] += run.late
    counts.objects = len(targets)
    return counts


def main() -> None:
    """Print the counts of the given files."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("file", nargs="?", type=argparse.FileType(), default=sys.stdin)
    parser.add_argument("--until", type=float, default=float("inf"), metavar="SECOND")
    arguments = parser.parse_args()
    runs = [run for run in parse_runs(arguments.file) if run.sent_s <= arguments.until]
    counts = count_first_runs(runs)
    late = sum(counts.late.values())
    print(f"{len(runs)} requests for {counts.objects} objects, {late} late")
    for kind, count in sorted(counts.runs.items()):
        print(f"{kind}: {count}, late {counts.late[kind]}")


if __name__ == "__main__":
    main()
