from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.names import EndpointName
from toucanyard.prompt_block_index import FILL_SHARE, PromptBlock, PromptBlockIndex

A, B = EndpointName("a"), EndpointName("b")
CHAIN = (PromptBlock("book", 100), PromptBlock("subject", 50), PromptBlock("own", 10))
LATE = float("inf")


def test_only_parts_from_the_front_count() -> None:
    block_index = PromptBlockIndex()
    block_index.record(A, "s", (CHAIN[0], CHAIN[2]), 0.0, 1_000)
    assert block_index.count_leading(A, "s", CHAIN, LATE) == 100
    block_index.record(A, "s", CHAIN, 0.0, 1_000)
    assert block_index.count_leading(A, "s", CHAIN, LATE) == 160
    assert block_index.count_leading(B, "s", CHAIN, LATE) == 0


def test_another_scope_never_matches() -> None:
    """A block was read under older weights, or for an isolated customer.

    Counted in another scope, it would attract calls that must not use it.
    """
    block_index = PromptBlockIndex()
    block_index.record(A, "m/1/", CHAIN, 0.0, 1_000)
    assert block_index.count_leading(A, "m/2/", CHAIN, LATE) == 0
    assert block_index.count_leading(A, "m/1/walled", CHAIN, LATE) == 0


def test_part_that_is_being_read_is_no_source_yet() -> None:
    block_index = PromptBlockIndex()
    block_index.record(A, "s", CHAIN, 50.0, 1_000)
    assert block_index.count_leading(A, "s", CHAIN, 49.0) == 0
    assert block_index.is_being_read(A, "s", CHAIN[0], 49.0)
    assert not block_index.is_being_read(A, "s", CHAIN[0], 50.0)
    block_index.record(A, "s", CHAIN, 20.0, 1_000)
    assert block_index.count_leading(A, "s", CHAIN, 20.0) == 160


def test_call_that_was_not_run_takes_back_only_what_was_unread() -> None:
    """A replica refuses a call, and a block of its prompt was there before the call.

    Removing all blocks would send the next call away from a replica that has them.
    """
    block_index = PromptBlockIndex()
    block_index.record(A, "s", CHAIN[:1], 0.0, 1_000)
    block_index.record(A, "s", CHAIN, 500.0, 1_000)
    block_index.record_unread(A, "s", CHAIN, 100.0)
    assert block_index.count_leading(A, "s", CHAIN, LATE) == 100


def test_what_a_holder_says_goes_first() -> None:
    block_index = PromptBlockIndex()
    block_index.record(A, "s", CHAIN, 0.0, 1_000)
    block_index.record_stored(A, "s", "subject", 16, 1.0)
    assert block_index.count_leading(A, "s", CHAIN, LATE) == 116
    block_index.record_stored(A, "s", "subject", 0, 1.0)
    assert block_index.count_leading(A, "s", CHAIN, LATE) == 100
    block_index.forget(A)
    assert block_index.count_leading(A, "s", CHAIN, LATE) == 0


def test_part_used_longest_ago_is_dropped_first() -> None:
    block_index = PromptBlockIndex()
    one, two, three = (PromptBlock(each, 400) for each in ("1", "2", "3"))
    for block in (one, two, one, three):
        block_index.record(A, "s", (block,), 0.0, 1_000)
    held = [
        block_index.count_leading(A, "s", (each,), LATE) for each in (one, two, three)
    ]
    assert held == [400, 0, 400]


@given(
    st.lists(
        st.tuples(st.sampled_from("abcdef"), st.integers(1, 400), st.booleans()),
        max_size=60,
    )
)
def test_memory_of_a_holder_bounds_its_parts(
    steps: list[tuple[str, int, bool]],
) -> None:
    block_index = PromptBlockIndex()
    for name, tokens, is_reported in steps:
        if is_reported:
            block_index.record_stored(A, "s", name, tokens, 0.0)
        block_index.record(A, "s", (PromptBlock(name, tokens),), 0.0, 1_000)
        held_tokens = sum(
            block_index.count_leading(A, "s", (PromptBlock(each, 10_000),), LATE)
            for each in "abcdef"
        )
        assert held_tokens <= 1_000 * FILL_SHARE
