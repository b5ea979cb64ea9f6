"""Socket reads and writes that yield to the scheduler less often than trio's.

`receive_some` of trio tries to read before it waits, which fails for each token event,
and `send_all` yields even after a write that did not have to wait. A relay waits for
each event anyway and needs neither. It remains fair, because reading always yields.
"""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from typing import Final

import trio

READ_BYTES: Final = 65_536


async def receive(stream: trio.abc.ReceiveStream) -> bytes:
    """Wait for bytes and return them; empty if the other side has closed.

    Raise trio.BrokenResourceError or trio.ClosedResourceError on failure.
    """
    if not isinstance(stream, trio.SocketStream):
        return bytes(await stream.receive_some(READ_BYTES))
    while True:
        await trio.lowlevel.wait_readable(_find_descriptor(stream))
        # Another task may have closed the stream after this one was woken. The old
        # descriptor may now belong to another connection, whose bytes would be read as
        # those of this one. Nothing can close it between this line and the read.
        descriptor = _find_descriptor(stream)
        try:
            return os.read(descriptor, READ_BYTES)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error


async def send(stream: trio.abc.SendStream, data: bytes) -> None:
    """Send all bytes; yield only while the socket buffer is full.

    Raise trio.BrokenResourceError or trio.ClosedResourceError on failure.
    """
    sent_bytes = _send_nonblocking(stream, data)
    if sent_bytes < len(data):
        await stream.send_all(memoryview(data)[sent_bytes:])


def accept_pending(
    listener: trio.abc.Listener[trio.SocketStream],
) -> list[trio.SocketStream]:
    """Accept the connections in the kernel's accept queue, without waiting."""
    streams: list[trio.SocketStream] = []
    if not isinstance(listener, trio.SocketListener):
        return streams
    descriptor = listener.socket.fileno()
    if descriptor < 0:
        return streams
    with (
        suppress(OSError),
        socket.socket(fileno=os.dup(descriptor)) as accepting_socket,
    ):
        accepting_socket.setblocking(False)
        while True:
            accepted, _ = accepting_socket.accept()
            accepted.setblocking(False)
            streams.append(trio.SocketStream(trio.socket.from_stdlib_socket(accepted)))
    return streams


def _send_nonblocking(stream: trio.abc.SendStream, data: bytes) -> int:
    """Send without blocking; return how many bytes the kernel accepted."""
    if not isinstance(stream, trio.SocketStream):
        return 0
    try:
        return os.write(_find_descriptor(stream), data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


def _find_descriptor(stream: trio.SocketStream) -> int:
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError("this stream was already closed")
    return descriptor
