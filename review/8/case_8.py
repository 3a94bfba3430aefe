"""An entry of another writer, whose count of slots fits no integer type, ends the processes."""

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
# All bits of an unsigned 64-bit integer, which many programs write for -1.
SLOTS = 18_446_744_073_709_551_615


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
        await rig.start(
            zones, targets, [build_route("read", "safe"), build_route("order", "unsafe")]
        )
        await send_to_all(rig, "before", answers)
        if trouble:
            write_foreign_entry(rig)
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


def write_foreign_entry(rig: Rig) -> None:
    """Write one entry under an id that no target has."""
    entry = {
        "address": f"{rig.instances[0].host}:9",
        "information": {"service": "work", "version": "v1", "zone": "north-1", "slots": SLOTS},
        "status": {"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
    }
    rig.store.put("servers/other-writer-1", entry)
    rig.note(f"another writer has put servers/other-writer-1: {entry}")


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
