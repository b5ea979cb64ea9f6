"""Connect servers, callers and engines in memory, for trio's mock clock.

Real sockets don't work with an autojump clock, which would jump while bytes are in
flight in the kernel. Here all data stays inside trio.
"""

from __future__ import annotations

from typing import cast

import trio
import trio.testing

from toucanyard.names import Address
from toucanyard_node.http_client import ConnectionFailedError, HttpConnection
from toucanyard_node.http_server import (
    Handler,
    HttpServer,
    ServerLimits,
)


class MemoryListener(trio.abc.Listener[trio.abc.Stream]):
    """Accept the server ends of in-memory connections."""

    def __init__(self) -> None:
        self.inbox, self._outbox = trio.open_memory_channel[trio.abc.Stream](1_000)

    async def accept(self) -> trio.abc.Stream:
        return await self._outbox.receive()

    async def aclose(self) -> None:
        await self._outbox.aclose()


class MemoryNetwork:
    """A network of in-memory servers; other addresses refuse connections."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._listeners: dict[Address, MemoryListener] = {}
        self.opened: list[Address] = []
        self._unread: list[trio.abc.Stream] = []
        self.connect_delay_s = 0.0
        self.blocked: set[Address] = set()
        """Addresses whose connections never accept data."""

    def serve(
        self, address: str, handler: Handler, limits: ServerLimits | None = None
    ) -> HttpServer:
        """Serve a handler at an address."""
        server = HttpServer(handler, limits or ServerLimits())
        listener = self._listeners[Address(address)] = MemoryListener()
        self._nursery.start_soon(server.serve, cast(trio.SocketListener, listener))
        return server

    def remove(self, address: str) -> None:
        """Refuse new connections to an address."""
        del self._listeners[Address(address)]

    async def connect(self, address: Address, timeout_ms: float) -> HttpConnection:
        """Connect like `toucanyard_node.http_client.connect`."""
        await trio.sleep(self.connect_delay_s)
        listener = self._listeners.get(address)
        if listener is None:
            raise ConnectionFailedError("refused", is_sent=False)
        self.opened.append(address)
        if address in self.blocked:
            blocked_stream, theirs = trio.testing.lockstep_stream_pair()
            self._unread.append(theirs)
            return HttpConnection(address, blocked_stream, trio.current_time() * 1000)
        ours = await _open_stream(listener)
        return HttpConnection(address, ours, trio.current_time() * 1000)

    async def open_stream(self, address: Address) -> trio.abc.Stream:
        """Connect to a server and return the raw stream."""
        return await _open_stream(self._listeners[address])


async def _open_stream(listener: MemoryListener) -> trio.abc.Stream:
    ours, theirs = trio.testing.memory_stream_pair()
    try:
        await listener.inbox.send(theirs)
    except trio.BrokenResourceError as error:
        raise ConnectionFailedError("refused", is_sent=False) from error
    return ours
