"""The log buffer never blocks and stays bounded."""

import asyncio
import os

from waxwingshelf.serving.logs import LogBuffer


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
