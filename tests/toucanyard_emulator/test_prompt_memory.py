from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.prompt_block_index import PromptBlock
from toucanyard_emulator.prompt_memory import PromptMemory

A, B, C = (PromptBlock(name, 40) for name in "abc")


def test_part_that_was_used_longest_ago_yields() -> None:
    memory = PromptMemory(100)
    memory.keep("s", (A,), 0.0)
    memory.keep("s", (B,), 1.0)
    memory.touch("s", (A,))
    memory.keep("s", (C,), 2.0)
    assert memory.count_leading("s", (A,)) == 40
    assert memory.count_leading("s", (B,)) == 0
    assert [(each.part, each.tokens) for _, each in memory.changes][-1] == ("b", 0)


def test_part_that_a_running_call_holds_does_not_yield() -> None:
    memory = PromptMemory(100)
    memory.keep("s", (A,), 0.0)
    memory.hold("s", (A,), 10, 0.0)
    memory.keep("s", (B,), 1.0)
    memory.keep("s", (C,), 2.0)
    assert memory.count_leading("s", (A,)) == 40
    assert not memory.has_room("s", (B,), 30)
    memory.release("s", (A,), 10)
    assert memory.has_room("s", (B,), 30)


def test_part_counts_only_within_its_scope_and_chain() -> None:
    memory = PromptMemory(100)
    memory.keep("s", (A, B), 0.0)
    assert memory.count_leading("s", (A, B)) == 80
    assert memory.count_leading("s", (C, B)) == 0
    assert memory.count_leading("t", (A,)) == 0


@given(st.lists(st.tuples(st.sampled_from((A, B, C)), st.booleans()), max_size=20))
def test_holding_and_releasing_adds_up(steps: list[tuple[PromptBlock, bool]]) -> None:
    memory = PromptMemory(100)
    held: list[PromptBlock] = []
    for part, is_new in steps:
        memory.keep("s", (part,), 0.0)
        if is_new:
            memory.hold("s", (part,), 5, 0.0)
            held.append(part)
        elif held:
            memory.release("s", (held.pop(),), 5)
    for part in held:
        memory.release("s", (part,), 5)
    memory.keep("s", (A,), 0.0)
    kept = sum(memory.count_leading("s", (part,)) for part in (A, B, C))
    assert kept <= 100
    assert memory.has_room("s", (), 100)
    assert not memory.has_room("s", (), 101)
