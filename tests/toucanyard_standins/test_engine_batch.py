from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard_standins.engine_batch import Batch, CostModel, Sequence
from toucanyard_standins.engine_cache import PrefixCache

COST = CostModel(max_running=1, prefill_blocks_per_step=4)


def test_urgent_sequences_start_first_and_equal_ones_by_age() -> None:
    batch = Batch(COST)
    for name, priority in (("late", 2), ("first", 0), ("second", 0)):
        batch.add(Sequence(name, priority, (), 1))
    order = []
    while not batch.is_idle():
        (sequence,) = batch.admit()
        order.append(sequence.request_id)
        batch.remove(sequence.request_id)
    assert order == ["first", "second", "late"]


def test_missing_blocks_cost_time_and_come_before_the_first_token() -> None:
    batch = Batch(COST)
    batch.add(Sequence("a", 0, tuple(range(6)), 1, computed_blocks=1))
    batch.admit()
    first = batch.plan_step()
    assert (first.prefills[0].blocks, first.decoded) == (4, ())
    first.prefills[0].sequence.computed_blocks += 4
    second = batch.plan_step()
    assert second.prefills[0].blocks == 1
    assert [each.request_id for each in second.decoded] == ["a"]


@given(st.lists(st.lists(st.integers(0, 20), max_size=8), max_size=20))
def test_cache_never_exceeds_its_memory(chains: list[list[int]]) -> None:
    cache = PrefixCache(5)
    held: set[int] = set()
    for chain in chains:
        change = cache.store(tuple(chain))
        held = (held | set(change.stored)) - set(change.evicted)
        assert len(cache) <= 5
        assert set(cache.find_hashes()) == held


def test_deeper_blocks_are_evicted_before_their_parents() -> None:
    cache = PrefixCache(3)
    cache.store((1, 2, 3))
    assert cache.store((9,)).evicted == (3,)
    assert cache.count_matched((1, 2, 3)) == 2
