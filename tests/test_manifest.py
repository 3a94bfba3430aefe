"""Tests that validation of manifests and settings reports every fault."""

import json
from pathlib import Path

import pytest

from tools.schema import SCHEMA_PATH, render_schema
from waxwingshelf.core.config import hash_key
from waxwingshelf.core.manifest import list_faults
from waxwingshelf.program.cli import EXIT_INVALID, EXIT_OK, main
from waxwingshelf.program.settings import InvalidDocumentError, load_document

CASES = json.loads(Path("tests/cases/manifest_faults.json").read_text())


@pytest.mark.parametrize("case", CASES, ids=[case["name"] for case in CASES])
def test_list_faults_reports_every_location(case: dict) -> None:
    assert [fault.place for fault in list_faults(case["document"])] == case["places"]


@pytest.mark.parametrize("name", ["carpatin", "nyungwe"])
def test_samples_have_no_faults(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", f"samples/{name}.json"]) == EXIT_OK


def test_committed_schema_is_current() -> None:
    assert SCHEMA_PATH.read_text() == render_schema()


def test_syntax_fault_reports_line(tmp_path: Path) -> None:
    path = tmp_path / "bad.json"
    path.write_text('{\n  "fleet": {,}\n}')
    with pytest.raises(InvalidDocumentError, match="line 2"):
        load_document(path)


def test_check_lists_every_settings_fault(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "settings.json"
    path.write_text('{"fleet": "f", "name": 7, "port": 0, "colour": "red"} // comment')
    assert main(["check", str(path)]) == EXIT_INVALID
    report = capsys.readouterr().err
    for part in ("name", "port", "colour", "'store_host' is a required property"):
        assert part in report


def test_key_of_any_bytes_is_unknown() -> None:
    """Guards against a 500 for a key that is not UTF-8."""
    assert hash_key("caf\udce9") != hash_key("caf")
