"""Messages without end from endpoints, the platform, peers and other nodes."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import suppress

import cbor2
import pytest
import trio
from websockets.exceptions import ConnectionClosed
from websockets.trio.client import connect

from support.endless import CHUNKED, MAX_SOCKET_BYTES, serve_endlessly
from toucanyard.configuration import Endpoint
from toucanyard.core_events import EndpointPollFailed, OrderEnded, VmsRead
from toucanyard.names import (
    DomainName,
    EndpointName,
    Incarnation,
    NodeId,
    NodeName,
    PoolName,
)
from toucanyard.options import MembershipTimings
from toucanyard.order_messages import (
    Order,
    OrderKind,
    OrderOutcome,
    ReadState,
    SendOrder,
)
from toucanyard.platform_log import AppendResult
from toucanyard_node.core_links import CORE_LINKS
from toucanyard_node.endpoint_watch import EndpointWatch, WatchedEndpoint, WatchEvent
from toucanyard_node.log_client import append_records
from toucanyard_node.order_sender import OrderEvent, OrderSender
from toucanyard_node.peer_handshake import Side, authenticate_peer
from toucanyard_node.vm_list import poll_vm_list

from .test_peer_links import Peer, wait_for_links

NAME = EndpointName("e")
HANG_S = 20.0
"""Time after which a test that waits counts as stuck."""
MAX_READ_BYTES = 9_000_000
"""More than the bound of any message that is read here, but not without bound."""


async def test_load_without_end_is_a_failed_poll() -> None:
    """Guards against a poll that reads as long as an endpoint sends."""
    events: list[WatchEvent] = []
    is_failed = trio.Event()

    async def record_event(event: WatchEvent) -> None:
        events.append(event)
        is_failed.set()

    async with serve_endlessly() as (address, server), trio.open_nursery() as nursery:
        endpoint = Endpoint(NAME, address, DomainName("d"))
        watched = WatchedEndpoint(endpoint, is_engine=False, is_followed=False)
        watch = EndpointWatch(lambda: ([watched], 1), MembershipTimings(), record_event)
        nursery.start_soon(watch.run)
        with trio.fail_after(HANG_S):
            await is_failed.wait()
        nursery.cancel_scope.cancel()
    assert events[0] == EndpointPollFailed(NAME)
    assert server.sent_bytes <= MAX_READ_BYTES * len(server.requests)


async def test_vm_list_without_end_keeps_the_last_one() -> None:
    seen: list[VmsRead] = []

    async def record_event(event: VmsRead) -> None:
        seen.append(event)

    async with serve_endlessly() as (address, server), trio.open_nursery() as nursery:
        nursery.start_soon(
            poll_vm_list, address, MembershipTimings(), record_event, random.Random(1)
        )
        with trio.fail_after(HANG_S):
            while server.sent_bytes < 1_000_000:
                await trio.sleep(0.01)
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    assert not seen
    limit_bytes = len(server.requests) * (MAX_READ_BYTES + MAX_SOCKET_BYTES)
    assert server.sent_bytes <= limit_bytes


async def test_answer_to_an_order_without_end_is_lost() -> None:
    """Guards against an order that ends the sender, or is never answered."""
    ended: list[OrderEvent] = []
    is_ended = trio.Event()

    async def record_event(event: OrderEvent) -> None:
        ended.append(event)
        is_ended.set()

    async with serve_endlessly() as (address, server), trio.open_nursery() as nursery:
        actions, received = trio.open_memory_channel[SendOrder | ReadState](9)
        nursery.start_soon(OrderSender(record_event).run, received)
        order = Order("o1", 7, OrderKind.LOAD, "m", weights_version="w2")
        await actions.send(ReadState(NAME, address))
        await actions.send(SendOrder(PoolName("p"), NAME, address, order, 9e18))
        with trio.fail_after(HANG_S):
            await is_ended.wait()
        nursery.cancel_scope.cancel()
    assert len(ended) == 1
    assert isinstance(ended[0], OrderEnded)
    assert ended[0].outcome is OrderOutcome.LOST
    assert server.sent_bytes <= 2 * MAX_SOCKET_BYTES


async def test_answer_to_an_append_without_end_leaves_it_unknown() -> None:
    async with serve_endlessly(CHUNKED) as (address, server):
        with trio.fail_after(HANG_S):
            answer = await append_records(address, ["x"], 2_000)
    assert answer.result is AppendResult.UNKNOWN
    assert server.sent_bytes <= MAX_READ_BYTES + MAX_SOCKET_BYTES


@pytest.mark.parametrize("part", [b"x" * 65_536, b""], ids=["large", "empty"])
async def test_message_of_a_peer_without_end_ends_its_link_only(part: bytes) -> None:
    """Guards against a message in fragments whose last one never comes."""
    one, two = Peer("n1", ["s"], []), Peer("n2", ["s"], [])
    async with trio.open_nursery() as nursery:
        one.known.append(await two.start(nursery))
        await one.start(nursery)
        nursery.start_soon(two.send_digests, "n1")
        await wait_for_links(one, ["n2"])
        sent_bytes = 0

        async def send_on() -> AsyncIterator[bytes]:
            nonlocal sent_bytes
            while True:
                sent_bytes += len(part)
                yield part

        async with connect(f"ws://127.0.0.1:{one.port}/", proxy=None) as socket:
            identity = NodeId(NodeName("n3"), Incarnation("a"))
            await authenticate_peer(socket, Side.CLIENT, identity, ["s"])
            await wait_for_links(one, ["n2", "n3"])
            with trio.fail_after(HANG_S), suppress(ConnectionClosed):
                await socket.send(send_on())
            await wait_for_links(one, ["n2"])
        assert sent_bytes <= CORE_LINKS.max_bytes + MAX_SOCKET_BYTES
        nursery.cancel_scope.cancel()


async def test_greeting_without_end_is_refused() -> None:
    """Guards against a stranger who holds a handshake open, or makes it large."""
    one = Peer("n1", ["s"], [])
    async with trio.open_nursery() as nursery:
        await one.start(nursery)
        async with connect(f"ws://127.0.0.1:{one.port}/", proxy=None) as socket:
            with trio.fail_after(HANG_S), suppress(ConnectionClosed):
                while True:
                    await socket.send(cbor2.dumps(b"x" * 100_000))
        assert one.links.counts.refused == 1
        assert one.find_links() == []
        nursery.cancel_scope.cancel()
