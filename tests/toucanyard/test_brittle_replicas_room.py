"""Test how one node bounds the calls at brittle replicas."""

from __future__ import annotations

import random

import pytest

from toucanyard.brittle_replicas import (
    CONFIRM_MS,
    GROW_MS,
    RETURN_ROOM,
    STEADY_MS,
    WINDOW_MS,
    BrittleReplicas,
)
from toucanyard.names import EndpointName, Incarnation, NodeName, RequestId
from toucanyard.node_directory import NodeDirectory
from toucanyard.node_records import NodeRecord
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replica_usage import ReplicaUsage
from toucanyard.replicas import KnownReplica, ReplicaDirectory

from .relay_examples import DESK, LISTEN, OPTIONS, build_replica


class Sender:
    """One node that knows no others, and its calls at a replica."""

    def __init__(self, *names: str) -> None:
        self.statements = ReplicaLimits(random.Random(1))
        self.directory = ReplicaDirectory()
        self.nodes = NodeDirectory(build_record("n1"), ())
        self.usage = ReplicaUsage()
        self.reach = ReplicaReach(self.directory)
        self.brittle = BrittleReplicas(
            self.statements, self.directory, self.nodes, self.reach, self.usage
        )
        self.count = 0
        for name in names:
            self.add(name)

    def add(self, name: str) -> None:
        self.directory.apply(build_replica(name, service=DESK, weights=()), 0.0)

    def find(self, name: str) -> KnownReplica:
        known = self.directory.find(EndpointName(name))
        assert known is not None
        return known

    def state(self, name: str, brittle_per_s: float | None, now_ms: float) -> None:
        list(self.statements.on_answer(EndpointName(name), brittle_per_s, now_ms))

    def may_send(self, name: str, now_ms: float) -> bool:
        return bool(self.brittle.select_local([self.find(name)], now_ms))

    def send(self, name: str, now_ms: float) -> RequestId:
        self.count += 1
        request_id = RequestId(f"q{self.count}")
        self.usage.begin(EndpointName(name), request_id, 0, 0, now_ms)
        self.brittle.record_sent(self.find(name), now_ms)
        return request_id

    def reject(self, name: str, request_id: RequestId, now_ms: float) -> None:
        self.usage.end(EndpointName(name), request_id)
        self.brittle.record_rejected(self.find(name), now_ms)

    def fill(self, name: str, now_ms: float) -> int:
        """Send as many calls as are allowed at once; return how many."""
        before = self.count
        while self.may_send(name, now_ms):
            self.send(name, now_ms)
        return self.count - before


def build_record(name: str) -> NodeRecord:
    return NodeRecord(
        NodeName(name),
        Incarnation("i"),
        OPTIONS.domain,
        LISTEN.callers,
        LISTEN.peers,
    )


@pytest.mark.parametrize(
    ("brittle_per_s", "count"), [(0.0, 1), (0.4, 1), (1.0, 1), (3.0, 3), (7.9, 7)]
)
def test_no_more_calls_are_at_risk_than_rejections_are_borne(
    brittle_per_s: float, count: int
) -> None:
    """Guards against calls that are all rejected before the first one is known."""
    node = Sender("a")
    node.state("a", brittle_per_s, 0.0)
    assert node.fill("a", 10.0) == count
    assert node.fill("a", 30.0) == 0
    assert node.fill("a", 11.0 + CONFIRM_MS) == count


def test_call_whose_response_has_begun_is_no_longer_at_risk() -> None:
    """Guards against few calls at a replica that accepts them all."""
    node = Sender("a")
    node.state("a", 1.0, 0.0)
    for number in range(20):
        at_ms = 10.0 * number
        assert node.may_send("a", at_ms)
        node.usage.record_started(EndpointName("a"), node.send("a", at_ms), at_ms + 5)


def test_rejection_that_is_handled_late_is_still_expected() -> None:
    """Guards against one rejection too many on a node that is busy for a moment."""
    node = Sender("a")
    node.state("a", 3.0, 0.0)
    for at_ms in (0.0, 22.0, 43.0):
        node.send("a", at_ms)
    assert not node.may_send("a", 70.0)


def test_rejections_of_the_last_second_count() -> None:
    """Guards against one more rejection than the replica bears."""
    node = Sender("a")
    node.state("a", 3.0, 0.0)
    for number in range(3):
        at_ms = 100.0 * number
        node.reject("a", node.send("a", at_ms), at_ms + 2.0)
    assert not node.may_send("a", 900.0)
    assert node.may_send("a", 2.0 + WINDOW_MS)


def test_sound_replica_is_not_bounded() -> None:
    node = Sender("a")
    for number in range(100):
        assert node.may_send("a", float(number))
        node.send("a", float(number))


def test_room_is_learnt_from_a_rejection_and_tried_again_later() -> None:
    """Guards against both rejections over and over and room that stays unused."""
    node = Sender("a")
    node.state("a", 3.0, 0.0)
    for number in range(10):
        node.send("a", 100.0 * number - 300.0)
    node.reject("a", node.send("a", 1_000.0), 1_002.0)
    assert not node.may_send("a", 1_100.0)
    for number in range(1, 5):
        node.usage.end(EndpointName("a"), RequestId(f"q{number}"))
    assert node.may_send("a", 1_200.0)
    node.send("a", 1_200.0)
    assert not node.may_send("a", 1_300.0)
    later_ms = 1_002.0 + STEADY_MS
    assert node.may_send("a", later_ms)
    node.send("a", later_ms)
    assert not node.may_send("a", later_ms + GROW_MS / 2)
    assert node.may_send("a", later_ms + GROW_MS)


def test_replica_that_returns_to_a_brittle_service_is_met_with_little() -> None:
    """Guards against all waiting calls at a replica that has just started."""
    node = Sender("a")
    node.state("a", 3.0, 0.0)
    assert node.may_send("a", 10.0)
    node.add("b")
    assert node.fill("b", 20.0) <= RETURN_ROOM + 1
    assert node.fill("b", 60.0) == 0


def test_replicas_that_were_there_keep_their_room_when_one_becomes_brittle() -> None:
    """Guards against a sudden lack of room when the first replica states it."""
    node = Sender("a", "b")
    node.state("a", 3.0, 0.0)
    for number in range(20):
        assert node.may_send("b", 300.0 * number)
        node.send("b", 300.0 * number)


def test_bound_ends_with_the_last_statement() -> None:
    """Guards against bounds that outlast the brittle time."""
    node = Sender("a")
    node.state("a", 1.0, 0.0)
    node.reject("a", node.send("a", 10.0), 12.0)
    assert not node.may_send("a", 20.0)
    node.state("a", None, 30.0)
    assert node.may_send("a", 40.0)


def test_one_node_of_several_is_the_sender_of_a_replica() -> None:
    """Guards against several nodes that each risk the rejections of one replica."""
    names = [f"n{number}" for number in range(5)]
    senders = set()
    for name in names:
        node = Sender("a")
        node.nodes = NodeDirectory(build_record(name), ())
        node.brittle = BrittleReplicas(
            node.statements, node.directory, node.nodes, node.reach, node.usage
        )
        for other in names:
            if other != name:
                node.nodes.apply(build_record(other))
                node.nodes.record_status(NodeName(other), True, 0.0)
        node.state("a", 3.0, 0.0)
        peer = node.brittle.find_sender(node.find("a"), 0.0)
        senders.add(name if peer is None else peer.node)
        assert node.may_send("a", 0.0) is (peer is None)
    assert len(senders) == 1
