"""The bodies of requests that a server holds are bounded in sum and in parts."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from toucanyard.byte_limits import ByteLimits
from toucanyard.routes import CallBounds
from toucanyard_node.held_bytes import SENDER_SHARE, HeldBytes
from toucanyard_node.http_exchange import HttpRequest, Responder
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
    open_listener,
)

LIMITS = ServerLimits(max_body_bytes=1_000_000, busy_retry_ms=200, has_exact_retry=True)
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"


class HeldServer:
    """A server whose handler answers when it is told to."""

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self.port = 0
        self.released = trio.Event()
        self.bodies: list[int] = []

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.bodies.append(len(request.body))
        await self.released.wait()
        await responder.send(200, (), b"")

    async def ask(self, data: bytes) -> bytes:
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        async with stream:
            await stream.send_all(data)
            return b"".join([part async for part in stream])


@asynccontextmanager
async def serve(max_bytes: int) -> AsyncIterator[HeldServer]:
    server = HeldServer(HeldBytes(max_bytes))
    listener = await open_listener("127.0.0.1", 0)
    server.port = find_port(listener)
    http = HttpServer(server.handle, LIMITS, held=server.held)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(http.serve, listener)
        yield server
        nursery.cancel_scope.cancel()


def build(size: int) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + bytes(size)


def build_parts(count: int, size: int) -> bytes:
    part = b"%x\r\n%s\r\n" % (size, bytes(size))
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + part * count + b"0\r\n\r\n"


async def test_bodies_beyond_the_sum_are_refused_until_calls_end() -> None:
    """Guards against a node that holds as many bodies as it has connections."""
    async with serve(2_000_000) as server, trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(server.ask, build(500_000))
        while len(server.bodies) < 3:
            await trio.sleep(0.001)
        assert server.held.total_bytes == 1_500_000
        refused = await server.ask(build(500_000))
        assert refused.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 0.200" in refused.lower()
        assert len(server.bodies) == 3
        server.released.set()
        nursery.cancel_scope.deadline = trio.current_time() + 5
    assert server.held.total_bytes == 0


async def test_caller_that_leaves_releases_its_body() -> None:
    async with serve(2_000_000) as server:
        with trio.move_on_after(5) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.ask, build(500_000))
                while not server.bodies:
                    await trio.sleep(0.001)
                nursery.cancel_scope.cancel()
            while server.held.total_bytes:
                await trio.sleep(0.001)
        assert not scope.cancelled_caught


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (build_parts(900, 1), b"200"),
        (build_parts(3_500, 280), b"200"),
        (build_parts(10_000, 1), b"413"),
    ],
)
async def test_body_of_many_tiny_parts_is_refused(data: bytes, status: bytes) -> None:
    """Guards against a body whose parts cost more work than their bytes."""
    async with serve(12_000_000) as server:
        server.released.set()
        assert (await server.ask(data)).startswith(b"HTTP/1.1 " + status)


def test_one_caller_may_send_the_largest_body() -> None:
    share = ByteLimits().max_held_request_bytes * SENDER_SHARE
    assert CallBounds().max_body_bytes <= share


async def test_large_response_is_whole() -> None:
    body = bytes(range(256)) * 4_000

    async def answer(_: HttpRequest, responder: Responder) -> None:
        await responder.send(200, (), body)

    listener = await open_listener("127.0.0.1", 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(HttpServer(answer, LIMITS).serve, listener)
        server = HeldServer(HeldBytes(1))
        server.port = find_port(listener)
        received = await server.ask(build(0))
        assert received.partition(b"\r\n\r\n")[2] == body
        nursery.cancel_scope.cancel()
