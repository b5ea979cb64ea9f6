"""Streams are split into events in linear work and within a bound."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from toucanyard_node.event_splitter import EventSplitter
from toucanyard_node.held_bytes import ByteBound, ByteBoundError
from toucanyard_node.sse import EventError, EventParser

STREAMS = st.lists(
    st.sampled_from(
        (
            *(b"\n", b"\r", b"\r\n", b"\n\n", b"\r\n\r\n", b"id: 7\n", b"data: x"),
            *(b"data", b": c\n\n", b":", b"retry:1", b"\xef\xbb\xbf"),
        )
    )
    | st.binary(max_size=4),
    max_size=24,
).map(b"".join)
CUTS = st.lists(st.integers(0, 120), max_size=12)


def cut(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted({min(each, len(data)) for each in cuts}), len(data)]
    return [data[begin:end] for begin, end in zip(edges, edges[1:], strict=False)]


def split_simply(data: bytes) -> tuple[bytes, bytes]:
    """Return what is complete and the rest."""
    end = at = 0
    while at < len(data):
        sizes = [len(m) for m in (b"\n\n", b"\r\n\r\n") if data.startswith(m, at)]
        at += sizes[0] if sizes else 1
        end = at if sizes else end
    return data[:end], data[end:]


def has_data(complete: bytes) -> bool:
    lines = complete.replace(b"\r", b"\n").removeprefix(b"\xef\xbb\xbf").split(b"\n")
    return any(line.partition(b":")[0] == b"data" for line in lines)


@given(STREAMS, CUTS)
def test_any_bytes_are_split_as_by_a_simple_reference(
    data: bytes, cuts: list[int]
) -> None:
    splitter = EventSplitter("")
    received = b""
    for part in cut(data, cuts):
        complete = splitter.push(part)
        assert splitter.has_event == has_data(complete)
        received += complete
    complete, rest = split_simply(data)
    assert received == complete
    assert splitter.has_partial_event() == bool(rest.strip())


@given(st.lists(st.integers(1, 9), min_size=1, max_size=300), st.booleans())
def test_work_of_an_event_is_linear(sizes: list[int], has_breaks: bool) -> None:
    """Guards against searching all of an incomplete event for each of its parts."""
    splitter = EventSplitter("")
    parts = [(b"\r\n" if has_breaks else b"x") * size for size in sizes]
    parts = [part + b"x" for part in parts]
    for part in parts:
        splitter.push(part)
    pushed = sum(len(part) for part in parts)
    assert splitter.searched_bytes <= pushed + 3 * len(parts)


@given(st.integers(1, 50), st.integers(1, 400))
def test_events_within_the_bound_pass_however_they_are_cut(
    part_size: int, event_size: int
) -> None:
    """Guards against sound events that are refused."""
    event = b"data:" + b"x" * event_size + b"\n\n"
    splitter = EventSplitter("", len(event))
    data = event * 3
    parts = [data[at : at + part_size] for at in range(0, len(data), part_size)]
    assert b"".join(splitter.push(part) for part in parts) == data


@pytest.mark.parametrize(
    "part",
    [
        *(b"data: x", b": keep-alive\n\n", b"\n\n", b"id: 1\n\n"),
        *(b"retry: 9\n\n", b"event: x\r\n\r\n", b"database: x\n\n"),
    ],
)
def test_bytes_without_an_event_are_bounded(part: bytes) -> None:
    """Guards against an event, or blocks of lines that are none, without end."""
    splitter = EventSplitter("", 1_000)
    with pytest.raises(ByteBoundError) as raised:
        for _ in range(1_000):
            splitter.push(part)
    assert raised.value.bound is ByteBound.EVENT
    assert raised.value.received_bytes <= 1_000 + len(part)


def test_comments_between_events_pass() -> None:
    """Guards against a stream that ends for its keep-alive comments."""
    splitter = EventSplitter("", 100)
    for _ in range(100):
        for _ in range(5):
            assert splitter.push(b": keep-alive\n\n")
            assert not splitter.has_event
        assert splitter.push(b"data: x\n\n")
        assert splitter.has_event


def test_small_parts_count_as_the_work_that_they_take() -> None:
    """Guards against events of one byte a part, which cost far more than their size."""
    splitter = EventSplitter("", 1_000)
    with pytest.raises(ByteBoundError):
        for _ in range(10):
            splitter.push(b"x", 128)


def test_id_of_a_block_without_data_is_kept() -> None:
    """Guards against a resume from before a block that the caller has."""
    splitter = EventSplitter("")
    assert splitter.push(b"id: 4\n\n") == b"id: 4\n\n"
    assert not splitter.has_event
    assert splitter.last_id == "4"


@pytest.mark.parametrize("last_id", [b"1\x002", b"1\r2", b"\x7f"])
def test_id_that_no_header_can_carry_is_ignored(last_id: bytes) -> None:
    """Guards against a resume that ends the call since its id can't be sent."""
    splitter = EventSplitter("")
    splitter.push(b"id: 1\ndata: x\n\n")
    splitter.push(b"id: %s\ndata: x\n\n" % last_id)
    assert splitter.last_id == "1"


@pytest.mark.parametrize("part", [b"data: x", b": keep-alive\n\n"])
def test_engine_that_sends_no_event_is_given_up(part: bytes) -> None:
    """Guards against an engine whose bytes without an event never end."""
    parser = EventParser()
    with pytest.raises(EventError):
        for _ in range(40):
            parser.feed(part * 10_000)
