"""Quarantines are taken over from any source, in any order, and end by time or by an answer."""

import itertools

from msgspec.structs import replace

from waxwingshelf.steering.quarantine import QUARANTINE_MS, Quarantine, QuarantineList

WALL_MS = 1_800_000_000_000
BEGUN = Quarantine(WALL_MS, False, suspected_ms=500)
LIFTED = Quarantine(WALL_MS, True, suspected_ms=500)
AGAIN = Quarantine(WALL_MS + 1_000, False, suspected_ms=300)


def test_quarantine_ends_after_its_time() -> None:
    quarantines = QuarantineList()
    assert quarantines.record("f", BEGUN, now_ms=0, wall_ms=WALL_MS)
    assert quarantines.get_remaining_ms("f", 0) == QUARANTINE_MS
    assert quarantines.get_remaining_ms("other", 0) == 0
    assert quarantines.get_remaining_ms("f", QUARANTINE_MS) == 0
    assert quarantines.is_over("f", QUARANTINE_MS)


def test_instance_that_starts_later_takes_over_the_rest() -> None:
    quarantines = QuarantineList()
    quarantines.record("f", BEGUN, now_ms=7, wall_ms=WALL_MS + 60_000)
    assert quarantines.get_remaining_ms("f", 7) == QUARANTINE_MS - 60_000


def test_time_of_day_that_jumps_back_does_not_prolong_it() -> None:
    quarantines = QuarantineList()
    quarantines.record("f", BEGUN, now_ms=0, wall_ms=WALL_MS - 3_600_000)
    assert quarantines.get_remaining_ms("f", 0) == QUARANTINE_MS


def test_order_of_messages_does_not_matter() -> None:
    for messages in itertools.permutations((BEGUN, LIFTED, AGAIN)):
        quarantines = QuarantineList()
        for message in messages:
            quarantines.record("f", message, 0, WALL_MS)
        assert quarantines.find("f") == AGAIN
        assert quarantines.get_remaining_ms("f", 0) > 0
    for messages in itertools.permutations((BEGUN, LIFTED)):
        quarantines = QuarantineList()
        for message in messages:
            quarantines.record("f", message, 0, WALL_MS)
        assert quarantines.get_remaining_ms("f", 0) == 0
        assert quarantines.list_in_force(0) == {}


def test_known_quarantine_changes_nothing() -> None:
    quarantines = QuarantineList()
    quarantines.record("f", BEGUN, 0, WALL_MS)
    version = quarantines.version
    assert not quarantines.record("f", BEGUN, 5_000, WALL_MS)
    assert quarantines.version == version
    in_force = quarantines.list_in_force(5_000)
    assert {name: entry.suspected_since_ms for name, entry in in_force.items()} == {"f": -500}


def test_number_of_quarantines_is_bounded() -> None:
    quarantines = QuarantineList()
    for number in range(2_000):
        quarantines.record(str(number), Quarantine(WALL_MS + number, False), number, WALL_MS)
    assert len(quarantines.list_all()) < 1_100
    assert quarantines.get_remaining_ms("1999", 2_000) > 0


def list_trial_times(quarantines: QuarantineList, is_settled: bool) -> list[int]:
    """Return when trials were due, each begun at once; `is_settled` is whether its end is known."""
    quarantine = BEGUN
    quarantines.record("f", quarantine, 0, WALL_MS)
    trials = []
    for now_ms in range(0, QUARANTINE_MS, 500):
        if quarantines.is_trial_due("f", now_ms):
            trials.append(now_ms)
            quarantine = replace(quarantine, trials=quarantine.trials + 1)
            quarantines.record("f", quarantine, now_ms, WALL_MS + now_ms)
            if is_settled:
                quarantine = replace(quarantine, settled_trials=quarantine.trials)
                quarantines.record("f", quarantine, now_ms, WALL_MS + now_ms)
    return trials


def test_trials_are_few_and_far_between() -> None:
    """The rule allows three retries after the third crash."""
    quarantines = QuarantineList()
    assert list_trial_times(quarantines, is_settled=True) == [1_000, 5_000, 30_000]
    assert not quarantines.is_trial_due("other", 5_000)


def test_trials_without_an_outcome_are_as_few() -> None:
    """Guards against trials beyond three, whatever becomes of the instances that send them."""
    assert list_trial_times(QuarantineList(), is_settled=False) == [1_000, 5_000, 13_000]


def test_trials_of_another_instance_are_taken_over() -> None:
    quarantines = QuarantineList()
    quarantines.record("f", BEGUN, 0, WALL_MS)
    assert quarantines.record("f", replace(BEGUN, trials=1), 1_000, WALL_MS + 1_000)
    assert not quarantines.record("f", BEGUN, 2_000, WALL_MS + 2_000)
    assert not quarantines.is_trial_due("f", 4_500)
