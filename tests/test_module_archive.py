"""The archive of compiled modules from which an instance starts."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

DEPLOY = Path(__file__).resolve().parent.parent / "deploy"
WRITE = """
import sys
sys.path.insert(0, sys.argv[1])
import outer.inner
from module_archive import write_archive
from archive import find_code
modules = {name: find_code(sys.modules[name]) for name in ("outer", "outer.inner")}
write_archive("archive", sys.argv[1], modules)
"""
READ = """
import sys
sys.path.insert(0, sys.argv[1])
from module_archive import install_archive
print(install_archive("archive", sys.argv[1]))
import outer.inner
print(type(outer.__loader__).__name__, type(outer.inner.__loader__).__name__)
import outer.beside
print(type(outer.beside.__loader__).__name__, outer.inner.WHO, outer.__file__)
"""


def run(code: str, folder: Path, root: Path, *flags: str) -> list[str]:
    """Run code in a fresh interpreter that finds the modules of the deploy folder."""
    command = [sys.executable, "-S", *flags, "-c", code, str(root)]
    # `archive` loads an instance as it is imported, which a script of that name takes the place of.
    stub = folder / "stub"
    stub.mkdir(exist_ok=True)
    (stub / "instance.py").write_text("")
    environment = {"PYTHONPATH": f"{stub}:{DEPLOY}"}
    result = subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, check=True
    )
    return result.stdout.splitlines()


@pytest.fixture
def root(tmp_path) -> Path:
    """Return a folder with a package, of which one module is in no archive."""
    package = tmp_path / "root" / "outer"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("")
    (package / "inner.py").write_text("WHO = __name__\n")
    (package / "beside.py").write_text("")
    return tmp_path / "root"


def test_modules_are_loaded_from_the_archive_and_others_from_their_folder(tmp_path, root) -> None:
    run(WRITE, tmp_path, root)
    # The archive was written by the sources; without these, only it can have the code.
    (root / "outer" / "inner.py").unlink()
    assert run(READ, tmp_path, root) == [
        "True",
        "ModuleArchive ModuleArchive",
        f"SourceFileLoader outer.inner {root / 'outer' / '__init__.py'}",
    ]


def test_archive_may_be_moved_with_its_root(tmp_path, root) -> None:
    """A package whose folder was not found lost its extension modules."""
    run(WRITE, tmp_path, root)
    moved = tmp_path / "moved"
    shutil.move(root, moved)
    assert run(READ, tmp_path, moved)[2].endswith(str(moved / "outer" / "__init__.py"))


@pytest.mark.parametrize("content", [None, b"", b"x" * 5, b"x" * 500, b"\xff" * 8 + b"N"])
def test_modules_are_imported_as_usual_without_a_readable_archive(tmp_path, root, content) -> None:
    if content is not None:
        (tmp_path / "archive").write_bytes(content)
    assert run(READ, tmp_path, root)[:2] == ["False", "SourceFileLoader SourceFileLoader"]


def test_archive_of_another_interpreter_is_not_used(tmp_path, root) -> None:
    run(WRITE, tmp_path, root, "-OO")
    assert run(READ, tmp_path, root)[0] == "False"
    assert run(READ, tmp_path, root, "-OO")[0] == "True"
