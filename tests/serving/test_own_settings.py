"""Tests of this project's own settings file: defaults, comments, and errors with their place."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from waxwingshelf.platform.names import SETTINGS_VARIABLE
from waxwingshelf.serving import __main__ as program
from waxwingshelf.serving.own_settings import (
    InvalidOwnSettingsError,
    OwnSettings,
    load_own_settings,
)

VALID_CASES = [
    ("{}", 0.0),
    ("{hedging: {}}", 0.0),
    ('{"hedging": {"max_extra_ratio": 0}}', 0.0),
    ('// a comment\n{"hedging": {"max_extra_ratio": 0.2,} /* another */}', 0.2),
]
INVALID_CASES = [
    ("{hedgin: {}}", ["hedgin", "$"]),
    ("{hedging: {ratio: 0.1}}", ["ratio", "$.hedging"]),
    ("{hedging: 0.1}", ["object", "$.hedging"]),
    ("{hedging: null}", ["null", "$.hedging"]),
    ("{hedging: {max_extra_ratio: 0.21}}", ["0.2", "$.hedging.max_extra_ratio"]),
    ("{hedging: {max_extra_ratio: -0.1}}", ["0.0", "$.hedging.max_extra_ratio"]),
    ("{hedging: {max_extra_ratio: NaN}}", ["0.0", "$.hedging.max_extra_ratio"]),
    ("{hedging: {max_extra_ratio: Infinity}}", ["0.2", "$.hedging.max_extra_ratio"]),
    ("{hedging: {max_extra_ratio: true}}", ["bool", "$.hedging.max_extra_ratio"]),
    ("{hedging: {max_extra_ratio: '0.1'}}", ["str", "$.hedging.max_extra_ratio"]),
    ("[]", ["object", "$"]),
    ("{\n  hedging: {\n    oops\n  }\n}", ["line 4", "column"]),
    ("{hedging: {}, hedging: {}}", ["hedging"]),
    ("", []),
    ("[" * 5_000, ["nested"]),
]


def write(path: Path, text: str) -> Path:
    file = path / "own.json"
    file.write_text(text)
    return file


@pytest.mark.parametrize(("text", "ratio"), VALID_CASES)
def test_valid_settings(tmp_path: Path, text: str, ratio: float) -> None:
    """Fails if comments, or keys that are left out, are not accepted."""
    assert load_own_settings(write(tmp_path, text)).hedging.max_extra_ratio == ratio


@pytest.mark.parametrize(("text", "parts"), INVALID_CASES)
def test_invalid_settings_name_file_and_position(
    tmp_path: Path, text: str, parts: list[str]
) -> None:
    """Fails if a misspelt key or a bad value is ignored, or cannot be found by its message."""
    file = write(tmp_path, text)
    with pytest.raises(InvalidOwnSettingsError) as raised:
        load_own_settings(file)
    for part in [str(file), *parts]:
        assert part in str(raised.value)


def test_unreadable_files_are_errors(tmp_path: Path) -> None:
    """Fails if a missing file, a directory or bytes that are no text end in a traceback."""
    binary = tmp_path / "binary"
    binary.write_bytes(b"\xff\xfe\x00")
    for file in (tmp_path / "missing", tmp_path, binary):
        with pytest.raises(InvalidOwnSettingsError, match=str(file)):
            load_own_settings(file)


def test_sample_is_valid() -> None:
    """Fails if the sample that operators copy is rejected."""
    assert load_own_settings(Path("samples/settings.json")) != OwnSettings()


def test_parser_is_not_loaded_without_the_option() -> None:
    """Fails if every instance pays the memory of the parser that only some need."""
    code = "import sys, waxwingshelf.serving.own_settings; sys.exit('json5' in sys.modules)"
    subprocess.run([sys.executable, "-c", code], check=True, env={"PYTHONPATH": "src"})


PLATFORM_SETTINGS = """
[self]
node_name = "n"
zone = "z"
region = "r"
[network]
internal_ports = [7740, 7749]
zones = { z = "r" }
[network.listen]
frontend = "127.0.0.1:1"
ready = "127.0.0.1:2"
directory = "127.0.0.1:3"
control_plane = "127.0.0.1:4"
[platform.platform]
address = "127.0.0.1:5"
"""


def run_main(monkeypatch: pytest.MonkeyPatch, tmp_path: Path, *arguments: str) -> list[OwnSettings]:
    """Run the program with a stand-in for the instance; return the settings that it gets."""
    received = []

    async def run_instance(path: Path, settings: object, logs: object, own: OwnSettings) -> None:
        received.append(own)

    platform_file = tmp_path / "platform.toml"
    platform_file.write_text(PLATFORM_SETTINGS)
    monkeypatch.setenv("WAXWINGSHELF_SETTINGS", str(platform_file))
    monkeypatch.setattr(sys, "argv", ["instance.py", *arguments])
    monkeypatch.setattr(program, "run_instance", run_instance)
    monkeypatch.setattr(program, "configure_logging", lambda logs, name: None)
    assert program.main() == (0 if received else 2)
    return received


def test_program_runs_without_the_option(monkeypatch, tmp_path) -> None:
    """Fails if the option becomes necessary, or copies are on without it."""
    assert run_main(monkeypatch, tmp_path) == [OwnSettings()]


def test_program_takes_the_file_of_the_option(monkeypatch, tmp_path) -> None:
    """Fails if the option does not reach the instance."""
    file = write(tmp_path, "{hedging: {max_extra_ratio: 0.1}}")
    (own,) = run_main(monkeypatch, tmp_path, "--settings", str(file))
    assert own.hedging.max_extra_ratio == 0.1


def test_program_ends_with_2_at_an_invalid_file(monkeypatch, tmp_path, capsys) -> None:
    """Fails if an instance runs with settings other than those that the operators wrote."""
    file = write(tmp_path, "{hedging: {max_extra_ratio: 2}}")
    assert run_main(monkeypatch, tmp_path, "--settings", str(file)) == []
    assert f"{file}: Expected `float` <= 0.2" in capsys.readouterr().err


def test_reload_signal_before_the_settings_are_loaded_is_ignored(monkeypatch) -> None:
    """Guards against SIGHUP in the first moments of a process, which ended it."""
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    monkeypatch.setattr("sys.argv", ["instance"])
    earlier = signal.getsignal(signal.SIGHUP)
    try:
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        assert program.main() == 2
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, earlier)
