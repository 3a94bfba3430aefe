"""Stateful fuzzing of simulated fleets, checked by the invariants of `standins.fleet`."""

import contextlib
import os

import hypothesis.strategies as st
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from standins.fleet import ORGANISATIONS, StoreDownError, build_fleet
from waxwingshelf.core.changes import Change

LONG = os.environ.get("WAXWINGSHELF_FUZZ") == "long"
SIZE = 5
MAX_NODES = 9
INDEX = st.integers(0, 99)
MS = st.sampled_from([50, 250, 1_000, 5_000, 15_000])


class FleetMachine(RuleBasedStateMachine):
    """Send requests, orders and changes while instances, the store and the transport fail.

    Hypothesis orders rules by function name, so renaming a rule changes the generated runs.
    """

    @initialize(seed=st.integers(0, 2**16))
    def build(self, seed: int) -> None:
        self.fleet = build_fleet(SIZE, seed)
        self.ids: list[str] = []
        self.changes = 0
        self.died = 0

    def pick(self, index: int) -> str | None:
        running = self.fleet.list_running()
        return running[index % len(running)] if running else None

    @rule(ms=MS)
    def advance(self, ms: int) -> None:
        self.fleet.advance(ms)

    @rule(index=INDEX, organisation=st.sampled_from(sorted(ORGANISATIONS)), count=INDEX)
    def request(self, index: int, organisation: str, count: int) -> None:
        for _ in range(count % 20):
            name = self.pick(index)
            if name is not None:
                self.fleet.send_request(name, organisation)

    @rule(index=INDEX, count=st.integers(1, 6))
    def occupy(self, index: int, count: int) -> None:
        name = self.pick(index)
        for _ in range(count if name else 0):
            self.fleet.acquire_slot(name)
        self.fleet.check_invariants()

    @rule(index=INDEX, count=st.integers(1, 6))
    def vacate(self, index: int, count: int) -> None:
        name = self.pick(index)
        for _ in range(count if name else 0):
            self.fleet.release_slot(name)

    @rule(index=INDEX)
    def order(self, index: int) -> None:
        name = self.pick(index)
        if name is not None:
            self.ids.append(self.fleet.build_request_id(name, f"order-{len(self.ids)}"))
            self.fleet.start_claim(name, self.ids[-1])

    @precondition(lambda self: self.ids)
    @rule(index=INDEX, other=INDEX, which=INDEX)
    def repeat(self, index: int, other: int, which: int) -> None:
        for name in {self.pick(index), self.pick(other)} - {None}:
            self.fleet.start_claim(name, self.ids[which % len(self.ids)])

    @rule(index=INDEX)
    def end_open_claims(self, index: int) -> None:
        name = self.pick(index)
        if name is not None:
            claims = self.fleet.nodes[name].member.claims
            for attempt in list(claims._open):
                claims.close(attempt)
            self.fleet.flush(name)

    @rule(index=INDEX, rate=st.sampled_from([40.0, 20.0, 10.0]))
    def change(self, index: int, rate: float) -> None:
        name = self.pick(index)
        if name is None or self.fleet.store.down:
            return
        if self.fleet.nodes[name].region in self.fleet.partitioned_regions:
            return
        self.changes += 1
        path = "/organisations/acme/rate_per_s"
        patch = [{"op": "replace", "path": path, "value": rate}]
        with contextlib.suppress(StoreDownError):
            self.fleet.change(name, Change(f"c{self.changes}", "fuzz", 0, patch=patch))

    @rule(index=INDEX)
    def kill(self, index: int) -> None:
        name = self.pick(index)
        if name is not None:
            self.fleet.nodes[name].alive = False
            self.fleet.nodes[name].slots.clear()

    @rule(index=INDEX)
    def restart(self, index: int) -> None:
        dead = [name for name, node in self.fleet.nodes.items() if not node.alive]
        if dead:
            self.fleet.start(dead[index % len(dead)])

    @rule()
    def join(self) -> None:
        if len(self.fleet.nodes) < MAX_NODES:
            self.fleet.start(f"n{len(self.fleet.nodes)}")

    @rule(index=INDEX)
    def leave(self, index: int) -> None:
        name = self.pick(index)
        if name is not None and not self.fleet.nodes[name].slots:
            self.fleet.nodes[name].member.sharing.start_leaving()
            self.fleet.nodes[name].leaving = True
            self.fleet.flush(name)

    @rule()
    def stop_those_that_left(self) -> None:
        for name in self.fleet.list_running():
            node = self.fleet.nodes[name]
            if node.leaving and node.member.sharing.has_left():
                node.alive = False

    @rule(index=INDEX)
    def freeze(self, index: int) -> None:
        name = self.pick(index)
        if name is not None:
            self.fleet.nodes[name].frozen = True

    @rule()
    def thaw(self) -> None:
        for name in list(self.fleet.nodes):
            self.fleet.thaw(name)

    @rule(index=INDEX)
    def isolate(self, index: int) -> None:
        self.fleet.isolated = {self.pick(index) or ""}

    @rule()
    def reconnect(self) -> None:
        self.fleet.isolated = set()

    @rule(regions=st.sets(st.sampled_from(["r0", "r1", "r2"]), max_size=2))
    def cut(self, regions: set[str]) -> None:
        self.fleet.partitioned_regions = regions

    @rule(down=st.booleans())
    def store(self, down: bool) -> None:
        self.fleet.store.down = down

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.fleet.store.lose_answers = count

    @rule(loss=st.sampled_from([0.0, 0.2]), doubling=st.sampled_from([0.0, 0.3]))
    def trouble(self, loss: float, doubling: float) -> None:
        self.fleet.loss_rate, self.fleet.duplication_rate = loss, doubling

    @rule(max_delay_ms=st.sampled_from([1, 20, 900]))
    def slow(self, max_delay_ms: int) -> None:
        self.fleet.max_delay_ms = max_delay_ms

    @precondition(lambda self: not self.fleet.store.down)
    @rule()
    def forget_the_dead(self) -> None:
        for name, node in self.fleet.nodes.items():
            if not node.alive:
                with contextlib.suppress(StoreDownError):
                    self.fleet.forget(name)
        self.fleet.store.lose_answers = 0

    def teardown(self) -> None:
        """End all faults; assert that members are current and usable and that orders ran once."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.store.down = False
        fleet.store.lose_answers = 0
        fleet.partitioned_regions = set()
        fleet.isolated = set()
        fleet.loss_rate = fleet.duplication_rate = 0.0
        fleet.max_delay_ms = 20
        for name, node in list(fleet.nodes.items()):
            fleet.thaw(name)
            if not node.alive:
                fleet.start(name)
        fleet.advance(60_000)
        revision = fleet.store.read("manifest")[0]
        for name in fleet.list_running():
            state = fleet.nodes[name].member.state
            if not fleet.nodes[name].leaving:
                assert state.config is not None and state.config.revision == revision, name
                assert state.can_use_shares(), name
        assert all(count == 1 for count in fleet.runs.values())


def test_fleet_keeps_its_promises() -> None:
    run_state_machine_as_test(
        FleetMachine,
        settings=settings(
            max_examples=400 if LONG else 25,
            stateful_step_count=60 if LONG else 30,
            derandomize=not LONG,
            database=None,
            deadline=None,
            print_blob=True,
            phases=[Phase.generate, Phase.shrink] if LONG else [Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )
