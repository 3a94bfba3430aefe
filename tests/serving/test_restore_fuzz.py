"""Stateful fuzzing of mirrors, watches and pulls with restores of the store at any step.

Operators and targets write to a store that may come back from an older snapshot. Instances list and
watch it and pull from each other; every answer may arrive late and out of order. The oracle knows
what each writer wrote last.
"""

import json
import random
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from waxwingshelf.core.clock import ManualClock
from waxwingshelf.serving.routing_state import RoutingState
from waxwingshelf.steering.fleet import Fleet
from waxwingshelf.steering.mirror import Change, Position

INSTANCES = 2
TARGETS = 2
MAX_SNAPSHOTS = 6
SERVICE = "work"
SETTLE_MS = 12_000


@dataclass
class OracleStore:
    """The store's keys and history; `history` is that of the current era."""

    era: int = 1
    revision: int = 1
    items: dict[str, Change] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    history_start: int = 1

    def write(self, key: str, value: bytes | None) -> None:
        if value is None and key not in self.items:
            return
        self.revision += 1
        change = Change(key, self.revision, value)
        self.history.append(change)
        if value is None:
            del self.items[key]
        else:
            self.items[key] = change

    def restore(self, items: dict[str, Change], revision: int) -> None:
        self.era += 1
        self.items, self.revision = dict(items), revision
        self.history, self.history_start = [], revision

    @property
    def position(self) -> Position:
        return Position(self.era, self.revision)


@dataclass
class OracleTarget:
    """What a target last said of itself; `state` is None once it has ended."""

    started_ms: int = 1
    number: int = 0
    state: str | None = None

    def encode(self) -> bytes:
        return json.dumps(
            {
                "address": "127.0.0.1:1",
                "information": {"service": SERVICE, "zone": "north-1", "slots": 4},
                "status": {"state": self.state, "sequence": self.number},
                "born": self.started_ms,
            }
        ).encode()


class RestoreMachine(RuleBasedStateMachine):
    """Operators, targets, a store and instances whose answers are delayed."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.store = OracleStore()
        self.snapshots = [({}, 1)]
        self.targets = {f"t{number}": OracleTarget() for number in range(TARGETS)}
        self.config_version = 1
        self.evacuated: set[str] = set()
        fleets = [Fleet(f"n{number}", 0) for number in range(INSTANCES)]
        self.instances = [RoutingState(self.clock, fleet) for fleet in fleets]
        self.answers: list[tuple[int, bool, list[Change], Position, bytes | None]] = []
        self.seen_config = [0] * INSTANCES
        self.seen_leaving: list[dict[str, tuple[int, int]]] = [{} for _ in range(INSTANCES)]
        self._write_config()

    def _write_config(self) -> None:
        config = {"version": f"r{self.config_version}", "clusters": [{"name": SERVICE}]}
        self.store.write("op/config", json.dumps(config).encode())

    def _write_target(self, name: str) -> None:
        target = self.targets[name]
        target.number += 1
        self.store.write(f"servers/{name}", target.encode() if target.state else None)

    def _snapshot(self) -> None:
        self.snapshots.append((dict(self.store.items), self.store.revision))
        del self.snapshots[:-MAX_SNAPSHOTS]

    @rule()
    def change_config(self) -> None:
        self._snapshot()
        self.config_version += 1
        self._write_config()

    @rule(name=st.sampled_from([f"t{number}" for number in range(TARGETS)]), late=st.booleans())
    def advance_target(self, name: str, late: bool) -> None:
        """Let a target start, drain or end; all instances hear of it, perhaps late."""
        self._snapshot()
        target = self.targets[name]
        if target.state is None:
            target.started_ms += 1
            target.number = 0
        target.state = {None: "ready", "ready": "draining", "draining": None}[target.state]
        self._write_target(name)
        for number in range(INSTANCES):
            self.list_store(number, late)

    @rule()
    def toggle_evacuation(self) -> None:
        self.evacuated ^= {"north-1"}
        self.store.write("op/evacuate/north-1", b"{}" if self.evacuated else None)

    @rule(age=st.integers(0, MAX_SNAPSHOTS - 1), number=st.integers(0, INSTANCES - 1))
    def restore(self, age: int, number: int) -> None:
        """Come back from an earlier state; one instance learns of it at once."""
        index = max(0, len(self.snapshots) - 1 - age)
        items, revision = self.snapshots[index]
        self.store.restore(items, revision)
        self.snapshots = self.snapshots[: index + 1]
        self.list_store(number, late=False)

    @rule()
    def write_again(self) -> None:
        self._write_config()
        self.store.write("op/evacuate/north-1", b"{}" if self.evacuated else None)
        for name in self.targets:
            self._write_target(name)

    @rule(number=st.integers(0, INSTANCES - 1), late=st.booleans())
    def list_store(self, number: int, late: bool) -> None:
        items = list(self.store.items.values())
        self._answer((number, True, items, self.store.position, None), late)

    @rule(number=st.integers(0, INSTANCES - 1), late=st.booleans())
    def watch_store(self, number: int, late: bool) -> None:
        known = self.instances[number].mirror.position
        if known.era != self.store.era or known.revision < self.store.history_start:
            return
        changes = [change for change in self.store.history if change.revision > known.revision]
        self._answer((number, False, changes, self.store.position, None), late)

    @rule(
        number=st.integers(0, INSTANCES - 1),
        peer=st.integers(0, INSTANCES - 1),
        late=st.booleans(),
    )
    def pull(self, number: int, peer: int, late: bool) -> None:
        state = self.instances[peer]
        changes = state.mirror.list_changes_since(self.instances[number].mirror.position)
        items = state.mirror.list_items() if changes is None else changes
        config = state.find_config_ahead_of_store()
        self._answer((number, changes is None, items, state.mirror.position, config), late)

    @rule(seed=st.integers(0, 1_000))
    def deliver(self, seed: int) -> None:
        if self.answers:
            index = random.Random(seed).randrange(len(self.answers))
            self._deliver(self.answers.pop(index))

    def _answer(self, answer, late: bool) -> None:
        if late:
            self.answers.append(answer)
        else:
            self._deliver(answer)

    def _deliver(self, answer) -> None:
        number, whole, changes, position, config = answer
        instance = self.instances[number]
        before = instance.mirror.position
        if whole:
            instance.replace(changes, position, "fuzz")
        else:
            instance.apply(changes, position, "fuzz")
        if config is not None:
            instance.apply_config(config, "fuzz")
        assert instance.mirror.position >= before

    @rule(elapsed_ms=st.sampled_from([100, 2_500, 7_000]))
    def pass_time(self, elapsed_ms: int) -> None:
        """Let time pass; what was lost in a restore is written again within two seconds."""
        self.write_again()
        for number in range(INSTANCES):
            self.list_store(number, late=False)
        self.clock.advance(elapsed_ms)
        for instance in self.instances:
            instance.expire_held()

    @invariant()
    def configuration_never_reverts(self) -> None:
        for number, instance in enumerate(self.instances):
            assert instance.config_version >= self.seen_config[number]
            self.seen_config[number] = instance.config_version

    @invariant()
    def no_target_that_was_seen_leaving_is_used_again(self) -> None:
        for number, instance in enumerate(self.instances):
            leaving = self.seen_leaving[number]
            usable = {state.target.id for state in instance.targets.list_usable(SERVICE)}
            for name in instance.targets.list_ids():
                target = instance.targets.get(name).target
                if target.draining:
                    leaving[name] = max(leaving.get(name, (0, 0)), target.entry_version)
                elif name in usable and name in leaving:
                    assert target.entry_version > leaving[name]

    def teardown(self) -> None:
        """After all writers wrote again and time passed, every instance knows what they wrote."""
        self.pass_time(SETTLE_MS)
        self.pass_time(SETTLE_MS)
        ready = {name for name, target in self.targets.items() if target.state == "ready"}
        for instance in self.instances:
            assert instance.config_version == self.config_version
            usable = {state.target.id for state in instance.targets.list_usable(SERVICE)}
            assert usable == (set() if self.evacuated else ready)


RestoreMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestRestore = RestoreMachine.TestCase
