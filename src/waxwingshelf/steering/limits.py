"""Limits shared by all instances: organisations' rates, retries, requests to cold targets.

Each instance enforces its share locally. In a small fleet, no request waits for another instance;
the shares of a rate follow the demand at each instance, as reported in heartbeats (see
`steering.fleet`). In a large fleet, one instance per region owns a share of a rate (see
`steering.owners`).
"""

from __future__ import annotations

from collections import deque

from waxwingshelf.core.rendezvous import rank

__all__ = [
    "START_DURATION_MS",
    "ColdTargetLimiter",
    "RateBucket",
    "RetryBudget",
    "compute_rate_share",
]

# An earlier run of a process did nothing for this time before the next one started.
START_DURATION_MS = 500

_MS_PER_S = 1_000
# The wait for a token of a tiny share of a rate.
_MAX_WAIT_MS = 3_600_000
# Only these fractions of the ratio and the slack are used, because the limits hold for sliding
# windows and instances learn of each other with a delay.
_RETRY_RATIO_FRACTION = 0.6
_RETRY_SLACK_FRACTION = 0.6
# A budget begins with this fraction of its slack, as an earlier run of the process may have spent
# the whole of it. Two restarts of all instances within one window stay within the limit.
_RETRY_START_FRACTION = 0.5
# This fraction of a fully used rate is still divided equally, for first requests at an instance.
_MIN_EQUAL_FRACTION = 0.15
# This fraction of the unused part of a rate is divided equally, the rest in proportion to demand.
# Below 1, an instance that has all the demand for a rate always gets as large a share as it asks.
_EQUAL_FRACTION_OF_UNUSED = 0.85
# The shares of a wholly unused rate sum to 1 plus this value. The excess that an instance admits
# before its peers learn of new demand is within what the rate allows in a few tenths of a second.
_UNUSED_OVERLAP = 0.25
_COLD_WINDOW_MS = 1_100
_COLD_REQUESTS_PER_INSTANCE = 2
_MAX_TRACKED_TARGETS = 1_000


def compute_rate_share(
    proportional_share: float, total_demand: float, rate: float, equal_share: float
) -> float:
    """Return the share of a rate, from 0 to 1, for one of the instances that divide it.

    `proportional_share` is this instance's part of the demand, `equal_share` the share if the rate
    were divided equally. The shares of a fully used rate sum to 1 if the proportional shares do.
    The less of the rate is used, the more of it is divided equally, in reserve for demand that
    moves between instances, and the further the sum of the shares exceeds 1.
    """
    utilisation = min(1.0, total_demand / rate) if rate > 0 else 1.0
    overlap = 1.0 + (1.0 - utilisation) * _UNUSED_OVERLAP
    equal_fraction = max(_MIN_EQUAL_FRACTION, (1.0 - utilisation) * _EQUAL_FRACTION_OF_UNUSED)
    return min(
        1.0, ((1.0 - equal_fraction) * proportional_share + equal_fraction * equal_share) * overlap
    )


class RateBucket:
    """A token bucket for this instance's share of an organisation's rate and burst.

    `slack` is this instance's share of the requests that all instances together may admit beyond
    the rate. It increases the capacity, and serves the first requests at an instance whose share
    does not reflect its demand yet.

    The bucket begins full, or with what it gains in `idle_ms` if that is given: the time for which
    nothing can have been admitted here. What an earlier run of the process, or another instance in
    its place, admitted before that is not known.
    """

    __slots__ = ("_at_ms", "_burst", "_share", "_slack", "_tokens", "rate_per_s")

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        share: float,
        now_ms: int,
        slack: float = 0.0,
        idle_ms: int | None = None,
    ) -> None:
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._share = share
        self._slack = slack
        self._tokens = burst * share + slack
        self._at_ms = now_ms
        if idle_ms is not None:
            self._tokens = min(self._tokens, self._compute_gain(idle_ms))

    @property
    def tokens(self) -> float:
        """Return the tokens at the last change."""
        return self._tokens

    def set_rate(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        """Set the organisation's rate and burst; tokens beyond the new capacity are dropped."""
        self._refill(now_ms)
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, self._compute_capacity())

    def set_slack(self, slack: float) -> None:
        """Set this instance's share of the slack; tokens beyond the new capacity are dropped."""
        self._slack = slack
        self._tokens = min(self._tokens, self._compute_capacity())

    def set_share(self, share: float, now_ms: int) -> None:
        """Set this instance's share; tokens beyond the new capacity are dropped."""
        self._refill(now_ms)
        self._share = share
        self._tokens = min(self._tokens, self._compute_capacity())

    def try_acquire(self, now_ms: int) -> bool:
        """Take a token; return False if there is none."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Put back the token of a request that no target has run."""
        self._tokens = min(self._tokens + 1.0, self._compute_capacity())

    def clear(self, now_ms: int) -> None:
        """Drop all tokens, after a pause of this process.

        The tokens that other instances used during the pause are unknown.
        """
        self._tokens = 0.0
        self._at_ms = now_ms

    def compute_wait_ms(self) -> int:
        """Return the time in milliseconds until the next token, or one second at a rate of 0."""
        rate = self.rate_per_s * self._share
        if rate <= 0:
            return _MS_PER_S
        wait_ms = max(0.0, 1.0 - self._tokens) / rate * _MS_PER_S
        return int(min(wait_ms, _MAX_WAIT_MS)) + 1

    def _refill(self, now_ms: int) -> None:
        gained = self._compute_gain(now_ms - self._at_ms)
        self._at_ms = now_ms
        self._tokens = min(self._tokens + max(0.0, gained), self._compute_capacity())

    def _compute_gain(self, elapsed_ms: int) -> float:
        return elapsed_ms / _MS_PER_S * self.rate_per_s * self._share

    def _compute_capacity(self) -> float:
        return max(self._burst * self._share + self._slack, 1.0)


class RetryBudget:
    """A token bucket that allows retries in proportion to this instance's requests for a service.

    Its capacity is this instance's share of the slack, which shrinks when instances join.
    """

    __slots__ = ("_limit", "_ratio", "_slack", "_tokens")

    def __init__(self, ratio: float, slack: float, instances: int) -> None:
        self._limit = self._tokens = 0.0
        self.set_bounds(ratio, slack)
        self.set_instance_count(instances)
        self._tokens = max(1.0, self._limit * _RETRY_START_FRACTION)

    def set_bounds(self, ratio: float, slack: float) -> None:
        """Set what all instances may retry; the tokens in hand stay."""
        self._ratio = ratio * _RETRY_RATIO_FRACTION
        self._slack = slack * _RETRY_SLACK_FRACTION

    def set_instance_count(self, instances: int) -> None:
        """Set the number of instances that share the slack; tokens beyond the share are dropped."""
        self._limit = max(1.0, self._slack / max(1, instances))
        self._tokens = min(self._tokens, self._limit)

    def record_request(self) -> None:
        """Add tokens for the first attempt of a request."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Take the token for one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Put back the token of an attempt that was not made."""
        self._tokens = min(self._limit, self._tokens + 1.0)


class ColdTargetLimiter:
    """Limit the requests per second that all instances together send to a cold target.

    If there are more instances than the limit supports, only some of them may send to the target:
    those that rank first by rendezvous hashing, which gives the same result on every instance.

    What an earlier run of the process sent before `started_ms`, a clock reading, is not known, so
    nothing is sent until it no longer counts.
    """

    def __init__(self, name: str, started_ms: int | None = None) -> None:
        self._name = name
        self._closed_until_ms: int | None = None
        if started_ms is not None:
            self._closed_until_ms = started_ms - START_DURATION_MS + _COLD_WINDOW_MS
        self._send_times: dict[str, deque[int]] = {}
        self._sender_cache: dict[str, tuple[list[str], bool]] = {}

    def try_acquire(
        self,
        target_id: str,
        limit_per_s: float,
        instance_names: list[str],
        now_ms: int,
        instance_count: int = 0,
    ) -> bool:
        """Count a request to a cold target; return False if this instance may not send it now.

        `instance_names` are the names of all known instances that may be running. There may be
        others, `instance_count` in all.
        """
        if self._closed_until_ms is not None and now_ms < self._closed_until_ms:
            return False
        instance_count = max(instance_count, len(instance_names), 1)
        max_senders = max(1, int(limit_per_s / _COLD_REQUESTS_PER_INSTANCE))
        if instance_count > max_senders:
            if not self._is_chosen_sender(target_id, max_senders, instance_names):
                return False
            instance_limit = _COLD_REQUESTS_PER_INSTANCE
        else:
            instance_limit = max(1, int(limit_per_s / instance_count))
        if len(self._send_times) > _MAX_TRACKED_TARGETS:
            self._remove_idle(now_ms)
        send_times = self._send_times.setdefault(target_id, deque())
        while send_times and now_ms - send_times[0] >= _COLD_WINDOW_MS:
            send_times.popleft()
        if len(send_times) >= instance_limit:
            return False
        send_times.append(now_ms)
        return True

    def _remove_idle(self, now_ms: int) -> None:
        for target_id, send_times in list(self._send_times.items()):
            if not send_times or now_ms - send_times[-1] >= _COLD_WINDOW_MS:
                del self._send_times[target_id]
                self._sender_cache.pop(target_id, None)

    def _is_chosen_sender(
        self, target_id: str, max_senders: int, instance_names: list[str]
    ) -> bool:
        cached = self._sender_cache.get(target_id)
        if cached is not None and cached[0] == instance_names:
            return cached[1]
        is_chosen = self._name in rank(target_id, instance_names)[:max_senders]
        self._sender_cache[target_id] = (instance_names, is_chosen)
        return is_chosen
