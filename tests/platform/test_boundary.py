"""The platform's names stay in one folder, and layers import only inwards."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.test_imports import list_imports

SOURCE = Path("src/waxwingshelf")
WORDS = (
    "Attempt-Id",
    "Server-Signature",
    "Not-Executed",
    "Expected-Instance",
    "Affinity-Key",
    "Server-Load",
    "Cold-Remaining-Ms",
    "Instance-Id",
    "kv-txn",
    "kv-watch",
    "kv-range",
    "kv-lease",
    "api_keys",
    "traffic_split",
    "target_latency_ms",
    "cold_remaining_ms",
    "path_prefix",
    "listeners",
    "clusters",
    "home_regions",
)
FORBIDDEN = {
    "steering": ("asyncio", "aiohttp", "waxwingshelf.platform", "waxwingshelf.serving"),
    "platform": ("waxwingshelf.serving", "waxwingshelf.program", "waxwingshelf.adapters"),
    "core": ("waxwingshelf.steering", "waxwingshelf.platform", "waxwingshelf.serving"),
}
DECISIONS = (
    "placement",
    "waiting",
    "limits",
    "attempts",
    "directory",
    "durations",
    "routes",
    "owners",
)


def test_no_other_module_knows_a_name_of_the_platform() -> None:
    for path in SOURCE.rglob("*.py"):
        if path.parent.name != "platform":
            found = [word for word in WORDS if word in path.read_text()]
            assert not found, f"{path}: {found}"


@pytest.mark.parametrize("layer", sorted(FORBIDDEN))
def test_layers_import_inwards(layer) -> None:
    for path in (SOURCE / layer).glob("*.py"):
        for name in list_imports(path):
            assert not name.startswith(FORBIDDEN[layer]), f"{path}: {name}"


def test_the_serving_process_needs_only_the_libraries_of_its_build() -> None:
    """What the build does not install must not be imported, and costs memory besides."""
    code = "import sys, waxwingshelf.serving.__main__; print(*sys.modules)"
    command = [sys.executable, "-c", code]
    result = subprocess.run(
        command, capture_output=True, text=True, check=True, env={"PYTHONPATH": "src"}
    )
    loaded = {name.partition(".")[0] for name in result.stdout.split()}
    unwanted = {"jsonschema", "referencing", "json5", "jsonpatch", "statsd", "pynng", "click"}
    assert not loaded & unwanted


def test_the_platform_folder_decides_nothing() -> None:
    for path in (SOURCE / "platform").glob("*.py"):
        for name in list_imports(path):
            assert not name.endswith(DECISIONS), f"{path}: {name}"
