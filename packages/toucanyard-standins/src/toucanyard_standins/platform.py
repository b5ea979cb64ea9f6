"""Simulate the platform: log service, VM list and weight store on one port."""

from __future__ import annotations

import time
from typing import Final

import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
)
from toucanyard_standins.faulty_listener import FaultyListener
from toucanyard_standins.json_responses import handle_route, send_error, send_json
from toucanyard_standins.network_faults import apply_network_fault
from toucanyard_standins.platform_faults import (
    AgeRecords,
    ExpireRecords,
    LoseAnswers,
    Outage,
    PlatformCounters,
    PlatformFault,
    PlatformPart,
    PutVm,
    RemoveVm,
    SetVmLag,
    SlowPart,
)
from toucanyard_standins.platform_log import LogOptions, LogRecord, LogService
from toucanyard_standins.platform_vms import VmList, VmListBody
from toucanyard_standins.platform_weights import WeightStore, WeightStoreOptions

_LIMITS: Final = ServerLimits(idle_timeout_ms=600_000)
_DEFAULT_READ_LIMIT: Final = 1_000
_MAX_WAIT_MS: Final = 60_000


class PlatformOptions(msgspec.Struct, frozen=True):
    """The settings of the platform."""

    log: LogOptions = LogOptions()
    weights: WeightStoreOptions = WeightStoreOptions()
    vm_lag_ms: float = 500.0


class _Record(msgspec.Struct, frozen=True):
    kind: str = ""


def _find_kind(text: str) -> str:
    """Return the kind of a record, or an empty string."""
    try:
        return msgspec.json.decode(text, type=_Record).kind
    except msgspec.DecodeError:
        return ""


class AppendBody(msgspec.Struct, frozen=True):
    """The request to append records together."""

    records: tuple[str, ...]


class ReadBody(msgspec.Struct, frozen=True):
    """The response to a read of the log."""

    oldest: int
    next: int
    records: tuple[LogRecord, ...]


class RangeBody(msgspec.Struct, frozen=True):
    """The response when the offsets asked for have expired: the retained range."""

    oldest: int
    next: int


def find_part(path: str) -> PlatformPart | None:
    """Return the part of the platform that a path belongs to."""
    match path.split("/")[1:2]:
        case ["log"]:
            return PlatformPart.LOG
        case ["vms"]:
            return PlatformPart.VMS
        case ["weights"]:
            return PlatformPart.WEIGHTS
        case _:
            return None


class Platform:
    """The three services, their injected faults and their HTTP handler."""

    def __init__(self, options: PlatformOptions, listener: FaultyListener) -> None:
        now_ms = self._now_ms()
        self._listener = listener
        self._log = LogService(options.log, now_ms)
        self._vms = VmList(options.vm_lag_ms)
        self._weights = WeightStore(options.weights, now_ms)
        self._counters = PlatformCounters()
        self._parts_down: set[PlatformPart] = set()
        self._delay_ms: dict[PlatformPart, int] = {}
        self._lost_answers_fault = LoseAnswers(count=0)
        self._appended = trio.Event()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        await handle_route(self._apply_part_faults, request, responder)

    async def _apply_part_faults(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        part = find_part(request.path)
        if request.path == "/log/append":
            self._count_requested_records(request)
        if part is not None:
            await trio.sleep(self._delay_ms.get(part, 0) / 1000)
        if part in self._parts_down:
            await send_error(responder, 503, "outage")
            return
        await self._route(request, responder)

    def _count_requested_records(self, request: HttpRequest) -> None:
        counts = self._counters.asked_records
        for text in msgspec.json.decode(request.body, type=AppendBody).records:
            kind = _find_kind(text)
            counts[kind] = counts.get(kind, 0) + 1

    async def _route(self, request: HttpRequest, responder: Responder) -> None:
        match request.method, request.path:
            case "POST", "/log/append":
                await self._append(request, responder)
            case "GET", "/log/read":
                await self._read(request, responder)
            case "GET", "/vms":
                self._counters.vm_reads += 1
                visible = self._vms.find_visible(self._now_ms())
                await send_json(responder, 200, VmListBody(visible))
            case "POST", path if path.startswith("/weights/"):
                await self._handle_load_request(responder)
            case "POST", "/control":
                fault = msgspec.json.decode(request.body, type=PlatformFault)
                await self._apply_fault(fault)
                await send_json(responder, 200, fault)
            case "GET", "/control":
                self._counters.next_offset = self._log.find_next()
                self._counters.weight_starts = self._weights.starts
                await send_json(responder, 200, self._counters)
            case _:
                await send_error(responder, 404, "no such path")

    async def _append(self, request: HttpRequest, responder: Responder) -> None:
        body = msgspec.json.decode(request.body, type=AppendBody)
        now_ms = self._now_ms()
        if not self._log.consume_token(now_ms):
            self._counters.refused_appends += 1
            await send_error(responder, 429, "over the rate")
            return
        appended = self._log.append(body.records, now_ms)
        self._counters.appends += 1
        if self._lost_answers_fault.count > 0:
            # Waiting readers are not woken: they get the record after their wait. By
            # then the sender has lost the response; a record that was read at once
            # would make up for it.
            await self._drop_answer()
            responder.drop()
            return
        done, self._appended = self._appended, trio.Event()
        done.set()
        await send_json(responder, 200, appended)

    async def _drop_answer(self) -> None:
        self._lost_answers_fault = LoseAnswers(
            self._lost_answers_fault.count - 1, self._lost_answers_fault.is_silent
        )
        self._counters.lost_answers += 1
        if self._lost_answers_fault.is_silent:
            await trio.sleep_forever()

    async def _read(self, request: HttpRequest, responder: Responder) -> None:
        self._counters.reads += 1
        first = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", str(_DEFAULT_READ_LIMIT)))
        wait_ms = min(int(request.query.get("wait_ms", "0")), _MAX_WAIT_MS)
        with trio.move_on_after(wait_ms / 1000):
            while self._log.find_next() <= first:
                await self._appended.wait()
        self._log.drop_expired(self._now_ms())
        oldest, end = self._log.find_oldest(), self._log.find_next()
        if PlatformPart.LOG in self._parts_down:
            await send_error(responder, 503, "outage")
        elif first < oldest:
            await send_json(responder, 410, RangeBody(oldest, end))
        else:
            records = self._log.find_records(first, limit)
            await send_json(responder, 200, ReadBody(oldest, end, records))

    async def _handle_load_request(self, responder: Responder) -> None:
        permit = self._weights.request_permit(self._now_ms())
        if permit is not None:
            await send_json(responder, 200, permit)
            return
        self._counters.weight_refusals += 1
        wait_ms = str(self._weights.compute_wait_ms())
        await send_error(
            responder, 429, "over the rate", (("Retry-After-Ms", wait_ms),)
        )

    async def _apply_fault(self, fault: PlatformFault) -> None:
        match fault:
            case Outage(is_on, part):
                (self._parts_down.add if is_on else self._parts_down.discard)(part)
            case SlowPart(delay_ms, part):
                self._delay_ms[part] = delay_ms
            case LoseAnswers():
                self._lost_answers_fault = fault
            case ExpireRecords(before):
                self._log.drop_before(before)
            case AgeRecords(by_ms):
                self._log.age(by_ms)
            case PutVm(vm):
                self._vms.put(vm, self._now_ms())
            case RemoveVm(name):
                self._vms.remove(name, self._now_ms())
            case SetVmLag(lag_ms):
                self._vms.lag_ms = lag_ms
            case _:
                await apply_network_fault(fault, self._listener)

    def _now_ms(self) -> float:
        return time.time() * 1000


async def serve_platform(
    options: PlatformOptions,
    listener: trio.SocketListener,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run the platform until cancelled; report its address once it listens."""
    faulty = FaultyListener(listener)
    server = HttpServer(Platform(options, faulty).handle, _LIMITS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, faulty.as_socket_listener())
        task_status.started(Address(f"127.0.0.1:{find_port(listener)}"))
