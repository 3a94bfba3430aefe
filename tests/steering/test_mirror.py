"""Tests that the copy of the store's keys accepts changes from any source in any order."""

import random

from waxwingshelf.steering.mirror import Change, Mirror


def test_older_change_does_not_replace_newer_one() -> None:
    mirror = Mirror()
    assert mirror.apply([Change("k", 5, b"new")], 5)
    assert not mirror.apply([Change("k", 4, b"old")], 4)
    assert mirror.get("k") == Change("k", 5, b"new")
    assert mirror.as_of == 5


def test_lagging_peer_does_not_restore_removed_key() -> None:
    mirror = Mirror()
    mirror.apply([Change("k", 3, b"x")], 3)
    mirror.apply([Change("k", 7, None)], 7)
    assert not mirror.apply([Change("k", 3, b"x")], 3)
    assert mirror.get("k") is None


def test_listing_removes_missing_keys_except_newer_ones() -> None:
    mirror = Mirror()
    mirror.apply([Change("old", 3, b"x"), Change("newer", 12, b"y")], 9)
    applied = mirror.replace([Change("kept", 2, b"z")], 10)
    assert {change.key: change.value for change in applied} == {"kept": b"z", "old": None}
    assert mirror.get("newer") is not None


def test_outdated_listing_is_ignored() -> None:
    mirror = Mirror()
    mirror.apply([Change("k", 9, b"x")], 9)
    assert mirror.replace([], 8) == []
    assert mirror.get("k") is not None


def test_history_is_returned_only_if_complete() -> None:
    mirror = Mirror()
    mirror.replace([Change("k", 4, b"x")], 10)
    assert mirror.list_changes_since(9) is None
    mirror.apply([Change("k", 11, b"y")], 11)
    assert mirror.list_changes_since(10) == [Change("k", 11, b"y")]


def test_result_is_independent_of_order_of_changes() -> None:
    rng = random.Random(7)
    changes = [
        Change(f"k{rng.randrange(4)}", revision, None if rng.random() < 0.3 else b"%d" % revision)
        for revision in range(1, 60)
    ]
    expected = Mirror()
    expected.apply(changes, 60)
    for _ in range(20):
        rng.shuffle(changes)
        shuffled = Mirror()
        for change in changes:
            shuffled.apply([change], 60)
        assert {c.key: c for c in shuffled.list_items()} == {
            c.key: c for c in expected.list_items()
        }
