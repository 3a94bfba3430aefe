"""Build the single-file executable dist/waxwingshelf."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

__all__ = ["BINARY_PATH", "build_binary", "main"]

BINARY_PATH = Path("dist/waxwingshelf")
_UNPACK_ROOT = "/tmp/waxwingshelf"


def build_binary(path: Path = BINARY_PATH) -> Path:
    """Build a zip application that unpacks to temporary storage and runs as one process."""
    path.parent.mkdir(parents=True, exist_ok=True)
    command = [sys.executable, "-m", "shiv", "--console-script", "waxwingshelf"]
    command += ["--output-file", str(path), "--root", _UNPACK_ROOT]
    command += ["--python", "/usr/bin/env python3", "--reproducible"]
    command += ["--quiet", "--requirement", "requirements/run.txt", "--no-deps", "."]
    subprocess.run(command, check=True)
    return path


def main() -> int:
    """Build the executable and print its path."""
    print(build_binary())
    return 0


if __name__ == "__main__":
    sys.exit(main())
