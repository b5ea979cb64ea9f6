from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from toucanyard.limit_pledges import SLICES, Pledge, PledgeBook
from toucanyard.limit_pool import LimitPool
from toucanyard.names import CustomerName, NodeName
from toucanyard.rate_limits import LimitBounds, LimitUnit, RateLimit

HOME = NodeName("home")
CUSTOMER = CustomerName("c")
LIMIT = RateLimit(10_000.0, 10_000.0, LimitUnit.TOKENS, 200.0)
BOUNDS = LimitBounds(8_000.0, 0.1, 60_000.0)
DEBT = BOUNDS.compute_max_debt(LIMIT)
RATE = BOUNDS.compute_rate(LIMIT)


class Home:
    """A pool to which the shares of some of ten nodes are pledged."""

    def __init__(self, nodes: int = 10) -> None:
        self.pledges = PledgeBook(HOME)
        self.pool = LimitPool(BOUNDS, self.pledges)
        self.nodes = nodes
        self.now_ms = 0.0
        self.pledges.settle(10, 0.0)

    @property
    def share(self) -> float:
        return self.nodes / 10

    def wait(self, for_ms: float) -> None:
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            pledge = Pledge(self.nodes, (HOME,) * SLICES)
            self.pledges.record(HOME, pledge, self.now_ms)
            self.now_ms = min(self.now_ms + 100.0, end_ms)
            self.pledges.settle(10, self.now_ms)

    def ask(self, wanted: float, least: float | None = None) -> float:
        return self.find(wanted, least)[0]

    def find(self, wanted: float, least: float | None = None) -> tuple[float, float]:
        first = wanted if least is None else least
        grant = self.pool.grant(CUSTOMER, LIMIT, wanted, first, self.share)
        return grant.granted, grant.closed_ms


def test_no_more_than_the_burst_is_saved_up() -> None:
    home = Home()
    home.wait(5_000.0)
    assert home.ask(100_000.0, 200.0) == pytest.approx(10_000.0 + DEBT)


def test_new_home_has_nothing_saved_up() -> None:
    """Guards against a burst that is spent once at each home."""
    assert Home().ask(100_000.0, 200.0) == pytest.approx(DEBT)


def test_request_is_granted_whole_though_the_level_is_low() -> None:
    """Guards against long prompts that never find enough beside short ones."""
    home = Home()
    home.wait(100.0)
    assert home.ask(9_000.0) == 9_000.0


def test_nothing_is_granted_until_the_debt_is_paid_off() -> None:
    home = Home()
    home.wait(1_000.0)
    assert home.ask(15_000.0) == 15_000.0
    granted, closed_ms = home.find(200.0)
    assert granted == 0.0
    home.wait(closed_ms + 1.0)
    assert home.ask(200.0) == 200.0


def test_part_of_the_shares_earns_a_part_of_the_rate() -> None:
    home = Home(nodes=4)
    home.wait(10_000.0)
    assert home.ask(100_000.0, 200.0) == pytest.approx(0.4 * (10_000.0 + DEBT))


def test_unused_credit_comes_back_up_to_the_burst() -> None:
    home = Home()
    home.wait(2_000.0)
    home.ask(8_000.0)
    home.pool.take_back(CUSTOMER, LIMIT, 50_000.0, home.share)
    assert home.ask(100_000.0, 200.0) == pytest.approx(10_000.0 + DEBT)


def test_those_denied_later_come_back_later() -> None:
    """Guards against callers that all come back when one of them fits."""
    home = Home()
    home.ask(DEBT)
    retries = [home.pool.grant(CUSTOMER, LIMIT, 900.0, 900.0, 1.0) for _ in range(5)]
    waits_ms = [each.retry_ms for each in retries]
    assert waits_ms == sorted(set(waits_ms))


@given(st.lists(st.tuples(st.floats(0, 900), st.floats(0, 40_000)), max_size=40))
def test_grants_of_any_window_stay_within_rate_burst_and_debt(
    steps: list[tuple[float, float]],
) -> None:
    home = Home()
    grants: list[tuple[float, float]] = []
    for wait_ms, wanted in steps:
        home.wait(wait_ms)
        grants.append((home.now_ms, home.ask(wanted)))
    for begun_ms, _ in grants:
        within = [
            each for each in grants if begun_ms <= each[0] < begun_ms + BOUNDS.window_ms
        ]
        total = sum(granted for _, granted in within)
        span_s = (within[-1][0] - begun_ms) / 1_000
        assert total <= LIMIT.burst + RATE * span_s + DEBT + 1.0


def test_slice_that_was_lost_begins_anew() -> None:
    """Guards against a home that reckons with time of before it was one."""
    home = Home()
    home.wait(5_000.0)
    assert home.ask(200.0) == 200.0
    home.now_ms += 5_000.0
    home.pool.forget_slices(home.pledges.settle(10, home.now_ms))
    assert home.ask(100_000.0, 200.0) == pytest.approx(DEBT)
