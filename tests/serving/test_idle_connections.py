"""Tests of when an idle connection to a target is used again."""

import asyncio

import pytest

from waxwingshelf.serving.response_buffer import BoundedResponseHandler

NAMED_MS = 10_000


@pytest.mark.parametrize(
    ("named_ms", "is_idempotent", "idle_ms", "too_long"),
    [
        (None, True, 3_999, False),
        (None, True, 4_000, True),
        (None, False, 4_000, True),
        # A named timeout is used up to half a second before its end, by requests that may repeat.
        (NAMED_MS, True, 9_400, False),
        (NAMED_MS, True, 9_500, True),
        # A request that may not is lost if the target dropped the connection in silence.
        (NAMED_MS, False, 3_999, False),
        (NAMED_MS, False, 4_000, True),
        (1_000, False, 600, True),
        (1_000, True, 400, False),
    ],
)
def test_idle_connection_is_used_only_while_the_target_keeps_it(
    named_ms, is_idempotent, idle_ms, too_long
) -> None:
    """A request that meets the target's close may or may not have run."""

    async def main() -> None:
        connection = BoundedResponseHandler(asyncio.get_running_loop())
        connection.begin_idle(100, named_ms)
        assert connection.is_idle_too_long(100 + idle_ms, is_idempotent) is too_long
        connection.begin_use()
        assert not connection.is_idle_too_long(100 + idle_ms, is_idempotent)

    asyncio.run(main())


def test_timeout_that_one_response_named_holds_for_the_connection() -> None:
    """A target need not repeat its timeout in each response."""

    async def main() -> None:
        connection = BoundedResponseHandler(asyncio.get_running_loop())
        connection.begin_idle(0, 1_000)
        connection.begin_use()
        connection.begin_idle(100, None)
        assert connection.is_idle_too_long(600, True)

    asyncio.run(main())
