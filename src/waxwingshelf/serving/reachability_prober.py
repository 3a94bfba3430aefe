"""Probe targets when it is doubtful whether this instance reaches any."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

import structlog

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.client_sessions import SocketFactory
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.target_connections import TargetContact
from waxwingshelf.serving.target_probes import probe_targets
from waxwingshelf.serving.upstream import UpstreamClient
from waxwingshelf.steering.reachability import ProbeOutcome, Reach
from waxwingshelf.steering.targets import Target, TargetRegistry

__all__ = ["ReachabilityProber"]

_CHECK_INTERVAL_S = 0.1
_MAX_PROBES = 4
_log = structlog.get_logger("reachability")


class ReachabilityProber:
    """Decide by connections to a few targets whether the links to all of them are lost."""

    def __init__(
        self,
        contact: TargetContact,
        upstream: UpstreamClient,
        targets: TargetRegistry,
        open_socket: SocketFactory,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._contact = contact
        self._reachability = contact.reachability
        self._upstream = upstream
        self._targets = targets
        self._open_socket = open_socket
        self._clock = clock
        self._metrics = metrics
        self._rng = random.Random()
        self._round: asyncio.Task[None] | None = None
        self._announced = self._reachability.reach
        self._lost_at_ms = 0
        self.on_changed: Callable[[], None] = lambda: None
        contact.on_failed = self.check

    async def run(self) -> None:
        """Check periodically whether targets must be probed, until cancelled."""
        try:
            while True:
                self.check()
                await asyncio.sleep(_CHECK_INTERVAL_S)
        finally:
            if self._round is not None:
                self._round.cancel()

    def check(self) -> None:
        """Begin a round of probes if one is needed and none is in progress."""
        if self._round is not None:
            return
        self._announce_change()
        in_flight, oldest_ms = self._upstream.measure_in_flight()
        if self._reachability.needs_probes(in_flight, oldest_ms, self._clock.now_ms()):
            self._round = asyncio.create_task(self._run_round())

    @property
    def has_lost_links(self) -> bool:
        """Return whether no connection to any target can be opened."""
        return not self._reachability.may_open()

    def may_send(self) -> bool:
        """Return whether a request may be sent to a target directly."""
        return self._reachability.may_send(self._clock.now_ms())

    async def are_links_lost(self) -> bool:
        """Return whether a failed connection is due to this instance's links, once it is known."""
        if self._round is not None and not self.has_lost_links:
            await asyncio.wait({self._round})
        return self.has_lost_links

    async def _run_round(self) -> None:
        try:
            outcomes = await probe_targets(self._choose_targets(), self._open_socket)
            self._reachability.record_probes(outcomes, self._clock.now_ms())
        finally:
            self._round = None
        reach = self._reachability.reach
        if reach is not Reach.FULL:
            self._upstream.abandon_stuck(including_sent=reach is Reach.NONE)
        self._announce_change(outcomes)

    def _announce_change(self, outcomes: Collection[ProbeOutcome] = ()) -> None:
        reach, before = self._reachability.reach, self._announced
        if reach is before:
            return
        self._announced = reach
        self._metrics.target_reach.set(reach is Reach.FULL)
        now_ms = self._clock.now_ms()
        if reach is Reach.FULL:
            _log.info("targets_reachable", after_ms=now_ms - self._lost_at_ms)
        else:
            if before is Reach.FULL:
                self._lost_at_ms = now_ms
            _log.warning(
                "targets_unreachable",
                reach=reach.value,
                probes=[outcome.value for outcome in outcomes],
                silence_ms=self._contact.compute_silence_ms(),
                in_flight=self._upstream.measure_in_flight()[0],
            )
        self.on_changed()

    def _choose_targets(self) -> list[Target]:
        """Return a few random targets, in as many failure domains as possible."""
        by_domain: dict[str, list[Target]] = {}
        for state in self._targets.list_accepting(self._clock.now_ms()):
            by_domain.setdefault(state.target.failure_domain, []).append(state.target)
        groups = list(by_domain.values())
        for group in groups:
            self._rng.shuffle(group)
        self._rng.shuffle(groups)
        chosen: list[Target] = []
        while groups and len(chosen) < _MAX_PROBES:
            chosen += [group.pop() for group in groups]
            groups = [group for group in groups if group]
        return chosen[:_MAX_PROBES]
