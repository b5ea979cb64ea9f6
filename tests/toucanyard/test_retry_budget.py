from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.retry_budget import MAX_SAVED_RETRIES, RetryBudget


def test_retries_saved_up_are_bounded() -> None:
    """Guards against a retry storm when everything fails after a long quiet period.

    If all retries earned in that period were saved up, they would add to the failure.
    """
    budget = RetryBudget(0.1)
    for _ in range(100_000):
        budget.record_first_try()
    taken = 0
    while budget.take():
        taken += 1
    assert taken == MAX_SAVED_RETRIES


@given(st.floats(0.0, 1.0), st.lists(st.booleans(), max_size=400))
def test_retries_never_exceed_the_share(share: float, steps: list[bool]) -> None:
    budget = RetryBudget(share)
    tries = retries = 0
    for is_first_try in steps:
        if is_first_try:
            budget.record_first_try()
            tries += 1
        else:
            retries += budget.take()
        assert retries <= 1 + share * tries + 1e-6
