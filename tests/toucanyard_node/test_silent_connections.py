"""Test what ends a connection on which nothing arrives any more."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from websockets.trio.client import connect as connect_websocket
from websockets.trio.server import ServerConnection, serve as serve_websockets

from toucanyard.names import Address
from toucanyard_node.http_client import connect
from toucanyard_node.http_exchange import HttpRequest, Responder
from toucanyard_node.http_server import HttpServer, ServerLimits, find_port

WRITE_TIMEOUT_MS = 4_321
CONNECT_MS = 1_000.0


def read_stream(stream: trio.abc.Stream) -> tuple[int, bool]:
    """Return the user timeout in ms, and whether keep-alive probes are sent."""
    assert isinstance(stream, trio.SocketStream)
    sock = stream.socket
    timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    keepalive = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    return timeout, bool(keepalive)


@asynccontextmanager
async def open_listener() -> AsyncIterator[tuple[trio.SocketListener, Address]]:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with listeners[0]:
        yield listeners[0], Address(f"127.0.0.1:{find_port(listeners[0])}")


async def test_connections_to_replicas_and_store_have_no_kernel_timeout() -> None:
    """Guards against a timeout that a library sets and nobody meant.

    Timeouts of the call end these connections.
    """
    async with open_listener() as (_, address):
        connection = await connect(address, CONNECT_MS)
        assert read_stream(connection._stream) == (0, False)
        await connection.close()


async def test_callers_connections_end_when_they_read_nothing() -> None:
    """Guards against callers that vanish and keep their connections for ever.

    Without keep-alive probes the timeout concerns unacknowledged data only.
    """
    found: list[tuple[int, bool]] = []
    limits = ServerLimits(write_timeout_ms=WRITE_TIMEOUT_MS)

    async def handle(_: HttpRequest, responder: Responder) -> None:
        found.append(read_stream(responder._stream))
        await responder.send(200, (), b"")

    async with trio.open_nursery() as nursery, open_listener() as (listener, address):
        nursery.start_soon(HttpServer(handle, limits).serve, listener)
        connection = await connect(address, CONNECT_MS)
        await connection.send("GET", "/", (("Host", "h"),), b"")
        await connection.read_head()
        await connection.close()
        nursery.cancel_scope.cancel()
    assert found == [(WRITE_TIMEOUT_MS, False)]


async def test_connections_between_nodes_have_no_kernel_timeout() -> None:
    """Guards against a timeout that the websocket library sets by itself.

    Missing statuses end a link, and the call's own time ends a forward.
    """
    found: list[tuple[int, bool]] = []

    async def accept(connection: ServerConnection) -> None:
        found.append(read_stream(connection.stream))
        await connection.wait_closed()

    async with trio.open_nursery() as nursery, open_listener() as (listener, address):

        async def serve() -> None:
            await serve_websockets(accept, listeners=[listener], ping_interval=None)

        nursery.start_soon(serve)
        async with connect_websocket(
            f"ws://{address}/", proxy=None, ping_interval=None
        ) as opened:
            found.append(read_stream(opened.stream))
        nursery.cancel_scope.cancel()
    assert found == [(0, False), (0, False)]
