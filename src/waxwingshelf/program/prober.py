"""Probe the health endpoints of targets."""

from __future__ import annotations

import asyncio

from waxwingshelf.adapters.target_http import TargetClient
from waxwingshelf.core.clock import Clock
from waxwingshelf.core.targets import Health, TargetState, TargetTable
from waxwingshelf.ports import Metrics
from waxwingshelf.program.control import ControlPlane
from waxwingshelf.program.dispatcher import Dispatcher

__all__ = ["Prober"]

_LOCAL_INTERVAL_MS = 1_000
_REMOTE_INTERVAL_MS = 5_000
_POLL_INTERVAL_S = 0.25


class Prober:
    """Probe targets of the local region every second, and targets of other regions every 5 s."""

    def __init__(
        self,
        control: ControlPlane,
        dispatcher: Dispatcher,
        client: TargetClient,
        clock: Clock,
        metrics: Metrics,
        local_region: str,
    ) -> None:
        self._control = control
        self._dispatcher = dispatcher
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._local_region = local_region
        self._next_probe_ms: dict[str, int] = {}

    async def run(self) -> None:
        """Start probes as they become due, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._dispatcher.apply_config()
                for table, state in self._pop_due_targets():
                    group.create_task(self._probe(table, state))
                await asyncio.sleep(_POLL_INTERVAL_S)

    def _pop_due_targets(self) -> list[tuple[TargetTable, TargetState]]:
        now_ms = self._clock.now_ms()
        due = []
        for table in self._dispatcher.get_tables_by_service().values():
            for state in table.list_states():
                if self._next_probe_ms.get(state.name, 0) <= now_ms:
                    is_local = state.target.region == self._local_region
                    interval_ms = _LOCAL_INTERVAL_MS if is_local else _REMOTE_INTERVAL_MS
                    self._next_probe_ms[state.name] = now_ms + interval_ms
                    due.append((table, state))
        return due

    async def _probe(self, table: TargetTable, state: TargetState) -> None:
        health = await self._client.probe(state.target)
        if health is not Health.HEALTHY:
            self._metrics.count(f"probe.{health.value}")
        table.record_health(state.name, health, self._clock.now_ms())
