"""Tests of the order in which waiting requests are placed, and of when they expire."""

import random
import time

import pytest

from waxwingshelf.serving import exchange
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


def test_requests_that_would_be_answered_after_the_end_expire() -> None:
    """A stop ends the process at 1,000; each of these requests takes 300 at a target."""
    queue: WaitQueue[str] = WaitQueue()
    for number in range(6):
        queue.add(Waiter(str(number), 1, 100, 5_000, work_ms=300))
    assert queue.expire(200) == []
    queue.end_at(1_000)
    # The queue is served at two requests a second as long as nothing is known.
    assert [waiter.item for waiter in queue.expire(200)] == ["1", "2", "3", "4", "5"]
    assert queue.expire(200) == []
    assert [waiter.item for waiter in queue.expire(701)] == ["0"]


def test_an_end_keeps_the_order_of_late_requests_and_earlier_deadlines() -> None:
    queue: WaitQueue[str] = WaitQueue()
    queue.add(make_waiter("first", late_from_ms=100))
    queue.add(make_waiter("second", late_from_ms=100))
    queue.add(make_waiter("short deadline", late_from_ms=100, latest_send_ms=400))
    queue.expire(100)
    queue.end_at(600)
    queue.expire(100)
    assert [waiter.item for waiter in queue.list_in_send_order(300)] == ["first"]
    queue.end_at(3_000)
    assert queue.list_waiting()[0].latest_send_ms == 600


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


class _RetrySimulation:
    """Ten slots, ten organisations, and callers that come back when they are told to."""

    def __init__(self, seed: int) -> None:
        self.queue: WaitQueue[tuple[int, int]] = WaitQueue()
        self.rng = random.Random(seed)
        self.end_times_ms: list[int] = []
        self.returns: list[tuple[int, int, int]] = []
        self.refusals: dict[int, int] = {}
        self.number = 0

    def run(self, from_ms: int, until_ms: int, per_s: float) -> None:
        for now_ms in range(from_ms, until_ms, 10):
            self.end_times_ms = [end_ms for end_ms in self.end_times_ms if end_ms > now_ms]
            if self.rng.random() < per_s / 100:
                self.number += 1
                self.add(now_ms, now_ms, self.number)
            due = [row for row in self.returns if row[0] <= now_ms]
            self.returns = [row for row in self.returns if row[0] > now_ms]
            for _, arrived_ms, number in due:
                self.add(now_ms, arrived_ms, number)
            for waiter in self.queue.expire(now_ms):
                arrived_ms, number = waiter.item
                self.refusals[number] = self.refusals.get(number, 0) + 1
                wait_ms = exchange.choose_retry_after_ms(waiter.expected_wait_ms)
                self.returns.append((now_ms + wait_ms, arrived_ms, number))
            self.queue.place_waiting(now_ms, lambda _, now_ms=now_ms: self.place(now_ms))

    def add(self, now_ms: int, arrived_ms: int, number: int) -> None:
        latest_send_ms = arrived_ms + DEADLINE_MS - WORK_MS
        if now_ms <= latest_send_ms:
            late_from_ms = now_ms + OBJECTIVE_MS - WORK_MS
            self.queue.add(
                Waiter(
                    (arrived_ms, number),
                    1,
                    late_from_ms,
                    latest_send_ms,
                    organisation=f"o{number % 10}",
                )
            )

    def place(self, now_ms: int) -> bool:
        if len(self.end_times_ms) >= SLOTS:
            return False
        self.end_times_ms.append(now_ms + WORK_MS)
        return True


@pytest.mark.parametrize("seed", range(4))
def test_few_callers_are_refused_twice_after_a_burst(seed, monkeypatch) -> None:
    """All callers of a burst were told about the same time, and about half were refused again."""
    monkeypatch.setattr(exchange, "_rng", random.Random(seed))
    simulation = _RetrySimulation(seed)
    simulation.run(0, 4_000, 30)
    simulation.run(4_000, 6_000, 90)
    simulation.run(6_000, 14_000, 25)
    refused_twice = sum(count > 1 for count in simulation.refusals.values())
    assert len(simulation.refusals) >= 20
    assert refused_twice <= 0.25 * len(simulation.refusals)


def test_announced_returns_of_one_kind_follow_each_other() -> None:
    """Callers that were told the same time were all but one refused again."""
    queue: WaitQueue[int] = WaitQueue()
    for number in range(6):
        queue.add(Waiter(number, 1, 0, 10, organisation="acme"))
    queue.add(Waiter(6, 1, 0, 10, organisation="other"))
    waits_ms = {waiter.item: waiter.expected_wait_ms for waiter in queue.expire(100)}
    assert [waits_ms[number] for number in range(6)] == [500, 1_000, 1_500, 2_000, 2_000, 2_000]
    assert waits_ms[6] == 500


def make_new(route_priority: int = 1, group: frozenset[str] = frozenset(), organisation: str = ""):
    return Waiter(
        "new", 1, 500, 2_000, group, route_priority=route_priority, organisation=organisation
    )


NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})


@pytest.mark.parametrize(
    ("waiting", "new", "has_preceding"),
    [
        (make_new(), make_new(), True),
        (make_new(route_priority=2), make_new(), False),
        (make_new(route_priority=0), make_new(), True),
        (make_new(group=NORTH), make_new(group=SOUTH), False),
        (make_new(group=NORTH), make_new(), True),
        (make_new(), make_new(group=SOUTH), True),
        (make_new(organisation="greedy"), make_new(organisation="other"), False),
        (make_new(organisation="other"), make_new(organisation="greedy"), True),
        (make_new(organisation="greedy"), make_new(organisation="greedy"), True),
    ],
)
def test_new_request_does_not_overtake_those_that_precede_it(waiting, new, has_preceding) -> None:
    """A new request took the slot for which an earlier or more urgent one had waited."""
    usage = {"greedy": 5.0}
    queue: WaitQueue[str] = WaitQueue(compute_usage=lambda name, now_ms: usage.get(name, 0.0))
    assert not queue.has_preceding(new, 0)
    queue.add(waiting)
    assert queue.has_preceding(new, 0) == has_preceding


def test_late_requests_do_not_hold_back_a_new_one() -> None:
    """A request that can still meet its objective goes before one that cannot."""
    queue: WaitQueue[str] = WaitQueue()
    queue.add(make_waiter("late", priority=0, late_from_ms=50))
    assert not queue.has_preceding(make_new(), 100)


def test_requests_for_other_regions_are_placed_beside_many_blocked_ones() -> None:
    """Requests bound to a full region must not keep others from the free slots of another."""
    queue: WaitQueue[str] = WaitQueue()
    for _ in range(500):
        queue.add(make_new(route_priority=0, group=NORTH))
    queue.add(make_new(group=SOUTH))
    placed: list[frozenset[str]] = []
    queue.place_waiting(0, lambda waiter: waiter.group == SOUTH and not placed.append(waiter.group))
    assert placed == [SOUTH]


@pytest.mark.parametrize("position", [0, 250, 499])
def test_requests_for_other_warm_objects_are_placed_beside_many_blocked_ones(position) -> None:
    """Only some requests are tried in one round; a placeable one must come up within a few."""
    queue: WaitQueue[int] = WaitQueue()
    for number in range(500):
        queue.add(Waiter(number, 1, 500, 2_000, choice=f"object {number}"))
    for _ in range(500 // 16 + 1):
        queue.place_waiting(0, lambda waiter: waiter.item == position)
    assert len(queue) == 499


def test_new_request_is_tried_in_the_next_round_beside_many_blocked_ones() -> None:
    """A request whose target is free must not wait for its turn behind all blocked ones."""
    queue: WaitQueue[int] = WaitQueue()
    for number in range(500):
        queue.add(Waiter(number, 1, 500, 2_000, choice=f"object {number}"))
    queue.place_waiting(0, lambda waiter: False)
    queue.add(Waiter(500, 1, 500, 2_000, choice="object 500"))
    queue.place_waiting(0, lambda waiter: waiter.item == 500)
    assert len(queue) == 500


def test_requests_with_the_same_choice_are_tried_once_in_a_round() -> None:
    """Many requests for one busy object must not use up the tries of the others."""
    queue: WaitQueue[int] = WaitQueue()
    for number in range(200):
        queue.add(Waiter(number, 1, 500, 2_000, choice="busy"))
    queue.add(Waiter(200, 1, 500, 2_000, choice="free"))
    tried: list[int] = []
    queue.place_waiting(0, lambda waiter: bool(tried.append(waiter.item)) or waiter.item == 200)
    assert tried == [0, 200]


def test_work_is_bounded_when_many_requests_wait() -> None:
    """Every round had tried all requests, and every arrival would have sorted the whole queue."""
    queue: WaitQueue[int] = WaitQueue()
    for number in range(1_999):
        queue.add(Waiter(number, 1, 10_000, 20_000, organisation=f"o{number % 80}"))
    tried: list[int] = []
    queue.place_waiting(0, lambda waiter: bool(tried.append(waiter.item)))
    assert len(tried) <= 32
    started_s = time.perf_counter()
    for _ in range(1_000):
        queue.has_preceding(make_new(), 0)
    # Tens of microseconds each at most; sorting the queue takes over 500.
    assert time.perf_counter() - started_s < 0.1


def test_judgement_of_many_late_requests_is_made_now_and_then() -> None:
    """Late requests were all judged in each round, which takes milliseconds if 2,000 wait."""
    queue: WaitQueue[int] = WaitQueue()
    for number in range(1_000):
        queue.add(Waiter(number, 1, 0, 1_000_000))
    assert queue.expire(100) == []
    queue.add(Waiter(1_000, 1, 0, 100))
    assert queue.expire(150) == []
    assert [waiter.item for waiter in queue.expire(200)] == [1_000]


def test_request_past_its_latest_send_time_is_not_placed() -> None:
    """Between two judgements, a request that would miss its deadline must not take a slot."""
    queue: WaitQueue[str] = WaitQueue()
    queue.add(make_waiter("over", latest_send_ms=100))
    queue.add(make_waiter("waiting"))
    assert place_all(queue, 101) == ["waiting"]


@pytest.mark.parametrize(("organisations", "distance_ms"), [(1, 0), (80, 5), (1_600, 100)])
def test_rounds_are_rarer_when_many_organisations_wait(organisations, distance_ms) -> None:
    """A round looks at each organisation once; of 2,000 organisations it takes 14 ms."""
    queue: WaitQueue[int] = WaitQueue()
    for number in range(1_600):
        queue.add(Waiter(number, 1, 500, 900, organisation=f"o{number % organisations}"))
    assert queue.compute_min_round_interval_ms() == distance_ms


@pytest.mark.parametrize(
    ("waiting", "new", "now_ms", "needs_headroom"),
    [
        (make_new(route_priority=0), make_new(route_priority=2), 999, True),
        (make_new(route_priority=0), make_new(route_priority=2), 1_000, False),
        (make_new(route_priority=2), make_new(route_priority=2), 0, False),
        (make_new(route_priority=2), make_new(route_priority=0), 0, False),
        (make_new(route_priority=0, group=NORTH), make_new(2, SOUTH), 0, False),
        (make_new(route_priority=0, group=NORTH), make_new(2), 0, True),
        (Waiter("", 2, 500, 2_000, route_priority=0), make_new(2), 0, False),
    ],
)
def test_less_urgent_routes_leave_headroom_for_a_while(
    waiting, new, now_ms, needs_headroom
) -> None:
    """Long reads had filled all slots before short urgent downloads arrived.

    A request that goes first because of its organisation's priority leaves none.
    """
    queue: WaitQueue[str] = WaitQueue()
    queue.add(waiting)
    queue.place_waiting(0, lambda waiter: False)
    queue.remove(waiting)
    assert queue.needs_headroom(new, now_ms) == needs_headroom


@pytest.mark.parametrize(
    ("work_ms", "needs_headroom"), [(89, False), (135, False), (136, True), (1_200, True)]
)
def test_only_work_that_takes_as_long_leaves_headroom_to_urgent_routes(
    work_ms, needs_headroom
) -> None:
    """Short reads were refused to keep slots free for urgent requests that took longer."""
    queue: WaitQueue[str] = WaitQueue()
    urgent = Waiter("urgent", 1, 500, 2_000, route_priority=0, work_ms=136)
    queue.add(urgent)
    queue.place_waiting(0, lambda waiter: False)
    read = Waiter("read", 1, 500, 2_000, route_priority=1, work_ms=work_ms)
    assert queue.needs_headroom(read, 0) is needs_headroom
