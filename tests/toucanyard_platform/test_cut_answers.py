"""Check that nothing is believed of an answer that breaks off, wherever it does."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.names import Address, ReplicaId
from toucanyard.relay_events import WeightsOrder
from toucanyard_node.http_server import find_port
from toucanyard_node.relay_ports import StoreError
from toucanyard_platform.prompt_block_client import PromptBlockClient
from toucanyard_platform.replica_client import ReplicaClient
from toucanyard_platform.store_client import StoreClient

from .test_replica_client import EVENTS, ORDER, REPORT
from .test_store_client import NODE, build_keyed, build_page

NEWEST = b'{"items":[{"key":"a","value":"MQ==","offset":1}],"hasMore":false,"end":5}'
APPENDED = b'{"offset":12}'
LOG = build_page(2, build_keyed("a", b"1"), build_keyed("b", b"22"))
RECORDS = (KeyedRecord("a", 0, b"1"), KeyedRecord("b", 1, b"22"))
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"


def build_with_length(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nX-A: b\r\ncontent-LENGTH:  %d\r\n\r\n" % len(body)
    return head + body


def build_chunked(body: bytes) -> bytes:
    """Return an answer of two chunks with an extension, and a trailer."""
    chunks = b"4;e=f\r\n%b\r\n%x\r\n%b\r\n" % (body[:4], len(body) - 4, body[4:])
    head = HINTS + b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + chunks + b"0\r\nX-T: t\r\n\r\n"


def build_without_length(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n" + body


Build = Callable[[bytes], bytes]
FRAMINGS: list[Build] = [build_with_length, build_chunked]
EVERY_FRAMING = [*FRAMINGS, build_without_length]


class CutServer:
    """Sends the first bytes of an answer to each request, then closes in order."""

    def __init__(self) -> None:
        self.data = b""
        self.address = Address("127.0.0.1:1")

    async def serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some(65_536)
            await stream.send_all(self.data)


@asynccontextmanager
async def start_server(server: CutServer | None = None) -> AsyncIterator[CutServer]:
    async with trio.open_nursery() as nursery:
        server = server or CutServer()
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        server.address = Address(f"127.0.0.1:{find_port(listeners[0])}")
        nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        yield server
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("build", EVERY_FRAMING)
async def test_cut_list_of_newest_records_is_no_list(build: Build) -> None:
    """Guards against records that are taken as gone because a list broke off."""
    whole = build(NEWEST)
    async with start_server() as server:
        store = StoreClient(server.address)
        for size in range(len(whole)):
            server.data = whole[:size]
            with pytest.raises(StoreError):
                await store.read_newest(Topic.REPLICAS)
        server.data = whole
        page = await store.read_newest(Topic.REPLICAS)
    assert page.end == 5


@pytest.mark.parametrize("build", FRAMINGS)
async def test_cut_read_of_the_log_is_no_read(build: Build) -> None:
    """Guards against a read that is cut and taken for one without records."""
    whole = build(LOG)
    async with start_server() as server:
        store = StoreClient(server.address)
        for size in range(len(whole)):
            server.data = whole[:size]
            with pytest.raises(StoreError):
                await store.read_since(Topic.REPLICAS, 0, 0.0)
        server.data = whole
        page = await store.read_since(Topic.REPLICAS, 0, 0.0)
    assert (page.end, page.records) == (2, RECORDS)


class LeaseServer(CutServer):
    """Serves records from the requested offset on, as many bytes a read as set."""

    def __init__(self, contents: list[bytes], page_bytes: int) -> None:
        super().__init__()
        self._contents = contents
        self._page_bytes = page_bytes

    async def serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            request = await stream.receive_some(65_536)
            begin = int(request.partition(b"&from=")[2].split()[0])
            page = build_page(len(self._contents), *self._contents[begin:])
            head_bytes = len(build_page(0))
            await stream.send_all(
                build_without_length(page[: head_bytes + self._page_bytes])
            )


@pytest.mark.parametrize("page_bytes", range(20))
async def test_lease_read_without_a_length_ends_at_its_last_whole_record(
    page_bytes: int,
) -> None:
    """Guards against a lease taken from a holder whose record was cut off."""
    contents = [b"1", b"22", b"333"]
    async with start_server(LeaseServer(contents, page_bytes)) as server:
        page = await StoreClient(server.address).read_leases(0)
    assert page.end.offset == len(page.records)
    assert page.records == tuple(enumerate(contents))[: len(page.records)]


async def test_leases_are_read_to_their_end_over_several_pages() -> None:
    """Guards against a node that never gets to the end of a long lease topic."""
    contents = [b"record"] * 5
    async with start_server(LeaseServer(contents, 12)) as server:
        page = await StoreClient(server.address).read_leases(0)
    assert (page.end.offset, len(page.records)) == (5, 5)


async def test_cut_read_without_a_length_covers_only_its_whole_records() -> None:
    """Guards against an end of the log that is believed without its records.

    The read of the second page is answered as the first one, so one page is compared.
    """
    head_bytes = len(build_without_length(b""))
    whole = build_without_length(LOG)
    async with start_server() as server:
        store = StoreClient(server.address)
        for size in range(head_bytes + 16, len(whole)):
            server.data = whole[:size]
            with store._bounds.open_read("read", 1_000_000) as message:
                page = await store._read("t", 0, 0.0, "read", message)
            assert len(page.contents) < len(RECORDS)
            assert page.contents == [build_keyed("a", b"1")][: len(page.contents)]


@pytest.mark.parametrize("build", EVERY_FRAMING)
async def test_cut_answer_to_an_append_confirms_nothing(build: Build) -> None:
    """Guards against an offset whose last digits are missing, and a false refusal."""
    whole = build(APPENDED)
    async with start_server() as server:
        store = StoreClient(server.address)
        for size in range(len(whole)):
            server.data = whole[:size]
            with pytest.raises(StoreError) as failure:
                await store.append_node(NODE)
            assert not failure.value.is_refused
        server.data = whole
        assert (await store.append_node(NODE)).offset == 12


@pytest.mark.parametrize("build", EVERY_FRAMING)
async def test_cut_report_states_nothing(build: Build) -> None:
    """Guards against a report of which a part is believed."""
    whole = build(REPORT)
    async with start_server() as server:
        client = ReplicaClient()
        for size in range(len(whole)):
            server.data = whole[:size]
            answer = await client.read_state(server.address, ReplicaId("i"))
            assert answer.state is None
        server.data = whole
        answer = await client.read_state(server.address, ReplicaId("i"))
    assert answer.state is not None


@pytest.mark.parametrize("build", FRAMINGS)
async def test_order_with_a_cut_answer_is_not_confirmed(build: Build) -> None:
    """Guards against an order that counts as accepted by half of an answer."""
    whole = build(b'{"sequence":4}')
    async with start_server() as server:
        order: WeightsOrder = msgspec.structs.replace(ORDER, address=server.address)
        client = ReplicaClient()
        for size in range(len(whole)):
            server.data = whole[:size]
            assert (await client.send_order(order)).status is None
        server.data = whole
        assert (await client.send_order(order)).status == 200


@pytest.mark.parametrize("build", EVERY_FRAMING)
async def test_cut_page_of_prompt_block_events_is_no_page(build: Build) -> None:
    """Guards against events that are skipped since their page broke off."""
    whole = build(EVENTS)
    async with start_server() as server:
        for size in range(len(whole)):
            server.data = whole[:size]
            client = PromptBlockClient()
            found = await client.read_prompt_blocks(server.address, 1, 0.0)
            assert found.page is None
        server.data = whole
        found = await PromptBlockClient().read_prompt_blocks(server.address, 1, 0.0)
    assert found.page is not None
