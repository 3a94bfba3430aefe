"""The order in which waiting requests get room."""

from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.waiting import Waiter, WaitingLine


def make_waiter(name: str, priority: int = 1, late_ms: int = 500, end_ms: int = 2_000):
    return Waiter(name, priority, late_ms, end_ms)


def drain(line: WaitingLine[str], now_ms: int) -> list[str]:
    order: list[str] = []
    line.serve(now_ms, lambda waiter: bool(order.append(waiter.item)) or True)
    return order


def test_in_aim_goes_before_late_and_urgent_before_less_urgent() -> None:
    line: WaitingLine[str] = WaitingLine()
    line.add(make_waiter("late urgent", priority=0, late_ms=50))
    line.add(make_waiter("less urgent", priority=2))
    line.add(make_waiter("urgent", priority=1))
    line.add(make_waiter("urgent second", priority=1))
    assert drain(line, 100) == ["urgent", "urgent second", "less urgent", "late urgent"]
    assert not line


def test_a_request_without_a_chance_leaves_at_once() -> None:
    line: WaitingLine[str] = WaitingLine()
    line.add(make_waiter("over", end_ms=100))
    line.add(make_waiter("waiting", end_ms=900))
    assert [waiter.item for waiter in line.expire(100)] == ["over"]
    assert drain(line, 100) == ["waiting"]


def test_a_request_that_finds_no_room_stays_and_others_pass() -> None:
    line: WaitingLine[str] = WaitingLine()
    line.add(make_waiter("blocked"))
    line.add(make_waiter("free"))
    line.serve(0, lambda waiter: waiter.item == "free")
    assert drain(line, 0) == ["blocked"]


def test_a_full_line_takes_nobody() -> None:
    line: WaitingLine[str] = WaitingLine(most=1)
    assert line.add(make_waiter("first"))
    assert not line.add(make_waiter("second"))


def test_one_outlier_moves_typical_times_little() -> None:
    durations = RouteDurations(600)
    before = durations.warm_ms
    durations.note(60_000, warm=True)
    assert durations.warm_ms <= before * 1.1
    for _ in range(100):
        durations.note(260, warm=True)
        durations.note(880, warm=False)
    assert abs(durations.warm_ms - 260) < 5
    assert abs(durations.cold_ms - 880) < 5
