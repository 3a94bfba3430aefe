"""Tests of where objects are warm, partly on replays of a region's load."""

import math

import pytest

from tests.steering.warm_replay import SERVICE, WarmReplay
from waxwingshelf.steering.targets import TargetRegistry, hash_target_id
from waxwingshelf.steering.warm_objects import SentObjects, WarmObjects, hash_object_key

# Of the first runs that the load makes necessary, a fifth more may happen.
MAX_FIRST_RUN_RATIO = 1.2


def make_replay(instances: int) -> WarmReplay:
    """Return a third of a fleet, one region of it, with objects requested every two seconds."""
    region = max(2, instances // 3)
    return WarmReplay(region, targets=region + 6, objects=4 * region, seed=instances)


def run(replay: WarmReplay, until_ms: int) -> None:
    replay.run(until_ms, requests_per_s=len(replay.objects) / 2)


@pytest.mark.parametrize("instances", [8, 76, 300])
def test_objects_stay_where_they_are_warm_when_a_domain_returns(instances) -> None:
    """Objects that had moved as a domain was evacuated all moved back when it returned."""
    replay = make_replay(instances)
    evacuated = [target for target in replay.targets if target.failure_domain == "north-2"]
    run(replay, 8_000)
    replay.remove(evacuated)
    run(replay, 16_000)
    # Each object that was requested had to run somewhere first, before and during the evacuation.
    necessary = replay.first_runs
    replay.add(evacuated)
    run(replay, 24_000)
    assert replay.first_runs <= necessary * MAX_FIRST_RUN_RATIO


@pytest.mark.parametrize("instances", [8, 76, 300])
def test_target_that_joins_takes_over_no_warm_objects(instances) -> None:
    """Each target that joined became the first choice of objects, which ran cold there at once."""
    replay = make_replay(instances)
    joining = replay.targets[::4]
    replay.remove(joining)
    run(replay, 10_000)
    necessary = replay.first_runs
    replay.add(joining)
    run(replay, 18_000)
    assert replay.first_runs <= necessary * MAX_FIRST_RUN_RATIO


@pytest.mark.parametrize("instances", [8, 76, 300])
def test_object_runs_first_once_where_instances_differ_in_their_first_choices(instances) -> None:
    """An instance that did not know where an object was warm ran it at its own first choice.

    Load reports alone keep the bound in a fleet of 76, but not in one of 300.
    """
    replay = make_replay(instances)
    for second in range(24):
        # Weights of regions move in steps, up to this many from where they began, and not at the
        # same time at all instances.
        for instance in replay.instances[second % 2 :: 2]:
            instance.set_weight("south", math.exp(0.18 * replay.rng.randint(-13, 13)))
        replay.run(1_000 * (second + 1), requests_per_s=0.9 * len(replay.objects))
    assert replay.first_runs <= len(replay.served_at) * MAX_FIRST_RUN_RATIO


def test_object_is_forgotten_at_a_target_after_some_time() -> None:
    objects = WarmObjects()
    objects.record(1, 0)
    assert objects.has(1, 7_000)
    assert not objects.has(1, 9_000)
    assert not objects.has(2, 0)


def test_only_recent_requests_are_reported() -> None:
    sent = SentObjects()
    sent.record(1, 11, 0)
    sent.record(2, 12, 500)
    sent.record(1, 13, 600)
    assert sent.list_recent(500) == {2: 12, 1: 13}
    assert sent.list_recent(601) == {}


def test_reports_of_an_earlier_run_of_a_target_do_not_count() -> None:
    """A report that was under way while a target restarted made its objects look warm there."""
    replay = make_replay(8)
    registry: TargetRegistry = replay.instances[0].registry
    target = replay.targets[0]
    replaced = type(target)(
        **{name: getattr(target, name) for name in target.__struct_fields__} | {"started_ms": 9}
    )
    registry.put(replaced, 1_000)
    object_hash = hash_object_key("r\0" + "1")
    registry.record_peer_objects({object_hash: hash_target_id(target.id)}, 1_500)
    state = registry.list_usable(SERVICE)[0]
    assert state.target.id == target.id
    assert not state.warm_objects.has(object_hash, 1_500)
    registry.record_peer_objects({object_hash: hash_target_id(target.id)}, 2_500)
    assert state.warm_objects.has(object_hash, 2_500)
