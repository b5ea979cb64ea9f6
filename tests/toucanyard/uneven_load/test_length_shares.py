from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.candidates import SHORT_SHARE
from toucanyard.uneven_load.length_shares import (
    MAX_SHARE,
    MIN_SHARE,
    GroupWork,
    LengthShares,
)

SLOTS = 12


def end_calls(
    shares: LengthShares, from_ms: float, for_ms: float, *, short: float, long: float
) -> None:
    """End a number of calls of each length group per second."""
    for at_ms in range(int(from_ms), int(from_ms + for_ms), 100):
        for is_short, per_s, read_ms, slot_ms in (
            (True, short, 17.0, 400.0),
            (False, long, 140.0, 500.0),
        ):
            calls = per_s / 10
            work = GroupWork(calls, calls * read_ms, calls * slot_ms)
            shares.record(work, SLOTS, float(at_ms), is_short=is_short)


def test_share_follows_the_work() -> None:
    """Long prompts are nine tenths of the work; a fixed share leaves a third idle."""
    shares = LengthShares()
    end_calls(shares, 0.0, 10_000.0, short=90.0, long=150.0)
    assert shares.share <= 0.2


def test_surge_of_short_prompts_gets_replicas_and_returns_them() -> None:
    """One kind bursts to several times its usual for a few seconds."""
    shares = LengthShares()
    end_calls(shares, 0.0, 10_000.0, short=90.0, long=150.0)
    usual = shares.share
    end_calls(shares, 10_000.0, 5_000.0, short=900.0, long=150.0)
    surge = shares.share
    end_calls(shares, 15_000.0, 30_000.0, short=90.0, long=150.0)
    assert surge > 1.5 * usual
    assert shares.share <= usual + 0.05


def test_share_is_the_default_until_enough_calls_have_ended() -> None:
    """A node has just started and knows nothing."""
    shares = LengthShares()
    end_calls(shares, 0.0, 100.0, short=0.0, long=150.0)
    assert shares.share == SHORT_SHARE


def test_share_does_not_follow_noise() -> None:
    """Two shares take turns if every small change of the mix is followed."""
    shares = LengthShares()
    end_calls(shares, 0.0, 10_000.0, short=90.0, long=150.0)
    seen = set()
    for number in range(20):
        short = 85.0 + 10.0 * (number % 2)
        end_calls(shares, 10_000.0 + 500.0 * number, 500.0, short=short, long=150.0)
        seen.add(shares.share)
    assert len(seen) == 1


@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.floats(min_value=0.0, max_value=1e9),
            st.floats(min_value=0.0, max_value=1e9),
            st.floats(min_value=-1e6, max_value=1e9),
        ),
        max_size=60,
    ),
    st.integers(min_value=-1, max_value=1_000),
)
def test_any_work_gives_a_share_within_bounds(
    ended: list[tuple[bool, float, float, float]], slots: int
) -> None:
    """Reports of peers are huge, empty, or of a clock that stands still."""
    shares = LengthShares()
    for is_short, read_ms, slot_ms, at_ms in ended:
        work = GroupWork(1.0, read_ms, slot_ms)
        shares.record(work, slots, at_ms, is_short=is_short)
        assert MIN_SHARE - 1e-9 <= shares.share <= MAX_SHARE + 1e-9
