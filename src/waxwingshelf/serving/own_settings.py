"""Load this project's own settings, which the platform's settings file cannot hold.

The file is JSON with comments. Without a file, all settings have their defaults.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["HedgingSettings", "InvalidOwnSettingsError", "OwnSettings", "load_own_settings"]

_MAX_EXTRA_RATIO = 0.2


class InvalidOwnSettingsError(Exception):
    """A file of own settings is unreadable or invalid; the message names file and position."""

    def __init__(self, path: Path, detail: str) -> None:
        super().__init__(f"{path}: {detail}")


class HedgingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The most copies, as a share of the repeatable requests of a service; 0 is off."""

    max_extra_ratio: Annotated[float, Meta(ge=0.0, le=_MAX_EXTRA_RATIO)] = 0.0


class OwnSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of the file that the option `--settings` names."""

    hedging: HedgingSettings = HedgingSettings()


def load_own_settings(path: Path) -> OwnSettings:
    """Load a file of own settings; raise `InvalidOwnSettingsError` with the first error."""
    # Imported only here, since most instances have no such file and the parser takes memory.
    import json5

    try:
        text = path.read_text(encoding="utf-8")
        document = json5.loads(text, allow_duplicate_keys=False)
        return msgspec.convert(document, OwnSettings)
    except msgspec.ValidationError as error:
        raise InvalidOwnSettingsError(path, _add_position(str(error))) from None
    except (OSError, ValueError) as error:
        detail = str(error).replace("<string>:", "line ")
        raise InvalidOwnSettingsError(path, detail) from None
    except RecursionError:
        raise InvalidOwnSettingsError(path, "too many nested values") from None


def _add_position(detail: str) -> str:
    """Return the text of an error with its position, which is left out for the whole document."""
    return detail if " - at `" in detail else f"{detail} - at `$`"
