"""Received cache events of a large fleet stay within their limit."""

from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.event_budget import BURST_MS, DumpSizes, EventBudget

RATE = 1_000.0


@given(st.lists(st.tuples(st.floats(0, 5_000), st.integers(0, 50_000)), max_size=60))
def test_intake_stays_within_the_rate_and_one_answer(
    steps: list[tuple[float, int]],
) -> None:
    budget = EventBudget(RATE, 0.0)
    now_ms, received, largest = 0.0, 0, 0
    for passed_ms, size in steps:
        now_ms += passed_ms
        if budget.compute_wait_ms(now_ms) == 0:
            budget.spend(size, now_ms)
            received += size
            largest = max(largest, size)
        assert received <= RATE * (now_ms + BURST_MS) / 1_000 + largest + 1e-6
    now_ms += budget.compute_wait_ms(now_ms) + 0.01
    assert budget.compute_wait_ms(now_ms) == 0


def test_rate_that_falls_takes_what_was_saved_up_with_it() -> None:
    budget = EventBudget(RATE, 0.0)
    budget.change_rate(RATE / 10, 0.0)
    assert budget.compute_left_bytes(60_000.0) == RATE / 10 * BURST_MS / 1_000


def test_list_that_was_too_long_is_asked_for_again_only_with_more_room() -> None:
    sizes = DumpSizes()
    assert sizes.is_affordable("e", 10_000)
    sizes.record_truncated("e", 10_000)
    assert not sizes.is_affordable("e", 15_000)
    assert sizes.is_affordable("e", 20_000)
    sizes.keep(set())
    assert sizes.is_affordable("e", 10_000)
