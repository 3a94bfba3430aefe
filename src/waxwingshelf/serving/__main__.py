"""Run one instance with the settings file that an environment variable names."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import uvloop

from waxwingshelf.platform.names import SETTINGS_VARIABLE
from waxwingshelf.platform.settings import InvalidSettingsError, load_settings
from waxwingshelf.serving.instance import run_instance
from waxwingshelf.serving.logs import LogBuffer, configure_logging

__all__ = ["main"]


def main() -> int:
    """Serve until SIGTERM or SIGINT; return 2 if the settings are missing or invalid."""
    path_text = os.environ.get(SETTINGS_VARIABLE)
    if not path_text:
        print(f"{SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return 2
    path = Path(path_text)
    try:
        settings = load_settings(path)
    except InvalidSettingsError as error:
        print(error, file=sys.stderr)
        return 2
    logs = LogBuffer()
    configure_logging(logs, settings.name)
    uvloop.run(run_instance(path, settings, logs))
    return 0


if __name__ == "__main__":
    sys.exit(main())
