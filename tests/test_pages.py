"""The documentation matches the names of tests, metrics, events and refusal reasons in the code."""

import ast
import re
from pathlib import Path

from waxwingshelf.adapters.target_http import FailureKind
from waxwingshelf.core.envelope import Rejection
from waxwingshelf.core.refusals import REASONS
from waxwingshelf.core.targets import Health

PROMISES = Path("docs/PROMISES.md")
METRICS = Path("docs/operators/metrics.md")
REFUSALS = Path("docs/operators/refusals.md")
METRIC_CALL = re.compile(r'_metrics\.(?:count|time|gauge)\(\s*(f?)"([^"]+)"')


def list_tests() -> set[str]:
    names = set()
    for path in Path("tests").glob("test_*.py"):
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.FunctionDef) and node.name.startswith("test_"):
                names.add(f"{path.name}::{node.name}")
    return names


def list_metrics() -> set[str]:
    names = set()
    for path in Path("src").rglob("*.py"):
        for is_format, name in METRIC_CALL.findall(path.read_text()):
            names.add(re.sub(r"\{.*\}", "*", name) if is_format else name)
    return names


def test_promises_name_tests_that_exist() -> None:
    named = set(re.findall(r"test_\w+\.py::test_\w+", PROMISES.read_text()))
    assert named
    assert named <= list_tests()


def test_every_metric_is_on_the_page() -> None:
    text = METRICS.read_text()
    assert {name for name in list_metrics() if f"`{name}`" not in text} == set()
    for kinds in (Rejection, FailureKind, Health):
        assert all(kind.value in text for kind in kinds if kind is not Health.HEALTHY)


def test_every_refusal_reason_is_on_the_page() -> None:
    text = REFUSALS.read_text()
    assert {name for name in REASONS if f"`{name}`" not in text} == set()


def list_events() -> set[str]:
    pattern = re.compile(r'_log\.(?:info|warning|error|exception)\(\s*"([a-z_]+)"')
    names: set[str] = set()
    for path in Path("src/waxwingshelf/serving").glob("*.py"):
        names |= set(pattern.findall(path.read_text()))
    return names


def test_operations_page_lists_every_event_and_metric_of_the_serving_path() -> None:
    page = Path("docs/OPERATIONS.md").read_text()
    for name in list_events():
        assert re.search(rf"\b{name}\b", page), name
    source = Path("src/waxwingshelf/serving/metrics.py").read_text()
    metrics = re.findall(r'"(waxwingshelf_\w+)"', source)
    assert metrics
    for name in metrics:
        assert f"`{name}`" in page, name
