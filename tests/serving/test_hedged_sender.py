"""Tests of copies of slow requests: when one is sent, which response counts, and how both end."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from tests.serving.hedging_fakes import (
    WORK_MS,
    FakeTarget,
    HedgingWorld,
)
from tests.serving.virtual_time import VirtualTimeLoop
from waxwingshelf.serving.exchange import Exchange, Hedging
from waxwingshelf.serving.send_results import FailureKind, UpstreamResponse
from waxwingshelf.steering.config import RouteKind
from waxwingshelf.steering.limits import RateBucket
from waxwingshelf.steering.refusals import Refusal

SLOW_MS = 10 * WORK_MS
Obstacle = Callable[[HedgingWorld, Exchange], None]
Vary = Callable[[HedgingWorld], Coroutine[Any, Any, None]]
Play = Callable[[HedgingWorld], Coroutine[Any, Any, None]]


def run(play: Play, **options: Any) -> HedgingWorld:
    loop = VirtualTimeLoop()
    world = HedgingWorld(loop, **options)

    async def main() -> None:
        polling = asyncio.create_task(world.dispatcher.run())
        await play(world)
        polling.cancel()
        await asyncio.gather(polling, return_exceptions=True)
        world.check_nothing_in_flight()

    loop.run(main())
    return world


async def prepare_slow(
    world: HedgingWorld, first: FakeTarget | None = None, **options: Any
) -> tuple[Exchange, FakeTarget]:
    """Warm up; return a request and its first target, which is slow."""
    await world.warm_up()
    exchange = world.make_exchange(**options)
    target = world.targets[world.find_first(exchange)]
    target.work_ms = SLOW_MS
    return exchange, target


def test_copy_answers_for_a_slow_target_and_the_first_send_is_ended() -> None:
    """Fails if the slow response is waited for, delivered too, or its send goes on."""

    async def play(world: HedgingWorld) -> None:
        exchange, first = await prepare_slow(world)
        result = await world.dispatch(exchange)
        assert isinstance(result, UpstreamResponse)
        assert result.target_id not in (world.find_first(exchange), "")
        assert first.cancelled == [exchange.id]
        assert len(world.list_sent(exchange)) == 2
        assert exchange.hedging is Hedging.COPY
        assert exchange.attempts.sends == 2
        assert exchange.last_attempt is not None
        assert exchange.last_attempt.state.target.id == result.target_id
        assert world.elapsed_ms[exchange.id] < 3 * WORK_MS

    world = run(play)
    assert (world.count("sent"), world.count("won"), world.count("lost")) == (1, 1, 0)


def test_copy_is_the_same_request_for_another_target() -> None:
    """Fails if the copy has another id or changes the headers of the first send."""

    async def play(world: HedgingWorld) -> None:
        exchange, _ = await prepare_slow(world)
        await world.dispatch(exchange)
        first, copy = world.sender.outgoing[-2:]
        assert first.request_id == copy.request_id
        assert first.headers["Attempt-Id"] == copy.headers["Attempt-Id"]
        assert first.headers is not copy.headers
        assert (first.fingerprint, first.deadline_ms) == (copy.fingerprint, copy.deadline_ms)

    run(play)


def test_first_response_counts_if_it_comes_sooner() -> None:
    """Fails if a copy that lost is delivered or goes on."""

    async def play(world: HedgingWorld) -> None:
        exchange, first = await prepare_slow(world)
        first.work_ms = 2 * WORK_MS
        result = await world.dispatch(exchange)
        assert isinstance(result, UpstreamResponse)
        assert result.target_id == world.find_first(exchange)
        assert exchange.hedging is Hedging.FIRST
        copies = [target for target in world.targets.values() if target.cancelled]
        assert [target.cancelled for target in copies] == [[exchange.id]]

    world = run(play)
    assert (world.count("sent"), world.count("won"), world.count("lost")) == (1, 0, 1)


def test_two_responses_at_the_same_time_are_one() -> None:
    """Fails if both responses in one pass of the event loop deliver two or none."""

    async def play(world: HedgingWorld) -> None:
        for late_ms in range(80, 140):
            exchange, first = await prepare_slow(world)
            first.work_ms = late_ms + WORK_MS
            result = await world.dispatch(exchange)
            assert isinstance(result, UpstreamResponse)
            first.work_ms = WORK_MS
            world.check_nothing_in_flight()

    world = run(play)
    assert world.count("sent") == world.count("won") + world.count("lost")


@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.UPLOAD])
def test_request_that_is_not_idempotent_gets_no_copy(kind: RouteKind) -> None:
    """Fails if a request that must not run twice is sent twice."""

    async def play(world: HedgingWorld) -> None:
        exchange, _ = await prepare_slow(world, kind=kind)
        await world.dispatch(exchange)
        assert world.list_sent(exchange) == [world.find_first(exchange)]

    run(play)


def stop(world: HedgingWorld, exchange: Exchange) -> None:
    world.hedged_sender.stopping = True


def lose_links(world: HedgingWorld, exchange: Exchange) -> None:
    world.sender.direct = False


def suspect_target(world: HedgingWorld, exchange: Exchange) -> None:
    world.suspected.add(world.find_first(exchange))


def suspect_request(world: HedgingWorld, exchange: Exchange) -> None:
    world.suspected.add(exchange.outgoing.fingerprint)


def remove_target(world: HedgingWorld, exchange: Exchange) -> None:
    world.routing_state.targets.remove(world.find_first(exchange))


def suspend_target(world: HedgingWorld, exchange: Exchange) -> None:
    state = world.routing_state.targets.find(world.find_first(exchange))
    assert state is not None
    state.suspend(world.loop.now_ms())


def use_up_retries(world: HedgingWorld, exchange: Exchange) -> None:
    while world.dispatch_state.try_acquire_retry("reads"):
        pass


def use_up_rate(world: HedgingWorld, exchange: Exchange) -> None:
    world.rate_is_used_up = True


def pause_others(world: HedgingWorld, exchange: Exchange) -> None:
    for state in world.routing_state.targets.list_usable("reads"):
        if state.target.id != world.find_first(exchange):
            state.suspended_until_ms = world.loop.now_ms() + 60_000


def stream_body(world: HedgingWorld, exchange: Exchange) -> None:
    exchange.attempts.repeatable = False


def leave_one_attempt(world: HedgingWorld, exchange: Exchange) -> None:
    exchange.attempts.max_attempts = 1


def begin_trial(world: HedgingWorld, exchange: Exchange) -> None:
    exchange.is_trial = True


LATER_OBSTACLES = [
    stop,
    lose_links,
    suspect_target,
    suspect_request,
    remove_target,
    suspend_target,
    use_up_retries,
    use_up_rate,
    pause_others,
]


@pytest.mark.parametrize("obstruct", LATER_OBSTACLES)
def test_no_copy_is_sent_once_something_forbids_it(obstruct: Obstacle) -> None:
    """Fails if a copy ignores a limit, the links, a planned stop or a suspected crash."""

    async def play(world: HedgingWorld) -> None:
        exchange, _ = await prepare_slow(world)
        name = world.find_first(exchange)
        task = asyncio.create_task(world.dispatch(exchange))
        await asyncio.sleep(WORK_MS / 4_000)
        obstruct(world, exchange)
        assert isinstance(await task, UpstreamResponse)
        assert world.list_sent(exchange) == [name]
        assert world.elapsed_ms[exchange.id] >= SLOW_MS
        assert exchange.hedging is Hedging.NO

    run(play)


@pytest.mark.parametrize("obstruct", [lose_links, suspect_target, suspect_request, stop])
def test_copy_that_has_no_connection_yet_is_withdrawn(obstruct: Obstacle) -> None:
    """Fails if what is learned while the copy's connection opens does not count."""

    async def play(world: HedgingWorld) -> None:
        exchange, first = await prepare_slow(world)
        first.connect_ms = 0
        for name, target in world.targets.items():
            target.connect_ms = 0 if name == world.find_first(exchange) else 200
        task = asyncio.create_task(world.dispatch(exchange))
        await asyncio.sleep(1.5 * WORK_MS / 1_000)
        assert world.count("sent") == 1
        obstruct(world, exchange)
        result = await task
        assert isinstance(result, UpstreamResponse)
        assert result.target_id == world.find_first(exchange)
        assert world.list_sent(exchange) == [result.target_id]
        assert exchange.attempts.sends <= 2
        assert not exchange.excluded_targets

    run(play)


@pytest.mark.parametrize("obstruct", [stream_body, begin_trial, leave_one_attempt])
def test_request_that_must_run_once_gets_no_copy(obstruct: Obstacle) -> None:
    """Fails if a streamed body, a trial of a quarantine or a last attempt is copied."""

    async def play(world: HedgingWorld) -> None:
        exchange, _ = await prepare_slow(world)
        obstruct(world, exchange)
        assert isinstance(await world.dispatch(exchange), UpstreamResponse)
        assert world.list_sent(exchange) == [world.find_first(exchange)]

    run(play)


def test_request_that_may_have_failed_a_target_gets_no_copy() -> None:
    """Fails if a retry after a broken connection, which may crash targets, is sent to two."""

    async def play(world: HedgingWorld) -> None:
        exchange, first = await prepare_slow(world)
        first.work_ms, first.result = 10, FailureKind.BROKEN
        for target in world.targets.values():
            if target is not first:
                target.work_ms = SLOW_MS
        assert isinstance(await world.dispatch(exchange), UpstreamResponse)
        assert len(world.list_sent(exchange)) == 2
        assert world.count("sent") == 0

    run(play)


def test_off_without_the_setting() -> None:
    """Fails if the path without hedging runs a send in a task of its own."""

    async def play(world: HedgingWorld) -> None:
        world.dispatcher._hedged_sender = None
        exchange, _ = await prepare_slow(world)
        task = asyncio.create_task(world.dispatch(exchange))
        await asyncio.sleep(WORK_MS / 1_000)
        # This test, the polling of queues, the request and the main task of the loop.
        assert len(asyncio.all_tasks()) == 3
        await task
        assert world.count("sent") == 0

    run(play)


async def prepare_failure(
    world: HedgingWorld, first_result: int | FailureKind, copy_result: int | FailureKind
) -> Exchange:
    """Return a request whose first send fails after its copy has begun; others answer."""
    exchange, first = await prepare_slow(world)
    name = world.find_first(exchange)
    first.work_ms, first.result = 4 * WORK_MS, first_result
    states = world.dispatch_state.placer._rank("reads", exchange.object_key, True, False)
    assert states[0].target.id == name
    copy = world.targets[states[1].target.id]
    copy.result = copy_result
    return exchange


def test_copy_counts_if_the_first_send_fails_meanwhile() -> None:
    """Fails if the failure of the first send ends the request or sends it a third time."""

    async def play(world: HedgingWorld) -> None:
        exchange, first = await prepare_slow(world)
        first.work_ms, first.result = 1.5 * WORK_MS, FailureKind.BROKEN
        result = await world.dispatch(exchange)
        assert isinstance(result, UpstreamResponse)
        assert len(world.list_sent(exchange)) == 2
        assert exchange.hedging is Hedging.COPY
        assert not first.cancelled

    run(play)


FAILED_COPIES = [FailureKind.NOT_CONNECTED, FailureKind.SHED, FailureKind.BROKEN, 500, 429, 503]


@pytest.mark.parametrize("copy_result", FAILED_COPIES)
def test_first_send_counts_if_the_copy_fails(copy_result: int | FailureKind) -> None:
    """Fails if a refused, crashed or unreachable second target costs the request its answer."""

    async def play(world: HedgingWorld) -> None:
        exchange = await prepare_failure(world, 200, copy_result)
        result = await world.dispatch(exchange)
        assert isinstance(result, UpstreamResponse)
        assert (result.target_id, result.status) == (world.find_first(exchange), 200)
        assert exchange.hedging is Hedging.FIRST

    world = run(play)
    assert (world.count("sent"), world.count("lost")) == (1, 1)


def test_first_send_counts_if_the_second_target_is_cut_off() -> None:
    """Fails if a copy that nobody answers is waited for, or stays in flight."""

    async def play(world: HedgingWorld) -> None:
        exchange = await prepare_failure(world, 200, 200)
        for name, target in world.targets.items():
            target.work_ms = 4 * WORK_MS if name == world.find_first(exchange) else 100_000
        result = await world.dispatch(exchange)
        assert (result.status, world.elapsed_ms[exchange.id]) == (200, 4 * WORK_MS)
        assert exchange.hedging is Hedging.FIRST
        assert all(target.running == 0 for target in world.targets.values())

    run(play)


@pytest.mark.parametrize("copy_result", FAILED_COPIES)
@pytest.mark.parametrize("first_result", [FailureKind.BROKEN, FailureKind.SHED, 500])
def test_request_is_retried_elsewhere_after_both_fail(
    first_result: int | FailureKind, copy_result: int | FailureKind
) -> None:
    """Fails if the copy's failure uses up the retry, or a retry goes to a failed target."""

    async def play(world: HedgingWorld) -> None:
        exchange = await prepare_failure(world, first_result, copy_result)
        result = await world.dispatch(exchange)
        assert isinstance(result, UpstreamResponse)
        if copy_result == 429 and first_result is FailureKind.SHED:
            # Nothing has run, and the response says so.
            assert result.status == 429
            return
        assert result.status == 200
        assert len(exchange.excluded_targets) == 2
        assert result.target_id not in exchange.excluded_targets
        sent = 2 if copy_result is FailureKind.NOT_CONNECTED else 3
        assert (exchange.attempts.sends, len(world.list_sent(exchange))) == (sent, sent)

    run(play)


@pytest.mark.parametrize("copy_result", FAILED_COPIES)
@pytest.mark.parametrize("first_result", [FailureKind.BROKEN, FailureKind.TIMEOUT, 500])
def test_request_that_may_have_run_is_never_refused_as_not_run(
    first_result: int | FailureKind, copy_result: int | FailureKind
) -> None:
    """Fails if 429 or 503 reaches the caller although one of both sends may have run."""

    async def play(world: HedgingWorld) -> None:
        exchange = await prepare_failure(world, first_result, copy_result)
        exchange.attempts.max_attempts = 2
        use_up = world.dispatch_state.try_acquire_retry
        task = asyncio.create_task(world.dispatch(exchange))
        await asyncio.sleep(2.5 * WORK_MS / 1_000)
        while use_up("reads"):
            pass
        result = await task
        assert result.status not in (408, 421, 429, 503)
        if isinstance(result, Refusal):
            assert result.maybe_run

    run(play)


def test_tokens_of_a_copy_that_was_not_sent_are_returned() -> None:
    """Fails if targets that refuse connections use up the budgets of copies and retries."""

    async def play(world: HedgingWorld) -> None:
        exchange = await prepare_failure(world, 200, FailureKind.NOT_CONNECTED)
        before = world.dispatch_state._get_retry_budget("reads")._tokens
        copies_before = world.hedged_sender._get_budget("reads")._tokens
        await world.dispatch(exchange)
        assert world.dispatch_state._get_retry_budget("reads")._tokens >= before
        assert world.hedged_sender._get_budget("reads")._tokens >= copies_before

    run(play)


def test_copy_takes_a_token_of_each_budget_and_of_the_rate() -> None:
    """Fails if a copy that runs is not counted as a retry and a request of the organisation."""

    async def play(world: HedgingWorld) -> None:
        exchange, _ = await prepare_slow(world)
        before = world.dispatch_state._get_retry_budget("reads")._tokens
        await world.dispatch(exchange)
        assert before - world.dispatch_state._get_retry_budget("reads")._tokens > 0.8
        assert world.rate_tokens == ["acme"]

    run(play)


@pytest.mark.parametrize("copy_result", [FailureKind.NOT_CONNECTED, FailureKind.SHED, 200])
def test_token_of_the_rate_is_returned_unless_the_copy_ran(
    copy_result: int | FailureKind,
) -> None:
    """Fails if an organisation pays for copies that no target ran, or not for those that ran."""

    async def play(world: HedgingWorld) -> None:
        exchange = await prepare_failure(world, 200, copy_result)
        bucket = world.rate_bucket = RateBucket(0.0, 5.0, 1.0, world.loop.now_ms())
        await world.dispatch(exchange)
        assert world.count("sent") == 1
        assert bucket._tokens == (4.0 if copy_result == 200 else 5.0)

    run(play)


@pytest.mark.parametrize("after_ms", [0, 1, 20, 130, 160])
def test_caller_that_leaves_ends_both_sends(after_ms: int) -> None:
    """Fails if a send goes on, or counts as in flight, after the caller has gone."""

    async def play(world: HedgingWorld) -> None:
        exchange, _ = await prepare_slow(world)
        world.set_all(lambda target: setattr(target, "work_ms", SLOW_MS))
        task = asyncio.create_task(world.dispatch(exchange))
        await asyncio.sleep(after_ms / 1_000)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        world.check_nothing_in_flight()
        assert all(target.running == 0 for target in world.targets.values())
        sent = world.list_sent(exchange)
        assert [name for name in sent if world.targets[name].cancelled] == sent
        assert (len(sent) == 2) == (after_ms > 110)

    run(play)


def test_waiting_requests_keep_copies_away() -> None:
    """Fails if a burst, whose requests wait for slots, is made worse by copies."""

    async def play(world: HedgingWorld) -> None:
        await world.warm_up()
        requests = [world.dispatch(world.make_exchange()) for _ in range(40)]
        world.set_all(lambda target: setattr(target, "work_ms", 3 * WORK_MS))
        results = asyncio.gather(*requests)
        await asyncio.sleep(0.05)
        checks = 0
        while world.dispatcher._queues["reads"]:
            assert world.count("sent") == 0
            checks += 1
            await asyncio.sleep(0.01)
        assert checks > 60
        assert all(result.status == 200 for result in await results)

    run(play, count=2, slots=4)


def test_request_that_waits_for_other_targets_keeps_copies_away() -> None:
    """Fails if only the free slots, not the waiting requests of the service, stop copies."""

    async def play(world: HedgingWorld) -> None:
        exchange, _ = await prepare_slow(world)
        waiting = world.make_exchange()
        waiting.excluded_targets.update(world.targets)
        task = asyncio.create_task(world.dispatch(waiting))
        await asyncio.sleep(0.01)
        await world.dispatch(exchange)
        assert world.list_sent(exchange) == [world.find_first(exchange)]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(play)


def test_ended_send_counts_for_its_target_and_the_quantile() -> None:
    """Fails if a target looks usual, or the quantile falls, since copies answer for it."""

    async def play(world: HedgingWorld) -> None:
        exchange, _ = await prepare_slow(world)
        quantile = world.hedged_sender._quantiles.get("r")
        known = quantile._total
        state = world.routing_state.targets.find(world.find_first(exchange))
        assert state is not None
        assert state.slowness == pytest.approx(1.0, abs=0.1)
        await world.dispatch(exchange)
        assert exchange.hedging is Hedging.COPY
        assert state.slowness > 1.2
        assert quantile._total == known + 1
        # The send that was ended took twice as long as all others until then.
        assert max(index for index, count in enumerate(quantile._counts) if count) > 50

    run(play)


def test_retry_may_go_where_a_copy_was_withdrawn() -> None:
    """Fails if a copy that this instance itself withdrew takes the last target from the retry."""

    async def play(world: HedgingWorld) -> None:
        exchange, first = await prepare_slow(world)
        first.work_ms, first.result = 1.2 * WORK_MS, FailureKind.BROKEN
        (other,) = (target for target in world.targets.values() if target is not first)
        other.connect_ms = 100
        result = await world.dispatch(exchange)
        assert isinstance(result, UpstreamResponse)
        assert world.count("failed") == 1
        assert (result.status, world.targets[result.target_id]) == (200, other)
        assert other.sent == [exchange.id]
        assert exchange.attempts.sends == 2

    run(play, count=2)


def test_all_targets_slow_at_once_get_no_copies() -> None:
    """Fails if slowness that no target escapes doubles the load."""

    async def play(world: HedgingWorld) -> None:
        await world.warm_up()
        world.set_all(lambda target: setattr(target, "work_ms", 2.5 * WORK_MS))
        for state in world.routing_state.targets.list_usable("reads"):
            state.record_duration(2.5, world.loop.now_ms())
            state.slowness = 2.5
        for _ in range(60):
            await world.dispatch(world.make_exchange())

    world = run(play)
    assert world.count("sent") == 0


async def play_open_load(world: HedgingWorld, seconds: float) -> list[int]:
    """Warm up, then send 100 requests a second; return their sorted durations."""
    rng = random.Random(7)
    await world.warm_up()
    world.elapsed_ms.clear()
    tasks = []
    for _ in range(int(seconds * 100)):
        tasks.append(asyncio.create_task(world.dispatch(world.make_exchange())))
        await asyncio.sleep(rng.expovariate(100))
    await asyncio.gather(*tasks)
    return sorted(world.elapsed_ms.values())


async def change_speeds(world: HedgingWorld) -> None:
    """Make one target in seven 2.5 times slower for 600 ms, then another."""
    rng = random.Random(3)
    while True:
        await asyncio.sleep(0.6)
        name = rng.choice(list(world.targets))
        for other, target in world.targets.items():
            target.work_ms = WORK_MS * (2.5 if other == name else 1.0)


async def slow_one_down(world: HedgingWorld) -> None:
    """Let one target in seven take ten times as long from the second second on."""
    await asyncio.sleep(100 * WORK_MS / 1_000 + 1)
    world.targets["t3"].work_ms = SLOW_MS


async def stall(world: HedgingWorld) -> None:
    """Let two requests in a hundred take ten times as long, wherever they run."""
    world.set_all(lambda target: setattr(target, "stalled_ratio", 0.02))
    await asyncio.Event().wait()


def measure_durations(vary: Vary, ratio: float) -> list[int]:
    """Return the sorted durations under load with this ratio of copies; 0 is off."""
    durations: list[int] = []

    async def play(world: HedgingWorld) -> None:
        if ratio == 0.0:
            world.dispatcher._hedged_sender = None
        varying = asyncio.create_task(vary(world))
        durations.extend(await play_open_load(world, 20))
        varying.cancel()
        await asyncio.gather(varying, return_exceptions=True)

    world = run(play, ratio=ratio)
    copies, requests = world.count("sent"), len(durations) + 100
    assert copies <= ratio * requests
    ends = world.count("won") + world.count("lost") + world.count("failed")
    assert ends == copies
    return durations


def test_copies_shorten_the_tail_when_a_target_becomes_slow() -> None:
    """Fails if copies do not help the requests that were at a target as it became slow."""
    without, with_copies = (measure_durations(slow_one_down, ratio) for ratio in (0.0, 0.1))
    worst = len(without) // 100
    assert sum(with_copies[-worst:]) < sum(without[-worst:])
    assert sum(with_copies) < sum(without)


def test_copies_shorten_the_tail_of_unexpected_stalls() -> None:
    """Fails if a stalled request waits much longer than for the quantile and the copy's work."""
    without, with_copies = (measure_durations(stall, ratio) for ratio in (0.0, 0.1))
    index = int(0.99 * len(without))
    assert without[index] == SLOW_MS
    assert with_copies[index] < 2.5 * WORK_MS


def test_copies_do_no_harm_where_speeds_change_soon() -> None:
    """Fails if copies against short slow phases make other requests slower."""
    without, with_copies = (measure_durations(change_speeds, ratio) for ratio in (0.0, 0.1))
    for quantile in (0.5, 0.9, 0.99, 0.999):
        index = int(quantile * len(without))
        assert with_copies[index] <= without[index]
    assert sum(with_copies) <= sum(without)
