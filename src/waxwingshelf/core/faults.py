"""Validation faults in documents that are written by hand."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from jsonschema.protocols import Validator

__all__ = ["Fault", "list_schema_faults"]

_SHOWN_VALUE_LENGTH = 60


@dataclass(frozen=True, slots=True)
class Fault:
    """One validation fault: its location, the value found there and what is allowed."""

    place: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.place}: {self.value!r} is not allowed; expected {self.allowed}"


def list_schema_faults(validator: Validator, document: Any) -> list[Fault]:
    """Return every schema fault of a document, sorted by location."""
    faults = []
    for error in validator.iter_errors(document):
        place = ".".join(str(part) for part in error.absolute_path) or "(root)"
        shown = repr(error.instance)[:_SHOWN_VALUE_LENGTH]
        faults.append(Fault(place, shown, _describe_allowed(error.validator, error)))
    return sorted(faults, key=lambda fault: fault.place)


def _describe_allowed(keyword: object, error: object) -> str:
    value = getattr(error, "validator_value", None)
    if keyword in ("required", "additionalProperties", "propertyNames", "pattern"):
        return str(getattr(error, "message", value))
    return f"{keyword} {value}"
