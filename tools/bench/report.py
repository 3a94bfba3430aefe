"""Results of measurements: tables for the screen and JSON for the pages."""

from __future__ import annotations

import json
import os
import platform
from dataclasses import asdict, dataclass, field
from pathlib import Path

__all__ = ["RESULTS_PATH", "Figure", "Report", "load_figures"]

RESULTS_PATH = Path("docs/figures/bench.json")


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure; `bound` is the required one, with `at_most` telling its side."""

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_most: bool = True

    @property
    def verdict(self) -> str:
        """Return "pass", "fail" or nothing without a bound."""
        if self.bound is None:
            return ""
        kept = self.value <= self.bound if self.at_most else self.value >= self.bound
        return "pass" if kept else "fail"


@dataclass
class Report:
    """Figures in the order in which they were measured."""

    figures: list[Figure] = field(default_factory=list)

    def add(
        self,
        name: str,
        value: float,
        unit: str,
        bound: float | None = None,
        at_most: bool = True,
    ) -> None:
        """Add a figure and print its row."""
        figure = Figure(name, round(value, 6), unit, bound, at_most)
        self.figures.append(figure)
        sign = "" if bound is None else f"{'<=' if at_most else '>='} {bound:g}"
        row = f"{name:<58} {figure.value:>14,.4g} {unit:<14} {sign:<12} {figure.verdict}"
        print(row, flush=True)

    def save(self, quick: bool) -> None:
        """Record the figures with facts of the machine."""
        facts = {
            "cores": os.cpu_count(),
            "machine": platform.machine(),
            "python": platform.python_version(),
            "quick": quick,
        }
        RESULTS_PATH.parent.mkdir(parents=True, exist_ok=True)
        document = {"machine": facts, "figures": [asdict(figure) for figure in self.figures]}
        RESULTS_PATH.write_text(json.dumps(document, indent=1) + "\n")


def load_figures() -> dict[str, Figure]:
    """Read the recorded figures by name."""
    document = json.loads(RESULTS_PATH.read_text())
    return {entry["name"]: Figure(**entry) for entry in document["figures"]}
