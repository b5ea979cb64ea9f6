from __future__ import annotations

import random

import msgspec

from toucanyard.keyed_view import KeyedRecord, KeyedView, Topic
from toucanyard.log_position import LogPosition
from toucanyard.names import Address, DomainName, Incarnation, NodeName
from toucanyard.node_records import NodeRecord
from toucanyard.own_announcement import MAX_DELAY_MS, RETRY_MS, OwnAnnouncement
from toucanyard.relay_events import AnnounceNode

OWN = NodeRecord(
    NodeName("n"), Incarnation("i"), DomainName("d"), Address("1"), Address("2")
)
FORMER = msgspec.structs.replace(OWN, incarnation=Incarnation("h"))


def decode(_: Topic, __: str, value: bytes) -> object:
    return msgspec.json.decode(value, type=NodeRecord)


def build_record(record: NodeRecord, position: LogPosition) -> KeyedRecord:
    value = msgspec.json.encode(record)
    return KeyedRecord(record.name, position.offset, value, position.era)


class Announcer:
    """A node's announcement and its view of the nodes."""

    def __init__(self) -> None:
        self.view = KeyedView(Topic.NODES, decode)
        self.announcement = OwnAnnouncement(OWN, self.view, random.Random(1))

    def read(self, era: int, *records: NodeRecord) -> None:
        positions = [LogPosition(era, offset) for offset in range(len(records))]
        stated = [
            build_record(record, position)
            for record, position in zip(records, positions, strict=True)
        ]
        end = LogPosition(era, len(records))
        self.view.apply(stated, end, is_whole=True)

    def list_writes(self, now_ms: float) -> list[NodeRecord]:
        actions = self.announcement.tick(now_ms)
        return [each.record for each in actions if isinstance(each, AnnounceNode)]


def test_node_whose_record_is_lost_writes_it_once() -> None:
    """Guards against a node that no other node finds after a restore."""
    node = Announcer()
    node.announcement.record_written(0)
    node.read(0, OWN)
    assert node.list_writes(0.0) == []
    node.read(1)
    node.list_writes(1_000.0)
    assert node.list_writes(1_000.0 + MAX_DELAY_MS) == [OWN]
    assert node.list_writes(1_100.0 + MAX_DELAY_MS) == []
    node.announcement.record_written(1)
    assert node.list_writes(1_000.0 + 10 * RETRY_MS) == []


def test_record_of_a_former_incarnation_is_replaced() -> None:
    """Guards against peers that connect to where the node was before its restart."""
    node = Announcer()
    node.announcement.record_written(0)
    node.read(1, FORMER)
    node.list_writes(0.0)
    assert node.list_writes(MAX_DELAY_MS) == [OWN]


def test_write_that_fails_is_repeated_after_a_pause() -> None:
    """Guards against giving up while the store refuses calls after its return."""
    node = Announcer()
    node.announcement.record_written(0)
    node.read(1)
    node.list_writes(0.0)
    assert node.list_writes(MAX_DELAY_MS) == [OWN]
    assert node.list_writes(MAX_DELAY_MS + RETRY_MS - 1.0) == []
    assert node.list_writes(MAX_DELAY_MS + RETRY_MS) == [OWN]


def test_nothing_is_written_while_the_store_has_the_record() -> None:
    """Guards against one write for each node after every restore."""
    node = Announcer()
    node.announcement.record_written(0)
    node.read(0, OWN)
    for era in (1, 2):
        node.read(era, OWN)
        for step in range(5):
            assert node.list_writes(step * RETRY_MS) == []


def test_first_write_is_left_to_the_start_of_the_node() -> None:
    """Guards against two writes of a node that starts after a restore."""
    node = Announcer()
    node.read(3, FORMER)
    assert node.list_writes(0.0) == node.list_writes(10 * RETRY_MS) == []
    node.announcement.record_written(3)
    assert node.list_writes(20 * RETRY_MS) == []
