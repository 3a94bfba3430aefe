"""Run the benchmarks and record their figures."""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable

from tools.bench.blocks import measure_blocks
from tools.bench.control import measure_control
from tools.bench.policies import measure_policies
from tools.bench.report import Report
from tools.bench.serving import measure_serving
from tools.bench.sharing import measure_sharing
from tools.bench.state import measure_state

_BENCHMARKS: dict[str, Callable[[Report, bool], None]] = {
    "blocks": measure_blocks,
    "state": measure_state,
    "control": measure_control,
    "sharing": measure_sharing,
    "policies": measure_policies,
    "serving": measure_serving,
}


def main() -> int:
    """Run the benchmarks; return 1 if a figure misses its bound, otherwise 0."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="run in under a minute, without recording the figures"
    )
    parser.add_argument(
        "--only", choices=sorted(_BENCHMARKS), help="run one part, without recording the figures"
    )
    options = parser.parse_args()
    report = Report()
    started_s = time.monotonic()
    for name, measure in _BENCHMARKS.items():
        if options.only in (None, name):
            measure(report, options.quick)
    if not options.quick and options.only is None:
        report.save(options.quick)
    failed = [figure.name for figure in report.figures if figure.verdict == "fail"]
    print(f"{len(report.figures)} figures in {time.monotonic() - started_s:.0f} s")
    print(f"missed bounds: {', '.join(failed) or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
