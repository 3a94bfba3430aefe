"""What a failed send says of its target while this instance reaches none."""

import asyncio
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from waxwingshelf.serving.send_results import FailureKind, OutgoingRequest, SendFailure
from waxwingshelf.serving.target_sender import TargetSender
from waxwingshelf.steering.targets import Target

TARGET = Target("t0", "work", "127.0.0.1", 1, "north-1", "", 4, False, 0, 0)


def send_while_links_are_lost(kind: FailureKind) -> SendFailure:
    """Return the result of a send on an open connection that ends with this failure."""

    async def send(*arguments) -> SendFailure:
        return SendFailure(kind, "t0", "")

    upstream = SimpleNamespace(send=send)
    prober = SimpleNamespace(may_send=lambda: True, has_lost_links=True)
    sender = TargetSender(upstream, prober, None, SimpleNamespace(now_ms=lambda: 0), None)
    request = OutgoingRequest("POST", "/order/x", CIMultiDict(), None, "one")
    return asyncio.run(sender.send(TARGET, request, 100, frozenset(), None, lambda: True))


@pytest.mark.parametrize("kind", [FailureKind.SHED, FailureKind.WRONG_TARGET, FailureKind.CROSSED])
def test_target_that_answered_is_not_excused_by_lost_links(kind) -> None:
    """It would get the same request again."""
    assert not send_while_links_are_lost(kind).links_lost


@pytest.mark.parametrize("kind", [FailureKind.BROKEN, FailureKind.TIMEOUT])
def test_silence_is_not_held_against_a_target_while_links_are_lost(kind) -> None:
    assert send_while_links_are_lost(kind).links_lost
