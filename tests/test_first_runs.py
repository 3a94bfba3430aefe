"""The count of first runs of objects in logs."""

import json

from tools.first_runs import count_first_runs, parse_runs, parse_target_changes


def make_line(at_s: float, target: str, rank: int = 0, elapsed_ms: int = 50, **fields) -> str:
    line = {"event": "answered", "route": "read", "object": "7", "target": target, "rank": rank}
    line |= {"elapsed_ms": elapsed_ms, "objective_ms": 100, **fields}
    return f"  {at_s} n0 {json.dumps(line)}"


def test_first_runs_are_told_apart_in_order_of_sends() -> None:
    lines = [
        # Sent last, at second 2.5.
        make_line(3.0, "t1", elapsed_ms=500),
        make_line(1.5, "t1", elapsed_ms=500),
        make_line(2.0, "t2", rank=1, elapsed_ms=300, waited_ms=200),
        make_line(2.1, "t9", object=""),
        "no line of an event",
        "{}",
    ]
    counts = count_first_runs(parse_runs(lines))
    assert counts.objects == 1
    assert counts.runs == {"necessary": 1, "again at rank 1": 1, "warm": 1}
    assert counts.late == {"necessary": 1, "again at rank 1": 1, "warm": 1}


def test_objects_of_different_routes_differ() -> None:
    lines = [make_line(1.0, "t1"), make_line(2.0, "t1", route="order")]
    counts = count_first_runs(parse_runs(lines))
    assert counts.objects == 2
    assert counts.runs == {"necessary": 2}


def make_change(at_s: float, event: str, **fields) -> str:
    return f"  {at_s} n0 {json.dumps({'event': event, 'instance': 'n0', **fields})}"


def test_first_run_after_the_warm_target_has_left_is_necessary() -> None:
    known = [
        make_change(0.0, "target_known", target=target, failure_domain=domain, draining=False)
        for target, domain in (("t1", "a"), ("t2", "b"), ("t3", "b"))
    ]
    endings = [
        [make_change(1.5, "target_gone", target="t1")],
        [make_change(1.5, "target_leaving", target="t1")],
        [make_change(1.5, "target_known", target="t1", failure_domain="a", draining=True)],
        [make_change(1.5, "evacuations", failure_domains=["a"])],
    ]
    for ending in endings:
        lines = [make_line(at_s, f"t{at_s:.0f}", instance="n0") for at_s in (1.0, 2.0, 3.0)]
        lines = [*known, *ending, *lines]
        counts = count_first_runs(parse_runs(lines), parse_target_changes(lines))
        assert counts.runs == {
            "necessary": 1,
            "necessary, as its targets had left": 1,
            # The second target is still in use.
            "again at rank 0": 1,
        }
