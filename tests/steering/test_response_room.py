"""The held bytes of responses stay within the budget, and stalled readers are found."""

import random

import pytest

from waxwingshelf.steering.response_room import (
    ReaderProgress,
    ResponseRoom,
    compute_budget_bytes,
    is_large,
)

BUDGET_BYTES = 38_000_000
DOWNLOAD_BYTES = 540_000
SMALL_BYTES = 8_000


@pytest.mark.parametrize(
    ("memory_mb", "expected"),
    [(152, 38_000_000), (552.0, 138_000_000), (0, 48 * 1024 * 1024)],
)
def test_budget_is_a_quarter_of_the_memory_limit(memory_mb, expected) -> None:
    assert compute_budget_bytes(memory_mb) == expected


def test_one_response_takes_at_most_a_quarter_of_the_budget() -> None:
    """A single response of 16 MB took nearly half of what a small machine has for all."""
    assert ResponseRoom(BUDGET_BYTES).max_response_bytes == BUDGET_BYTES // 4
    assert ResponseRoom(10 * BUDGET_BYTES).max_response_bytes == 16 * 1024 * 1024


def fill(room: ResponseRoom, size: int) -> int:
    """Hold responses of one size until there is no room; return their number."""
    count = 0
    while room.try_hold(size, size):
        count += 1
    return count


def test_large_responses_leave_room_for_small_ones() -> None:
    """Small reads waited until slow readers had read their large responses."""
    room = ResponseRoom(BUDGET_BYTES)
    assert fill(room, DOWNLOAD_BYTES) == 43
    assert fill(room, SMALL_BYTES) > 1_000
    assert room.held_bytes <= BUDGET_BYTES


def test_one_response_of_unknown_length_can_be_completed_when_several_fill_the_room() -> None:
    """Responses that had each been read in part would have waited for each other."""
    room = ResponseRoom(BUDGET_BYTES)
    fill(room, DOWNLOAD_BYTES)
    size = 0
    while size + DOWNLOAD_BYTES <= room.max_response_bytes:
        size += DOWNLOAD_BYTES
        assert not room.try_hold(DOWNLOAD_BYTES, size)
        assert room.try_hold(DOWNLOAD_BYTES, size, may_complete=True)
    assert room.held_bytes <= BUDGET_BYTES


def test_released_bytes_can_be_held_again() -> None:
    room = ResponseRoom(BUDGET_BYTES)
    count = fill(room, DOWNLOAD_BYTES)
    room.release(2 * DOWNLOAD_BYTES)
    assert fill(room, DOWNLOAD_BYTES) == 2
    room.release(count * DOWNLOAD_BYTES)
    assert room.held_bytes == 0


def test_downloads_in_flight_count_before_their_responses_arrive() -> None:
    """All waiting downloads were sent as soon as one byte was free.

    Their targets then held responses that nobody read.
    """
    room = ResponseRoom(BUDGET_BYTES)
    started = 0
    while room.has_room_for_download(DOWNLOAD_BYTES):
        room.expect(DOWNLOAD_BYTES)
        started += 1
    assert started == 43
    room.stop_expecting(DOWNLOAD_BYTES)
    assert room.has_room_for_download(DOWNLOAD_BYTES)
    assert room.try_hold(DOWNLOAD_BYTES, DOWNLOAD_BYTES)
    assert not room.has_room_for_download(DOWNLOAD_BYTES)


def test_download_larger_than_the_room_is_sent_alone() -> None:
    """A route whose usual responses exceed the room would never have been served again."""
    room = ResponseRoom(BUDGET_BYTES)
    assert room.has_room_for_download(10 * BUDGET_BYTES)
    room.expect(10 * BUDGET_BYTES)
    assert not room.has_room_for_download(1)


@pytest.mark.parametrize("seed", range(5))
def test_held_bytes_never_exceed_the_budget(seed) -> None:
    rng = random.Random(seed)
    room, held = ResponseRoom(BUDGET_BYTES), []
    for _ in range(3_000):
        if held and rng.random() < 0.3:
            room.release(held.pop(rng.randrange(len(held))))
        size = rng.choice((SMALL_BYTES, 60_000, 90_000, DOWNLOAD_BYTES, 9_000_000))
        if room.try_hold(size, size, may_complete=rng.random() < 0.1):
            held.append(size)
        assert room.held_bytes == sum(held) <= BUDGET_BYTES


def test_small_responses_are_those_within_one_part() -> None:
    assert not is_large(65_536)
    assert is_large(65_537)


def test_reader_stalls_only_when_it_reads_nothing_for_the_timeout() -> None:
    """A caller that reads slowly but steadily keeps its response."""
    progress = ReaderProgress(DOWNLOAD_BYTES, 0)
    for now_ms in range(0, 60_000, 900):
        progress.record(DOWNLOAD_BYTES - now_ms, now_ms)
        assert not progress.is_stalled(1_000, now_ms)
    last_ms = progress.progress_at_ms
    progress.record(progress.unsent_bytes, last_ms + 999)
    assert not progress.is_stalled(1_000, last_ms + 999)
    assert progress.is_stalled(1_000, last_ms + 1_000)
