"""Why a request gets no target, or none in time, before capacity is even looked for."""

from __future__ import annotations

import msgspec

from waxwingshelf.core.clock import Clock
from waxwingshelf.serving.dispatch_state import Attempt, DispatchState
from waxwingshelf.serving.exchange import Exchange, choose_retry_after_ms, refuse
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.serving.target_sender import TargetSender
from waxwingshelf.steering.durations import RouteDurations
from waxwingshelf.steering.placement import Placement
from waxwingshelf.steering.refusals import Refusal, RefusalReason, Step

__all__ = ["NoPlacement", "PlacementChecks"]


class NoPlacement(msgspec.Struct, frozen=True):
    """Why a request gets no target, and when it may come back."""

    reason: RefusalReason
    detail: str
    retry_after_ms: int

    def refuse(self, exchange: Exchange) -> Refusal:
        """Return the refusal of a request for this reason."""
        return refuse(exchange, self.reason, Step.PLACE, self.detail, self.retry_after_ms)


class PlacementChecks:
    """What forbids requests to be sent: quarantines, pauses, lost links, the end of the process."""

    def __init__(
        self,
        routing_state: RoutingState,
        dispatch_state: DispatchState,
        sender: TargetSender,
        clock: Clock,
    ) -> None:
        self._routing_state = routing_state
        self._dispatch_state = dispatch_state
        self._sender = sender
        self._clock = clock
        # When requests in progress are interrupted, once the process is being stopped.
        self._ends_at_ms: int | None = None

    @property
    def version(self) -> tuple[int, int, int]:
        """Return what changes whenever another answer may come from `find_obstacle`.

        It may also change while this instance depends on peers to reach targets, and with time.
        """
        targets = self._routing_state.targets
        return targets.version, targets.pauses, self._routing_state.quarantines.version

    def begin_shutdown(self, ends_at_ms: int) -> None:
        """Forbid, from now on, sends that no target would answer before `ends_at_ms`."""
        self._ends_at_ms = ends_at_ms

    def find_obstacle(self, exchange: Exchange) -> NoPlacement | None:
        """Return why no target will get the request in time, or None if one may."""
        quarantine_ms = self.get_quarantine_ms(exchange)
        if quarantine_ms > 0:
            return NoPlacement(
                RefusalReason.QUARANTINED, "the request crashes targets", quarantine_ms
            )
        if not self._sender.may_reach(exchange.allowed_regions):
            return NoPlacement(
                RefusalReason.TARGETS_UNREACHABLE,
                "no instance reaches the targets",
                choose_retry_after_ms(),
            )
        now_ms = self._clock.now_ms()
        earliest_ms = self._dispatch_state.placer.find_earliest_send_ms(
            exchange.service, exchange.allowed_regions, now_ms
        )
        if earliest_ms is None:
            return NoPlacement(RefusalReason.NO_TARGET, "no usable target", choose_retry_after_ms())
        if earliest_ms < exchange.deadline_ms:
            return None
        wait_ms = earliest_ms - now_ms
        return NoPlacement(
            RefusalReason.TARGETS_PAUSED,
            f"all targets are paused for {wait_ms} ms",
            wait_ms + choose_retry_after_ms(),
        )

    def find_stop(self, exchange: Exchange) -> NoPlacement | None:
        """Return that the process ends before the request's deadline, or None if it does not.

        Other instances may serve the request at once.
        """
        if self._ends_at_ms is None or self._ends_at_ms >= exchange.deadline_ms:
            return None
        return NoPlacement(
            RefusalReason.STOPPING, "the instance stops before a response", choose_retry_after_ms()
        )

    def compute_deadline_ms(self, exchange: Exchange) -> int:
        """Return when the request's deadline is reached or the process ends."""
        if self._ends_at_ms is None:
            return exchange.deadline_ms
        return min(exchange.deadline_ms, self._ends_at_ms)

    def list_in_time(
        self, placements: list[Placement], durations: RouteDurations, now_ms: int
    ) -> list[Placement]:
        """Return the placements whose target is expected to answer before the process ends."""
        if self._ends_at_ms is None:
            return placements
        left_ms = self._ends_at_ms - now_ms
        return [
            placement
            for placement in placements
            if placement.estimate_duration_ms(durations, now_ms) <= left_ms
        ]

    def get_quarantine_ms(self, exchange: Exchange) -> int:
        """Return for how long the request is quarantined; 0 if it is not, or is a trial."""
        if exchange.is_trial:
            return 0
        return self._routing_state.quarantines.get_remaining_ms(
            exchange.outgoing.fingerprint, self._clock.now_ms()
        )

    def may_still_send(self, exchange: Exchange, attempt: Attempt) -> bool:
        """Return whether neither the target nor a quarantine forbids a send chosen before."""
        if attempt.state.refuses_requests(self._clock.now_ms()):
            return False
        return self.get_quarantine_ms(exchange) == 0
