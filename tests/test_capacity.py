"""The tables of the capacity page match the recorded measurements."""

from tools.bench.report import load_figures
from tools.capacity import PAGE_PATH, render_tables


def test_page_agrees_with_the_recorded_figures() -> None:
    assert render_tables(load_figures()) in PAGE_PATH.read_text()
