"""Answers of the store that never end."""

from __future__ import annotations

from contextlib import suppress

import msgspec
import pytest
import trio
from hypothesis import given, strategies as st

from support.endless import (
    CHUNK,
    CHUNKED,
    INFORMATIONAL,
    MAX_SOCKET_BYTES,
    UNFRAMED,
    serve_endlessly,
)
from toucanyard.byte_limits import ByteLimits
from toucanyard.keyed_view import Topic
from toucanyard.names import Address
from toucanyard_node.held_bytes import ReceivedBytes
from toucanyard_node.http_exchange import HttpRequest
from toucanyard_node.http_server import find_port
from toucanyard_node.relay_ports import RecordsGoneError, StoreError
from toucanyard_platform.store_client import (
    MAX_PAGE_RECORDS,
    StoreClient,
    split_records,
)

from .stub_server import Reply, serve
from .test_store_client import build_page

ENDLESS = [(CHUNKED, CHUNK), (UNFRAMED, b" " * 65_536), (INFORMATIONAL, INFORMATIONAL)]
IDS = ["chunks", "no length", "informational"]


@pytest.mark.parametrize(("head", "part"), ENDLESS, ids=IDS)
async def test_store_page_without_end_is_a_failure_of_the_store(
    head: bytes, part: bytes
) -> None:
    async with serve_endlessly(head, part) as (address, server):
        client = StoreClient(address)
        with pytest.raises(StoreError):
            await client.read_since(Topic.OPERATOR, 0, 20_000.0)
        with pytest.raises(StoreError):
            await client.read_newest(Topic.REPLICAS)
        with pytest.raises(StoreError):
            await client.read_leases(0)
        with pytest.raises(StoreError) as caught:
            await client.append_lease(b"x", 4)
    assert not caught.value.is_refused
    limit_bytes = 4 * ByteLimits().max_store_page_bytes
    assert server.sent_bytes <= limit_bytes + 4 * MAX_SOCKET_BYTES


async def test_series_of_pages_without_end_is_given_up() -> None:
    """Guards against a store whose every page says that there is one more."""

    def answer(http: HttpRequest) -> Reply:
        number = len(seen)
        items = [
            {"key": f"{number}-{n}", "value": "eA==" * 100, "offset": n}
            for n in range(500)
        ]
        page = {"items": items, "hasMore": True, "end": 9}
        return 200, (), msgspec.json.encode(page)

    received = ReceivedBytes(ByteLimits())
    async with serve(answer) as (address, seen):
        client = StoreClient(address, received)
        with pytest.raises(StoreError):
            await client.read_newest(Topic.REPLICAS)
        count = len(seen)
        with pytest.raises(StoreError) as caught:
            await client.read_newest(Topic.REPLICAS)
        assert len(seen) == count
    assert caught.value.is_refused
    assert received.store.peak_bytes <= ByteLimits().max_store_topic_bytes
    assert received.store.total_bytes == 0


async def test_log_without_end_is_replaced_by_its_newest_records() -> None:
    """Guards against reading a log that grows as fast as it is read."""

    def answer(http: HttpRequest) -> Reply:
        if "newest" in http.path:
            item = {"key": "a", "value": "eA==", "offset": 7}
            return 200, (), msgspec.json.encode({"items": [item], "end": 8})
        offset = int(http.query["from"])
        return 200, (), build_page(offset + 1_000_000, *[b"\x01a" + b"x" * 900] * 500)

    async with serve(answer) as (address, seen):
        client = StoreClient(address)
        with pytest.raises(RecordsGoneError):
            await client.read_since(Topic.REPLICAS, 0, 0.0)
        page = await client.read_newest(Topic.REPLICAS)
    assert page.end == 8
    assert len(seen) < 12


async def test_leases_are_read_and_taken_beside_topics_without_end() -> None:
    """Guards against leases that wait behind, or are refused for, an endless topic."""

    async def handle(stream: trio.SocketStream) -> None:
        request = bytes(await stream.receive_some())
        if b"keyed." not in request:
            append = b'{"offset":4,"end":5}'
            body = append if request.startswith(b"POST") else build_page(4, b"x")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            await stream.send_all(head.encode() + body)
            return
        with suppress(trio.BrokenResourceError):
            await stream.send_all(CHUNKED)
            while True:
                await stream.send_all(CHUNK)
                await trio.sleep(0.001)

    async def read_repeatedly(topic: Topic) -> None:
        while True:
            with suppress(StoreError):
                await client.read_since(topic, 0, 1_000.0)
            await trio.sleep(0.01)

    received = ReceivedBytes(ByteLimits())
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        client = StoreClient(Address(f"127.0.0.1:{find_port(listeners[0])}"), received)
        for topic in Topic:
            nursery.start_soon(read_repeatedly, topic)
        for _ in range(20):
            await trio.sleep(0.02)
            page = await client.read_leases(4)
            assert page.records == ((4, b"x"),)
            assert (await client.append_lease(b"x", 4)).offset == 4
        nursery.cancel_scope.cancel()
    assert received.store.exceeded.total() > 0
    assert received.store.peak_bytes <= ByteLimits().max_held_store_bytes


@given(st.integers(0, 2**32 - 1), st.binary(max_size=100), st.integers(0, 3))
def test_lengths_of_records_that_are_not_there_are_dropped(
    stated: int, rest: bytes, sound: int
) -> None:
    """Guards against a record that states more than what came."""
    framed = (3).to_bytes(4, "big") + b"abc"
    body = framed * sound + stated.to_bytes(4, "big") + rest
    contents = split_records(body)
    assert contents[:sound] == [b"abc"] * sound
    assert sum(map(len, contents)) + 4 * len(contents) <= len(body)


def test_records_of_one_page_are_bounded() -> None:
    """Guards against a million empty records in a page of 4 MB."""
    contents = split_records(b"\x00" * 4_000_000)
    assert len(contents) == MAX_PAGE_RECORDS
