from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from toucanyard.drain_rate import DEFAULT_MS_PER_REQUEST, HALF_LIFE_MS, DrainRate


def test_guess_holds_until_a_request_has_ended() -> None:
    assert DrainRate().compute_wait(4, 0.0) == 4 * DEFAULT_MS_PER_REQUEST


@pytest.mark.parametrize("ends", [50, 5_000])
def test_steady_rate_is_found_early_and_late(ends: int) -> None:
    drain = DrainRate()
    for number in range(ends):
        drain.record_event(number * 20.0)
    assert drain.compute_wait(10, ends * 20.0) == pytest.approx(200.0, rel=0.1)


def test_wait_grows_when_requests_stop_ending() -> None:
    """Guards against an outdated rate after endpoints stall.

    With the previous rate, callers would get very short retry delays and retry at once,
    again and again.
    """
    drain = DrainRate()
    for number in range(1_000):
        drain.record_event(number * 20.0)
    before_ms = drain.compute_wait(10, 20_000.0)
    stalled_ms = drain.compute_wait(10, 20_000.0 + 2 * HALF_LIFE_MS)
    assert stalled_ms == pytest.approx(4 * before_ms, rel=0.1)


@given(
    st.lists(st.floats(0.0, 1e5), max_size=50), st.integers(0, 1_000), st.floats(0, 1e5)
)
def test_wait_is_never_negative_and_grows_with_the_queue(
    ends_ms: list[float], ahead: int, later_ms: float
) -> None:
    drain = DrainRate()
    for end_ms in sorted(ends_ms):
        drain.record_event(end_ms)
    now_ms = max(ends_ms, default=0.0) + later_ms
    wait_ms = drain.compute_wait(ahead, now_ms)
    assert 0.0 <= wait_ms <= drain.compute_wait(ahead + 1, now_ms)
