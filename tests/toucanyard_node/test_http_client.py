"""Tests for reading responses that arrive in arbitrary packets."""

from __future__ import annotations

import pytest
import trio
from hypothesis import example, given, strategies as st

from toucanyard.names import Address
from toucanyard_node.bounded_fetch import exchange_bounded
from toucanyard_node.http_client import (
    ConnectionFailedError,
    HttpConnection,
    RequestInvalidError,
    connect,
)
from toucanyard_node.http_server import find_port

ADDRESS = Address("127.0.0.1:1")
BODIES = st.lists(
    st.sampled_from([b"\r\n", b"0\r\n\r\n", b"a", b"id: 1\ndata: x\n\n"]), max_size=4
)
CUTS = st.lists(st.integers(0, 200), max_size=6)


def render(parts: list[bytes], is_chunked: bool) -> bytes:
    """Return the bytes of one complete response."""
    if not is_chunked:
        body = b"".join(parts)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + chunks + b"0\r\n\r\n"


async def read_response(packets: list[bytes], then_closes: bool) -> tuple[bytes, bool]:
    """Return the body of a response and whether the connection is reusable."""
    near, far = trio.testing.memory_stream_pair()
    connection = HttpConnection(ADDRESS, near, 0.0)
    await connection.send("GET", "/", ())

    async def answer() -> None:
        for packet in packets:
            await far.send_all(packet)
            await trio.testing.wait_all_tasks_blocked()
        if then_closes:
            await far.aclose()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer)
        with trio.fail_after(1):
            await connection.read_head()
            body = await connection.read_body()
    return body, connection.is_reusable()


def run_response(packets: list[bytes], then_closes: bool) -> tuple[bytes, bool]:
    """Read a response on a mock clock, so that a timeout fails at once."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(read_response, packets, then_closes, clock=clock)


def cut(data: bytes, offsets: list[int]) -> list[bytes]:
    """Return the data split at these offsets."""
    edges = [0, *sorted({offset % len(data) for offset in offsets} - {0}), len(data)]
    return [data[begin:end] for begin, end in zip(edges, edges[1:], strict=False)]


@given(BODIES, st.booleans(), CUTS)
@example([b"a", b"\r\n"], False, [41])
def test_answer_is_whole_however_it_is_cut(
    parts: list[bytes], is_chunked: bool, offsets: list[int]
) -> None:
    """Packets may end within a chunk, its size or the line break after it.

    The body must be complete, and its end found without waiting for more bytes.
    """
    packets = cut(render(parts, is_chunked), offsets)
    body = b"".join(parts)
    assert run_response(packets, False) == (body, True)


@given(BODIES, st.booleans(), CUTS, st.integers(1, 200))
def test_answer_that_ends_early_is_never_whole(
    parts: list[bytes], is_chunked: bool, offsets: list[int], missing: int
) -> None:
    """The engine fails during its response: a partial body must not look complete."""
    data = render(parts, is_chunked)
    short = data[: max(1, len(data) - missing)]
    with pytest.RaisesGroup(ConnectionFailedError):
        run_response(cut(short, offsets), True)


WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


@pytest.mark.parametrize("size", [0, 10, len(WHOLE) - 1])
def test_connection_that_is_closed_early_is_told_from_one_that_fails(size: int) -> None:
    with pytest.RaisesGroup(
        pytest.RaisesExc(ConnectionFailedError, check=lambda error: error.is_closed)
    ):
        run_response([WHOLE[:size]], then_closes=True)


def test_answer_that_is_no_http_is_not_taken_for_a_closed_connection() -> None:
    with pytest.RaisesGroup(
        pytest.RaisesExc(ConnectionFailedError, check=lambda error: not error.is_closed)
    ):
        run_response([b"\x00\x01\r\n\r\n"], then_closes=False)


CUT_EVERYWHERE = (
    WHOLE,
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + WHOLE,
    b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE,
    b"HTTP/1.1 200\r\ncontent-LENGTH:  12\r\nX-A:b\r\n\r\n" + 12 * b"x",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4;e=f\r\n\r\n\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
    b"3\r\nabc\r\n0;x\r\nX-T: t\r\nX-U: u\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
    b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
)


@pytest.mark.parametrize("whole", CUT_EVERYWHERE)
def test_answer_that_breaks_off_anywhere_is_never_whole(whole: bytes) -> None:
    """Guards against the end of a connection that ends a head, chunk or trailer."""
    for size in range(len(whole)):
        with pytest.RaisesGroup(ConnectionFailedError):
            run_response([whole[:size]], then_closes=True)
    run_response([whole], then_closes=True)


async def test_address_without_a_listener_is_noticed() -> None:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = Address(f"127.0.0.1:{find_port(listeners[0])}")
    await listeners[0].aclose()
    with pytest.raises(ConnectionFailedError) as refused:
        await connect(address, 1_000.0)
    assert refused.value.has_no_listener


@pytest.mark.parametrize("value", ["\ufffd", "a\nb", "\x00", " a"])
async def test_header_that_cannot_be_sent_fails_the_request_only(value: str) -> None:
    """Guards against an error of another type, which ends the task of its sender."""
    near, _ = trio.testing.memory_stream_pair()
    connection = HttpConnection(ADDRESS, near, 0.0)
    headers = (("X-Expect", value),)
    with pytest.raises(RequestInvalidError):
        await connection.send("GET", "/", headers)
    with pytest.raises(ConnectionFailedError) as raised:
        await exchange_bounded(connection, "GET", "/", 9, headers)
    assert not raised.value.is_sent
