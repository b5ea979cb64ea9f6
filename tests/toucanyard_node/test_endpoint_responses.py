"""Decoding of endpoint responses: values in range, or an error."""

from __future__ import annotations

import json
from contextlib import suppress

import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st

from toucanyard_node.endpoint_responses import (
    InvalidResponseError,
    decode_dump,
    decode_events,
    decode_load,
)
from toucanyard_node.http_client import Response


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b"\xff", b"[" * 50_000, b'{"incarnation":"i","running":-1}'],
)
def test_malformed_answers_are_refused(body: bytes) -> None:
    response = Response(200, {}, body)
    for decode in (decode_load, decode_events, decode_dump):
        with pytest.raises(InvalidResponseError):
            decode(response)
    dump = b'{"incarnation":"i","next":1,"hashes":["xyz"]}'
    with pytest.raises(InvalidResponseError):
        decode_dump(Response(200, {}, dump))
    with pytest.raises(InvalidResponseError):
        decode_load(Response(503, {}, b""))


NUMBERS = st.sampled_from([-1, 0, 3, 2**53, 10**25, 10**400, 1e308, None, "7"])
HASHES = st.lists(st.sampled_from(["a", "f" * 16, "f" * 17, "-1", "0x1", "1_0", ""]))
EVENTS = st.lists(
    st.fixed_dictionaries(
        {
            "seq": NUMBERS,
            "kind": st.sampled_from(["stored", "evicted", "x"]),
            "hashes": HASHES | NUMBERS,
        }
    ),
    max_size=2,
)
ANSWERS = st.fixed_dictionaries(
    {"incarnation": st.sampled_from(["i", "", None])},
    optional={
        "events": EVENTS,
        "hashes": HASHES,
        "model": st.just("m"),
        **dict.fromkeys(
            ["running", "waiting", "queued_blocks", "used_blocks"], NUMBERS
        ),
        **dict.fromkeys(["capacity_blocks", "age_ms", "oldest", "next"], NUMBERS),
    },
)


def build_load(**numbers: float) -> bytes:
    return json.dumps(
        {"incarnation": "i", "running": 0, "age_ms": 0, **numbers}
    ).encode()


@given(ANSWERS.map(json.dumps).map(str.encode) | st.binary(max_size=20))
@example(build_load(running=10**400))
@example(build_load(capacity_blocks=-1))
@example(b'{"incarnation":"i","oldest":0,"next":1%b,"events":[]}' % (b"0" * 400))
@example(b'{"incarnation":"i","next":1,"hashes":["%b"]}' % (b"f" * 5_000))
@settings(max_examples=200)
def test_any_answer_is_in_range_or_refused(body: bytes) -> None:
    """The core computes with numbers from endpoints. A number too large for a float
    would raise an exception there and stop the node."""
    response = Response(200, {}, body)
    with suppress(InvalidResponseError):
        report = decode_load(response)
        numbers = msgspec.structs.astuple(report)
        assert all(0 <= each < 2**53 for each in numbers if not isinstance(each, str))
    with suppress(InvalidResponseError):
        events = decode_events(response)
        assert 0 <= events.oldest < 2**53 and 0 <= events.next < 2**53
        assert all(0 <= each.seq < 2**53 for each in events.events)
        hashes = [block for each in events.events for block in each.hashes]
        assert all(0 <= block < 2**64 for block in hashes)
    with suppress(InvalidResponseError):
        dump = decode_dump(response)
        assert 0 <= dump.next < 2**53
        assert all(0 <= block < 2**64 for block in dump.hashes)
