"""Tell a target that crashed from a connection that was only lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from waxwingshelf.serving.client_sessions import SocketFactory
from waxwingshelf.serving.metrics import Metrics
from waxwingshelf.serving.reachability_prober import ReachabilityProber
from waxwingshelf.serving.send_results import (
    FailureKind,
    OutgoingRequest,
    SendFailure,
    UpstreamResponse,
)
from waxwingshelf.serving.target_connections import TargetContact
from waxwingshelf.serving.target_probes import probe_target
from waxwingshelf.steering.crash_suspects import TargetCrash
from waxwingshelf.steering.reachability import ProbeOutcome
from waxwingshelf.steering.targets import Target

__all__ = ["CrashDetector"]

_PROBE_TIMEOUT_S = 0.5
_MAX_WAIT_S = 0.2
_MAX_LOGGED_FINGERPRINTS = 8
_log = structlog.get_logger("crash_detector")


class CrashDetector:
    """Probe targets whose connections broke, and report which requests were there at a crash.

    A crashed target refuses connections. One that accepts them has only lost a connection, and one
    that does not answer may be partitioned.
    """

    def __init__(
        self,
        prober: ReachabilityProber,
        contact: TargetContact,
        open_socket: SocketFactory,
        metrics: Metrics,
    ) -> None:
        self._prober = prober
        self._contact = contact
        self._open_socket = open_socket
        self._metrics = metrics
        # The fingerprints of the requests lost with each run of a target that is being probed.
        self._lost: dict[str, set[str]] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}
        self.on_crash: Callable[[TargetCrash], None] = _ignore_crash

    def record_result(
        self, target: Target, request: OutgoingRequest, result: UpstreamResponse | SendFailure
    ) -> None:
        """Probe the target if the connection broke while it had the request."""
        if not isinstance(result, SendFailure) or result.kind is not FailureKind.BROKEN:
            return
        if target.run in self._lost:
            self._lost[target.run].add(request.fingerprint)
            return
        self._lost[target.run] = {request.fingerprint}
        self._probes[target.run] = asyncio.create_task(self._probe(target))

    def is_probing(self, target: Target) -> bool:
        """Return whether the target is being probed because a connection to it broke."""
        return target.run in self._lost

    async def wait_for_probe(self, target: Target) -> None:
        """Wait until the probe of a target has ended, if there is one that ends soon.

        A target that has crashed refuses at once; one that does not answer costs more time.
        """
        probe = self._probes.get(target.run)
        if probe is not None:
            await asyncio.wait((probe,), timeout=_MAX_WAIT_S)

    def close(self) -> None:
        """Cancel the probes in progress."""
        for probe in self._probes.values():
            probe.cancel()

    async def _probe(self, target: Target) -> None:
        try:
            has_crashed = await self._has_crashed(target)
        finally:
            fingerprints = frozenset(self._lost.pop(target.run))
            del self._probes[target.run]
        self._metrics.target_probes.labels("crashed" if has_crashed else "alive").inc()
        if not has_crashed:
            return
        _log.info(
            "target_crashed",
            target=target.id,
            service=target.service,
            requests=len(fingerprints),
            fingerprints=sorted(fingerprints)[:_MAX_LOGGED_FINGERPRINTS],
        )
        self.on_crash(TargetCrash(target.run, fingerprints))

    async def _has_crashed(self, target: Target) -> bool:
        deadline_s = asyncio.get_running_loop().time() + _PROBE_TIMEOUT_S
        try:
            outcome = await probe_target(target, self._open_socket, deadline_s)
        except OSError as error:
            # No socket could be opened, for example for want of descriptors.
            _log.warning("probe_failed", target=target.id, detail=str(error))
            return False
        if outcome is not ProbeOutcome.REFUSED:
            return False
        # This instance's own links may be lost, so that every target seems to refuse.
        self._contact.record_failed()
        return not await self._prober.are_links_lost()


def _ignore_crash(crash: TargetCrash) -> None:
    """Ignore a crash; the default of `CrashDetector.on_crash`."""
