"""Read from and write to a stream with fewer turns of the scheduler.

`receive_some` of trio tries to read before it waits, which fails for each token event,
and `send_all` yields after each write that didn't have to wait. A relay waits for each
event anyway, so it needs neither: it stays fair, since reading always yields.
"""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from typing import Final

import trio

READ_BYTES: Final = 65_536


async def receive(stream: trio.abc.ReceiveStream) -> bytes:
    """Wait for bytes and return them; empty when the other side has closed.

    Raise trio.BrokenResourceError or trio.ClosedResourceError when there are none.
    """
    if not isinstance(stream, trio.SocketStream):
        return bytes(await stream.receive_some(READ_BYTES))
    while True:
        await trio.lowlevel.wait_readable(_find_descriptor(stream))
        # Another task may have closed the stream after this one was woken, and its
        # descriptor may belong to another connection by now, whose bytes would be
        # taken for this one's. Nothing can close it between here and the read.
        descriptor = _find_descriptor(stream)
        try:
            return os.read(descriptor, READ_BYTES)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error


async def send(stream: trio.abc.SendStream, data: bytes) -> None:
    """Send all bytes; yield only while the other side is slow.

    Raise trio.BrokenResourceError or trio.ClosedResourceError when it can't be sent.
    """
    sent_bytes = _send_nonblocking(stream, data)
    if sent_bytes < len(data):
        await stream.send_all(memoryview(data)[sent_bytes:])


def accept_pending(
    listener: trio.abc.Listener[trio.SocketStream],
) -> list[trio.SocketStream]:
    """Accept the connections that the kernel has made already, without waiting."""
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
    """Send what the kernel takes without waiting; return how much that was."""
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
