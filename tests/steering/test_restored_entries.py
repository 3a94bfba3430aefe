"""Entries that an older copy of the store shows do not bring back targets that had left."""

from waxwingshelf.steering.restored_entries import RestoredEntries
from waxwingshelf.steering.targets import Target


def make_target(entry_number: int, draining: bool = False, started_ms: int = 5) -> Target:
    return Target("t", "s", "h", 1, "d", "v", 4, draining, 0, started_ms, entry_number)


def test_entry_of_unknown_target_counts() -> None:
    assert not RestoredEntries().is_outdated(make_target(1), 0)


def test_older_entry_of_draining_target_is_outdated_until_it_did_not_lapse() -> None:
    entries = RestoredEntries()
    entries.record(make_target(3, draining=True))
    assert entries.is_outdated(make_target(2), 1_000)
    assert entries.list_confirmed(6_900) == []
    assert entries.list_confirmed(7_000) == ["t"]
    assert entries.list_confirmed(7_100) == []


def test_entry_of_removed_target_is_outdated_unless_target_wrote_it_anew() -> None:
    entries = RestoredEntries()
    entries.record(make_target(3))
    entries.record_removed("t")
    assert entries.is_outdated(make_target(3), 0)
    assert not entries.is_outdated(make_target(4), 0)
    assert not entries.is_outdated(make_target(1, started_ms=6), 0)


def test_outdated_entry_that_is_removed_again_is_not_confirmed() -> None:
    entries = RestoredEntries()
    entries.record(make_target(3, draining=True))
    assert entries.is_outdated(make_target(2), 0)
    entries.record_removed("t")
    assert entries.list_confirmed(60_000) == []


def test_older_entry_of_ready_target_changes_nothing() -> None:
    entries = RestoredEntries()
    entries.record(make_target(3))
    assert entries.is_outdated(make_target(2), 0)
    assert entries.list_confirmed(60_000) == []
