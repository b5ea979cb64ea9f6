from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.concurrency_limit import ConcurrencyLimit

TARGET_MS = 500.0


def test_limit_grows_only_while_it_is_used() -> None:
    limit = ConcurrencyLimit(16, 4.0, TARGET_MS)
    for at in range(100):
        limit.record_wait(0.0, float(at))
    assert limit.limit == 4
    limit.in_flight = 16
    for at in range(1_000):
        limit.record_wait(0.0, float(at))
    assert limit.limit == 16


def test_late_answers_of_one_moment_shrink_the_limit_once() -> None:
    """Guards against one delay that shrinks the limit many times.

    Sixteen requests are queued in one engine and their first tokens are late together.
    If each of them shrank the limit, the limit would drop to its minimum.
    """
    limit = ConcurrencyLimit(16, 10.0, TARGET_MS)
    for number in range(16):
        limit.record_wait(2 * TARGET_MS, float(number))
    assert limit.limit == 8
    limit.record_failure(TARGET_MS)
    assert limit.limit == 6


def test_room_follows_the_declared_limit() -> None:
    limit = ConcurrencyLimit(2, 1.0, TARGET_MS)
    limit.in_flight = 1
    assert limit.has_room()
    limit.in_flight = 2
    assert not limit.has_room()


@given(
    st.integers(1, 64),
    st.floats(0.0, 100.0),
    st.lists(st.tuples(st.booleans(), st.integers(0, 64), st.floats(0, 1e4))),
)
def test_limit_keeps_its_bounds(
    most: int, start: float, steps: list[tuple[bool, int, float]]
) -> None:
    limit = ConcurrencyLimit(most, start, TARGET_MS)
    now_ms = 0.0
    for is_late, in_flight, step_ms in steps:
        now_ms += step_ms
        limit.in_flight = in_flight
        limit.record_wait(2 * TARGET_MS * is_late, now_ms)
        assert 1 <= limit.limit <= most
