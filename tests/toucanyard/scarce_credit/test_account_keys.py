from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.scarce_credit.account_keys import (
    MAX_RANK,
    build_account_key,
    split_account_key,
)


@given(
    st.text(st.characters(blacklist_characters="\0")),
    st.integers(min_value=-5, max_value=50),
)
def test_key_names_subject_and_rank(subject: str, rank: int) -> None:
    key = build_account_key(subject, rank)
    assert split_account_key(key) == (subject, min(max(rank, 0), MAX_RANK))


def test_most_urgent_calls_use_the_account_of_the_subject() -> None:
    """Nodes of an earlier build name no rank."""
    assert build_account_key("customer", 0) == "customer"
