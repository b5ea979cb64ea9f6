"""Check that the client reads the same from any bytes, however they are cut."""

from __future__ import annotations

import itertools
from collections import Counter

import h11
import pytest
import trio
from hypothesis import example, given, settings, strategies as st

from toucanyard.names import Address
from toucanyard_node.event_splitter import EventSplitter
from toucanyard_node.held_bytes import ByteBoundError
from toucanyard_node.http_client import ConnectionFailedError, HttpConnection
from toucanyard_standins.endless_answers import EndlessKind, build_endless

ADDRESS = Address("127.0.0.1:1")
FRAGMENTS = st.sampled_from(
    (
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 500 Failed\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 204 No Content\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"X-Filler: filler\r\n",
        b"\r\n",
        b"5\r\nhello\r\n",
        b"5;extension=e\r\nhello\r\n",
        b"0\r\n\r\n",
        b"0\r\nX-Trailer: t\r\n\r\n",
        b"hello",
        b"FFFFFFFFFFFFFFFFFFFF\r\n",
        b"\n",
        b"\x00",
    )
)
RESPONSES = st.lists(FRAGMENTS | st.binary(max_size=8), max_size=8).map(b"".join)
CUTS = st.lists(st.integers(0, 250), max_size=8)
WHOLE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
LINE_ENDS = b"\r\n"
EVENTS = st.lists(
    st.sampled_from((b"\n", b"\r\n", b"\n\n", b"id: 7\n", b"id: 8", b"data: x", b":"))
    | st.binary(max_size=4),
    max_size=16,
).map(b"".join)

Outcome = tuple[int, bytes] | None
"""Status and whole body, or none if the bytes are no whole response."""


def cut(data: bytes, cuts: list[int]) -> list[bytes]:
    """Cut bytes at some positions; no packet is empty."""
    ends = sorted({min(each, len(data)) for each in cuts} | {len(data)})
    begins = [0, *ends[:-1]]
    return [
        data[begin:end] for begin, end in zip(begins, ends, strict=True) if begin < end
    ]


def parse_reference(data: bytes) -> Outcome:
    """Parse bytes that have arrived at once before the other side closes."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    connection.receive_data(b"")
    status, body = 0, b""
    try:
        while True:
            match connection.next_event():
                case h11.Response(status_code=status):
                    pass
                case h11.Data(data=part):
                    body += part
                case h11.EndOfMessage():
                    return status, body
                case h11.InformationalResponse():
                    pass
                case _:
                    return None
    except (h11.RemoteProtocolError, ValueError):
        return None


async def read(packets: list[bytes]) -> Outcome:
    """Read one response by the client; the other side then closes."""
    near, far = trio.testing.memory_stream_pair()
    connection = HttpConnection(ADDRESS, near, 0.0)
    await connection.send("GET", "/", ())

    async def answer() -> None:
        for packet in packets:
            await far.send_all(packet)
            await trio.testing.wait_all_tasks_blocked()
        await far.aclose()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer)
        try:
            with trio.fail_after(1):
                head = await connection.read_head()
                return head.status, await connection.read_body()
        except ConnectionFailedError:
            return None


def run_read(packets: list[bytes]) -> Outcome:
    """Read on a mock clock, so that a timeout fails at once."""
    return trio.run(read, packets, clock=trio.testing.MockClock(autojump_threshold=0))


@given(data=RESPONSES, cuts=CUTS)
@example(data=WHOLE, cuts=[])
@example(data=WHOLE[:-1], cuts=[3, 60])
@example(data=b"HTTP/1.1 200 OK\r\n\r\nhello", cuts=[20])
@settings(max_examples=250, deadline=None, derandomize=True)
def test_no_answer_is_made_of_bytes_that_are_none(data: bytes, cuts: list[int]) -> None:
    """Guards against an answer that depends on packets, or that no parser accepts."""
    assert run_read(cut(data, cuts)) == parse_reference(data)


@pytest.mark.parametrize("kind", EndlessKind)
@given(cuts=CUTS)
@settings(max_examples=5, deadline=None, derandomize=True)
def test_endless_answer_that_breaks_off_is_no_answer(
    kind: EndlessKind, cuts: list[int]
) -> None:
    """Guards against an endless answer that is taken for a whole one at its end."""
    answer = build_endless(kind, ())
    data = answer.begin + answer.part[:200]
    outcome = run_read(cut(data, cuts))
    # Without a length only the end of the connection ends a body.
    assert outcome is None or kind is EndlessKind.UNFRAMED


@given(data=EVENTS, cuts=CUTS)
@example(data=b"id: 7\n\n\n", cuts=[6, 7])
@settings(max_examples=300, deadline=None, derandomize=True)
def test_events_are_split_alike_however_they_are_cut(
    data: bytes, cuts: list[int]
) -> None:
    """Guards against events that depend on packets, and against lost bytes.

    Line ends between two events belong to neither of them.
    """
    whole = EventSplitter("")
    at_once = whole.push(data)
    splitter = EventSplitter("")
    pushed = [splitter.push(packet) for packet in cut(data, cuts)]
    assert data.startswith(at_once)
    assert data.startswith(b"".join(pushed))
    assert b"".join(pushed).rstrip(LINE_ENDS) == at_once.rstrip(LINE_ENDS)
    assert all(not part or part.endswith((b"\n\n", b"\r\n\r\n")) for part in pushed)
    assert splitter.last_id == whole.last_id
    assert splitter.has_partial_event() == whole.has_partial_event()


@given(data=EVENTS, cuts=CUTS)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_each_byte_of_a_stream_is_searched_a_bounded_number_of_times(
    data: bytes, cuts: list[int]
) -> None:
    """Guards against work that grows with what has arrived of an event."""
    packets = cut(100 * data, cuts)
    splitter = EventSplitter("")
    for packet in packets:
        splitter.push(packet)
    assert splitter.searched_bytes <= 100 * len(data) + 3 * len(packets)


@given(sizes=st.lists(st.integers(1, 9_000), min_size=1, max_size=20))
@example(sizes=[1])
@settings(max_examples=20, deadline=None, derandomize=True)
def test_event_without_end_is_given_up_within_its_bound(sizes: list[int]) -> None:
    """Guards against an event that is held for as long as it grows."""
    splitter = EventSplitter("", max_event_bytes=20_000)
    pushed_bytes = 0
    with pytest.raises(ByteBoundError):
        for size in itertools.cycle(sizes):
            pushed_bytes += size
            splitter.push(b"x" * size)
    assert 20_000 < pushed_bytes <= 20_000 + max(sizes)


@pytest.mark.parametrize("kind", EndlessKind)
def test_work_of_the_parser_grows_with_the_bytes_only(
    kind: EndlessKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against input that the parser copies again for each of its parts.

    Counts the bytes in the buffer of the parser at each of its steps.
    """
    work = Counter[str]()
    next_event = h11.Connection.next_event

    def count_work(connection: h11.Connection) -> object:
        work["bytes"] += len(connection.trailing_data[0])
        return next_event(connection)

    monkeypatch.setattr(h11.Connection, "next_event", count_work)
    answer = build_endless(kind, ())
    few = [answer.begin + 2 * answer.part, *20 * [2 * answer.part]]
    run_read(few)
    few_work = work.pop("bytes")
    run_read([*few, *60 * [2 * answer.part]])
    assert work["bytes"] <= 4 * few_work + 100_000
