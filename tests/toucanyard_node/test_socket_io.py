"""Tests for reading and writing with fewer turns of the scheduler."""

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
    """A reader is woken; before it runs, its stream is closed for silence, and a new
    connection gets the same descriptor, with bytes of another answer on it.

    Reading the descriptor would hand one caller what belongs to another.
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
    """The silence watch closes a connection under its reader, which has to wake up."""
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
    """The kernel takes a part of a large write; the rest follows as it is read."""
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
    """Writing to a closed connection raises, so that its stream is kept for later."""
    near, far = open_pair()
    await far.aclose()
    with pytest.raises(trio.BrokenResourceError):
        await send(near, b"x")
