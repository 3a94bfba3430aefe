"""Measure the table of client address blocks at its design size of a million blocks."""

from __future__ import annotations

import random
import time

from tools.bench.report import Report
from waxwingshelf.core.blocks import AddressBlock, BlockTable

__all__ = ["measure_blocks"]

_BLOCK_COUNT = 1_000_000
_SITE_COUNT = 160
_LOOKUP_COUNT = 200_000
_CHANGE_COUNT = 10_000
_ADDRESSES_PER_BLOCK = 4_096


def measure_blocks(report: Report, quick: bool) -> None:
    """Measure memory per block, and the time to build the table, look up and change a block."""
    rng = random.Random(1)
    count = _BLOCK_COUNT // 10 if quick else _BLOCK_COUNT
    blocks = [
        AddressBlock(
            n * _ADDRESSES_PER_BLOCK,
            (n + 1) * _ADDRESSES_PER_BLOCK - 1,
            f"site-{rng.randrange(_SITE_COUNT)}",
        )
        for n in range(count)
    ]
    started_s = time.perf_counter()
    table = BlockTable(blocks)
    report.add("blocks.build", (time.perf_counter() - started_s) / count * 1e6, "us/block")
    report.add("blocks.size", table.size_bytes / count, "B/block")
    addresses = [rng.randrange(count * _ADDRESSES_PER_BLOCK) for _ in range(_LOOKUP_COUNT)]
    started_s = time.perf_counter()
    for address in addresses:
        table.find_region(address)
    report.add("blocks.lookup", (time.perf_counter() - started_s) / _LOOKUP_COUNT * 1e6, "us")
    started_s = time.perf_counter()
    for address in addresses[:_CHANGE_COUNT]:
        table.reassign(address, "site-1")
    report.add("blocks.change", (time.perf_counter() - started_s) / _CHANGE_COUNT * 1e6, "us")
