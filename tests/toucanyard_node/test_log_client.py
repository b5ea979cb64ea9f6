"""Responses of the log service: an ordered page, expired records, or an error."""

from __future__ import annotations

import json

import pytest
import trio
from hypothesis import example, given, settings, strategies as st

from toucanyard.core_events import LogRead, LogStateSeen
from toucanyard.names import Address
from toucanyard_node.http_client import Response
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
    open_listener,
)
from toucanyard_node.log_client import (
    MAX_PAGE_BYTES,
    LogExpiredError,
    LogUnavailableError,
    decode_page,
    read_records,
)
from toucanyard_node.log_reader import LogEvent, follow_log

START = 5
NUMBERS = st.sampled_from([-1, 0, 4, 5, 6, 7, 10**12, 10**25, 10**400, 1.5, "x", None])
RECORDS = st.lists(
    st.fixed_dictionaries(
        {"offset": NUMBERS, "at_ms": NUMBERS, "data": st.text(max_size=2) | NUMBERS}
    ),
    max_size=3,
)
BODIES = st.fixed_dictionaries(
    {"oldest": NUMBERS, "next": NUMBERS}, optional={"records": RECORDS | NUMBERS}
)


def build_record(offset: int) -> dict[str, object]:
    return {"offset": offset, "at_ms": 1, "data": "x"}


@given(
    st.sampled_from([200, 200, 410, 404, 503]),
    BODIES.map(json.dumps).map(str.encode) | st.binary(max_size=20),
)
@example(200, b"[" * 100_000)
@example(200, b'{"oldest":0,"next":7,"x":' + b"[" * 100_000)
@example(410, b'{"oldest":5,"next":6}')
@example(
    200,
    json.dumps(
        {"oldest": 0, "next": 9, "records": [build_record(7), build_record(6)]}
    ).encode(),
)
@settings(max_examples=200)
def test_any_answer_is_a_page_or_refused(status: int, body: bytes) -> None:
    """Reading continues after the last record of a page. With unordered records, or an
    oldest offset that is not newer, a node would read the same records forever."""
    try:
        page = decode_page(Response(status, {}, body), START)
    except LogExpiredError as error:
        assert START < error.oldest <= error.head < 2**53
        return
    except LogUnavailableError:
        return
    offsets = [record.offset for record in page.records]
    assert offsets == sorted(set(offsets))
    assert all(START <= offset < page.head for offset in offsets)
    assert START <= page.head < 2**53


async def test_page_without_end_is_given_up() -> None:
    """The log sends an endless response. The node aborts at a size limit; otherwise the
    response would exhaust its memory."""
    sent = 0

    async def send_on(request: HttpRequest, responder: Responder) -> None:
        nonlocal sent
        await responder.start(200, ())
        while sent < 2 * MAX_PAGE_BYTES:
            await responder.write(b" " * 1_000_000)
            sent += 1_000_000

    async with trio.open_nursery() as nursery:
        listener = await open_listener("127.0.0.1", 0)
        server = HttpServer(send_on, ServerLimits())
        nursery.start_soon(server.serve, listener)
        address = Address(f"127.0.0.1:{find_port(listener)}")
        with pytest.raises(LogUnavailableError, match="bytes"):
            await read_records(address, START, 10, 20_000)
        assert sent < 2 * MAX_PAGE_BYTES
        nursery.cancel_scope.cancel()


class MisbehavingLog:
    """Answer reads with given bodies first, then with records; record 1 is huge."""

    def __init__(self, bodies: list[bytes]) -> None:
        self.bodies = bodies

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if self.bodies:
            await responder.send(200, (), self.bodies.pop(0))
            return
        start, limit = (int(request.query[name]) for name in ("from", "limit"))
        records = [build_record(each) for each in range(4)[start : start + limit]]
        for record in records:
            if record["offset"] == 1:
                record["data"] = "x" * MAX_PAGE_BYTES
        body = {"oldest": 0, "next": 4, "records": records}
        await responder.send(200, (), json.dumps(body).encode())


async def test_reader_outlives_odd_answers() -> None:
    """The log sends invalid responses for a while, and contains an oversized record.

    The reader reports the log as unavailable, retries at its interval, and continues
    once responses are valid. It skips only the oversized record, which would otherwise
    stop every node from reading further.
    """
    events: list[LogEvent] = []
    async with trio.open_nursery() as nursery:
        listener = await open_listener("127.0.0.1", 0)
        bodies = [b"[" * 100_000, b'{"oldest":0,"next":-1}', b"\xff"]
        server = HttpServer(MisbehavingLog(bodies).handle, ServerLimits())
        nursery.start_soon(server.serve, listener)
        address = Address(f"127.0.0.1:{find_port(listener)}")
        nursery.start_soon(follow_log, address, 10, events.append)
        with trio.fail_after(20):
            while LogStateSeen(True) not in events:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    states = [each for each in events if isinstance(each, LogStateSeen)]
    assert states == [LogStateSeen(False), LogStateSeen(True)]
    reads = [each for each in events if isinstance(each, LogRead)]
    assert [each.offset for read in reads for each in read.records] == [0, 2, 3]
    ends = [0, *(read.next_offset for read in reads)]
    assert [read.from_offset for read in reads] == ends[:-1]
