from __future__ import annotations

import base64
import contextlib

import msgspec
import pytest

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.log_position import LogPosition
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    Fingerprint,
    Incarnation,
    NodeName,
)
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import QuarantinedRequest
from toucanyard_node.http_exchange import HttpRequest
from toucanyard_node.relay_ports import LeaseConflictError, RecordsGoneError, StoreError
from toucanyard_platform.store_client import (
    StoreClient,
    parse_keyed_record,
    split_records,
)

from .stub_server import Reply, serve

NODE = NodeRecord(
    NodeName("n"),
    Incarnation("i"),
    DomainName("d"),
    Address("10.0.0.1:1"),
    Address("10.0.0.1:2"),
)


def frame(*contents: bytes) -> bytes:
    return b"".join(len(each).to_bytes(4, "big") + each for each in contents)


def build_page(end: int, *contents: bytes) -> bytes:
    return end.to_bytes(8, "big") + (0).to_bytes(8, "big") + frame(*contents)


def build_keyed(key: str, value: bytes) -> bytes:
    return bytes((len(key),)) + key.encode() + value


async def test_records_are_read_up_to_the_end() -> None:
    """Guards against stopping after the first page; the size of answers is limited."""
    log = [build_keyed("a", b"1"), build_keyed("b", b""), build_keyed("c", b"3")]

    def answer(http: HttpRequest) -> Reply:
        offset = int(http.query["from"])
        return 200, (), build_page(3, *log[offset : offset + 2])

    async with serve(answer) as (address, seen):
        client = StoreClient(address)
        page = await client.read_since(Topic.REPLICAS, 0, 500.0)
    assert page.end == 3
    assert page.records == (
        KeyedRecord("a", 0, b"1"),
        KeyedRecord("b", 1, None),
        KeyedRecord("c", 2, b"3"),
    )
    assert [each.query.get("waitMs") for each in seen] == ["500", None]
    assert seen[0].query["topic"] == "keyed.servers"
    assert client.counts["read replicas"] == 2


async def test_pages_of_newest_records_keep_the_first_end() -> None:
    """Guards against losing records that are appended between two pages.

    Reading on from the end of the last page would skip them.
    """
    pages = [
        {"items": [{"key": "a", "value": "MQ==", "offset": 1}], "hasMore": True},
        {"items": [{"key": "b", "value": "Mg==", "offset": 9}], "hasMore": False},
    ]

    def answer(http: HttpRequest) -> Reply:
        number = int("after" in http.query)
        return 200, (), msgspec.json.encode(pages[number] | {"end": 5 + 5 * number})

    async with serve(answer) as (address, seen):
        page = await StoreClient(address).read_newest(Topic.OPERATOR)
    assert page.end == 5
    assert [each.key for each in page.records] == ["a", "b"]
    assert page.records[0].value == base64.b64decode("MQ==")
    assert seen[1].query["after"] == "a"


@pytest.mark.parametrize("status", [429, 503, 507, 500])
async def test_refusals_are_told(status: int) -> None:
    async with serve(lambda _: (status, (), b"")) as (address, _):
        with pytest.raises(StoreError) as caught:
            await StoreClient(address).read_newest(Topic.NODES)
    assert caught.value.is_refused == (status != 500)


async def test_forgotten_records_are_told_apart() -> None:
    async with serve(lambda _: (410, (), b'{"first":7}')) as (address, _):
        with pytest.raises(RecordsGoneError):
            await StoreClient(address).read_since(Topic.OPERATOR, 1, 0.0)
        with pytest.raises(StoreError):
            await StoreClient(address).read_leases(0)


async def test_turn_that_another_took_is_told_apart() -> None:
    async with serve(lambda _: (412, (), b'{"end":9}')) as (address, seen):
        with pytest.raises(LeaseConflictError) as caught:
            await StoreClient(address).append_lease(b"x", 4)
    assert caught.value.end == LogPosition(0, 9)
    assert seen[0].query["at"] == "4"
    assert seen[0].body == frame(b"x")


async def test_node_writes_where_it_is() -> None:
    reply = b'{"offset":3,"end":4}'
    async with serve(lambda _: (200, (), reply)) as (address, seen):
        assert await StoreClient(address).append_node(NODE) == LogPosition(0, 3)
    content = seen[0].body[4:]
    assert content[: 1 + len("n")] == b"\x01n"
    assert msgspec.json.decode(content[2:], type=NodeRecord) == NODE


@pytest.mark.parametrize("body", [b"", b"short", b"{}"])
async def test_answers_that_cannot_be_read_are_failures(body: bytes) -> None:
    async with serve(lambda _: (200, (), body)) as (address, _):
        client = StoreClient(address)
        with pytest.raises(StoreError):
            await client.read_newest(Topic.NODES)
        with pytest.raises(StoreError):
            await client.read_since(Topic.NODES, 0, 0.0)


async def test_store_that_is_away_is_a_failure() -> None:
    with pytest.raises(StoreError) as caught:
        await StoreClient(Address("127.0.0.1:1")).read_leases(0)
    assert caught.value.is_refused


async def test_quarantine_is_written_beside_the_nodes_and_erased() -> None:
    request = QuarantinedRequest(Fingerprint("f1"), "7a", CustomerName("c"), "r", ())
    reply = b'{"offset":3,"end":4}'
    async with serve(lambda _: (200, (), reply)) as (address, seen):
        await StoreClient(address).write_quarantine(request)
        await StoreClient(address).erase_quarantine(request.fingerprint)
    written, erased = (
        parse_keyed_record(0, split_records(each.body)[0]) for each in seen
    )
    assert written.key == erased.key == "quarantine/f1"
    assert written.value == msgspec.json.encode(request)
    assert erased.value is None
    assert seen[0].query["topic"] == "keyed.nodes"


@pytest.mark.parametrize("status", [200, 410, 412, 429, 503])
async def test_every_answer_states_the_era(status: int) -> None:
    """Guards against learning of a restored store only once a read succeeds."""
    headers = (("Store-Era", "3"),)
    async with serve(lambda _: (status, headers, build_page(0))) as (address, _):
        client = StoreClient(address)
        assert client.era == 0
        with contextlib.suppress(StoreError, RecordsGoneError, LeaseConflictError):
            await client.read_since(Topic.OPERATOR, 0, 0.0)
    assert client.era == 3


@pytest.mark.parametrize("stated", ["", "x", "-1", "1.5", "9" * 40, "\u0663"])
async def test_invalid_or_absent_era_changes_nothing(stated: str) -> None:
    """Guards against taking a store that states no era for one that was restored."""
    eras = ["2", stated, None]

    def answer(_: HttpRequest) -> Reply:
        era = eras.pop(0)
        headers = () if era is None else (("Store-Era", era),)
        return 200, headers, build_page(0)

    async with serve(answer) as (address, _):
        client = StoreClient(address)
        for _ in range(2):
            page = await client.read_since(Topic.OPERATOR, 0, 0.0)
            assert page.era == client.era == 2
        assert (await client.read_since(Topic.OPERATOR, 0, 0.0)).era == 2


@pytest.mark.parametrize("body", [b"", b"{}", b"gone", b'{"first":null}'])
async def test_gone_records_are_told_apart_without_the_first_one(body: bytes) -> None:
    """Guards against retrying a read from past the end as if the store had failed."""
    async with serve(lambda _: (410, (), body)) as (address, seen):
        client = StoreClient(address)
        with pytest.raises(RecordsGoneError):
            await client.read_since(Topic.OPERATOR, 9, 0.0)
        with pytest.raises(StoreError):
            await client.read_leases(9)
    assert [each.query["from"] for each in seen] == ["9", "9", "0"]
