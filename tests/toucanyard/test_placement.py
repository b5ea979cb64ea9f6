from __future__ import annotations

import random

import msgspec
from hypothesis import given, strategies as st

from placement_examples import POOL, make_pool, make_request
from toucanyard.cache_view import CacheDump
from toucanyard.configuration import PlacementPolicy
from toucanyard.load_view import LoadReport
from toucanyard.names import EndpointName, Incarnation
from toucanyard.placement import Placement
from toucanyard.prefix import BLOCK_BYTES, CacheIdentity, PromptChains
from toucanyard.requests import ModelTarget, Request

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
    """Nodes restart together without state, and each receives a hot prefix.

    Without hashing each would have it computed on another endpoint.
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
    """The load report is a second old and shows every endpoint as idle.

    Without counting its own dispatches, the node would send a whole burst to one
    endpoint.
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
        placement.record_dispatch(request, placed, pool, 1.0)
        chosen.add(placed.endpoint)
    assert len(chosen) == 3


def test_restart_drops_what_was_warm() -> None:
    placement, pool = make_placement(), make_pool(4)
    placement.apply_cache_dump(E0, CacheDump(RUN, 1, CHAIN), 0.0)
    placement.record_incarnation(E0, Incarnation("i2"))
    placed = placement.choose(make_request(1, CHAIN), pool, pool.endpoints, 0.0)
    assert placed is not None
    assert all(score.warm_blocks == 0 for score in placed.scores)
    assert E0 in placement.find_doubtful([E0], 0.0)


@given(
    size=st.integers(1, 60),
    usable=st.sets(st.integers(0, 59)),
    warm=st.integers(0, 59),
    seed=st.integers(0, 99),
)
def test_only_candidates_are_chosen(
    size: int, usable: set[int], warm: int, seed: int
) -> None:
    """The endpoint with the most cached blocks is leaving and no longer offered.

    Nothing is sent to it, however much it has cached.
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
    """24 requests share a long prefix that no endpoint has cached.

    Spread by load, each engine would compute it. All follow the first request, whose
    blocks are expected at its endpoint from the dispatch on, before any cache event.
    """
    placement, pool = make_placement(), make_pool(6, PlacementPolicy(recompute_price=8))
    chosen = set()
    for number in range(24):
        tail = tuple(range(number * 100, number * 100 + 4))
        request = make_request(number, tuple(range(5000, 5160)) + tail)
        placed = placement.choose(request, pool, pool.endpoints, float(number))
        assert placed is not None
        placement.record_dispatch(request, placed, pool, float(number))
        chosen.add(placed.endpoint)
    assert len(chosen) == 1


def make_prompt_request(number: int, weights_version: str) -> Request:
    identity = CacheIdentity("large", "m", "", weights_version)
    chains = PromptChains(identity, b"x" * BLOCK_BYTES * 40)
    chain = chains.find_chain(weights_version)
    target = ModelTarget(
        POOL,
        "m",
        "",
        weights_version,
        chain,
        1,
        1,
        chains.compute_affinity_keys(),
        chains,
    )
    return msgspec.structs.replace(make_request(number), target=target)


def apply_weights(placement: Placement, endpoint: EndpointName, version: str) -> None:
    report = LoadReport(RUN, 0, 0.0, weights_version=version)
    placement.apply_load(endpoint, report, 0.0)


def test_replica_is_used_as_warm_until_it_has_the_new_weights() -> None:
    """New weights are rolled out, and the replica with the prompt loads them last.

    Scored by its blocks under the new weights, that replica looks as empty as the
    others, and the prompt is computed again on one that is not its preferred endpoint
    either.
    """
    placement, pool = make_placement(), make_pool(5)
    for each in pool.endpoints:
        apply_weights(placement, each.name, "w1")
    request = make_prompt_request(1, "w1")
    first = placement.choose(request, pool, pool.endpoints, 0.0)
    assert first is not None
    placement.record_dispatch(request, first, pool, 0.0)
    for each in pool.endpoints:
        version = "w1" if each.name == first.endpoint else "w2"
        apply_weights(placement, each.name, version)
    second = placement.choose(make_prompt_request(2, "w2"), pool, pool.endpoints, 1.0)
    assert second is not None
    assert second.endpoint == first.endpoint
    assert second.scores[0].warm_blocks == 40
    apply_weights(placement, first.endpoint, "w2")
    third = placement.choose(make_prompt_request(3, "w2"), pool, pool.endpoints, 2.0)
    assert third is not None
    assert third.endpoint == first.endpoint
    assert all(score.warm_blocks == 0 for score in third.scores)


@given(st.data())
def test_no_block_of_other_weights_counts_as_warm(data: st.DataObject) -> None:
    """Reports, dispatches and dumps of two weights versions come in any order.

    A replica counts as warm only for blocks known under the weights that it last
    reported.
    """
    placement, pool = make_placement(), make_pool(3)
    known: set[tuple[EndpointName, str]] = set()
    reported = {each.name: "w1" for each in pool.endpoints}
    for name in reported:
        apply_weights(placement, name, "w1")
    steps = st.tuples(
        st.sampled_from(["report", "send", "dump"]),
        st.sampled_from([each.name for each in pool.endpoints]),
        st.sampled_from(["w1", "w2"]),
    )
    for number, (step, name, version) in enumerate(data.draw(st.lists(steps))):
        request = make_prompt_request(number, version)
        assert isinstance(request.target, ModelTarget)
        if step == "report":
            apply_weights(placement, name, version)
            reported[name] = version
        elif step == "dump":
            dump = CacheDump(RUN, 1, request.target.chain)
            placement.apply_cache_dump(name, dump, 0.0)
            known = {each for each in known if each[0] != name} | {(name, version)}
        else:
            placed = placement.choose(request, pool, pool.endpoints, 0.0)
            assert placed is not None
            placement.record_dispatch(request, placed, pool, 0.0)
            known.add((placed.endpoint, reported[placed.endpoint]))
    placed = placement.choose(make_prompt_request(-1, "w2"), pool, pool.endpoints, 0.0)
    assert placed is not None
    for score in placed.scores:
        is_known = (score.endpoint, reported[score.endpoint]) in known
        assert score.warm_blocks == (40 if is_known else 0)


def test_cold_prompt_goes_to_a_replica_with_the_new_weights() -> None:
    """A replica loads new weights, and its prompts are sent to the others meanwhile.

    Computed under the old weights, they would be lost again within seconds.
    """
    pool = make_pool(5)
    for seed in range(5):
        placement = make_placement(seed)
        for number, each in enumerate(pool.endpoints):
            apply_weights(placement, each.name, "w2" if number == seed else "w1")
        request = make_prompt_request(1, "w2")
        placed = placement.choose(request, pool, pool.endpoints, 0.0)
        assert placed is not None
        assert placed.endpoint == pool.endpoints[seed].name


def test_second_home_of_a_hot_prefix_is_computed_before_the_first_is_swamped() -> None:
    """A customer's template is hot, and only its first endpoint has 5 s of work queued.

    At the price of a single recomputation all requests would wait there, and the second
    preferred endpoint, which the load calls for, would stay idle and cold.
    """
    policy = PlacementPolicy(recompute_price=8)
    placement, pool = make_placement(), make_pool(6, policy)
    placement.apply_node_count(4)
    shared = tuple(range(5000, 5096))
    for number in range(60):
        request = make_request(number, (*shared, number))
        placed = placement.choose(request, pool, pool.endpoints, number * 20.0)
        assert placed is not None
        if number == 0:
            first = placed.endpoint
            placement.record_dispatch(request, placed, pool, 0.0)
    for each in pool.endpoints:
        queued = 625 if each.name == first else 0
        report = LoadReport(RUN, 0, 0.0, queued_blocks=queued)
        placement.apply_load(each.name, report, 1_200.0)
        chain = (*shared, 0) if each.name == first else ()
        placement.apply_cache_dump(each.name, CacheDump(RUN, 1, chain), 1_200.0)
    request = make_request(99, (*shared, 99))
    placed = placement.choose(request, pool, pool.endpoints, 1_200.0)
    assert placed is not None
    assert placed.width > 1
    assert placed.endpoint != first
    assert placed.scores[0].is_home


def find_cold_choice(age_ms: float, used_blocks: int) -> bool:
    """Return whether a cold prompt goes to its endpoint with 1.5 s of queued work."""
    placement, pool = make_placement(), make_pool(5, PlacementPolicy(recompute_price=8))
    placement.apply_node_count(8)
    placement.choose(make_request(0, (1, 2)), pool, pool.endpoints, 0.0)
    preferred = make_placement().choose(
        make_request(1, CHAIN * 3), pool, pool.endpoints, 0.0
    )
    assert preferred is not None
    for each in pool.endpoints:
        report = LoadReport(
            RUN,
            0,
            0.0,
            queued_blocks=200 if each.name == preferred.endpoint else 0,
            used_blocks=used_blocks,
            capacity_blocks=900,
        )
        placement.apply_load(each.name, report, age_ms)
    placed = placement.choose(make_request(1, CHAIN * 3), pool, pool.endpoints, age_ms)
    assert placed is not None
    return placed.endpoint == preferred.endpoint


def test_restarted_node_expects_its_peers_requests_at_the_home() -> None:
    """All nodes restart while the hot prefixes change.

    Each soon gets a first request for a new rulebook, while the preferred endpoint
    reports a queue. That queue is the rulebook itself, sent by the peers. Mistaken for
    other work, it would move the request to a fallback, and the rulebook would be
    computed there too. The expectation ends after some seconds, when the node has its
    own data. An empty fleet is filled by load instead, or large customers with one
    preferred endpoint would fill one cache.
    """
    assert find_cold_choice(age_ms=100.0, used_blocks=800)
    assert not find_cold_choice(age_ms=40_000.0, used_blocks=800)
    assert not find_cold_choice(age_ms=100.0, used_blocks=100)
