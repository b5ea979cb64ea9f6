"""Forward requests to one engine without any routing decision.

Its cost is that of the HTTP libraries alone: the lower bound that the cost of a node
is compared with.
"""

from __future__ import annotations

from typing import Final

import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.http_client import HttpConnection, connect
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
)
from toucanyard_standins.json_responses import handle_route

_CONNECT_TIMEOUT_MS: Final = 5_000


class RelayOptions(msgspec.Struct, frozen=True):
    """The engine that all requests are forwarded to."""

    engine: Address


class PlainRelay:
    """Forward requests on pooled connections, and responses chunk by chunk."""

    def __init__(self, options: RelayOptions) -> None:
        self._engine = options.engine
        self._idle_connections: list[HttpConnection] = []

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Forward one request."""
        await handle_route(self._relay, request, responder)

    async def _relay(self, request: HttpRequest, responder: Responder) -> None:
        if self._idle_connections:
            connection = self._idle_connections.pop()
        else:
            connection = await connect(self._engine, _CONNECT_TIMEOUT_MS)
        await connection.send(request.method, request.path, (), request.body)
        head = await connection.read_head()
        content_type = ("Content-Type", head.headers["content-type"])
        if "content-length" in head.headers:
            body = await connection.read_body()
            await responder.send(head.status, (content_type,), body)
        else:
            await responder.start(head.status, (content_type,))
            while (chunk := await connection.read_body_chunk()) is not None:
                await responder.write(chunk)
            await responder.finish()
        self._idle_connections.append(connection)


async def serve_plain_relay(
    options: RelayOptions,
    listener: trio.SocketListener,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run one relay until cancelled; report its address once it listens."""
    server = HttpServer(PlainRelay(options).handle, ServerLimits())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listener)
        task_status.started(Address(f"127.0.0.1:{find_port(listener)}"))
