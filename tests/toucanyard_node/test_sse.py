"""Tests for parsing events: any bytes give events or an EventError."""

from __future__ import annotations

import json

import pytest
from hypothesis import example, given, settings, strategies as st

from toucanyard.names import RequestId
from toucanyard_node.aggregated_response import render_aggregated_response
from toucanyard_node.model_requests import ApiKind
from toucanyard_node.sse import (
    MAX_EVENT_BYTES,
    Chunk,
    Event,
    EventError,
    EventParser,
    get_text,
    read_chunk,
    render_event,
)

NUMBERS = st.sampled_from([b"0", b"7", b"-1", b"x", b"9" * 5_000])
TEXTS = st.sampled_from([b"[DONE]", b'{"a":1}', b"\r", b"", b"a\rb", b"\xff"])
LINES = st.one_of(
    NUMBERS.map(b"id: ".__add__),
    TEXTS.map(b"data: ".__add__),
    TEXTS.map(b"data:".__add__),
    st.sampled_from([b": heartbeat", b"event: error", b"", b"data"]),
    st.binary(max_size=6),
)
FRAGMENTS = st.lists(LINES, max_size=5).map(b"\n".join) | st.just(b"\n\n")
STREAMS = st.lists(FRAGMENTS, max_size=8)


@given(STREAMS)
@example([b"id: " + b"9" * 5_000 + b"\ndata: x\n\n"])
@example([b"id: 1\ndata: a\rb\n\n"])
@settings(max_examples=150)
def test_any_bytes_are_events_or_refused(fragments: list[bytes]) -> None:
    """A forwarded event must parse to the same data, even if the engine split it into
    several lines; otherwise the caller would lose some of it."""
    cutter = EventParser()
    try:
        events = [event for fragment in fragments for event in cutter.feed(fragment)]
    except EventError:
        return
    for event in events:
        if event.number is not None and not event.is_done():
            assert EventParser().feed(render_event(event.number, event.data)) == [event]


def test_event_over_two_lines_is_passed_on_whole() -> None:
    [event] = EventParser().feed(b'id: 3\ndata: {"id":\ndata: "c"}\n\n')
    assert event == Event(3, b'{"id":\n"c"}')
    assert render_event(3, event.data) == b'id: 3\ndata: {"id":\ndata: "c"}\n\n'


def test_comment_hides_no_event() -> None:
    """An engine sends a heartbeat without a following blank line, as this node does.

    The next event must not be lost as part of that comment.
    """
    events = EventParser().feed(
        b": heartbeat\nid: 3\ndata: x\n\n"
        b": heartbeat\n\n: a\n: b\n\n"
        b": c\ndata: [DONE]\n\n"
    )
    assert events == [Event(3, b"x"), Event(None, b"[DONE]")]


def test_event_without_an_end_is_refused() -> None:
    cutter = EventParser()
    with pytest.raises(EventError):
        for _ in range(MAX_EVENT_BYTES // 100_000 + 1):
            cutter.feed(b"x" * 100_000)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=4)
    | st.sampled_from([-1, 0, 10**12, 10**25, 10**400]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(
                [
                    "choices",
                    "delta",
                    "content",
                    "text",
                    "usage",
                    "prompt_tokens",
                    "created",
                ]
            ),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


@given(st.binary() | JSON.map(json.dumps).map(str.encode))
@example(b'{"x":' + b"[" * 100_000)
@example(b'{"created":1' + b"0" * 25 + b"}")
@example(b'{"usage":{"prompt_tokens":1' + b"0" * 25 + b"}}")
@example(b'{"usage":{"prompt_tokens":-1}}')
@settings(max_examples=150)
def test_any_data_is_a_chunk_or_refused(data: bytes) -> None:
    """Counts outside the valid range would overflow in statistics and answers."""
    try:
        chunk = read_chunk(data)
    except EventError:
        return
    assert isinstance(get_text(chunk), str)
    check_counts(chunk)
    name = RequestId("r")
    render_aggregated_response(
        ApiKind.CHAT, name, chunk, get_text(chunk), None, chunk.usage
    )


def check_counts(chunk: Chunk) -> None:
    if chunk.usage is not None:
        assert 0 <= chunk.usage.prompt_tokens < 2**53
        assert 0 <= chunk.usage.completion_tokens < 2**53
