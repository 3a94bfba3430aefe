"""Tests that the copy of the store's keys accepts changes from any source in any order."""

import random

from waxwingshelf.steering.mirror import Change, Mirror, Position

ERA = 1


def at(revision: int, era: int = ERA) -> Position:
    return Position(era, revision)


def make_mirror() -> Mirror:
    """Return a mirror that has listed an empty store at the beginning of the first era."""
    mirror = Mirror()
    mirror.replace([], at(0))
    return mirror


def test_older_change_does_not_replace_newer_one() -> None:
    mirror = make_mirror()
    assert mirror.apply([Change("k", 5, b"new")], at(5))
    assert not mirror.apply([Change("k", 4, b"old")], at(4))
    assert mirror.get("k") == Change("k", 5, b"new")
    assert mirror.position == at(5)


def test_lagging_peer_does_not_restore_removed_key() -> None:
    mirror = make_mirror()
    mirror.apply([Change("k", 3, b"x")], at(3))
    mirror.apply([Change("k", 7, None)], at(7))
    assert not mirror.apply([Change("k", 3, b"x")], at(3))
    assert mirror.get("k") is None


def test_listing_removes_missing_keys_except_newer_ones() -> None:
    mirror = make_mirror()
    mirror.apply([Change("old", 3, b"x"), Change("newer", 12, b"y")], at(9))
    applied = mirror.replace([Change("kept", 2, b"z")], at(10))
    assert {change.key: change.value for change in applied} == {"kept": b"z", "old": None}
    assert mirror.get("newer") is not None


def test_outdated_listing_is_ignored() -> None:
    mirror = make_mirror()
    mirror.apply([Change("k", 9, b"x")], at(9))
    assert mirror.replace([], at(8)) == []
    assert mirror.get("k") is not None


def test_history_is_returned_only_if_complete() -> None:
    mirror = make_mirror()
    mirror.replace([Change("k", 4, b"x")], at(10))
    assert mirror.list_changes_since(at(9)) is None
    mirror.apply([Change("k", 11, b"y")], at(11))
    assert mirror.list_changes_since(at(10)) == [Change("k", 11, b"y")]


def test_result_is_independent_of_order_of_changes() -> None:
    rng = random.Random(7)
    changes = [
        Change(f"k{rng.randrange(4)}", revision, None if rng.random() < 0.3 else b"%d" % revision)
        for revision in range(1, 60)
    ]
    expected = make_mirror()
    expected.apply(changes, at(60))
    for _ in range(20):
        rng.shuffle(changes)
        shuffled = make_mirror()
        for change in changes:
            shuffled.apply([change], at(60))
        assert {c.key: c for c in shuffled.list_items()} == {
            c.key: c for c in expected.list_items()
        }


def test_listing_of_a_new_era_replaces_the_copy_though_revisions_went_back() -> None:
    mirror = make_mirror()
    mirror.apply([Change("gone", 7, b"x"), Change("same", 8, b"y"), Change("k", 9, b"new")], at(9))
    listed = [Change("same", 3, b"y"), Change("k", 4, b"old"), Change("back", 2, b"z")]
    applied = {change.key: change.value for change in mirror.replace(listed, at(5, ERA + 1))}
    assert applied == {"gone": None, "k": b"old", "back": b"z"}
    assert mirror.position == at(5, ERA + 1)
    assert mirror.get("gone") is None


def test_changes_of_another_era_are_ignored() -> None:
    mirror = make_mirror()
    mirror.apply([Change("k", 9, b"x")], at(9))
    assert not mirror.apply([Change("k", 10, b"later era")], at(10, ERA + 1))
    mirror.replace([Change("k", 4, b"old")], at(5, ERA + 1))
    assert not mirror.apply([Change("k", 11, b"late answer")], at(11))
    assert not mirror.replace([Change("k", 12, b"late listing")], at(12))
    assert mirror.apply([Change("k", 6, b"written again")], at(6, ERA + 1))
    assert mirror.get("k") == Change("k", 6, b"written again")


def test_no_history_is_returned_across_eras() -> None:
    mirror = make_mirror()
    mirror.apply([Change("k", 9, b"x")], at(9))
    mirror.replace([Change("k", 4, b"old")], at(5, ERA + 1))
    mirror.apply([Change("k", 6, b"y")], at(6, ERA + 1))
    assert mirror.list_changes_since(at(9)) is None
    assert mirror.list_changes_since(at(5)) is None
    assert mirror.list_changes_since(at(5, ERA + 1)) == [Change("k", 6, b"y")]
