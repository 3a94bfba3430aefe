"""Tests that instances respect the pause that a target asks for, and return one after the other."""

from itertools import pairwise

import pytest

from waxwingshelf.core.hashing import hash_to_unit_interval
from waxwingshelf.steering.target_pauses import TargetPause
from waxwingshelf.steering.targets import Target, TargetState

SLOTS = 9
# What the target takes beyond its slots before it rejects requests.
QUEUE = 27
PAUSE_MS = 2_000
WORK_MS = 1_000
TICK_MS = 20
TARGET = Target("t1", "reads", "127.0.0.1", 1, "north-1", "v1", SLOTS, False, 0, 100)


def pause(until_ms: int) -> TargetPause:
    return TargetPause(until_ms, instances=1, slots=SLOTS, phase=0.0)


def test_latest_end_of_several_pauses_stands() -> None:
    state = TargetState(TARGET)
    assert state.record_pause(pause(2_000))
    assert not state.record_pause(pause(1_000))
    assert not state.may_send(1_999)
    assert state.refuses_requests(1_999)
    assert not state.end_pause(1_999)
    assert state.may_send(2_000)


def test_one_request_tests_whether_the_pause_has_ended() -> None:
    state = TargetState(TARGET)
    state.record_pause(pause(1_000))
    state.in_flight[1] = 1_000
    assert not state.may_send(1_100)
    del state.in_flight[1]
    assert state.end_pause(1_200)
    state.in_flight[2] = 1_200
    assert state.may_send(1_300)


@pytest.mark.parametrize("instances", [8, 76, 300])
def test_fleet_does_not_return_at_once(instances) -> None:
    """All instances have requests waiting, and the target told all of them within 100 ms.

    Without the spread, every instance sent at the same moment: 300 requests to 9 slots.
    """
    states = []
    for number in range(instances):
        state = TargetState(TARGET)
        phase = hash_to_unit_interval("pause", f"instance-{number}", TARGET.id)
        told_ms = number * 100 // instances
        state.record_pause(TargetPause(told_ms + PAUSE_MS, instances, SLOTS, phase))
        states.append(state)
    first_sends = []
    for now_ms in range(0, 60_000, TICK_MS):
        for state in states:
            if state.pause is not None and state.may_send(now_ms):
                assert now_ms >= PAUSE_MS
                state.in_flight[1] = now_ms
                first_sends.append(now_ms)
            elif state.in_flight and now_ms - state.in_flight[1] >= WORK_MS:
                state.in_flight.clear()
                state.end_pause(now_ms)
    assert len(first_sends) == instances
    for start_ms, _ in pairwise(first_sends):
        in_one_second = [ms for ms in first_sends if start_ms <= ms < start_ms + 1_000]
        assert len(in_one_second) <= SLOTS + QUEUE
