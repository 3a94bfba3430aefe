"""Show which requests were late or refused, and why, from the logs of instances on the platform.

Reads lines of `answered` and `refused` events from files or standard input; anything before the
JSON object of a line is ignored. For each cause, the table has the number of requests and how many
of them were late, that is, took longer than their route's latency objective.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

# A request that waited longer than this had no target with capacity when it arrived.
_MIN_WAIT_MS = 40
_MAX_ROWS = 40


class _Line(msgspec.Struct):
    event: str
    organisation: str = ""
    route: str = ""
    object: str = ""
    target: str = ""
    reason: str = ""
    detail: str = ""
    sends: int = 0
    waited_ms: int = 0
    rank: int = 0
    load: int = 0
    slots: int = 0
    elapsed_ms: int = 0
    objective_ms: int = 0


@dataclass(slots=True)
class Row:
    """The requests of one organisation with one cause."""

    count: int = 0
    late: int = 0


_DECODER = msgspec.json.Decoder(_Line)


def parse_lines(lines: Iterable[str]) -> Iterator[_Line]:
    """Yield the events of log lines; lines without a valid event are skipped."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            yield _DECODER.decode(line[start:])
        except msgspec.DecodeError:
            continue


def describe_cause(line: _Line, is_first_run: bool) -> str:
    """Name what may have delayed an answered request."""
    causes = {
        "first run": is_first_run,
        "lower rank": line.rank > 0,
        "full target": line.slots > 0 and line.load >= line.slots,
        "waited": line.waited_ms > _MIN_WAIT_MS,
        "sent again": line.sends > 1,
    }
    return ", ".join(cause for cause, applies in causes.items() if applies) or "none of these"


def build_table(lines: Iterable[_Line]) -> dict[tuple[str, str], Row]:
    """Return the requests by organisation and cause; refusals have their reason as the cause."""
    rows: dict[tuple[str, str], Row] = defaultdict(Row)
    runs: Counter[tuple[str, str, str]] = Counter()
    for line in lines:
        if line.event == "answered":
            run = (line.route, line.object, line.target)
            row = rows[line.organisation, describe_cause(line, runs[run] == 0)]
            runs[run] += 1
            row.late += line.objective_ms > 0 and line.elapsed_ms > line.objective_ms
        elif line.event == "refused":
            row = rows[line.organisation or line.detail, f"refused: {line.reason}"]
        else:
            continue
        row.count += 1
    return rows


def format_table(rows: dict[tuple[str, str], Row]) -> list[str]:
    """Return the lines of the table, the causes with most late or refused requests first."""

    def count_lost(item: tuple[tuple[str, str], Row]) -> int:
        (_, cause), row = item
        return row.count if cause.startswith("refused") else row.late

    ordered = sorted(rows.items(), key=count_lost, reverse=True)[:_MAX_ROWS]
    lines = [f"{'organisation':<14} {'requests':>9} {'late':>7}  cause"]
    for (organisation, cause), row in ordered:
        lines.append(f"{organisation or '-':<14} {row.count:>9} {row.late:>7}  {cause}")
    return lines


def main() -> int:
    """Print the table of the given log files, or of standard input."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", nargs="*", type=argparse.FileType("r", errors="replace"))
    files = parser.parse_args().logs or [sys.stdin]
    rows = build_table(line for file in files for line in parse_lines(file))
    print("\n".join(format_table(rows)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
