"""A split whose weights are fractions sends every request to its last part."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path
from typing import Any, TextIO

from rig_2 import Rig, TargetSpec, main

FOLDER = Path(__file__).resolve().parent
# A config is in force this long after its ack, and the time until then is not judged.
CONFIG_APPLY_S = 2.5
ROUNDS = 150
# The rule judges 200 requests or more, and allows each part's share to be off by this.
MIN_REQUESTS = 200
MAX_OFF = 0.2
FRACTIONS = {"stable": 0.9, "canary": 0.1}
WHOLE_NUMBERS = {"stable": 90, "canary": 10}


def build_route(weights: dict[str, float]) -> dict[str, Any]:
    """Return a route that is split between two services."""
    split = [{"service": service, "weight": weight} for service, weight in weights.items()]
    return {
        "name": "order",
        "kind": "unsafe",
        "target_latency_ms": 400,
        "priority": 1,
        "public": False,
        "sticky": False,
        "match": {"path_prefix": "/order/"},
        "action": {"traffic_split": split, "timeout_ms": 1_200, "attempts": 2},
    }


async def run(folder: Path, record: TextIO, trouble: bool) -> bool:
    """Return whether each part of the split got about its share of the requests."""
    rig = Rig(folder, record)
    weights: dict[str, float] = dict(FRACTIONS) if trouble else dict(WHOLE_NUMBERS)
    statuses: Counter[int] = Counter()
    try:
        targets = [
            TargetSpec(service, zone, 9) for service in weights for zone in ("north-1", "south-1")
        ]
        only_stable = [build_route({"stable": 1})]
        await rig.start(["north-1", "south-1"], targets, only_stable)
        rig.routes = [build_route(weights)]
        rig.put_config()
        rig.note(f"the operator has put the config r{rig.config_version}, split {weights}")
        await asyncio.sleep(CONFIG_APPLY_S)
        for number in range(ROUNDS):
            names = [f"order-{number}-{instance.name}" for instance in rig.instances]
            calls = [
                rig.call(instance, "POST", "/order/x", name)
                for instance, name in zip(rig.instances, names, strict=True)
            ]
            for name, answer in zip(names, await asyncio.gather(*calls), strict=True):
                rig.note(f"{name}: answer {answer.status} {answer.end}")
                statuses[answer.status] += 1
    finally:
        await rig.stop()
    rig.note_runs()
    runs: Counter[str] = Counter()
    for spec, target in zip(rig.specs, rig.targets, strict=True):
        runs[spec.service] += target.runs.total()
    total = sum(runs.values())
    rig.note(f"statuses {dict(statuses)}, runs {dict(runs)}")
    if total < MIN_REQUESTS:
        raise RuntimeError(f"only {total} requests ran")
    shares = {service: runs[service] / total for service in weights}
    wanted = {service: weight / sum(weights.values()) for service, weight in weights.items()}
    rig.note(f"shares {shares}, by the weights {wanted}")
    return all(abs(shares[service] - wanted[service]) <= MAX_OFF for service in weights)


if __name__ == "__main__":
    sys.exit(main(run, FOLDER))
