"""Replay the loads behind choices of the policy, compared with the previous choice.

The scenarios and seeds are those with which each choice was evaluated. Both policies
get the same arrivals and faults.
"""

from __future__ import annotations

import msgspec
import pytest

from toucanyard.crash_ledger import CONFIRMED_CRASHES
from toucanyard.relay_policy import RelayPolicy
from toucanyard_emulator.runner import run_scenario
from toucanyard_emulator.scenario import Fault, Scenario, find_scenario, load_scenario
from toucanyard_emulator.variants import parse_variant

SEEDS = (1, 2, 3)
MAX_BLOCK_CRASHES = 6
"""Five crashes by which the block must be known, and one that tests the verdict."""


def load_first(name: str, length_s: float) -> Scenario:
    """Return a scenario that is cut off after its first seconds."""
    scenario = load_scenario(find_scenario(name))
    faults: tuple[Fault, ...] = tuple(
        fault for fault in scenario.faults if fault.at_s < length_s
    )
    return msgspec.structs.replace(scenario, length_s=length_s, faults=faults)


def compute_gain(name: str, length_s: float, before: str) -> float:
    """Return the mean gain in worth over the previous policy."""
    scenario = load_first(name, length_s)
    other = parse_variant(before).policy
    gains = [
        run_scenario(scenario, RelayPolicy(), seed).worth
        - run_scenario(scenario, other, seed).worth
        for seed in SEEDS
    ]
    return sum(gains) / len(gains)


@pytest.mark.parametrize(
    ("before", "least"),
    [
        ("a share of all replicas=rollout.is_paced:false", 0.02),
        (
            "calls find out=retries.probes:false,retries.connect_ms:400",
            0.0,
        ),
    ],
)
def test_two_silent_engines_and_new_weights(before: str, least: float) -> None:
    """Two of six engines stop responding, one is removed, and new weights are released.

    Calls of the next ten seconds are delayed by engines that are gone or loading; the
    test measures how many of them are still answered in time.
    """
    assert compute_gain("silence-and-weights", 14.0, before) > least


def test_versions_in_series_are_not_held_up_by_pacing() -> None:
    """New weights are released every few seconds while all engines are up.

    A rollout to one engine at a time never caught up, and all calls ran with a cold
    cache; pacing must not slow down the rollout if no engine is missing.
    """
    before = "usual=rollout.is_paced:false"
    assert compute_gain("versions-in-series", 14.0, before) > -0.005


@pytest.mark.parametrize(
    "before", ["whole requests=guard.blocks:false", "gossip=guard.shares:false"]
)
def test_block_that_crashes_engines_costs_few_of_them(before: str) -> None:
    """Guards against requests that crash engines and share one prompt block only."""
    scenario = load_first("crashing-block", 16.0)
    other = parse_variant(before).policy
    for seed in SEEDS:
        now = run_scenario(scenario, RelayPolicy(), seed)
        then = run_scenario(scenario, other, seed)
        assert now.counts.crashes <= MAX_BLOCK_CRASHES
        assert then.counts.crashes > now.counts.crashes
        assert now.worth > then.worth


@pytest.mark.parametrize(
    "before", ["quarantine=guard.is_enforced:false", "gossip=guard.shares:false"]
)
def test_request_that_crashes_engines_costs_few_of_them(before: str) -> None:
    """Guards against one request whose repetitions crash engine after engine."""
    scenario = load_first("crashing-request", 8.0)
    other = parse_variant(before).policy
    for seed in SEEDS:
        now = run_scenario(scenario, RelayPolicy(), seed)
        then = run_scenario(scenario, other, seed)
        assert now.counts.crashes <= CONFIRMED_CRASHES
        assert then.counts.crashes > now.counts.crashes
        assert now.worth > then.worth
