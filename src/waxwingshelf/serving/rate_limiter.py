"""Admit requests by their organisation's rate.

In a small fleet each instance keeps a part of the rate by itself. In a large one a part would be
less than a token a second, so one instance of each region keeps the region's part for all of them
and is asked for each request, which costs a round trip within the region. The owners tell each
other what they are asked for; see `steering.owners`.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

import msgspec
import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.demand_tracker import DemandTracker
from waxwingshelf.serving.peers import PeerNetwork
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.token_requests import (
    OwnerConnection,
    TokenRequest,
    TokenResponse,
    TokenServer,
)
from waxwingshelf.steering.config import OrganisationRule
from waxwingshelf.steering.fleet import Fleet, PeerAddress
from waxwingshelf.steering.limits import RateBucket
from waxwingshelf.steering.owners import (
    MAX_OWNERS_ASKED,
    OwnerReport,
    OwnerReports,
    list_candidate_owners,
    rank_owners,
)

__all__ = ["Admission", "RateLimiter"]

_REPORT_MARK = b"r"
_SUSPECT_MS = 1_000
_RETRY_MS = 200
_REPORT_S = 0.25
_log = structlog.get_logger("rates")


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may go on; `bucket` takes its token back when it has not run."""

    granted: bool
    wait_ms: int = 0
    bucket: RateBucket | None = None


_REPORT_DECODER = msgspec.msgpack.Decoder(OwnerReport)


class RateLimiter:
    """Take tokens here or at the owner."""

    def __init__(
        self,
        demand: DemandTracker,
        fleet: Fleet,
        owners: OwnerReports,
        routing_state: RoutingState,
        peer_network: PeerNetwork,
        clock: Clock,
    ) -> None:
        self._demand = demand
        self._fleet = fleet
        self._owners = owners
        self._routing_state = routing_state
        self._peer_network = peer_network
        self._clock = clock
        self._boot = clock.wall_ms()
        self._report_numbers = itertools.count()
        self._panels: dict[str, list[PeerAddress]] = {}
        self._connections: dict[PeerAddress, OwnerConnection] = {}
        self._server = TokenServer(self._decide)
        self._suspects: dict[str, int] = {}
        peer_network.add_handler(_REPORT_MARK, self._take_report)

    async def run(self) -> None:
        """Tell the other owners what this one is asked for, for ever."""
        while True:
            self._owners.remove_unresponsive(self._clock.now_ms())
            self._find_panels()
            self._drop_connections()
            if self._fleet.is_large():
                self._report()
            await asyncio.sleep(_REPORT_S)

    async def acquire(self, rule: OrganisationRule) -> Admission:
        """Take a token of an organisation's rate."""
        if not self._fleet.is_large():
            return self._take_here(rule)
        now_ms = self._clock.now_ms()
        for owner in self._list_owners(rule.name):
            if owner.name == self._peer_network.address.name:
                return self._take_here(rule)
            if now_ms < self._suspects.get(owner.name, 0):
                continue
            grant = await self._ask(owner, rule.name)
            if grant is not None:
                return Admission(grant.granted, grant.wait_ms)
            self._suspects[owner.name] = self._clock.now_ms() + _SUSPECT_MS
            _log.info("rate_owner_silent", organisation=rule.name, peer=owner.name)
        return Admission(self._demand.acquire_fallback(rule), _RETRY_MS)

    def _take_here(self, rule: OrganisationRule) -> Admission:
        bucket = self._demand.acquire(rule)
        if bucket is not None:
            return Admission(True, bucket=bucket)
        return Admission(False, self._demand.get_or_create_bucket(rule).compute_wait_ms())

    def _list_owners(self, organisation: str) -> list[PeerAddress]:
        """Return the owner in this region, and who is asked when it is silent."""
        region = self._peer_network.address.region
        # Those of the panel first; whoever is there when all of them are gone.
        for group in (self._panels.get(region, []), self._list_region(region)):
            candidates = [address for address in group if self._is_candidate(address)]
            if candidates:
                return rank_owners(organisation, candidates)[:MAX_OWNERS_ASKED]
        return [self._peer_network.address]

    def _owns(self, organisation: str) -> bool:
        return self._list_owners(organisation)[0].name == self._peer_network.address.name

    def _is_candidate(self, address: PeerAddress) -> bool:
        if address.name == self._peer_network.address.name:
            return self._peer_network.ready
        return self._fleet.is_available(address.name, self._clock.now_ms())

    def _list_region(self, region: str) -> list[PeerAddress]:
        addresses = self._fleet.list_in_region(region)
        if region == self._peer_network.address.region:
            addresses.append(self._peer_network.address)
        return addresses

    def _find_panels(self) -> None:
        for region in self._fleet.list_regions():
            self._panels[region] = list_candidate_owners(self._list_region(region))

    def _drop_connections(self) -> None:
        """Let go of instances that are gone."""
        for owner in list(self._connections):
            if self._fleet.find_address(owner.name) != owner:
                self._connections.pop(owner).close()

    def _report(self) -> None:
        demand = self._demand.list_demand_rates()
        config = self._routing_state.config
        for organisation in config.organisations if config else ():
            if organisation not in demand and self._owns(organisation):
                demand[organisation] = 0.0
        self._owners.record_sent_report(demand)
        if not demand:
            return
        own = self._peer_network.address
        number = next(self._report_numbers)
        report = OwnerReport(own.name, own.region, self._boot, number, demand)
        data = _REPORT_MARK + msgspec.msgpack.encode(report)
        for address in self._list_other_owners(set(demand)):
            self._peer_network.send_to(address, data)

    def _list_other_owners(self, organisations: set[str]) -> list[PeerAddress]:
        """Return who owns these organisations elsewhere, or is asked for them too."""
        others: dict[str, PeerAddress] = {}
        for panel in self._panels.values():
            for organisation in organisations:
                for owner in rank_owners(organisation, panel)[:1]:
                    others[owner.name] = owner
        for name in self._owners.list_reporters(organisations):
            address = self._fleet.find_address(name)
            if address is not None:
                others[name] = address
        others.pop(self._peer_network.address.name, None)
        return list(others.values())

    async def _ask(self, owner: PeerAddress, organisation: str) -> TokenResponse | None:
        connection = self._connections.get(owner)
        if connection is None:
            connection = OwnerConnection(owner.host, owner.rate_port, self._clock)
            self._connections[owner] = connection
        return await connection.ask(organisation)

    def _take_report(self, data: memoryview) -> None:
        self._owners.record_report(_REPORT_DECODER.decode(data), self._clock.now_ms())

    def _decide(self, ask: TokenRequest) -> TokenResponse:
        """Take a token for another instance; one that knows no such organisation grants none."""
        config = self._routing_state.config
        rule = config.organisations.get(ask.organisation) if config else None
        if rule is None:
            return TokenResponse(ask.number, False, _RETRY_MS)
        admission = self._take_here(rule)
        return TokenResponse(ask.number, admission.granted, admission.wait_ms)

    async def listen(self) -> asyncio.Server:
        """Take asks from other instances."""
        address = self._peer_network.address
        return await asyncio.start_server(self._server.serve, address.host, address.rate_port)

    def close(self) -> None:
        """Let go of all connections."""
        self._server.close()
        for connection in self._connections.values():
            connection.close()
