"""What an instance believes of the targets."""

from dataclasses import replace

import pytest

from waxwingshelf.steering.targets import (
    Load,
    Target,
    TargetRegistry,
    TargetState,
    hash_target_id,
    is_mass_removal,
)

TARGET = Target("t1", "reads", "127.0.0.1", 1, "north-1", "v1", 4, False, 0, 100)


def test_draining_and_evacuated_targets_get_no_new_work() -> None:
    book = TargetRegistry()
    book.put(TARGET, 0)
    book.put(replace(TARGET, id="t2", failure_domain="north-2"), 0)
    assert len(book.list_usable("reads")) == 2
    book.put(replace(TARGET, draining=True), 0)
    assert [state.target.id for state in book.list_usable("reads")] == ["t2"]
    book.set_evacuated(frozenset({"north-2"}), 0, 3_000)
    assert book.list_usable("reads") == []


def test_an_evacuated_domain_is_cold_when_it_is_taken_back() -> None:
    book = TargetRegistry()
    book.put(TARGET, 0)
    book.set_evacuated(frozenset({"north-1"}), 0, 3_000)
    book.set_evacuated(frozenset(), 10_000, 3_000)
    state = book.list_usable("reads")[0]
    assert state.is_cold(12_900)
    assert not state.is_cold(13_100)


def test_a_target_that_was_born_again_is_new_under_its_old_id() -> None:
    book = TargetRegistry()
    book.put(TARGET, 0)
    before = book.get("t1")
    assert before is not None
    before.record_outcome(True, 0)
    book.put(replace(TARGET, slots=5), 0)
    assert book.get("t1") is before
    book.put(replace(TARGET, started_ms=200), 0)
    after = book.get("t1")
    assert after is not before
    assert after is not None
    assert after.failure_rate == 0


def test_the_load_is_what_all_instances_have_there() -> None:
    book = TargetRegistry()
    book.put(TARGET, 0)
    state = book.list_usable("reads")[0]
    state.in_flight[1] = 0
    token = hash_target_id("t1")
    assert book.count_in_flight() == {token: 1}
    book.record_peer_loads("b", {token: 3}, 100)
    book.record_peer_loads("c", {token: 2}, 100)
    assert state.estimate_load(200) == 6
    book.record_peer_loads("b", {}, 200)
    assert state.estimate_load(200) == 3
    assert state.estimate_load(900) == 1


def test_a_fresh_report_counts_when_it_is_higher() -> None:
    state = TargetState(TARGET)
    state.in_flight[1] = 0
    state.record_load(Load(3, 2, 4), 1_000)
    assert state.estimate_load(1_100) == 5
    state.in_flight[2] = 1_150
    assert state.estimate_load(1_200) == 6
    assert state.estimate_load(2_000) == 2


def test_failures_fade_and_a_silent_target_looks_slow() -> None:
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
def test_entries_that_go_all_at_once_have_lapsed(removed, known, mass) -> None:
    assert is_mass_removal(removed, known) is mass
