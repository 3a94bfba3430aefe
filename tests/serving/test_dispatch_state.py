"""State that all dispatched requests share, when the settings change."""

from msgspec.structs import replace

from tests.serving.hedging_fakes import HedgingWorld
from tests.serving.virtual_time import VirtualTimeLoop
from waxwingshelf.platform.settings import Bounds
from waxwingshelf.serving.dispatch_state import DispatchState
from waxwingshelf.steering.placement import Locality

LOCALITY = Locality("north", "north-1", {"north-1": "north"})


def take_retries(state: DispatchState) -> int:
    """Take retries of one service until there are none, and return their number."""
    taken = 0
    while state.try_acquire_retry("reads"):
        taken += 1
    return taken


def test_reloaded_settings_grant_no_second_slack_of_retries() -> None:
    """Guards against a budget that is counted anew with each reload of the settings."""
    state = HedgingWorld(VirtualTimeLoop()).dispatch_state
    bounds = Bounds(retry_slack=56.0)
    state.apply_settings(LOCALITY, bounds)
    taken = 0
    for number in range(4):
        taken += take_retries(state)
        state.apply_settings(LOCALITY, replace(bounds, max_ttl_ms=5_000 + number))
    assert 0 < taken + take_retries(state) <= 56


def test_reloaded_settings_change_the_ratio_of_retries() -> None:
    """Guards against a budget that keeps the bounds with which it began."""
    state = HedgingWorld(VirtualTimeLoop()).dispatch_state
    state.apply_settings(LOCALITY, Bounds(retry_slack=56.0, retry_ratio=0.0))
    take_retries(state)
    for _ in range(100):
        state.record_request("reads")
    assert take_retries(state) == 0
    state.apply_settings(LOCALITY, Bounds(retry_slack=56.0, retry_ratio=0.2))
    for _ in range(100):
        state.record_request("reads")
    assert 0 < take_retries(state) <= 20
