"""Compute the tables of docs/CAPACITY.md for the design size from recorded measurements."""

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

INSTANCE_COUNT = 1_000
CLIENT_BLOCK_COUNT = 1_000_000
LOOKUPS_PER_S = 840_000
CHANGES_PER_DAY = 2_000
FAILURES_PER_DAY = 3
REPLACEMENTS_PER_DAY = 320
FAILURE_DOMAIN_COUNT = 20
REGION_COUNT = 9
ORGANISATION_COUNT = 1_000
ORDERS_PER_S_PER_INSTANCE = 20
REQUEST_ID_LIFETIME_S = 900
CLAIM_REPLICAS = 3
PUSH_FANOUT = 3
PATCH_BYTES = 400
CUT_REPORT_BYTES_PER_BUDGET = 24
CUT_REPORT_BASE_BYTES = 150
SECONDS_PER_DAY = 86_400
GOSSIP_PERIOD_S = 0.5
GOSSIP_MESSAGES = 2
FENCE_WAIT_S = 10
FENCE_DELAY_S = 2
SUSPICION_PERIODS = 30

_MAX_CPU_PERCENT = 1.1
_MAX_BYTES_PER_S = 3_000
_MAX_MEMORY_MB = 256
_MAX_SPREAD_S = 14
_MAX_STORE_READS_PER_S = 2_000
_MAX_STORE_WRITES_PER_S = 300

Figures = dict[str, Figure]


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a table: a quantity, its formula, value and limit, and the mechanism behind it."""

    role: str
    quantity: str
    formula: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    def render(self) -> str:
        """Return the row as Markdown; a value over its limit is marked."""
        limit_cell = ""
        if self.limit is not None:
            limit_cell = (
                f"{self.limit:,g}" if self.value <= self.limit else f"**over {self.limit:,g}**"
            )
        cells = (
            self.role,
            self.quantity,
            self.formula,
            f"{self.value:,.4g} {self.unit}",
            limit_cell,
            self.mechanism,
        )
        return "| " + " | ".join(cells) + " |"


RowBuilder = Callable[[Figures], list[Row]]


def _fit_line(figures: Figures, prefix: str) -> tuple[float, float]:
    """Return the intercept and slope of a least-squares line through figures of several sizes.

    The last part of a figure's name is the number of members.
    """
    points = [
        (float(name.rpartition(".")[2]), figure.value)
        for name, figure in figures.items()
        if name.startswith(prefix + ".")
    ]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    return mean_y - slope * mean_x, slope


def _extrapolate(figures: Figures, prefix: str, size: int) -> float:
    """Return a fitted line's value at `size`, or at the largest measured size if the line falls."""
    intercept, slope = _fit_line(figures, prefix)
    largest_size = max(
        int(name.rpartition(".")[2]) for name in figures if name.startswith(prefix + ".")
    )
    return intercept + slope * (size if slope > 0 else largest_size)


def _build_lookup_rows(figures: Figures) -> list[Row]:
    lookups_per_s = LOOKUPS_PER_S / INSTANCE_COUNT
    core_fraction = lookups_per_s / figures["serving.lookups"].value
    block_bytes = CLIENT_BLOCK_COUNT * figures["blocks.size"].value
    return [
        Row(
            "look-up",
            "processor",
            "840,000 / 1,000 / measured look-ups a core-second",
            100 * core_fraction,
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
            _MAX_MEMORY_MB,
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
    idle_bytes_per_s = _extrapolate(figures, "control.idle.sent", INSTANCE_COUNT)
    config_bytes_per_s = CHANGES_PER_DAY * PUSH_FANOUT * PATCH_BYTES / SECONDS_PER_DAY
    ledger_messages_per_day = (
        2 * (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) + FAILURES_PER_DAY
    ) * PUSH_FANOUT
    ledger_bytes_per_s = ledger_messages_per_day * PATCH_BYTES / SECONDS_PER_DAY
    cpu_percent = _extrapolate(figures, "control.idle.cpu", INSTANCE_COUNT)
    spread_hops = (INSTANCE_COUNT).bit_length() / PUSH_FANOUT.bit_length()
    process_mb = figures["serving.idle.memory.8"].value
    holders_mb = INSTANCE_COUNT * figures["state.holder"].value / 1e6
    organisations_mb = ORGANISATION_COUNT * figures["state.organisation"].value / 1e6
    claims_mb = _count_claims() * figures["state.claim"].value / 1e6
    blocks_mb = CLIENT_BLOCK_COUNT * figures["blocks.size"].value / 1e6
    return [
        Row(
            "membership",
            "bytes sent a node",
            "line through 8 to 64 members, extended to 1,000",
            idle_bytes_per_s,
            "B/s",
            _MAX_BYTES_PER_S,
            "SWIM: one ping a period whatever the size",
        ),
        Row(
            "configuration",
            "bytes sent a node",
            "2,000 x fan-out 3 x 400 B / day",
            config_bytes_per_s,
            "B/s",
            _MAX_BYTES_PER_S,
            "patches pushed on change (`core.documents`)",
        ),
        Row(
            "ledger",
            "bytes sent a node",
            "(2 x 323 + 3) versions x 3 x 400 B / day",
            ledger_bytes_per_s,
            "B/s",
            _MAX_BYTES_PER_S,
            "patches pushed on change",
        ),
        Row(
            "control",
            "bytes sent a node, all",
            "sum",
            idle_bytes_per_s + config_bytes_per_s + ledger_bytes_per_s,
            "B/s",
            _MAX_BYTES_PER_S,
            "",
        ),
        Row(
            "control",
            "processor, protocols",
            "line through 8 to 64 members, extended to 1,000",
            cpu_percent,
            "% of a core",
            _MAX_CPU_PERCENT,
            "pure protocols without sockets",
        ),
        Row(
            "control",
            "processor, whole idle process",
            "measured at 8 members",
            figures["serving.idle.cpu.8"].value,
            "% of a core",
            _MAX_CPU_PERCENT,
            "sockets, probes and reads of the store included",
        ),
        Row(
            "configuration",
            "in force everywhere",
            "log(1,000) / log(1 + fan-out) hops x slowest of 20 at 64 members",
            spread_hops * figures["control.spread.slowest_of_20.64"].value / 1000,
            "s",
            _MAX_SPREAD_S,
            "pushes, then versions in every ping",
        ),
        Row(
            "control",
            "memory, all",
            "process + ledger + organisations + claims + blocks",
            process_mb + holders_mb + organisations_mb + claims_mb + blocks_mb,
            "MB",
            _MAX_MEMORY_MB,
            "",
        ),
        Row(
            "claims",
            "memory of that",
            f"{ORDERS_PER_S_PER_INSTANCE} orders/s x 3 replicas x 900 s x measured bytes",
            claims_mb,
            "MB",
            None,
            "forgotten when the id has expired (`core.claims`)",
        ),
    ]


def _count_claims() -> float:
    return ORDERS_PER_S_PER_INSTANCE * CLAIM_REPLICAS * REQUEST_ID_LIFETIME_S


def _build_store_rows(figures: Figures) -> list[Row]:
    writes_per_day = 2 * (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) + 2 * FAILURES_PER_DAY
    writes_per_day += CHANGES_PER_DAY
    return [
        Row(
            "store",
            "reads",
            "line through 8 to 64 members, extended to 1,000",
            _extrapolate(figures, "control.idle.store_calls", INSTANCE_COUNT),
            "calls/s",
            _MAX_STORE_READS_PER_S,
            "two readers for the whole fleet (`core.recovery`)",
        ),
        Row(
            "store",
            "writes",
            "(2,000 changes + 2 x 323 + 6) / day",
            writes_per_day / SECONDS_PER_DAY,
            "calls/s",
            _MAX_STORE_WRITES_PER_S,
            "only changes, births, deaths and cuts write",
        ),
        Row(
            "store",
            "ledger value",
            "1,000 x measured bytes a holder",
            INSTANCE_COUNT * figures["state.ledger_value"].value / 1e6,
            "MB",
            1,
            "one value of at most a megabyte",
        ),
    ]


def _build_failure_rows(figures: Figures) -> list[Row]:
    report_bytes = CUT_REPORT_BASE_BYTES + CUT_REPORT_BYTES_PER_BUDGET * ORGANISATION_COUNT
    fence_start_s = SUSPICION_PERIODS * GOSSIP_PERIOD_S + FENCE_DELAY_S
    return [
        Row(
            "one failure",
            "share back after",
            "suspicion 3 log2(1,000) periods + 2 s + fence 10 s",
            fence_start_s + FENCE_WAIT_S,
            "s",
            None,
            "cut with one fenced holder (`core.cuts`)",
        ),
        Row(
            "one failure",
            "bytes to the coordinator",
            "1,000 reports x (150 B + 24 B x 1,000 budgets)",
            INSTANCE_COUNT * report_bytes / 1e6,
            "MB",
            None,
            "once a failure, and every 10 minutes for an audit",
        ),
        Row(
            "audits",
            "bytes sent a node",
            "one report in 600 s",
            report_bytes / 600,
            "B/s",
            _MAX_BYTES_PER_S,
            "cut without a fenced holder",
        ),
        Row(
            "rack, failure domain",
            "share missing",
            "1 / 20 of all instances",
            100 / FAILURE_DOMAIN_COUNT,
            "%",
            None,
            "back after 80 min, or `instance forget`",
        ),
        Row(
            "cut region",
            "share on the far side",
            "1 / 9 of all instances",
            100 / REGION_COUNT,
            "%",
            None,
            "used there; stops after 75 min without the majority",
        ),
    ]


_ROW_BUILDERS: tuple[RowBuilder, ...] = (
    _build_lookup_rows,
    _build_control_rows,
    _build_store_rows,
    _build_failure_rows,
)


def render_tables(figures: Figures) -> str:
    """Return the rows of all parts as one Markdown table."""
    lines = ["| role | what | worked out from | figure | limit | carried by |"]
    lines.append("|---|---|---|---|---|---|")
    for build in _ROW_BUILDERS:
        lines += [row.render() for row in build(figures)]
    return "\n".join(lines)


def main() -> int:
    """Replace the tables in `PAGE_PATH`."""
    page = PAGE_PATH.read_text()
    before_tables, _, rest = page.partition(_BEGIN)
    _, _, after_tables = rest.partition(_END)
    PAGE_PATH.write_text(
        f"{before_tables}{_BEGIN}\n{render_tables(load_figures())}\n{_END}{after_tables}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
