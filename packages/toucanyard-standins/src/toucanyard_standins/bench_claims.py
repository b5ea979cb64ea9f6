"""Measure the cost of claims: appends, added latency and memory by request rate.

The decisions, log writers and log readers of nine nodes run in this process against a
platform stand-in in another. Print one row for each run, an extrapolation to 320
nodes, the cost of recording issued keys at a backup node, and the slopes of memory
and time per stored key.
"""

from __future__ import annotations

import logging
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import msgspec
import structlog
import trio
from hdrh.histogram import HdrHistogram

from toucanyard.at_most_once import AtMostOnce
from toucanyard.claim_events import (
    AllowDispatch,
    AppendRecord,
    ClaimAction,
    ClaimEvent,
    ClaimRecordsRead,
    DispatchEnded,
    KeyedRequestArrived,
    LogState,
    RecordsSettled,
    RefuseKeyedRequest,
    Ticked,
)
from toucanyard.core_events import (
    AppendSettled,
    AppendToLog,
    LogExpired,
    LogRead,
    LogStateSeen,
)
from toucanyard.names import Address, CustomerName, Incarnation, NodeName, RequestId
from toucanyard.options import ClaimLimits
from toucanyard.requests import CachedAnswer, DispatchEnding
from toucanyard_node.http_client import fetch
from toucanyard_node.log_reader import LogEvent, follow_log
from toucanyard_node.log_writer import write_log
from toucanyard_standins.key_recording_costs import print_key_recording_costs
from toucanyard_standins.key_slopes import (
    compute_page_bytes,
    make_claim,
    print_slopes,
)
from toucanyard_standins.platform_faults import PlatformCounters
from toucanyard_standins.processes import start_process, wait_ready

_NODES: Final = 9
_RUN_S: Final = 3.0
_WARM_UP_S: Final = 0.5
_CAPS_PER_S: Final = (5, 15, 30)
_RATES_PER_S: Final = (45, 180, 540, 1_080)
_CUSTOMER: Final = CustomerName("lanchas")
_LOG_APPENDS_PER_S: Final = 400
_COLLECTORS: Final = 8
_FLEET_NODES: Final = 320
_ANSWER: Final = CachedAnswer(200, "application/json", b"x" * 300)


class RunCounts(msgspec.Struct):
    """The counters of one run."""

    added: HdrHistogram
    allowed: int = 0
    refused: int = 0

    def reset(self) -> None:
        """Reset all counters."""
        self.added.reset()
        self.allowed = 0
        self.refused = 0


class ClaimNode:
    """The claim decisions of one node with log writer and reader.

    Dispatches complete immediately.
    """

    def __init__(self, number: int, limits: ClaimLimits, counts: RunCounts) -> None:
        name = NodeName(f"n{number}")
        incarnation = Incarnation(f"{name}-{time.time_ns()}")
        self._core = AtMostOnce(name, incarnation, limits, random.Random(number))
        self._limits = limits
        self._counts = counts
        self._sent_ms: dict[RequestId, float] = {}
        self._outbox, self._records = trio.open_memory_channel[AppendToLog](100_000)
        self._prefix = incarnation
        self._log_is_read = trio.Event()

    async def run(
        self,
        address: Address,
        rate_per_s: float,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Read the log to its end, then send random keyed requests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow_log, address, 1_000, self._handle_log_event)
            nursery.start_soon(
                write_log, address, self._limits, self._records, self._handle_settled
            )
            nursery.start_soon(self._tick)
            # Claims are refused until the log of earlier runs was read to its end.
            await self._log_is_read.wait()
            task_status.started()
            await self._send(rate_per_s)

    async def _send(self, rate_per_s: float) -> None:
        rng = random.Random(self._prefix)
        due_s = trio.current_time()
        for number in range(10**9):
            due_s += rng.expovariate(rate_per_s)
            await trio.sleep_until(due_s)
            request_id = RequestId(f"{self._prefix}-{number}")
            # Latency is measured from the planned time, so that a late sender doesn't
            # hide waiting time.
            self._sent_ms[request_id] = due_s * 1000
            deadline_ms = due_s * 1000 + 5_000
            event = KeyedRequestArrived(
                request_id, _CUSTOMER, request_id, b"d" * 16, deadline_ms, 0
            )
            self._handle(event)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(0.05)
            self._handle(Ticked())

    def _handle_settled(self, event: AppendSettled) -> None:
        self._handle(RecordsSettled(event.record_ids, event.result))

    def _handle_log_event(self, event: LogEvent) -> None:
        match event:
            case LogRead(from_offset=start, next_offset=end, records=records):
                self._handle(ClaimRecordsRead(start, end, records))
            case LogStateSeen(is_up=is_up):
                self._handle(LogState(is_up))
                self._log_is_read.set()
            case LogExpired():
                pass

    def _handle(self, event: ClaimEvent) -> None:
        now_ms = trio.current_time() * 1000
        for action in self._core.handle(event, now_ms):
            self._execute(action, now_ms)

    def _execute(self, action: ClaimAction, now_ms: float) -> None:
        match action:
            case AppendRecord(record_id, text, is_urgent):
                self._outbox.send_nowait(AppendToLog(record_id, text, is_urgent))
            case AllowDispatch(request_id=request_id):
                added_ms = now_ms - self._sent_ms.pop(request_id)
                self._counts.added.record_value(max(1, int(added_ms * 1000)))
                self._counts.allowed += 1
                self._handle(
                    DispatchEnded(request_id, DispatchEnding.COMPLETED, _ANSWER)
                )
            case RefuseKeyedRequest():
                self._counts.refused += 1
            case _:
                pass


async def measure_run(address: Address, cap_per_s: int, rate_per_s: int) -> str:
    """Measure one limit of appends at one rate of requests; return its row."""
    counts = RunCounts(HdrHistogram(1, 60_000_000, 3))
    limits = ClaimLimits(max_appends_per_s=cap_per_s)
    async with trio.open_nursery() as nursery:
        for number in range(_NODES):
            node = ClaimNode(number, limits, counts)
            await nursery.start(node.run, address, rate_per_s / _NODES)
        await trio.sleep(_WARM_UP_S)
        counts.reset()
        before = await read_counters(address)
        cpu_s = time.process_time()
        await trio.sleep(_RUN_S)
        cpu_s = time.process_time() - cpu_s
        after = await read_counters(address)
        nursery.cancel_scope.cancel()
    appends_per_s = (after.appends - before.appends) / _RUN_S
    refused_appends = after.refused_appends - before.refused_appends
    batch = counts.allowed / max(after.appends - before.appends, 1)
    p50_ms = counts.added.get_value_at_percentile(50) / 1000
    p99_ms = counts.added.get_value_at_percentile(99) / 1000
    return (
        f"{cap_per_s:>8} {rate_per_s:>8} {counts.allowed / _RUN_S:>9.0f}"
        f" {appends_per_s:>9.0f} {batch:>8.1f}"
        f" {p50_ms:>8.1f} {p99_ms:>8.1f} {counts.refused:>7} {refused_appends:>6}"
        f" {cpu_s / _RUN_S:>6.2f}"
    )


async def read_counters(address: Address) -> PlatformCounters:
    """Return the counters of the platform."""
    answer = await fetch(address, "GET", "/control")
    return msgspec.json.decode(answer.body, type=PlatformCounters)


async def measure_curve() -> None:
    """Print a row for each limit of appends and rate of requests."""
    print(f"claims through the log, {_NODES} nodes in one process, gather 5 ms")
    print(
        "cap/node  offered   run/s appends/s  a batch   p50 ms   p99 ms refused"
        "   429s  cores"
    )
    with tempfile.TemporaryDirectory() as directory:
        command = [sys.executable, "-m", "toucanyard_standins", "platform"]
        command += ["--listen", "127.0.0.1:0"]
        platform = await start_process("platform", command, Path(directory) / "log")
        try:
            await wait_ready(platform, "platform")
            for cap_per_s in _CAPS_PER_S:
                for rate_per_s in _RATES_PER_S:
                    print(
                        await measure_run(platform.address, cap_per_s, rate_per_s),
                        flush=True,
                    )
        finally:
            await platform.stop()


def print_extrapolation() -> None:
    """Print the claim throughput of the log for 320 nodes, by calculation only."""
    direct_interval_ms = 1000 * _FLEET_NODES / _LOG_APPENDS_PER_S
    collected_interval_ms = 1000 * _COLLECTORS / _LOG_APPENDS_PER_S
    record_bytes = len(make_claim("n319", 11_000))
    page_bytes = compute_page_bytes()
    print(
        f"worked out for {_FLEET_NODES} nodes, {_LOG_APPENDS_PER_S} appends/s in all:"
    )
    print(f"  every node appends: one append each {direct_interval_ms:.0f} ms a node")
    print(
        f"  {_COLLECTORS} collectors by hash of the key: one append each"
        f" {collected_interval_ms:.0f} ms, one hop more"
    )
    print(
        f"  a claim is {record_bytes} bytes, {page_bytes:.0f} on a page of the log;"
        f" a node that reads them all within 3,000 bytes/s follows"
        f" {3_000 / page_bytes:.1f} claims/s over all nodes"
    )


def main(arguments: list[str]) -> int:
    """Run the parts named in the arguments, by default all: curve, notes, slopes."""
    level = structlog.make_filtering_bound_logger(logging.WARNING)
    structlog.configure(wrapper_class=level)
    parts = arguments or ["curve", "notes", "slopes"]
    if "curve" in parts:
        trio.run(measure_curve)
        print_extrapolation()
    if "notes" in parts:
        print_key_recording_costs()
    if "slopes" in parts:
        print_slopes()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
