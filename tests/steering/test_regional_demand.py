"""The weights of regions follow a swinging demand, in steps that move few requests.

The replayed load: three regions with slots in the ratio 4:1:4 and a third of the callers each. The
demand swings by half in 36 s. See `regional_replay`.
"""

import pytest

from tests.steering.regional_replay import REGIONS, SERVICE, Replay, find_region
from waxwingshelf.core.hashing import hash_to_uint32
from waxwingshelf.steering.region_weights import RegionWeights, compute_fractions
from waxwingshelf.steering.regional_demand import RegionalDemand

SLOTS = {"c": 10, "n": 40, "s": 40}
EQUAL_DEMAND = dict.fromkeys(SLOTS, 21.0)
MAX_SHARE_DIFFERENCE = 0.05
MAX_MOVED = 0.05
WINDOW_MS = 2_000
START_MS = 10_000
SLOTS_OF_TWO = ("c", "n")
HASH = hash_to_uint32(SERVICE)


def list_regions_of_objects(replay: Replay, region: str, count: int = 3_000) -> list[str]:
    """Return the region of each of many objects at the first instance of a region."""
    instance = next(instance for instance in replay.instances if instance.region == region)
    return [find_region(instance, f"k{number}", replay.durations) for number in range(count)]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("demand", [18.0, 21.0, 24.0])
def test_all_regions_have_the_same_share_in_time(demand: float, seed: int) -> None:
    """Callers of the region with few targets were late while other regions had free slots."""
    replay = Replay(SLOTS, dict.fromkeys(SLOTS, demand), seed=seed)
    replay.run(START_MS + 72_000)
    shares = replay.compute_shares(START_MS)
    assert max(shares.values()) - min(shares.values()) <= MAX_SHARE_DIFFERENCE


def test_region_that_outgrows_its_targets_gives_requests_away() -> None:
    """With today's weights, a region with half of all callers overloaded its targets."""
    demand = {"c": 31.0, "n": 16.0, "s": 16.0}
    shares = {}
    for adapts in (False, True):
        replay = Replay(SLOTS, demand, adapts=adapts)
        replay.run(START_MS + 36_000)
        shares[adapts] = replay.compute_shares(START_MS)
    assert min(shares[True].values()) > min(shares[False].values())


def test_steps_move_few_requests_in_any_window() -> None:
    """A step too large would move more than the platform allows, and cool many warm objects."""
    replay = Replay(SLOTS, EQUAL_DEMAND)
    replay.run(60_000)
    for instance in replay.instances:
        assert instance.shifts
        for at_ms, _ in instance.shifts:
            window = [
                shift.moved
                for other_ms, shift in instance.shifts
                if at_ms <= other_ms < at_ms + WINDOW_MS
            ]
            assert sum(window) <= MAX_MOVED


def test_placed_objects_move_no_more_than_the_steps_tell() -> None:
    """The fraction that a step tells is that of the objects whose first target changes region."""
    replay = Replay(SLOTS, EQUAL_DEMAND)
    replay.run(START_MS)
    earlier = list_regions_of_objects(replay, "c")
    total = 0.0
    while replay.now_ms < START_MS + 36_000:
        replay.run(replay.now_ms + WINDOW_MS)
        current = list_regions_of_objects(replay, "c")
        moved = sum(a != b for a, b in zip(earlier, current, strict=True)) / len(current)
        assert moved <= MAX_MOVED
        earlier = current
        total += moved
    assert total > MAX_MOVED


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_even_demand_per_slot_keeps_todays_rankings(seed: int) -> None:
    """Random differences of the measured demand must not move any object."""
    demand = {"c": 7.0, "n": 28.0, "s": 28.0}
    replay = Replay(SLOTS, demand, swing=0.0, seed=seed)
    earlier = {region: list_regions_of_objects(replay, region, 500) for region in SLOTS}
    replay.run(60_000)
    assert [instance.shifts for instance in replay.instances if instance.shifts] == []
    for region, regions in earlier.items():
        assert list_regions_of_objects(replay, region, 500) == regions


def test_instances_of_a_region_agree() -> None:
    """Instances that disagree send one object to several targets, each of which runs it cold."""
    replay = Replay(SLOTS, EQUAL_DEMAND, instances_per_region=12)
    agreements = []
    while replay.now_ms < START_MS + 36_000:
        replay.run(replay.now_ms + WINDOW_MS)
        if replay.now_ms <= START_MS:
            continue
        for region in SLOTS:
            weights = [
                instance.placer._region_weights.get_weight(SERVICE, region)
                for instance in replay.instances
                if instance.region == region
            ]
            agreements.append(max(weights) / min(weights))
    # One step is a factor of 1.22.
    assert sum(factor < 1.5 for factor in agreements) >= 0.9 * len(agreements)


def test_instance_that_returns_uses_no_figures_from_before_the_cut() -> None:
    """Figures of 10 s ago are of another phase of the wave."""
    demand = RegionalDemand("c")
    counts = {"c": 3, "n": 1}
    for name in ("c2", "c3"):
        demand.record_peer(name, "c", {HASH: 900}, None, 0)
    demand.record_peer("n1", "n", None, {HASH: 5_000}, 0)
    demand.record_request(SERVICE, 1_000.0, 0)
    demand.update(counts, 100)
    assert demand.compute_confidence(SLOTS_OF_TWO, 100) == 1.0
    assert demand.get_demand(SERVICE)["n"] == 500.0
    demand.update(counts, 10_000)
    assert demand.compute_confidence(SLOTS_OF_TWO, 10_000) == 0.0
    assert demand.get_demand(SERVICE) == {}
    assert demand.list_region(10_000) is None
    for name in ("c2", "c3"):
        demand.record_peer(name, "c", {HASH: 10}, None, 10_050)
    demand.record_peer("n1", "n", None, {HASH: 30}, 10_050)
    demand.update(counts, 10_100)
    assert demand.compute_confidence(SLOTS_OF_TWO, 10_100) == 1.0
    assert demand.get_demand(SERVICE) == {"c": pytest.approx(2.0), "n": 3.0}


@pytest.mark.parametrize("stalled", [True, False])
def test_weights_after_a_cut_follow_only_what_is_known_since(stalled: bool) -> None:
    """The trend and the peak of before the cut are of another phase of the wave."""
    demand = RegionalDemand("c")
    weights = RegionWeights(demand)
    slots = {"c": 10.0, "n": 40.0}

    def update(units: int, start_ms: int, end_ms: int, is_cut: bool = False) -> None:
        for now_ms in range(start_ms, end_ms, 250):
            if not is_cut:
                demand.record_peer("c2", "c", {HASH: units}, None, now_ms)
                demand.record_peer("n1", "n", None, {HASH: 40}, now_ms)
            demand.update({"c": 2, "n": 1}, now_ms)
            weights.update(SERVICE, slots, slots, now_ms, now_ms)

    update(300, 0, 20_000)
    assert weights._services[SERVICE].peak == pytest.approx(30.0)
    # A stalled process runs no updates, and finds fresh heartbeats when it resumes.
    if not stalled:
        update(0, 20_000, 30_000, is_cut=True)
    update(10, 30_000, 31_000)
    assert weights._services[SERVICE].peak <= 1.0
    assert weights._services[SERVICE].compute_strength() == 0.0


def test_weights_return_to_todays_while_an_instance_is_cut_off() -> None:
    """An instance that knows nothing assumes equal demand; it forgets what it had observed."""
    replay = Replay(SLOTS, {"c": 31.0, "n": 16.0, "s": 16.0})
    replay.run(30_000)
    instance = replay.instances[0]
    weights = instance.placer._region_weights
    assert weights.get_weight(SERVICE, "c") < 1.0
    replay.cut_names.add(instance.name)
    replay.run(100_000)
    assert {weights.get_weight(SERVICE, region) for region in SLOTS} == {1.0}


def test_figures_of_a_silent_peer_count_for_4_s_and_then_decay() -> None:
    demand = RegionalDemand("c")
    demand.record_peer("c2", "c", {HASH: 100}, None, 0)
    demand.update({"c": 2}, 4_000)
    assert demand.get_demand(SERVICE)["c"] == 10.0
    demand.update({"c": 2}, 6_000)
    # The peer counts half beside this instance, which has no demand.
    assert demand.get_demand(SERVICE)["c"] == pytest.approx(2 * 5.0 / 1.5)


def test_sum_with_too_few_known_instances_is_kept() -> None:
    """The demand of a few instances says little of the region's."""
    demand = RegionalDemand("c")
    demand.record_peer("n1", "n", None, {HASH: 30}, 1_000)
    for number in range(9):
        demand.record_peer(f"c{number}", "c", {HASH: 10}, None, 0)
    demand.update({"c": 10}, 0)
    known = demand.get_demand(SERVICE)
    demand.update({"c": 30}, 1_000)
    assert demand.get_demand(SERVICE) == known
    assert demand.compute_confidence(SLOTS_OF_TWO, 1_000) == 1.0
    assert 0.0 < demand.compute_confidence(SLOTS_OF_TWO, 6_000) < 1.0


@pytest.mark.parametrize(
    "units", [None, "x", [1], {"x": 1}, {HASH: "x"}, {HASH: -1}, {HASH: 10**15}, {HASH: 2.5}]
)
def test_malformed_figures_are_left_out(units: object) -> None:
    demand = RegionalDemand("c")
    demand.record_peer("n1", "n", None, {17: 20}, 0)
    demand.record_peer("n1", "n", None, units, 100)
    assert demand.get_demand(SERVICE).get("n", 0.0) == 0.0


@pytest.mark.parametrize(
    ("demand", "kept"),
    [
        # Enough slots everywhere: the most that a region keeps.
        ({"c": 5.0, "n": 20.0, "s": 20.0}, 0.85),
        # A region keeps what fills 0.8 of its slots.
        ({"c": 16.0, "n": 20.0, "s": 20.0}, 0.5),
        # All regions together have too few slots: all are filled alike.
        ({"c": 30.0, "n": 75.0, "s": 75.0}, 20 / 30),
    ],
)
def test_region_keeps_what_its_slots_carry(demand: dict[str, float], kept: float) -> None:
    fractions = compute_fractions("c", demand, SLOTS)
    assert fractions["c"] == pytest.approx(kept, abs=0.001)
    assert sum(fractions.values()) == pytest.approx(1.0)


def test_region_keeps_its_requests_if_no_other_has_free_slots() -> None:
    """A tenth of the large region's requests would take all slots of the small one."""
    fractions = compute_fractions("n", {"c": 21.0, "n": 21.0}, {"c": 10, "n": 40})
    assert fractions["c"] == pytest.approx(0.02)


def test_overflow_goes_where_slots_are_free() -> None:
    fractions = compute_fractions("c", {"c": 20.0, "n": 40.0, "s": 10.0}, SLOTS)
    assert fractions["n"] == 0.0
    assert fractions["s"] > 0.5


@pytest.mark.parametrize("slots", [{"c": 10}, {"n": 10}, {"n": 10, "s": 10}])
def test_regions_without_targets_are_no_fault(slots: dict[str, int]) -> None:
    demand = RegionalDemand("c")
    weights = RegionWeights(demand)
    for now_ms in range(0, 10_000, 250):
        demand.record_request(SERVICE, 300.0, now_ms)
        demand.update({"c": 1}, now_ms)
        weights.update(SERVICE, slots, slots, now_ms, now_ms)
    assert all(weights.get_weight(SERVICE, region) > 0.0 for region in REGIONS.values())


def test_region_whose_instances_are_not_known_may_have_callers() -> None:
    """An instance that has just started knows no peers, and must not take itself for the only."""
    demand = RegionalDemand("c")
    demand.record_request(SERVICE, 1_000.0, 0)
    demand.update({"c": 1}, 100)
    assert demand.compute_confidence(["c"], 100) == 1.0
    assert demand.compute_confidence(["c", "n"], 100) == 0.0


def test_peers_of_earlier_builds_leave_weights_as_they_were() -> None:
    """A peer that tells nothing must not count as one without demand."""
    demand = RegionalDemand("c")
    demand.record_peer("n1", "n", None, None, 0)
    demand.update({"c": 1, "n": 1}, 100)
    assert demand.compute_confidence(["c", "n"], 100) == 0.0
