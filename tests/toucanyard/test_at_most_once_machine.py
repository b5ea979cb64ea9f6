from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from key_machine import KeysUnderFaults
from key_mutations import MUTATIONS, STOP_MUTATIONS, Mutation, apply_mutation
from key_stop_machine import KeysUnderStops

SETTINGS = settings(max_examples=150, stateful_step_count=60, deadline=None)
SEARCH = settings(
    max_examples=600,
    stateful_step_count=60,
    deadline=None,
    phases=[Phase.generate],
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)


def test_keys_under_faults() -> None:
    run_state_machine_as_test(KeysUnderFaults, settings=SETTINGS)


def test_keys_under_planned_stops() -> None:
    run_state_machine_as_test(KeysUnderStops, settings=SETTINGS)


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda each: each.name)
def test_state_machine_catches_mutation(mutation: Mutation) -> None:
    """A seeded fault in one line lets callers see two runs or a false "not run".

    The state machine has to find it; when it doesn't, its steps no longer reach the
    place that the line guards.
    """
    with apply_mutation(mutation), pytest.raises(AssertionError):
        run_state_machine_as_test(KeysUnderFaults, settings=SEARCH)


@pytest.mark.parametrize("mutation", STOP_MUTATIONS, ids=lambda each: each.name)
def test_machine_with_planned_stops_catches_mutation(mutation: Mutation) -> None:
    """A seeded fault in the hand-over gives a false "not run" or a foreign answer."""
    with apply_mutation(mutation), pytest.raises(AssertionError):
        run_state_machine_as_test(KeysUnderStops, settings=SEARCH)
