"""Tests that a target's run that has said it is leaving stays out of use."""

from msgspec.structs import replace

from waxwingshelf.steering.targets import Target, TargetRegistry

TARGET = Target("t1", "reads", "127.0.0.1", 1, "north-1", "v1", 4, False, 0, 100)


def register_leaving() -> TargetRegistry:
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    state = registry.get("t1")
    assert state is not None
    assert registry.record_leaving(state)
    assert not registry.record_leaving(state)
    return registry


def test_leaving_target_is_not_used_whatever_its_entry_says() -> None:
    registry = register_leaving()
    assert not registry.list_usable("reads")
    registry.put(replace(TARGET, entry_number=5), 100)
    assert not registry.list_usable("reads")
    registry.remove("t1")
    registry.put(replace(TARGET, entry_number=6), 200)
    assert not registry.list_usable("reads")


def test_new_run_of_a_leaving_target_is_used() -> None:
    registry = register_leaving()
    registry.remove("t1")
    registry.put(replace(TARGET, started_ms=900), 200)
    (state,) = registry.list_usable("reads")
    assert state.may_send(200)


def test_named_limit_holds_after_an_entry_lapsed_and_came_back() -> None:
    """The limit was forgotten with the entry, until the next response named it again."""
    registry = TargetRegistry()
    registry.put(TARGET, 0)
    before = registry.get("t1")
    registry.remove("t1")
    registry.put(TARGET, 2_000)
    assert registry.get("t1") is before


def test_run_without_a_start_time_is_known_by_its_count_of_entries() -> None:
    """Otherwise a target that restarts under its id would be left out for good."""
    registry = TargetRegistry()
    target = replace(TARGET, started_ms=0, entry_number=7)
    registry.put(target, 0)
    state = registry.get("t1")
    assert state is not None
    registry.record_leaving(state)
    registry.remove("t1")
    registry.put(replace(target, entry_number=8), 100)
    assert not registry.list_usable("reads")
    registry.remove("t1")
    registry.put(replace(target, entry_number=1), 200)
    assert registry.list_usable("reads")
