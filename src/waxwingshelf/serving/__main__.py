"""Run one instance with the settings file that an environment variable names."""

from __future__ import annotations

import argparse
import os
import signal
import sys
from pathlib import Path

import uvloop

from waxwingshelf.platform.names import SETTINGS_VARIABLE
from waxwingshelf.platform.settings import InvalidSettingsError, load_settings
from waxwingshelf.serving.instance import run_instance
from waxwingshelf.serving.logs import LogBuffer, configure_logging
from waxwingshelf.serving.own_settings import (
    InvalidOwnSettingsError,
    OwnSettings,
    load_own_settings,
)

__all__ = ["main"]


def main() -> int:
    """Serve until SIGTERM or SIGINT; return 2 if the settings are missing or invalid."""
    # Until the settings are loaded, their change needs no reload, and must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    own_path = _parse_arguments().settings
    path_text = os.environ.get(SETTINGS_VARIABLE)
    if not path_text:
        print(f"{SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return 2
    path = Path(path_text)
    try:
        settings = load_settings(path)
        own_settings = OwnSettings() if own_path is None else load_own_settings(own_path)
    except (InvalidSettingsError, InvalidOwnSettingsError) as error:
        print(error, file=sys.stderr)
        return 2
    logs = LogBuffer()
    configure_logging(logs, settings.name)
    uvloop.run(run_instance(path, settings, logs, own_settings))
    return 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Run one instance.")
    parser.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        help="this project's own settings, JSON with comments; see docs/operators/hedging.md",
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
