from __future__ import annotations

import math

from hypothesis import given, strategies as st

from toucanyard.names import EndpointName, ServiceName
from toucanyard.uneven_load.replica_speeds import (
    HALF_LIFE_MS,
    MAX_FACTOR,
    MIN_FACTOR,
    ReplicaSpeeds,
    compute_sample,
)

SERVICE = ServiceName("engines")
A, B, C = EndpointName("a"), EndpointName("b"), EndpointName("c")


def record(speeds: ReplicaSpeeds, name: EndpointName, contention: float) -> None:
    speeds.record(SERVICE, name, compute_sample(contention), 1.0, 0.0)


def test_factor_is_the_speed_relative_to_the_others() -> None:
    speeds = ReplicaSpeeds()
    for _ in range(50):
        record(speeds, A, 0.5)
        record(speeds, B, 1.0)
        record(speeds, C, 2.0)
    factors = speeds.find_factors(SERVICE, 0.0)
    assert math.isclose(factors[A], 2.0, rel_tol=0.02)
    assert math.isclose(factors[B], 1.0, rel_tol=0.02)
    assert math.isclose(factors[C], 0.5, rel_tol=0.02)


def test_one_wrong_statement_hardly_counts_beside_many() -> None:
    """A replica states once that it is ten times as fast."""
    speeds = ReplicaSpeeds()
    for _ in range(20):
        for name in (A, B, C):
            record(speeds, name, 1.0)
    record(speeds, A, 0.1)
    assert speeds.find_factors(SERVICE, 0.0)[A] < 1.2


def test_old_samples_give_way_to_new_ones() -> None:
    """A replica's machine is replaced by one half as fast."""
    speeds = ReplicaSpeeds()
    later_ms = 10 * HALF_LIFE_MS
    for name in (A, B):
        for _ in range(20):
            record(speeds, name, 1.0)
    speeds.record(SERVICE, A, 3 * compute_sample(2.0), 3.0, later_ms)
    speeds.record(SERVICE, B, 3 * compute_sample(1.0), 3.0, later_ms)
    factors = speeds.find_factors(SERVICE, later_ms)
    assert factors[A] < 0.6 * factors[B]


def test_samples_too_old_to_count_are_no_error() -> None:
    """No call has been answered for a day."""
    speeds = ReplicaSpeeds()
    record(speeds, A, 1.0)
    speeds.record(SERVICE, A, 0.0, 0.0, 1e9)
    assert speeds.find_factors(SERVICE, 1e9 + 1.0) == {}


def test_replicas_that_are_gone_are_forgotten() -> None:
    """Replicas restart all day, each time as a new incarnation."""
    speeds = ReplicaSpeeds()
    record(speeds, A, 1.0)
    record(speeds, B, 1.0)
    speeds.retain([B])
    assert set(speeds.list_samples(SERVICE)) == {B}


@given(
    st.lists(
        st.tuples(
            st.sampled_from([A, B, C]),
            st.floats(allow_nan=False, min_value=-1.0, max_value=1e300),
            st.floats(min_value=0.0, max_value=1e6),
        )
    )
)
def test_any_statements_give_bounded_factors(
    stated: list[tuple[EndpointName, float, float]],
) -> None:
    """Statements are negative, zero, huge, or out of order."""
    speeds = ReplicaSpeeds()
    for name, contention, at_ms in stated:
        speeds.record(SERVICE, name, compute_sample(contention), 1.0, at_ms)
    for factor in speeds.find_factors(SERVICE, 1e6).values():
        assert MIN_FACTOR <= factor <= MAX_FACTOR
