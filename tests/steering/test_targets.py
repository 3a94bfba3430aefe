"""Tests of what an instance knows about the targets: usability, load and failures."""

import pytest
from msgspec.structs import replace

from waxwingshelf.steering.target_reports import Load
from waxwingshelf.steering.targets import (
    Target,
    TargetRegistry,
    TargetState,
    hash_target_id,
    is_mass_removal,
)

TARGET = Target("t1", "reads", "127.0.0.1", 1, "north-1", "v1", 4, False, 0, 100)


def test_draining_and_evacuated_targets_are_not_usable() -> None:
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    registry.put(replace(TARGET, id="t2", failure_domain="north-2"), 0)
    assert len(registry.list_usable("reads")) == 2
    registry.put(replace(TARGET, draining=True), 0)
    assert [state.target.id for state in registry.list_usable("reads")] == ["t2"]
    registry.set_evacuated(frozenset({"north-2"}), 0, 3_000)
    assert registry.list_usable("reads") == []


def test_targets_are_cold_after_evacuation_ends() -> None:
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    registry.set_evacuated(frozenset({"north-1"}), 0, 3_000)
    registry.set_evacuated(frozenset(), 10_000, 3_000)
    state = registry.list_usable("reads")[0]
    assert state.is_cold(12_900)
    assert not state.is_cold(13_100)


def test_restarted_target_loses_recorded_state() -> None:
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    before = registry.get("t1")
    assert before is not None
    before.record_outcome(True, 0)
    registry.put(replace(TARGET, slots=5), 0)
    assert registry.get("t1") is before
    registry.put(replace(TARGET, started_ms=200), 0)
    after = registry.get("t1")
    assert after is not before
    assert after is not None
    assert after.failure_rate == 0


def test_load_includes_requests_of_all_instances() -> None:
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    state = registry.list_usable("reads")[0]
    state.in_flight[1] = 0
    id_hash = hash_target_id("t1")
    assert registry.count_in_flight() == {id_hash: 1}
    registry.record_peer_loads("b", {id_hash: 3}, 700)
    registry.record_peer_loads("c", {id_hash: 2}, 700)
    assert state.estimate_load(200) == 6
    registry.record_peer_loads("b", {}, 800)
    assert state.estimate_load(200) == 3
    assert state.estimate_load(900) == 1


def test_recent_report_counts_if_higher() -> None:
    state = TargetState(TARGET)
    state.in_flight[1] = 0
    state.record_load(Load(3, 2, 4), 1_000, 1)
    assert state.estimate_load(1_100) == 5
    state.in_flight[2] = 1_150
    assert state.estimate_load(1_200) == 6
    assert state.estimate_load(2_000) == 2


def test_failure_rate_decays_and_unresponsive_target_is_slow() -> None:
    state = TargetState(TARGET)
    for _ in range(8):
        state.record_outcome(True, 1_000)
    assert state.compute_failure_rate(1_000) > 0.8
    assert state.compute_failure_rate(10_000) < 0.2
    state.in_flight[1] = 10_000
    assert state.compute_slowness(10_100, 300.0) == pytest.approx(1.0)
    assert state.compute_slowness(13_000, 300.0) == pytest.approx(5.0)


MASS_CASES = [(1, 2, False), (5, 48, False), (24, 48, True)]


@pytest.mark.parametrize(("removed", "known", "mass"), MASS_CASES)
def test_mass_removal_is_detected(removed, known, mass) -> None:
    assert is_mass_removal(removed, known) is mass
