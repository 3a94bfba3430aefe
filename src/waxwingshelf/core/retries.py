"""A retry budget, so that retries never multiply the load on targets that are in trouble."""

from __future__ import annotations

__all__ = ["RetryBudget"]

_MAX_SAVED = 10.0
_FIRST_SAVED = 1.0


class RetryBudget:
    """Allow retries as a share of requests, for each organisation."""

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}

    def record_request(self, organisation: str, share: float) -> None:
        """Save the part of a retry that a request pays for."""
        saved = self._saved.get(organisation, _FIRST_SAVED)
        self._saved[organisation] = min(_MAX_SAVED, saved + share)

    def take(self, organisation: str) -> bool:
        """Use one retry if enough was saved."""
        saved = self._saved.get(organisation, 0.0)
        if saved < 1:
            return False
        self._saved[organisation] = saved - 1
        return True
