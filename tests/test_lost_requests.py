"""The table of late and refused requests from logs."""

import json

from tools.lost_requests import build_table, format_table, parse_lines

ANSWERED = {
    "event": "answered",
    "organisation": "acme",
    "route": "read",
    "object": "7",
    "target": "t1",
    "load": 1,
    "slots": 4,
    "sends": 1,
    "objective_ms": 100,
}


def make_line(**fields) -> str:
    return f"  3.21 n0 {json.dumps({**ANSWERED, **fields})}"


def test_causes_are_told_apart() -> None:
    lines = [
        make_line(elapsed_ms=300),
        make_line(elapsed_ms=50),
        make_line(elapsed_ms=150, load=5, waited_ms=90),
        make_line(event="refused", reason="no_room"),
        make_line(event="target_known"),
        "not JSON",
        "{cut",
    ]
    rows = build_table(parse_lines(lines))
    assert {key: (row.count, row.late) for key, row in rows.items()} == {
        ("acme", "first run"): (1, 1),
        ("acme", "none of these"): (1, 0),
        ("acme", "full target, waited"): (1, 1),
        ("acme", "refused: no_room"): (1, 0),
    }
    assert len(format_table(rows)) == 5
