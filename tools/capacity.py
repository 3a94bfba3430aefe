"""Work out docs/CAPACITY.md at the target's size from recorded measurements."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from tools.bench.report import Figure, load_figures

__all__ = ["PAGE_PATH", "main", "render_tables"]

PAGE_PATH = Path("docs/CAPACITY.md")
_BEGIN = "<!-- begin: tables, by make capacity -->"
_END = "<!-- end: tables -->"

NODES = 1_000
BLOCKS = 1_000_000
LOOKUPS_PER_S = 840_000
CHANGES_PER_DAY = 2_000
FAILURES_PER_DAY = 3
REPLACEMENTS_PER_DAY = 320
FAILURE_DOMAINS = 20
REGIONS = 9
ORGANISATIONS = 1_000
ORDERS_PER_NODE_S = 20
ID_LIFE_S = 900
REPLICAS = 3
FANOUT = 3
DELTA_BYTES = 400
REPORT_BYTES_PER_BUDGET = 24
REPORT_BYTES = 150
SECONDS_PER_DAY = 86_400
PERIOD_S = 0.5
GOSSIP_MESSAGES = 2
FENCE_WAIT_S = 10
FENCE_DELAY_S = 2
SUSPICION_PERIODS = 30

_LIMIT_CPU = 1.1
_LIMIT_BYTES_PER_S = 3_000
_LIMIT_MEMORY_MB = 256
_LIMIT_SPREAD_S = 14
_LIMIT_STORE_READS = 2_000
_LIMIT_STORE_WRITES = 300

Figures = dict[str, Figure]


@dataclass(frozen=True, slots=True)
class Row:
    """One line: what it is, how it is worked out, the figure, its limit and what carries it."""

    role: str
    what: str
    formula: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    def render(self) -> str:
        """Return the line of the table; a figure over its limit is marked."""
        verdict = ""
        if self.limit is not None:
            verdict = (
                f"{self.limit:,g}" if self.value <= self.limit else f"**over {self.limit:,g}**"
            )
        cells = (
            self.role,
            self.what,
            self.formula,
            f"{self.value:,.4g} {self.unit}",
            verdict,
            self.mechanism,
        )
        return "| " + " | ".join(cells) + " |"


Build = Callable[[Figures], list[Row]]


def _fit_slope(figures: Figures, prefix: str) -> tuple[float, float]:
    """Fit a line through the figures of several sizes by least squares: at zero, and per member."""
    points = [
        (float(name.rpartition(".")[2]), figure.value)
        for name, figure in figures.items()
        if name.startswith(prefix + ".")
    ]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def _extend(figures: Figures, prefix: str, size: int) -> float:
    """Extend a fitted line to a size; a falling line is held at its last measured point."""
    at_zero, slope = _fit_slope(figures, prefix)
    largest = max(int(name.rpartition(".")[2]) for name in figures if name.startswith(prefix + "."))
    return at_zero + slope * (size if slope > 0 else largest)


def _build_lookup_rows(figures: Figures) -> list[Row]:
    per_node = LOOKUPS_PER_S / NODES
    share = per_node / figures["serving.lookups"].value
    block_bytes = BLOCKS * figures["blocks.size"].value
    return [
        Row(
            "look-up",
            "processor",
            "840,000 / 1,000 / measured look-ups a core-second",
            100 * share,
            "% of a core",
            25,
            "ready answers, rebuilt every 100 ms",
        ),
        Row(
            "look-up",
            "client blocks",
            "1,000,000 x measured bytes a block",
            block_bytes / 1e6,
            "MB",
            _LIMIT_MEMORY_MB,
            "sorted arrays (`core.blocks`)",
        ),
        Row(
            "look-up",
            "time in the table",
            "measured",
            figures["blocks.lookup"].value,
            "us",
            None,
            "binary search",
        ),
        Row(
            "look-up",
            "change of one block",
            "measured, in place",
            figures["blocks.change"].value,
            "us",
            None,
            "one write into an array",
        ),
    ]


def _build_control_rows(figures: Figures) -> list[Row]:
    idle = _extend(figures, "control.idle.sent", NODES)
    change_bytes = CHANGES_PER_DAY * FANOUT * DELTA_BYTES / SECONDS_PER_DAY
    churn = (2 * (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) + FAILURES_PER_DAY) * FANOUT
    churn_bytes = churn * DELTA_BYTES / SECONDS_PER_DAY
    cpu = _extend(figures, "control.idle.cpu", NODES)
    spread_rounds = (NODES).bit_length() / FANOUT.bit_length()
    memory = figures["serving.idle.memory.8"].value
    holders = NODES * figures["state.holder"].value / 1e6
    organisations = ORGANISATIONS * figures["state.organisation"].value / 1e6
    claims = _count_claims() * figures["state.claim"].value / 1e6
    blocks = BLOCKS * figures["blocks.size"].value / 1e6
    return [
        Row(
            "membership",
            "bytes sent a node",
            "line through 8 to 64 members, extended to 1,000",
            idle,
            "B/s",
            _LIMIT_BYTES_PER_S,
            "SWIM: one ping a period whatever the size",
        ),
        Row(
            "configuration",
            "bytes sent a node",
            "2,000 x fan-out 3 x 400 B / day",
            change_bytes,
            "B/s",
            _LIMIT_BYTES_PER_S,
            "patches pushed on change (`core.documents`)",
        ),
        Row(
            "ledger",
            "bytes sent a node",
            "(2 x 323 + 3) versions x 3 x 400 B / day",
            churn_bytes,
            "B/s",
            _LIMIT_BYTES_PER_S,
            "patches pushed on change",
        ),
        Row(
            "control",
            "bytes sent a node, all",
            "sum",
            idle + change_bytes + churn_bytes,
            "B/s",
            _LIMIT_BYTES_PER_S,
            "",
        ),
        Row(
            "control",
            "processor, protocols",
            "line through 8 to 64 members, extended to 1,000",
            cpu,
            "% of a core",
            _LIMIT_CPU,
            "pure protocols without sockets",
        ),
        Row(
            "control",
            "processor, whole idle process",
            "measured at 8 members",
            figures["serving.idle.cpu.8"].value,
            "% of a core",
            _LIMIT_CPU,
            "sockets, probes and reads of the store included",
        ),
        Row(
            "configuration",
            "in force everywhere",
            "log(1,000) / log(1 + fan-out) hops x slowest of 20 at 64 members",
            spread_rounds * figures["control.spread.slowest_of_20.64"].value / 1000,
            "s",
            _LIMIT_SPREAD_S,
            "pushes, then versions in every ping",
        ),
        Row(
            "control",
            "memory, all",
            "process + ledger + organisations + claims + blocks",
            memory + holders + organisations + claims + blocks,
            "MB",
            _LIMIT_MEMORY_MB,
            "",
        ),
        Row(
            "claims",
            "memory of that",
            f"{ORDERS_PER_NODE_S} orders/s x 3 replicas x 900 s x measured bytes",
            claims,
            "MB",
            None,
            "forgotten when the id has expired (`core.claims`)",
        ),
    ]


def _count_claims() -> float:
    return ORDERS_PER_NODE_S * REPLICAS * ID_LIFE_S


def _build_store_rows(figures: Figures) -> list[Row]:
    writes = 2 * (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) + 2 * FAILURES_PER_DAY
    writes += CHANGES_PER_DAY
    return [
        Row(
            "store",
            "reads",
            "line through 8 to 64 members, extended to 1,000",
            _extend(figures, "control.idle.store_calls", NODES),
            "calls/s",
            _LIMIT_STORE_READS,
            "two readers for the whole fleet (`core.recovery`)",
        ),
        Row(
            "store",
            "writes",
            "(2,000 changes + 2 x 323 + 6) / day",
            writes / SECONDS_PER_DAY,
            "calls/s",
            _LIMIT_STORE_WRITES,
            "only changes, births, deaths and cuts write",
        ),
        Row(
            "store",
            "ledger value",
            "1,000 x measured bytes a holder",
            NODES * figures["state.ledger_value"].value / 1e6,
            "MB",
            1,
            "one value of at most a megabyte",
        ),
    ]


def _build_failure_rows(figures: Figures) -> list[Row]:
    report = REPORT_BYTES + REPORT_BYTES_PER_BUDGET * ORGANISATIONS
    detect = SUSPICION_PERIODS * PERIOD_S + FENCE_DELAY_S
    return [
        Row(
            "one failure",
            "share back after",
            "suspicion 3 log2(1,000) periods + 2 s + fence 10 s",
            detect + FENCE_WAIT_S,
            "s",
            None,
            "cut with one fenced holder (`core.cuts`)",
        ),
        Row(
            "one failure",
            "bytes to the coordinator",
            "1,000 reports x (150 B + 24 B x 1,000 budgets)",
            NODES * report / 1e6,
            "MB",
            None,
            "once a failure, and every 10 minutes for an audit",
        ),
        Row(
            "audits",
            "bytes sent a node",
            "one report in 600 s",
            report / 600,
            "B/s",
            _LIMIT_BYTES_PER_S,
            "cut without a fenced holder",
        ),
        Row(
            "rack, failure domain",
            "share missing",
            "1 / 20 of all instances",
            100 / FAILURE_DOMAINS,
            "%",
            None,
            "back after 80 min, or `instance forget`",
        ),
        Row(
            "cut region",
            "share on the far side",
            "1 / 9 of all instances",
            100 / REGIONS,
            "%",
            None,
            "used there; stops after 75 min without the majority",
        ),
    ]


_PARTS: tuple[Build, ...] = (
    _build_lookup_rows,
    _build_control_rows,
    _build_store_rows,
    _build_failure_rows,
)


def render_tables(figures: Figures) -> str:
    """Return all tables as Markdown."""
    lines = ["| role | what | worked out from | figure | limit | carried by |"]
    lines.append("|---|---|---|---|---|---|")
    for build in _PARTS:
        lines += [row.render() for row in build(figures)]
    return "\n".join(lines)


def main() -> int:
    """Put the tables into the page."""
    page = PAGE_PATH.read_text()
    head, _, rest = page.partition(_BEGIN)
    _, _, tail = rest.partition(_END)
    PAGE_PATH.write_text(f"{head}{_BEGIN}\n{render_tables(load_figures())}\n{_END}{tail}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
