"""Read from and write to sockets with one pass of the scheduler where one is enough.

trio's streams try a system call, and then give way to other tasks once more even when
it succeeded at once. A relay of tokens waits for its source anyway, so it gives way
often enough; the second pass would cost as much as the relay's own work.
"""

from __future__ import annotations

import os

import trio


async def read_some(stream: trio.abc.Stream, max_bytes: int) -> bytes:
    """Return what is there, at least one byte; empty at the end of the stream.

    Errors are those of the stream's own `receive_some`.
    """
    if not isinstance(stream, trio.SocketStream):
        return bytes(await stream.receive_some(max_bytes))
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError
    await trio.lowlevel.wait_readable(descriptor)
    try:
        return os.read(descriptor, max_bytes)
    except BlockingIOError:
        return bytes(await stream.receive_some(max_bytes))
    except OSError as error:
        raise trio.BrokenResourceError from error


async def write_all(stream: trio.abc.Stream, data: bytes) -> None:
    """Write everything; wait only while the other side is slow.

    Errors are those of the stream's own `send_all`. Only one task may write.
    """
    written = _write_now(stream, data)
    if written < len(data):
        await stream.send_all(memoryview(data)[written:])


def _write_now(stream: trio.abc.Stream, data: bytes) -> int:
    """Write what fits without waiting; return how many bytes."""
    if not isinstance(stream, trio.SocketStream):
        return 0
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError
    try:
        return os.write(descriptor, data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError from error
