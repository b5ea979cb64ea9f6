from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.adaptive_log_timeout import AdaptiveLogTimeout


def test_slow_log_is_waited_for_and_a_quick_one_no_longer_than_set() -> None:
    # The log answers after 1.5 s and the minimum is 1 s: the first append times out,
    # the second is answered.
    log_timeout = AdaptiveLogTimeout(1_000.0)
    log_timeout.record_timeout()
    assert log_timeout.timeout_ms == 2_000
    log_timeout.record_answer(1_500.0)
    assert log_timeout.timeout_ms == 4_500
    log_timeout.record_answer(5.0)
    assert log_timeout.timeout_ms == 1_000


@given(st.lists(st.none() | st.floats(0, 1e6)))
def test_wait_stays_within_its_bounds(answers: list[float | None]) -> None:
    log_timeout = AdaptiveLogTimeout(1_000.0)
    for response_ms in answers:
        if response_ms is None:
            log_timeout.record_timeout()
        else:
            log_timeout.record_answer(response_ms)
        assert 1_000 <= log_timeout.timeout_ms <= 8_000


def test_reads_of_a_slow_log_lengthen_the_time_for_appends_only() -> None:
    """Fast reads must not shorten the timeout: the log may be slow for appends only,
    and each append would time out after the minimum again."""
    log_timeout = AdaptiveLogTimeout(1_000.0)
    log_timeout.record_other_answer(2_000.0)
    assert log_timeout.timeout_ms == 6_000.0
    log_timeout.record_other_answer(1.0)
    assert log_timeout.timeout_ms == 6_000.0
    log_timeout.record_answer(10.0)
    assert log_timeout.timeout_ms == 1_000.0
