"""Which instances a caller should use."""

from __future__ import annotations

import random
from dataclasses import dataclass

from waxwingshelf.core.manifest import Manifest
from waxwingshelf.core.membership import Membership, MemberState

__all__ = ["Candidate", "list_candidates", "order_candidates"]

_FAR_MS = 1_000.0


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
    """List the live instances that are not stopping; suspects come as not healthy."""
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
    """Order instances by health, distance from a region and chance.

    Chance among equals keeps the answers that callers cache from sending all to one instance. The
    second place goes to another failure domain than the first where there is one.
    """
    distances = manifest.regions[region].distance_ms if region in manifest.regions else {}

    def rate(candidate: Candidate) -> tuple[bool, float, float]:
        here = candidate.region == region
        distance = 0.0 if here else distances.get(candidate.region, _FAR_MS)
        return (not candidate.healthy, distance, rng.random())

    ordered = sorted(candidates, key=rate)
    for place in range(1, len(ordered)):
        if ordered[place].failure_domain != ordered[0].failure_domain:
            ordered.insert(1, ordered.pop(place))
            break
    return ordered[:limit]
