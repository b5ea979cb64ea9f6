from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.scarce_credit.urgent_demand import (
    MAX_RESERVED_SHARE,
    UrgentDemand,
)

CAPACITY = 100_000.0


def play(demand: UrgentDemand, for_s: float, *, urgent: float, other: float) -> float:
    """Grant both ranks what they ask for per second; return the time at the end."""
    for step in range(int(for_s * 10)):
        demand.record(0, urgent / 10, urgent / 10, step / 10)
        demand.record(2, other / 10, other / 10, step / 10)
    return for_s


def test_reserve_follows_what_more_urgent_calls_ask_for() -> None:
    demand = UrgentDemand()
    now_s = play(demand, 5.0, urgent=20_000.0, other=50_000.0)
    reserve = demand.compute_reserve(2, CAPACITY, now_s)
    assert 8_000.0 < reserve < 12_000.0
    assert demand.compute_reserve(0, CAPACITY, now_s) == 0.0


def test_reserve_ends_with_the_demand() -> None:
    """The urgent calls of a customer stop; the others must get its whole limit."""
    demand = UrgentDemand()
    now_s = play(demand, 5.0, urgent=20_000.0, other=50_000.0)
    assert demand.compute_reserve(2, CAPACITY, now_s + 10.0) == 0.0


def test_less_urgent_calls_are_not_starved() -> None:
    """Urgent calls alone ask for more than the limit."""
    demand = UrgentDemand()
    now_s = play(demand, 5.0, urgent=1e9, other=0.0)
    assert demand.compute_reserve(2, CAPACITY, now_s) == 0.0


@given(
    st.lists(
        st.tuples(
            st.integers(min_value=0, max_value=9),
            st.floats(min_value=0.0, max_value=1e15),
            st.floats(min_value=0.0, max_value=1e15),
            st.floats(min_value=-1e6, max_value=1e9),
        ),
        max_size=40,
    ),
    st.integers(min_value=0, max_value=9),
)
def test_reserve_is_bounded(
    asked: list[tuple[int, float, float, float]], rank: int
) -> None:
    """Nodes ask for any amounts, and time stands still while a coordinator is cut."""
    demand = UrgentDemand()
    for each in asked:
        demand.record(*each)
        reserve = demand.compute_reserve(rank, CAPACITY, each[3])
        assert 0.0 <= reserve <= CAPACITY * MAX_RESERVED_SHARE
