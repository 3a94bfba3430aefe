"""An organisation keeps its rate while instances restart, and is served again soon.

See `restarting_fleet`. The disruptions are those of the platform: many or all instances killed at
the same moment, also again during the recovery, and a store that is away, answers nobody, or turns
calls away, while leases run out or pause.
"""

import itertools

import pytest

from tests.serving.fake_store import Outage
from tests.serving.restarting_fleet import RestartingFleet, run_fleet

HOT = 8.0
# Longer than the time to live of the instances' leases, from the kill to the end of the outage.
LONG_OUTAGE_S = 4.6
DOWN_S = 1.5


def restart_during_outage(outage: Outage, part: float, pauses_leases: bool = False, again: int = 0):
    """Return a scenario of instances that restart while the store is away."""

    async def play(fleet: RestartingFleet) -> None:
        fleet.set_demand(1.0)
        await fleet.run(6.0)
        fleet.set_demand(HOT)
        await fleet.run(3.0)
        nodes = fleet.nodes[: max(1, round(len(fleet.nodes) * part))]
        fleet.store.outage, fleet.store.pauses_leases = outage, pauses_leases
        await fleet.restart(nodes, DOWN_S)
        await fleet.run(LONG_OUTAGE_S)
        fleet.store.outage = Outage.NONE
        for _ in range(again):
            await fleet.run(0.7)
            await fleet.restart(nodes, 0.8)
        await fleet.run(8.0)

    return play


@pytest.mark.parametrize("part", [1.0, 0.5])
@pytest.mark.parametrize("outage", list(Outage))
@pytest.mark.parametrize(("instances", "rate"), [(3, 20.0), (8, 20.0), (8, 545.0), (20, 200.0)])
def test_rate_holds_after_a_restart_while_the_store_is_away(instances, rate, outage, part) -> None:
    """Guards against instances that divide a rate, its burst and its slack by too few others.

    Registrations end with their leases, so that each one seems to be the only instance.
    """
    fleet = run_fleet(restart_during_outage(outage, part), instances, rate, rate)
    assert fleet.find_worst_excess() <= 0


@pytest.mark.parametrize(("instances", "rate"), [(3, 20.0), (8, 200.0), (20, 200.0)])
@pytest.mark.parametrize("pauses_leases", [False, True])
def test_rate_holds_after_restarts_during_the_recovery(instances, rate, pauses_leases) -> None:
    """Guards against a burst that each run of a process grants anew."""
    scenario = restart_during_outage(Outage.REFUSING, 1.0, pauses_leases, again=2)
    assert run_fleet(scenario, instances, rate, rate).find_worst_excess() <= 0


def test_rate_holds_after_a_restart_of_a_large_fleet() -> None:
    scenario = restart_during_outage(Outage.REFUSING, 1.0)
    assert run_fleet(scenario, 76, 545.0, 545.0).find_worst_excess() <= 0


@pytest.mark.parametrize("part", [1.0, 0.5])
@pytest.mark.parametrize(("downs_s", "gap_s"), [((0.7,) * 3, 1.0), ((1.5, 1.5), 0.6), ((8.0,), 0)])
@pytest.mark.parametrize(("instances", "burst"), [(3, 200.0), (8, 200.0), (8, 20.0), (20, 200.0)])
def test_rate_holds_after_restarts_while_the_store_is_up(
    instances, burst, downs_s, gap_s, part
) -> None:
    """Guards against a burst that each run, or each new owner of a rate, grants anew.

    After the longest time, the registrations have run out although the store was never away.
    """

    async def play(fleet: RestartingFleet) -> None:
        fleet.set_demand(HOT)
        await fleet.run(6.0)
        for down_s in downs_s:
            await fleet.restart(fleet.nodes[: round(instances * part)], down_s)
            await fleet.run(gap_s)
        await fleet.run(8.0)

    assert run_fleet(play, instances, 200.0, burst).find_worst_excess() <= 0


def test_rate_holds_although_instances_of_an_earlier_build_are_not_listed() -> None:
    """Guards against an upgrade in which only a part of the instances is in the member list."""

    async def play(fleet: RestartingFleet) -> None:
        await fleet.restart(fleet.nodes, 0.5)
        await fleet.run(10.0)
        await restart_during_outage(Outage.REFUSING, 1.0)(fleet)

    for listed in (0, 4):
        fleet = run_fleet(play, 8, 200.0, 200.0, listed=listed)
        assert fleet.find_worst_excess() <= 0


@pytest.mark.parametrize("outage_s", [0.0, LONG_OUTAGE_S])
@pytest.mark.parametrize(("instances", "rate"), [(3, 20.0), (8, 20.0), (8, 545.0), (20, 200.0)])
def test_usual_demand_is_served_soon_after_a_restart(instances, rate, outage_s) -> None:
    """Guards against instances that wait for others before they admit requests.

    Callers ask for less than the rate. An instance that has the configuration serves at once.
    """
    returned_ms, first_ms, refused = 0, [], 0

    async def play(fleet: RestartingFleet) -> None:
        nonlocal returned_ms, refused
        fleet.set_demand(1.0)
        await fleet.run(6.0)
        fleet.store.outage = Outage.REFUSING if outage_s else Outage.NONE
        await fleet.restart(fleet.nodes, DOWN_S)
        await fleet.run(outage_s)
        fleet.store.outage = Outage.NONE
        returned_ms = fleet.loop.now_ms()
        await fleet.run(5.0)
        first_ms.extend(node.first_admitted_ms or fleet.loop.now_ms() for node in fleet.nodes)
        refused = fleet.count_refused(returned_ms)

    run_fleet(play, instances, rate, rate)
    interval_ms = 1_000 * instances / (rate / 1.6)
    assert max(first_ms) - returned_ms <= 500 + interval_ms
    assert refused <= 0.01 * 5 * rate


def test_an_uneven_demand_is_served_soon_after_a_restart() -> None:
    """One of eight instances has half of the callers; its share follows their demand soon."""
    refused_ms: list[int] = []

    async def play(fleet: RestartingFleet) -> None:
        fleet.set_demand(1.0, [7.0] + [1.0] * 7)
        await fleet.run(6.0)
        await fleet.restart(fleet.nodes, DOWN_S)
        restarted_ms = fleet.loop.now_ms()
        await fleet.run(5.0)
        refused_ms.extend(itertools.chain(time - restarted_ms for time in fleet.refused_ms))

    run_fleet(play, 8, 545.0, 545.0)
    assert max(refused_ms, default=0) <= 1_500


@pytest.mark.parametrize("instances", [8, 20, 76, 195])
def test_first_requests_after_a_quiet_time_are_admitted(instances) -> None:
    """A rate's owner began with one token although it had admitted nothing for long.

    Callers ask for less than a low rate, each instance for a fraction of a request per second.
    """
    rate = 12.0

    async def play(fleet: RestartingFleet) -> None:
        for node in fleet.nodes:
            node.credit = fleet.rng.random()
        fleet.set_demand(1.0)
        await fleet.run(4.0)

    fleet = run_fleet(play, instances, rate, rate)
    assert fleet.find_worst_excess() <= 0
    assert fleet.count_refused(0) <= 0.05 * fleet.count_admitted(0)
