"""Values that other writers, peers and callers might send, drawn from the types that they are for.

A field that is added to a type later is drawn as well.
"""

import types
import typing
from typing import Any

import msgspec
from hypothesis import strategies as st

_EXTREMES = [
    0,
    -1,
    2**31,
    2**53 + 1,
    2**63 - 1,
    2**63,
    2**64 - 1,
    2**64,
    10**30,
    -(10**30),
    10**400,
]
INTEGERS = st.integers() | st.sampled_from(_EXTREMES)
FLOATS = st.floats() | st.sampled_from([5e-324, 1e-300, 0.1, 1e300])
# Any code point, also a lone surrogate, which JSON can write.
TEXTS = st.text(st.characters(exclude_categories=()), max_size=20) | st.sampled_from(
    ["²", "x" * 5_000, "r" + "9" * 400, "\ud800", "127.0.0.1:99999", "::1:80", "-1"]
)
_NESTED = st.sampled_from([json for depth in (1, 500) if (json := [depth])])
JUNK = st.none() | st.booleans() | INTEGERS | FLOATS | TEXTS | _NESTED | st.just({}) | st.just([])


def draw(wanted: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for plain values of a type, many of which it does not allow."""
    origin, arguments = typing.get_origin(wanted), typing.get_args(wanted)
    if origin is typing.Annotated:
        return draw(arguments[0])
    if origin in (types.UnionType, typing.Union):
        return st.one_of([draw(part) for part in arguments])
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        return draw_struct(wanted)
    if origin in (list, tuple):
        item = draw(arguments[0]) if origin is list else JUNK
        return st.lists(item, max_size=3) | JUNK
    if origin is dict:
        keys = draw(arguments[0]).filter(lambda key: isinstance(key, str | int))
        return st.dictionaries(keys, draw(arguments[1]), max_size=3) | JUNK
    known = {int: INTEGERS, float: FLOATS | INTEGERS, str: TEXTS, bool: st.booleans()}
    return known.get(wanted, JUNK) | JUNK


def draw_struct(wanted: type[msgspec.Struct]) -> st.SearchStrategy[Any]:
    """Return a strategy for objects with any of the fields of a type."""
    fields = {info.name: draw(info.type) for info in msgspec.structs.fields(wanted)}
    return st.fixed_dictionaries({}, optional=fields) | JUNK


def draw_changed(example: Any, wanted: type[msgspec.Struct]) -> st.SearchStrategy[Any]:
    """Return a strategy for documents that differ from a valid one in any of their fields."""
    return draw_struct(wanted).map(lambda drawn: merge(example, drawn))


def merge(example: Any, drawn: Any) -> Any:
    """Return an example with what was drawn in place of its own values."""
    if isinstance(example, dict) and isinstance(drawn, dict):
        merged = {
            name: merge(value, drawn[name]) for name, value in example.items() if name in drawn
        }
        return {**example, **drawn, **merged}
    if isinstance(example, list) and isinstance(drawn, list) and example:
        return [merge(example[0], item) for item in drawn]
    return drawn
