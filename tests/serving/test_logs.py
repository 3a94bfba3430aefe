"""The log buffer never blocks and stays bounded."""

import asyncio
import json
import os

import pytest
import structlog

from waxwingshelf.serving.logs import LogBuffer, configure_logging


def test_a_blocked_reader_only_drops_lines() -> None:
    async def main() -> None:
        reader, writer = os.pipe()
        buffer = LogBuffer(writer, max_lines=100)
        buffer.attach(asyncio.get_running_loop())
        line = b"x" * 1_000
        started = asyncio.get_running_loop().time()
        for _ in range(2_000):
            buffer.msg(line)
        assert asyncio.get_running_loop().time() - started < 0.5
        assert buffer.dropped >= 1_500
        read = 0
        os.set_blocking(reader, False)
        for _ in range(50):
            try:
                read += len(os.read(reader, 1 << 20))
            except BlockingIOError:
                pass
            await asyncio.sleep(0.005)
        assert read == (2_000 - buffer.dropped) * 1_001
        buffer.msg(b"after")
        await asyncio.sleep(0.01)
        assert os.read(reader, 100) == b"after\n"
        asyncio.get_running_loop().remove_writer(writer)
        os.close(reader)
        os.close(writer)

    asyncio.run(main())


def test_a_closed_reader_raises_no_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    buffer = LogBuffer(writer)
    for _ in range(10):
        buffer.msg(b"lost")
    os.close(writer)


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        (2**64 - 1, 2**64 - 1),
        (2**64, 2**64),
        (-(10**40), -(10**40)),
        ("caf\udce9", "caf\\xe9"),
        ("\ud800", "\\xed\\xa0\\x80"),
        (["\udcff", {"\udcfe": 10**30}], ["\\xff", {"\\xfe": 10**30}]),
        ({1: (True, None, 0.5)}, {"1": [True, None, 0.5]}),
        (b"x", "b'x'"),
        (ValueError("\udce9"), "\\xe9"),
    ],
)
def test_any_value_can_be_logged(value, shown) -> None:
    """Guards against a line that raises where it is logged, which ends a task or a request."""
    reader, writer = os.pipe()
    configure_logging(LogBuffer(writer), "n0")
    try:
        structlog.get_logger("test").info("seen", value=value, other="whole")
    finally:
        structlog.reset_defaults()
    os.close(writer)
    with os.fdopen(reader, "rb") as lines:
        line = json.loads(lines.read().decode())
    assert (line["event"], line["other"], line["instance"]) == ("seen", "whole", "n0")
    if not isinstance(value, bytes):
        assert line["value"] == shown
