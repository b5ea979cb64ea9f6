"""Break connections below HTTP: silent, cut, or closed as soon as they are made.

A stand-in serves on a FaultyListener in place of a trio listener, so that its HTTP
server can't tell a fault from a broken network.
"""

from __future__ import annotations

from typing import cast

import trio


class FaultyStream(trio.abc.HalfCloseableStream):
    """Wrap one accepted connection.

    Invariant: once silent, no byte and no end of the connection leaves it again,
    and nothing that arrives is seen.
    """

    def __init__(self, stream: trio.SocketStream, listener: FaultyListener) -> None:
        self._stream = stream
        self._listener = listener
        self.is_silent = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send, or drop the data when silent."""
        if self.is_silent:
            await trio.lowlevel.checkpoint()
            return
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the wrapped connection takes data."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive, or wait for ever when silent."""
        if not self.is_silent:
            data = await self._stream.receive_some(max_bytes)
        if self.is_silent:
            await trio.sleep_forever()
        return bytes(data)

    async def send_eof(self) -> None:
        """Close the sending half unless silent."""
        if not self.is_silent:
            await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close, or keep the connection open when silent.

        The kernel would tell the other side of a close, which is just what it must
        not learn from a connection that something between the two has forgotten.
        """
        if self.is_silent:
            await trio.lowlevel.checkpoint()
            return
        self._listener.streams.discard(self)
        await self._stream.aclose()

    async def cut(self) -> None:
        """Close the wrapped connection at once, silent or not."""
        self._listener.streams.discard(self)
        await trio.aclose_forcefully(self._stream)


class FaultyListener(trio.abc.Listener[FaultyStream]):
    """Accept connections and remember those that are open."""

    def __init__(self, listener: trio.SocketListener) -> None:
        self._listener = listener
        self.streams: set[FaultyStream] = set()
        self._down_until_s = 0.0

    def as_socket_listener(self) -> trio.SocketListener:
        """Return this listener under the type that servers ask for.

        trio's own class is final; servers call nothing but accept and aclose.
        """
        return cast(trio.SocketListener, self)

    async def accept(self) -> FaultyStream:
        """Accept the next connection; while down, close each at once."""
        while True:
            stream = await self._listener.accept()
            if trio.current_time() >= self._down_until_s:
                break
            await trio.aclose_forcefully(stream)
        faulty = FaultyStream(stream, self)
        self.streams.add(faulty)
        return faulty

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()

    def go_down(self, for_ms: float) -> None:
        """Close new connections at once for a while of real time."""
        self._down_until_s = trio.current_time() + for_ms / 1000

    def silence(self) -> None:
        """Make every connection that is open now silent for good."""
        for stream in self.streams:
            stream.is_silent = True

    async def cut(self) -> None:
        """Close every connection that is open now."""
        for stream in tuple(self.streams):
            await stream.cut()
