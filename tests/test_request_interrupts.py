"""Tests of the end of request handlers whose process is about to end."""

import asyncio

import pytest

from waxwingshelf.request_interrupts import RequestInterruptedError, RequestInterrupts


async def handle(interrupts: RequestInterrupts, done: asyncio.Event) -> str:
    try:
        with interrupts.allow():
            await done.wait()
    except RequestInterruptedError:
        # The handler goes on: it still answers.
        await asyncio.sleep(0)
        return "refused"
    await asyncio.sleep(0.01)
    return "served"


def test_handlers_go_on_after_an_interruption() -> None:
    async def main() -> None:
        interrupts = RequestInterrupts()
        tasks = [asyncio.create_task(handle(interrupts, asyncio.Event())) for _ in range(3)]
        await asyncio.sleep(0)
        assert interrupts.interrupt_all() == 3
        assert interrupts.interrupt_all() == 0
        assert await asyncio.gather(*tasks) == ["refused"] * 3
        assert not any(task.cancelling() for task in tasks)

    asyncio.run(main())


def test_a_handler_with_a_result_is_not_interrupted() -> None:
    async def main() -> None:
        interrupts, done = RequestInterrupts(), asyncio.Event()
        task = asyncio.create_task(handle(interrupts, done))
        await asyncio.sleep(0)
        done.set()
        await asyncio.sleep(0.005)
        assert interrupts.interrupt_all() == 0
        assert await task == "served"

    asyncio.run(main())


def test_a_handler_whose_caller_left_is_cancelled() -> None:
    async def main() -> None:
        interrupts = RequestInterrupts()
        task = asyncio.create_task(handle(interrupts, asyncio.Event()))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert interrupts.interrupt_all() == 0

    asyncio.run(main())
