"""Check that an answer is not whole if its connection is reset under a long call."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import AsyncExitStack

import pytest
import trio

from toucanyard.names import Address
from toucanyard.requests import Repeatability
from toucanyard_node.http_client import ConnectionFailedError, HttpConnection, connect
from toucanyard_node.http_server import find_port

from .relay_harness import (
    LOCAL,
    RelayHarness,
    ScriptedReplica,
    build_call,
    build_event,
    read_call,
    start_harness,
)
from .test_call_forwarding import ForwardPeer, open_cut_off_node
from .test_relay_exchange import find_body, find_status, join_chunks

LONG_BODY = b"x" * 3_900_000
RESET = struct.pack("ii", 1, 0)
RECEIVE_BYTES = 4_096
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\n"
EVENT_HEAD = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
ONCE = {"repeatability": Repeatability.RUN_ONCE, "timeout_ms": 4_000}


class EarlyReplica(ScriptedReplica):
    """Answers before it has read a long call, then resets or ends its connection."""

    def __init__(self, name: str, data: bytes, *, is_reset: bool = True) -> None:
        super().__init__(name)
        self._data = data
        self._is_reset = is_reset

    async def start(self, nursery: trio.Nursery) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        # Otherwise the kernels take the whole call before the replica reads it.
        listeners[0].socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
        )
        self.address = Address(f"127.0.0.1:{find_port(listeners[0])}")
        nursery.start_soon(trio.serve_listeners, self.serve, listeners)

    async def serve(self, stream: trio.SocketStream) -> None:
        await stream.receive_some(1_000)
        await trio.sleep(0.02)
        # Data and reset arrive before the other side runs again.
        os.write(stream.socket.fileno(), self._data)
        if self._is_reset:
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        else:
            stream.socket.shutdown(socket.SHUT_WR)
        stream.socket.close()


async def read_answer(data: bytes, *, is_reset: bool) -> bytes:
    """Send a long request and return the body of its answer."""
    async with trio.open_nursery() as nursery:
        replica = EarlyReplica("x", data, is_reset=is_reset)
        await replica.start(nursery)
        connection = await connect(replica.address, 1_000)
        try:
            return await send_and_read(connection)
        finally:
            await connection.close()
            nursery.cancel_scope.cancel()


async def send_and_read(connection: HttpConnection) -> bytes:
    size = ("Content-Length", str(len(LONG_BODY)))
    headers = (("Host", LOCAL), size)
    with trio.fail_after(5):
        await connection.send_and_read_head(
            "POST", "/", headers, LONG_BODY, connection.read_head
        )
        return await connection.read_body()


@pytest.mark.parametrize("part", [b"", b"part"])
async def test_reset_that_the_sender_meets_first_is_no_end_of_an_answer(
    part: bytes,
) -> None:
    """Guards against a reset that the sender of a long body hides from the reader."""
    with pytest.RaisesGroup(
        pytest.RaisesExc(ConnectionFailedError, check=lambda error: error.is_closed)
    ):
        await read_answer(HEAD + b"\r\n" + part, is_reset=True)


async def test_answer_that_ends_before_a_long_body_was_read_is_whole() -> None:
    """Guards against an orderly close that is taken for a reset."""
    body = await read_answer(HEAD + b"\r\nwhole", is_reset=False)
    assert body == b"whole"


async def test_call_with_a_long_body_gets_no_success_of_a_reset_answer() -> None:
    """Guards against a short body that is framed as whole."""
    replica = EarlyReplica("x", HEAD + b"\r\npart")
    async with start_harness(RelayHarness([replica], **ONCE)) as harness:
        received = await harness.call(build_call(body=LONG_BODY))
        assert harness.core.flow.count_pending() == 0
    assert find_status(received) == 502
    assert find_body(received) != b"part"


async def test_stream_that_is_reset_under_a_long_call_does_not_end_as_complete() -> (
    None
):
    """Guards against a stream that ends before its last event and looks complete."""
    replica = EarlyReplica("x", EVENT_HEAD + build_event(1))
    route = {"is_stream": True, "max_gap_ms": 300, **ONCE}
    async with start_harness(RelayHarness([replica], **route)) as harness:
        received = await harness.call(build_call(body=LONG_BODY))
        assert harness.core.flow.count_pending() == 0
    assert join_chunks(received) == (build_event(1), False)


class CuttingReplica(ScriptedReplica):
    """Closes or resets its connection after another part of a head for each call."""

    def __init__(self, name: str, *, is_reset: bool) -> None:
        super().__init__(name)
        self._is_reset = is_reset
        self.size = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        if not await read_call(stream):
            return
        head = HEAD + b"Content-Length: 5\r\n\r\n"
        os.write(stream.socket.fileno(), head[: self.size])
        if self._is_reset:
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        stream.socket.close()


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("is_forwarded", [False, True])
async def test_cut_head_is_passed_on_by_no_node_as_a_success(
    is_forwarded: bool, is_reset: bool
) -> None:
    """Guards against an answer that is made of a head without its end."""
    head_bytes = len(HEAD + b"Content-Length: 5\r\n\r\n")
    for size in range(0, head_bytes + 1, 3):
        replica = CuttingReplica("x", is_reset=is_reset)
        replica.size = size
        async with AsyncExitStack() as stack:
            harness = await stack.enter_async_context(
                start_harness(RelayHarness([replica], **ONCE))
            )
            if is_forwarded:
                peer = ForwardPeer("b", harness)
                harness = await stack.enter_async_context(
                    open_cut_off_node([peer], **ONCE)
                )
            received = await harness.call(build_call())
            assert harness.core.flow.count_pending() == 0
        assert find_status(received) == 502
        assert b'"not_run":false' in received


@pytest.mark.parametrize("is_forwarded", [False, True])
@pytest.mark.parametrize("status", ["000", "099", "20", "2000"])
async def test_answer_without_a_possible_status_is_not_passed_on(
    status: str, is_forwarded: bool
) -> None:
    """Guards against bytes of a replica in trouble that a caller gets as an answer."""
    head = HEAD.replace(b"200", status.encode()) + b"Content-Length: 4\r\n\r\n"
    received = await call_once(head + b"part", is_forwarded, is_reset=False)
    assert find_status(received) == 502
    assert find_body(received) != b"part"


async def test_forwarded_long_call_gets_no_success_of_a_reset_answer() -> None:
    """Guards against a part of an answer that a peer frames as whole."""
    received = await call_once(HEAD + b"\r\npart", True, is_reset=True)
    assert find_status(received) == 502
    assert find_body(received) != b"part"


async def call_once(data: bytes, is_forwarded: bool, *, is_reset: bool) -> bytes:
    """Send a long call to a lone replica, perhaps over a peer; return the answer."""
    replica = EarlyReplica("x", data, is_reset=is_reset)
    async with AsyncExitStack() as stack:
        harness = await stack.enter_async_context(
            start_harness(RelayHarness([replica], **ONCE))
        )
        if is_forwarded:
            peer = ForwardPeer("b", harness)
            harness = await stack.enter_async_context(open_cut_off_node([peer], **ONCE))
        return await harness.call(build_call(body=LONG_BODY))
