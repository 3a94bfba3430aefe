"""Admit requests within their organisation's rate limit.

In a small fleet each instance holds a share of the rate and decides locally. In a large fleet such
a share would be less than one token per second, so one instance of each region, the rate owner,
holds the region's share. The other instances request a token from it for each request, which costs
a round trip within the region. The owners report their demand to each other; see `steering.owners`.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Collection

import msgspec
import structlog
from msgspec.structs import replace

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
    OwnerRankings,
    OwnerReport,
    OwnerReports,
    list_candidate_owners,
    rank_owners,
)

__all__ = ["Admission", "RateLimiter"]

_REPORT_TYPE = b"r"
_SUSPECT_DURATION_MS = 1_000
_RETRY_AFTER_MS = 200
_UPDATE_INTERVAL_S = 0.25
_log = structlog.get_logger("rate_limiter")


class Admission(msgspec.Struct, frozen=True):
    """Whether a request is admitted; `bucket` gets the token back if the request does not run."""

    granted: bool
    wait_ms: int = 0
    bucket: RateBucket | None = None


_REPORT_DECODER = msgspec.msgpack.Decoder(OwnerReport)


class RateLimiter:
    """Acquire tokens from the local buckets or from a rate owner."""

    def __init__(
        self,
        demand_tracker: DemandTracker,
        fleet: Fleet,
        owner_reports: OwnerReports,
        routing_state: RoutingState,
        peer_network: PeerNetwork,
        clock: Clock,
    ) -> None:
        self._demand_tracker = demand_tracker
        self._fleet = fleet
        self._owner_reports = owner_reports
        self._routing_state = routing_state
        self._peer_network = peer_network
        self._clock = clock
        self._boot = clock.wall_ms()
        # 0 stands for no report in acks.
        self._report_numbers = itertools.count(1)
        self._rankings = OwnerRankings()
        # The version of the fleet from which the candidate owners were taken.
        self._ranked_version = -1
        self._connections: dict[PeerAddress, OwnerConnection] = {}
        self._token_server = TokenServer(self._handle_request)
        self._suspect_until_ms: dict[str, int] = {}
        peer_network.add_handler(_REPORT_TYPE, self._handle_report)
        peer_network.on_shares_updated = self._send_report

    async def run(self) -> None:
        """Update the candidate owners, until cancelled."""
        while True:
            self._owner_reports.remove_unresponsive(self._clock.now_ms())
            self._refresh_candidate_owners()
            self._close_stale_connections()
            await asyncio.sleep(_UPDATE_INTERVAL_S)

    async def acquire(self, rule: OrganisationRule) -> Admission:
        """Acquire a token of an organisation's rate, locally or from its rate owner."""
        if not self._fleet.is_large():
            return self._acquire_locally(rule)
        now_ms = self._clock.now_ms()
        for owner in self._list_owners(rule.name):
            if owner.name == self._peer_network.address.name:
                return self._acquire_locally(rule)
            if now_ms < self._suspect_until_ms.get(owner.name, 0):
                continue
            response = await self._request_token(owner, rule.name)
            if response is not None:
                return Admission(response.granted, response.wait_ms)
            self._suspect_until_ms[owner.name] = self._clock.now_ms() + _SUSPECT_DURATION_MS
            _log.info("rate_owner_silent", organisation=rule.name, peer=owner.name)
        return Admission(self._demand_tracker.try_acquire_fallback(rule), _RETRY_AFTER_MS)

    async def acquire_for(self, organisation: str) -> Admission:
        """Acquire a token of the rate of the organisation with this name, if it has one."""
        config = self._routing_state.config
        rule = config.organisations.get(organisation) if config is not None else None
        if rule is None or rule.rate_per_s <= 0:
            return Admission(True)
        return await self.acquire(rule)

    def _acquire_locally(self, rule: OrganisationRule) -> Admission:
        bucket = self._demand_tracker.try_acquire(rule)
        if bucket is not None:
            return Admission(True, bucket=bucket)
        return Admission(False, self._demand_tracker.get_or_create_bucket(rule).compute_wait_ms())

    def _list_owners(self, organisation: str) -> list[PeerAddress]:
        """Return the rate owner in this region, then the instance to ask if it does not respond."""
        self._refresh_candidate_owners()
        region = self._peer_network.address.region
        ranked = self._rankings.rank(region, organisation)
        available = [address for address in ranked if self._is_available(address)]
        if not available:
            # No candidate owner is available; choose from all available instances of the region.
            available = rank_owners(organisation, self._list_available_in_region())
        return available[:MAX_OWNERS_ASKED] or [self._peer_network.address]

    def _list_owned(self, organisations: Collection[str]) -> list[str]:
        """Return the organisations whose rates this instance owns."""
        own = self._peer_network.address
        available = {
            address.name
            for address in self._rankings.get_candidates(own.region)
            if self._is_available(address)
        }
        if not available:
            return [name for name in organisations if self._list_owners(name)[0] == own]
        if own.name not in available:
            return []
        return [
            name
            for name in organisations
            if self._find_first(self._rankings.rank(own.region, name), available) == own.name
        ]

    def _find_first(self, ranked: list[PeerAddress], available: Collection[str]) -> str:
        return next(address.name for address in ranked if address.name in available)

    def _list_available_in_region(self) -> list[PeerAddress]:
        addresses = self._list_region(self._peer_network.address.region)
        return [address for address in addresses if self._is_available(address)]

    def _is_available(self, address: PeerAddress) -> bool:
        if address.name == self._peer_network.address.name:
            return self._peer_network.ready
        return self._fleet.may_be_available(address.name, self._clock.now_ms())

    def _list_region(self, region: str) -> list[PeerAddress]:
        addresses = self._fleet.list_in_region(region)
        if region == self._peer_network.address.region:
            addresses.append(self._peer_network.address)
        return addresses

    def _refresh_candidate_owners(self) -> None:
        """Choose the candidate owners again if the instances have changed."""
        if self._ranked_version == self._fleet.version:
            return
        self._ranked_version = self._fleet.version
        for region in self._fleet.list_regions():
            candidates = list_candidate_owners(self._list_region(region))
            self._rankings.set_candidates(region, candidates)

    def _close_stale_connections(self) -> None:
        """Close the connections to owners that are lost or have changed their address."""
        for owner in list(self._connections):
            if self._fleet.find_address(owner.name) != owner:
                self._connections.pop(owner).close()

    def _send_report(self) -> None:
        """In a large fleet, report this instance's demand to the other owners."""
        if not self._fleet.is_large():
            return
        demand = self._demand_tracker.list_demand_rates()
        config = self._routing_state.config
        owned = self._list_owned(config.organisations if config else ())
        self._demand_tracker.record_owned(owned)
        for organisation in owned:
            demand.setdefault(organisation, 0.0)
        own = self._peer_network.address
        number = next(self._report_numbers)
        report = OwnerReport(own.name, own.region, self._boot, number, demand)
        self._owner_reports.record_sent_report(report, self._clock.now_ms())
        for address in self._list_other_owners(set(demand)):
            addressed = replace(report, ack=self._owner_reports.get_ack(address.name))
            self._peer_network.send_to(address, _REPORT_TYPE + msgspec.msgpack.encode(addressed))

    def _list_other_owners(self, organisations: set[str]) -> list[PeerAddress]:
        """Return the other instances that own these rates or have reported demand for them."""
        others: dict[str, PeerAddress] = {}
        for region in self._rankings.list_regions():
            for organisation in organisations:
                for owner in self._rankings.rank(region, organisation)[:1]:
                    others[owner.name] = owner
        for name in self._owner_reports.list_reporters(organisations):
            address = self._fleet.find_address(name)
            if address is not None:
                others[name] = address
        others.pop(self._peer_network.address.name, None)
        return list(others.values())

    async def _request_token(self, owner: PeerAddress, organisation: str) -> TokenResponse | None:
        connection = self._connections.get(owner)
        if connection is None:
            connection = OwnerConnection(owner.host, owner.rate_port, self._clock)
            self._connections[owner] = connection
        return await connection.request_token(organisation)

    def _handle_report(self, data: memoryview) -> None:
        self._owner_reports.record_received_report(
            _REPORT_DECODER.decode(data), self._clock.now_ms()
        )

    def _handle_request(self, request: TokenRequest) -> TokenResponse:
        """Acquire a token for another instance; refuse if the organisation is not configured."""
        config = self._routing_state.config
        rule = config.organisations.get(request.organisation) if config else None
        if rule is None:
            return TokenResponse(request.number, False, _RETRY_AFTER_MS)
        admission = self._acquire_locally(rule)
        return TokenResponse(request.number, admission.granted, admission.wait_ms)

    async def listen(self) -> asyncio.Server:
        """Start a server for the token requests of other instances."""
        address = self._peer_network.address
        return await asyncio.start_server(self._token_server.serve, address.host, address.rate_port)

    def close(self) -> None:
        """Close the connections from other instances and to rate owners."""
        self._token_server.close()
        for connection in self._connections.values():
            connection.close()
