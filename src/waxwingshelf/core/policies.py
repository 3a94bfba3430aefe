"""Policies that choose one of the usable targets."""

from __future__ import annotations

import random
from collections.abc import Callable

from waxwingshelf.core.targets import TargetState

__all__ = ["TARGET_POLICIES", "TargetPolicy"]

TargetPolicy = Callable[[list[TargetState], int, random.Random], TargetState]
TARGET_POLICIES: dict[str, TargetPolicy] = {}

_MIN_LATENCY_MS = 1.0


def _register(name: str) -> Callable[[TargetPolicy], TargetPolicy]:
    def add(policy: TargetPolicy) -> TargetPolicy:
        TARGET_POLICIES[name] = policy
        return policy

    return add


@_register("random")
def choose_random(states: list[TargetState], now_ms: int, rng: random.Random) -> TargetState:
    """Choose a target at random, as a baseline for the other policies."""
    return rng.choice(states)


@_register("least_in_flight")
def choose_least_in_flight(
    states: list[TargetState], now_ms: int, rng: random.Random
) -> TargetState:
    """Choose the target with the lowest load per usable slot."""
    return min(states, key=lambda state: (_compute_utilisation(state, now_ms), rng.random()))


@_register("power_of_two")
def choose_power_of_two(states: list[TargetState], now_ms: int, rng: random.Random) -> TargetState:
    """Choose the less loaded of two random targets (Mitzenmacher, 2001)."""
    pair = rng.sample(states, min(2, len(states)))
    return min(pair, key=lambda state: _compute_utilisation(state, now_ms))


@_register("least_expected_wait")
def choose_least_expected_wait(
    states: list[TargetState], now_ms: int, rng: random.Random
) -> TargetState:
    """Choose the target with the shortest expected wait, by its load and recent latency."""
    return min(states, key=lambda state: (_estimate_wait_ms(state, now_ms), rng.random()))


def _compute_utilisation(state: TargetState, now_ms: int) -> float:
    return state.load(now_ms) / state.usable_slots(now_ms)


def _estimate_wait_ms(state: TargetState, now_ms: int) -> float:
    latency_ms = max(_MIN_LATENCY_MS, state.latency_ms)
    return latency_ms * (1 + state.load(now_ms)) / state.usable_slots(now_ms)
