"""When an instance doubts that it reaches targets, and what probes decide."""

import pytest

from waxwingshelf.steering.reachability import ProbeOutcome, Reach, TargetReachability

OPENED, REFUSED, TIMED_OUT = ProbeOutcome


@pytest.mark.parametrize(
    ("outcomes", "reach"),
    [
        ([OPENED], Reach.FULL),
        ([REFUSED, REFUSED, OPENED], Reach.FULL),
        ([TIMED_OUT, OPENED], Reach.FULL),
        ([REFUSED, REFUSED], Reach.OPEN_CONNECTIONS),
        ([TIMED_OUT, REFUSED], Reach.OPEN_CONNECTIONS),
        ([TIMED_OUT, TIMED_OUT], Reach.NONE),
        ([], Reach.FULL),
    ],
)
def test_links_are_lost_only_if_no_probe_is_accepted(outcomes, reach) -> None:
    reachability = TargetReachability(0)
    reachability.record_probes(outcomes, 100)
    assert reachability.reach is reach


def test_one_failed_connection_among_others_that_open_needs_no_probe() -> None:
    reachability = TargetReachability(0)
    reachability.record_opened(1_000)
    reachability.record_failed(1_050)
    assert not reachability.needs_probes(1, 10, 1_200)


def test_failed_connection_after_others_have_opened_long_ago_needs_probes_once() -> None:
    reachability = TargetReachability(0)
    reachability.record_opened(1_000)
    reachability.record_failed(2_000)
    assert reachability.needs_probes(0, 0, 2_000)
    reachability.record_probes([OPENED], 2_010)
    assert not reachability.needs_probes(0, 0, 2_300)


def test_silence_is_suspicious_only_while_requests_wait() -> None:
    reachability = TargetReachability(0)
    for now_ms in range(0, 5_000, 50):
        reachability.record_heard(now_ms)
    assert not reachability.needs_probes(0, 0, 9_000)
    assert not reachability.needs_probes(3, 400, 9_000)
    assert reachability.needs_probes(3, 700, 9_000)


def test_silence_must_be_longer_where_responses_are_rare() -> None:
    reachability = TargetReachability(0)
    for now_ms in range(0, 20_000, 1_000):
        reachability.record_heard(now_ms)
    assert not reachability.needs_probes(1, 1_200, 20_200)
    assert reachability.needs_probes(1, 1_600, 20_700)


def test_lost_links_are_probed_until_a_target_accepts() -> None:
    reachability = TargetReachability(0)
    reachability.record_probes([TIMED_OUT], 1_000)
    assert not reachability.needs_probes(0, 0, 1_100)
    assert reachability.needs_probes(0, 0, 1_300)
    reachability.record_probes([OPENED], 1_310)
    assert reachability.may_send(1_310)
    assert reachability.may_open()


def test_open_connections_are_used_while_they_bring_responses() -> None:
    reachability = TargetReachability(0)
    reachability.record_heard(900)
    reachability.record_probes([REFUSED], 1_000)
    assert not reachability.may_open()
    assert reachability.may_send(1_500)
    assert not reachability.may_send(2_000)
    reachability.record_heard(2_100)
    assert reachability.may_send(2_200)


def test_no_connection_is_used_once_all_are_silent() -> None:
    reachability = TargetReachability(0)
    reachability.record_heard(990)
    reachability.record_probes([TIMED_OUT], 1_000)
    assert not reachability.may_send(1_000)
