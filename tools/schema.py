"""Write the JSON Schema of the manifest, for editors and pipelines."""

from __future__ import annotations

import json
from pathlib import Path

from waxwingshelf.core.manifest import build_schema

__all__ = ["SCHEMA_PATH", "main", "render_schema"]

SCHEMA_PATH = Path("docs/manifest.schema.json")


def render_schema() -> str:
    """Return the JSON Schema of the manifest as formatted JSON text."""
    return json.dumps(build_schema(), indent=2, sort_keys=True) + "\n"


def main() -> None:
    """Write the JSON Schema to `SCHEMA_PATH`."""
    SCHEMA_PATH.write_text(render_schema())


if __name__ == "__main__":
    main()
