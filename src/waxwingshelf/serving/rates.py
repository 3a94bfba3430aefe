"""Admit requests by their organisation's rate.

In a small fleet each instance keeps a part of the rate by itself. In a large one a part would be
less than a token a second, so one instance of each region keeps the region's part for all of them
and is asked for each request, which costs a round trip within the region.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from dataclasses import dataclass

import msgspec
import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.beliefs import Beliefs
from waxwingshelf.serving.demand import Demand
from waxwingshelf.serving.peers import PeerLink
from waxwingshelf.steering.config import OrganisationRule
from waxwingshelf.steering.fleet import Fleet, PeerAddress
from waxwingshelf.steering.limits import RateBucket

__all__ = ["Admission", "RateDesk"]

ASK_MARK = b"a"
GRANT_MARK = b"g"
# Datagrams are lost when a link is full; the owner knows an ask that comes again.
_ASKS = 4
_ASK_TIMEOUT_S = 0.05
_GRANTS_KEPT = 4_096
_SUSPECT_MS = 1_000
_RETRY_MS = 200
_log = structlog.get_logger("rates")


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may go on; `bucket` takes its token back when it has not run."""

    granted: bool
    wait_ms: int = 0
    bucket: RateBucket | None = None


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the owner for one token."""

    name: str
    number: int
    organisation: str


@dataclass(frozen=True, slots=True)
class Grant:
    """The owner's answer."""

    number: int
    granted: bool
    wait_ms: int


_ASK_DECODER = msgspec.msgpack.Decoder(Ask)
_GRANT_DECODER = msgspec.msgpack.Decoder(Grant)


class RateDesk:
    """Take tokens here or at the owner."""

    def __init__(
        self, demand: Demand, fleet: Fleet, beliefs: Beliefs, link: PeerLink, clock: Clock
    ) -> None:
        self._demand = demand
        self._fleet = fleet
        self._beliefs = beliefs
        self._link = link
        self._clock = clock
        # Numbers of an earlier life of this process must not meet answers that are kept.
        self._numbers = itertools.count(clock.wall_ms())
        self._open: dict[int, asyncio.Future[Grant]] = {}
        self._suspects: dict[str, int] = {}
        self._given: OrderedDict[tuple[str, int], Grant] = OrderedDict()
        link.add_handler(ASK_MARK, self._take_ask)
        link.add_handler(GRANT_MARK, self._take_grant)

    async def take(self, rule: OrganisationRule) -> Admission:
        """Take a token of an organisation's rate."""
        if not self._fleet.is_large():
            return self._take_here(rule)
        owner = self._find_owner(rule.name)
        if owner is None:
            return self._take_here(rule)
        grant = await self._ask(owner, rule.name)
        if grant is None:
            self._suspects[owner.name] = self._clock.now_ms() + _SUSPECT_MS
            _log.info("rate_owner_silent", organisation=rule.name, peer=owner.name)
            return Admission(self._demand.take_without_owner(rule), _RETRY_MS)
        return Admission(grant.granted, grant.wait_ms)

    def _take_here(self, rule: OrganisationRule) -> Admission:
        bucket = self._demand.take(rule)
        if bucket is not None:
            return Admission(True, bucket=bucket)
        return Admission(False, self._demand.find_bucket(rule).find_wait_ms())

    def _find_owner(self, organisation: str) -> PeerAddress | None:
        """Return the owner in this region, None when it is this instance."""
        now_ms = self._clock.now_ms()
        suspects = {name for name, until_ms in self._suspects.items() if now_ms < until_ms}
        return self._fleet.find_rate_owner(organisation, suspects, now_ms)

    async def _ask(self, owner: PeerAddress, organisation: str) -> Grant | None:
        number = next(self._numbers)
        future: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        self._open[number] = future
        ask = Ask(self._link.address.name, number, organisation)
        data = ASK_MARK + msgspec.msgpack.encode(ask)
        try:
            for _ in range(_ASKS):
                self._link.send_to(owner, data)
                done, _ = await asyncio.wait([future], timeout=_ASK_TIMEOUT_S)
                if done:
                    return future.result()
            return None
        finally:
            del self._open[number]

    def _take_ask(self, data: memoryview) -> None:
        ask = _ASK_DECODER.decode(data)
        given = self._given.get((ask.name, ask.number))
        if given is None:
            given = self._decide(ask)
        asker = self._fleet.find_address(ask.name)
        if asker is not None and given is not None:
            self._link.send_to(asker, GRANT_MARK + msgspec.msgpack.encode(given))

    def _decide(self, ask: Ask) -> Grant | None:
        """Take a token for a new ask, and keep the answer for when it is asked again."""
        config = self._beliefs.config
        rule = config.organisations.get(ask.organisation) if config else None
        if rule is None:
            return None
        admission = self._take_here(rule)
        grant = Grant(ask.number, admission.granted, admission.wait_ms)
        self._given[(ask.name, ask.number)] = grant
        if len(self._given) > _GRANTS_KEPT:
            self._given.popitem(last=False)
        return grant

    def _take_grant(self, data: memoryview) -> None:
        grant = _GRANT_DECODER.decode(data)
        future = self._open.get(grant.number)
        if future is not None and not future.done():
            future.set_result(grant)
