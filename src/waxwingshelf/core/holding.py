"""One instance's part of a fleet-wide budget.

A budget is divided into `TOTAL_UNITS` units. A holder of `u` units may use the fraction
`u / TOTAL_UNITS` of the budget, so the sum over holders keeps the budget as long as units are
conserved.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

__all__ = [
    "HOLDING_KINDS",
    "TOTAL_UNITS",
    "ConcurrencyHolding",
    "Holding",
    "Limit",
    "RateHolding",
    "TransferAmount",
]

TOTAL_UNITS = 1_000_000
_DEMAND_WINDOW_MS = 1_000
_NEED_FACTOR = 1.3
_IDLE_PER_S = 0.01
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Limit:
    """A budget's size.

    For kind "rate", `size` is the burst and `rate_per_s` the refill; for kind "level", `size` is
    how much may be in use at once.
    """

    kind: str
    size: float
    rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TransferAmount:
    """Units and the tokens that go with them."""

    units: int
    tokens: float


class Holding(Protocol):
    """What every kind of holding can do; times are monotonic milliseconds."""

    units: int
    limit: Limit

    def update_limit(self, limit: Limit, now_ms: int) -> None:
        """Take over a changed limit without creating tokens."""

    def try_acquire(self, now_ms: int) -> bool:
        """Use one token, or count the unmet demand and return False."""

    def retry_acquire(self, now_ms: int) -> bool:
        """Use one token for a request whose demand was counted already."""

    def release(self) -> None:
        """Return a use that is over; only levels give anything back."""

    def needed_units(self, now_ms: int) -> int:
        """Return how many units the demand here calls for."""

    def free_units(self) -> int:
        """Return the units that are not tied to what is in use."""

    def withdraw(self, units: int, now_ms: int) -> TransferAmount:
        """Write off units before they are sent."""

    def deposit(self, gift: TransferAmount, now_ms: int) -> None:
        """Add units that another holder wrote off."""

    def units_for_tokens(self, tokens: int, now_ms: int) -> int:
        """Return the units that can carry some tokens that are here, 0 when there are not."""

    def wait_ms(self, now_ms: int) -> int:
        """Return after how long a token may be free."""


_H = TypeVar("_H", bound=type)
HOLDING_KINDS: dict[str, Callable[[Limit, int], Holding]] = {}


def _register(kind: str) -> Callable[[_H], _H]:
    def add(holding_type: _H) -> _H:
        HOLDING_KINDS[kind] = holding_type
        return holding_type

    return add


class _Demand:
    """Estimate demand per second by an exponentially weighted mean."""

    __slots__ = ("_count", "_per_s", "_since_ms")

    def __init__(self, now_ms: int) -> None:
        self._count = 0
        self._per_s = 0.0
        self._since_ms = now_ms

    def add(self) -> None:
        self._count += 1

    def per_s(self, now_ms: int) -> float:
        elapsed = now_ms - self._since_ms
        if elapsed >= _DEMAND_WINDOW_MS // 10:
            weight = min(1.0, elapsed / _DEMAND_WINDOW_MS)
            observed = self._count * _MS_PER_S / elapsed
            self._per_s += weight * (observed - self._per_s)
            self._count = 0
            self._since_ms = now_ms
        return self._per_s


@_register("rate")
class RateHolding:
    """Part of a token bucket.

    Tokens move only with units that can carry them, so that all tokens together never exceed the
    burst.
    """

    __slots__ = ("_demand", "_refilled_ms", "limit", "tokens", "units")

    def __init__(self, limit: Limit, now_ms: int) -> None:
        self.limit = limit
        self.units = 0
        self.tokens = 0.0
        self._refilled_ms = now_ms
        self._demand = _Demand(now_ms)

    def update_limit(self, limit: Limit, now_ms: int) -> None:
        """Take over a changed limit without creating tokens."""
        self._refill(now_ms)
        self.limit = limit
        self.tokens = min(self.tokens, self._capacity(self.units))

    def try_acquire(self, now_ms: int) -> bool:
        """Use one token, or count the unmet demand and return False."""
        self._demand.add()
        return self.retry_acquire(now_ms)

    def retry_acquire(self, now_ms: int) -> bool:
        """Use one token for a request whose demand was counted already."""
        self._refill(now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def release(self) -> None:
        """Do nothing: a used token comes back by time only."""

    def needed_units(self, now_ms: int) -> int:
        """Return the units for the demand here, and for one token when demand is steady.

        A holder whose part of the burst is under one token can admit nothing, so the room for one
        token comes on top of what the demand calls for.
        """
        per_s = self._demand.per_s(now_ms)
        if per_s < _IDLE_PER_S or self.limit.size <= 0:
            return 0
        by_rate = per_s * _NEED_FACTOR / self.limit.rate_per_s
        by_token = min(1.0, per_s) / self.limit.size
        return min(TOTAL_UNITS, int(TOTAL_UNITS * (by_rate + by_token)) + 1)

    def free_units(self) -> int:
        """Return all units: tokens in use do not come back."""
        return self.units

    def withdraw(self, units: int, now_ms: int) -> TransferAmount:
        """Write off units and as many tokens as they can carry."""
        self._refill(now_ms)
        tokens = min(self.tokens, self._capacity(units))
        self.units -= units
        self.tokens = min(self.tokens - tokens, self._capacity(self.units))
        return TransferAmount(units, tokens)

    def deposit(self, gift: TransferAmount, now_ms: int) -> None:
        """Add units and tokens, bounded by what the units can carry."""
        self._refill(now_ms)
        self.units += gift.units
        self.tokens = min(self.tokens + gift.tokens, self._capacity(self.units))

    def units_for_tokens(self, tokens: int, now_ms: int) -> int:
        """Return the units that can carry some tokens that are here, 0 when there are not."""
        self._refill(now_ms)
        carried = min(tokens, int(self.tokens))
        if carried < 1:
            return 0
        return min(self.units, int(TOTAL_UNITS * carried / self.limit.size) + 1)

    def wait_ms(self, now_ms: int) -> int:
        """Return how long the fleet's bucket takes to refill one token."""
        if self.limit.rate_per_s <= 0:
            return _MS_PER_S
        return max(1, int(_MS_PER_S / self.limit.rate_per_s))

    def _capacity(self, units: int) -> float:
        return self.limit.size * units / TOTAL_UNITS

    def _refill(self, now_ms: int) -> None:
        elapsed = max(0, now_ms - self._refilled_ms)
        self._refilled_ms = now_ms
        gained = self.limit.rate_per_s * elapsed / _MS_PER_S * self.units / TOTAL_UNITS
        self.tokens = min(self.tokens + gained, self._capacity(self.units))


@_register("level")
class ConcurrencyHolding:
    """Part of a number of things that may be in use at once."""

    __slots__ = ("_decayed_ms", "_peak", "in_use", "limit", "units")

    def __init__(self, limit: Limit, now_ms: int) -> None:
        self.limit = limit
        self.units = 0
        self.in_use = 0
        self._peak = 0.0
        self._decayed_ms = now_ms

    def update_limit(self, limit: Limit, now_ms: int) -> None:
        """Take over a changed limit; uses above it run out by themselves."""
        self.limit = limit

    def try_acquire(self, now_ms: int) -> bool:
        """Use one place, or raise the noted demand and return False."""
        self._decay(now_ms)
        self._peak = max(self._peak, self.in_use + 1)
        if (self.in_use + 1) * TOTAL_UNITS > self.limit.size * self.units:
            return False
        self.in_use += 1
        return True

    def retry_acquire(self, now_ms: int) -> bool:
        """Use one place."""
        return self.try_acquire(now_ms)

    def release(self) -> None:
        """Return one place."""
        self.in_use -= 1

    def needed_units(self, now_ms: int) -> int:
        """Return the units for the recent peak and one place more."""
        self._decay(now_ms)
        if self._peak < 0.5 or self.limit.size <= 0:
            return 0
        places = self._peak + 1
        return min(TOTAL_UNITS, int(TOTAL_UNITS * places / self.limit.size) + 1)

    def free_units(self) -> int:
        """Return the units beyond what is in use."""
        return max(0, self.units - self._used_units())

    def withdraw(self, units: int, now_ms: int) -> TransferAmount:
        """Write off units; levels carry no tokens."""
        self.units -= units
        return TransferAmount(units, 0.0)

    def deposit(self, gift: TransferAmount, now_ms: int) -> None:
        """Add units."""
        self.units += gift.units

    def units_for_tokens(self, tokens: int, now_ms: int) -> int:
        """Return 0: nobody waits for a place at a holder."""
        return 0

    def wait_ms(self, now_ms: int) -> int:
        """Return a short wait: places come back as requests end."""
        return _DEMAND_WINDOW_MS

    def _used_units(self) -> int:
        if self.limit.size <= 0:
            return self.units
        return -int(-self.in_use * TOTAL_UNITS // self.limit.size)

    def _decay(self, now_ms: int) -> None:
        elapsed = max(0, now_ms - self._decayed_ms)
        self._decayed_ms = now_ms
        left = max(0.0, 1 - elapsed / (2 * _DEMAND_WINDOW_MS))
        self._peak = max(float(self.in_use), self._peak * left)
