"""A retry budget, which keeps retries from multiplying the load on failing targets."""

from __future__ import annotations

__all__ = ["RetryBudget"]

_MAX_TOKENS = 10.0
_INITIAL_TOKENS = 1.0


class RetryBudget:
    """Limit the retries of each organisation to a fraction of its requests."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def record_request(self, organisation: str, fraction: float) -> None:
        """Add the fraction of a retry that a request earns."""
        tokens = self._tokens.get(organisation, _INITIAL_TOKENS)
        self._tokens[organisation] = min(_MAX_TOKENS, tokens + fraction)

    def take(self, organisation: str) -> bool:
        """Take one retry from the budget, or return False if less than one is available."""
        tokens = self._tokens.get(organisation, 0.0)
        if tokens < 1:
            return False
        self._tokens[organisation] = tokens - 1
        return True
