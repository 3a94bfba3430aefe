"""A config whose version is a number of 20 digits ends the processes of all instances."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path
from typing import Any, TextIO

from rig_2 import Rig, TargetSpec, main

FOLDER = Path(__file__).resolve().parent
PLAY_S = 15.0
# The rule: three ends on a tenth of the machines, two at least.
MAX_ENDS = 2
MAX_MACHINES = 1
# The first config is r2. The second one's number is the moment at which a pipeline made it, to the
# microsecond: 2026-12-07 04:59:59.123456.
NEXT_VERSION = 20_261_207_045_959_123_456
USUAL_VERSION = 3


def build_route(name: str, kind: str) -> dict[str, Any]:
    """Return a route of the service `work`."""
    return {
        "name": name,
        "kind": kind,
        "target_latency_ms": 400,
        "priority": 1,
        "public": False,
        "sticky": kind == "safe",
        "match": {"path_prefix": f"/{name}/"},
        "action": {"service": "work", "timeout_ms": 1_200, "attempts": 2},
    }


async def run(folder: Path, record: TextIO, trouble: bool) -> bool:
    """Return whether the processes went on running."""
    rig = Rig(folder, record)
    answers: Counter[str] = Counter()
    try:
        zones = ["north-1", "north-1", "south-1", "south-1"]
        targets = [TargetSpec("work", zone, 9) for zone in ("north-1", "south-1") * 3]
        routes = [build_route("read", "safe"), build_route("order", "unsafe")]
        await rig.start(zones, targets, routes)
        await send_to_all(rig, "before", answers)
        # `put_config` adds one. Apart from its version, the second config is the same as the first.
        rig.config_version = (NEXT_VERSION if trouble else USUAL_VERSION) - 1
        rig.put_config()
        rig.note(f"the operator has put the config r{rig.config_version}")
        end_s = rig.now_s() + PLAY_S
        number = 0
        while rig.now_s() < end_s:
            await send_to_all(rig, f"n{number}", answers)
            number += 1
            await asyncio.sleep(0.1)
    finally:
        await rig.stop()
    rig.note_runs()
    rig.note(f"answers: {dict(sorted(answers.items()))}")
    often_ended = [instance for instance in rig.instances if len(instance.ends) > MAX_ENDS]
    for instance in rig.instances:
        rig.note(f"{instance.name} ended by itself {len(instance.ends)} times: {instance.ends}")
        rig.note_last_error(instance)
    return len(often_ended) <= MAX_MACHINES


async def send_to_all(rig: Rig, name: str, answers: Counter[str]) -> None:
    """Send a read and an order to each instance, and record what came back."""
    sends = [
        (instance, method, path, f"{name}-{instance.name}{path[:-2].replace('/', '-')}")
        for instance in rig.instances
        for method, path in (("GET", "/read/x"), ("POST", "/order/x"))
    ]
    calls = [
        rig.call(instance, method, path, attempt_id) for instance, method, path, attempt_id in sends
    ]
    for (instance, _, _, attempt_id), answer in zip(
        sends, await asyncio.gather(*calls), strict=True
    ):
        rig.note(f"{attempt_id}: answer {answer.status} {answer.end}")
        answers[f"{instance.zone} {answer.status}"] += 1


if __name__ == "__main__":
    sys.exit(main(run, FOLDER))
