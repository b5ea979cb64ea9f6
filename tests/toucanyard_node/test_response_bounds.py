"""Responses without end are given up at a bound and hold no other task up."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import h11
import pytest
import trio
import trio.testing

from toucanyard.names import Address
from toucanyard_node.held_bytes import ByteBound, HeldBytes
from toucanyard_node.http_client import (
    BodyTooLargeError,
    ConnectionFailedError,
    HttpConnection,
    ResponseTooLargeError,
)

ADDRESS = Address("127.0.0.1:1")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EARLY = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
READS = 200
"""More reads than any of the bounds allows."""

Read = Callable[[HttpConnection], Awaitable[object]]


class EndlessStream(trio.abc.Stream):
    """Is always ready to read: begins with `head`, then repeats `part`."""

    def __init__(self, head: bytes, part: bytes) -> None:
        self._head = head
        self._part = part * max(1, 65_536 // len(part))
        self.read_count = 0

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await trio.lowlevel.checkpoint()
        self.read_count += 1
        if self.read_count > READS:
            raise trio.BrokenResourceError("no bound was kept")
        head, self._head = self._head, b""
        return head or self._part

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


async def read_head(connection: HttpConnection) -> None:
    await connection.read_head()


async def read_whole(connection: HttpConnection) -> None:
    await connection.read_head()
    await connection.read_body(1_000_000)


async def send(stream: trio.abc.Stream) -> HttpConnection:
    connection = HttpConnection(ADDRESS, stream, 0.0)
    await connection.send("GET", "/", ())
    return connection


@contextmanager
def count_most_events_of_a_turn(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """Yield the largest number of parser events between two turns of other tasks."""
    most = [0]
    since = 0
    parse = h11.Connection.next_event

    def count(self: h11.Connection) -> object:
        nonlocal since
        since += 1
        most[0] = max(most[0], since)
        return parse(self)

    class Instrument(trio.abc.Instrument):
        def before_task_step(self, task: trio.lowlevel.Task) -> None:
            nonlocal since
            since = 0

    instrument = Instrument()
    monkeypatch.setattr(h11.Connection, "next_event", count)
    trio.lowlevel.add_instrument(instrument)
    yield most
    trio.lowlevel.remove_instrument(instrument)


@pytest.mark.parametrize(
    ("head", "part", "read", "bound"),
    [
        (b"", EARLY, read_head, ByteBound.HEAD),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n", read_head, ByteBound.HEAD),
        (CHUNKED, b"%x\r\n%s\r\n" % (9_000, b"x" * 9_000), read_whole, "message"),
        (CHUNKED, b"1\r\nx\r\n", read_whole, ByteBound.MESSAGE),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x", read_whole, ByteBound.MESSAGE),
        (CHUNKED + b"0\r\n", b"X-More: 1\r\n", read_whole, ByteBound.HEAD),
    ],
    ids=["early", "header lines", "chunks", "tiny chunks", "no length", "trailers"],
)
async def test_response_without_end_is_given_up(
    head: bytes,
    part: bytes,
    read: Read,
    bound: ByteBound | str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a response that a node reads until its sender stops."""
    connection = await send(EndlessStream(head, part))
    with (
        count_most_events_of_a_turn(monkeypatch) as most,
        pytest.raises(ResponseTooLargeError) as raised,
    ):
        await read(connection)
    assert raised.value.bound is ByteBound(bound)
    assert most[0] <= 100


async def test_informational_responses_are_counted_over_cancelled_reads() -> None:
    """Guards against a bound that begins anew whenever a reader's timer passes."""
    near, far = trio.testing.memory_stream_pair()
    connection = await send(near)

    async def read_until_cancelled() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_head, connection)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    with pytest.RaisesGroup(ResponseTooLargeError):
        for _ in range(READS):
            await far.send_all(EARLY)
            await read_until_cancelled()


async def test_cancelled_read_of_many_parts_loses_none() -> None:
    """Guards against parts that are dropped where a reader yields to other tasks."""
    size = 20_000
    body = b"".join(b"1\r\n%c\r\n" % (97 + n % 26) for n in range(size))
    near, far = trio.testing.memory_stream_pair()
    connection = await send(near)
    await far.send_all(CHUNKED + body + b"0\r\n\r\n")
    await connection.read_head()
    received = b""
    part: bytes | None = b""
    is_cancelled = True
    while part is not None:
        with trio.CancelScope() as scope:
            if is_cancelled:
                scope.cancel()
            part = await connection.read_body_chunk()
            received += part or b""
        is_cancelled = not is_cancelled
    assert received == bytes(97 + n % 26 for n in range(size))
    assert connection.is_reusable()


async def test_length_over_the_bound_is_refused_before_the_body_comes() -> None:
    """Guards against reading a body of which the head says that it does not fit."""
    near, far = trio.testing.memory_stream_pair()
    connection = await send(near)
    await far.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n")
    await connection.read_head()
    with pytest.raises(BodyTooLargeError) as raised:
        await connection.read_body(1_000)
    assert raised.value.bound is ByteBound.MESSAGE
    assert raised.value.received_bytes == 0


async def test_length_of_an_answer_without_a_body_is_no_length_to_read() -> None:
    near, far = trio.testing.memory_stream_pair()
    connection = HttpConnection(ADDRESS, near, 0.0)
    await connection.send("HEAD", "/", ())
    await far.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n")
    await connection.read_head()
    assert await connection.read_body(1_000) == b""


async def test_length_of_thousands_of_digits_is_a_failed_connection() -> None:
    """Guards against an error of a conversion that ends the task of the reader."""
    near, far = trio.testing.memory_stream_pair()
    connection = await send(near)
    digits = b"1" * 5_000
    await far.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n" % digits)
    with pytest.raises(ConnectionFailedError):
        await connection.read_head()


async def test_body_is_counted_until_its_reader_releases_it() -> None:
    """Guards against a sum that misses what a node holds of whole bodies."""
    near, far = trio.testing.memory_stream_pair()
    connection = await send(near)
    await far.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
    held = HeldBytes(100)
    with held.open("x", 50) as message:
        await connection.read_head()
        assert await connection.read_body(50, message) == b"whole"
        assert held.total_bytes == 5
    assert held.total_bytes == 0


async def test_body_that_does_not_fit_the_sum_names_that_bound() -> None:
    """Guards against one sender that uses up what all of them share."""
    connection = await send(EndlessStream(CHUNKED, b"3e8\r\n%s\r\n" % (b"x" * 1_000)))
    held = HeldBytes(100_000)
    await connection.read_head()
    with held.open("x", 1_000_000) as message:
        with pytest.raises(BodyTooLargeError) as raised:
            await connection.read_body(1_000_000, message)
        assert raised.value.bound is ByteBound.SENDER
        assert held.total_bytes <= 50_000
