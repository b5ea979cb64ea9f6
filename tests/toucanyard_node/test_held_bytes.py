"""Bytes held of one kind of sender."""

from __future__ import annotations

from contextlib import suppress

import pytest
from hypothesis import given, strategies as st

from toucanyard.byte_limits import ByteLimits
from toucanyard_node.held_bytes import (
    RESERVED_SHARE,
    SENDER_SHARE,
    SMALL_BYTES,
    ByteBound,
    ByteBoundError,
    HeldBytes,
    HeldMessage,
)

SMALLEST_NODE_BYTES = 100_000_000
EMPTY_NODE_BYTES = 40_000_000


def test_all_sums_fit_the_smallest_node() -> None:
    limits = ByteLimits()
    sums = (
        limits.max_held_answer_bytes
        + limits.max_held_report_bytes
        + limits.max_held_store_bytes
        + limits.max_held_peer_bytes
        + limits.max_held_request_bytes
    )
    assert EMPTY_NODE_BYTES + sums <= SMALLEST_NODE_BYTES


def test_one_message_is_bounded() -> None:
    held = HeldBytes(max_bytes=10_000)
    with held.open("r1", max_message_bytes=1_000) as message:
        message.add(1_000)
        with pytest.raises(ByteBoundError) as caught:
            message.add(1)
    assert caught.value.bound is ByteBound.MESSAGE
    assert caught.value.received_bytes == 1_001
    assert held.total_bytes == 0


def test_one_sender_cannot_use_up_the_sum() -> None:
    held = HeldBytes(max_bytes=1_000)
    held.open("r1", 1_000).add(int(1_000 * SENDER_SHARE))
    with pytest.raises(ByteBoundError) as caught:
        held.open("r1", 1_000).add(1)
    assert caught.value.bound is ByteBound.SENDER
    held.open("r2", 1_000).add(1)


def test_large_messages_leave_room_for_small_ones() -> None:
    max_bytes = SMALL_BYTES * 100
    held = HeldBytes(max_bytes)
    step_bytes = SMALL_BYTES * 2
    with pytest.raises(ByteBoundError) as caught:
        for number in range(100):
            held.open(f"r{number}", max_bytes).add(step_bytes)
    assert caught.value.bound is ByteBound.SUM
    assert held.total_bytes <= max_bytes * (1 - RESERVED_SHARE)
    assert held.has_room()
    assert not held.has_room(step_bytes)
    held.open("sound", max_bytes).add(SMALL_BYTES)


def test_released_message_leaves_nothing() -> None:
    held = HeldBytes(max_bytes=1_000)
    message = held.open("r1", 400)
    message.add(400)
    message.release()
    message.release()
    assert held.total_bytes == 0
    assert held.peak_bytes == 400


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5), st.integers(0, 2_000), st.booleans(), st.integers(0, 2)
        ),
        max_size=60,
    )
)
def test_sum_is_that_of_open_messages(
    steps: list[tuple[int, int, bool, int]],
) -> None:
    held = HeldBytes(max_bytes=4_000)
    messages: dict[int, HeldMessage] = {}
    for number, size_bytes, is_released, sender in steps:
        message = messages.setdefault(number, held.open(f"r{sender}", 3_000))
        if is_released:
            message.release()
            continue
        with suppress(ByteBoundError):
            message.add(size_bytes)
        assert held.total_bytes == sum(each.size_bytes for each in messages.values())
        assert held.total_bytes <= held.max_bytes
    for message in messages.values():
        message.release()
    assert held.total_bytes == 0
