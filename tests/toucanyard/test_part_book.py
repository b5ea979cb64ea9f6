from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.names import EndpointName
from toucanyard.part_book import FILL_SHARE, Part, PartBook

A, B = EndpointName("a"), EndpointName("b")
CHAIN = (Part("book", 100), Part("subject", 50), Part("own", 10))
LATE = float("inf")


def test_only_parts_from_the_front_count() -> None:
    book = PartBook()
    book.note(A, "s", (CHAIN[0], CHAIN[2]), 0.0, 1_000)
    assert book.count_leading(A, "s", CHAIN, LATE) == 100
    book.note(A, "s", CHAIN, 0.0, 1_000)
    assert book.count_leading(A, "s", CHAIN, LATE) == 160
    assert book.count_leading(B, "s", CHAIN, LATE) == 0


def test_another_scope_never_matches() -> None:
    """A part was read under older weights, or for a customer behind a wall.

    Counted for another scope, a call would be placed for memory that it must not use.
    """
    book = PartBook()
    book.note(A, "m/1/", CHAIN, 0.0, 1_000)
    assert book.count_leading(A, "m/2/", CHAIN, LATE) == 0
    assert book.count_leading(A, "m/1/walled", CHAIN, LATE) == 0


def test_part_that_is_being_read_is_no_source_yet() -> None:
    book = PartBook()
    book.note(A, "s", CHAIN, 50.0, 1_000)
    assert book.count_leading(A, "s", CHAIN, 49.0) == 0
    assert book.is_being_read(A, "s", CHAIN[0], 49.0)
    assert not book.is_being_read(A, "s", CHAIN[0], 50.0)
    book.note(A, "s", CHAIN, 20.0, 1_000)
    assert book.count_leading(A, "s", CHAIN, 20.0) == 160


def test_call_that_was_not_run_takes_back_only_what_was_unread() -> None:
    """A replica refuses a call; a part of its prompt was there before the call.

    Taking everything back would send the next call away from what is warm.
    """
    book = PartBook()
    book.note(A, "s", CHAIN[:1], 0.0, 1_000)
    book.note(A, "s", CHAIN, 500.0, 1_000)
    book.note_unread(A, "s", CHAIN, 100.0)
    assert book.count_leading(A, "s", CHAIN, LATE) == 100


def test_what_a_holder_says_goes_first() -> None:
    book = PartBook()
    book.note(A, "s", CHAIN, 0.0, 1_000)
    book.note_stored(A, "s", "subject", 16, 1.0)
    assert book.count_leading(A, "s", CHAIN, LATE) == 116
    book.note_stored(A, "s", "subject", 0, 1.0)
    assert book.count_leading(A, "s", CHAIN, LATE) == 100
    book.forget(A)
    assert book.count_leading(A, "s", CHAIN, LATE) == 0


def test_part_used_longest_ago_is_dropped_first() -> None:
    book = PartBook()
    one, two, three = (Part(each, 400) for each in ("1", "2", "3"))
    for part in (one, two, one, three):
        book.note(A, "s", (part,), 0.0, 1_000)
    held = [book.count_leading(A, "s", (each,), LATE) for each in (one, two, three)]
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
    book = PartBook()
    for name, tokens, is_told in steps:
        if is_told:
            book.note_stored(A, "s", name, tokens, 0.0)
        book.note(A, "s", (Part(name, tokens),), 0.0, 1_000)
        kept = sum(
            book.count_leading(A, "s", (Part(each, 10_000),), LATE) for each in "abcdef"
        )
        assert kept <= 1_000 * FILL_SHARE
