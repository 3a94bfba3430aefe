"""A cold target gets no more than it bears while instances restart, and gets something soon.

See `restarting_fleet`: every instance sends to the target whenever its limiter allows it.
"""

import pytest

from tests.serving.fake_store import Outage
from tests.serving.restarting_fleet import Node, RestartingFleet, run_fleet

COLD_PER_S = 14
LIMIT_PER_S = COLD_PER_S * 1.5 + 5
SECOND_MS = 1_000
LONG_OUTAGE_S = 4.6


class ColdTarget:
    """The times at which instances sent requests to one cold target."""

    def __init__(self, fleet: RestartingFleet) -> None:
        self.fleet = fleet
        self.sent_ms: list[int] = []
        fleet.on_tick = self.receive

    def receive(self, node: Node) -> None:
        now_ms = self.fleet.loop.now_ms()
        names, count = node.fleet.list_instance_names(), node.fleet.count_instances()
        while node.cold_limiter.try_acquire("t", LIMIT_PER_S, names, now_ms, count):
            self.sent_ms.append(now_ms)

    def find_most_per_second(self) -> int:
        return max(
            sum(start <= time < start + SECOND_MS for time in self.sent_ms)
            for start in sorted(set(self.sent_ms))
        )


@pytest.mark.parametrize("part", [1.0, 0.5])
@pytest.mark.parametrize(
    ("instances", "outage"),
    [(instances, outage) for instances in (3, 8, 20) for outage in Outage]
    + [(76, Outage.REFUSING)],
)
def test_cold_target_is_spared_after_a_restart_while_the_store_is_away(
    instances, outage, part
) -> None:
    """Guards against instances that each take themselves for the only one and send all."""
    counts: list[int] = []

    async def play(fleet: RestartingFleet) -> None:
        target = ColdTarget(fleet)
        await fleet.run(3.0)
        fleet.store.outage = outage
        await fleet.restart(fleet.nodes[: max(1, round(instances * part))], 1.5)
        await fleet.run(LONG_OUTAGE_S)
        fleet.store.outage = Outage.NONE
        await fleet.run(3.0)
        counts.append(target.find_most_per_second())

    run_fleet(play, instances)
    assert counts[0] <= LIMIT_PER_S


@pytest.mark.parametrize("down_s", [0.5, 0.6])
@pytest.mark.parametrize("instances", [3, 8, 20])
def test_cold_target_is_spared_when_instances_restart_at_once(instances, down_s) -> None:
    """Guards against a limit that each run of a process counts anew, within one second."""
    counts: list[int] = []

    async def play(fleet: RestartingFleet) -> None:
        target = ColdTarget(fleet)
        await fleet.run(3.0)
        for up_s in (0.4, 0.6, 0.8, 1.0, 1.2):
            await fleet.restart(fleet.nodes, down_s)
            await fleet.run(up_s)
        await fleet.run(3.0)
        counts.append(target.find_most_per_second())

    run_fleet(play, instances)
    assert counts[0] <= LIMIT_PER_S


def test_cold_target_gets_requests_soon_after_a_restart() -> None:
    """Guards against targets that stay idle, as after a restart all of them may be cold."""
    first_ms: list[int] = []

    async def play(fleet: RestartingFleet) -> None:
        target = ColdTarget(fleet)
        await fleet.run(3.0)
        await fleet.restart(fleet.nodes, 1.5)
        restarted_ms = fleet.loop.now_ms()
        await fleet.run(2.0)
        first_ms.append(min(time for time in target.sent_ms if time > restarted_ms) - restarted_ms)

    run_fleet(play, 8)
    assert first_ms[0] <= SECOND_MS
