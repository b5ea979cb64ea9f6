"""Test that any sequence of faults, load and changes keeps customers in their limit."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from toucanyard.names import NodeName

from .limit_fleet import BOUNDS, LIMIT, LimitFleet

TIGHT = msgspec.structs.replace(BOUNDS, slack=20_000.0)
FLOOD_TOKENS_PER_S = 80_000.0
LOWER = msgspec.structs.replace(LIMIT, rate_per_s=6_000.0, burst=6_000.0)
MARKS = st.integers(0, 63)


class LimitMachine(RuleBasedStateMachine):
    """Six nodes in a full mesh under a flood; each step may inject a fault."""

    @initialize()
    def start(self) -> None:
        self.fleet = LimitFleet(2, 3, bounds=TIGHT)
        self.names = list(self.fleet.cores)

    def find(self, marks: int) -> list[NodeName]:
        return [name for number, name in enumerate(self.names) if marks >> number & 1]

    @rule(for_ms=st.sampled_from([100.0, 500.0, 1_500.0]))
    def play(self, for_ms: float) -> None:
        up = set(self.names) - self.fleet.dead
        if up:
            self.fleet.play(for_ms, FLOOD_TOKENS_PER_S)

    @rule(marks=MARKS)
    def cut(self, marks: int) -> None:
        self.fleet.partition_network(self.find(marks))

    @rule()
    def heal(self) -> None:
        self.fleet.heal()

    @rule(marks=MARKS)
    def kill(self, marks: int) -> None:
        self.fleet.kill([n for n in self.find(marks) if n not in self.fleet.suspended])

    @rule()
    def start_again(self) -> None:
        self.fleet.start_again(list(self.fleet.dead))

    @rule(marks=MARKS)
    def suspend(self, marks: int) -> None:
        for name in self.find(marks)[:1]:
            if name not in self.fleet.dead | self.fleet.suspended:
                self.fleet.suspend(name)

    @rule()
    def resume(self) -> None:
        for name in list(self.fleet.suspended):
            self.fleet.resume(name)

    @rule(marks=MARKS)
    def mute(self, marks: int) -> None:
        self.fleet.muted = set(self.find(marks)[:1])

    @rule(is_lower=st.booleans())
    def change_limit(self, is_lower: Any) -> None:
        self.fleet.set_limit(LOWER if is_lower else LIMIT)

    @invariant()
    def check_use(self) -> None:
        if hasattr(self, "fleet"):
            assert self.fleet.find_max_usage() <= TIGHT.compute_bound(LIMIT)


LimitMachine.TestCase.settings = settings(max_examples=12, stateful_step_count=14)
TestLimits = LimitMachine.TestCase
