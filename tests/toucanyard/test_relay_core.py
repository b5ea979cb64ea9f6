from __future__ import annotations

import pytest

from toucanyard.cbor_messages import MessageInvalidError
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.link_messages import decode_link_message
from toucanyard.names import Address, Incarnation, NodeName
from toucanyard.node_directory import STATUS_TTL_MS
from toucanyard.node_records import NodeRecord
from toucanyard.relay_events import (
    StopBegun,
    StoreFailed,
)
from toucanyard.replicas import DRAIN_MS, RETURN_DETECTION_MS, SEND_MARGIN_MS
from toucanyard.routes import RoutedCustomer
from toucanyard.store_schedule import MAX_TOPIC_AGE_MS, compute_read_age
from toucanyard.target_weights import WantedWeights

from .relay_examples import DESK, build_replica, build_table
from .relay_fleet import Fleet, put


def test_routes_reach_nodes_that_the_store_refuses() -> None:
    """Guards against nodes that keep a revoked key while the store rejects their reads.

    The store rejects two of three nodes, so only the third reads the new version. The
    others must receive it from that node.
    """
    fleet = Fleet("a", "b", "c")
    fleet.read("a", Topic.OPERATOR, KeyedRecord("config", 0, put(build_table(1))))
    without = build_table(2, customers=(RoutedCustomer(DESK, ("other",)),))  # type: ignore[arg-type]
    fleet.read("a", Topic.OPERATOR, KeyedRecord("config", 1, put(without)))
    for name in "abc":
        index = fleet.core(name).index
        assert index.table.version == 2
        assert index.find_customer("key") is None


def test_node_that_was_cut_off_catches_up_by_status() -> None:
    fleet = Fleet("a", "b")
    fleet.isolated_nodes = {"b"}
    fleet.read("a", Topic.OPERATOR, KeyedRecord("config", 0, put(build_table(5))))
    fleet.run(1_000.0)
    assert fleet.core("b").index.table.version == 0
    fleet.isolated_nodes = set()
    fleet.run(1_000.0)
    assert fleet.core("b").index.table.version == 5


def test_version_in_force_is_never_undone() -> None:
    """Guards against falling back to an older configuration version.

    A node restarts beside a peer that still has the previous version. Applying it would
    serve a removed route again.
    """
    fleet = Fleet("a")
    new = KeyedRecord("config", 7, put(build_table(9)))
    old = KeyedRecord("config", 3, put(build_table(8)))
    fleet.read("a", Topic.OPERATOR, new)
    fleet.read("a", Topic.OPERATOR, old, is_whole=True)
    assert fleet.core("a").index.table.version == 9
    late = KeyedRecord("config", 8, put(build_table(4)))
    fleet.read("a", Topic.OPERATOR, late)
    assert fleet.core("a").index.table.version == 9


def test_leaving_replica_is_told_to_all() -> None:
    fleet = Fleet("a", "b", "c")
    leaving = build_replica("r", service=DESK, is_draining=True)
    ready = build_replica("r", service=DESK)
    fleet.read("a", Topic.REPLICAS, KeyedRecord("r", 0, put(ready)))
    for name in "abc":
        assert fleet.core(name).directory.find_usable(DESK, 0.0)
    fleet.read("b", Topic.REPLICAS, KeyedRecord("r", 1, put(leaving)))
    for name in "abc":
        assert not fleet.core(name).directory.find_usable(DESK, 0.0)


def build_listed(*names: str) -> Fleet:
    """Return nodes that know the replicas x, y and z."""
    fleet = Fleet(*names)
    values = [put(build_replica(name, service=DESK)) for name in "xyz"]
    records = [KeyedRecord(name, at, values[at]) for at, name in enumerate("xyz")]
    fleet.read("a", Topic.REPLICAS, *records)
    return fleet


def test_replicas_that_lapsed_while_nobody_read_the_store_count_a_while() -> None:
    """Guards against dropping replicas whose leases expired during a store outage.

    The store answers no node for three seconds; afterwards one node reads that a lease
    has expired, and the other learns it from that node. Both know from their last
    answers that the store was down, so they must keep using the replica for a while.
    """
    fleet = build_listed("a", "b")
    fleet.handle(NodeName("a"), StoreFailed("replicas", "silent", fleet.now_ms))
    fleet.run(3_000.0)
    fleet.read("b", Topic.REPLICAS, KeyedRecord("x", 3, None))
    now_ms = fleet.now_ms
    for name in "ab":
        directory = fleet.core(name).directory
        end_ms = now_ms + DRAIN_MS - SEND_MARGIN_MS - RETURN_DETECTION_MS
        assert len(directory.find_usable(DESK, end_ms - 1)) == 3
        assert len(directory.find_usable(DESK, end_ms)) == 2


def test_replica_that_goes_while_the_store_fails_only_one_node_is_gone() -> None:
    """Guards against treating one node's store failures as a store outage.

    The store fails one node for three seconds and answers the other. If that counted
    as an outage, all nodes would go on sending calls to a removed replica.
    """
    fleet = build_listed("a", "b")
    for _ in range(8):
        fleet.handle(NodeName("a"), StoreFailed("replicas", "silent", fleet.now_ms))
        fleet.run(400.0)
        fleet.confirm("b", Topic.REPLICAS)
    fleet.read("b", Topic.REPLICAS, KeyedRecord("x", 3, None))
    for name in "ab":
        usable = fleet.core(name).directory.find_usable(DESK, fleet.now_ms)
        assert [each.replica.name for each in usable] == ["y", "z"]


def test_stopping_node_leaves_the_addresses_of_all_at_once() -> None:
    fleet = Fleet("a", "b", "c")
    for number, name in enumerate("abc"):
        record = fleet.core(name).own_record
        fleet.read("a", Topic.NODES, KeyedRecord(name, number, put(record)))
    fleet.read("a", Topic.OPERATOR, KeyedRecord("config", 0, put(build_table())))
    fleet.run(300.0)
    everyone = {"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}
    for name in "abc":
        assert set(fleet.core(name).find_addresses(fleet.now_ms)) == everyone
    fleet.handle(NodeName("b"), StopBegun())
    for name in "abc":
        found = set(fleet.core(name).find_addresses(fleet.now_ms))
        assert found == everyone - {"10.0.0.1:1"}


def test_silent_node_is_not_named_to_callers() -> None:
    fleet = Fleet("a", "b")
    record = fleet.core("b").own_record
    fleet.read("a", Topic.NODES, KeyedRecord("b", 0, put(record)))
    fleet.read("a", Topic.OPERATOR, KeyedRecord("config", 0, put(build_table())))
    fleet.run(300.0)
    assert len(fleet.core("a").find_addresses(fleet.now_ms)) == 2
    fleet.isolated_nodes = {"b"}
    fleet.run(STATUS_TTL_MS + 300.0)
    assert fleet.core("a").find_addresses(fleet.now_ms) == ["10.0.0.0:1"]


def test_one_node_reads_and_the_next_takes_over() -> None:
    """Guards against stale data when the node that reads for all can't reach the store.

    Nodes don't agree on a reader, so the others must take over when their data ages.
    """
    fleet = Fleet("a", "b", "c")
    fleet.run(300.0)
    due = [n for n in "abc" if fleet.core(n).reads.is_due(Topic.REPLICAS, 0.0)]
    assert len(due) == 3
    fleet.read(due[0], Topic.REPLICAS, KeyedRecord("r", 0, put(build_replica("r"))))
    begun_ms = fleet.now_ms
    first_ms: dict[str, float] = {}
    while len(first_ms) < 3 and fleet.now_ms < begun_ms + 5_000:
        fleet.run(25.0)
        for name in "abc":
            core = fleet.core(name)
            if core.reads.is_due(Topic.REPLICAS, fleet.now_ms):
                first_ms.setdefault(name, fleet.now_ms - begun_ms)
    ordered = sorted(first_ms.values())
    assert ordered[0] == pytest.approx(MAX_TOPIC_AGE_MS[Topic.REPLICAS], abs=50)
    wanted_ms = compute_read_age(Topic.REPLICAS, 1)
    assert ordered[1] == pytest.approx(wanted_ms, abs=300)
    assert ordered[1] < ordered[2]


def test_restarted_node_learns_for_how_long_weights_are_wanted() -> None:
    """Guards against restarting the deadline of new weights when a node restarts.

    A node restarts nine seconds after new weights were requested. Counting from its own
    start, it would begin calls on older weights for several more seconds.
    """
    fleet = Fleet("a", "b")
    wanted = KeyedRecord("version/m", 0, put(WantedWeights("m", 2)))
    fleet.read("a", Topic.OPERATOR, wanted)
    fleet.run(9_000.0)
    fleet.add(NodeName("b"), 1)
    fleet.link()
    fleet.read("b", Topic.OPERATOR, wanted, is_whole=True)
    fleet.run(300.0)
    target = fleet.core("b").weight_targets.find("m")
    assert target is not None
    assert target.compute_age(1, fleet.now_ms) >= 9_000.0


def test_node_that_starts_alone_takes_wanted_weights_for_old() -> None:
    fleet = Fleet("a")
    wanted = KeyedRecord("version/m", 0, put(WantedWeights("m", 2)))
    fleet.read("a", Topic.OPERATOR, wanted, is_whole=True)
    target = fleet.core("a").weight_targets.find("m")
    assert target is not None
    deadline_ms = fleet.core("a").options.weights.deadline_ms
    assert target.compute_age(1, 0.0) == deadline_ms / 2


def test_links_reject_what_is_no_message() -> None:
    for data in (b"", b"\xff", b"\x80", b"\x82ax"):
        with pytest.raises(MessageInvalidError):
            decode_link_message(data)


def test_record_of_this_node_is_not_a_peer() -> None:
    fleet = Fleet("a")
    own = fleet.core("a").own_record
    fleet.read("a", Topic.NODES, KeyedRecord("a", 0, put(own)))
    assert fleet.core("a").node_directory.find_peers(0.0) == []
    other = NodeRecord(
        NodeName("b"), Incarnation("i"), own.domain, own.callers, Address("10.0.0.9:4")
    )
    fleet.read("a", Topic.NODES, KeyedRecord("b", 1, put(other)))
    peers = fleet.core("a").node_directory.find_peers(0.0)
    assert [vm.name for vm in peers] == ["b"]
