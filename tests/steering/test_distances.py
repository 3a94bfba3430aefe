"""Large responses stay near, small ones are placed as before."""

import itertools

import pytest

from waxwingshelf.steering.distances import (
    ResponseSize,
    compute_distance_ms,
    compute_domain_weight,
)
from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.placement import Locality, Placement, PlacementRequest, Placer
from waxwingshelf.steering.targets import Target, TargetRegistry

REGIONS = {f"{region}-{number}": region for region in ("north", "east", "south") for number in "12"}
OBJECTIVE_MS, SLOTS, LINK_MBPS = 500, 3, 10.0
DOWNLOAD_BYTES = 300_000
EQUAL = dict.fromkeys(REGIONS, 6)
KEYS = [f"k{number}" for number in range(2_000)]


def make_placer(
    targets_by_domain: dict[str, int], domain: str = "north-1"
) -> tuple[TargetRegistry, Placer]:
    registry = TargetRegistry()
    for name, count in targets_by_domain.items():
        for number in range(count):
            target_id = f"{name}.{number}"
            registry.put(Target(target_id, "files", "h", 1, name, "", SLOTS, False, 0, 0), now_ms=0)
    return registry, Placer(Locality(REGIONS[domain], domain, REGIONS, LINK_MBPS), registry)


def choose(placer: Placer, key: str, download: bool, size: int = 0, **fields) -> Placement:
    request = PlacementRequest(
        "files",
        key,
        True,
        OBJECTIVE_MS,
        fields.pop("allowed_regions", frozenset()),
        frozenset(),
        RouteDurations(OBJECTIVE_MS),
        response_bytes=size,
        download=download,
        **fields,
    )
    return placer.choose(request, 0)[0]


def compute_own_fraction(targets_by_domain: dict[str, int], download: bool = True, **fields):
    """Return the fraction of objects whose target is in the own failure domain, north-1."""
    _, placer = make_placer(targets_by_domain)
    chosen = [choose(placer, key, download, **fields) for key in KEYS]
    own = sum(placement.state.target.failure_domain == "north-1" for placement in chosen)
    return own / len(KEYS)


@pytest.mark.parametrize(
    ("targets_by_domain", "min_fraction", "max_fraction"),
    [
        (EQUAL, 0.6, 0.85),
        # Twice the slots of the others, and half of them.
        (EQUAL | {"north-1": 12}, 0.6, 0.85),
        (EQUAL | {"north-1": 3}, 0.2, 0.48),
        (dict.fromkeys(("north-1", "north-2"), 6), 0.6, 0.85),
    ],
)
def test_downloads_stay_in_the_failure_domain_within_its_slots(
    targets_by_domain, min_fraction, max_fraction
) -> None:
    """Downloads went to all failure domains of the region alike.

    The upper bounds are 0.85 of the requests and, where that is less, 0.8 of the slots, with two
    parts in a hundred for the hash of 2,000 objects.
    """
    fraction = compute_own_fraction(targets_by_domain)
    assert min_fraction <= fraction <= max_fraction + 0.02
    assert fraction > compute_own_fraction(targets_by_domain, download=False)


def test_download_bound_to_its_region_still_leaves_the_failure_domain_at_times() -> None:
    fraction = compute_own_fraction(EQUAL, allowed_regions=frozenset({"north"}))
    assert 0.6 <= fraction <= 0.87


def test_region_with_few_slots_keeps_no_more_downloads_than_these_can_take() -> None:
    """A preference of a failure domain would have filled a small region beyond its slots."""
    small = EQUAL | {"north-1": 1, "north-2": 1, "east-1": 8, "east-2": 8}
    _, placer = make_placer(small)
    stayed = sum(
        REGIONS[choose(placer, key, True).state.target.failure_domain] == "north" for key in KEYS
    )
    total = sum(small.values())
    needed = total / 3
    assert stayed / len(KEYS) * needed <= 2 * 1.3


def test_all_instances_of_a_failure_domain_rank_downloads_alike() -> None:
    """Objects become warm at one target only if all instances choose the same."""
    first, second = make_placer(EQUAL)[1], make_placer(EQUAL)[1]
    for key in KEYS[:50]:
        chosen = {choose(placer, key, True).state.target.id for placer in (first, second)}
        assert len(chosen) == 1


def test_removed_target_moves_only_its_own_downloads() -> None:
    registry, placer = make_placer(dict.fromkeys(REGIONS, 12))
    before = {key: choose(placer, key, True).state.target.id for key in KEYS}
    registry.remove("north-1.3")
    after = {key: choose(placer, key, True).state.target.id for key in KEYS}
    moved = {key for key in KEYS if before[key] != after[key]}
    assert moved and all(before[key] == "north-1.3" for key in moved)


def test_small_reads_are_placed_as_without_sizes() -> None:
    """The target and cost of other routes must not change with their small responses."""
    _, placer = make_placer(EQUAL)
    for key in KEYS[:200]:
        plain, sized = choose(placer, key, False), choose(placer, key, False, size=8_000)
        assert sized.state is plain.state
        assert sized.cost_ms == plain.cost_ms


def test_far_target_needs_a_higher_gain_for_large_responses() -> None:
    """A busy near target was left for one in another region at a gain of 40 ms."""
    _, placer = make_placer({"north-1": 1, "south-1": 1})
    key = next(
        key for key in KEYS if choose(placer, key, True).state.target.failure_domain == "north-1"
    )
    registry, placer = make_placer({"north-1": 1, "south-1": 1})
    near, far = registry.get("north-1.0"), registry.get("south-1.0")
    assert near is not None and far is not None
    near.record_warm_object(key, 0)
    far.record_warm_object(key, 0)
    near.slowness = 1.3
    assert choose(placer, key, True).state is far
    assert choose(placer, key, True, size=DOWNLOAD_BYTES).state is near


@pytest.mark.parametrize(
    ("size", "link_mbps", "same_region", "expected_ms"),
    [
        (32_000, 5.0, False, 0.0),
        (300_000, 0.0, False, 0.0),
        (50_000, 10.0, False, 40.0),
        (50_000, 10.0, True, 20.0),
        (50_000, 100.0, False, 4.0),
        # A quarter of the latency objective is the maximum.
        (540_000, 5.0, False, 125.0),
    ],
)
def test_distance_costs_the_time_on_the_link(size, link_mbps, same_region, expected_ms) -> None:
    assert compute_distance_ms(size, link_mbps, OBJECTIVE_MS, same_region) == expected_ms


@pytest.mark.parametrize(
    "slots",
    [
        {"north-1": 6},
        {"north-2": 6},
        {},
        {"north-1": 6, "south-1": 6},
        {"other-1": 4, "north-1": 6},
    ],
)
def test_failure_domain_without_others_in_its_region_has_no_weight(slots) -> None:
    """The region's weight alone decides there; both would multiply."""
    assert compute_domain_weight(slots, REGIONS, "north-1") == 1.0


def test_failure_domain_that_the_settings_do_not_name_has_no_weight() -> None:
    """A file of settings that lacks it must not make each download fail."""
    slots = {"other-1": 6, "other-2": 6, "north-1": 6}
    assert compute_domain_weight(slots, REGIONS, "other-1") == 1.0
    assert compute_domain_weight(slots, {}, "north-1") == 1.0


def test_domain_weight_keeps_its_bounds_for_all_combinations_of_slots() -> None:
    for own, sibling, rest in itertools.product((1, 2, 5, 20, 100), repeat=3):
        slots = {"north-1": own, "north-2": sibling, "south-1": rest, "east-2": rest}
        weight = compute_domain_weight(slots, REGIONS, "north-1")
        assert weight >= 1.0 and weight.is_integer()
        if weight > 1.0:
            assert weight * own / (weight * own + sibling) <= 0.85


def test_usual_size_follows_the_responses() -> None:
    size = ResponseSize()
    size.record(400_000)
    assert size.mean_bytes == 400_000
    for _ in range(60):
        size.record(100_000)
    assert 100_000 < size.mean_bytes < 130_000
