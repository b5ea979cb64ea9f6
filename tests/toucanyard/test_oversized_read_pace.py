"""Reads of senders whose messages exceed a bound."""

from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.oversized_read_pace import (
    MAX_BYTES_PER_S,
    MAX_DELAY_MS,
    MAX_SENDERS,
    MIN_DELAY_MS,
    OversizedReadPace,
)


def play(sizes: list[int], until_ms: float) -> tuple[int, int]:
    """Read senders of oversized messages whenever allowed; return bytes, reads."""
    pace = OversizedReadPace()
    received_bytes = reads = 0
    now_ms = 0.0
    while now_ms < until_ms:
        for number, size_bytes in enumerate(sizes):
            name = f"r{number}"
            if pace.compute_wait(name, now_ms) <= 0.0:
                received_bytes += size_bytes
                reads += 1
                pace.record_oversized(name, size_bytes, now_ms)
        now_ms += 50.0
    return received_bytes, reads


@given(st.lists(st.integers(1, 2_000_000), min_size=1, max_size=40))
def test_reads_of_all_oversized_senders_together_are_bounded(sizes: list[int]) -> None:
    """Guards against a node that reads endless messages of a whole fleet at full rate.

    Each sender's first message is read in any case, as nothing is known of it before.
    """
    until_ms = 60_000.0
    received_bytes, _ = play(sizes, until_ms)
    later_bytes = received_bytes - sum(sizes)
    assert later_bytes <= MAX_BYTES_PER_S * until_ms / 1_000 + max(sizes)


def test_one_sender_is_read_again_after_growing_delays() -> None:
    pace = OversizedReadPace()
    now_ms = 1_000.0
    delays = []
    for _ in range(7):
        delays.append(pace.record_oversized("r", 100_000, now_ms))
        now_ms += delays[-1]
        assert pace.compute_wait("r", now_ms) == 0.0
    assert delays[:3] == [MIN_DELAY_MS, 2 * MIN_DELAY_MS, 4 * MIN_DELAY_MS]
    assert delays[-1] == MAX_DELAY_MS


def test_sound_message_ends_the_delay() -> None:
    pace = OversizedReadPace()
    assert not pace.is_paced("r")
    pace.record_oversized("r", 1_000, 0.0)
    assert pace.is_paced("r")
    pace.record_sound("r")
    assert not pace.is_paced("r")
    assert pace.compute_wait("r", 0.0) == 0.0
    assert pace.record_oversized("r", 1_000, 10_000.0) == MIN_DELAY_MS


def test_number_of_known_senders_is_bounded() -> None:
    pace = OversizedReadPace()
    for number in range(MAX_SENDERS + 10):
        pace.record_oversized(f"r{number}", 0, 0.0)
    assert len(pace._next_ms) == len(pace._failures) == MAX_SENDERS
