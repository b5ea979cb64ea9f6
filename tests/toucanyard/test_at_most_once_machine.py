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
    """A mutated line lets callers observe two executions or a false NOT_RUN.

    The state machine must find it; if it does not, its steps no longer reach the code
    that the line protects.
    """
    with apply_mutation(mutation), pytest.raises(AssertionError):
        run_state_machine_as_test(KeysUnderFaults, settings=SEARCH)


@pytest.mark.parametrize("mutation", STOP_MUTATIONS, ids=lambda each: each.name)
def test_machine_with_planned_stops_catches_mutation(mutation: Mutation) -> None:
    """A mutation of the handover causes a false NOT_RUN or another request's answer."""
    with apply_mutation(mutation), pytest.raises(AssertionError):
        run_state_machine_as_test(KeysUnderStops, settings=SEARCH)
