from __future__ import annotations

import pytest
from emulator_examples import LONG, READ
from hypothesis import given, strategies as st

from toucanyard_emulator.accounting import (
    CallOutcome,
    Cause,
    ResourceCounts,
    compute_result,
)
from toucanyard_emulator.arrivals import Arrival
from toucanyard_emulator.scenario import CallKind, Objective, Prices

GOAL, PRICES = Objective(), Prices(load=3.0)


def build_outcome(
    at_ms: float,
    kind: CallKind = READ,
    *,
    is_served: bool = True,
    is_late: bool = False,
    **changes: float,
) -> CallOutcome:
    arrival = Arrival(0, at_ms, kind, 0, (), 1, 1.0, kind.worth)
    is_lost = is_late or not is_served
    cause = Cause.REFUSED if is_lost else None
    return CallOutcome(arrival, is_served, is_late, cause, 1.0, **changes)


def test_all_in_time_earns_all() -> None:
    outcomes = [build_outcome(at_ms) for at_ms in range(0, 10_000, 100)]
    result = compute_result(outcomes, ResourceCounts(), GOAL, PRICES)
    assert result.worth == pytest.approx(1.0)
    assert result.windows == (1.0,) * 5
    assert sum(result.causes.values()) == 0.0


def test_worst_windows_and_worst_kind_weigh() -> None:
    outcomes = [build_outcome(at_ms) for at_ms in range(0, 10_000, 100)]
    outcomes += [build_outcome(2_500.0, LONG, is_served=False) for _ in range(8)]
    result = compute_result(outcomes, ResourceCounts(), GOAL, PRICES)
    assert result.worst_kind == 0.0
    assert result.windows[1] == pytest.approx(0.5)
    assert result.worst_windows == pytest.approx(0.75)
    whole = 100 / 120
    assert result.worth == pytest.approx(0.35 * whole + 0.5 * 0.75)


def test_prices_are_shares_of_the_worth_that_was_owed() -> None:
    outcomes = [build_outcome(at_ms) for at_ms in range(0, 10_000, 100)]
    outcomes[0] = build_outcome(0.0, outdated_share=0.2, consistent_share=0.5)
    result = compute_result(outcomes, ResourceCounts(loads=2), GOAL, PRICES)
    assert result.prices["loads"] == pytest.approx(0.06)
    assert result.prices["old weights"] == pytest.approx(0.002)
    assert result.prices["weights changed"] == pytest.approx(0.005)
    assert result.worth == pytest.approx(1.0 - 0.06 - 0.002 - 0.005)


@given(st.lists(st.tuples(st.floats(0, 9_999), st.booleans(), st.booleans())))
def test_causes_add_up_to_what_was_lost(
    drawn: list[tuple[float, bool, bool]],
) -> None:
    outcomes = [
        build_outcome(at_ms, is_served=is_served, is_late=is_served and is_late)
        for at_ms, is_served, is_late in drawn
    ]
    result = compute_result(outcomes, ResourceCounts(), GOAL, PRICES)
    if outcomes:
        assert sum(result.causes.values()) == pytest.approx(1.0 - result.whole)
