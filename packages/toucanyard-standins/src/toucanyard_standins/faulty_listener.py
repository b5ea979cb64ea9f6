"""Inject connection faults below HTTP: silence, close, or close on accept.

A stand-in serves on a FaultyListener in place of a trio listener, so its HTTP server
can't distinguish an injected fault from a network failure.
"""

from __future__ import annotations

from typing import cast

import trio


class FaultyStream(trio.abc.HalfCloseableStream):
    """Wrap one accepted connection.

    Invariant: a silent connection sends neither data nor a close, and ignores all
    received data.
    """

    def __init__(self, stream: trio.SocketStream, listener: FaultyListener) -> None:
        self._stream = stream
        self._listener = listener
        self.is_silent = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send data, or drop it when silent."""
        if self.is_silent:
            await trio.lowlevel.checkpoint()
            return
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the wrapped connection accepts data."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data, or block forever when silent."""
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
        """Close the connection, or keep it open when silent.

        On a close the kernel would notify the peer. A peer gets no such notice when a
        device on the path has dropped the state of the connection.
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
    """Accept connections and keep track of open ones."""

    def __init__(self, listener: trio.SocketListener) -> None:
        self._listener = listener
        self.streams: set[FaultyStream] = set()
        self._down_until_s = 0.0

    def as_socket_listener(self) -> trio.SocketListener:
        """Return this listener, typed as the class that servers require.

        trio's class is final; servers only call accept and aclose.
        """
        return cast(trio.SocketListener, self)

    async def accept(self) -> FaultyStream:
        """Accept the next connection; while down, close connections immediately."""
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
        """Close new connections immediately for a period of real time."""
        self._down_until_s = trio.current_time() + for_ms / 1000

    def silence(self) -> None:
        """Permanently silence all currently open connections."""
        for stream in self.streams:
            stream.is_silent = True

    async def cut(self) -> None:
        """Close all currently open connections."""
        for stream in tuple(self.streams):
            await stream.cut()
