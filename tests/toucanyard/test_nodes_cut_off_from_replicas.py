"""Test that callers of nodes that reach no replica are served like all others."""

from __future__ import annotations

from collections import Counter

import pytest

from toucanyard.errorcodes import ErrorKind
from toucanyard.names import CustomerName, NodeName, RequestId
from toucanyard.quarantine import QuarantinedRequest
from toucanyard.target_weights import WantedWeights

from .crash_fleet import BACK_MS, CRASHING_REQUEST
from .cut_fleet import Cut, CutFleet, compute_served_share
from .limit_fleet import BOUNDS, LIMIT
from .relay_examples import DESK

LOAD_PER_S = 40.0
DETECTION_MS = 1_000.0
"""Time after the begin of a cut from which callers must not notice it."""
MIN_SERVED = 0.95
CUT_MS = 6_000.0
FLOOD_TOKENS_PER_S = 60_000.0
MAX_NODES_WITH_CALLS = 8
"""So few nodes that each gets enough calls in a large fleet."""
MODES = pytest.mark.parametrize("how", list(Cut))


def choose_nodes(fleet: CutFleet, share: str) -> list[NodeName]:
    names = list(fleet.cores)
    match share:
        case "one":
            return names[:1]
        case "half":
            return names[: len(names) // 2]
        case "all_but_one":
            return names[1:]
        case _:
            domain = fleet.cores[names[0]].options.domain
            return [n for n in names if fleet.cores[n].options.domain == domain][1:]


def check_served(nodes_each: int, how: Cut, share: str) -> None:
    fleet = CutFleet(3, nodes_each)
    fleet.play_calls(2_000.0, LOAD_PER_S)
    cut = choose_nodes(fleet, share)
    since_ms = fleet.now_ms + DETECTION_MS
    fleet.cut(cut, how)
    calls = fleet.play_calls(CUT_MS, LOAD_PER_S, nodes=cut[:MAX_NODES_WITH_CALLS])
    fleet.run_for(2_000.0)
    assert compute_served_share(calls, cut, since_ms) >= MIN_SERVED


@MODES
@pytest.mark.parametrize("share", ["one", "half", "all_but_one", "domain_but_one"])
def test_calls_at_nodes_that_reach_no_replica_are_served(how: Cut, share: str) -> None:
    """Guards against refusing calls at a node whose peers reach the replicas."""
    check_served(3, how, share)


@pytest.mark.parametrize(
    ("how", "share"), [(Cut.HANG, "half"), (Cut.REFUSE, "domain_but_one")]
)
def test_calls_at_cut_off_nodes_of_a_large_fleet_are_served(
    how: Cut, share: str
) -> None:
    """Guards against refusing calls at a node that is linked to hubs only."""
    check_served(23, how, share)


@MODES
def test_calls_at_other_nodes_are_served_beside_a_cut(how: Cut) -> None:
    """Guards against a cut node's failures taking replicas out of use at its peers."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(2_000.0, LOAD_PER_S)
    names = list(fleet.cores)
    fleet.cut(names[:4], how)
    calls = fleet.play_calls(CUT_MS, LOAD_PER_S)
    fleet.run_for(2_000.0)
    assert compute_served_share(calls, names[4:], 0.0) >= 0.99


def test_callers_are_directed_to_nodes_that_reach_replicas() -> None:
    """Guards against naming nodes to callers that reach no replica."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(2_000.0, LOAD_PER_S)
    names = list(fleet.cores)
    fleet.cut(names[:4], Cut.HANG)
    fleet.play_calls(2_000.0, LOAD_PER_S)
    own = {fleet.cores[name].own_record.callers for name in names[:4]}
    for core in fleet.cores.values():
        found = core.find_addresses(fleet.now_ms)
        assert found
        assert own.isdisjoint(found)


@MODES
def test_calls_are_placed_here_again_soon_after_the_cut(how: Cut) -> None:
    """Guards against a node that stays out of use once it reaches replicas again."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    names = list(fleet.cores)[:4]
    fleet.cut(names, how)
    fleet.play_calls(3_000.0, LOAD_PER_S)
    fleet.reconnect()
    fleet.play_calls(DETECTION_MS, LOAD_PER_S)
    before = len(fleet.forwards)
    calls = fleet.play_calls(2_000.0, LOAD_PER_S)
    fleet.run_for(2_000.0)
    assert len(fleet.forwards) == before
    assert compute_served_share(calls, names, 0.0) == 1.0
    for core in fleet.cores.values():
        assert len(core.find_addresses(fleet.now_ms)) == len(fleet.cores)


def test_cut_that_comes_and_goes_does_not_make_a_node_flap() -> None:
    """Guards against moving calls and callers to and fro with each short cut."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    name = next(iter(fleet.cores))
    calls = []
    for _ in range(8):
        fleet.cut([name], Cut.HANG)
        calls += fleet.play_calls(1_000.0, LOAD_PER_S, nodes=[name])
        fleet.reconnect()
        calls += fleet.play_calls(1_000.0, LOAD_PER_S, nodes=[name])
    fleet.run_for(2_000.0)
    assert compute_served_share(calls, [name], 0.0) >= MIN_SERVED
    assert fleet.cores[name].reach.change_count <= 8


def test_locator_answers_when_all_nodes_are_cut_off() -> None:
    """Guards against telling callers that there is no node at all."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    fleet.cut(list(fleet.cores), Cut.HANG)
    calls = fleet.play_calls(3_000.0, LOAD_PER_S)
    for core in fleet.cores.values():
        assert len(core.find_addresses(fleet.now_ms)) == len(fleet.cores)
    fleet.run_for(6_000.0)
    assert {call.ending for call in calls} <= {"completed", "refused"}
    fleet.reconnect()
    fleet.play_calls(2_000.0, LOAD_PER_S)
    calls = fleet.play_calls(2_000.0, LOAD_PER_S)
    fleet.run_for(2_000.0)
    assert compute_served_share(calls, list(fleet.cores), 0.0) == 1.0


def test_calls_of_a_service_that_is_down_do_not_go_round_among_nodes() -> None:
    """Guards against forwarding calls to nodes that reach no replica either."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    for engine in fleet.list_engines():
        fleet.crash(engine.address)
    calls = fleet.play_calls(DETECTION_MS, LOAD_PER_S)
    before = len(fleet.forwards)
    calls += fleet.play_calls(BACK_MS - 2 * DETECTION_MS, LOAD_PER_S)
    assert len(fleet.forwards) == before
    fleet.run_for(6_000.0)
    assert all(call.ending is not None for call in calls)


def test_calm_fleet_makes_no_probes() -> None:
    """Guards against probes that cost replicas connections while nothing fails."""
    fleet = CutFleet(3, 3)
    fleet.connection_probes.clear()
    fleet.play_calls(3_000.0, LOAD_PER_S)
    assert not fleet.connection_probes


def test_cut_off_node_probes_sparingly() -> None:
    """Guards against probing all replicas over and over during a long cut."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    name = next(iter(fleet.cores))
    fleet.cut([name], Cut.HANG)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    fleet.connection_probes.clear()
    fleet.play_calls(4_000.0, LOAD_PER_S)
    assert 0 < fleet.connection_probes.pop(name) <= 4 * 5
    assert max(fleet.connection_probes.values(), default=0) <= 4 * 2


def test_replicas_run_a_forwarded_call_on_no_more_than_the_attempts_allowed() -> None:
    """Guards against attempts that are granted again at each node."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    names = list(fleet.cores)
    fleet.cut(names[:4], Cut.RESET)
    for _ in range(12):
        fleet.play_calls(300.0, LOAD_PER_S, nodes=names[:4])
        engine = fleet.rng.choice(fleet.list_engines())
        for request_id, call in list(engine.calls.items()):
            del engine.calls[request_id]
            fleet.lose(call, engine.name)
    fleet.run_for(3_000.0)
    runs: Counter[str] = Counter()
    for send in fleet.reached:
        runs[send.call.request.request_id.partition("@")[0]] += 1
    allowed = {c.request.request_id: c.request.max_attempts for c in fleet.calls}
    assert all(count <= allowed[RequestId(name)] for name, count in runs.items())


def test_customer_stays_within_its_limit_while_calls_are_forwarded() -> None:
    """Guards against a limit that is taken at neither or at both nodes."""
    fleet = CutFleet(3, 3)
    fleet.set_limit(LIMIT)
    fleet.play(2_000.0, FLOOD_TOKENS_PER_S)
    fleet.cut(list(fleet.cores)[:5], Cut.HANG)
    before = len(fleet.reached)
    fleet.play(10_000.0, FLOOD_TOKENS_PER_S)
    used = sum(send.call.request.tokens or 0 for send in fleet.reached[before:])
    assert fleet.find_max_usage() <= BOUNDS.compute_bound(LIMIT)
    assert used >= 0.8 * 10.0 * LIMIT.rate_per_s


def test_peers_of_a_cut_off_node_take_over_the_orders_of_weights() -> None:
    """Guards against a holder of the lease that reaches no replica and keeps it."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    name = next(iter(fleet.cores))
    fleet.cut([name], Cut.HANG)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    core = fleet.cores[name]
    assert core.reach.is_unreached(DESK)
    for known in core.directory.find_listed(DESK, fleet.now_ms):
        known.weights["m"] = 1
    core.weight_targets.apply(WantedWeights("m", 2), fleet.now_ms)
    assert core.rollout.tick(fleet.now_ms + 1_000.0) == []
    other = fleet.cores[list(fleet.cores)[1]]
    for known in other.directory.find_listed(DESK, fleet.now_ms):
        known.weights["m"] = 1
    other.weight_targets.apply(WantedWeights("m", 2), fleet.now_ms)
    actions = [other.rollout.tick(fleet.now_ms + 1_000.0 * n) for n in range(1, 9)]
    assert any(actions)


def test_forwarded_call_that_comes_back_is_checked_again() -> None:
    """Guards against placing a request that was quarantined while a peer had it."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    name = next(iter(fleet.cores))
    fleet.cut([name], Cut.REFUSE)
    fleet.play_calls(2_000.0, LOAD_PER_S)
    before = len(fleet.forwards)
    call = fleet.call(name, CRASHING_REQUEST)
    assert len(fleet.forwards) == before + 1
    fleet.dead = {other for other in fleet.cores if other != name}
    fleet.reconnect()
    request = QuarantinedRequest(CRASHING_REQUEST, "1", CustomerName("c"), "r", ())
    fleet.cores[name].guard.apply_record(request, "store", fleet.now_ms)
    fleet.run_for(1_000.0)
    assert call.sends == 0
    assert call.refusal is not None
    assert call.refusal.kind is ErrorKind.REQUEST_QUARANTINED
