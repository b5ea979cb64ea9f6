"""Start position of a node in a long log."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest
import trio

from toucanyard.adaptive_log_timeout import AdaptiveLogTimeout
from toucanyard.core_events import LogExpired, LogRead, LogReadRestarted, LogStateSeen
from toucanyard.names import Address
from toucanyard_node import log_reader
from toucanyard_node.http_exchange import HttpRequest, Responder
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
    open_listener,
)
from toucanyard_node.log_reader import LogEvent, StartWindow, follow_log

RECORDS = 30_000
STEP_MS = 100
SPAN_MS = 500_000.0
"""5,000 records."""


class LongLog:
    """Answer reads of a long log, and record the requests."""

    def __init__(self, oldest: int, delay_ms: float = 0.0) -> None:
        self.oldest = oldest
        self.delay_ms = delay_ms
        self.read = 0
        self.waits_ms: list[int] = []

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.waits_ms.append(int(request.query["wait_ms"]))
        await trio.sleep(self.delay_ms / 1000)
        start, limit = (int(request.query[name]) for name in ("from", "limit"))
        if start < self.oldest:
            await responder.send(410, (), self._encode())
            return
        offsets = range(start, min(start + limit, RECORDS))
        self.read += len(offsets)
        records: list[dict[str, object]] = [
            {"offset": n, "at_ms": n * STEP_MS, "data": "x"} for n in offsets
        ]
        if not records:
            await trio.sleep(0.01)
        await responder.send(200, (), self._encode(records))

    def _encode(self, records: Sequence[dict[str, object]] = ()) -> bytes:
        return msgspec.json.encode(
            {"oldest": self.oldest, "next": RECORDS, "records": records}
        )


async def read_log(
    log: LongLog, start_window: StartWindow, log_end_count: int
) -> list[LogEvent]:
    """Read until the log's end was reached `log_end_count` times; return the events."""
    events: list[LogEvent] = []
    async with trio.open_nursery() as nursery:
        listener = await open_listener("127.0.0.1", 0)
        server = HttpServer(log.handle, ServerLimits())
        nursery.start_soon(server.serve, listener)
        address = Address(f"127.0.0.1:{find_port(listener)}")
        nursery.start_soon(follow_log, address, 10, events.append, start_window)
        with trio.fail_after(30):
            while events.count(LogStateSeen(True)) < log_end_count:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    return events


def find_reads(events: list[LogEvent]) -> list[tuple[int, int]]:
    return [
        (each.from_offset, each.next_offset)
        for each in events
        if isinstance(each, LogRead)
    ]


async def test_only_the_span_is_read_at_the_start() -> None:
    log = LongLog(oldest=100)
    events = await read_log(log, StartWindow(SPAN_MS, lambda: False), log_end_count=1)
    first = events[0]
    assert isinstance(first, LogExpired)
    assert 24_000 <= first.oldest <= 25_000
    reads = find_reads(events)
    assert reads[0][0] == first.oldest
    assert reads[-1][1] == RECORDS
    assert log.read < 6_100


async def test_all_is_read_where_the_span_was_not_enough() -> None:
    """The span contains no checkpoint. The reader reports a restart and reads from the
    oldest record; until it reaches the end, it reports the log as down, because claims
    could not be confirmed."""
    log = LongLog(oldest=0)
    events = await read_log(log, StartWindow(SPAN_MS, lambda: True), log_end_count=2)
    again = events.index(LogReadRestarted())
    assert events[again - 1] == LogStateSeen(False)
    reads = find_reads(events[again:])
    assert reads[0][0] == 0
    assert reads[-1][1] == RECORDS
    assert events.count(LogReadRestarted()) == 1


async def test_span_of_the_whole_log_leaves_no_gap() -> None:
    log = LongLog(oldest=0)
    events = await read_log(log, StartWindow(10**9, lambda: True), log_end_count=1)
    assert find_reads(events)[0][0] == 0
    assert not any(isinstance(each, (LogExpired, LogReadRestarted)) for each in events)


async def test_slow_log_is_read_all_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each response of the log takes longer than the initial timeout.

    With a fixed timeout the log would be reported as down for as long as it is slow: no
    patch would come into force and no key chosen by a caller could be claimed.
    """
    monkeypatch.setattr(log_reader, "_INITIAL_MARGIN_MS", 40.0)
    log = LongLog(oldest=RECORDS - 10, delay_ms=130.0)
    events = await read_log(log, StartWindow(SPAN_MS, lambda: False), log_end_count=1)
    assert find_reads(events)[-1][1] == RECORDS


async def test_slow_log_is_not_asked_to_wait_as_well() -> None:
    """Each response is late. With the wait added, the version would be confirmed less
    often than it becomes stale, and patches would be refused at times. Once the log is
    fast again, requests wait; otherwise the log would be polled continuously."""
    log = LongLog(oldest=RECORDS - 10, delay_ms=250.0)
    log_timeout = AdaptiveLogTimeout(100.0)
    async with trio.open_nursery() as nursery:
        listener = await open_listener("127.0.0.1", 0)
        server = HttpServer(log.handle, ServerLimits())
        nursery.start_soon(server.serve, listener)
        address = Address(f"127.0.0.1:{find_port(listener)}")
        nursery.start_soon(
            follow_log, address, 200, lambda event: None, None, log_timeout
        )
        with trio.fail_after(20):
            while 200 not in log.waits_ms or log.waits_ms[-1] != 0:
                await trio.sleep(0.01)
            # The first append then doesn't time out before the log can respond.
            assert log_timeout.timeout_ms >= 250.0
            log.delay_ms = 0.0
            while log.waits_ms[-1] == 0:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
