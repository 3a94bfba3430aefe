"""The order in which waiting requests get room."""

import random

from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.waiting import Waiter, WaitQueue


def make_waiter(name: str, priority: int = 1, late_ms: int = 500, end_ms: int = 2_000):
    return Waiter(name, priority, late_ms, end_ms)


def drain(line: WaitQueue[str], now_ms: int) -> list[str]:
    order: list[str] = []
    line.place_waiting(now_ms, lambda waiter: bool(order.append(waiter.item)) or True)
    return order


def test_in_aim_goes_before_late_and_urgent_before_less_urgent() -> None:
    line: WaitQueue[str] = WaitQueue()
    line.add(make_waiter("late urgent", priority=0, late_ms=50))
    line.add(make_waiter("less urgent", priority=2))
    line.add(make_waiter("urgent", priority=1))
    line.add(make_waiter("urgent second", priority=1))
    assert drain(line, 100) == ["urgent", "urgent second", "less urgent", "late urgent"]
    assert not line


def test_a_request_without_a_chance_leaves_at_once() -> None:
    line: WaitQueue[str] = WaitQueue()
    line.add(make_waiter("over", end_ms=100))
    line.add(make_waiter("waiting", end_ms=900))
    assert [waiter.item for waiter in line.expire(100)] == ["over"]
    assert drain(line, 100) == ["waiting"]


def test_a_request_that_finds_no_room_stays_and_others_pass() -> None:
    line: WaitQueue[str] = WaitQueue()
    line.add(make_waiter("blocked"))
    line.add(make_waiter("free"))
    line.place_waiting(0, lambda waiter: waiter.item == "free")
    assert drain(line, 0) == ["blocked"]


def test_a_full_line_takes_nobody() -> None:
    line: WaitQueue[str] = WaitQueue(max_waiting=1)
    assert line.add(make_waiter("first"))
    assert not line.add(make_waiter("second"))


def test_one_outlier_moves_typical_times_little() -> None:
    durations = RouteDurations(600)
    before = durations.warm_ms
    durations.record(60_000, warm=True)
    assert durations.warm_ms <= before * 1.1
    for _ in range(100):
        durations.record(260, warm=True)
        durations.record(880, warm=False)
    assert abs(durations.warm_ms - 260) < 5
    assert abs(durations.cold_ms - 880) < 5


AIM_MS, DEADLINE_MS, WORK_MS, SLOTS = 600, 3_000, 250, 10
RETURNED = 2


class _Desk:
    """A line before ten slots, on simulated time in steps of ten milliseconds."""

    def __init__(self) -> None:
        self.line: WaitQueue[int] = WaitQueue()
        self.ends: list[int] = []
        self.in_aim, self.late = 0, 0
        self.held_ms: list[int] = []
        self.returns: list[tuple[int, int]] = []
        self.rng = random.Random(1)
        self.lost = 0

    def play(self, until_ms: int, per_s: int, from_ms: int, slots: int = SLOTS) -> None:
        """Let requests arrive evenly."""
        for now_ms in range(from_ms, until_ms, 10):
            self.ends = [end for end in self.ends if end > now_ms]
            before, after = (now_ms - 10) * per_s // 1_000, now_ms * per_s // 1_000
            for _ in range(after - before):
                latest = now_ms + DEADLINE_MS - WORK_MS
                self.line.add(Waiter(now_ms, 1, now_ms + AIM_MS - WORK_MS, latest))
            for at_ms, sent_ms in [row for row in self.returns if row[0] <= now_ms]:
                self.returns.remove((at_ms, sent_ms))
                self.line.add(Waiter(sent_ms, RETURNED, 0, sent_ms + DEADLINE_MS - WORK_MS))
            for waiter in self.line.expire(now_ms):
                self.refuse(waiter, now_ms)

            def place(waiter: Waiter[int], now_ms: int = now_ms) -> bool:
                if len(self.ends) >= slots:
                    return False
                self.ends.append(now_ms + WORK_MS)
                in_aim = now_ms + WORK_MS <= waiter.item + AIM_MS
                self.in_aim, self.late = self.in_aim + in_aim, self.late + (not in_aim)
                return True

            self.line.place_waiting(now_ms, place)

    def refuse(self, waiter: Waiter[int], now_ms: int) -> None:
        """Let a caller come back once, as told."""
        if waiter.priority == RETURNED:
            self.lost += 1
        else:
            self.held_ms.append(now_ms - waiter.item)
            wait_ms = max(450, min(1_200, waiter.expected_wait_ms)) * self.rng.uniform(0.34, 1.0)
            self.returns.append((now_ms + int(wait_ms), waiter.item))


def test_what_overload_leaves_over_is_refused_early_and_no_slot_idles() -> None:
    """Replay of twice the load that the slots carry: the rest was held until its deadline."""
    desk = _Desk()
    desk.play(8_000, 80, 0)
    assert desk.in_aim + desk.late >= 0.97 * 40 * 8
    assert len(desk.held_ms) > 200
    assert sum(desk.held_ms) / len(desk.held_ms) <= AIM_MS
    assert len(desk.line) <= 40 * (AIM_MS - WORK_MS) / 1_000 + 40 * 0.25 * 3 + 10


def test_late_requests_are_kept_for_the_end_of_a_burst() -> None:
    desk = _Desk()
    desk.play(3_000, 20, 0)
    desk.play(4_000, 80, 3_000)
    desk.play(9_000, 20, 4_000)
    assert desk.lost == 0
    assert desk.late >= 20


def test_requests_are_kept_through_a_short_outage() -> None:
    """Replay of targets that are back after a second and a half."""
    desk = _Desk()
    desk.play(4_000, 30, 0)
    desk.play(5_500, 30, 4_000, slots=0)
    desk.play(9_000, 20, 5_500)
    assert desk.lost <= 0.1 * 30 * 1.5
    assert desk.late >= 0.5 * 30 * 1.5
