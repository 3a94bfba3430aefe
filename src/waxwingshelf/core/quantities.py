"""Types of the numbers that come from outside, with bounds that every use of them bears.

Decoders reject a number out of bounds like one of another type. The bounds are far above what is
real, and low enough for floating point, for sums, for sockets and for the encoders of messages.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = [
    "MAX_SEQUENCE",
    "Amount",
    "Count",
    "LongNumber",
    "Port",
    "PortOrNone",
    "Rank",
    "Sequence",
    "Slots",
    "bound_rate",
    "parse_count",
    "parse_long_number",
    "split_long_number",
]

_MAX_RANK = 1_000_000
# A smaller rate has no reciprocal in floating point, and one so small allows one request in days.
_MIN_RATE_PER_S = 1e-6
_MAX_AMOUNT = 1e12
# Below 2**53.
_MAX_COUNT_DIGITS = 15
_MAX_LONG_DIGITS = 300

# A finite number that is not negative: a rate, a factor, a weight, a time; infinity is excluded.
Amount = Annotated[float, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]
# A number of things, a size in bytes or a time in milliseconds, which floating point holds exactly.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# A number that only rises: a revision, the start of a process in nanoseconds, a message's number.
# Every encoder holds it, and one that is added to it.
MAX_SEQUENCE = 2**63 - 1
Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
# The digits of a number of any size that a float can hold, or none.
LongNumber = Annotated[str, msgspec.Meta(pattern=rf"^[0-9]{{0,{_MAX_LONG_DIGITS}}}\Z")]
# The number of requests that a target runs at once. Numbers that stand for "no limit" are higher.
Slots = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
# 0 stands for no port.
PortOrNone = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
# A priority; 0 is the highest that operators give.
Rank = Annotated[int, msgspec.Meta(ge=-_MAX_RANK, le=_MAX_RANK)]


def parse_count(text: str, max_digits: int = _MAX_COUNT_DIGITS) -> int | None:
    """Return the number that a text of ASCII digits writes; None if it is anything else."""
    if not (text.isascii() and text.isdecimal()) or len(text) > max_digits:
        return None
    return int(text)


def parse_long_number(text: str) -> int | None:
    """Return the number that up to 300 ASCII digits write; None if the text is anything else."""
    return parse_count(text, _MAX_LONG_DIGITS)


def split_long_number(number: int) -> tuple[int, str]:
    """Return a number that a message holds, and the digits of one that is larger, or none."""
    return (number, "") if number <= MAX_SEQUENCE else (MAX_SEQUENCE, str(number))


def bound_rate(per_s: float) -> float:
    """Return a rate that can be divided by and summed up; 0, which means no limit, stays 0."""
    return min(_MAX_AMOUNT, max(_MIN_RATE_PER_S, per_s)) if per_s > 0 else 0.0
