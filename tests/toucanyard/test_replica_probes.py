from __future__ import annotations

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    Incarnation,
    NodeName,
)
from toucanyard.node_directory import MAX_MESH
from toucanyard.node_records import NodeRecord
from toucanyard.relay_events import (
    ReadReplicaState,
    ReplicaState,
    ReplicaStateRead,
    TickPassed,
)
from toucanyard.replicas import MAX_PROBED_MS, PROBE_MS

from .relay_examples import DESK, ENGINES, MODEL, build_replica, build_table
from .relay_fleet import Fleet, put

STATE = ReplicaState(((MODEL, 1),), False, 0, 0, 0)


class Node(Fleet):
    """One node with two engines and a plain replica, and the probes it sends."""

    def __init__(self) -> None:
        super().__init__("a")
        self.probed: list[str] = []
        self.read("a", Topic.OPERATOR, KeyedRecord("config", 0, put(build_table())))
        entries = (
            build_replica("x"),
            build_replica("y"),
            build_replica("z", service=DESK, weights=()),
        )
        records = [
            KeyedRecord(each.name, at, put(each)) for at, each in enumerate(entries)
        ]
        self.read("a", Topic.REPLICAS, *records)

    def lose(self, name: str) -> None:
        known = self.core("a").directory.find(EndpointName(name))
        assert known is not None
        known.record_failure(self.now_ms, is_dead=True)

    def run(self, for_ms: float) -> None:
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += 25.0
            for action in self.core("a").handle(TickPassed(), self.now_ms):
                if isinstance(action, ReadReplicaState):
                    self.probed.append(action.replica)

    def answer(self, name: str, state: ReplicaState | None) -> None:
        read = ReplicaStateRead(EndpointName(name), state, self.now_ms)
        self.handle(NodeName("a"), read)

    def list_usable(self) -> list[str]:
        found = self.core("a").directory.find_usable(ENGINES, self.now_ms)
        return [each.replica.name for each in found]


def test_replica_that_is_away_is_asked_and_gets_no_calls() -> None:
    """A replica stops answering; its entry stays listed for seconds.

    When each node tested it with one call a second, 200 of 1,000 calls waited for a
    connection until they were late. It is probed for reports instead.
    """
    node = Node()
    node.lose("x")
    node.run(MAX_PROBED_MS - PROBE_MS)
    assert set(node.probed) == {"x"}
    assert len(node.probed) <= MAX_PROBED_MS / PROBE_MS + 1
    assert node.list_usable() == ["y"]


def test_replica_that_reports_gets_calls_at_once() -> None:
    node = Node()
    node.lose("x")
    node.run(200.0)
    assert node.list_usable() == ["y"]
    node.answer("x", None)
    assert node.list_usable() == ["y"]
    node.answer("x", STATE)
    assert node.list_usable() == ["x", "y"]
    node.probed.clear()
    node.run(1_000.0)
    assert not node.probed


def test_replica_whose_reports_stay_out_is_tried_by_a_call_in_the_end() -> None:
    """Its reports fail while it serves calls; it must not stay idle forever."""
    node = Node()
    node.lose("x")
    node.run(MAX_PROBED_MS + 3 * PROBE_MS)
    assert node.list_usable() == ["x", "y"]


def test_large_fleet_asks_for_no_reports() -> None:
    """Hundreds of nodes know one unreachable replica; each of them would probe it."""
    node = Node()
    for number in range(MAX_MESH + 1):
        record = NodeRecord(
            NodeName(f"n{number}"),
            Incarnation("i"),
            DomainName("d"),
            Address(f"10.0.1.{number}:1"),
            Address(f"10.0.1.{number}:2"),
        )
        node.core("a").node_directory.apply(record)
    node.lose("x")
    node.run(2_000.0)
    assert not node.probed


def test_plain_replica_rests_without_reports() -> None:
    node = Node()
    node.lose("z")
    node.run(1_000.0)
    assert not node.probed
    assert node.core("a").directory.find_usable(DESK, node.now_ms)
