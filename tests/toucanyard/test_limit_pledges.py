from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from toucanyard.limit_pledges import (
    PLEDGE_TTL_MS,
    SLICES,
    Pledge,
    PledgeBook,
    choose_homes,
    find_slice,
)
from toucanyard.names import CustomerName, NodeName

HOME, OTHER, GROUP = NodeName("home"), NodeName("other"), NodeName("group")
TOTAL = 10


def pledge_to(home: NodeName, nodes: int = 5) -> Pledge:
    return Pledge(nodes, (home,) * SLICES)


def find_share(book: PledgeBook, now_ms: float) -> float:
    book.settle(TOTAL, now_ms)
    return book.compute_share(0, TOTAL)


def test_what_is_pledged_accrues_while_it_is_renewed() -> None:
    book = PledgeBook(HOME)
    book.settle(TOTAL, 0.0)
    book.record(GROUP, pledge_to(HOME), 0.0)
    for now_ms in (250.0, 500.0):
        assert book.settle(TOTAL, now_ms) == []
        book.record(GROUP, pledge_to(HOME), now_ms)
    assert book.find_accrued(0) == pytest.approx(0.25)


def test_pledge_to_another_home_ends_the_one_before() -> None:
    """Guards against two homes that give out the same shares."""
    book = PledgeBook(HOME)
    book.record(GROUP, pledge_to(HOME), 0.0)
    book.record(GROUP, pledge_to(OTHER), 10.0)
    assert find_share(book, 10.0) == 0.0


def test_pledge_that_is_not_renewed_ends() -> None:
    book = PledgeBook(HOME)
    book.record(GROUP, pledge_to(HOME), 0.0)
    assert find_share(book, PLEDGE_TTL_MS) == 0.5
    assert find_share(book, PLEDGE_TTL_MS + 1) == 0.0


def test_pledge_ends_with_its_link() -> None:
    book = PledgeBook(HOME)
    book.record(HOME, pledge_to(HOME, 1), 0.0)
    book.record(GROUP, pledge_to(HOME), 0.0)
    book.retain(())
    assert find_share(book, 0.0) == 0.1


def test_node_that_stood_still_has_nothing_left() -> None:
    """Guards against giving out what others have been pledged meanwhile."""
    book = PledgeBook(HOME)
    book.settle(TOTAL, 0.0)
    book.record(HOME, pledge_to(HOME), 0.0)
    book.settle(TOTAL, 500.0)
    assert book.find_accrued(0) > 0
    book.record(HOME, pledge_to(HOME), 5_000.0)
    assert book.settle(TOTAL, 5_000.0) == list(range(SLICES))
    assert book.find_accrued(0) == 0.0


def test_share_never_exceeds_the_whole() -> None:
    """Guards against a node that doesn't know of all others yet."""
    book = PledgeBook(HOME)
    book.record(GROUP, pledge_to(HOME, 50), 0.0)
    assert book.compute_share(0, 1) == 1.0


@pytest.mark.parametrize("pledge", [Pledge(5, ()), pledge_to(HOME, 0)])
def test_pledge_that_cannot_be_counts_for_nothing(pledge: Pledge) -> None:
    """Guards against a peer's message that ends each node that reads it."""
    book = PledgeBook(HOME)
    book.record(GROUP, pledge, 0.0)
    assert find_share(book, 0.0) == 0.0


@given(st.sets(st.sampled_from("abcdefgh"), min_size=1), st.sampled_from("abcdefgh"))
def test_homes_move_only_from_who_is_gone(names: set[str], gone: str) -> None:
    before = choose_homes(NodeName(name) for name in names)
    after = choose_homes(NodeName(name) for name in (names - {gone}) or {"z"})
    assert all(old in (new, gone) for old, new in zip(before, after, strict=True))


@given(st.text(max_size=20))
def test_customer_has_one_slice(name: str) -> None:
    assert 0 <= find_slice(CustomerName(name)) < SLICES
