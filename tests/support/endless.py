"""Server that answers each request with bytes that never end, until it is closed."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from toucanyard.names import Address
from toucanyard_node.http_server import find_port

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\n\r\n"
CHUNK = b"10000\r\n" + b" " * 65_536 + b"\r\n"
MAX_SOCKET_BYTES = 8_000_000
"""More than the buffers of both sockets take without a reader."""


class EndlessServer:
    """Sends a head and then one part again and again on each connection."""

    def __init__(self, head: bytes, part: bytes, pause_s: float = 0.0) -> None:
        self.head = head
        self.part = part
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.requests: list[bytes] = []

    async def handle(self, stream: trio.SocketStream) -> None:
        try:
            self.requests.append(bytes(await stream.receive_some()))
            await stream.send_all(self.head)
            while True:
                await stream.send_all(self.part)
                self.sent_bytes += len(self.part)
                await trio.sleep(self.pause_s)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


@asynccontextmanager
async def serve_endlessly(
    head: bytes = CHUNKED, part: bytes = CHUNK, pause_s: float = 0.0
) -> AsyncIterator[tuple[Address, EndlessServer]]:
    server = EndlessServer(head, part, pause_s)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, server.handle, listeners)
        yield Address(f"127.0.0.1:{find_port(listeners[0])}"), server
        nursery.cancel_scope.cancel()
