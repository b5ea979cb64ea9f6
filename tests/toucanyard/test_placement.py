from __future__ import annotations

import random

from hypothesis import given, strategies as st

from placement_examples import make_pool, make_request
from toucanyard.cache_view import CacheDump
from toucanyard.configuration import PlacementPolicy
from toucanyard.load_view import LoadReport
from toucanyard.names import EndpointName, Incarnation
from toucanyard.placement import Placement

CHAIN = tuple(range(1000, 1040))
E0, E1 = EndpointName("e0"), EndpointName("e1")
RUN = Incarnation("i1")


def make_placement(seed: int = 1) -> Placement:
    return Placement(random.Random(seed))


def test_warm_endpoint_is_chosen() -> None:
    placement, pool = make_placement(), make_pool(5)
    placement.apply_cache_dump(E1, CacheDump(RUN, 1, CHAIN), 0.0)
    placed = placement.choose(make_request(1, CHAIN), pool, pool.endpoints, 0.0)
    assert placed is not None
    assert placed.endpoint == E1
    assert placed.scores[0].warm_blocks == len(CHAIN)


def test_nodes_without_a_view_agree() -> None:
    """Nodes come back together, know nothing, and a hot prefix comes to each of them.

    Without hashing each would compute it on an endpoint of its own.
    """
    pool = make_pool(6)
    request = make_request(1, CHAIN)
    chosen = set()
    for seed in range(8):
        placed = make_placement(seed).choose(request, pool, pool.endpoints, 0.0)
        assert placed is not None
        chosen.add(placed.endpoint)
    assert len(chosen) == 1


def test_own_dispatches_count_before_the_next_report() -> None:
    """The load report is a second old and says that every endpoint is idle.

    Without its own dispatches added, the node would send all of a burst to one.
    """
    placement, pool = make_placement(), make_pool(3)
    for endpoint in pool.endpoints:
        report = LoadReport(RUN, 0, 1000.0)
        placement.apply_load(endpoint.name, report, 0.0)
    chosen = set()
    for number in range(12):
        chain = tuple(range(number * 100, number * 100 + 40))
        request = make_request(number, chain)
        placed = placement.choose(request, pool, pool.endpoints, 1.0)
        assert placed is not None
        placement.note_dispatch(request, placed, pool, 1.0)
        chosen.add(placed.endpoint)
    assert len(chosen) == 3


def test_restart_drops_what_was_warm() -> None:
    placement, pool = make_placement(), make_pool(4)
    placement.apply_cache_dump(E0, CacheDump(RUN, 1, CHAIN), 0.0)
    placement.note_incarnation(E0, Incarnation("i2"))
    placed = placement.choose(make_request(1, CHAIN), pool, pool.endpoints, 0.0)
    assert placed is not None
    assert all(score.warm_blocks == 0 for score in placed.scores)
    assert E0 in placement.find_doubtful(0.0)


@given(
    size=st.integers(1, 60),
    usable=st.sets(st.integers(0, 59)),
    warm=st.integers(0, 59),
    seed=st.integers(0, 99),
)
def test_only_candidates_are_chosen(
    size: int, usable: set[int], warm: int, seed: int
) -> None:
    """The warmest endpoint is leaving, so membership doesn't offer it any more.

    However warm it is, nothing is sent to it.
    """
    placement, pool = make_placement(seed), make_pool(size)
    offered = tuple(each for n, each in enumerate(pool.endpoints) if n in usable)
    placement.apply_cache_dump(EndpointName(f"e{warm}"), CacheDump(RUN, 1, CHAIN), 0.0)
    placement.choose(make_request(0, CHAIN), pool, pool.endpoints, 0.0)
    placed = placement.choose(make_request(1, CHAIN), pool, offered, 0.0)
    if placed is None:
        assert not offered
        return
    assert placed.endpoint in {each.name for each in offered}
    assert {score.endpoint for score in placed.scores} <= {e.name for e in offered}


def test_burst_on_a_cold_prefix_is_computed_once() -> None:
    """After a main break, 24 drafts share an incident report nobody has cached.

    Spread by load, each engine would compute the report; here all follow the first,
    whose blocks are expected there from its dispatch on, before any event tells so.
    """
    placement, pool = make_placement(), make_pool(6, PlacementPolicy(recompute_price=8))
    chosen = set()
    for number in range(24):
        tail = tuple(range(number * 100, number * 100 + 4))
        request = make_request(number, tuple(range(5000, 5160)) + tail)
        placed = placement.choose(request, pool, pool.endpoints, float(number))
        assert placed is not None
        placement.note_dispatch(request, placed, pool, float(number))
        chosen.add(placed.endpoint)
    assert len(chosen) == 1
