"""One instance's share of a fleet-wide budget.

A budget is divided into `TOTAL_UNITS` units. A holder of `u` units may use the fraction
`u / TOTAL_UNITS` of the budget, so all holders together stay within the budget as long as units are
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
_IDLE_DEMAND_PER_S = 0.01
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Limit:
    """The limit of a budget.

    For kind "rate", a token bucket, `size` is the burst in tokens and `rate_per_s` the refill rate.
    For kind "level", a concurrency limit, `size` is the number of slots that may be in use at
    the same time.
    """

    kind: str
    size: float
    rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TransferAmount:
    """An amount of units and the tokens that move with them."""

    units: int
    tokens: float


class Holding(Protocol):
    """Interface of every kind of holding; times are monotonic milliseconds."""

    units: int
    limit: Limit

    def update_limit(self, limit: Limit, now_ms: int) -> None:
        """Replace the limit without creating tokens."""

    def try_acquire(self, now_ms: int) -> bool:
        """Record the demand and use one token or slot; return False if none is free."""

    def retry_acquire(self, now_ms: int) -> bool:
        """Use one token or slot for a request whose demand is already recorded."""

    def release(self) -> None:
        """Release a slot whose request has ended; a rate holding does nothing."""

    def needed_units(self, now_ms: int) -> int:
        """Return the number of units that local demand requires."""

    def free_units(self) -> int:
        """Return the number of units that no slot in use needs."""

    def withdraw(self, units: int, now_ms: int) -> TransferAmount:
        """Remove units before they are sent to another holder."""

    def deposit(self, amount: TransferAmount, now_ms: int) -> None:
        """Add units that another holder withdrew or that the ledger granted."""

    def units_for_tokens(self, tokens: int, now_ms: int) -> int:
        """Return the units that carry up to `tokens` available tokens, or 0 if there are none."""

    def wait_ms(self, now_ms: int) -> int:
        """Return the estimated time until a token or slot is free."""


_H = TypeVar("_H", bound=type)
HOLDING_KINDS: dict[str, Callable[[Limit, int], Holding]] = {}


def _register(kind: str) -> Callable[[_H], _H]:
    def add(holding_type: _H) -> _H:
        HOLDING_KINDS[kind] = holding_type
        return holding_type

    return add


class _DemandEstimator:
    """Estimate demand per second as an exponentially weighted moving average."""

    __slots__ = ("_count", "_per_s", "_window_start_ms")

    def __init__(self, now_ms: int) -> None:
        self._count = 0
        self._per_s = 0.0
        self._window_start_ms = now_ms

    def add(self) -> None:
        self._count += 1

    def demand_per_s(self, now_ms: int) -> float:
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms >= _DEMAND_WINDOW_MS // 10:
            weight = min(1.0, elapsed_ms / _DEMAND_WINDOW_MS)
            observed = self._count * _MS_PER_S / elapsed_ms
            self._per_s += weight * (observed - self._per_s)
            self._count = 0
            self._window_start_ms = now_ms
        return self._per_s


@_register("rate")
class RateHolding:
    """A share of a token bucket.

    A holder may keep only as many tokens as its share of the burst. Tokens move to another holder
    only together with units whose share of the burst covers them, so that the tokens of all holders
    together never exceed the burst.
    """

    __slots__ = ("_demand", "_last_refill_ms", "limit", "tokens", "units")

    def __init__(self, limit: Limit, now_ms: int) -> None:
        self.limit = limit
        self.units = 0
        self.tokens = 0.0
        self._last_refill_ms = now_ms
        self._demand = _DemandEstimator(now_ms)

    def update_limit(self, limit: Limit, now_ms: int) -> None:
        """Replace the limit without creating tokens."""
        self._refill(now_ms)
        self.limit = limit
        self.tokens = min(self.tokens, self._capacity(self.units))

    def try_acquire(self, now_ms: int) -> bool:
        """Record the demand and use one token; return False if there is no whole token."""
        self._demand.add()
        return self.retry_acquire(now_ms)

    def retry_acquire(self, now_ms: int) -> bool:
        """Use one token for a request whose demand is already recorded."""
        self._refill(now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def release(self) -> None:
        """Do nothing: used tokens are replaced only by the refill over time."""

    def needed_units(self, now_ms: int) -> int:
        """Return the units for the local request rate, plus the units for up to one token.

        A holder whose share of the burst is below one token cannot admit any request, so the units
        for one token are added to those for the rate. At a rate below one request per second, the
        units for only a proportional fraction of a token are added.
        """
        demand_per_s = self._demand.demand_per_s(now_ms)
        if demand_per_s < _IDLE_DEMAND_PER_S or self.limit.size <= 0:
            return 0
        rate_fraction = demand_per_s * _NEED_FACTOR / self.limit.rate_per_s
        token_fraction = min(1.0, demand_per_s) / self.limit.size
        return min(TOTAL_UNITS, int(TOTAL_UNITS * (rate_fraction + token_fraction)) + 1)

    def free_units(self) -> int:
        """Return all units: used tokens are never returned, so they tie up no units."""
        return self.units

    def withdraw(self, units: int, now_ms: int) -> TransferAmount:
        """Remove units and as many of the tokens as those units can carry."""
        self._refill(now_ms)
        tokens = min(self.tokens, self._capacity(units))
        self.units -= units
        self.tokens = min(self.tokens - tokens, self._capacity(self.units))
        return TransferAmount(units, tokens)

    def deposit(self, amount: TransferAmount, now_ms: int) -> None:
        """Add units and tokens, up to the capacity of all units of this holding."""
        self._refill(now_ms)
        self.units += amount.units
        self.tokens = min(self.tokens + amount.tokens, self._capacity(self.units))

    def units_for_tokens(self, tokens: int, now_ms: int) -> int:
        """Return the units that carry up to `tokens` available tokens, or 0 if there are none."""
        self._refill(now_ms)
        available = min(tokens, int(self.tokens))
        if available < 1:
            return 0
        return min(self.units, int(TOTAL_UNITS * available / self.limit.size) + 1)

    def wait_ms(self, now_ms: int) -> int:
        """Return the time in which the fleet's whole bucket refills one token."""
        if self.limit.rate_per_s <= 0:
            return _MS_PER_S
        return max(1, int(_MS_PER_S / self.limit.rate_per_s))

    def _capacity(self, units: int) -> float:
        return self.limit.size * units / TOTAL_UNITS

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._last_refill_ms)
        self._last_refill_ms = now_ms
        gained = self.limit.rate_per_s * elapsed_ms / _MS_PER_S * self.units / TOTAL_UNITS
        self.tokens = min(self.tokens + gained, self._capacity(self.units))


@_register("level")
class ConcurrencyHolding:
    """A share of a concurrency limit: the number of slots that may be in use at the same time."""

    __slots__ = ("_last_decay_ms", "_peak_demand", "in_use", "limit", "units")

    def __init__(self, limit: Limit, now_ms: int) -> None:
        self.limit = limit
        self.units = 0
        self.in_use = 0
        self._peak_demand = 0.0
        self._last_decay_ms = now_ms

    def update_limit(self, limit: Limit, now_ms: int) -> None:
        """Replace the limit; slots in use above a lower limit are freed as requests end."""
        self.limit = limit

    def try_acquire(self, now_ms: int) -> bool:
        """Record the demand and use one slot; return False if none is free."""
        self._decay(now_ms)
        self._peak_demand = max(self._peak_demand, self.in_use + 1)
        if (self.in_use + 1) * TOTAL_UNITS > self.limit.size * self.units:
            return False
        self.in_use += 1
        return True

    def retry_acquire(self, now_ms: int) -> bool:
        """Use one slot, as `try_acquire` does."""
        return self.try_acquire(now_ms)

    def release(self) -> None:
        """Release one slot."""
        self.in_use -= 1

    def needed_units(self, now_ms: int) -> int:
        """Return the units for the recent peak demand and one more slot."""
        self._decay(now_ms)
        if self._peak_demand < 0.5 or self.limit.size <= 0:
            return 0
        slots = self._peak_demand + 1
        return min(TOTAL_UNITS, int(TOTAL_UNITS * slots / self.limit.size) + 1)

    def free_units(self) -> int:
        """Return the units beyond those that the slots in use need."""
        return max(0, self.units - self._used_units())

    def withdraw(self, units: int, now_ms: int) -> TransferAmount:
        """Remove units; a concurrency holding has no tokens."""
        self.units -= units
        return TransferAmount(units, 0.0)

    def deposit(self, amount: TransferAmount, now_ms: int) -> None:
        """Add units."""
        self.units += amount.units

    def units_for_tokens(self, tokens: int, now_ms: int) -> int:
        """Return 0: requests never wait for a slot at a holder."""
        return 0

    def wait_ms(self, now_ms: int) -> int:
        """Return a short fixed wait: slots are released as requests end."""
        return _DEMAND_WINDOW_MS

    def _used_units(self) -> int:
        if self.limit.size <= 0:
            return self.units
        return -int(-self.in_use * TOTAL_UNITS // self.limit.size)

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._last_decay_ms)
        self._last_decay_ms = now_ms
        remaining = max(0.0, 1 - elapsed_ms / (2 * _DEMAND_WINDOW_MS))
        self._peak_demand = max(float(self.in_use), self._peak_demand * remaining)
