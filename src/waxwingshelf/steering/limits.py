"""Budgets that all instances share: organisations' rates, retries, requests to cold targets.

Each instance keeps its part by itself, so that no request waits for another instance. The parts
follow what the heartbeats say of the demand at each instance; see `steering.fleet`.
"""

from __future__ import annotations

from collections import deque

from waxwingshelf.core.rendezvous import rank

__all__ = ["ColdTargetLimiter", "RateBucket", "RetryBudget", "compute_rate_share"]

_MS_PER_S = 1_000
# The parts of ratio and slack that are used: windows slide, and instances know of each other late.
_RETRY_RATIO_PART = 0.6
_RETRY_SLACK_PART = 0.6
# At a rate that is used up, this part is still divided equally, for first requests.
_LEAST_EQUAL_PART = 0.15
# Of what is left of a rate, this part is divided equally and the rest by demand.
_EQUAL_PART_OF_SPARE = 0.5
# The parts of an unused rate sum to more than 1 by this much: what one admits too much before the
# others know of new demand stays within a few tenths of a second of the rate.
_SPARE_OVERLAP = 0.25
_COLD_WINDOW_MS = 1_100
_COLD_SENDS_PER_INSTANCE = 2
_MOST_TARGETS = 1_000


def compute_rate_share(own: float, total: float, rate: float, equal: float) -> float:
    """Return the part of a rate for one of those who share it, between 0 and 1.

    `own` and `total` are demands, `equal` is an equal part. The parts of a rate that is used up sum
    to 1 when all know the same demands; the less of it is used, the more waits for demand that
    moves, and the more the parts overlap.
    """
    used = min(1.0, total / rate) if rate > 0 else 1.0
    overlap = 1.0 + (1.0 - used) * _SPARE_OVERLAP
    equal_part = max(_LEAST_EQUAL_PART, (1.0 - used) * _EQUAL_PART_OF_SPARE)
    followed = own / total if total > 0 else equal
    return min(1.0, ((1.0 - equal_part) * followed + equal_part * equal) * overlap)


class RateBucket:
    """A token bucket over this instance's part of an organisation's rate and burst.

    `slack` is this instance's part of what all may admit beyond the rate; it serves the first
    requests at an instance whose part has not followed the demand yet.
    """

    __slots__ = ("_at_ms", "_burst", "_share", "_slack", "_tokens", "rate_per_s")

    def __init__(
        self, rate_per_s: float, burst: float, share: float, now_ms: int, slack: float = 0.0
    ) -> None:
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._share = share
        self._slack = slack
        self._tokens = burst * share + slack
        self._at_ms = now_ms

    def set_rate(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        """Follow a changed rule."""
        self._refill(now_ms)
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, self._find_most())

    def set_share(self, share: float, now_ms: int) -> None:
        """Follow a changed part; what was saved beyond it is dropped."""
        self._refill(now_ms)
        self._share = share
        self._tokens = min(self._tokens, self._find_most())

    def try_acquire(self, now_ms: int) -> bool:
        """Take a token."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return the token of a request that no target got."""
        self._tokens = min(self._tokens + 1.0, self._find_most())

    def clear(self, now_ms: int) -> None:
        """Drop all tokens: nobody knows what others used meanwhile."""
        self._tokens = 0.0
        self._at_ms = now_ms

    def compute_wait_ms(self) -> int:
        """Return the time until the next token."""
        rate = self.rate_per_s * self._share
        if rate <= 0:
            return _MS_PER_S
        return int(max(0.0, 1.0 - self._tokens) / rate * _MS_PER_S) + 1

    def _refill(self, now_ms: int) -> None:
        gained = (now_ms - self._at_ms) / _MS_PER_S * self.rate_per_s * self._share
        self._at_ms = now_ms
        self._tokens = min(self._tokens + max(0.0, gained), self._find_most())

    def _find_most(self) -> float:
        return max(self._burst * self._share + self._slack, 1.0)


class RetryBudget:
    """Allow repeats in proportion to this instance's requests of a service.

    What may be saved is this instance's part of the slack, which shrinks when others join.
    """

    __slots__ = ("_limit", "_ratio", "_slack", "_tokens")

    def __init__(self, ratio: float, slack: float, instances: int) -> None:
        self._ratio = ratio * _RETRY_RATIO_PART
        self._slack = slack * _RETRY_SLACK_PART
        self._limit = 0.0
        self._tokens = 0.0
        self.set_instance_count(instances)
        self._tokens = self._limit

    def set_instance_count(self, instances: int) -> None:
        """Take in how many instances share the slack; what was saved beyond it is dropped."""
        self._limit = max(1.0, self._slack / max(1, instances))
        self._tokens = min(self._tokens, self._limit)

    def record_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Take one repeat."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ColdTargetLimiter:
    """Bound what all instances together send to a cold target in any second.

    Only as many instances as the bound carries may send at all; they are the ones that rank first
    for the target by rendezvous hashing, which every instance computes alike.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._sends: dict[str, deque[int]] = {}
        self._senders: dict[str, tuple[list[str], bool]] = {}

    def try_acquire(
        self, target_id: str, bound_per_s: float, names: list[str], now_ms: int
    ) -> bool:
        """Take one send, given the names of all instances that may be running."""
        senders = max(1, int(bound_per_s / _COLD_SENDS_PER_INSTANCE))
        if len(names) > senders:
            if not self._is_sender(target_id, senders, names):
                return False
            each = _COLD_SENDS_PER_INSTANCE
        else:
            each = max(1, int(bound_per_s / max(1, len(names))))
        if len(self._sends) > _MOST_TARGETS:
            self._forget_idle(now_ms)
        sends = self._sends.setdefault(target_id, deque())
        while sends and now_ms - sends[0] >= _COLD_WINDOW_MS:
            sends.popleft()
        if len(sends) >= each:
            return False
        sends.append(now_ms)
        return True

    def _forget_idle(self, now_ms: int) -> None:
        for target_id, sends in list(self._sends.items()):
            if not sends or now_ms - sends[-1] >= _COLD_WINDOW_MS:
                del self._sends[target_id]
                self._senders.pop(target_id, None)

    def _is_sender(self, target_id: str, senders: int, names: list[str]) -> bool:
        known = self._senders.get(target_id)
        if known is not None and known[0] == names:
            return known[1]
        is_sender = self._name in rank(target_id, names)[:senders]
        self._senders[target_id] = (names, is_sender)
        return is_sender
