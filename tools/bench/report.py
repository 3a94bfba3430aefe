"""Print measured figures as a table and save them as JSON for the documentation."""

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
    """A measured figure and its bound, if any: the maximum if `at_most`, otherwise the minimum."""

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_most: bool = True

    @property
    def verdict(self) -> str:
        """Return "pass" or "fail", or an empty string if the figure has no bound."""
        if self.bound is None:
            return ""
        is_met = self.value <= self.bound if self.at_most else self.value >= self.bound
        return "pass" if is_met else "fail"


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
        bound_text = "" if bound is None else f"{'<=' if at_most else '>='} {bound:g}"
        row = f"{name:<58} {figure.value:>14,.4g} {unit:<14} {bound_text:<12} {figure.verdict}"
        print(row, flush=True)

    def save(self, quick: bool) -> None:
        """Write the figures and a description of the machine to `RESULTS_PATH`."""
        machine = {
            "cores": os.cpu_count(),
            "machine": platform.machine(),
            "python": platform.python_version(),
            "quick": quick,
        }
        RESULTS_PATH.parent.mkdir(parents=True, exist_ok=True)
        document = {"machine": machine, "figures": [asdict(figure) for figure in self.figures]}
        RESULTS_PATH.write_text(json.dumps(document, indent=1) + "\n")


def load_figures() -> dict[str, Figure]:
    """Return the recorded figures by name."""
    document = json.loads(RESULTS_PATH.read_text())
    return {figure["name"]: Figure(**figure) for figure in document["figures"]}
