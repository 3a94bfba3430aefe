"""Registration of message handlers by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from waxwingshelf.core.messages import Message

__all__ = ["Handler", "Sender", "collect_handlers", "handles"]

_MESSAGE_TYPES = "_message_types"
_F = TypeVar("_F", bound=Callable[..., None])


class Sender(Protocol):
    """The authenticated sender of a message."""

    @property
    def sender(self) -> str:
        """Return the name of the sender."""

    @property
    def incarnation(self) -> int:
        """Return the incarnation of the sender."""

    @property
    def identity(self) -> str:
        """Return the identity of the sender, which combines name and incarnation."""


Handler = Callable[[Sender, Any], None]


def handles(*message_types: type[Message]) -> Callable[[_F], _F]:
    """Mark a method as the handler of the given message types."""

    def mark(method: _F) -> _F:
        setattr(method, _MESSAGE_TYPES, message_types)
        return method

    return mark


def collect_handlers(*protocols: object) -> dict[type[Message], Handler]:
    """Return the marked methods of the protocol objects, by message type."""
    handlers: dict[type[Message], Handler] = {}
    for protocol in protocols:
        for name in dir(type(protocol)):
            method = getattr(protocol, name)
            for message_type in getattr(method, _MESSAGE_TYPES, ()):
                handlers[message_type] = method
    return handlers
