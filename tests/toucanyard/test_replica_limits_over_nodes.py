"""Test that all nodes together keep the limits that replicas announce."""

from __future__ import annotations

import pytest

from .crash_fleet import Engine
from .replica_limit_fleet import ReplicaLimitFleet, find_allowed

LOAD_PER_S = 25.0
FEW = pytest.mark.parametrize("nodes_each", [3, 23], ids=["nodes-9", "nodes-69"])


def find_excess(fleet: ReplicaLimitFleet, engines: list[Engine]) -> dict[str, int]:
    """Return the replicas that received too many requests in any window."""
    worst = {each.name: fleet.find_worst_window(each) for each in engines}
    rates = {
        each.name: fleet.announced_limits.get(each.address, 0.0) for each in engines
    }
    return {n: w for n, w in worst.items() if w > find_allowed(rates[n])}


@FEW
def test_limited_replicas_are_spared_while_others_have_room(nodes_each: int) -> None:
    """Guards against placing calls by load alone, and against losing calls."""
    fleet = ReplicaLimitFleet(3, nodes_each)
    fleet.play_calls(3_000.0, LOAD_PER_S)
    limited = fleet.announce_limits(0.6, 4)
    calls = fleet.play_calls(12_000.0, LOAD_PER_S)
    fleet.run_for(1_000.0)
    assert find_excess(fleet, limited) == {}
    served = sum(call.ending == "completed" for call in calls)
    assert served >= 0.99 * len(calls)


@FEW
def test_limits_of_all_replicas_are_kept_and_used(nodes_each: int) -> None:
    """Guards against nodes that each use the whole limit, or unusably small shares."""
    fleet = ReplicaLimitFleet(3, nodes_each)
    fleet.play_calls(3_000.0, LOAD_PER_S)
    limited = fleet.announce_limits(1.9, 8)
    fleet.play_calls(6_000.0, LOAD_PER_S)
    since_ms = fleet.now_ms
    fleet.play_calls(10_000.0, LOAD_PER_S)
    assert find_excess(fleet, limited) == {}
    used = sum(len(fleet.list_arrivals(each, since_ms)) for each in limited)
    assert used >= 0.9 * 1.9 * 8 * 10


@FEW
def test_limits_are_kept_while_half_of_the_nodes_are_cut_off(nodes_each: int) -> None:
    """Guards against two sides of a network partition that each use the whole limit."""
    fleet = ReplicaLimitFleet(3, nodes_each)
    limited = fleet.announce_limits(1.2, 8)
    fleet.play_calls(4_000.0, LOAD_PER_S)
    names = list(fleet.cores)
    fleet.partition_network(names[: len(names) // 2])
    fleet.play_calls(8_000.0, LOAD_PER_S)
    fleet.heal()
    fleet.play_calls(5_000.0, LOAD_PER_S)
    assert find_excess(fleet, limited) == {}


@FEW
def test_limits_are_kept_when_all_nodes_start_again(nodes_each: int) -> None:
    """Guards against restarted nodes that don't know what was sent before."""
    fleet = ReplicaLimitFleet(3, nodes_each)
    limited = fleet.announce_limits(1.2, 8)
    fleet.play_calls(4_000.0, LOAD_PER_S)
    names = list(fleet.cores)
    for _ in range(2):
        fleet.kill(names)
        fleet.run_for(300.0)
        fleet.start_again(names)
        fleet.play_calls(5_000.0, LOAD_PER_S)
    assert find_excess(fleet, limited) == {}


@FEW
def test_limit_of_zero_is_kept_and_found_to_have_ended(nodes_each: int) -> None:
    """Guards against a replica that gets no requests and so can't show it recovered."""
    fleet = ReplicaLimitFleet(3, nodes_each)
    limited = fleet.announce_limits(0.0, 4)
    fleet.play_calls(12_000.0, LOAD_PER_S)
    assert find_excess(fleet, limited) == {}
    fleet.announced_limits.clear()
    fleet.play_calls(5_000.0, LOAD_PER_S)
    since_ms = fleet.now_ms
    fleet.play_calls(4_000.0, LOAD_PER_S)
    assert all(len(fleet.list_arrivals(each, since_ms)) > 5 for each in limited)


@FEW
def test_ended_and_raised_limits_are_used_within_a_second(nodes_each: int) -> None:
    """Guards against limiting replicas that no longer need it."""
    fleet = ReplicaLimitFleet(3, nodes_each)
    limited = fleet.announce_limits(1.2, 8)
    fleet.play_calls(6_000.0, LOAD_PER_S)
    fleet.announce_limits(2.4, 8)
    # The next response of each replica shows its new limit.
    fleet.play_calls(2_000.0, LOAD_PER_S)
    since_ms = fleet.now_ms
    fleet.play_calls(4_000.0, LOAD_PER_S)
    used = sum(len(fleet.list_arrivals(each, since_ms)) for each in limited)
    assert used >= 0.9 * 2.4 * 8 * 4
    fleet.announced_limits.clear()
    fleet.play_calls(1_500.0, LOAD_PER_S)
    calls = fleet.play_calls(4_000.0, LOAD_PER_S)
    fleet.run_for(1_000.0)
    assert sum(call.ending == "completed" for call in calls) >= 0.99 * len(calls)


def test_shares_follow_demand() -> None:
    """Guards against equal shares, most of them at nodes without callers."""
    fleet = ReplicaLimitFleet(3, 23)
    limited = fleet.announce_limits(1.9, 8)
    names = list(fleet.cores)[5:8]
    fleet.play_calls(5_000.0, LOAD_PER_S, names)
    since_ms = fleet.now_ms
    fleet.play_calls(8_000.0, LOAD_PER_S, names)
    assert find_excess(fleet, limited) == {}
    used = sum(len(fleet.list_arrivals(each, since_ms)) for each in limited)
    assert used >= 0.9 * 1.9 * 8 * 8


def test_calls_that_limits_leave_no_room_for_are_refused_at_once() -> None:
    """Guards against queueing calls until their deadline."""
    fleet = ReplicaLimitFleet(3, 3)
    fleet.announce_limits(0.6, 8)
    fleet.play_calls(6_000.0, LOAD_PER_S)
    calls = fleet.play_calls(6_000.0, LOAD_PER_S)
    fleet.run_for(6_000.0)
    refused = [call for call in calls if call.refusal is not None]
    assert len(refused) > 0.6 * len(calls)
    waits_ms = sorted(call.ended_ms - call.request.arrived_ms for call in refused)
    assert waits_ms[len(waits_ms) // 2] <= 50.0
    retries_ms = {
        call.refusal.retry_after_ms for call in refused if call.refusal is not None
    }
    assert len(retries_ms) > len(refused) / 4
    urgent, other = (
        sum(c.ending == "completed" for c in calls if c.request.rank == rank)
        for rank in (0, 1)
    )
    assert urgent > 2 * other
