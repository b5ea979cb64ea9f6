"""Test that nodes heed replicas that state a leave or a rest in their responses."""

from __future__ import annotations

import pytest

from .crash_fleet import Call
from .statement_fleet import StatementFleet

LOAD_PER_S = 40.0
REST_MS = 3_000.0
REFUSING_MS = 500.0
"""How long a replica turns calls away before it accepts them again."""
SIZES = pytest.mark.parametrize("nodes_each", [3, 23], ids=["nodes-9", "nodes-69"])


def refuse_at_times(fleet: StatementFleet, count: int, times: int) -> list[Call]:
    """Let some replicas turn calls of three nodes away several times."""
    nodes = list(fleet.cores)[5:8]
    calls = []
    for _ in range(times):
        resting = fleet.list_engines()[:count]
        fleet.rests = {each.address: REST_MS for each in resting}
        calls += fleet.play_calls(REFUSING_MS, LOAD_PER_S, nodes=nodes)
        fleet.rests = {}
        calls += fleet.play_calls(REST_MS + 1_500.0, LOAD_PER_S, nodes=nodes)
    fleet.run_for(2_000.0)
    return calls


@SIZES
def test_replica_that_states_a_leave_gets_no_calls(nodes_each: int) -> None:
    """Guards against sending to a replica whose leave only its responses show."""
    fleet = StatementFleet(3, nodes_each)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    fleet.leaving.add(fleet.list_engines()[0].address)
    calls = fleet.play_calls(8_000.0, LOAD_PER_S)
    fleet.run_for(1_000.0)
    assert fleet.leave_seen_ms
    assert fleet.find_after_leave() == {}
    assert fleet.count_served(calls) == 1.0


@SIZES
def test_another_replica_at_the_address_of_a_left_one_is_used(nodes_each: int) -> None:
    """Guards against barring an address instead of one incarnation."""
    fleet = StatementFleet(3, nodes_each)
    left = fleet.list_engines()[0]
    fleet.leaving.add(left.address)
    fleet.play_calls(3_000.0, LOAD_PER_S)
    fleet.leaving.clear()
    fleet.crash(left.address)
    fleet.run_for(6_000.0)
    fleet.play_calls(4_000.0, LOAD_PER_S)
    name = fleet.engines[left.address].name
    assert name != left.name
    assert any(send.replica == name for send in fleet.reached)
    assert fleet.find_after_leave() == {}


@SIZES
@pytest.mark.parametrize("count", [2, 8])
def test_replica_that_wants_rest_is_left_alone(nodes_each: int, count: int) -> None:
    """Guards against sending to a replica before the rest that it asked for is over."""
    fleet = StatementFleet(3, nodes_each)
    fleet.play_calls(1_000.0, LOAD_PER_S)
    refuse_at_times(fleet, count, 4)
    assert fleet.refused_ms
    assert fleet.find_during_rest(REST_MS) == {}


@SIZES
def test_calls_go_elsewhere_while_some_replicas_rest(nodes_each: int) -> None:
    """Guards against losing calls to a rest while other replicas have room."""
    fleet = StatementFleet(3, nodes_each)
    calls = refuse_at_times(fleet, 2, 4)
    assert fleet.count_served(calls) >= 0.99
