from __future__ import annotations

from functools import partial

import msgspec
import trio

from toucanyard.core_events import (
    AppendSettled,
    AppendToLog,
    LogExpired,
    LogRead,
    LogStateSeen,
)
from toucanyard.names import Address
from toucanyard.options import ClaimLimits
from toucanyard.platform_log import (
    AppendResult,
)
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
)
from toucanyard_node.log_client import append_records
from toucanyard_node.log_reader import LogEvent, follow_log
from toucanyard_node.log_writer import write_log
from toucanyard_standins.json_responses import send_json
from toucanyard_standins.platform import RangeBody, ReadBody
from toucanyard_standins.platform_log import Appended, LogRecord

LIMITS = ClaimLimits(append_timeout_ms=200, max_appends_per_s=100)


class FakeLog:
    """Log service that returns the statuses and records set by a test."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.bodies: list[tuple[str, ...]] = []
        self.oldest = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/log/read":
            await self._read(int(request.query["from"]), responder)
            return
        records = msgspec.json.decode(request.body)["records"]
        self.bodies.append(tuple(records))
        status = self.statuses.pop(0) if self.statuses else 200
        if status == 0:
            await trio.sleep_forever()
        await send_json(responder, status, Appended(0, len(records)))

    async def _read(self, start: int, responder: Responder) -> None:
        if start < self.oldest:
            await send_json(responder, 410, RangeBody(self.oldest, self.oldest + 1))
            return
        end = self.oldest + 1
        records = (LogRecord(self.oldest, 5, "x"),) if start < end else ()
        await send_json(responder, 200, ReadBody(self.oldest, end, records))


async def start_log(nursery: trio.Nursery, log: FakeLog) -> Address:
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    server = HttpServer(log.handle, ServerLimits())
    nursery.start_soon(server.serve, listener)
    return Address(f"127.0.0.1:{find_port(listener)}")


async def run_appends(log: FakeLog, count: int) -> list[AppendSettled]:
    settled: list[AppendSettled] = []
    send, receive = trio.open_memory_channel[AppendToLog](100)
    async with trio.open_nursery() as nursery:
        address = await start_log(nursery, log)
        for number in range(count):
            send.send_nowait(AppendToLog(f"r{number}", f"t{number}", is_urgent=True))
        nursery.start_soon(write_log, address, LIMITS, receive, settled.append)
        with trio.fail_after(10):
            while sum(len(each.record_ids) for each in settled) < count:
                await trio.sleep(0.005)
        nursery.cancel_scope.cancel()
    return settled


async def test_records_that_wait_share_one_append() -> None:
    log = FakeLog()
    settled = await run_appends(log, 3)
    assert log.bodies == [("t0", "t1", "t2")]
    assert settled == [AppendSettled(("r0", "r1", "r2"), AppendResult.DONE)]


async def test_append_over_the_rate_is_sent_again() -> None:
    """The log refuses a batch because other nodes use up its rate limit.

    Nothing was appended, so sending the batch again is safe. Dropping the claims would
    refuse callers for a brief congestion.
    """
    log = FakeLog()
    log.statuses = [429, 200]
    settled = await run_appends(log, 1)
    assert len(log.bodies) == 2
    assert settled[0].result is AppendResult.DONE


async def test_append_without_an_answer_is_unknown_and_never_sent_again() -> None:
    """The log receives a batch and never responds.

    Sent again, the claims could be recorded twice. Reported as refused, a caller could
    get "not run" for a request whose claim is recorded. So the result is unknown.
    """
    log = FakeLog()
    log.statuses = [0]
    settled = await run_appends(log, 1)
    assert len(log.bodies) == 1
    assert settled[0].result is AppendResult.UNKNOWN


async def test_append_refused_in_an_outage_has_no_effect() -> None:
    log = FakeLog()
    log.statuses = [503]
    settled = await run_appends(log, 1)
    assert settled[0].result is AppendResult.REFUSED


async def test_append_to_nobody_has_no_effect() -> None:
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    address = Address(f"127.0.0.1:{find_port(listener)}")
    await listener.aclose()
    answer = await append_records(address, ("t",), 200)
    assert answer.result is AppendResult.REFUSED


async def test_reader_goes_on_from_the_oldest_record_and_says_so() -> None:
    """Records expired while the node was not reading; the gap must be reported.

    Otherwise its own claim, read next, would appear to be the first one of its key.
    """
    log = FakeLog()
    log.oldest = 7
    events: list[LogEvent] = []
    async with trio.open_nursery() as nursery:
        address = await start_log(nursery, log)
        nursery.start_soon(partial(follow_log, address, 50, events.append))
        with trio.fail_after(5):
            while not any(isinstance(each, LogStateSeen) for each in events):
                await trio.sleep(0.005)
        nursery.cancel_scope.cancel()
    assert events[0] == LogExpired(7)
    assert isinstance(events[1], LogRead)
    assert (events[1].from_offset, events[1].next_offset) == (7, 8)
    assert events[2] == LogStateSeen(True)
