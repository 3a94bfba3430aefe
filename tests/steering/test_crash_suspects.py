"""Deadly requests are told from harmless ones that were at the same crashes."""

import random

from waxwingshelf.steering.crash_suspects import AnsweredRequests, CrashSuspects, TargetCrash

SETTLED_MS = 1_000


def record(suspects, run, *fingerprints, at_ms=0) -> None:
    suspects.record_crash(TargetCrash(run, frozenset(fingerprints)), at_ms)


def find(suspects, now_ms=SETTLED_MS) -> list[str]:
    return [deadly.fingerprint for deadly in suspects.take_deadly(now_ms)]


def test_request_at_three_crashes_is_deadly() -> None:
    suspects = CrashSuspects()
    record(suspects, "t1", "deadly", "a")
    record(suspects, "t2", "deadly", "b")
    assert find(suspects) == []
    record(suspects, "t3", "deadly")
    assert find(suspects) == ["deadly"]
    assert find(suspects) == []


def test_second_report_of_a_crash_counts_once() -> None:
    suspects = CrashSuspects()
    for _ in range(3):
        record(suspects, "t1", "a")
    assert find(suspects) == []


def test_later_crash_of_a_target_that_restarts_under_its_name_counts() -> None:
    suspects = CrashSuspects()
    for at_ms in (0, 100, 2_000, 2_100, 4_000):
        record(suspects, "t1", "a", at_ms=at_ms)
    assert find(suspects, now_ms=5_000) == ["a"]


def test_reports_of_other_instances_are_awaited() -> None:
    suspects = CrashSuspects()
    for run in ("t1", "t2", "t3"):
        record(suspects, run, "harmless")
    assert suspects.is_unsettled(100)
    assert find(suspects, now_ms=100) == []
    for run in ("t1", "t2", "t3"):
        record(suspects, run, "deadly", at_ms=100)
    record(suspects, "t4", "deadly", at_ms=100)
    assert not suspects.is_unsettled(SETTLED_MS)
    assert find(suspects) == ["deadly"]


def test_harmless_request_at_all_crashes_of_one_copy_is_not_deadly() -> None:
    """Both were retried at the same targets: only the next copy tells which one it was."""
    suspects = CrashSuspects()
    for run in ("t1", "t2", "t3"):
        record(suspects, run, "deadly", "harmless")
    assert find(suspects) == []
    record(suspects, "t4", "deadly", "other")
    assert find(suspects) == ["deadly"]


def test_answered_request_is_cleared() -> None:
    suspects = CrashSuspects()
    record(suspects, "t1", "a")
    record(suspects, "t2", "a")
    assert suspects.record_answer("a")
    assert not suspects.record_answer("a")
    record(suspects, "t3", "a")
    assert find(suspects) == []


def test_crash_by_a_known_deadly_request_says_nothing_of_others() -> None:
    suspects = CrashSuspects()
    for run in ("t1", "t2"):
        suspects.explain_crash(TargetCrash(run, frozenset()), "deadly", 0)
    for run in ("t1", "t2", "t3", "t4"):
        record(suspects, run, "harmless")
    assert find(suspects) == []


def test_two_deadly_requests_are_told_from_the_harmless_one_between_them() -> None:
    suspects = CrashSuspects()
    record(suspects, "t1", "x", "harmless")
    record(suspects, "t2", "x", "harmless")
    record(suspects, "t3", "x")
    record(suspects, "t4", "y", "harmless")
    record(suspects, "t5", "y")
    record(suspects, "t6", "y")
    record(suspects, "t7", "x")
    assert sorted(find(suspects)) == ["x", "y"]


def test_old_crashes_are_forgotten() -> None:
    suspects = CrashSuspects()
    record(suspects, "t1", "a")
    record(suspects, "t2", "a")
    record(suspects, "t3", "a", at_ms=400_000)
    assert find(suspects, now_ms=401_000) == []


def test_random_load_finds_the_deadly_request_and_no_other() -> None:
    """Harmless requests are retried at up to three targets; the deadly one keeps coming."""
    for seed in range(50):
        rng = random.Random(seed)
        suspects = CrashSuspects()
        harmless = [f"h{number}" for number in range(30)]
        sends_left = dict.fromkeys(harmless, 3)
        found = []
        for number in range(12):
            now_ms = number * 200
            victims = rng.sample(harmless, 8)
            record(suspects, f"t{number}", "deadly", *victims, at_ms=now_ms)
            for victim in victims:
                sends_left[victim] -= 1
                if sends_left[victim] == 0 or rng.random() < 0.5:
                    suspects.record_answer(victim)
                    sends_left[victim] = 3
            found += find(suspects, now_ms)
            if found:
                break
        assert found == ["deadly"], seed


def test_answers_are_remembered_by_time_and_the_oldest_forgotten() -> None:
    answered = AnsweredRequests()
    answered.record("a", 10)
    assert answered.was_answered_since("a", 9)
    assert not answered.was_answered_since("a", 10)
    for number in range(10_000):
        answered.record(str(number), 20)
    assert not answered.was_answered_since("a", 0)
    assert answered.was_answered_since("9999", 0)
