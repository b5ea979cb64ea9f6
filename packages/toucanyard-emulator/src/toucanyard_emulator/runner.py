"""Run a scenario with one policy and one seed."""

from __future__ import annotations

from toucanyard.relay_policy import RelayPolicy
from toucanyard_emulator.accounting import Result, compute_result
from toucanyard_emulator.faults import schedule_faults
from toucanyard_emulator.scenario import Scenario
from toucanyard_emulator.simulation import WARM_UP_MS, Simulation

DRAIN_TIME_MS = 15_000.0
"""Time after the end of the arrivals within which all calls have ended."""


def run_scenario(scenario: Scenario, policy: RelayPolicy, seed: int) -> Result:
    """Run a scenario and return its result."""
    simulation = run_simulation(scenario, policy, seed)
    return compute_result(
        simulation.outcomes, simulation.collect_counts(), scenario.goal, scenario.prices
    )


def run_simulation(scenario: Scenario, policy: RelayPolicy, seed: int) -> Simulation:
    """Run a scenario to its end and return the final state of the simulation."""
    simulation = Simulation(scenario, policy, seed)
    simulation.build()
    schedule_faults(simulation)
    simulation.clock.run_until(WARM_UP_MS + scenario.length_s * 1000 + DRAIN_TIME_MS)
    return simulation
