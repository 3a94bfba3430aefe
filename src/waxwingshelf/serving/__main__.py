"""Run one instance with the settings that the platform names."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import uvloop

from waxwingshelf.platform.names import SETTINGS_VARIABLE
from waxwingshelf.platform.settings import FaultySettingsError, load_settings
from waxwingshelf.serving.instance import run_instance
from waxwingshelf.serving.logs import LogBuffer, configure_logging

__all__ = ["main"]


def main() -> int:
    """Serve until SIGTERM; return 2 when the settings cannot be used."""
    named = os.environ.get(SETTINGS_VARIABLE)
    if not named:
        print(f"{SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return 2
    path = Path(named)
    try:
        settings = load_settings(path)
    except FaultySettingsError as error:
        print(error, file=sys.stderr)
        return 2
    logs = LogBuffer()
    configure_logging(logs, settings.name)
    uvloop.run(run_instance(path, settings, logs))
    return 0


if __name__ == "__main__":
    sys.exit(main())
