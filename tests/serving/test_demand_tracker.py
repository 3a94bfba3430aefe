"""Rate limits of a large fleet while no rate owner responds."""

from waxwingshelf.core.clock import ManualClock
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.steering.config import OrganisationRule
from waxwingshelf.steering.fleet import Fleet, PeerAddress
from waxwingshelf.steering.owners import OwnerReports

INSTANCE_COUNT = 76


def test_without_an_owner_all_instances_together_admit_little_of_the_rate() -> None:
    """Replay the requests of a high-demand organisation while no owner responds for 5 seconds."""
    clock = ManualClock()
    rule = OrganisationRule("o", (), None, 160.0, 160.0)
    fleets = [Fleet(f"n{number}", 0, "north") for number in range(INSTANCE_COUNT)]
    for fleet in fleets:
        for number in range(INSTANCE_COUNT):
            address = PeerAddress(f"n{number}", "north", "d", "127.0.0.1", 1, 2, "x")
            fleet.record_registered(address)
    trackers = [DemandTracker(clock, fleet, OwnerReports("n", "north"), 20.0) for fleet in fleets]
    admitted = 0
    for _ in range(50):
        clock.advance(100)
        admitted += sum(tracker.try_acquire_fallback(rule) for tracker in trackers)
    # Each bucket starts full and holds at least one token.
    assert admitted <= 5 * 160 * 0.1 + 160 * 0.1 + INSTANCE_COUNT
