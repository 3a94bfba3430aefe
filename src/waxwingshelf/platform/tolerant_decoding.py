"""Convert documents field by field, so that a malformed value costs only its own entry.

An optional field with a malformed value gets a strict value: the one that allows the least. A
document whose entries cannot be told apart, for want of a required field, is still rejected.
"""

from __future__ import annotations

import json
import math
import types
import typing
from collections.abc import Collection, Mapping
from typing import Any

import msgspec

from waxwingshelf.core.opaque_text import encode_text, show_text

__all__ = [
    "FieldName",
    "MalformedValue",
    "MissingValueError",
    "TolerantConverter",
    "load_document",
]

_MAX_LOGGED_CHARACTERS = 100
_DROPPED = "dropped"
# No field of a document takes an integer of more digits.
_MAX_INTEGER_DIGITS = 400
# A struct type and the name of one of its fields.
FieldName = tuple[type[msgspec.Struct], str]


class _UnreadableText:
    """Stands for a text that no encoder takes, so that no type accepts it."""

    def __init__(self, text: str) -> None:
        self._text = show_text(text)

    def __repr__(self) -> str:
        return repr(self._text)


class MissingValueError(ValueError):
    """A required field is missing or malformed; the message names its location."""


class MalformedValue(msgspec.Struct, frozen=True):
    """A malformed value, where it is, and what is used instead."""

    location: str
    value: str
    handling: str


def load_document(value: bytes) -> Any:
    """Return the plain objects of a JSON document; raise `ValueError` if it is none.

    An integer that is too long, or a text with a lone surrogate, is a value that no type accepts.
    """
    return _mark_unreadable(json.loads(value, parse_int=_parse_integer))


def _parse_integer(text: str) -> int | float:
    return int(text) if len(text) <= _MAX_INTEGER_DIGITS else math.inf


def _mark_unreadable(value: Any) -> Any:
    if isinstance(value, str):
        return value if _is_readable(value) else _UnreadableText(value)
    if isinstance(value, list):
        return [_mark_unreadable(item) for item in value]
    if isinstance(value, dict):
        return {name: _mark_unreadable(item) for name, item in value.items() if _is_readable(name)}
    return value


def _is_readable(text: str) -> bool:
    return text.isascii() or encode_text(text).decode(errors="replace") == text


class TolerantConverter(msgspec.Struct):
    """Convert plain objects to structs, and collect the malformed values.

    `strict_values` replace malformed values where the default would allow too much. The fields in
    `required` have defaults for when they are missing, but must not be malformed. List items of the
    types in `droppable` are dropped if they lack a required field. Of values at locations that
    contain one of `secret`, only the type is recorded, since they go to the log.
    """

    strict_values: Mapping[FieldName, Any]
    required: Collection[FieldName]
    droppable: Collection[type[msgspec.Struct]]
    secret: Collection[str] = ()
    malformed: list[MalformedValue] = msgspec.field(default_factory=list)

    def convert(self, raw: Any, wanted: Any, location: str = "$") -> Any:
        """Return `raw` as the wanted type; raise `MissingValueError` or `ValidationError`."""
        wanted = _strip_none(wanted)
        try:
            return msgspec.convert(raw, wanted, strict=False)
        except msgspec.ValidationError:
            if _is_struct(wanted) and isinstance(raw, dict):
                return self._convert_struct(raw, wanted, location)
            if typing.get_origin(wanted) is list and isinstance(raw, list):
                return self._convert_list(raw, typing.get_args(wanted)[0], location)
            if typing.get_origin(wanted) is dict and isinstance(raw, dict):
                return self._convert_dict(raw, typing.get_args(wanted)[1], location)
            raise

    def _convert_struct(
        self, raw: dict[str, Any], wanted: type[msgspec.Struct], location: str
    ) -> msgspec.Struct:
        values: dict[str, Any] = {}
        for info in msgspec.structs.fields(wanted):
            place = f"{location}.{info.name}"
            if info.name not in raw:
                if info.required:
                    raise MissingValueError(f"{place} is missing")
                continue
            value = raw[info.name]
            # An explicit null of an optional field counts as missing.
            if value is None and info.default is None:
                continue
            try:
                values[info.name] = self.convert(value, info.type, place)
            except msgspec.ValidationError as error:
                if info.required or (wanted, info.name) in self.required:
                    raise MissingValueError(f"{place}: {error}") from None
                strict_value = self.strict_values.get((wanted, info.name), msgspec.UNSET)
                if strict_value is not msgspec.UNSET:
                    values[info.name] = strict_value
                handling = "default" if strict_value is msgspec.UNSET else repr(strict_value)
                self._record(place, value, handling)
        return wanted(**values)

    def _convert_list(self, raw: list[Any], wanted: Any, location: str) -> list[Any]:
        items: list[Any] = []
        recorded = len(self.malformed)
        for number, value in enumerate(raw):
            place = f"{location}[{number}]"
            try:
                items.append(self.convert(value, wanted, place))
            except msgspec.ValidationError as error:
                if _is_struct(wanted) and wanted not in self.droppable:
                    raise MissingValueError(f"{place}: {error}") from None
                self._record(place, value, _DROPPED)
            except MissingValueError:
                if wanted not in self.droppable:
                    raise
                self._record(place, value, _DROPPED)
        if raw and not items:
            # An empty list often means no restriction. The list as a whole is recorded instead.
            del self.malformed[recorded:]
            raise msgspec.ValidationError(f"no valid item - at `{location}`")
        return items

    def _convert_dict(self, raw: dict[str, Any], wanted: Any, location: str) -> dict[str, Any]:
        items: dict[str, Any] = {}
        for name, value in raw.items():
            place = f"{location}.{name}"
            try:
                items[name] = self.convert(value, wanted, place)
            except msgspec.ValidationError:
                self._record(place, value, _DROPPED)
        return items

    def _record(self, location: str, value: Any, handling: str) -> None:
        is_secret = any(part in location for part in self.secret)
        text = type(value).__name__ if is_secret else repr(value)[:_MAX_LOGGED_CHARACTERS]
        self.malformed.append(MalformedValue(location, text, handling))


def _strip_none(wanted: Any) -> Any:
    if typing.get_origin(wanted) not in (types.UnionType, typing.Union):
        return wanted
    kept = [part for part in typing.get_args(wanted) if part is not type(None)]
    return kept[0] if len(kept) == 1 else wanted


def _is_struct(wanted: Any) -> bool:
    return isinstance(wanted, type) and issubclass(wanted, msgspec.Struct)
