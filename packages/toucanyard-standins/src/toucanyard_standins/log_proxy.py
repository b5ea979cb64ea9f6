"""Proxy requests of some nodes to the platform, so that only they lose the log."""

from __future__ import annotations

from typing import Final

import trio

from toucanyard.names import Address
from toucanyard_node.http_client import ConnectionFailedError, fetch
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
    open_listener,
)

_TIMEOUT_MS: Final = 10_000.0


class LogProxy:
    """Forward requests to the platform, except log requests while blocked."""

    def __init__(self, platform: Address) -> None:
        self._platform = platform
        self.is_log_blocked = False

    async def serve(
        self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the address of the proxy."""
        listener = await open_listener("127.0.0.1", 0)
        server = HttpServer(self.handle, ServerLimits())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, listener)
            task_status.started(Address(f"127.0.0.1:{find_port(listener)}"))

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Forward one request and its response."""
        is_log = request.path.startswith("/log/")
        try:
            if is_log and self.is_log_blocked:
                await responder.send(503, (), b"")
                return
            answer = await fetch(
                self._platform,
                request.method,
                request.target,
                (),
                request.body,
                _TIMEOUT_MS,
            )
        except ConnectionFailedError:
            await responder.send(502, (), b"")
            return
        # A read that was waiting when the log was blocked must not return records.
        if is_log and self.is_log_blocked:
            await responder.send(503, (), b"")
            return
        content_type = ("Content-Type", "application/json")
        await responder.send(answer.status, (content_type,), answer.body)
