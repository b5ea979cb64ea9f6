from __future__ import annotations

from toucanyard.replica_reach import ReplicaReach
from toucanyard.replicas import Replica, ReplicaDirectory

from .relay_examples import DESK, build_replica


def build_reach(names: str) -> tuple[ReplicaReach, dict[str, Replica]]:
    directory = ReplicaDirectory()
    replicas = {}
    for name in names:
        replicas[name] = build_replica(name, service=DESK, weights=())
        directory.apply(replicas[name], 0.0)
    return ReplicaReach(directory), replicas


def test_service_is_unreached_after_connects_to_three_replicas_have_failed() -> None:
    reach, replicas = build_reach("abcde")
    for name, is_unreached in (("a", False), ("a", False), ("b", False), ("c", True)):
        reach.record_failed(replicas[name], 100.0, 250.0)
        assert reach.is_unreached(DESK) is is_unreached
    assert [entry.event for entry in reach.take_log_entries()] == ["service_unreached"]


def test_service_with_two_replicas_is_unreached_after_both_have_failed() -> None:
    reach, replicas = build_reach("ab")
    reach.record_failed(replicas["a"], 100.0, 250.0)
    assert not reach.is_unreached(DESK)
    reach.record_failed(replicas["b"], 100.0, 250.0)
    assert reach.is_unreached(DESK)


def test_connect_that_began_before_another_one_succeeded_is_no_evidence() -> None:
    """Guards against blaming the network for connects that failed before."""
    reach, replicas = build_reach("abc")
    reach.record_connected(replicas["a"], 120.0, 200.0)
    for name in "abc":
        reach.record_failed(replicas[name], 110.0, 260.0)
    assert not reach.is_unreached(DESK)


def test_late_answer_of_an_earlier_connect_does_not_end_the_state() -> None:
    """Guards against taking responses on open connections for new connections."""
    reach, replicas = build_reach("abc")
    for name in "abc":
        reach.record_failed(replicas[name], 110.0, 260.0)
    reach.record_connected(replicas["a"], 100.0, 900.0)
    assert reach.is_unreached(DESK)
