"""Compare ways to hold an organisation's rate over the whole fleet."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from standins.fleet import BURST, RATE_PER_S, build_fleet
from tools.bench.report import Report
from waxwingshelf.core.holding import TOTAL_UNITS, Limit, RateHolding, TransferAmount

__all__ = ["measure_sharing"]

_SIZE = 8
_LOAD = 0.8
_WARM_MS = 3_000
_RUN_MS = 20_000
_MOVE_MS = 10_000
_LEASE_MS = 1_000
_TIGHT_PER_S = 18.0


@dataclass
class _Result:
    """Refused parts of requests within the rate: even, in a move's first second, and after it."""

    even: float
    moved_first_second: float
    moved_after: float
    messages_per_s: float
    store_calls_per_s: float


Admit = Callable[[int, int], bool]


def measure_sharing(report: Report, quick: bool) -> None:
    """Measure transfers between holders against three other ways, at the same load."""
    run_ms = _RUN_MS // 4 if quick else _RUN_MS
    _add(report, "transfers", _run_transfers(run_ms), bounded=True)
    _measure_tight(report, run_ms)
    _add(report, "static_split", _run_static(run_ms))
    _add(report, "store_leases", _run_leases(run_ms))
    _add(report, "hashed_owner", _run_owner(run_ms))


def _add(report: Report, name: str, result: _Result, bounded: bool = False) -> None:
    prefix = f"sharing.{name}"
    even, first, after = (0.1, 1.0, 0.1) if bounded else (None, None, None)
    report.add(f"{prefix}.refused_even", 100 * result.even, "%", even)
    report.add(f"{prefix}.refused_move_first_s", 100 * result.moved_first_second, "%", first)
    report.add(f"{prefix}.refused_move_after", 100 * result.moved_after, "%", after)
    report.add(f"{prefix}.messages", result.messages_per_s, "1/s")
    report.add(f"{prefix}.store_calls", result.store_calls_per_s, "1/s")


def _arrive(rng: random.Random, ms: int, where: Callable[[], int]) -> list[tuple[int, int]]:
    """Draw Poisson arrivals as (time in ms, instance)."""
    arrivals: list[tuple[int, int]] = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(RATE_PER_S * _LOAD) * 1000
        if at_ms >= ms:
            return arrivals
        arrivals.append((int(at_ms), where()))


def _count_refused(arrivals: list[tuple[int, int]], admit: Admit) -> float:
    refused = sum(not admit(at_ms, instance) for at_ms, instance in arrivals)
    return refused / max(1, len(arrivals))


def _play(run_ms: int, admit: Admit) -> tuple[float, float, float]:
    """Play even load, then a move of nearly all demand from all instances to one."""
    rng = random.Random(7)
    even = _arrive(rng, run_ms, lambda: rng.randrange(_SIZE))
    moved = _arrive(rng, _MOVE_MS, lambda: 3 if rng.random() < 0.9 else rng.randrange(_SIZE))
    even_refused = _count_refused([(at + _WARM_MS, i) for at, i in even], admit)
    start_ms = _WARM_MS + run_ms
    first = [(at + start_ms, i) for at, i in moved if at < 1_000]
    after = [(at + start_ms, i) for at, i in moved if at >= 1_000]
    return even_refused, _count_refused(first, admit), _count_refused(after, admit)


def _run_transfers(run_ms: int) -> _Result:
    fleet = build_fleet(_SIZE, 1)
    start_ms = fleet.clock.now_ms()
    names = sorted(fleet.nodes)
    sent_messages, calls = fleet.sent_messages, fleet.store.calls

    def admit(at_ms: int, instance: int) -> bool:
        due_ms = start_ms + at_ms
        while fleet.clock.now_ms() < due_ms:
            fleet.step(min(5, due_ms - fleet.clock.now_ms()))
        return fleet.send_request(names[instance], "acme")

    refused = _play(run_ms, admit)
    seconds = (fleet.clock.now_ms() - start_ms) / 1000
    return _Result(
        *refused,
        (fleet.sent_messages - sent_messages) / seconds,
        (fleet.store.calls - calls) / seconds,
    )


def _measure_tight(report: Report, run_ms: int) -> None:
    """Measure an organisation whose burst is little over one token for each instance."""
    fleet = build_fleet(_SIZE, 1)
    start_ms = fleet.clock.now_ms()
    names = sorted(fleet.nodes)
    admitted = refused = 0
    while fleet.clock.now_ms() < start_ms + run_ms:
        fleet.advance(50)
        due = int(_TIGHT_PER_S * (fleet.clock.now_ms() - start_ms) / 1000)
        while admitted + refused < due:
            if fleet.send_request(names[(admitted + refused) % _SIZE], "bolt"):
                admitted += 1
            else:
                refused += 1
    report.add("sharing.tight_burst.refused_even", 100 * refused / (admitted + refused), "%", 0.1)


def _build_holdings() -> list[RateHolding]:
    holdings = [RateHolding(Limit("rate", BURST, RATE_PER_S), 0) for _ in range(_SIZE)]
    for holding in holdings:
        holding.deposit(TransferAmount(TOTAL_UNITS // _SIZE, BURST / _SIZE), 0)
    return holdings


def _run_static(run_ms: int) -> _Result:
    holdings = _build_holdings()
    refused = _play(run_ms, lambda at_ms, instance: holdings[instance].try_acquire(at_ms))
    return _Result(*refused, 0.0, 0.0)


def _run_leases(run_ms: int) -> _Result:
    """Each holder renews its part in the store every second, in proportion to its demand."""
    holdings = _build_holdings()
    renewed_ms = [0]
    calls = [0]

    def admit(at_ms: int, instance: int) -> bool:
        if at_ms - renewed_ms[0] >= _LEASE_MS:
            renewed_ms[0] = at_ms
            calls[0] += 2 * _SIZE
            needs = [holding.needed_units(at_ms) + 1 for holding in holdings]
            gifts = [holding.withdraw(holding.units, at_ms) for holding in holdings]
            tokens = sum(gift.tokens for gift in gifts)
            for holding, need in zip(holdings, needs, strict=True):
                part = need / sum(needs)
                holding.deposit(TransferAmount(int(TOTAL_UNITS * part), tokens * part), at_ms)
        return holdings[instance].try_acquire(at_ms)

    refused = _play(run_ms, admit)
    seconds = (_WARM_MS + run_ms + _MOVE_MS) / 1000
    return _Result(*refused, 0.0, calls[0] / seconds)


def _run_owner(run_ms: int) -> _Result:
    """One instance counts for all; every request elsewhere waits for a round trip."""
    holding = RateHolding(Limit("rate", BURST, RATE_PER_S), 0)
    holding.deposit(TransferAmount(TOTAL_UNITS, BURST), 0)
    messages = [0]

    def admit(at_ms: int, instance: int) -> bool:
        messages[0] += 2 * (instance != 0)
        return holding.try_acquire(at_ms)

    refused = _play(run_ms, admit)
    seconds = (run_ms + _MOVE_MS) / 1000
    return _Result(*refused, messages[0] / seconds, 0.0)
