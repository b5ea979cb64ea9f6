"""Replay the loads that the policy's choices answer, each against the choice before.

Seeds and scenarios are those in which the choice was measured; the same arrivals and
faults meet both policies.
"""

from __future__ import annotations

import msgspec
import pytest

from toucanyard.crash_ledger import GUILTY_CRASHES
from toucanyard.relay_policy import RelayPolicy
from toucanyard_emulator.runner import run_scenario
from toucanyard_emulator.scenario import Fault, Scenario, find_scenario, load_scenario
from toucanyard_emulator.variants import parse_variant

SEEDS = (1, 2, 3)


def load_first(name: str, length_s: float) -> Scenario:
    """Return the first seconds of a scenario."""
    scenario = load_scenario(find_scenario(name))
    faults: tuple[Fault, ...] = tuple(
        fault for fault in scenario.faults if fault.at_s < length_s
    )
    return msgspec.structs.replace(scenario, length_s=length_s, faults=faults)


def compute_gain(name: str, length_s: float, before: str) -> float:
    """Return how much more worth callers get than under the policy before."""
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
    """Two of six engines fall silent, one leaves, and new weights are named.

    Callers of the next ten seconds wait for engines that are gone or out of use; what
    is measured is how many of them still get their answer in time.
    """
    assert compute_gain("silence-and-weights", 14.0, before) > least


def test_versions_in_series_are_not_held_up_by_pacing() -> None:
    """Weights are named each few seconds while all engines are there.

    One engine at a time, the roll-out never caught up and all calls ran cold; pacing
    must not slow it where nothing is away.
    """
    before = "usual=rollout.is_paced:false"
    assert compute_gain("versions-in-series", 14.0, before) > -0.005


@pytest.mark.parametrize(
    "before", ["quarantine=guard.is_enforced:false", "gossip=guard.shares:false"]
)
def test_request_that_crashes_engines_costs_few_of_them(before: str) -> None:
    """Guards against one request whose repeats end engine after engine."""
    scenario = load_first("crashing-request", 8.0)
    other = parse_variant(before).policy
    for seed in SEEDS:
        now = run_scenario(scenario, RelayPolicy(), seed)
        then = run_scenario(scenario, other, seed)
        assert now.counts.crashes <= GUILTY_CRASHES
        assert then.counts.crashes > now.counts.crashes
        assert now.worth > then.worth
