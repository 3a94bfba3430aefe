"""What an organisation may get in a sliding window, by the platform's limits."""

WINDOW_MS = 5_000
OVERAGE = 0.1
SLACK = 20.0
_MS_PER_S = 1_000


def compute_window_limit(rate_per_s: float, burst: float) -> float:
    """Return how many requests of an organisation may be admitted in any window."""
    return (rate_per_s * WINDOW_MS / _MS_PER_S + burst) * (1 + OVERAGE) + SLACK
