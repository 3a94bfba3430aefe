"""Platform names stay in one package, and layers do not import outer layers."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.test_imports import list_imports

SOURCE = Path("src/waxwingshelf")
PLATFORM_NAMES = (
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
FORBIDDEN_IMPORTS = {
    "steering": ("asyncio", "aiohttp", "waxwingshelf.platform", "waxwingshelf.serving"),
    "platform": ("waxwingshelf.serving", "waxwingshelf.program", "waxwingshelf.adapters"),
    "core": ("waxwingshelf.steering", "waxwingshelf.platform", "waxwingshelf.serving"),
}
DECISION_MODULES = (
    "placement",
    "waiting",
    "limits",
    "attempts",
    "directory",
    "durations",
    "routes",
    "owners",
)


def test_platform_names_appear_only_in_the_platform_package() -> None:
    for path in SOURCE.rglob("*.py"):
        if path.parent.name != "platform":
            found = [name for name in PLATFORM_NAMES if name in path.read_text()]
            assert not found, f"{path}: {found}"


@pytest.mark.parametrize("layer", sorted(FORBIDDEN_IMPORTS))
def test_layers_do_not_import_outer_layers(layer) -> None:
    for path in (SOURCE / layer).glob("*.py"):
        for module_name in list_imports(path):
            assert not module_name.startswith(FORBIDDEN_IMPORTS[layer]), f"{path}: {module_name}"


def test_serving_process_imports_only_libraries_of_its_build() -> None:
    """Libraries that the build does not install must not be imported; they also cost memory."""
    code = "import sys, waxwingshelf.serving.__main__; print(*sys.modules)"
    command = [sys.executable, "-c", code]
    result = subprocess.run(
        command, capture_output=True, text=True, check=True, env={"PYTHONPATH": "src"}
    )
    loaded = {module_name.partition(".")[0] for module_name in result.stdout.split()}
    unwanted = {"jsonschema", "referencing", "json5", "jsonpatch", "statsd", "pynng", "click"}
    assert not loaded & unwanted


def test_platform_package_imports_no_decision_module() -> None:
    for path in (SOURCE / "platform").glob("*.py"):
        for module_name in list_imports(path):
            assert not module_name.endswith(DECISION_MODULES), f"{path}: {module_name}"
