"""Find the region of a client by its block of addresses."""

from __future__ import annotations

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["AddressBlock", "BlockTable", "build_block_table"]

_NO_REGION = 0xFFFF


@dataclass(frozen=True, slots=True)
class AddressBlock:
    """Addresses `first` to `last` as integers, steered to one region or site."""

    first: int
    last: int
    region: str


class BlockTable:
    """Sorted, disjoint blocks in flat arrays: ten bytes a block.

    A change of one block's region is made in place; a change of the blocks themselves builds a
    new table.
    """

    __slots__ = ("_firsts", "_lasts", "_names", "_numbers", "_regions")

    def __init__(self, blocks: Iterable[AddressBlock]) -> None:
        self._firsts = array("I")
        self._lasts = array("I")
        self._regions = array("H")
        self._names: list[str] = []
        self._numbers: dict[str, int] = {}
        for block in blocks:
            self._firsts.append(block.first)
            self._lasts.append(block.last)
            self._regions.append(self._number(block.region))

    def __len__(self) -> int:
        return len(self._firsts)

    @property
    def size_bytes(self) -> int:
        """Return the bytes of the arrays."""
        arrays = (self._firsts, self._lasts, self._regions)
        return sum(len(values) * values.itemsize for values in arrays)

    def find_region(self, address: int) -> str | None:
        """Return the region of an address, or None when no block covers it."""
        place = self._locate(address)
        return None if place < 0 else self._names[self._regions[place]]

    def reassign(self, address: int, region: str) -> bool:
        """Steer the block that covers an address to another region."""
        place = self._locate(address)
        if place < 0:
            return False
        self._regions[place] = self._number(region)
        return True

    def _locate(self, address: int) -> int:
        place = bisect_right(self._firsts, address) - 1
        return place if place >= 0 and address <= self._lasts[place] else -1

    def _number(self, region: str) -> int:
        number = self._numbers.get(region)
        if number is None:
            number = len(self._names)
            if number >= _NO_REGION:
                raise ValueError(f"more than {_NO_REGION} regions")
            self._names.append(region)
            self._numbers[region] = number
        return number


def build_block_table(client_blocks: Mapping[str, str]) -> BlockTable:
    """Build a table from IPv4 networks, of which the longest prefix wins."""
    networks = sorted(
        (int(network.network_address), -int(network.broadcast_address), region)
        for network, region in (
            (ipaddress.IPv4Network(text), region) for text, region in client_blocks.items()
        )
    )
    return BlockTable(_flatten(networks))


def _flatten(networks: list[tuple[int, int, str]]) -> list[AddressBlock]:
    blocks: list[AddressBlock] = []
    outer: list[AddressBlock] = []
    position = 0
    for first, negative_last, region in networks:
        while outer and outer[-1].last < first:
            position = _close(blocks, outer.pop(), position)
        if outer and position < first:
            blocks.append(AddressBlock(max(position, outer[-1].first), first - 1, outer[-1].region))
        position = max(position, first)
        outer.append(AddressBlock(first, -negative_last, region))
    while outer:
        position = _close(blocks, outer.pop(), position)
    return [block for block in blocks if block.first <= block.last]


def _close(blocks: list[AddressBlock], block: AddressBlock, position: int) -> int:
    start = max(position, block.first)
    if start <= block.last:
        blocks.append(AddressBlock(start, block.last, block.region))
    return max(position, block.last + 1)
