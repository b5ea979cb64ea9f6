from __future__ import annotations

import pytest

from .weights_fleet import WeightsFleet

FIRST_NAMED_MS = 300.0
SECOND_NAMED_MS = 3_200.0
SETTLED_MS = 6_000.0
"""Longer than a rollout to six replicas takes."""


def play_freeze(fleet: WeightsFleet, freeze_ms: float) -> None:
    """Name two versions while a node is frozen that does not give the orders."""
    frozen = next(name for name in fleet.cores if name != fleet.holder)
    first, begun_ms = fleet.version + 1, fleet.now_ms
    fleet.freeze(frozen)
    fleet.run_with_calls(FIRST_NAMED_MS)
    fleet.name_version(first)
    fleet.run_with_calls(SECOND_NAMED_MS - FIRST_NAMED_MS)
    fleet.name_version(first + 1)
    fleet.run_with_calls(begun_ms + freeze_ms - fleet.now_ms)
    fleet.thaw(frozen)


def build_loaded(nodes: int = 3) -> WeightsFleet:
    """Return a fleet that has brought all replicas to a second version."""
    fleet = WeightsFleet(1, nodes)
    fleet.name_version(2)
    fleet.run_with_calls(SETTLED_MS)
    assert fleet.list_old() == []
    return fleet


@pytest.mark.parametrize("freeze_ms", [3_300.0, 3_500.0, 3_900.0, 4_500.0, 7_000.0])
def test_replicas_get_the_newest_weights_after_a_freeze(freeze_ms: float) -> None:
    """Guards against taking a refusal for the statement that a replica is current.

    A frozen node wakes up and sends calls with weights of two versions before; the
    replicas that refuse them have the version between.
    """
    fleet = build_loaded()
    play_freeze(fleet, freeze_ms)
    fleet.run_with_calls(SETTLED_MS)
    assert fleet.list_old() == []
    assert [each.ending for each in fleet.run_with_calls(1_000.0)[:-10]] == (
        ["completed"] * 40
    )


def test_refusals_that_state_no_weights_are_cleared_up_by_reports() -> None:
    """Guards against a replica that refuses every call while it looks idle.

    A frozen node wakes up; refusals do not tell it which weights the replicas have.
    """
    fleet = build_loaded()
    for engine in fleet.list_engines():
        engine.is_silent_on_weights = True
    play_freeze(fleet, 3_500.0)
    fleet.run_with_calls(SETTLED_MS)
    assert fleet.list_old() == []
    assert {each.ending for each in fleet.run_with_calls(1_000.0)[:-10]} == {
        "completed"
    }
