"""In a large fleet, tell the peers of the region at once where an object has probably become warm.

Load reports tell the same of each request, but later, and in a large fleet to some peers only. The
few that do not know it are enough to run an object at a second target, since any instance may get
the next request for it. Datagrams are lost, so that each announcement is sent twice.
"""

from __future__ import annotations

import asyncio

import msgspec

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.targets import TargetRegistry, TargetState, hash_target_id
from waxwingshelf.steering.warm_objects import hash_object_key

__all__ = ["OBJECT_TYPE", "ObjectAnnouncer", "ObjectSent"]

# Shorter than the first run, but not lost to the same burst of traffic.
_REPEAT_AFTER_S = 0.05
# The first byte of the datagram. Earlier builds ignore the type.
OBJECT_TYPE = b"o"


class ObjectSent(msgspec.Struct, array_like=True):
    """A request for an object was sent to a target; both are named by their hashes."""

    object_hash: int
    target_hash: int


_DECODER = msgspec.msgpack.Decoder(ObjectSent)


class ObjectAnnouncer:
    """Announce the objects that this instance sends without knowing that they are warm."""

    def __init__(
        self,
        peer_network: PeerNetwork,
        fleet: Fleet,
        targets: TargetRegistry,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._peer_network = peer_network
        self._fleet = fleet
        self._targets = targets
        self._clock = clock
        self._metrics = metrics
        peer_network.add_handler(OBJECT_TYPE, self._handle_object)

    def announce(self, state: TargetState, object_key: str) -> None:
        """In a large fleet, tell the region that a request for an object was sent to a target."""
        if not self._fleet.is_large():
            return
        message = ObjectSent(hash_object_key(object_key), hash_target_id(state.target.id))
        data = OBJECT_TYPE + msgspec.msgpack.encode(message)
        self._send(data)
        asyncio.get_running_loop().call_later(_REPEAT_AFTER_S, self._send, data)
        self._metrics.object_announcements.labels("sent").inc()

    def _send(self, data: bytes) -> None:
        for peer in self._fleet.list_region_peers():
            # The first builds, which do not know brief messages, get only what they read.
            if peer.brief:
                self._peer_network.send_to(peer.address, data)

    def _handle_object(self, data: memoryview) -> None:
        message = _DECODER.decode(data)
        objects = {message.object_hash: message.target_hash}
        self._targets.record_peer_objects(objects, self._clock.now_ms())
        self._metrics.object_announcements.labels("received").inc()
