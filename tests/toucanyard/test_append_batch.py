from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.append_batch import AppendBatcher
from toucanyard.core_events import AppendToLog
from toucanyard.options import ClaimLimits

LIMITS = ClaimLimits(gather_ms=5, max_appends_per_s=20)


@given(st.lists(st.tuples(st.floats(0, 100), st.booleans()), max_size=60))
def test_batches_keep_order_and_rate(arrivals: list[tuple[float, bool]]) -> None:
    """Records arrive at random times, and a writer takes each batch when it is due.

    More than one append in 50 ms would use another node's share of the log's rate.
    """
    batcher = AppendBatcher(LIMITS)
    added: list[str] = []
    taken: list[str] = []
    taken_ms: list[float] = []
    for number, (wait_ms, is_urgent) in enumerate(arrivals):
        now_ms = number * 1_000 + wait_ms
        batcher.add(AppendToLog(str(number), "x" * 150_000, is_urgent), now_ms)
        added.append(str(number))
        while batcher.find_due_ms() <= now_ms + 200:
            at_ms = batcher.find_due_ms()
            batch = batcher.pop_due(at_ms)
            assert batch is not None
            assert sum(map(len, batch.texts)) <= 450_000
            taken += batch.record_ids
            taken_ms.append(at_ms)
    while (at_ms := batcher.find_due_ms()) != float("inf"):
        batch = batcher.pop_due(at_ms)
        assert batch is not None
        taken += batch.record_ids
        taken_ms.append(at_ms)
    assert taken == added
    gaps = [late - early for early, late in zip(taken_ms, taken_ms[1:], strict=False)]
    assert all(gap >= 50 for gap in gaps)


def test_urgent_record_takes_waiting_ones_along() -> None:
    batcher = AppendBatcher(LIMITS)
    batcher.add(AppendToLog("abandon", "a", is_urgent=False), 0)
    batcher.add(AppendToLog("claim", "c", is_urgent=True), 1)
    assert batcher.pop_due(5) is None
    batch = batcher.pop_due(6)
    assert batch is not None
    assert batch.record_ids == ("abandon", "claim")
