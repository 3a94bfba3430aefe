"""The log lines of one request are found, with the state of its instance at that time."""

import json
from pathlib import Path

from waxwingshelf.program.cli import main

LINES = [
    {"timestamp": "1", "instance": "a", "event": "config_in_force", "version": 3},
    {"timestamp": "2", "instance": "a", "event": "config_in_force", "version": 4},
    {"timestamp": "2", "instance": "b", "event": "config_in_force", "version": 5},
    {"timestamp": "3", "instance": "a", "event": "target_known", "target": "t1"},
    {"timestamp": "4", "instance": "a", "event": "sent_again", "request": "r1", "target": "t1"},
    {"timestamp": "5", "instance": "a", "event": "answered", "request": "r2", "target": "t1"},
    {"timestamp": "6", "instance": "a", "event": "refused", "request": "r1", "peer": "t2"},
    {"timestamp": "7", "instance": "a", "event": "config_in_force", "version": 6},
]


def write_log(tmp_path: Path) -> Path:
    path = tmp_path / "log"
    rows = ["not a line", *(f"12.3 a {json.dumps(line)}" for line in LINES), "{broken"]
    path.write_text("\n".join(rows))
    return path


def test_request_lines_are_shown_with_instance_state(tmp_path, capsys) -> None:
    assert main(["explain", "r1", str(write_log(tmp_path))]) == 0
    lines = [json.loads(text) for text in capsys.readouterr().out.splitlines()]
    assert [line["timestamp"] for line in lines] == ["2", "3", "4", "6"]


def test_unknown_request_is_reported(tmp_path, capsys) -> None:
    assert main(["explain", "nobody", str(write_log(tmp_path))]) != 0
    assert "nobody" in capsys.readouterr().err
