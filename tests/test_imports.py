"""Inner layers import neither outer layers nor forbidden packages."""

import ast
from pathlib import Path

import pytest

SOURCE = Path("src/waxwingshelf")
FORBIDDEN = {
    "core": {"aiohttp", "pynng", "asyncio", "statsd", "structlog", "uvloop"},
    "adapters": {"uvloop"},
}
FORBIDDEN_LAYERS = {"core": {"adapters", "program", "ports"}, "adapters": {"program"}}


def list_imports(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


@pytest.mark.parametrize("layer", sorted(FORBIDDEN))
def test_layer_imports(layer: str) -> None:
    for path in (SOURCE / layer).glob("*.py"):
        names = list_imports(path)
        assert not {name.split(".")[0] for name in names} & FORBIDDEN[layer], path
        for outer in FORBIDDEN_LAYERS[layer]:
            assert not any(name.startswith(f"waxwingshelf.{outer}") for name in names), path


def test_waits_do_not_swallow_cancellations() -> None:
    """Guards against `asyncio.wait_for`, which ignores a cancellation that meets its result.

    Before Python 3.12 a request whose interruption meets a free slot would go on and be sent.
    """
    for path in SOURCE.rglob("*.py"):
        assert "asyncio.wait_for" not in path.read_text(), path
