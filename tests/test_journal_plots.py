"""Plots of journal entries."""

import json

import pytest

from tools.journal_plots import InvalidEntryError, load_entry, plot, sum_prices

ENTRY = {
    "id": "a1",
    "days": [
        {
            "name": "quiet-1",
            "G": 0.6,
            "prices": [["GB between regions", 0.02, 0.05], ["disk", 1, 0.01], ["duties", 1, 0.02]],
        }
    ],
}


def test_plot_shows_days_and_is_reproducible(tmp_path) -> None:
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(ENTRY))
    entry = load_entry(path)
    prices = sum_prices(entry.days[0])
    assert prices["bytes between regions"] == 0.05
    assert prices["other prices"] == pytest.approx(0.03)
    plots = [tmp_path / "first.svg", tmp_path / "second.svg"]
    for path in plots:
        plot(entry, entry, path)
    assert "quiet-1" in plots[0].read_text()
    assert plots[0].read_bytes() == plots[1].read_bytes()


def test_invalid_entry_names_the_file_and_the_place(tmp_path) -> None:
    path = tmp_path / "entry.json"
    path.write_text('{"id": "a1", "days": [{"name": 3}]}')
    with pytest.raises(InvalidEntryError, match=r"entry\.json.*days\[0\]"):
        load_entry(path)
