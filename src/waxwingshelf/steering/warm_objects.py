"""Which objects are warm at which targets, by the requests of this instance and of its peers.

The load pattern that this answers: each object is requested every few seconds, at any instance of
its region, and a first run of it at another target takes several times as long. The first choice of
an object changes as targets come, leave and return, or as weights of regions move. An instance that
does not know where the object is warm already causes a first run that nobody needed.

A target handles an object faster from the time at which a request for it was sent there. Objects
are named by a hash of their key, since peers tell each other of them in load reports.
"""

from __future__ import annotations

from collections import OrderedDict

from waxwingshelf.core.hashing import hash_to_uint32

__all__ = ["SentObjects", "WarmObjects", "hash_object_key"]

_WARM_TTL_MS = 8_000
_MAX_WARM_OBJECTS = 64
_MAX_SENT_OBJECTS = 64


def hash_object_key(key: str) -> int:
    """Return a short hash that identifies an object in load reports between instances."""
    return hash_to_uint32(key)


class WarmObjects:
    """The objects that one target has handled recently, with the time of the last request.

    The object that was requested least recently is dropped beyond a limit.
    """

    __slots__ = ("_sent_ms",)

    def __init__(self) -> None:
        self._sent_ms: OrderedDict[int, int] = OrderedDict()

    def record(self, object_hash: int, now_ms: int) -> None:
        """Record that a request for an object was sent to the target."""
        self._sent_ms[object_hash] = now_ms
        self._sent_ms.move_to_end(object_hash)
        if len(self._sent_ms) > _MAX_WARM_OBJECTS:
            self._sent_ms.popitem(last=False)

    def has(self, object_hash: int, now_ms: int) -> bool:
        """Return whether the object is warm at the target."""
        sent_ms = self._sent_ms.get(object_hash)
        return sent_ms is not None and now_ms - sent_ms < _WARM_TTL_MS


class SentObjects:
    """The objects of this instance's last requests and the targets of these, for load reports."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        # By hash of the object: the hash of the target and the time. The oldest come first.
        self._sent: OrderedDict[int, tuple[int, int]] = OrderedDict()

    def record(self, object_hash: int, target_hash: int, now_ms: int) -> None:
        """Record that a request for an object was sent to a target."""
        self._sent[object_hash] = (target_hash, now_ms)
        self._sent.move_to_end(object_hash)
        if len(self._sent) > _MAX_SENT_OBJECTS:
            self._sent.popitem(last=False)

    def list_recent(self, since_ms: int) -> dict[int, int]:
        """Return the hash of the target by hash of the object, of requests since `since_ms`."""
        return {
            object_hash: target_hash
            for object_hash, (target_hash, sent_ms) in self._sent.items()
            if sent_ms >= since_ms
        }
