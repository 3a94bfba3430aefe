"""Decode datagrams so that a malformed optional field costs only itself.

Fields that later builds append or change must not cost what this build understands.
"""

from __future__ import annotations

import typing
from collections.abc import Mapping
from typing import Any, Generic, TypeVar

import msgspec
import structlog

__all__ = ["TolerantDecoder"]

_log = structlog.get_logger("tolerant_messages")
Message = TypeVar("Message", bound=msgspec.Struct)


class TolerantDecoder(Generic[Message]):
    """Decode messages of one type.

    A malformed optional field gets its default, or a value from `strict_values` where the default
    would allow more. Each such field is logged once, since messages are frequent.
    """

    def __init__(
        self, wanted: type[Message], strict_values: Mapping[str, Any] | None = None
    ) -> None:
        self._wanted = wanted
        self._decoder = msgspec.msgpack.Decoder(wanted)
        self._types = typing.get_type_hints(wanted)
        self._required = _list_required(wanted)
        self._strict_values = strict_values or {}
        self._logged: set[str] = set()

    def decode(self, data: bytes | memoryview) -> Message:
        """Return a message; raise `msgspec.DecodeError` if a required field is malformed."""
        try:
            return self._decoder.decode(data)
        except msgspec.ValidationError as error:
            return self._decode_by_field(data, error)
        except RecursionError as error:
            raise msgspec.DecodeError(str(error)) from None

    def _decode_by_field(self, data: bytes | memoryview, error: msgspec.ValidationError) -> Message:
        try:
            raw = msgspec.msgpack.decode(data)
        except RecursionError:
            raise error from None
        if isinstance(raw, list):
            raw = dict(zip(self._types, raw, strict=False))
        if not isinstance(raw, dict) or not self._required <= raw.keys():
            raise error
        values: dict[str, Any] = {}
        for name, wanted in self._types.items():
            if name not in raw:
                continue
            try:
                values[name] = msgspec.convert(raw[name], wanted)
            except msgspec.ValidationError as field_error:
                if name in self._required:
                    raise error from None
                self._log_once(name, field_error)
                if name in self._strict_values:
                    values[name] = self._strict_values[name]
        return self._wanted(**values)

    def _log_once(self, name: str, error: msgspec.ValidationError) -> None:
        if name in self._logged:
            return
        self._logged.add(name)
        _log.warning(
            "message_value_rejected",
            message=self._wanted.__name__,
            field=name,
            detail=str(error),
        )


def _list_required(wanted: type[msgspec.Struct]) -> set[str]:
    return {info.name for info in msgspec.structs.fields(wanted) if info.required}
