"""Tests for the limits and the shutdown of the HTTP server."""

from __future__ import annotations

import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio
from trio.testing import MockClock

from support.network import MemoryNetwork
from toucanyard.names import Address
from toucanyard_node.http_client import ConnectionFailedError, connect
from toucanyard_node.http_exchange import (
    CallerGoneError,
    HttpRequest,
    Responder,
)
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
    open_listener,
)


async def echo(request: HttpRequest, responder: Responder) -> None:
    await responder.send(200, (), request.body)


@asynccontextmanager
async def serve(limits: ServerLimits) -> AsyncIterator[tuple[HttpServer, int]]:
    listener = await open_listener("127.0.0.1", 0)
    server = HttpServer(echo, limits)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listener)
        yield server, find_port(listener)
        nursery.cancel_scope.cancel()


async def exchange(port: int, data: bytes) -> bytes:
    """Send bytes and return everything received."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        await stream.send_all(data)
        return b"".join([part async for part in stream])


def read_code(answer: bytes) -> tuple[int, str]:
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), msgspec.json.decode(body)["error"]["code"]


async def test_slow_headers() -> None:
    """A client that sends only half of a request head is refused."""
    async with serve(ServerLimits(header_timeout_ms=50)) as (_, port):
        answer = await exchange(port, b"GET / HTTP/1.1\r\nHost:")
        assert read_code(answer) == (408, "headers_too_slow")


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 40_000 + b"\r\n\r\n",
        b"GET //[x/y HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET http://[x]/ HTTP/1.1\r\nHost: a\r\n\r\n",
    ],
)
async def test_bad_requests(data: bytes) -> None:
    """A malformed request is refused, and the server and all its other connections
    continue."""
    async with serve(ServerLimits()) as (_, port):
        for _ in range(2):
            assert read_code(await exchange(port, data)) == (400, "bad_request")


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 999999999\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n100000\r\n" + b"x" * 0x100000 + b"\r\n",
    ],
)
async def test_body_too_large(head: bytes) -> None:
    """The declared or actual body size is too large; the client gets the refusal."""
    async with serve(ServerLimits(max_body_bytes=1_000)) as (_, port):
        data = b"POST / HTTP/1.1\r\nHost: a\r\n" + head
        assert read_code(await exchange(port, data)) == (413, "body_too_large")


async def test_too_many_connections() -> None:
    async with serve(ServerLimits(max_connections=1)) as (_, port):
        address = Address(f"127.0.0.1:{port}")
        first = await connect(address, 1_000)
        await first.send("POST", "/", (), b"x")
        await first.read_head()
        assert read_code(await exchange(port, b"")) == (503, "too_many_connections")
        await first.close()


async def test_stop_lets_requests_end(autojump_clock: MockClock) -> None:
    """The server stops while one request is running and a connection is idle.

    The request gets its complete response, the idle connection is closed, a new one is
    refused, and then `serve` returns.
    """

    async def answer_slowly(request: HttpRequest, responder: Responder) -> None:
        await responder.start(200, ())
        await trio.sleep(5)
        await responder.write(b"whole")
        await responder.finish()

    address = Address("10.0.0.1:80")
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        server = network.serve(address, answer_slowly)
        busy = await network.connect(address, 1_000)
        idle = await network.connect(address, 1_000)
        await busy.send("GET", "/", ())
        await trio.sleep(1)
        server.stop()
        with trio.fail_after(1):
            assert await idle.wait_for_close()
        with pytest.raises(ConnectionFailedError):
            await network.connect(address, 1_000)
        await busy.read_head()
        assert await busy.read_body() == b"whole"
        await server.wait_stopped()


@pytest.mark.parametrize("error", [CallerGoneError(), ValueError("a fault")])
async def test_failing_handler_ends_its_connection_only(error: Exception) -> None:
    """A handler raises an error, or ends as if its caller had disconnected.

    The request is refused and its connection closed. The nursery wraps the error in an
    exception group. A server that catches only single errors would end, and with it the
    connections of all other callers.
    """

    async def fail(request: HttpRequest, responder: Responder) -> None:
        if request.path == "/fail":
            raise error
        await responder.send(200, (), b"fine")

    address = Address("10.0.0.1:80")
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        network.serve(address, fail)
        failing = await network.connect(address, 1_000)
        await failing.send("GET", "/fail", ())
        assert (await failing.read_head()).status == 500
        assert read_code(b"HTTP/1.1 500\r\n\r\n" + await failing.read_body()) == (
            500,
            "internal",
        )
        with trio.fail_after(1):
            assert await failing.wait_for_close()
        other = await network.connect(address, 1_000)
        await other.send("GET", "/", ())
        await other.read_head()
        assert await other.read_body() == b"fine"
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("method", ["HEAD", "GET"])
async def test_head_gets_the_head_only(method: str) -> None:
    """A response to HEAD has no body, and h11 refuses to send one. Without special
    handling, the connection would be closed without a response."""

    async def answer(request: HttpRequest, responder: Responder) -> None:
        if request.path == "/stream":
            await responder.start(200, ())
            await responder.write(b"part")
            await responder.finish()
        else:
            await responder.send(404, (), b"whole")

    address = Address("10.0.0.1:80")
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        network.serve(address, answer)
        connection = await network.connect(address, 1_000)
        for target, status, body in (("/", 404, b"whole"), ("/stream", 200, b"part")):
            await connection.send(method, target, ())
            assert (await connection.read_head()).status == status
            expected = b"" if method == "HEAD" else body
            assert await connection.read_body() == expected
        nursery.cancel_scope.cancel()


async def test_connect_is_refused() -> None:
    """CONNECT requests a tunnel. Forwarded to a service, it would turn a pooled
    connection of the node into a tunnel."""
    async with serve(ServerLimits()) as (_, port):
        data = b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"
        assert read_code(await exchange(port, data)) == (405, "method_not_allowed")


async def test_header_outside_ascii_is_sent() -> None:
    """A Content-Type of a service with Latin-1 characters must be forwarded unchanged.
    An encoding error would truncate a complete response."""

    async def answer(request: HttpRequest, responder: Responder) -> None:
        await responder.send(200, (("Content-Type", "text/caf\u00e9"),), b"whole")

    address = Address("10.0.0.1:80")
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        network.serve(address, answer)
        connection = await network.connect(address, 1_000)
        await connection.send("GET", "/", ())
        head = await connection.read_head()
        assert head.headers["content-type"] == "text/caf\u00e9"
        assert await connection.read_body() == b"whole"
        nursery.cancel_scope.cancel()


async def test_caller_that_never_reads() -> None:
    """A caller requests a long response, reads nothing and keeps its connection open.

    Its handler must not wait forever and occupy a stream of an engine and a connection
    slot. The connection must end after the write timeout.
    """
    ended = trio.Event()

    async def send_much(request: HttpRequest, responder: Responder) -> None:
        await responder.start(200, ())
        try:
            while True:
                await responder.write(bytes(1_000_000))
        finally:
            ended.set()

    listener = await open_listener("127.0.0.1", 0)
    server = HttpServer(send_much, ServerLimits(write_timeout_ms=200))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listener)
        stream = await trio.open_tcp_stream("127.0.0.1", find_port(listener))
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        with trio.fail_after(30):
            await ended.wait()
        nursery.cancel_scope.cancel()


REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nhola"


async def read_whole(end: socket.socket) -> bytes:
    """Return everything received until the other side closes the connection."""
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(end))
    async with stream:
        return b"".join([part async for part in stream])


def open_blocking(port: int) -> socket.socket:
    """Connect without yielding to the server's task."""
    return socket.create_connection(("127.0.0.1", port))


async def test_request_at_the_door_when_the_server_stops() -> None:
    """A request arrives at the moment in which the server stops.

    It is in the kernel's buffer of an idle connection or of one not yet accepted.
    Closing either connection would reset it, and the caller, who used a valid address,
    could not know whether the request ran.
    """
    async with serve(ServerLimits()) as (server, port):
        idle = open_blocking(port)
        await trio.testing.wait_all_tasks_blocked()
        idle.sendall(REQUEST)
        new = [open_blocking(port) for _ in range(3)]
        for each in new:
            each.sendall(REQUEST)
        server.stop()
        for each in (idle, *new):
            each.setblocking(False)
            answer = await read_whole(each)
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in answer.lower()
            assert answer.endswith(b"hola")
        await server.wait_stopped()


async def test_hang_up_behind_more_bytes(autojump_clock: MockClock) -> None:
    """A caller sends an extra empty line after its request and disconnects.

    Its handler must be cancelled, so that the engine does no useless work.
    """
    cancelled = trio.Event()

    async def wait(request: HttpRequest, responder: Responder) -> None:
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    address = Address("10.0.0.1:80")
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        network.serve(address, wait)
        stream = await network.open_stream(address)
        await stream.send_all(REQUEST)
        await trio.sleep(1)
        await stream.send_all(b"\r\n")
        await trio.sleep(1)
        await stream.aclose()
        with trio.fail_after(1):
            await cancelled.wait()
        nursery.cancel_scope.cancel()


async def test_pipelined_requests_are_answered_in_order() -> None:
    """A caller sends further requests before the first response."""
    async with serve(ServerLimits()) as (_, port):
        bodies = (b"uno", b"dos", b"tres")
        heads = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s\r\n%s"
        last = b"Connection: close\r\n"
        data = b"".join(
            heads % (len(body), last if body is bodies[-1] else b"", body)
            for body in bodies
        )
        answer = await exchange(port, data)
        assert answer.count(b"HTTP/1.1 200") == len(bodies)
        places = [answer.index(b"\r\n\r\n" + body) for body in bodies]
        assert places == sorted(places)


async def test_idle_connection_follows_a_longer_timeout(
    autojump_clock: MockClock,
) -> None:
    """A connection is idle while the limits change to a longer idle timeout.

    Callers that know the new timeout reuse it after the old one; their request would
    cross its end.
    """
    address = Address("10.0.0.1:80")
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        server = network.serve(address, echo, ServerLimits(idle_timeout_ms=1_000))
        connection = await network.connect(address, 1_000)
        for pause_s in (2.5, 0.0):
            await connection.send("POST", "/", (), b"x")
            assert (await connection.read_head()).status == 200
            assert await connection.read_body() == b"x"
            await trio.sleep(0.5)
            server.apply_limits(ServerLimits(idle_timeout_ms=4_000))
            await trio.sleep(pause_s)
        with trio.fail_after(4.1):
            assert await connection.wait_for_close()
        nursery.cancel_scope.cancel()


async def test_idle_connection_keeps_its_timeout_if_a_shorter_one_comes(
    autojump_clock: MockClock,
) -> None:
    address = Address("10.0.0.1:80")
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        server = network.serve(address, echo, ServerLimits(idle_timeout_ms=4_000))
        connection = await network.connect(address, 1_000)
        await connection.send("POST", "/", (), b"x")
        await connection.read_head()
        await connection.read_body()
        await trio.sleep(0.5)
        server.apply_limits(ServerLimits(idle_timeout_ms=1_000))
        await trio.sleep(2.0)
        await connection.send("POST", "/", (), b"x")
        assert (await connection.read_head()).status == 200
        nursery.cancel_scope.cancel()


async def test_request_that_arrives_as_its_connection_times_out() -> None:
    """A request is in the kernel's buffer when the idle timeout strikes."""
    limits = ServerLimits(idle_timeout_ms=50)
    async with serve(limits) as (_, port):
        end = open_blocking(port)
        end.sendall(REQUEST)
        await trio.sleep(0.01)
        assert end.recv(65_536).startswith(b"HTTP/1.1 200")
        time.sleep(0.1)
        # The timeout has passed, but the server's task has not run since.
        end.sendall(REQUEST)
        end.setblocking(False)
        assert (await read_whole(end)).startswith(b"HTTP/1.1 200")


async def test_connection_that_arrives_as_the_listener_closes() -> None:
    """A connection is queued after the server has stopped and before it closes its
    listener, which would reset it and the request on it."""
    async with serve(ServerLimits()) as (server, port):
        await trio.testing.wait_all_tasks_blocked()
        server.stop()
        late = open_blocking(port)
        late.sendall(REQUEST)
        late.setblocking(False)
        assert (await read_whole(late)).startswith(b"HTTP/1.1 200")
        await server.wait_stopped()


@pytest.mark.parametrize(
    "head",
    [
        b"HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
        b"HEAD / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n",
        b"HEAD http://[x]/ HTTP/1.1\r\nHost: a\r\n\r\n",
    ],
)
async def test_refused_head_request_gets_its_status(head: bytes) -> None:
    """h11 sends no body after HEAD. A refusal with one would close the connection."""
    async with serve(ServerLimits()) as (_, port):
        answer = await exchange(port, head)
        assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.1 413"))
        assert answer.endswith(b"\r\n\r\n")
