"""Measure the table of client blocks at the size of the target."""

from __future__ import annotations

import random
import time

from tools.bench.report import Report
from waxwingshelf.core.blocks import AddressBlock, BlockTable

__all__ = ["measure_blocks"]

_BLOCKS = 1_000_000
_SITES = 160
_LOOKUPS = 200_000
_CHANGES = 10_000
_BLOCK_SIZE = 4_096


def measure_blocks(report: Report, quick: bool) -> None:
    """Measure size, look-up, change of one block and a whole build."""
    rng = random.Random(1)
    count = _BLOCKS // 10 if quick else _BLOCKS
    blocks = [
        AddressBlock(n * _BLOCK_SIZE, (n + 1) * _BLOCK_SIZE - 1, f"site-{rng.randrange(_SITES)}")
        for n in range(count)
    ]
    started_s = time.perf_counter()
    table = BlockTable(blocks)
    report.add("blocks.build", (time.perf_counter() - started_s) / count * 1e6, "us/block")
    report.add("blocks.size", table.size_bytes / count, "B/block")
    addresses = [rng.randrange(count * _BLOCK_SIZE) for _ in range(_LOOKUPS)]
    started_s = time.perf_counter()
    for address in addresses:
        table.find_region(address)
    report.add("blocks.lookup", (time.perf_counter() - started_s) / _LOOKUPS * 1e6, "us")
    started_s = time.perf_counter()
    for address in addresses[:_CHANGES]:
        table.reassign(address, "site-1")
    report.add("blocks.change", (time.perf_counter() - started_s) / _CHANGES * 1e6, "us")
