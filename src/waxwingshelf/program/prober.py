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

_HOME_PERIOD_MS = 1_000
_AWAY_PERIOD_MS = 5_000
_STEP_S = 0.25


class Prober:
    """Probe targets of the home region every second, the others more seldom."""

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
        self._due_ms: dict[str, int] = {}

    async def run(self) -> None:
        """Start the probes that are due, forever."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._dispatcher.apply_config()
                for table, state in self._list_due():
                    group.create_task(self._probe(table, state))
                await asyncio.sleep(_STEP_S)

    def _list_due(self) -> list[tuple[TargetTable, TargetState]]:
        now_ms = self._clock.now_ms()
        due = []
        for table in self._dispatcher.get_tables_by_service().values():
            for state in table.list_states():
                if self._due_ms.get(state.name, 0) <= now_ms:
                    home = state.target.region == self._local_region
                    period_ms = _HOME_PERIOD_MS if home else _AWAY_PERIOD_MS
                    self._due_ms[state.name] = now_ms + period_ms
                    due.append((table, state))
        return due

    async def _probe(self, table: TargetTable, state: TargetState) -> None:
        health = await self._client.probe(state.target)
        if health is not Health.HEALTHY:
            self._metrics.count(f"probe.{health.value}")
        table.record_health(state.name, health, self._clock.now_ms())
