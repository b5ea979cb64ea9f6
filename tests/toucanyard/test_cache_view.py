from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.cache_view import (
    REORDER_WINDOW_MS,
    CacheDump,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    CacheView,
)
from toucanyard.names import Incarnation
from toucanyard.prefix import CacheIdentity, compute_chain

FIRST, SECOND = Incarnation("i1"), Incarnation("i2")
PROMPT = b"a" * 256 * 4


def make_events(
    incarnation: Incarnation, *numbered: tuple[int, str, tuple[int, ...]]
) -> CacheEvents:
    events = tuple(
        CacheEvent(seq, CacheEventKind(kind), hashes) for seq, kind, hashes in numbered
    )
    last = max((event.seq for event in events), default=0)
    return CacheEvents(incarnation, 1, last + 1, events)


def test_restart_forgets_and_late_events_do_not_bring_back() -> None:
    """A restarted engine is empty, and a late event of its previous incarnation
    arrives.

    Without the list of replaced incarnations, the view would return to the dead one,
    and callers would wait for a recomputation that was priced at zero.
    """
    view = CacheView(100)
    view.apply_events(make_events(FIRST, (1, "stored", (1, 2, 3))), 0.0)
    assert view.count_warm((1, 2, 3)) == 3
    view.record_incarnation(SECOND)
    assert view.count_warm((1, 2, 3)) == 0
    view.apply_events(make_events(FIRST, (2, "stored", (1, 2, 3))), 1.0)
    view.apply_dump(CacheDump(FIRST, 3, (1, 2, 3)), 2.0)
    assert view.count_warm((1, 2, 3)) == 0
    assert view.incarnation == SECOND


def test_reordered_events_end_as_in_order() -> None:
    """An eviction arrives before the stored event that it reverts.

    Applied in arrival order, the block would stay forever, since no later event names
    it. Buffered behind the gap, both are applied in the engine's order.
    """
    view = CacheView(100)
    view.apply_dump(CacheDump(FIRST, 1, ()), 0.0)
    view.apply_events(make_events(FIRST, (2, "evicted", (7,))), 1.0)
    view.apply_events(make_events(FIRST, (1, "stored", (7,))), 2.0)
    assert view.count_warm((7,)) == 0
    assert not view.is_doubtful


def test_gap_makes_doubtful_until_dump() -> None:
    """Event 1 is lost, which may have been the eviction of the rulebook.

    The view is not fully trusted after that, until a dump restores it.
    """
    view = CacheView(100)
    view.apply_dump(CacheDump(FIRST, 1, (5,)), 0.0)
    view.apply_events(make_events(FIRST, (2, "stored", (6,))), 1.0)
    assert not view.is_doubtful
    view.check_gap(REORDER_WINDOW_MS + 2.0)
    assert view.is_doubtful
    view.apply_dump(CacheDump(FIRST, 3, (6,)), REORDER_WINDOW_MS + 3.0)
    assert not view.is_doubtful
    assert view.count_warm((5,)) == 0
    assert view.count_warm((6,)) == 1


def test_full_view_drops_the_tail_of_a_chain_first() -> None:
    view = CacheView(3)
    view.touch((1, 2, 3, 4), 0.0)
    assert view.count_warm((1, 2, 3, 4)) == 3
    assert len(view) == 3


def test_other_customer_or_weights_never_match() -> None:
    """Two customers send the same text, and later the weights change.

    A match would reveal the timing of another customer's prompts, or use blocks that
    the new weights never computed.
    """
    view = CacheView(100)
    view.touch(compute_chain(CacheIdentity("a", "m", "", "w1"), PROMPT), 0.0)
    for identity in (
        CacheIdentity("b", "m", "", "w1"),
        CacheIdentity("a", "m", "", "w2"),
    ):
        assert view.count_warm(compute_chain(identity, PROMPT)) == 0


@given(st.data())
def test_any_order_never_returns_blocks_of_a_dead_incarnation(
    data: st.DataObject,
) -> None:
    """Each incarnation stores its own blocks, and messages arrive in any order.

    Once a later incarnation has been seen, no block of an earlier one counts as cached.
    """
    runs = [Incarnation(f"i{number}") for number in range(3)]
    messages = data.draw(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.integers(1, 6),
                st.sampled_from(["stored", "evicted", "dump", "seen"]),
            ),
            max_size=40,
        )
    )
    view = CacheView(50)
    seen: list[Incarnation] = []
    for at, (run, seq, kind) in enumerate(messages):
        block = run * 100 + seq
        if kind == "dump":
            view.apply_dump(CacheDump(runs[run], seq, (block,)), float(at))
        elif kind == "seen":
            view.record_incarnation(runs[run])
        else:
            view.apply_events(make_events(runs[run], (seq, kind, (block,))), float(at))
        if runs[run] not in seen:
            seen.append(runs[run])
        assert view.incarnation == seen[-1]
        for other in range(3):
            if runs[other] != seen[-1]:
                warm = [view.count_warm((other * 100 + each,)) for each in range(1, 7)]
                assert not any(warm)


@given(st.permutations(list(range(1, 9))))
def test_any_order_within_the_window_ends_alike(order: list[int]) -> None:
    kinds = {seq: "stored" if seq % 3 else "evicted" for seq in range(1, 9)}
    blocks = {seq: (seq % 4,) for seq in range(1, 9)}
    view, in_order = CacheView(50), CacheView(50)
    for one, sequence in ((view, order), (in_order, list(range(1, 9)))):
        one.apply_dump(CacheDump(FIRST, 1, ()), 0.0)
        for seq in sequence:
            one.apply_events(make_events(FIRST, (seq, kinds[seq], blocks[seq])), 1.0)
    for block in range(4):
        assert view.count_warm((block,)) == in_order.count_warm((block,))
    assert not view.is_doubtful
