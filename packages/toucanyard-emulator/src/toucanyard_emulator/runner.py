"""Play one scenario with one policy and one seed."""

from __future__ import annotations

from toucanyard.relay_policy import RelayPolicy
from toucanyard_emulator.accounting import Result, add_up
from toucanyard_emulator.faults import plan_faults
from toucanyard_emulator.scenario import Scenario
from toucanyard_emulator.world import LEAD_MS, World

END_MS = 15_000.0
"""Time after the last call in which all calls have ended."""


def play(scenario: Scenario, policy: RelayPolicy, seed: int) -> Result:
    """Return what callers got."""
    world = run_world(scenario, policy, seed)
    return add_up(world.ended, world.count(), scenario.goal, scenario.prices)


def run_world(scenario: Scenario, policy: RelayPolicy, seed: int) -> World:
    """Play to the end and return all that there was."""
    world = World(scenario, policy, seed)
    world.build()
    plan_faults(world)
    world.clock.run_until(LEAD_MS + scenario.length_s * 1000 + END_MS)
    return world
