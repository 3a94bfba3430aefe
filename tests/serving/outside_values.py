"""Values that other writers, peers and callers might send, drawn from the types that they are for.

A field that is added to a type later is drawn as well.
"""

import functools
import types
import typing
from typing import Any

import msgspec
from hypothesis import strategies as st

_Path = tuple[str | int, ...]
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
    """Return a strategy for documents that differ from a valid one in one or two fields."""
    change = st.sampled_from(list_paths(wanted)).flatmap(
        lambda place: st.tuples(st.just(place[0]), draw(place[1]))
    )
    return st.lists(change, min_size=1, max_size=2).map(
        lambda changes: functools.reduce(
            lambda document, change: set_at(document, *change), changes, example
        )
    )


def list_changed(example: Any, wanted: type[msgspec.Struct]) -> list[Any]:
    """Return all documents that differ from a valid one in one field that has an extreme value."""
    values = [*_EXTREMES, 1e300, 5e-324, None, True, "", "x", "\ud800", "²", [], {}, [[]]]
    return [set_at(example, path, value) for path, _ in list_paths(wanted) for value in values]


def list_paths(wanted: Any, path: _Path = ()) -> list[tuple[_Path, Any]]:
    """Return the places of all fields of a type and of the types in it, and their types."""
    arguments = typing.get_args(wanted)
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        fields = msgspec.structs.fields(wanted)
        places = [((*path, info.name), info.type) for info in fields]
        return places + [place for name, type_ in places for place in list_paths(type_, name)]
    if typing.get_origin(wanted) is list:
        return list_paths(arguments[0], (*path, 0))
    if typing.get_origin(wanted) in (types.UnionType, typing.Union):
        return [place for part in arguments for place in list_paths(part, path)]
    return []


def set_at(document: Any, path: _Path, value: Any) -> Any:
    """Return a copy of a document with another value at a place, if the place exists."""
    if not path:
        return value
    name, rest = path[0], path[1:]
    if isinstance(name, str) and isinstance(document, dict):
        return {**document, name: set_at(document.get(name), rest, value)}
    if isinstance(document, list) and document:
        return [set_at(document[0], rest, value), *document[1:]]
    return document
