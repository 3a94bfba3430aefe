"""Choose the instances that a caller should use."""

from __future__ import annotations

import random
from dataclasses import dataclass

from waxwingshelf.core.manifest import Manifest
from waxwingshelf.core.membership import Membership, MemberState

__all__ = ["Candidate", "list_candidates", "order_candidates"]

_UNKNOWN_DISTANCE_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may be offered to callers."""

    name: str
    region: str
    failure_domain: str
    host: str
    port: int
    healthy: bool = True


def list_candidates(membership: Membership, stopping: set[str]) -> list[Candidate]:
    """Return the live instances that are not stopping; suspects are marked as not healthy."""
    candidates = []
    for name in [membership.me.name, *membership.list_alive()]:
        record = membership.find(name)
        if record is None or name in stopping or record.stopping:
            continue
        if record.state == MemberState.LEFT:
            continue
        candidates.append(
            Candidate(
                name,
                record.region,
                record.failure_domain,
                record.host,
                record.port,
                record.state == MemberState.ALIVE,
            )
        )
    return candidates


def order_candidates(
    candidates: list[Candidate], manifest: Manifest, region: str, rng: random.Random, limit: int
) -> list[Candidate]:
    """Return up to `limit` instances by health, then distance from a region, then at random.

    The random order among equals prevents callers that cache the response from all using the same
    instance. The second instance is in another failure domain than the first if there is one.
    """
    distances = manifest.regions[region].distance_ms if region in manifest.regions else {}

    def sort_key(candidate: Candidate) -> tuple[bool, float, float]:
        is_local = candidate.region == region
        distance = 0.0 if is_local else distances.get(candidate.region, _UNKNOWN_DISTANCE_MS)
        return (not candidate.healthy, distance, rng.random())

    ordered = sorted(candidates, key=sort_key)
    for index in range(1, len(ordered)):
        if ordered[index].failure_domain != ordered[0].failure_domain:
            ordered.insert(1, ordered.pop(index))
            break
    return ordered[:limit]
