"""Tests for socket reads and writes with fewer scheduler yields."""

from __future__ import annotations

import os
import socket

import pytest
import trio

from toucanyard_node.socket_io import READ_BYTES, receive, send


def open_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    """Return two ends of one connection."""
    ends = socket.socketpair()
    near, far = (trio.socket.from_stdlib_socket(end) for end in ends)
    return trio.SocketStream(near), trio.SocketStream(far)


async def test_descriptor_of_closed_stream_is_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a reader is woken and before it runs, the idle watch closes its stream, and
    a new connection with another response gets the same descriptor.

    Reading the descriptor would deliver the response to the wrong caller.
    """
    stream, far = open_pair()
    other, other_far = open_pair()
    await other_far.send_all(b"another answer")
    descriptor = stream.socket.fileno()

    async def close_and_reuse(_: object) -> None:
        await trio.aclose_forcefully(stream)
        assert os.dup(other.socket.fileno()) == descriptor

    monkeypatch.setattr(trio.lowlevel, "wait_readable", close_and_reuse)
    with pytest.raises(trio.ClosedResourceError):
        await receive(stream)
    assert os.read(descriptor, READ_BYTES) == b"another answer"
    os.close(descriptor)


async def test_stream_closed_while_waiting() -> None:
    """The idle watch closes a connection while its reader waits; it must wake up."""
    stream, _ = open_pair()
    with pytest.RaisesGroup(trio.ClosedResourceError):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive, stream)
            await trio.testing.wait_all_tasks_blocked()
            await trio.aclose_forcefully(stream)
    with pytest.raises(trio.ClosedResourceError):
        await receive(stream)
    with pytest.raises(trio.ClosedResourceError):
        await send(stream, b"x")


async def test_all_bytes_arrive_in_order_at_slow_reader() -> None:
    """The kernel accepts part of a large write; the rest is sent as it is read."""
    near, far = open_pair()
    sent = bytes(range(256)) * 16 * (READ_BYTES // 256)
    received = bytearray()
    async with trio.open_nursery() as nursery:

        async def write() -> None:
            await send(near, sent)
            await send(near, b"end")
            await near.aclose()

        nursery.start_soon(write)
        await trio.testing.wait_all_tasks_blocked()
        while part := await receive(far):
            received += part
    assert received == sent + b"end"


async def test_reader_that_is_gone_is_reported() -> None:
    """Writing to a closed connection raises, so that its stream can be stored."""
    near, far = open_pair()
    await far.aclose()
    with pytest.raises(trio.BrokenResourceError):
        await send(near, b"x")
