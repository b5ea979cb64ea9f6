from __future__ import annotations

import pytest

from toucanyard.rate_limits import LimitBounds, LimitUnit, RateLimit

TOKENS = RateLimit(18_000.0, 9_000.0, LimitUnit.TOKENS, 200.0)
REQUESTS = RateLimit(5.0, 0.0)
BOUNDS = LimitBounds(8_000.0, 0.1, 72_000.0)


@pytest.mark.parametrize(
    ("limit", "tokens", "cost"),
    [(TOKENS, 1_540, 1_540.0), (TOKENS, None, 200.0), (REQUESTS, 1_540, 1.0)],
)
def test_cost_of_a_request(limit: RateLimit, tokens: int | None, cost: float) -> None:
    assert limit.compute_cost(tokens) == cost


def test_one_request_may_be_saved_up_without_a_burst() -> None:
    """Guards against a limit that never allows any request."""
    assert REQUESTS.compute_capacity() == 1.0


def test_debt_is_a_part_of_what_the_bound_leaves() -> None:
    allowed = 18_000.0 * 8 + 9_000.0
    assert BOUNDS.compute_bound(TOKENS) == pytest.approx(allowed * 1.1 + 72_000.0)
    debt = BOUNDS.compute_max_debt(TOKENS)
    assert 0 < debt * 2 < BOUNDS.compute_bound(TOKENS) - allowed


@pytest.mark.parametrize("rate", [18_000.0, 261_368.0])
def test_debt_late_credit_and_a_second_home_fit_in_the_margin(rate: float) -> None:
    """Guards against parts of the margin that together exceed the bound."""
    limit = RateLimit(rate, rate, LimitUnit.TOKENS, 200.0)
    granted = BOUNDS.compute_rate(limit)
    late = granted * BOUNDS.compute_credit_ms(limit) / 1_000
    used = granted * 8 + limit.burst + 2 * BOUNDS.compute_max_debt(limit) + late
    assert used <= BOUNDS.compute_bound(limit) * 1.0001
