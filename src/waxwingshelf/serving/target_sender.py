"""Send requests to targets directly, or through a peer while this instance reaches none."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.reachability_prober import ReachabilityProber
from waxwingshelf.serving.send_results import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamResponse,
)
from waxwingshelf.serving.upstream import ReportHandler, UpstreamClient, classify_response
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.targets import Target

__all__ = ["TargetSender"]

_MAX_PEERS_ASKED = 3


class TargetSender:
    """Choose the way on which a request reaches its target."""

    def __init__(
        self,
        upstream: UpstreamClient,
        prober: ReachabilityProber,
        fleet: Fleet,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._upstream = upstream
        self._prober = prober
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics

    def reaches_directly(self) -> bool:
        """Return whether all targets can be reached without a peer."""
        return not self._prober.has_lost_links

    def may_reach(self, allowed_regions: frozenset[str]) -> bool:
        """Return whether there is a way to send to targets in these regions; empty allows all."""
        if self._prober.may_send():
            return True
        return self._fleet.choose_relay(allowed_regions, set(), self._clock.now_ms()) is not None

    async def send(
        self,
        target: Target,
        request: OutgoingRequest,
        timeout_ms: int,
        allowed_regions: frozenset[str],
        handle_report: ReportHandler,
        may_still_send: Callable[[], bool],
    ) -> UpstreamResponse | SendFailure:
        """Send a request and return the target's response, or why there is none to forward.

        The request's body passes only through peers in `allowed_regions`; an empty set allows all.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        if self._prober.may_send():
            result = await self._upstream.send(
                target, request, timeout_ms, handle_report, may_still_send
            )
            if not isinstance(result, SendFailure):
                return result
            if result.kind is not FailureKind.NOT_CONNECTED:
                links_lost = result.kind.may_be_due_to_links and self._prober.has_lost_links
                return replace(result, links_lost=links_lost)
            if not await self._prober.are_links_lost():
                return result
        return await self._send_through_peers(
            target, request, deadline_ms, allowed_regions, handle_report, may_still_send
        )

    async def _send_through_peers(
        self,
        target: Target,
        request: OutgoingRequest,
        deadline_ms: int,
        allowed_regions: frozenset[str],
        handle_report: ReportHandler,
        may_still_send: Callable[[], bool],
    ) -> UpstreamResponse | SendFailure:
        asked: set[str] = set()
        detail = "no instance reaches the targets"
        while len(asked) < _MAX_PEERS_ASKED:
            now_ms = self._clock.now_ms()
            peer = self._fleet.choose_relay(allowed_regions, asked, now_ms)
            if peer is None or now_ms >= deadline_ms:
                break
            asked.add(peer.name)
            result = await self._upstream.fetch_through(
                peer, target, request, deadline_ms - now_ms, handle_report, may_still_send
            )
            result = classify_response(target, request, result)
            outcome = result.kind.value if isinstance(result, SendFailure) else "response"
            self._metrics.relays.labels("asked", outcome).inc()
            if not isinstance(result, SendFailure):
                return result
            detail = f"{peer.name}: {result.detail}"
            if not request.repeatable and result.kind.certainly_not_run:
                # The streamed body is used up.
                break
            if result.kind is not FailureKind.UNREACHABLE:
                return result
        return SendFailure(FailureKind.UNREACHABLE, target.id, detail)
