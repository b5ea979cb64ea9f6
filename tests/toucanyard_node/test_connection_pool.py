"""Which connections a pool lends again, and what proves that nothing was sent."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from support.network import MemoryNetwork
from toucanyard.names import Address
from toucanyard.options import StreamLimits
from toucanyard_node.connection_pool import ConnectionPool
from toucanyard_node.http_client import (
    BodyTooLargeError,
    ConnectionFailedError,
    HttpConnection,
    connect,
)
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.http_server import (
    find_port,
    open_listener,
)

ADDRESS = Address("10.0.0.1:80")


async def answer_in_chunks(request: HttpRequest, responder: Responder) -> None:
    await responder.start(200, ())
    await trio.sleep(0.1)
    await responder.write(b"first")
    await responder.write(b"second")
    await responder.finish()


@asynccontextmanager
async def open_pool() -> AsyncIterator[ConnectionPool]:
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        network.serve(ADDRESS, answer_in_chunks)
        yield ConnectionPool(StreamLimits(max_idle_connections=2), network.connect)
        nursery.cancel_scope.cancel()


async def send_request(connection: HttpConnection) -> None:
    await connection.send("GET", "/", ())
    await connection.read_head()


async def test_unfinished_answer_is_not_lent_again(autojump_clock: MockClock) -> None:
    """A caller leaves inside an answer; its rest is still to come.

    Whoever got that connection next would read the rest as its own answer.
    """
    async with open_pool() as pool:
        connection, _ = await pool.acquire(ADDRESS)
        await send_request(connection)
        await pool.release(connection)
        assert pool.count_idle(ADDRESS) == 0


async def test_whole_answer_is_lent_again(autojump_clock: MockClock) -> None:
    async with open_pool() as pool:
        first, is_used = await pool.acquire(ADDRESS)
        assert not is_used
        await send_request(first)
        await first.read_body()
        await pool.release(first)
        second, is_used = await pool.acquire(ADDRESS)
        assert is_used
        assert second is first


async def test_older_than_silence_is_not_kept(autojump_clock: MockClock) -> None:
    """A connection was in use while another to the same address went silent.

    It is as old as that one, so it is not kept when its answer has ended.
    """
    async with open_pool() as pool:
        connection, _ = await pool.acquire(ADDRESS)
        await send_request(connection)
        await trio.sleep(1)
        await pool.discard_idle(ADDRESS)
        await connection.read_body()
        await pool.release(connection)
        assert pool.count_idle(ADDRESS) == 0


async def test_idle_for_long_is_not_lent(autojump_clock: MockClock) -> None:
    async with open_pool() as pool:
        connection, _ = await pool.acquire(ADDRESS)
        await send_request(connection)
        await connection.read_body()
        await pool.release(connection)
        await trio.sleep(20)
        _, is_used = await pool.acquire(ADDRESS)
        assert not is_used


async def test_closed_while_idle_is_not_lent() -> None:
    """An engine restarts while a connection to it is idle.

    Its end is waiting on the socket, so the pool sees it before a request is
    written to nobody.
    """
    listener = await open_listener("127.0.0.1", 0)
    address = Address(f"127.0.0.1:{find_port(listener)}")
    pool = ConnectionPool(StreamLimits())
    connection, _ = await pool.acquire(address)
    peer = await listener.accept()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    await connection.send("GET", "/", ())
    await peer.send_all(answer)
    await connection.read_head()
    await connection.read_body()
    await pool.release(connection)
    assert pool.count_idle(address) == 1
    await peer.aclose()
    while connection.is_quiet():
        await trio.sleep(0)
    _, is_used = await pool.acquire(address)
    assert not is_used
    await pool.close()
    await listener.aclose()


async def test_nothing_sent_is_known() -> None:
    """The kernel takes no byte of a request: that proves that it did not run."""
    listener = await open_listener("127.0.0.1", 0)
    address = Address(f"127.0.0.1:{find_port(listener)}")
    connection = await connect(address, 1_000)
    peer = await listener.accept()
    await connection.send("GET", "/", ())
    await trio.aclose_forcefully(peer)
    while connection.is_quiet():
        await trio.sleep(0)
    with pytest.raises(ConnectionFailedError):
        await connection.read_head()
    connection = await connect(address, 1_000)
    await listener.aclose()
    await connection.close()
    with pytest.raises(ConnectionFailedError) as caught:
        await connection.send("GET", "/", ())
    assert not caught.value.is_sent


async def test_impossible_port_is_a_failed_connection() -> None:
    """A configuration names a port that doesn't exist; its pattern allows five digits.

    The kernel is never asked, and the library's error is no OSError. Left as it is, it
    ends the task that watches the endpoint, and with it the node.
    """
    with pytest.raises(ConnectionFailedError) as caught:
        await connect(Address("127.0.0.1:99999"), 1_000)
    assert not caught.value.is_sent


async def test_answer_over_the_bound_is_given_up(autojump_clock: MockClock) -> None:
    """An endpoint sends without an end; its answer must not fill the memory. The
    connection, with the rest still to come, isn't lent again."""
    async with open_pool() as pool:
        connection, _ = await pool.acquire(ADDRESS)
        await send_request(connection)
        with pytest.raises(BodyTooLargeError):
            await connection.read_body(len(b"first"))
        await pool.release(connection)
        assert pool.count_idle(ADDRESS) == 0


async def test_connection_distrusted_while_another_is_closed(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """While a dead idle connection is being closed, another one goes silent.

    The idle ones are dropped then; whoever waits for the closing must not get one of
    them, or its request waits for a silence, too.
    """
    close = HttpConnection.close

    async def close_slowly(self: HttpConnection) -> None:
        await close(self)
        await trio.sleep(1)

    def is_first(self: HttpConnection) -> bool:
        return self is connections[0]

    async with open_pool() as pool:
        connections = [await pool.open(ADDRESS) for _ in range(2)]
        for connection in connections:
            await send_request(connection)
            await connection.read_body()
            await pool.release(connection)
        assert pool.count_idle(ADDRESS) == 2
        monkeypatch.setattr(HttpConnection, "is_quiet", is_first)
        monkeypatch.setattr(HttpConnection, "close", close_slowly)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pool.discard_idle, ADDRESS)
            lent, is_used = await pool.acquire(ADDRESS)
        assert not is_used
        assert lent not in connections
