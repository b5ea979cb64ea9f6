from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from toucanyard.limit_delegations import (
    DELEGATION_TTL_MS,
    PARTITION_COUNT,
    DelegationTable,
    ShareDelegation,
    choose_coordinators,
    find_partition,
)
from toucanyard.names import CustomerName, NodeName

COORDINATOR, OTHER, GROUP = NodeName("home"), NodeName("other"), NodeName("group")
TOTAL = 10


def delegate_to(coordinator: NodeName, nodes: int = 5) -> ShareDelegation:
    return ShareDelegation(nodes, (coordinator,) * PARTITION_COUNT)


def find_share(table: DelegationTable, now_ms: float) -> float:
    table.settle(TOTAL, now_ms)
    return table.compute_share(0, TOTAL)


def test_what_is_pledged_accrues_while_it_is_renewed() -> None:
    table = DelegationTable(COORDINATOR)
    table.settle(TOTAL, 0.0)
    table.record(GROUP, delegate_to(COORDINATOR), 0.0)
    for now_ms in (250.0, 500.0):
        assert table.settle(TOTAL, now_ms) == []
        table.record(GROUP, delegate_to(COORDINATOR), now_ms)
    assert table.find_accrued_s(0) == pytest.approx(0.25)


def test_pledge_to_another_home_ends_the_one_before() -> None:
    """Guards against two coordinators that grant from the same shares."""
    table = DelegationTable(COORDINATOR)
    table.record(GROUP, delegate_to(COORDINATOR), 0.0)
    table.record(GROUP, delegate_to(OTHER), 10.0)
    assert find_share(table, 10.0) == 0.0


def test_pledge_that_is_not_renewed_ends() -> None:
    table = DelegationTable(COORDINATOR)
    table.record(GROUP, delegate_to(COORDINATOR), 0.0)
    assert find_share(table, DELEGATION_TTL_MS) == 0.5
    assert find_share(table, DELEGATION_TTL_MS + 1) == 0.0


def test_pledge_ends_with_its_link() -> None:
    table = DelegationTable(COORDINATOR)
    table.record(COORDINATOR, delegate_to(COORDINATOR, 1), 0.0)
    table.record(GROUP, delegate_to(COORDINATOR), 0.0)
    table.retain(())
    assert find_share(table, 0.0) == 0.1


def test_node_that_stood_still_has_nothing_left() -> None:
    """Guards against granting shares that were delegated to others meanwhile."""
    table = DelegationTable(COORDINATOR)
    table.settle(TOTAL, 0.0)
    table.record(COORDINATOR, delegate_to(COORDINATOR), 0.0)
    table.settle(TOTAL, 500.0)
    assert table.find_accrued_s(0) > 0
    table.record(COORDINATOR, delegate_to(COORDINATOR), 5_000.0)
    assert table.settle(TOTAL, 5_000.0) == list(range(PARTITION_COUNT))
    assert table.find_accrued_s(0) == 0.0


def test_share_never_exceeds_the_whole() -> None:
    """Guards against a share above 1 while a node doesn't know all others yet."""
    table = DelegationTable(COORDINATOR)
    table.record(GROUP, delegate_to(COORDINATOR, 50), 0.0)
    assert table.compute_share(0, 1) == 1.0


@pytest.mark.parametrize(
    "delegation", [ShareDelegation(5, ()), delegate_to(COORDINATOR, 0)]
)
def test_pledge_that_cannot_be_counts_for_nothing(delegation: ShareDelegation) -> None:
    """Guards against a peer's message that crashes each node that reads it."""
    table = DelegationTable(COORDINATOR)
    table.record(GROUP, delegation, 0.0)
    assert find_share(table, 0.0) == 0.0


@given(st.sets(st.sampled_from("abcdefgh"), min_size=1), st.sampled_from("abcdefgh"))
def test_homes_move_only_from_who_is_gone(names: set[str], gone: str) -> None:
    before = choose_coordinators(NodeName(name) for name in names)
    after = choose_coordinators(NodeName(name) for name in (names - {gone}) or {"z"})
    assert all(old in (new, gone) for old, new in zip(before, after, strict=True))


@given(st.text(max_size=20))
def test_customer_has_one_slice(name: str) -> None:
    assert 0 <= find_partition(CustomerName(name)) < PARTITION_COUNT
