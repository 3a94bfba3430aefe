"""Tests of reported speeds: their age, what is learned of them, and a replay of changing speeds."""

import functools
import random
import statistics

import pytest
from msgspec.structs import replace

from tests.steering.speed_simulation import LEARNING_MS, Machines, SpeedSimulation
from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.placement import Locality, PlacementRequest, Placer
from waxwingshelf.steering.target_reports import Load
from waxwingshelf.steering.target_speed import UNKNOWN_SPEED, SpeedModel, TargetSpeed
from waxwingshelf.steering.targets import Target, TargetRegistry, TargetState, hash_target_id

TARGET = Target("t1", "reads", "127.0.0.1", 1, "north-1", "v1", 4, False, 0, 100)
WARM_MS = 150.0
SEEDS = (1, 2)
SIMULATED_MS, REQUESTS_PER_S = 15_000, 500
# Two runs without reports differ by about as much from seed to seed.
ON_TIME_NOISE, PERCENTILE_NOISE = 0.01, 1.05
MAX_SLOWNESS_ENTRIES = 32


def report_nothing(machines, machine, now_ms, rng) -> None:
    return None


def report_exactly(machines, machine, now_ms, rng) -> float:
    return machines.get_slowness(machine, now_ms)


def report_with_noise(machines, machine, now_ms, rng) -> float:
    return machines.get_slowness(machine, now_ms) * rng.uniform(0.93, 1.07)


def lose_half(machines, machine, now_ms, rng) -> float | None:
    return machines.get_slowness(machine, now_ms) if rng.random() < 0.5 else None


def lose_most(machines, machine, now_ms, rng) -> float | None:
    return machines.get_slowness(machine, now_ms) if rng.random() < 0.05 else None


def stop_after_8_s(machines, machine, now_ms, rng) -> float | None:
    return machines.get_slowness(machine, now_ms) if now_ms < 8_000 else None


def report_late(machines, machine, now_ms, rng, delay_ms) -> float:
    return machines.get_slowness(machine, now_ms - delay_ms)


def report_one_stuck(machines, machine, now_ms, rng) -> float:
    return 2.5 if machine == 3 else 1.0


def report_all_stuck(machines, machine, now_ms, rng) -> float:
    return 2.5


def report_absurdly(machines, machine, now_ms, rng) -> float:
    return rng.choice([0.01, 1.0, 1e7])


@functools.cache
def simulate(report, seed: int, instances: int = 4) -> tuple[float, float]:
    """Return the 99th percentile in ms and the fraction of requests within the objective."""
    simulation = SpeedSimulation(seed, report, instances=instances)
    simulation.run(SIMULATED_MS, REQUESTS_PER_S)
    return simulation.compute_percentile(0.99), simulation.compute_on_time_fraction()


def compute_means(report, instances: int = 4) -> tuple[float, float]:
    results = [simulate(report, seed, instances) for seed in SEEDS]
    percentiles, fractions = zip(*results, strict=True)
    return sum(percentiles) / len(SEEDS), sum(fractions) / len(SEEDS)


IMPROVED_CASES = [(report_exactly, 4), (report_with_noise, 4), (lose_half, 4), (lose_half, 16)]


@pytest.mark.parametrize(("report", "instances"), IMPROVED_CASES)
def test_reports_improve_latency_while_speeds_change(report, instances) -> None:
    """Requests went on to slow targets for seconds, and avoided them when they were fast again."""
    percentile_before, on_time_before = compute_means(report_nothing, instances)
    percentile, on_time = compute_means(report, instances)
    assert percentile < percentile_before
    assert on_time > on_time_before + ON_TIME_NOISE


FAULTS = [
    lose_most,
    stop_after_8_s,
    *(functools.partial(report_late, delay_ms=delay_ms) for delay_ms in (200, 600, 3_000)),
    report_one_stuck,
    report_all_stuck,
    report_absurdly,
]


@pytest.mark.parametrize("report", FAULTS)
def test_faulty_reports_are_no_worse_than_none(report) -> None:
    """A figure that is outdated or wrong must not move requests or distort what is learned."""
    percentile_before, on_time_before = compute_means(report_nothing)
    percentile, on_time = compute_means(report)
    assert percentile < percentile_before * PERCENTILE_NOISE
    assert on_time > on_time_before - ON_TIME_NOISE


def test_fresh_report_decides_and_decays_to_the_average() -> None:
    """The moving average alone needs seconds to follow, in both directions."""
    state = TargetState(TARGET)
    state.slowness, state.slowness_at_ms = 1.4, 10_000
    state.record_load(Load(1, 0, 4, 2.5), 10_000, 0)
    assert state.compute_slowness(10_000, WARM_MS) == pytest.approx(2.5 * 1.4)
    lasting_ms = round(state.speed.model.lasting_ms)
    values = [state.compute_slowness(10_000 + age * lasting_ms, WARM_MS) for age in range(8)]
    assert values == sorted(values, reverse=True)
    assert values[1] < 2.5
    without_report = TargetState(TARGET, slowness=1.4, slowness_at_ms=10_000)
    end_ms = 10_000 + 8 * lasting_ms
    assert state.compute_slowness(end_ms, WARM_MS) == pytest.approx(
        without_report.compute_slowness(end_ms, WARM_MS)
    )
    state.record_load(Load(1, 0, 4, 1.0), 10_100, 0)
    assert state.compute_slowness(10_100, WARM_MS) == pytest.approx(1.4, abs=0.02)


@pytest.mark.parametrize(("gap_ms", "tolerance"), [(20, 1.6), (300, 1.6), (1_500, 2.5)])
@pytest.mark.parametrize("lasting_ms", [200, 600, 2_000])
def test_time_for_which_speeds_last_is_learned(gap_ms, tolerance, lasting_ms) -> None:
    """A wrong time keeps outdated figures, or drops those that still hold."""
    rng = random.Random(5)
    model = SpeedModel()
    speed, slowness, now_ms = TargetSpeed(model), 1.0, 0
    estimates = []
    # Enough for some hundred changes of a slow target in the second half.
    samples = max(12_000, 4_000 * lasting_ms // gap_ms)
    for count in range(samples):
        step_ms = max(1, round(rng.expovariate(1 / gap_ms)))
        now_ms += step_ms
        # Each change draws anew which speed the target has; a seventh of them are slow.
        if rng.random() < 1 - 2.718281828 ** (-step_ms / lasting_ms):
            slowness = 2.5 if rng.random() < 1 / 7 else 1.0
        speed.record_report(slowness, now_ms)
        if count > samples // 2:
            estimates.append(model.lasting_ms)
    mean_ms = sum(estimates) / len(estimates)
    assert lasting_ms / tolerance < mean_ms < lasting_ms * tolerance


def test_learned_time_and_trust_are_bounded() -> None:
    model = SpeedModel()
    for _ in range(1_000):
        model.record_succession(2.5, 2.5, 60_000)
    assert model.lasting_ms == 4_000
    for _ in range(1_000):
        model.record_succession(2.5, 1.0, 1)
    assert model.lasting_ms == 100
    for number in range(5_000):
        model.record_run(8.0 if number % 2 else 1.0, 1e9 if number % 3 else 0.0)
        assert 0 <= model.trust <= 1


def test_trust_falls_if_durations_do_not_confirm_figures_and_returns() -> None:
    rng = random.Random(1)
    model = SpeedModel()
    for _ in range(2_000):
        model.record_run(rng.choice([1.0, 2.5]), rng.uniform(0.7, 1.3))
    assert model.trust < 0.2
    for _ in range(2_000):
        reported = rng.choice([1.0, 2.5])
        model.record_run(reported, reported * rng.uniform(0.7, 1.3))
    assert model.trust > 0.8


@pytest.mark.parametrize(("slowness", "expected"), [(1e7, 8.0), (0.01, 0.25), (2.5, 2.5)])
def test_absurd_figures_are_bounded(slowness, expected) -> None:
    state = TargetState(TARGET)
    state.record_load(Load(1, 0, 4, slowness), 1_000, 0)
    assert state.compute_slowness(1_000, WARM_MS) == pytest.approx(expected)


@pytest.mark.parametrize("percent", [0, -300])
def test_figures_of_peers_that_mean_nothing_are_ignored(percent) -> None:
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    registry.record_peer_slowness({hash_target_id("t1"): percent, 5: 250}, 1_000)
    state = registry.get("t1")
    assert state is not None
    assert state.speed.estimate(1_000) == UNKNOWN_SPEED


def test_figure_that_never_changes_loses_its_weight() -> None:
    """A stuck figure would keep requests from a target for ever, or to it."""
    state = TargetState(TARGET)
    for now_ms in range(0, 20_000, 50):
        state.record_load(Load(1, 0, 4, 2.5), now_ms, 0)
    assert state.compute_slowness(20_000, WARM_MS) < 1.1
    state.record_load(Load(1, 0, 4, 1.0), 20_000, 0)
    state.record_load(Load(1, 0, 4, 2.5), 20_600, 0)
    assert state.compute_slowness(20_600, WARM_MS) > 2.4


def test_temporary_slowdown_is_not_learned_as_property() -> None:
    """The target's average stayed high for seconds after its machine was fast again."""
    state = TargetState(TARGET)
    for now_ms in range(0, 400, 20):
        before = state.speed.estimate(now_ms)
        state.record_load(Load(1, 0, 4, 2.5), now_ms + 100, 0)
        run_slowness = state.speed.estimate_run(before, now_ms, now_ms + 100)
        state.record_duration(2.5, now_ms + 100, run_slowness)
    state.record_load(Load(1, 0, 4, 1.0), 600, 0)
    assert state.compute_slowness(600, WARM_MS) < 1.3


# The figure at the send (None if unknown), the one in the response, bounds of the corrected speed.
RUN_CASES = [
    (2.5, 1.0, 2.0, 2.5),
    (1.0, 2.5, 1.0, 1.3),
    (2.5, 2.5, 2.2, 2.5),
    (None, 2.5, 2.0, 2.5),
    (None, None, 1.0, 1.0),
    (2.5, None, 2.0, 2.5),
]


@pytest.mark.parametrize(("at_send", "at_end", "low", "high"), RUN_CASES)
def test_request_ran_at_the_speed_of_before_its_response(at_send, at_end, low, high) -> None:
    """The figure of a response is of its end: it may name another speed than the request had."""
    speed = TargetSpeed()
    if at_send is not None:
        speed.record_report(at_send, 1_000)
    before = speed.estimate(1_000)
    if at_end is not None:
        speed.record_report(at_end, 1_150)
    assert low <= speed.estimate_run(before, 1_000, 1_150) <= high


def test_unresponsive_target_is_slow_whatever_it_reports_to_peers() -> None:
    state = TargetState(TARGET)
    state.in_flight[1] = 0
    state.speed.record_peer_report(1.0, 3_000)
    assert state.compute_slowness(3_000, WARM_MS) == pytest.approx(10.0)
    state.record_load(Load(1, 0, 4, 1.0), 3_000, 0)
    assert state.compute_slowness(3_000, WARM_MS) == pytest.approx(1.0)
    assert state.compute_slowness(9_000, WARM_MS) > 25


def test_later_figure_counts() -> None:
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    state, id_hash = registry.get("t1"), hash_target_id("t1")
    assert state is not None
    state.record_load(Load(1, 0, 4, 1.0), 1_000, 0)
    registry.record_peer_slowness({id_hash: 250}, 900)
    assert state.speed.slowness == 1.0
    registry.record_peer_slowness({id_hash: 250}, 1_100)
    assert state.speed.slowness == 2.5


def test_figures_of_an_earlier_run_do_not_count() -> None:
    """A peer that has not heard of the new run reports what the earlier one said."""
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    id_hash = hash_target_id("t1")
    registry.record_peer_slowness({id_hash: 250}, 1_000)
    registry.put(replace(TARGET, started_ms=200), 1_050)
    state = registry.get("t1")
    assert state is not None
    assert state.compute_slowness(1_100, WARM_MS) == 1.0
    registry.record_peer_slowness({id_hash: 250}, 1_200)
    assert state.compute_slowness(1_200, WARM_MS) == 1.0
    registry.record_peer_slowness({id_hash: 250}, 2_500)
    assert state.compute_slowness(2_500, WARM_MS) == pytest.approx(2.5)


def test_peers_are_told_fresh_figures_that_are_unusual_or_new() -> None:
    """Without the return to usual, peers would avoid the target for longer than it is slow."""
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    registry.put(replace(TARGET, id="t2"), 0)
    slow, usual = registry.get("t1"), registry.get("t2")
    assert slow is not None and usual is not None
    id_hash = hash_target_id("t1")
    slow.record_load(Load(1, 0, 4, 2.5), 1_000, 0)
    usual.record_load(Load(1, 0, 4, 1.0), 1_000, 0)
    assert registry.list_slowness(1_100, 200) == {id_hash: 250}
    assert registry.list_slowness(1_300, 200) == {}
    slow.record_load(Load(1, 0, 4, 1.0), 1_400, 0)
    slow.record_load(Load(1, 0, 4, 1.01), 1_410, 0)
    assert registry.list_slowness(1_500, 200) == {id_hash: 101}
    slow.record_load(Load(1, 0, 4, 1.0), 1_700, 0)
    assert registry.list_slowness(1_750, 200) == {}
    slow.speed.record_peer_report(3.0, 1_800)
    assert registry.list_slowness(1_800, 200) == {}


def test_reports_to_peers_are_bounded() -> None:
    """A load report has to fit into a datagram and the traffic of a slow link."""
    registry = TargetRegistry()
    for number in range(1_000):
        registry.put(replace(TARGET, id=f"t{number}"), 0)
    for state in registry.list_usable("reads"):
        slowness = 4.0 if state.target.id == "t700" else 2.0
        state.record_load(Load(1, 0, 4, slowness), 1_000, 0)
    told = registry.list_slowness(1_000, 200)
    assert len(told) == MAX_SLOWNESS_ENTRIES
    assert told[hash_target_id("t700")] == 400


# The slowness of the target where the object is warm, and whether the object leaves it: a first run
# takes 1.45 / 0.45 times as long as a warm one.
MOVE_CASES = [(1.0, False), (2.5, False), (4.0, True)]


@pytest.mark.parametrize(("slowness", "moves"), MOVE_CASES)
def test_warm_object_is_left_only_if_a_cold_run_is_sooner(slowness, moves) -> None:
    registry = TargetRegistry()
    for number in range(4):
        registry.put(replace(TARGET, id=f"t{number}"), 0)
    placer = Placer(Locality("north", "north-1", {"north-1": "north"}), registry)
    request = PlacementRequest(
        "reads", "object", True, 600, frozenset(), frozenset(), RouteDurations(600)
    )
    first = placer.choose(request, 0)[0].state
    first.record_load(Load(1, 0, 4, slowness), 1_000, 0)
    assert (placer.choose(request, 1_000)[0].state is not first) is moves
    # Nothing is sent there meanwhile, and the target must not be avoided for ever.
    assert placer.choose(request, 5_000)[0].state is first


def compute_swing(report) -> float:
    """Return the standard deviation over time of the learned warm duration, in ms."""
    simulation = SpeedSimulation(1, report, Machines(1, slowdown=4.0))
    samples: list[float] = []

    def take_sample() -> None:
        samples.extend(instance.durations.warm_ms for instance in simulation.instances)
        simulation.push(simulation.now_ms + 100, take_sample)

    simulation.push(LEARNING_MS, take_sample)
    simulation.run(SIMULATED_MS, REQUESTS_PER_S)
    return statistics.pstdev(samples)


def test_durations_do_not_follow_temporary_slowdowns() -> None:
    """All requests of the route were taken for slower while one machine was."""
    assert compute_swing(report_exactly) < 0.8 * compute_swing(report_nothing)
