"""Take turns among peers when each message goes to a few of them only.

The load pattern that this answers: hundreds of instances in a region, each of which hears of the
others from heartbeats that go to eight peers at a time. With a random choice the time between two
heartbeats to the same peer has no bound, so that at any time some of the live instances seem to be
gone, others at each instance. With turns it is the same for all peers, as in SWIM (Das, Gupta and
Motivala, 2002), which probes its members in turn for this reason.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from waxwingshelf.steering.peer_reports import Peer

__all__ = ["PeerRotation"]


class PeerRotation:
    """An order of peers; each call takes the next ones, and begins again after the last."""

    __slots__ = ("_known", "_order", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._known: Sequence[Peer] = ()
        # The peers that have waited longest come first.
        self._order: list[Peer] = []

    def take(self, peers: Sequence[Peer], count: int) -> list[Peer]:
        """Return the `count` peers whose turn it is, or all if there are no more.

        `peers` may be the same object as before only if it has not changed.
        """
        if peers is not self._known:
            self._update(peers)
        taken = self._order[:count]
        self._order = self._order[count:] + taken
        return list(taken)

    def sample(self, peers: Sequence[Peer], count: int) -> list[Peer]:
        """Return `count` random peers, or all if there are no more."""
        return self._rng.sample(peers, min(count, len(peers)))

    def _update(self, peers: Sequence[Peer]) -> None:
        """Drop the peers that are gone, and add new ones at random places of the order."""
        by_name = {peer.address.name: peer for peer in peers}
        names = [peer.address.name for peer in self._order]
        self._order = [by_name.pop(name) for name in names if name in by_name]
        for peer in by_name.values():
            self._order.insert(self._rng.randrange(len(self._order) + 1), peer)
        self._known = peers
