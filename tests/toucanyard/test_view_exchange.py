"""Test sending peers the records that they lack."""

from __future__ import annotations

import random

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.link_messages import ViewRecords, ViewStatus
from toucanyard.log_position import LogPosition
from toucanyard.names import NodeName
from toucanyard.relay_events import SendToPeer
from toucanyard.view_exchange import ViewExchange

PEER = NodeName("peer")
HOLD_MS = 250.0
STATUS_INTERVAL_MS = 250.0


class Sender:
    """The exchange of a node whose peer never reads the topic itself."""

    def __init__(self) -> None:
        self.exchange = ViewExchange(lambda *_: None, lambda: False, random.Random(1))
        self.end = 0

    def publish(self, now_ms: float) -> None:
        record = KeyedRecord("config", self.end, b"1")
        self.exchange.apply_read(
            Topic.OPERATOR,
            (record,),
            LogPosition(0, self.end + 1),
            now_ms,
            is_whole=False,
            now_ms=now_ms,
        )
        self.end += 1

    def receive_status(self, end: int, now_ms: float) -> list[SendToPeer]:
        statuses = (ViewStatus(Topic.OPERATOR, end),)
        sent = self.exchange.handle_status(PEER, statuses, now_ms, hold_ms=HOLD_MS)
        return list(sent)


def test_peer_that_lags_gets_records_while_newer_ones_keep_arriving() -> None:
    """Guards against holding records back for as long as versions follow closely."""
    sender = Sender()
    sent_ms: float | None = None
    for step in range(1, 60):
        now_ms = 50.0 * step
        if step % 4 == 1:
            sender.publish(now_ms)
        is_due = now_ms % STATUS_INTERVAL_MS == 0
        if sent_ms is None and is_due and sender.receive_status(0, now_ms):
            sent_ms = now_ms
    assert sent_ms is not None
    assert sent_ms <= 50.0 + HOLD_MS + STATUS_INTERVAL_MS


def test_records_that_a_peer_can_still_read_itself_are_held_back() -> None:
    """Guards against sending each new configuration over every link."""
    sender = Sender()
    sender.publish(0.0)
    assert sender.receive_status(0, 1_000.0)
    sender.publish(2_000.0)
    assert not sender.receive_status(1, 2_000.0 + HOLD_MS - 1.0)
    sent = sender.receive_status(1, 2_000.0 + HOLD_MS)
    message = sent[0].message
    assert isinstance(message, ViewRecords)
    assert (message.since, message.end) == (1, 2)


def test_unconfirmed_records_that_keep_changing_are_sent_at_a_limited_rate() -> None:
    """Guards against all lost records of a large fleet in answer to each status."""
    exchange = ViewExchange(
        lambda _, key, value: (key, value), lambda: True, random.Random(1)
    )
    count = 100
    records = [KeyedRecord(f"n{number}", number, b"1") for number in range(count)]
    exchange.apply_read(
        Topic.NODES, records, LogPosition(0, count), 0.0, is_whole=True, now_ms=0.0
    )
    exchange.apply_read(
        Topic.NODES, (), LogPosition(1, 0), 0.0, is_whole=True, now_ms=0.0
    )
    sent = 0
    for number in range(count):
        now_ms = 10.0 * number
        again = KeyedRecord(f"n{number}", number, b"1", 1)
        end = LogPosition(1, number + 1)
        exchange.apply_read(
            Topic.NODES, (again,), end, now_ms, is_whole=False, now_ms=now_ms
        )
        status = ViewStatus(Topic.NODES, number + 1, None, 1, 0)
        sent += len(list(exchange.handle_status(PEER, (status,), now_ms)))
    assert 1 <= sent <= 2
