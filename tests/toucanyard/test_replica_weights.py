from __future__ import annotations

import pytest

from toucanyard.link_messages import ReplicaUpdate
from toucanyard.names import EndpointName, NodeName
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.relay_events import ReadReplicaState, ReplicaState, ReplicaStateRead
from toucanyard.replica_weights import (
    CHECK_INTERVAL_MS,
    ENTRY_DELAY_MS,
    MAX_CHECK_MS,
    PEER_DELAY_MS,
    REPORT_LAG_MS,
    ReplicaWeights,
    WeightsSource,
)
from toucanyard.replicas import ReplicaDirectory
from toucanyard.stated_weights import StatedSpan

from .relay_examples import MODEL, build_replica
from .weights_fleet import WeightsFleet

FIRST_NAMED_MS = 300.0
SECOND_NAMED_MS = 3_200.0
SETTLED_MS = 6_000.0
"""Longer than a rollout to six replicas takes."""


def play_freeze(fleet: WeightsFleet, freeze_ms: float) -> None:
    """Name two versions while a node is frozen that does not give the orders."""
    frozen = next(name for name in fleet.cores if name != fleet.holder)
    first, begun_ms = fleet.version + 1, fleet.now_ms
    fleet.freeze(frozen)
    fleet.run_with_calls(FIRST_NAMED_MS)
    fleet.name_version(first)
    fleet.run_with_calls(SECOND_NAMED_MS - FIRST_NAMED_MS)
    fleet.name_version(first + 1)
    fleet.run_with_calls(begun_ms + freeze_ms - fleet.now_ms)
    fleet.thaw(frozen)


def build_loaded(nodes: int = 3) -> WeightsFleet:
    """Return a fleet that has brought all replicas to a second version."""
    fleet = WeightsFleet(1, nodes)
    fleet.name_version(2)
    fleet.run_with_calls(SETTLED_MS)
    assert fleet.list_old() == []
    return fleet


@pytest.mark.parametrize("freeze_ms", [3_300.0, 3_500.0, 3_900.0, 4_500.0, 7_000.0])
def test_replicas_get_the_newest_weights_after_a_freeze(freeze_ms: float) -> None:
    """Guards against taking a refusal for the statement that a replica is current.

    A frozen node wakes up and sends calls with weights of two versions before; the
    replicas that refuse them have the version between.
    """
    fleet = build_loaded()
    play_freeze(fleet, freeze_ms)
    fleet.run_with_calls(SETTLED_MS)
    assert fleet.list_old() == []
    assert [each.ending for each in fleet.run_with_calls(1_000.0)[:-10]] == (
        ["completed"] * 40
    )


def test_refusals_that_state_no_weights_are_cleared_up_by_reports() -> None:
    """Guards against a replica that refuses every call while it looks idle.

    A frozen node wakes up; refusals do not tell it which weights the replicas have.
    """
    fleet = build_loaded()
    for engine in fleet.list_engines():
        engine.is_silent_on_weights = True
    play_freeze(fleet, 3_500.0)
    fleet.run_with_calls(SETTLED_MS)
    assert fleet.list_old() == []
    assert {each.ending for each in fleet.run_with_calls(1_000.0)[:-10]} == {
        "completed"
    }


@pytest.mark.parametrize("nodes", [3, 9])
@pytest.mark.parametrize("wrong_ms", [50.0, 400.0, 1_500.0])
def test_a_wrong_statement_is_corrected_by_the_next_ones(
    nodes: int, wrong_ms: float
) -> None:
    """Guards against a wrong belief of one node that all keep and nothing corrects.

    For a while two replicas state a version that nobody has named yet. The next ones
    are named later, so the replicas must get them.
    """
    fleet = build_loaded(nodes)
    wrong = fleet.list_engines()[:2]
    for engine in wrong:
        engine.stated = 4
    fleet.run_with_calls(wrong_ms)
    for engine in wrong:
        engine.stated = None
    fleet.run_with_calls(1_000.0)
    for version in (3, 4):
        fleet.name_version(version)
        fleet.run_with_calls(SETTLED_MS)
        assert fleet.list_old() == []
    assert {each.ending for each in fleet.run_with_calls(1_000.0)[:-10]} == {
        "completed"
    }


def test_a_wrong_statement_costs_few_refusals() -> None:
    """Guards against sending calls again and again with a version refused before."""
    fleet = build_loaded()
    wrong = fleet.list_engines()[0]
    wrong.stated = 4
    fleet.run_with_calls(1_000.0)
    wrong.stated = None
    wrong.refused.clear()
    fleet.run_with_calls(5_000.0)
    assert len(wrong.refused) <= 2 * len(fleet.cores)
    assert wrong.loads == [2]


class Node:
    """What one node knows of the weights of one replica."""

    def __init__(self) -> None:
        directory = ReplicaDirectory()
        known = directory.apply(build_replica("r"), 0.0)
        assert known is not None
        self.known = known
        self.directory = directory
        self.weights = ReplicaWeights(directory, PromptBlockIndex())

    def hear(self, version: int, begin_ms: float, end_ms: float) -> bool:
        """Record an answer that states a version."""
        span = StatedSpan(begin_ms, end_ms)
        source = WeightsSource.ANSWER
        return self.weights.record(self.known, MODEL, version, source, span, end_ms)

    def update(self, version: int, age_ms: float | None, now_ms: float) -> bool:
        """Record a peer's update."""
        update = ReplicaUpdate(
            EndpointName("r"), 0.0, ((MODEL, version),), weights_age_ms=age_ms
        )
        peer = NodeName("peer")
        return self.weights.record_update(self.known, update, peer, now_ms)

    def report(self, version: int, asked_ms: float, now_ms: float) -> None:
        """Record a report of the replica."""
        state = ReplicaState(((MODEL, version),), False, 0, 0, 0)
        read = ReplicaStateRead(EndpointName("r"), state, asked_ms)
        self.weights.record_report(read, now_ms)

    def list_checks(self, now_ms: float) -> list[ReadReplicaState]:
        return list(self.weights.list_checks(now_ms))


def test_a_peers_older_word_does_not_undo_a_correction() -> None:
    """Guards against a wrong version that nodes pass to each other for ever."""
    node = Node()
    node.hear(5, 0.0, 100.0)
    assert node.hear(1, 200.0, 210.0)
    assert node.weights.take_corrected() == [EndpointName("r")]
    assert not node.update(5, 150.0, 300.0)
    assert not node.update(5, None, 300.0)
    assert node.known.weights == {MODEL: 1}
    assert node.update(5, 50.0, 300.0)


def test_a_peers_newer_word_of_older_weights_is_checked_with_the_replica() -> None:
    """Guards against a node that keeps a wrong version as it sends no calls itself."""
    node = Node()
    node.hear(5, 0.0, 100.0)
    node.update(1, 10.0, 100.0 + PEER_DELAY_MS)
    assert node.list_checks(1_000.0) == []
    now_ms = 2_000.0
    node.update(1, 10.0, now_ms)
    assert node.known.weights == {MODEL: 5}
    assert len(node.list_checks(now_ms)) == 1
    node.report(1, now_ms, now_ms + 5.0)
    assert node.known.weights == {MODEL: 1}
    assert node.list_checks(now_ms + CHECK_INTERVAL_MS) == []


@pytest.mark.parametrize("is_stated", [False, True])
def test_an_entry_that_never_shows_newer_weights_is_checked_once(
    is_stated: bool,
) -> None:
    """Guards against an idle replica that all nodes take for newer than it is."""
    node = Node()
    if is_stated:
        node.hear(5, 50.0, 100.0)
    else:
        node.update(5, 0.0, 100.0)
    overdue_ms = 101.0 + ENTRY_DELAY_MS
    node.weights.check_entry(node.known, overdue_ms - 1.0, 9_000.0)
    assert node.list_checks(9_000.0) == []
    now_ms = 10_000.0
    node.weights.check_entry(node.known, overdue_ms, now_ms)
    assert len(node.list_checks(now_ms)) == 1
    node.report(5, now_ms, now_ms + 5.0)
    node.report(5, now_ms + REPORT_LAG_MS, now_ms + REPORT_LAG_MS + 5.0)
    assert node.list_checks(now_ms + REPORT_LAG_MS + 5.0) == []
    later_ms = now_ms + 9_000.0
    node.weights.check_entry(node.known, later_ms, later_ms)
    assert node.list_checks(later_ms) == []


def test_an_entry_is_checked_once_its_node_becomes_a_candidate() -> None:
    """Guards against a check that a node skipped and then counts as done."""
    node, may_check = Node(), False
    node.weights = ReplicaWeights(
        node.directory, PromptBlockIndex(), lambda _: may_check
    )
    node.hear(5, 50.0, 100.0)
    node.weights.check_entry(node.known, 9_000.0, 9_000.0)
    assert node.list_checks(9_000.0) == []
    may_check = True
    node.weights.check_entry(node.known, 9_000.0, 9_000.0)
    assert len(node.list_checks(9_000.0)) == 1


def test_an_idle_replica_that_is_taken_for_newer_is_corrected() -> None:
    """Guards against a wrong version that no call ever contradicts."""
    fleet = build_loaded()
    wrong = fleet.list_engines()[0]
    for core in fleet.cores.values():
        known = core.directory.find(wrong.name)
        assert known is not None
        span = StatedSpan(fleet.now_ms, fleet.now_ms)
        known.record_weights(MODEL, 9, span)
    fleet.run_for(ENTRY_DELAY_MS + 6_000.0)
    for core in fleet.cores.values():
        known = core.directory.find(wrong.name)
        assert known is not None
        assert known.weights == {MODEL: 2}


def test_a_replica_in_doubt_that_does_not_report_is_asked_a_few_times() -> None:
    """Guards against reports that are requested for ever from a dead replica."""
    node = Node()
    node.weights.record_refused(node.known, MODEL, 1, 0.0)
    asked = sum(len(node.list_checks(25.0 * tick)) for tick in range(1_000))
    assert asked == 1 + MAX_CHECK_MS / CHECK_INTERVAL_MS


def test_a_refusal_that_the_next_statement_explains_is_no_doubt() -> None:
    node = Node()
    node.hear(2, 0.0, 10.0)
    node.weights.record_refused(node.known, MODEL, 1, 10.0)
    assert not node.known.is_loading(10.0)
    assert node.list_checks(10.0) == []
