"""Tests of the order in which waiting requests are placed, and of when they expire."""

import random

from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.waiting import Waiter, WaitQueue


def make_waiter(name: str, priority: int = 1, late_from_ms: int = 500, latest_send_ms: int = 2_000):
    return Waiter(name, priority, late_from_ms, latest_send_ms)


def place_all(queue: WaitQueue[str], now_ms: int) -> list[str]:
    order: list[str] = []
    queue.place_waiting(now_ms, lambda waiter: bool(order.append(waiter.item)) or True)
    return order


def test_on_time_precedes_late_and_then_priority_decides() -> None:
    queue: WaitQueue[str] = WaitQueue()
    queue.add(make_waiter("late urgent", priority=0, late_from_ms=50))
    queue.add(make_waiter("less urgent", priority=2))
    queue.add(make_waiter("urgent", priority=1))
    queue.add(make_waiter("urgent second", priority=1))
    assert place_all(queue, 100) == ["urgent", "urgent second", "less urgent", "late urgent"]
    assert not queue


def test_route_priority_decides_between_equal_priorities() -> None:
    """An organisation's priority hid the route's, so long reads went before urgent downloads."""
    queue: WaitQueue[str] = WaitQueue()
    queue.add(Waiter("read", 1, 500, 2_000, route_priority=2))
    queue.add(Waiter("urgent download", 1, 500, 2_000, route_priority=0))
    queue.add(Waiter("read of a preferred organisation", 0, 500, 2_000, route_priority=2))
    assert place_all(queue, 0) == ["read of a preferred organisation", "urgent download", "read"]


def test_request_past_latest_send_time_expires() -> None:
    queue: WaitQueue[str] = WaitQueue()
    queue.add(make_waiter("over", latest_send_ms=100))
    queue.add(make_waiter("waiting", latest_send_ms=900))
    assert [waiter.item for waiter in queue.expire(100)] == ["over"]
    assert place_all(queue, 100) == ["waiting"]


def test_blocked_request_stays_and_others_are_placed() -> None:
    queue: WaitQueue[str] = WaitQueue()
    queue.add(make_waiter("blocked"))
    queue.add(make_waiter("free"))
    queue.place_waiting(0, lambda waiter: waiter.item == "free")
    assert place_all(queue, 0) == ["blocked"]


def test_full_queue_rejects_request() -> None:
    queue: WaitQueue[str] = WaitQueue(max_waiting=1)
    assert queue.add(make_waiter("first"))
    assert not queue.add(make_waiter("second"))


def test_outlier_has_little_effect_on_typical_durations() -> None:
    durations = RouteDurations(600)
    before = durations.warm_ms
    durations.record(60_000, warm=True)
    assert durations.warm_ms <= before * 1.1
    for _ in range(100):
        durations.record(260, warm=True)
        durations.record(880, warm=False)
    assert abs(durations.warm_ms - 260) < 5
    assert abs(durations.cold_ms - 880) < 5


OBJECTIVE_MS, DEADLINE_MS, WORK_MS, SLOTS = 600, 3_000, 250, 10
RETRY_PRIORITY = 2


class _Simulation:
    """A queue for ten slots, on simulated time in steps of ten milliseconds."""

    def __init__(self) -> None:
        self.queue: WaitQueue[int] = WaitQueue()
        self.end_times_ms: list[int] = []
        self.on_time, self.late = 0, 0
        self.waits_before_refusal_ms: list[int] = []
        self.retries: list[tuple[int, int]] = []
        self.rng = random.Random(1)
        self.refused_retries = 0

    def run(self, until_ms: int, per_s: int, from_ms: int, slots: int = SLOTS) -> None:
        """Simulate requests that arrive evenly, `per_s` each second."""
        for now_ms in range(from_ms, until_ms, 10):
            self.end_times_ms = [end_ms for end_ms in self.end_times_ms if end_ms > now_ms]
            before, after = (now_ms - 10) * per_s // 1_000, now_ms * per_s // 1_000
            for _ in range(after - before):
                latest_send_ms = now_ms + DEADLINE_MS - WORK_MS
                self.queue.add(Waiter(now_ms, 1, now_ms + OBJECTIVE_MS - WORK_MS, latest_send_ms))
            for retry_ms, arrived_ms in [row for row in self.retries if row[0] <= now_ms]:
                self.retries.remove((retry_ms, arrived_ms))
                self.queue.add(
                    Waiter(arrived_ms, RETRY_PRIORITY, 0, arrived_ms + DEADLINE_MS - WORK_MS)
                )
            for waiter in self.queue.expire(now_ms):
                self.refuse(waiter, now_ms)

            def place(waiter: Waiter[int], now_ms: int = now_ms) -> bool:
                if len(self.end_times_ms) >= slots:
                    return False
                self.end_times_ms.append(now_ms + WORK_MS)
                on_time = now_ms + WORK_MS <= waiter.item + OBJECTIVE_MS
                self.on_time, self.late = self.on_time + on_time, self.late + (not on_time)
                return True

            self.queue.place_waiting(now_ms, place)

    def refuse(self, waiter: Waiter[int], now_ms: int) -> None:
        """Record a refusal; the client retries once, after a random part of the wait time."""
        if waiter.priority == RETRY_PRIORITY:
            self.refused_retries += 1
        else:
            self.waits_before_refusal_ms.append(now_ms - waiter.item)
            wait_ms = max(450, min(1_200, waiter.expected_wait_ms)) * self.rng.uniform(0.34, 1.0)
            self.retries.append((now_ms + int(wait_ms), waiter.item))


def test_overload_is_refused_early_without_idle_slots() -> None:
    """At twice the load that the slots carry, excess requests had waited until their deadline."""
    simulation = _Simulation()
    simulation.run(8_000, 80, 0)
    assert simulation.on_time + simulation.late >= 0.97 * 40 * 8
    assert len(simulation.waits_before_refusal_ms) > 200
    assert (
        sum(simulation.waits_before_refusal_ms) / len(simulation.waits_before_refusal_ms)
        <= OBJECTIVE_MS
    )
    assert len(simulation.queue) <= 40 * (OBJECTIVE_MS - WORK_MS) / 1_000 + 40 * 0.25 * 3 + 10


def test_late_requests_are_kept_until_burst_ends() -> None:
    simulation = _Simulation()
    simulation.run(3_000, 20, 0)
    simulation.run(4_000, 80, 3_000)
    simulation.run(9_000, 20, 4_000)
    assert simulation.refused_retries == 0
    assert simulation.late >= 20


def test_requests_are_kept_during_short_outage() -> None:
    """Targets without capacity for a second and a half must not cause many refusals."""
    simulation = _Simulation()
    simulation.run(4_000, 30, 0)
    simulation.run(5_500, 30, 4_000, slots=0)
    simulation.run(9_000, 20, 5_500)
    assert simulation.refused_retries <= 0.1 * 30 * 1.5
    assert simulation.late >= 0.5 * 30 * 1.5
