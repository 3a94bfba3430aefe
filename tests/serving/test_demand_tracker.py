"""Rate limits of a large fleet while no rate owner responds, and the log of shares."""

from types import SimpleNamespace

import pytest
from structlog.testing import capture_logs

from waxwingshelf.core.clock import ManualClock
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.steering.config import OrganisationRule
from waxwingshelf.steering.fleet import Fleet, Heartbeat, PeerAddress
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


def test_share_is_logged_with_its_inputs_when_it_changes() -> None:
    clock = ManualClock()
    rule = OrganisationRule("o", (), None, 160.0, 160.0)
    fleet = Fleet("n0", 0, "north")
    tracker = DemandTracker(clock, fleet, OwnerReports("n0", "north"), 20.0)
    tracker.try_acquire(rule)
    address = PeerAddress("n1", "north", "d", "127.0.0.1", 1, 2, "x")
    with capture_logs() as logs:
        for number in range(1, 9):
            fleet.record_heartbeat(
                Heartbeat(address, 1, number, True, 1, {"o": 50.0}), clock.now_ms()
            )
            clock.advance(250)
            tracker.update(SimpleNamespace(config=None))
    lines = [line for line in logs if line["event"] == "rate_share"]
    assert 0 < len(lines) < 8
    assert lines[0]["organisation"] == "o"
    assert lines[0]["peers_per_s"] == 50.0
    assert lines[0]["oldest_ms"] == 250
    assert lines[0]["silent_peers"] == 0


@pytest.mark.parametrize(
    ("pause_ms", "updates_after", "expected"), [(0, 0, 5), (3_000, 0, 1), (3_000, 2, 1)]
)
def test_owner_begins_with_what_it_gained_but_not_during_a_pause(
    pause_ms, updates_after, expected
) -> None:
    """A process that was paused would admit what another owner has admitted meanwhile."""
    clock = ManualClock()
    rule = OrganisationRule("o", (), None, 2.0, 100.0)
    fleet = Fleet("n0", 0, "north")
    for number in range(1, INSTANCE_COUNT):
        address = PeerAddress(f"n{number}", "north", "d", "127.0.0.1", 1, 2, "x")
        fleet.record_registered(address)
    tracker = DemandTracker(clock, fleet, OwnerReports("n0", "north"), 20.0)
    for _ in range(12):
        clock.advance(250)
        tracker.record_owned(["o"])
    clock.advance(pause_ms)
    for _ in range(updates_after):
        clock.advance(10)
        tracker.record_owned(["o"])
    admitted = sum(tracker.try_acquire(rule) is not None for _ in range(20))
    # 2 tokens a second for the 2.75 s since the first update, or the one that each owner has.
    assert admitted == expected


def test_organisation_that_comes_back_gets_no_second_burst() -> None:
    """Guards against a limit that is counted anew when changes remove and restore its rule."""
    clock = ManualClock()
    rule = OrganisationRule("o", (), None, 20.0, 20.0)
    tracker = DemandTracker(clock, Fleet("n0", 0, "north"), OwnerReports("n0", "north"), 20.0)
    clock.advance(10_000)
    admitted = 0
    for step in range(50):
        is_removed = step % 5 == 4
        if not is_removed:
            admitted += sum(tracker.try_acquire(rule) is not None for _ in range(40))
        organisations = {} if is_removed else {"o": rule}
        tracker.update(SimpleNamespace(config=SimpleNamespace(organisations=organisations)))
        clock.advance(100)
    # The platform's limit for these 5 seconds.
    assert admitted <= (20 * 5 + 20) * 1.1 + 20


def test_organisation_that_is_gone_for_good_is_forgotten() -> None:
    """Guards against tables that grow with each organisation that ever had a rule."""
    clock = ManualClock()
    tracker = DemandTracker(clock, Fleet("n0", 0, "north"), OwnerReports("n0", "north"), 20.0)
    tracker.try_acquire(OrganisationRule("o", (), None, 20.0, 20.0))
    first = tracker.get_or_create_bucket(OrganisationRule("o", (), None, 20.0, 20.0))
    for _ in range(120):
        tracker.update(SimpleNamespace(config=SimpleNamespace(organisations={})))
        clock.advance(1_000)
    assert tracker.get_or_create_bucket(OrganisationRule("o", (), None, 20.0, 20.0)) is not first
