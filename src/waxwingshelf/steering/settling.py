"""Whether an instance that has just started may not know all others yet.

After a start, an instance knows the others from the store's keys, but not which of them run, nor
what they ask for. If each one divided a limit by those that it has heard, all together would exceed
it several times. Until it has heard every instance that may be running, or has waited long enough
for them, it therefore takes no more than an equal part.

The load pattern that this answers: all instances restart while the store is away, their
registrations expire, and an organisation asks for several times its rate when the store is back.
"""

from __future__ import annotations

__all__ = ["Settling"]

# An instance that starts at the same time is registered and heard within this time after the store
# can be reached.
_MAX_SETTLING_MS = 3_000


class Settling:
    """The time from an instance's first view of the store until it knows the other instances.

    `min_instances` is the number of instances that there are at least, as far as the settings tell.
    """

    __slots__ = ("_is_ended", "_min_instances", "_registered_ms", "_viewed_ms")

    def __init__(self, min_instances: int) -> None:
        self._min_instances = min_instances
        self._viewed_ms: int | None = None
        self._registered_ms: int | None = None
        self._is_ended = False

    @property
    def is_in_progress(self) -> bool:
        """Return whether there may be instances that this one has not heard."""
        return self._viewed_ms is not None and not self._is_ended

    @property
    def min_instances(self) -> int:
        """Return the number of instances to count at least."""
        return self._min_instances if self.is_in_progress else 1

    def record_view(self, now_ms: int) -> None:
        """Record that the store's keys are known, from the store or a peer."""
        if self._viewed_ms is None:
            self._viewed_ms = now_ms

    def record_registered(self, now_ms: int) -> None:
        """Record that this instance is registered, so that the others learn of it."""
        if self._registered_ms is None:
            self._registered_ms = now_ms

    def update(self, instances: int, has_unheard: bool, now_ms: int) -> None:
        """End if all of the known `instances`, this one included, are heard or the time is over."""
        if self._viewed_ms is None:
            return
        if not has_unheard and instances >= self._min_instances:
            self._is_ended = True
        if self._registered_ms is not None:
            since_ms = max(self._viewed_ms, self._registered_ms)
            self._is_ended |= now_ms - since_ms >= _MAX_SETTLING_MS
