"""Plot the worth and the prices of days from two journal entries of the users' bench.

An entry is a JSON file in `journal/`. The plot has a pair of bars for each day that both entries
contain, the prices as stacked bars below zero.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import matplotlib
import msgspec
from matplotlib.axes import Axes
from matplotlib.figure import Figure

# The bench's names of prices, by the names in the plot; all others are shown together.
_PRICE_NAMES = {
    "GB between regions": "bytes between regions",
    "GB between zones": "bytes between failure domains",
    "cloud calls": "calls to the store",
    "worth refused again": "refused again",
    "machine-seconds": "instances",
}
_OTHER_PRICES = "other prices"
_BAR_WIDTH = 0.38
_FIGURE_INCHES = (8.0, 4.5)


class _Day(msgspec.Struct):
    name: str
    # The bench's figure before it is cut to a score from 0 to 1.
    worth: float = msgspec.field(name="G")
    prices: list[tuple[str, float, float]] = []


class JournalEntry(msgspec.Struct):
    """The days of one score or run."""

    id: str
    days: list[_Day]


class InvalidEntryError(ValueError):
    """A file is not a journal entry; the message names the file and the place."""


def load_entry(path: Path) -> JournalEntry:
    """Read a journal entry; raise `InvalidEntryError` if it is not one."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=JournalEntry)
    except (OSError, msgspec.DecodeError) as error:
        raise InvalidEntryError(f"{path}: {error}") from None


def sum_prices(day: _Day) -> dict[str, float]:
    """Return the prices of a day by their names in the plot."""
    prices = dict.fromkeys([*_PRICE_NAMES.values(), _OTHER_PRICES], 0.0)
    for name, _, price in day.prices:
        prices[_PRICE_NAMES.get(name, _OTHER_PRICES)] += price
    return prices


def plot(before: JournalEntry, after: JournalEntry, path: Path) -> None:
    """Write the plot of the days that both entries have to an SVG file."""
    later = {day.name: day for day in after.days}
    pairs = [(day, later[day.name]) for day in before.days if day.name in later]
    figure = Figure(figsize=_FIGURE_INCHES)
    axes = figure.subplots()
    # Colours of the default cycle of matplotlib.
    colors = [f"C{number}" for number in range(2 + len(_PRICE_NAMES) + 1)]
    for side, label in enumerate((f"before ({before.id})", f"after ({after.id})")):
        days = [pair[side] for pair in pairs]
        positions = [number + (side - 0.5) * _BAR_WIDTH for number in range(len(days))]
        axes.bar(
            positions, [day.worth for day in days], _BAR_WIDTH, label=label, color=colors[side]
        )
        _stack_prices(axes, positions, [sum_prices(day) for day in days], colors[2:], side == 0)
    axes.set_xticks(range(len(pairs)), [day.name for day, _ in pairs])
    axes.set_ylabel("worth; prices below zero")
    axes.axhline(0.0, color="black", linewidth=0.8)
    axes.legend(fontsize="x-small", ncols=2)
    figure.tight_layout()
    # The salt makes the ids in the file the same each time.
    with matplotlib.rc_context({"svg.hashsalt": "waxwingshelf", "svg.fonttype": "none"}):
        figure.savefig(path, format="svg", metadata={"Date": None})


def _stack_prices(
    axes: Axes,
    positions: list[float],
    prices: list[dict[str, float]],
    colors: list[str],
    with_labels: bool,
) -> None:
    bottoms = [0.0] * len(positions)
    for number, name in enumerate([*_PRICE_NAMES.values(), _OTHER_PRICES]):
        heights = [-day[name] for day in prices]
        label = name if with_labels else None
        axes.bar(positions, heights, _BAR_WIDTH, bottoms, label=label, color=colors[number])
        bottoms = [bottom + height for bottom, height in zip(bottoms, heights, strict=True)]


def main() -> int:
    """Plot the two entries given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("before", type=Path)
    parser.add_argument("after", type=Path)
    parser.add_argument("--out", type=Path, required=True, help="the SVG file to write")
    options = parser.parse_args()
    try:
        plot(load_entry(options.before), load_entry(options.after), options.out)
    except InvalidEntryError as error:
        parser.error(str(error))
    return 0


if __name__ == "__main__":
    sys.exit(main())
