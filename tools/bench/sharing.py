"""Compare ways to enforce an organisation's rate limit over the whole fleet."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from standins.fleet import BURST, RATE_PER_S, build_fleet
from tools.bench.report import Report
from waxwingshelf.core.holding import TOTAL_UNITS, Limit, RateHolding, TransferAmount

__all__ = ["measure_sharing"]

_INSTANCE_COUNT = 8
_LOAD = 0.8
_WARM_UP_MS = 3_000
_RUN_MS = 20_000
_MOVED_RUN_MS = 10_000
_LEASE_MS = 1_000
_TIGHT_RATE_PER_S = 18.0


@dataclass
class _Result:
    """Refused fractions of a load below the rate limit, and the costs per second.

    `refused_even` covers demand spread evenly over the instances, `refused_first_second` the first
    second after most demand moved to one instance, and `refused_later` the time after that second.
    """

    refused_even: float
    refused_first_second: float
    refused_later: float
    messages_per_s: float
    store_calls_per_s: float


AdmitFunction = Callable[[int, int], bool]


def measure_sharing(report: Report, quick: bool) -> None:
    """Compare transfers between holders with three alternatives at the same load."""
    run_ms = _RUN_MS // 4 if quick else _RUN_MS
    _add_result(report, "transfers", _run_transfers(run_ms), bounded=True)
    _measure_tight_burst(report, run_ms)
    _add_result(report, "static_split", _run_static_split(run_ms))
    _add_result(report, "store_leases", _run_store_leases(run_ms))
    _add_result(report, "hashed_owner", _run_hashed_owner(run_ms))


def _add_result(report: Report, name: str, result: _Result, bounded: bool = False) -> None:
    prefix = f"sharing.{name}"
    max_even, max_first_second, max_later = (0.1, 1.0, 0.1) if bounded else (None, None, None)
    report.add(f"{prefix}.refused_even", 100 * result.refused_even, "%", max_even)
    report.add(
        f"{prefix}.refused_move_first_s", 100 * result.refused_first_second, "%", max_first_second
    )
    report.add(f"{prefix}.refused_move_after", 100 * result.refused_later, "%", max_later)
    report.add(f"{prefix}.messages", result.messages_per_s, "1/s")
    report.add(f"{prefix}.store_calls", result.store_calls_per_s, "1/s")


def _draw_arrivals(
    rng: random.Random, duration_ms: int, choose_instance: Callable[[], int]
) -> list[tuple[int, int]]:
    """Draw Poisson arrivals as pairs of a time in ms and an instance's index."""
    arrivals: list[tuple[int, int]] = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(RATE_PER_S * _LOAD) * 1000
        if at_ms >= duration_ms:
            return arrivals
        arrivals.append((int(at_ms), choose_instance()))


def _compute_refused_fraction(arrivals: list[tuple[int, int]], admit: AdmitFunction) -> float:
    refused = sum(not admit(at_ms, instance) for at_ms, instance in arrivals)
    return refused / max(1, len(arrivals))


def _simulate_load(run_ms: int, admit: AdmitFunction) -> tuple[float, float, float]:
    """Return the refused fractions under even demand and after most demand moved to one instance.

    The fractions after the move are those of the first second and of the time after it.
    """
    rng = random.Random(7)
    even = _draw_arrivals(rng, run_ms, lambda: rng.randrange(_INSTANCE_COUNT))
    moved = _draw_arrivals(
        rng, _MOVED_RUN_MS, lambda: 3 if rng.random() < 0.9 else rng.randrange(_INSTANCE_COUNT)
    )
    even_refused = _compute_refused_fraction([(at_ms + _WARM_UP_MS, i) for at_ms, i in even], admit)
    start_ms = _WARM_UP_MS + run_ms
    first = [(at_ms + start_ms, i) for at_ms, i in moved if at_ms < 1_000]
    after = [(at_ms + start_ms, i) for at_ms, i in moved if at_ms >= 1_000]
    return (
        even_refused,
        _compute_refused_fraction(first, admit),
        _compute_refused_fraction(after, admit),
    )


def _run_transfers(run_ms: int) -> _Result:
    fleet = build_fleet(_INSTANCE_COUNT, 1)
    start_ms = fleet.clock.now_ms()
    names = sorted(fleet.nodes)
    sent_messages, calls = fleet.sent_messages, fleet.store.calls

    def admit(at_ms: int, instance: int) -> bool:
        due_ms = start_ms + at_ms
        while fleet.clock.now_ms() < due_ms:
            fleet.step(min(5, due_ms - fleet.clock.now_ms()))
        return fleet.send_request(names[instance], "acme")

    refused = _simulate_load(run_ms, admit)
    seconds = (fleet.clock.now_ms() - start_ms) / 1000
    return _Result(
        *refused,
        (fleet.sent_messages - sent_messages) / seconds,
        (fleet.store.calls - calls) / seconds,
    )


def _measure_tight_burst(report: Report, run_ms: int) -> None:
    """Measure an organisation whose burst is slightly above one token per instance."""
    fleet = build_fleet(_INSTANCE_COUNT, 1)
    start_ms = fleet.clock.now_ms()
    names = sorted(fleet.nodes)
    admitted = refused = 0
    while fleet.clock.now_ms() < start_ms + run_ms:
        fleet.advance(50)
        due_requests = int(_TIGHT_RATE_PER_S * (fleet.clock.now_ms() - start_ms) / 1000)
        while admitted + refused < due_requests:
            if fleet.send_request(names[(admitted + refused) % _INSTANCE_COUNT], "bolt"):
                admitted += 1
            else:
                refused += 1
    report.add("sharing.tight_burst.refused_even", 100 * refused / (admitted + refused), "%", 0.1)


def _build_holdings() -> list[RateHolding]:
    holdings = [RateHolding(Limit("rate", BURST, RATE_PER_S), 0) for _ in range(_INSTANCE_COUNT)]
    for holding in holdings:
        holding.deposit(TransferAmount(TOTAL_UNITS // _INSTANCE_COUNT, BURST / _INSTANCE_COUNT), 0)
    return holdings


def _run_static_split(run_ms: int) -> _Result:
    holdings = _build_holdings()
    refused = _simulate_load(run_ms, lambda at_ms, instance: holdings[instance].try_acquire(at_ms))
    return _Result(*refused, 0.0, 0.0)


def _run_store_leases(run_ms: int) -> _Result:
    """Simulate shares that holders renew in the store every second, in proportion to demand."""
    holdings = _build_holdings()
    renewed_ms = [0]
    calls = [0]

    def admit(at_ms: int, instance: int) -> bool:
        if at_ms - renewed_ms[0] >= _LEASE_MS:
            renewed_ms[0] = at_ms
            calls[0] += 2 * _INSTANCE_COUNT
            needed_units = [holding.needed_units(at_ms) + 1 for holding in holdings]
            withdrawn = [holding.withdraw(holding.units, at_ms) for holding in holdings]
            tokens = sum(amount.tokens for amount in withdrawn)
            for holding, need in zip(holdings, needed_units, strict=True):
                share = need / sum(needed_units)
                holding.deposit(TransferAmount(int(TOTAL_UNITS * share), tokens * share), at_ms)
        return holdings[instance].try_acquire(at_ms)

    refused = _simulate_load(run_ms, admit)
    seconds = (_WARM_UP_MS + run_ms + _MOVED_RUN_MS) / 1000
    return _Result(*refused, 0.0, calls[0] / seconds)


def _run_hashed_owner(run_ms: int) -> _Result:
    """Simulate one instance that owns the limit; requests at other instances need a round trip."""
    holding = RateHolding(Limit("rate", BURST, RATE_PER_S), 0)
    holding.deposit(TransferAmount(TOTAL_UNITS, BURST), 0)
    messages = [0]

    def admit(at_ms: int, instance: int) -> bool:
        messages[0] += 2 * (instance != 0)
        return holding.try_acquire(at_ms)

    refused = _simulate_load(run_ms, admit)
    seconds = (run_ms + _MOVED_RUN_MS) / 1000
    return _Result(*refused, messages[0] / seconds, 0.0)
