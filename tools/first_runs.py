"""Count the first runs of objects at targets, from the logs of instances on the platform.

Reads `answered` lines from files or standard input; anything before the JSON object of a line is
ignored, but its first word must be the time of the line in seconds. A request is a first run if no
request for its object was sent to its target before. The first of all runs of an object is
necessary, and so is one after the targets that had got it lately have left, as the sending instance
knows from its lines about targets. Others are counted by the rank that the target had in the order
of the request.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

__all__ = [
    "FirstRuns",
    "Run",
    "TargetChange",
    "count_first_runs",
    "parse_runs",
    "parse_target_changes",
]

_MS_PER_S = 1_000
# Instances take an object for warm at a target for this long after a request for it.
_WARM_S = 8.0


class Run(NamedTuple):
    """One answered request for an object, with the time of its send in seconds."""

    sent_s: float
    object: tuple[str, str]
    target: str
    rank: int
    late: bool
    instance: str = ""


class TargetChange(NamedTuple):
    """A change of what one instance knows of the targets.

    A target is in use or no longer, or `evacuated` domains replace the earlier ones.
    """

    at_s: float
    instance: str
    target: str = ""
    in_use: bool = False
    failure_domain: str = ""
    evacuated: frozenset[str] | None = None


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
    instance: str = ""
    draining: bool = False
    failure_domain: str = ""
    failure_domains: list[str] = []


class _TargetView:
    """The targets that one instance may use."""

    def __init__(self) -> None:
        self._domains: dict[str, str] = {}
        self._evacuated: frozenset[str] = frozenset()

    def apply(self, change: TargetChange) -> None:
        """Apply a change."""
        if change.evacuated is not None:
            self._evacuated = change.evacuated
        elif change.in_use:
            self._domains[change.target] = change.failure_domain
        else:
            self._domains.pop(change.target, None)

    def may_use(self, target: str) -> bool:
        """Return whether the target is in use."""
        return target in self._domains and self._domains[target] not in self._evacuated


_DECODER = msgspec.json.Decoder(_Line)


def parse_runs(lines: Iterable[str]) -> list[Run]:
    """Return the answered requests for objects in order of their sends; skip other lines."""
    runs: list[Run] = []
    for answered_s, line in _parse_lines(lines):
        if line.event == "answered" and line.object:
            sent_s = answered_s - (line.elapsed_ms - line.waited_ms) / _MS_PER_S
            late = line.elapsed_ms > line.objective_ms
            object_ = (line.route, line.object)
            runs.append(Run(sent_s, object_, line.target, line.rank, late, line.instance))
    return sorted(runs)


def parse_target_changes(lines: Iterable[str]) -> list[TargetChange]:
    """Return the changes of what the instances know of targets, in order; skip other lines."""
    changes: list[TargetChange] = []
    for at_s, line in _parse_lines(lines):
        if line.event == "target_known":
            in_use, domain = not line.draining, line.failure_domain
            changes.append(TargetChange(at_s, line.instance, line.target, in_use, domain))
        elif line.event in ("target_gone", "target_leaving"):
            changes.append(TargetChange(at_s, line.instance, line.target))
        elif line.event == "evacuations":
            evacuated = frozenset(line.failure_domains)
            changes.append(TargetChange(at_s, line.instance, evacuated=evacuated))
    return sorted(changes, key=lambda change: change.at_s)


def _parse_lines(lines: Iterable[str]) -> Iterator[tuple[float, _Line]]:
    for text in lines:
        before, brace, rest = text.partition("{")
        try:
            yield float(before.split()[0]), _DECODER.decode(brace + rest)
        except (msgspec.DecodeError, ValueError, IndexError):
            continue


def count_first_runs(runs: Iterable[Run], changes: Iterable[TargetChange] = ()) -> FirstRuns:
    """Count requests that found their object warm, necessary first runs, and others by rank."""
    sends: dict[tuple[str, str], dict[str, float]] = defaultdict(dict)
    views: dict[str, _TargetView] = defaultdict(_TargetView)
    remaining = deque(changes)
    counts = FirstRuns()
    for run in runs:
        while remaining and remaining[0].at_s <= run.sent_s:
            change = remaining.popleft()
            views[change.instance].apply(change)
        sent_s = sends[run.object]
        kind = _classify(run, sent_s, views.get(run.instance))
        sent_s[run.target] = run.sent_s
        counts.runs[kind] += 1
        counts.late[kind] += run.late
    counts.objects = len(sends)
    return counts


def _classify(run: Run, sent_s: dict[str, float], view: _TargetView | None) -> str:
    """Return the kind of a run; `sent_s` has the last send of its object to each target."""
    if run.target in sent_s:
        return "warm"
    if not sent_s:
        return "necessary"
    recent = [target for target, at_s in sent_s.items() if run.sent_s - at_s < _WARM_S]
    if recent and view is not None and not any(map(view.may_use, recent)):
        return "necessary, as its targets had left"
    return f"again at rank {run.rank}"


def main() -> None:
    """Print the counts of the given files."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("file", nargs="?", type=argparse.FileType(), default=sys.stdin)
    parser.add_argument("--until", type=float, default=float("inf"), metavar="SECOND")
    arguments = parser.parse_args()
    lines = list(arguments.file)
    runs = [run for run in parse_runs(lines) if run.sent_s <= arguments.until]
    counts = count_first_runs(runs, parse_target_changes(lines))
    late = sum(counts.late.values())
    print(f"{len(runs)} requests for {counts.objects} objects, {late} late")
    for kind, count in sorted(counts.runs.items()):
        print(f"{kind}: {count}, late {counts.late[kind]}")


if __name__ == "__main__":
    main()
