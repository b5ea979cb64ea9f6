"""Tests that any bytes from a peer are decoded or rejected, and none stops the core."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import cbor2
import pytest
from hypothesis import example, given, settings, strategies as st

from core_world import CoreWorld, build_patch
from toucanyard.cbor_messages import MAX_MESSAGE_BYTES, MessageInvalidError
from toucanyard.configuration import Configuration
from toucanyard.configuration_records import (
    CheckpointRecord,
    ConfigurationDelta,
    HistoryEntry,
)
from toucanyard.core_events import (
    LinksChanged,
    MessageRead,
    SendMessage,
    TickPassed,
    VmsRead,
)
from toucanyard.digests import (
    ConfigurationOffer,
    ConfigurationRequest,
    Digest,
    Leaving,
    Restarted,
    Suspected,
)
from toucanyard.key_messages import (
    KeyReport,
    KeysRecorded,
    KeyStatus,
    OpenLedger,
    QueryKey,
    RecordKeys,
    RevokeKey,
)
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    Incarnation,
    NodeId,
    NodeName,
)
from toucanyard.snapshots import SnapshotBusy, SnapshotPart, SnapshotRequest
from toucanyard.vm_view import Vm
from toucanyard.wire import (
    PeerMessage,
    decode_message,
    encode_message,
)

PEER = NodeId(NodeName("node-2"), Incarnation("b"))
SELF = Incarnation("a")
NAME = KeyName(CustomerName("ferry"), "k")
UPDATES = (
    Leaving(Address("127.0.0.1:10"), 5),
    Suspected(EndpointName("engine-0"), NodeName("node-3"), 5),
    Restarted(EndpointName("engine-1"), Incarnation("i2"), 5),
)
HISTORY = (HistoryEntry(1, "first", "ana", 0, 1.0),)
MESSAGES: tuple[PeerMessage, ...] = (
    Digest(PEER.node, 1.0, -1.0, 1, 7, 3.0, UPDATES),
    ConfigurationRequest(0),
    ConfigurationOffer(CheckpointRecord(configuration=Configuration(2), next_offset=3)),
    ConfigurationDelta(1, (build_patch("second", 1),), HISTORY, 2, 7),
    QueryKey(SELF, NAME, "c"),
    KeyReport(SELF, NAME, "c", KeyStatus.RUNNING, b"d"),
    OpenLedger(SELF, 1),
    RecordKeys(SELF, 1, 2, (b"m" * 16,)),
    KeysRecorded(SELF, 2, (0,)),
    RevokeKey(SELF, 1, PEER, NAME),
    SnapshotRequest(1, 0),
    SnapshotPart(1, 0, 1, 7, b"x"),
    SnapshotBusy(1, 5.0),
)
INVALID_VALUES = st.sampled_from(
    [None, True, -1, 0, 2**53, 2**64, 10**400, -(10**400), "", "x", b"", [], {}]
    + [float("nan"), float("inf"), -1e308, 1e308, cbor2.CBORTag(28, "x")]
)


def list_positions(value: object) -> Iterator[tuple[Any, Any]]:
    """Yield each container inside a value with each of its keys."""
    if isinstance(value, list | dict):
        keys = range(len(value)) if isinstance(value, list) else list(value)
        for key in keys:
            yield value, key
            yield from list_positions(value[key])


@st.composite
def mutated_messages(draw: st.DrawFn) -> bytes:
    """Return the bytes of a message in which some values are replaced."""
    value = cbor2.loads(encode_message(draw(st.sampled_from(MESSAGES))))
    for _ in range(draw(st.integers(0, 2))):
        positions = list(list_positions(value))
        container, key = draw(st.sampled_from(positions))
        container[key] = draw(INVALID_VALUES)
    return cbor2.dumps(value)


def link() -> CoreWorld:
    world = CoreWorld()
    world.handle(VmsRead((Vm("node-2", DomainName("south")),)))
    world.handle(LinksChanged((PEER,)))
    return world


@given(mutated_messages())
@settings(max_examples=300)
def test_no_message_of_a_peer_ends_the_core(data: bytes) -> None:
    """A faulty peer sends numbers out of range or values of the wrong type. The message
    is rejected, or the core accepts it and continues to serve."""
    try:
        message = decode_message(data)
    except MessageInvalidError:
        return
    world = link()
    world.handle(MessageRead(PEER, message))
    for _ in range(3):
        world.now_ms += 1_000
        world.handle(TickPassed())
    assert world.find_last(world.arrive("r1")) is not None
    for action in world.others:
        if isinstance(action, SendMessage):
            decode_message(encode_message(action.message))


@given(st.binary(max_size=40) | st.tuples(st.binary(max_size=6), mutated_messages()))
@example(b"\x81" * 5_000)
@example(b"\x9b\x7f" + b"\xff" * 7)
@example(b"\xc5\x82\x1b\x7f" + b"\xff" * 7 + b"\x01")
@example(cbor2.dumps(cbor2.CBORTag(35, "(")))
@example(b"\xd8\x1c\x81\xd8\x1d\x00")
@settings(max_examples=200)
def test_any_bytes_are_a_message_or_refused(data: bytes | tuple[bytes, bytes]) -> None:
    """Covers declared lengths without data, tags of other types, and cycles."""
    joined = data if isinstance(data, bytes) else data[1][: -len(data[0])] + data[0]
    try:
        message = decode_message(joined)
    except MessageInvalidError:
        return
    assert decode_message(encode_message(message)) is not None


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_come_out_as_they_went_in(message: PeerMessage) -> None:
    assert decode_message(encode_message(message)) == message


def test_oversized_message_is_refused_unread() -> None:
    with pytest.raises(MessageInvalidError):
        decode_message(b"\x00" * (MAX_MESSAGE_BYTES + 1))
