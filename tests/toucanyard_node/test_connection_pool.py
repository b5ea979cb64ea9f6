"""Tests for the reuse of connections and the detection of unsent requests."""

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
    """A caller disconnects before its response is complete.

    The next request on that connection would read the rest as its own response.
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
    """A connection is in use while another to the same address times out.

    Both may have been lost in the same way, so it must not be pooled after use.
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

    The pool must notice the EOF on the socket before a request is sent and lost.
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
    """The kernel accepts no byte of a request, so the request did not run."""
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
    """A configuration contains an invalid port of five digits.

    The socket library raises an error that is not an OSError. If it were not caught, it
    would end the task that watches the endpoint, and with it the node.
    """
    with pytest.raises(ConnectionFailedError) as caught:
        await connect(Address("127.0.0.1:99999"), 1_000)
    assert not caught.value.is_sent


async def test_answer_over_the_bound_is_given_up(autojump_clock: MockClock) -> None:
    """An endless response must not exhaust the memory. Its connection must not be
    reused, because the rest of the response is still unread."""
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
    """While a dead idle connection is being closed, a read on another times out.

    All idle connections are then discarded. A request waiting for the close must not
    get one of them, or it would run into a timeout, too.
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
            acquired, is_used = await pool.acquire(ADDRESS)
        assert not is_used
        assert acquired not in connections
