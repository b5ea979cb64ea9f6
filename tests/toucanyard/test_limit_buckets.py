from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from toucanyard.limit_buckets import LimitBuckets
from toucanyard.limit_delegations import (
    PARTITION_COUNT,
    DelegationTable,
    ShareDelegation,
)
from toucanyard.names import CustomerName, NodeName
from toucanyard.rate_limits import LimitBounds, LimitUnit, RateLimit

COORDINATOR = NodeName("home")
CUSTOMER = CustomerName("c")
LIMIT = RateLimit(10_000.0, 10_000.0, LimitUnit.TOKENS, 200.0)
BOUNDS = LimitBounds(8_000.0, 0.1, 60_000.0)
DEBT = BOUNDS.compute_max_debt(LIMIT)
RATE = BOUNDS.compute_rate(LIMIT)


class Coordinator:
    """Buckets of a coordinator to which some of ten nodes delegate their shares."""

    def __init__(self, nodes: int = 10) -> None:
        self.delegations = DelegationTable(COORDINATOR)
        self.buckets = LimitBuckets(BOUNDS, self.delegations)
        self.nodes = nodes
        self.now_ms = 0.0
        self.delegations.settle(10, 0.0)

    @property
    def share(self) -> float:
        return self.nodes / 10

    def wait(self, for_ms: float) -> None:
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            delegation = ShareDelegation(self.nodes, (COORDINATOR,) * PARTITION_COUNT)
            self.delegations.record(COORDINATOR, delegation, self.now_ms)
            self.now_ms = min(self.now_ms + 100.0, end_ms)
            self.delegations.settle(10, self.now_ms)

    def request_credit(
        self, wanted: float, least: float | None = None, rank: int = 0
    ) -> float:
        return self.find(wanted, least, rank)[0]

    def find(
        self, wanted: float, least: float | None = None, rank: int = 0
    ) -> tuple[float, float]:
        first = wanted if least is None else least
        grant = self.buckets.grant(
            CUSTOMER, LIMIT, wanted, first, self.share, rank=rank
        )
        return grant.granted, grant.denial_ms


def test_no_more_than_the_burst_is_saved_up() -> None:
    coordinator = Coordinator()
    coordinator.wait(5_000.0)
    assert coordinator.request_credit(100_000.0, 200.0) == pytest.approx(
        10_000.0 + DEBT
    )


def test_new_home_has_nothing_saved_up() -> None:
    """Guards against a burst that can be spent once at each coordinator."""
    assert Coordinator().request_credit(100_000.0, 200.0) == pytest.approx(DEBT)


def test_request_is_granted_whole_though_the_level_is_low() -> None:
    """Guards against long prompts that are starved by short ones."""
    coordinator = Coordinator()
    coordinator.wait(100.0)
    assert coordinator.request_credit(9_000.0) == 9_000.0


def test_nothing_is_granted_until_the_debt_is_paid_off() -> None:
    coordinator = Coordinator()
    coordinator.wait(1_000.0)
    assert coordinator.request_credit(15_000.0) == 15_000.0
    granted, denial_ms = coordinator.find(200.0)
    assert granted == 0.0
    coordinator.wait(denial_ms + 1.0)
    assert coordinator.request_credit(200.0) == 200.0


def test_part_of_the_shares_earns_a_part_of_the_rate() -> None:
    coordinator = Coordinator(nodes=4)
    coordinator.wait(10_000.0)
    assert coordinator.request_credit(100_000.0, 200.0) == pytest.approx(
        0.4 * (10_000.0 + DEBT)
    )


def test_unused_credit_comes_back_up_to_the_burst() -> None:
    coordinator = Coordinator()
    coordinator.wait(2_000.0)
    coordinator.request_credit(8_000.0)
    coordinator.buckets.return_credit(CUSTOMER, LIMIT, 50_000.0, coordinator.share)
    assert coordinator.request_credit(100_000.0, 200.0) == pytest.approx(
        10_000.0 + DEBT
    )


def test_those_denied_later_come_back_later() -> None:
    """Guards against callers that all retry when capacity suffices for one."""
    coordinator = Coordinator()
    coordinator.request_credit(DEBT)
    retries = [
        coordinator.buckets.grant(CUSTOMER, LIMIT, 900.0, 900.0, 1.0) for _ in range(5)
    ]
    waits_ms = [each.retry_ms for each in retries]
    assert waits_ms == sorted(set(waits_ms))


def check_windows(grants: list[tuple[float, float]]) -> None:
    """Check that the grants of any window stay within rate, burst and debt."""
    for begun_ms, _ in grants:
        within = [
            each for each in grants if begun_ms <= each[0] < begun_ms + BOUNDS.window_ms
        ]
        total = sum(granted for _, granted in within)
        span_s = (within[-1][0] - begun_ms) / 1_000
        assert total <= LIMIT.burst + RATE * span_s + DEBT + 1.0


@given(st.lists(st.tuples(st.floats(0, 900), st.floats(0, 40_000)), max_size=40))
def test_grants_of_any_window_stay_within_rate_burst_and_debt(
    steps: list[tuple[float, float]],
) -> None:
    coordinator = Coordinator()
    grants: list[tuple[float, float]] = []
    for wait_ms, wanted in steps:
        coordinator.wait(wait_ms)
        grants.append((coordinator.now_ms, coordinator.request_credit(wanted)))
    check_windows(grants)


def test_slice_that_was_lost_begins_anew() -> None:
    """Guards against accruing time from before the node became coordinator."""
    coordinator = Coordinator()
    coordinator.wait(5_000.0)
    assert coordinator.request_credit(200.0) == 200.0
    coordinator.now_ms += 5_000.0
    coordinator.buckets.drop_partitions(
        coordinator.delegations.settle(10, coordinator.now_ms)
    )
    assert coordinator.request_credit(100_000.0, 200.0) == pytest.approx(DEBT)


@given(
    st.lists(
        st.tuples(st.floats(0, 900), st.floats(0, 40_000), st.integers(0, 3)),
        max_size=40,
    )
)
def test_grants_to_several_ranks_stay_within_the_same_bound(
    steps: list[tuple[float, float, int]],
) -> None:
    """Guards against a reserve that lets less urgent requests exceed the limit."""
    coordinator = Coordinator()
    grants: list[tuple[float, float]] = []
    for wait_ms, wanted, rank in steps:
        coordinator.wait(wait_ms)
        granted = coordinator.request_credit(wanted, rank=rank)
        grants.append((coordinator.now_ms, granted))
    check_windows(grants)
