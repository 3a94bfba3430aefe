"""Look up the region of a caller by its block of IPv4 addresses."""

from __future__ import annotations

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["AddressBlock", "BlockTable", "build_block_table"]

_MAX_REGIONS = 0xFFFF


@dataclass(frozen=True, slots=True)
class AddressBlock:
    """A range of IPv4 addresses whose callers are directed to one region.

    `first` and `last` are the first and the last address as integers.
    """

    first: int
    last: int
    region: str


class BlockTable:
    """Sorted, disjoint address blocks in flat arrays that use ten bytes per block.

    The region of a block can be changed in place; any other change requires a new table.
    """

    __slots__ = ("_firsts", "_lasts", "_number_by_region", "_region_names", "_region_numbers")

    def __init__(self, blocks: Iterable[AddressBlock]) -> None:
        self._firsts = array("I")
        self._lasts = array("I")
        self._region_numbers = array("H")
        self._region_names: list[str] = []
        self._number_by_region: dict[str, int] = {}
        for block in blocks:
            self._firsts.append(block.first)
            self._lasts.append(block.last)
            self._region_numbers.append(self._get_region_number(block.region))

    def __len__(self) -> int:
        return len(self._firsts)

    @property
    def size_bytes(self) -> int:
        """Return the size of the arrays in bytes."""
        arrays = (self._firsts, self._lasts, self._region_numbers)
        return sum(len(values) * values.itemsize for values in arrays)

    def find_region(self, address: int) -> str | None:
        """Return the region for an address, or None if no block contains the address."""
        index = self._find_index(address)
        return None if index < 0 else self._region_names[self._region_numbers[index]]

    def reassign(self, address: int, region: str) -> bool:
        """Change the region of the block that contains an address; return False if none does."""
        index = self._find_index(address)
        if index < 0:
            return False
        self._region_numbers[index] = self._get_region_number(region)
        return True

    def _find_index(self, address: int) -> int:
        index = bisect_right(self._firsts, address) - 1
        return index if index >= 0 and address <= self._lasts[index] else -1

    def _get_region_number(self, region: str) -> int:
        number = self._number_by_region.get(region)
        if number is None:
            number = len(self._region_names)
            if number >= _MAX_REGIONS:
                raise ValueError(f"more than {_MAX_REGIONS} regions")
            self._region_names.append(region)
            self._number_by_region[region] = number
        return number


def build_block_table(client_blocks: Mapping[str, str]) -> BlockTable:
    """Build a table from the regions of IPv4 networks; the longest matching prefix applies."""
    networks = sorted(
        (int(network.network_address), -int(network.broadcast_address), region)
        for network, region in (
            (ipaddress.IPv4Network(text), region) for text, region in client_blocks.items()
        )
    )
    return BlockTable(_flatten(networks))


def _flatten(networks: list[tuple[int, int, str]]) -> list[AddressBlock]:
    """Split networks, which may be nested, into disjoint blocks.

    A network is its first address, its negated last address and its region. The negation sorts a
    network before the networks that it encloses.
    """
    blocks: list[AddressBlock] = []
    enclosing: list[AddressBlock] = []
    next_address = 0
    for first, negative_last, region in networks:
        while enclosing and enclosing[-1].last < first:
            next_address = _append_remainder(blocks, enclosing.pop(), next_address)
        if enclosing and next_address < first:
            blocks.append(
                AddressBlock(
                    max(next_address, enclosing[-1].first), first - 1, enclosing[-1].region
                )
            )
        next_address = max(next_address, first)
        enclosing.append(AddressBlock(first, -negative_last, region))
    while enclosing:
        next_address = _append_remainder(blocks, enclosing.pop(), next_address)
    return [block for block in blocks if block.first <= block.last]


def _append_remainder(blocks: list[AddressBlock], block: AddressBlock, next_address: int) -> int:
    start = max(next_address, block.first)
    if start <= block.last:
        blocks.append(AddressBlock(start, block.last, block.region))
    return max(next_address, block.last + 1)
