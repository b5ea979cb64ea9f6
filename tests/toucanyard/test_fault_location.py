"""Test telling a node that is cut off from a service that is down."""

from __future__ import annotations

import pytest

from toucanyard.fault_location import SETTLING_MS, FaultLocation, FaultLocator
from toucanyard.names import EndpointName, Incarnation, NodeName
from toucanyard.node_directory import STATUS_TTL_MS, NodeDirectory
from toucanyard.node_records import NodeRecord
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replicas import ReplicaDirectory

from .crash_fleet import BACK_MS
from .cut_fleet import Cut, CutFleet
from .relay_examples import DESK, LISTEN, OPTIONS, build_replica

REPLICA = EndpointName("a")


def build_record(name: str) -> NodeRecord:
    return NodeRecord(
        NodeName(name),
        Incarnation("i"),
        OPTIONS.domain,
        LISTEN.callers,
        LISTEN.peers,
    )


class View:
    """What one node knows of its connects and of one peer."""

    def __init__(self) -> None:
        self.directory = ReplicaDirectory()
        self.replica = build_replica("a", service=DESK, weights=())
        self.directory.apply(self.replica, 0.0)
        self.reach = ReplicaReach(self.directory)
        self.nodes = NodeDirectory(build_record("n1"), ())
        self.nodes.apply(build_record("n2"))
        self.faults = FaultLocator(self.reach, self.nodes)

    def lose(self, now_ms: float) -> None:
        self.reach.record_failed(self.replica, now_ms, now_ms)

    def hear(self, now_ms: float, *, is_reaching: bool) -> None:
        unreached = () if is_reaching else (DESK,)
        self.nodes.record_status(NodeName("n2"), True, now_ms, unreached=unreached)


def test_service_that_is_reached_has_no_fault() -> None:
    view = View()
    assert view.faults.locate(DESK, 0.0) is FaultLocation.NONE
    assert not view.faults.is_blind(REPLICA, 0.0)


def test_node_is_cut_off_if_a_peer_still_reaches_after_a_moment() -> None:
    view = View()
    view.lose(100.0)
    view.hear(100.0, is_reaching=True)
    assert view.faults.locate(DESK, 101.0) is FaultLocation.UNDECIDED
    view.hear(100.0 + SETTLING_MS, is_reaching=True)
    assert view.faults.locate(DESK, 100.0 + SETTLING_MS) is FaultLocation.NODE
    assert view.faults.is_blind(REPLICA, 100.0 + SETTLING_MS)


@pytest.mark.parametrize("has_peer", [True, False])
def test_service_is_down_if_nobody_reaches_it(has_peer: bool) -> None:
    """Guards against a lone node that never takes a crash for one."""
    view = View()
    view.lose(100.0)
    if has_peer:
        view.hear(100.0, is_reaching=False)
    assert view.faults.locate(DESK, 101.0) is FaultLocation.SERVICE
    assert not view.faults.is_blind(REPLICA, 101.0)


def test_silent_peer_is_no_witness() -> None:
    """Guards against trusting what a peer said before it was lost."""
    view = View()
    view.hear(100.0, is_reaching=True)
    view.lose(100.0)
    later_ms = 101.0 + STATUS_TTL_MS
    assert view.faults.locate(DESK, later_ms) is FaultLocation.SERVICE


@pytest.mark.parametrize("how", list(Cut))
def test_cut_off_nodes_report_no_crashes(how: Cut) -> None:
    """Guards against replicas that all nodes avoid because some are cut off."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, 40.0)
    names = list(fleet.cores)
    fleet.cut(names[:4], how)
    fleet.play_calls(2_000.0, 40.0)
    for name in names:
        ledger = fleet.cores[name].guard.ledger
        for engine in fleet.list_engines():
            assert ledger.find_crash_time(engine.name) is None


def test_failures_of_a_cut_off_node_do_not_count_against_replicas() -> None:
    """Guards against a herd at the few replicas that calls had not tried."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, 40.0)
    name = next(iter(fleet.cores))
    fleet.cut([name], Cut.HANG)
    fleet.play_calls(2_000.0, 40.0)
    fleet.reconnect()
    fleet.run_for(1_000.0)
    directory = fleet.cores[name].directory
    for known in directory.find_listed(DESK, fleet.now_ms):
        assert not known.is_backing_off(fleet.now_ms)
        assert known.compute_failures(fleet.now_ms) == 0.0


def test_replicas_that_crashed_are_avoided_after_the_service_is_back() -> None:
    """Guards against calls to incarnations that have ended and are still listed."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(1_000.0, 40.0)
    before = {engine.name for engine in fleet.list_engines()}
    for engine in fleet.list_engines():
        fleet.crash(engine.address)
    fleet.run_for(BACK_MS + 400.0)
    calls = fleet.play_calls(1_500.0, 40.0)
    fleet.run_for(2_000.0)
    late = [each for each in fleet.reached if each.call in calls]
    assert late
    assert before.isdisjoint(each.replica for each in late)
    assert fleet.count_served(calls) >= 0.95
