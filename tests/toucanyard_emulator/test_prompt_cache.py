from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.prompt_block_index import PromptBlock
from toucanyard_emulator.prompt_cache import PromptCache

A, B, C = (PromptBlock(name, 40) for name in "abc")


def test_part_that_was_used_longest_ago_yields() -> None:
    cache = PromptCache(100)
    cache.insert("s", (A,), 0.0)
    cache.insert("s", (B,), 1.0)
    cache.touch("s", (A,))
    cache.insert("s", (C,), 2.0)
    assert cache.count_cached_prefix("s", (A,)) == 40
    assert cache.count_cached_prefix("s", (B,)) == 0
    assert [(each.part, each.tokens) for _, each in cache.changes][-1] == ("b", 0)


def test_part_that_a_running_call_holds_does_not_yield() -> None:
    cache = PromptCache(100)
    cache.insert("s", (A,), 0.0)
    cache.hold("s", (A,), 10, 0.0)
    cache.insert("s", (B,), 1.0)
    cache.insert("s", (C,), 2.0)
    assert cache.count_cached_prefix("s", (A,)) == 40
    assert not cache.has_room("s", (B,), 30)
    cache.release("s", (A,), 10)
    assert cache.has_room("s", (B,), 30)


def test_part_counts_only_within_its_scope_and_chain() -> None:
    cache = PromptCache(100)
    cache.insert("s", (A, B), 0.0)
    assert cache.count_cached_prefix("s", (A, B)) == 80
    assert cache.count_cached_prefix("s", (C, B)) == 0
    assert cache.count_cached_prefix("t", (A,)) == 0


@given(st.lists(st.tuples(st.sampled_from((A, B, C)), st.booleans()), max_size=20))
def test_holding_and_releasing_adds_up(steps: list[tuple[PromptBlock, bool]]) -> None:
    cache = PromptCache(100)
    held: list[PromptBlock] = []
    for block, is_new in steps:
        cache.insert("s", (block,), 0.0)
        if is_new:
            cache.hold("s", (block,), 5, 0.0)
            held.append(block)
        elif held:
            cache.release("s", (held.pop(),), 5)
    for block in held:
        cache.release("s", (block,), 5)
    cache.insert("s", (A,), 0.0)
    kept = sum(cache.count_cached_prefix("s", (block,)) for block in (A, B, C))
    assert kept <= 100
    assert cache.has_room("s", (), 100)
    assert not cache.has_room("s", (), 101)
