"""HTTP server on a free port whose answers a function computes from the request."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from toucanyard.names import Address
from toucanyard_node.http_exchange import Headers, HttpRequest, Responder
from toucanyard_node.http_server import HttpServer, ServerLimits, find_port

Reply = tuple[int, Headers, bytes]


@asynccontextmanager
async def serve(
    answer: Callable[[HttpRequest], Reply],
) -> AsyncIterator[tuple[Address, list[HttpRequest]]]:
    seen: list[HttpRequest] = []

    async def handle(http: HttpRequest, responder: Responder) -> None:
        seen.append(http)
        status, headers, body = answer(http)
        await responder.send(status, headers, body)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        server = HttpServer(handle, ServerLimits())
        nursery.start_soon(server.serve, listeners[0])
        yield Address(f"127.0.0.1:{find_port(listeners[0])}"), seen
        nursery.cancel_scope.cancel()
