"""Play the seeds in which requests ran although they had been refused."""

import asyncio

import pytest

from standins.platform_target import Arrival, PlatformTargetStandIn
from tests.soak.deployment import SoakDeployment
from tests.soak.refusals import RefusalRun, find_broken_guarantees

# 2 and 3: the second copy of a rejection answered a second send on its connection.
SEEDS = (2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_refused_requests_do_not_run(seed, tmp_path) -> None:
    deployment = SoakDeployment(tmp_path, 12, 6, "tests.soak.bound_instance")
    run = RefusalRun(seed, deployment, busy_processes=4)
    broken = asyncio.run(run.run())
    assert not broken
    statuses = list(run.statuses.values())
    assert statuses.count(200) > 100
    assert statuses.count(503) > 10


def test_broken_guarantees_are_found_by_id() -> None:
    target = PlatformTargetStandIn("t0")
    target.arrivals = [
        Arrival("refused", "t0", 1, ran=False),
        Arrival("refused", "t0", 1, ran=True),
        Arrival("twice", "t0", 2, ran=True),
        Arrival("twice", "t0", 3, ran=True),
        Arrival("served", "t0", 4, ran=True),
        Arrival("rejected", "t0", 5, ran=False),
        Arrival("read", "t0", 6, ran=True),
        Arrival("read", "t0", 6, ran=True),
    ]
    statuses = {"refused": 503, "twice": 0, "served": 200, "rejected": 429}
    assert find_broken_guarantees(statuses, [target]) == {
        "refused": "status 503, arrivals t0#1:rejected t0#1:ran",
        "twice": "status 0, arrivals t0#2:ran t0#3:ran",
    }
