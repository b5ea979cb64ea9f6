"""Check that decoders raise only their own exceptions for arbitrary bytes."""

from __future__ import annotations

import contextlib
import tracemalloc
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from toucanyard.byte_limits import ByteLimits
from toucanyard.cbor_messages import MessageInvalidError
from toucanyard.keyed_view import InvalidRecord, KeyedRecord, Topic
from toucanyard.link_messages import decode_link_message
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import QuarantinedRequest, Release
from toucanyard.replicas import Replica
from toucanyard.routes import RouteTable
from toucanyard.target_weights import WantedWeights
from toucanyard_node.relay_ports import StoreError
from toucanyard_platform.json_answers import AnswerInvalidError
from toucanyard_platform.prompt_block_client import decode_page
from toucanyard_platform.records import decode_record
from toucanyard_platform.replica_client import decode_report
from toucanyard_platform.store_client import parse_keyed_record, split_records

from .test_records import ENTRY

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from(("ready", "draining", "10.0.0.1:1", "m", "v1")),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
FIELD_NAMES = (
    *ENTRY,
    "born",
    "routes",
    "services",
    "limits",
    "tenants",
    "model",
    "name",
    "entry",
)
KEYS = st.sampled_from(
    ("config", "version/m", "i-1", "", "\u20ac", "release/f", "quarantine/f")
)
DECODED_TYPES = {
    Topic.OPERATOR: (RouteTable, WantedWeights, Release),
    Topic.REPLICAS: (Replica,),
    Topic.NODES: (NodeRecord, QuarantinedRequest),
}


def encode(value: object) -> bytes:
    return msgspec.json.encode(value)


BODIES = st.binary(max_size=200) | st.builds(
    encode, st.dictionaries(st.sampled_from(FIELD_NAMES) | st.text(), JSON, max_size=8)
)
DEEP_NESTING = b"[" * 100_000
DEEPLY_NESTED_FIELD = b'{"models":[],"x":' + b"[" * 100_000
"""Nested in an unknown field, which the decoder skips by recursion."""
HUGE_NUMBER = (
    b'{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","routeKind":'
)
HUGE_NUMBER += b'"idempotent","timeoutMs":1e999,"service":"s"}]}'


@given(st.sampled_from(Topic), KEYS, BODIES)
@settings(max_examples=300)
def test_records(topic: Topic, key: str, body: bytes) -> None:
    found = decode_record(topic, key, body)
    assert found is None or isinstance(found, (InvalidRecord, *DECODED_TYPES[topic]))


@given(st.dictionaries(st.sampled_from((*ENTRY, "born")), JSON, min_size=1))
@settings(max_examples=300)
def test_no_usable_replica_out_of_a_bad_entry(changes: dict[str, object]) -> None:
    """Replaces fields of a valid entry by arbitrary values.

    The result must be a complete replica or an InvalidRecord.
    """
    found = decode_record(Topic.REPLICAS, "i-1", encode(ENTRY | changes))
    if isinstance(found, InvalidRecord):
        return
    assert isinstance(found, Replica)
    assert isinstance(found.slots, int)
    assert found.slots > 0
    assert found.service
    host, _, port = found.address.rpartition(":")
    assert host.count(".") == 3
    assert 0 < int(port) < 2**16


@pytest.mark.parametrize(
    "body",
    [DEEP_NESTING, DEEPLY_NESTED_FIELD, HUGE_NUMBER, b"\xff\xfe", b"1e999"],
    ids=len,
)
def test_bodies_that_broke_readers(body: bytes) -> None:
    """Inputs that raised errors of other types: nesting, infinity and invalid UTF-8."""
    for topic in Topic:
        assert isinstance(decode_record(topic, "config", body), InvalidRecord)
    for decode in (decode_page, decode_report):
        with pytest.raises(AnswerInvalidError):
            decode(body)


@pytest.mark.parametrize("decode", [decode_page, decode_report])
@given(body=BODIES)
def test_answers(decode: Callable[[bytes], object], body: bytes) -> None:
    with contextlib.suppress(AnswerInvalidError):
        decode(body)


@given(st.binary(max_size=200))
def test_messages_of_peers(body: bytes) -> None:
    with contextlib.suppress(MessageInvalidError):
        decode_link_message(body)


@given(st.binary(max_size=200))
def test_records_of_the_log(body: bytes) -> None:
    with contextlib.suppress(StoreError):
        for content in split_records(body):
            parse_keyed_record(0, content)


def fill(begin: bytes, item: bytes, end: bytes, size_bytes: int) -> bytes:
    """Return a body of a size that repeats one small item."""
    count = (size_bytes - len(begin) - len(end)) // (len(item) + 1)
    return begin + b",".join([item] * count) + end


def decode_records(body: bytes) -> list[KeyedRecord]:
    return [parse_keyed_record(0, content) for content in split_records(body)]


LIMITS = ByteLimits()
LARGEST_BODIES: dict[str, tuple[Callable[[bytes], object], bytes]] = {
    "report": (
        decode_report,
        fill(
            b'{"busy":false,"sequence":1,"queued":0,"active":0,"models":[',
            b'{"name":"","version":0}',
            b"]}",
            LIMITS.max_report_bytes,
        ),
    ),
    "prompt blocks": (
        decode_page,
        fill(
            b'{"bootEpoch":1,"nextToken":1,"events":[',
            b'[1,"","","",0,""]',
            b"]}",
            LIMITS.max_cache_page_bytes,
        ),
    ),
    "records": (
        decode_records,
        b"\0\0\0\1\0" * (LIMITS.max_store_page_bytes // 5),
    ),
}
MEMORY_BYTES = 40_000_000
"""What a node of 100 MB has left beside itself and its other messages."""


@pytest.mark.parametrize("name", LARGEST_BODIES)
def test_largest_body_of_small_items_fits_the_memory_of_a_node(name: str) -> None:
    """Guards against a body within its bound that takes many times its size."""
    decode, body = LARGEST_BODIES[name]
    tracemalloc.start()
    try:
        with contextlib.suppress(AnswerInvalidError):
            decode(body)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < MEMORY_BYTES
