from __future__ import annotations

import random

from hypothesis import given, strategies as st

from toucanyard.hot_prefixes import HotPrefixes
from toucanyard.names import EndpointName
from toucanyard.preferred_endpoints import find_preferred_endpoints
from toucanyard.prefix import sample_chain
from toucanyard.rendezvous import EndpointRing

SHARED = tuple(range(24))
RING = EndpointRing([EndpointName(f"e{number}") for number in range(6)])


def make_chain(tail: int) -> tuple[int, ...]:
    return SHARED + tuple(range(tail * 1000, tail * 1000 + 10))


def test_shared_levels_show_in_counts() -> None:
    prefixes = HotPrefixes(1000)
    for tail in range(1, 5):
        prefixes.record(sample_chain(make_chain(tail)), 0.0)
    levels = prefixes.find_levels(sample_chain(make_chain(9)), 0.0)
    assert levels[-1].depth == 24


def test_width_rises_at_once_and_falls_late() -> None:
    """The load on a prefix fluctuates around a threshold of its width.

    Narrowed at each fall, the prefix would be recomputed at each rise.
    """
    prefixes = HotPrefixes(1000)
    prefixes.record((1,), 0.0)
    widths = [prefixes.adjust_width(1, load, 1) for load in (0.9, 1.1, 0.9, 1.1, 0.3)]
    assert widths == [1, 2, 2, 2, 1]


def test_node_that_saw_no_level_recur_agrees_on_the_home() -> None:
    """One node has seen the rulebook a hundred times, another has just started.

    If the deepest known level selected the endpoint, each would compute it elsewhere.
    """
    for front in range(100_000, 1_000_000, 100_000):
        shared = tuple(range(front, front + 24))
        informed, new = HotPrefixes(1000), HotPrefixes(1000)
        for tail in range(100):
            informed.record(sample_chain((*shared, tail, tail + 1)), float(tail))
        chain = sample_chain((*shared, 777, 778))
        known = find_preferred_endpoints(RING, informed, chain, 0.01, 100.0)
        unknown = find_preferred_endpoints(RING, new, chain, 0.01, 100.0)
        assert (known.depth, unknown.depth) == (24, 0)
        assert known.names == unknown.names


def test_deep_levels_stay_within_the_homes_of_the_front() -> None:
    """A template is hot and widened, one language of it is not.

    Outside the template's preferred endpoints, the language would recompute the
    template.
    """
    prefixes = HotPrefixes(1000)
    chains = [(1, 2, 3, 100 + each, 200 + each, 300 + each) for each in range(20)]
    for at in range(200):
        prefixes.record(sample_chain(chains[at % 20]), float(at))
    front = find_preferred_endpoints(RING, prefixes, (1, 2, 3), 0.25, 200.0)
    assert 1 < len(front.names) < 6
    for chain in chains:
        deep = find_preferred_endpoints(
            RING, prefixes, sample_chain(chain), 0.25, 200.0
        )
        assert set(deep.names) <= set(front.names)
        assert len(deep.names) == 1


@given(st.lists(st.integers(0, 500), max_size=300))
def test_table_keeps_its_bound(keys: list[int]) -> None:
    prefixes = HotPrefixes(32)
    for at, key in enumerate(keys):
        prefixes.record((key, key + 1000), float(at))
        assert len(prefixes) <= 32


@given(st.integers(0, 2**64 - 1), st.integers(0, 9))
def test_only_keys_of_a_gone_endpoint_move(key: int, gone: int) -> None:
    names = [EndpointName(f"e{number}") for number in range(10)]
    before = EndpointRing(names).rank_neighbours(key)
    left = [name for name in names if name != names[gone]]
    random.Random(gone).shuffle(left)
    after = EndpointRing(left).rank_neighbours(key)
    assert [name for name in before if name != names[gone]] == after
