"""A dispatcher with copies, on virtual time, whose targets are simulated without sockets."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from multidict import CIMultiDict, CIMultiDictProxy

from tests.serving.virtual_time import VirtualTimeLoop
from waxwingshelf.platform.names import EXPECTED_TARGET_HEADER, ORGANISATION_HEADER
from waxwingshelf.platform.settings import Bounds
from waxwingshelf.serving.dispatch_state import DispatchState
from waxwingshelf.serving.dispatcher import Dispatcher
from waxwingshelf.serving.exchange import Exchange
from waxwingshelf.serving.hedged_sender import CopyConditions, HedgedSender
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.rate_limiter import Admission
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.send_results import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamResponse,
)
from waxwingshelf.steering.attempts import Attempts
from waxwingshelf.steering.config import RouteKind, RouteRule
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.limits import RateBucket
from waxwingshelf.steering.placement import Locality
from waxwingshelf.steering.refusals import Refusal
from waxwingshelf.steering.regional_demand import RegionalDemand
from waxwingshelf.steering.response_room import ResponseRoom, compute_budget_bytes
from waxwingshelf.steering.targets import Target

OBJECTIVE_MS, TIMEOUT_MS = 300, 4_000
WORK_MS = 100
RATIO = 0.2


@dataclass
class FakeTarget:
    """A target that answers after `work_ms`, or ten times that for a share of the requests.

    `sent` and `cancelled` list the ids of requests.
    """

    work_ms: float = WORK_MS
    result: int | FailureKind = 200
    connect_ms: int = 0
    stalled_ratio: float = 0.0
    sent: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    running: int = 0


class FakeSender:
    """Stands for the connections to targets."""

    def __init__(self, targets: dict[str, FakeTarget]) -> None:
        self.targets = targets
        self.direct = True
        self.outgoing: list[OutgoingRequest] = []
        self._rng = random.Random(5)

    def reaches_directly(self) -> bool:
        return self.direct

    def may_reach(self, allowed_regions: frozenset[str]) -> bool:
        return True

    async def send(
        self, target, request, timeout_ms, allowed_regions, handle_report, may_still_send
    ) -> UpstreamResponse | SendFailure:
        fake = self.targets[target.id]
        assert request.headers[EXPECTED_TARGET_HEADER] == target.id
        await asyncio.sleep(fake.connect_ms / 1_000)
        if not may_still_send():
            return SendFailure(FailureKind.WITHDRAWN, target.id, "")
        if fake.result is FailureKind.NOT_CONNECTED:
            return SendFailure(fake.result, target.id, "")
        fake.sent.append(request.request_id)
        self.outgoing.append(request)
        fake.running += 1
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await asyncio.sleep(self._choose_work_ms(fake) / 1_000)
        except TimeoutError:
            return SendFailure(FailureKind.TIMEOUT, target.id, "")
        except asyncio.CancelledError:
            fake.cancelled.append(request.request_id)
            raise
        finally:
            fake.running -= 1
        if isinstance(fake.result, FailureKind):
            return SendFailure(fake.result, target.id, "")
        headers = CIMultiDictProxy(CIMultiDict({"Attempt-Id": request.request_id}))
        return UpstreamResponse(target.id, fake.result, headers, b"")

    def _choose_work_ms(self, fake: FakeTarget) -> float:
        is_stalled = self._rng.random() < fake.stalled_ratio
        return fake.work_ms * (10 if is_stalled else 1)


class NoCrashes:
    """No request crashes targets, and none is under quarantine."""

    async def wait_for_verdict(self, fingerprint: str, deadline_ms: int) -> None:
        pass

    async def try_begin_trial(self, fingerprint: str) -> bool:
        return False

    def return_trial(self, fingerprint: str) -> None:
        raise AssertionError("no trial was begun")


class HedgingWorld:
    """One instance and its simulated targets."""

    def __init__(
        self, loop: VirtualTimeLoop, count: int = 7, slots: int = 6, ratio: float = RATIO
    ) -> None:
        self.loop = loop
        self.metrics = Metrics()
        fleet = Fleet("n0", loop.now_ms(), "north")
        self.routing_state = RoutingState(loop, fleet)
        self.targets = {f"t{number}": FakeTarget() for number in range(count)}
        for name in self.targets:
            target = Target(name, "reads", "h", 1, "north-1", "", slots, False, 0, 0)
            self.routing_state.targets.put(target, loop.now_ms())
        locality = Locality("north", "north-1", {"north-1": "north"})
        bounds = Bounds(retry_slack=1_000.0)
        self.dispatch_state = DispatchState(
            "n0",
            locality,
            bounds,
            self.routing_state,
            fleet,
            loop,
            self.metrics,
            ResponseRoom(compute_budget_bytes(0)),
            RegionalDemand("north"),
        )
        self.sender = FakeSender(self.targets)
        self.suspected: set[str] = set()
        self.rate_tokens: list[str] = []
        self.rate_is_used_up = False
        self.rate_bucket: RateBucket | None = None
        self.hedged_sender = HedgedSender(
            ratio,
            self.dispatch_state,
            CopyConditions(
                self.sender.reaches_directly,
                lambda target, fingerprint: bool(self.suspected & {target.id, fingerprint}),
                self._acquire_rate,
            ),
            loop,
            self.metrics,
        )
        self.dispatcher = Dispatcher(
            self.routing_state,
            self.dispatch_state,
            self.sender,
            NoCrashes(),
            loop,
            self.metrics,
            self.hedged_sender,
        )
        self._numbers = itertools.count()
        self.elapsed_ms: dict[str, int] = {}

    async def _acquire_rate(self, organisation: str) -> Admission:
        self.rate_tokens.append(organisation)
        if self.rate_bucket is not None:
            return Admission(self.rate_bucket.try_acquire(self.loop.now_ms()), 0, self.rate_bucket)
        return Admission(not self.rate_is_used_up)

    def make_exchange(
        self, kind: RouteKind = RouteKind.SAFE, attempts: int = 3, key: str = ""
    ) -> Exchange:
        now_ms = self.loop.now_ms()
        request_id = f"q{next(self._numbers)}"
        route = RouteRule(
            "r", "h", "/", kind, (), OBJECTIVE_MS, TIMEOUT_MS, attempts, 0, sticky=bool(key)
        )
        headers = CIMultiDict({"Attempt-Id": request_id, ORGANISATION_HEADER: "acme"})
        outgoing = OutgoingRequest(
            "GET", "/", headers, None, request_id, now_ms + TIMEOUT_MS, route.idempotent
        )
        outgoing.fingerprint = f"fingerprint of {request_id}"
        return Exchange(
            request_id,
            route,
            "reads",
            key or request_id,
            0,
            now_ms,
            now_ms + OBJECTIVE_MS,
            now_ms + TIMEOUT_MS,
            now_ms + TIMEOUT_MS,
            frozenset(),
            outgoing,
            Attempts(route.idempotent, attempts),
        )

    async def dispatch(self, exchange: Exchange) -> UpstreamResponse | Refusal:
        started_ms = self.loop.now_ms()
        self.dispatch_state.record_request(exchange.service)
        result = await self.dispatcher.dispatch(exchange)
        self.elapsed_ms[exchange.id] = self.loop.now_ms() - started_ms
        return result

    async def warm_up(self, requests: int = 100) -> None:
        """Answer requests one by one, so that durations are known and tokens are there."""
        for _ in range(requests):
            result = await self.dispatch(self.make_exchange())
            assert isinstance(result, UpstreamResponse)
        for target in self.targets.values():
            target.sent.clear()

    def set_all(self, set_field: Callable[[FakeTarget], None]) -> None:
        for target in self.targets.values():
            set_field(target)

    def find_first(self, exchange: Exchange) -> str:
        """Return the target that the request is sent to first while all are idle."""
        states = self.dispatch_state.placer._rank("reads", exchange.object_key, True, False)
        return states[0].target.id

    def list_sent(self, exchange: Exchange) -> list[str]:
        return [name for name, target in self.targets.items() if exchange.id in target.sent]

    def count(self, result: str) -> int:
        return int(self.metrics.hedges.labels(result)._value.get())

    def check_nothing_in_flight(self) -> None:
        for state in self.routing_state.targets.list_usable("reads"):
            assert not state.in_flight
