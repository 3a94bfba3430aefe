"""Send metrics to statsd and keep a copy of the counters for the status page."""

from __future__ import annotations

from collections import Counter

import statsd

__all__ = ["StatsdMetrics"]

_PREFIX = "waxwingshelf"


class StatsdMetrics:
    """Send metrics to statsd over UDP and keep the counters in memory."""

    def __init__(self, host: str, port: int) -> None:
        self._client = statsd.StatsClient(host, port, prefix=_PREFIX)
        self.counters: Counter[str] = Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        self.counters[name] += amount
        self._client.incr(name, amount)

    def time(self, name: str, ms: float) -> None:
        """Record a duration in milliseconds."""
        self._client.timing(name, ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to a value."""
        self._client.gauge(name, value)
