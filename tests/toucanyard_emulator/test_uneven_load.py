"""Replay the load of replicas that differ in speed under mostly long prompts."""

from __future__ import annotations

import msgspec
import pytest

from toucanyard.relay_policy import RelayPolicy
from toucanyard_emulator.runner import run_scenario
from toucanyard_emulator.scenario import Scenario, find_scenario, load_scenario
from toucanyard_emulator.variants import parse_variant

SEEDS = (1, 2)
SIZE = 20
"""Nodes and engines: as many per call as in the whole scenario."""


def load_small() -> Scenario:
    """Return the first seconds of the scenario with fewer nodes, engines and calls."""
    scenario = load_scenario(find_scenario("uneven-replicas"))
    share = SIZE / scenario.engines.replicas
    kinds = [
        msgspec.structs.replace(kind, per_s=kind.per_s * share)
        for kind in scenario.kinds
    ]
    return msgspec.structs.replace(
        scenario,
        length_s=10.0,
        nodes=SIZE,
        engines=msgspec.structs.replace(scenario.engines, replicas=SIZE),
        kinds=tuple(kinds),
        faults=(),
    )


def play(variant: str | None) -> tuple[float, float]:
    """Return the mean shares of worth earned by long prompts and by all calls."""
    policy = RelayPolicy() if variant is None else parse_variant(variant).policy
    results = [run_scenario(load_small(), policy, seed) for seed in SEEDS]
    long = sum(each.kinds["long"] for each in results) / len(SEEDS)
    return long, sum(each.whole for each in results) / len(SEEDS)


@pytest.fixture(scope="module")
def usual() -> tuple[float, float]:
    return play(None)


def test_long_prompts_are_on_time_where_replicas_differ(
    usual: tuple[float, float],
) -> None:
    """Long prompts wait at replicas of one length group while the other is idle."""
    long, whole = play("alike=uneven.speeds:false,uneven.shares:false")
    # A quarter of what long prompts lost.
    assert usual[0] >= long + (1.0 - long) / 4
    assert usual[1] > whole


def test_speeds_of_replicas_count(usual: tuple[float, float]) -> None:
    """A replica that is half as fast as another gets as many long prompts."""
    assert usual[1] > play("one speed=uneven.speeds:false")[1]


def test_shares_of_length_groups_follow_the_work(usual: tuple[float, float]) -> None:
    """Short prompts are a tenth of the work and prefer a third of the replicas."""
    assert usual[1] > play("fixed share=uneven.shares:false")[1]
