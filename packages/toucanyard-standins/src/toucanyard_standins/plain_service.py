"""Simulate a plain service with calls that are not all repeatable."""

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
from toucanyard_standins.network_faults import NetworkFault, apply_network_fault

_LIMITS: Final = ServerLimits(idle_timeout_ms=600_000)


class SlowCalls(msgspec.Struct, frozen=True, tag_field="fault", tag="slow"):
    """Set the duration of each execution; 0 ends the fault."""

    delay_ms: int


class DieAfterExecution(msgspec.Struct, frozen=True, tag_field="fault", tag="die"):
    """Crash after the next executions, before their responses are sent."""

    count: int = 1
    down_ms: int = 0


class DelayAnswers(msgspec.Struct, frozen=True, tag_field="fault", tag="delay"):
    """Delay the next responses after their executions."""

    delay_ms: int
    count: int = 1


class RefuseCalls(msgspec.Struct, frozen=True, tag_field="fault", tag="refuse"):
    """Respond with 503 without executing the call while on."""

    is_on: bool


class CrossAnswers(msgspec.Struct, frozen=True, tag_field="fault", tag="cross"):
    """Send the next responses with the request id of another call."""

    count: int = 1


ServiceFault = (
    NetworkFault
    | SlowCalls
    | DieAfterExecution
    | DelayAnswers
    | RefuseCalls
    | CrossAnswers
)


class ServiceOptions(msgspec.Struct, frozen=True):
    """The settings of one plain service."""

    name: str
    work_ms: float = 5.0
    load_lag_ms: float = 200.0


class ServiceCounters(msgspec.Struct):
    """Counters of a service process; an injected crash keeps them."""

    incarnation: str = ""
    executions: int = 0
    by_key: dict[str, int] = {}
    """Executions by Idempotency-Key."""
    by_request: dict[str, int] = {}
    """Executions by request id."""
    refused: int = 0
    crashes: int = 0


class ServiceLoad(msgspec.Struct, frozen=True):
    """A load report, with its age when it is sent."""

    incarnation: str
    running: int
    age_ms: int


class CallAnswer(msgspec.Struct, frozen=True):
    """The response body of one execution: its number and the call."""

    service: str
    execution: int
    request_id: str
    customer: str
    method: str
    path: str
    body_bytes: int


class PlainService:
    """Execute calls and count each execution.

    Invariant: a call is counted when its work is done, before any byte of its
    response is sent.
    """

    def __init__(self, options: ServiceOptions, listener: FaultyListener) -> None:
        self._options = options
        self._listener = listener
        self._counters = ServiceCounters(incarnation=self._build_incarnation())
        self._running = 0
        self._load = ServiceLoad(self._counters.incarnation, 0, 0)
        self._load_sampled_s = trio.current_time()
        self._work_ms = options.work_ms
        self._crash_fault = DieAfterExecution(count=0)
        self._delay_fault = DelayAnswers(delay_ms=0, count=0)
        self._cross_count = 0
        self._is_refusing = False

    async def report_load(self) -> None:
        """Sample the load periodically, so that reports lag behind it."""
        while True:
            await trio.sleep(self._options.load_lag_ms / 1000)
            self._load = ServiceLoad(self._counters.incarnation, self._running, 0)
            self._load_sampled_s = trio.current_time()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        await handle_route(self._route, request, responder)

    async def _route(self, request: HttpRequest, responder: Responder) -> None:
        match request.method, request.path:
            case "GET", "/load":
                age_ms = int((trio.current_time() - self._load_sampled_s) * 1000)
                report = msgspec.structs.replace(self._load, age_ms=age_ms)
                await send_json(responder, 200, report)
            case "POST", "/control":
                fault = msgspec.json.decode(request.body, type=ServiceFault)
                await send_json(responder, 200, fault)
                await self._apply_fault(fault)
            case "GET", "/control":
                await send_json(responder, 200, self._counters)
            case _:
                await self._call(request, responder)

    async def _call(self, request: HttpRequest, responder: Responder) -> None:
        if self._is_refusing:
            self._counters.refused += 1
            identity = (("X-Request-Id", request.headers.get("x-request-id", "")),)
            await send_error(responder, 503, "takes no calls", identity)
            return
        answer = await self._execute(request)
        if self._crash_fault.count > 0:
            count, down_ms = self._crash_fault.count - 1, self._crash_fault.down_ms
            self._crash_fault = DieAfterExecution(count, down_ms)
            await self._crash(down_ms)
            return
        await self._delay_answer()
        request_id = answer.request_id
        if self._cross_count > 0:
            self._cross_count -= 1
            request_id = f"crossed-{request_id}"
            answer = msgspec.structs.replace(answer, request_id=request_id)
        await send_json(responder, 200, answer, (("X-Request-Id", request_id),))

    async def _execute(self, request: HttpRequest) -> CallAnswer:
        """Do the work, and complete it even if the caller disconnects."""
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        self._running += 1
        with trio.CancelScope(shield=True):
            await trio.sleep(self._work_ms / 1000)
        self._running -= 1
        counters = self._counters
        counters.executions += 1
        counters.by_request[request_id] = counters.by_request.get(request_id, 0) + 1
        if key := headers.get("idempotency-key", ""):
            counters.by_key[key] = counters.by_key.get(key, 0) + 1
        return CallAnswer(
            service=self._options.name,
            execution=counters.executions,
            request_id=request_id,
            customer=headers.get("x-customer", ""),
            method=request.method,
            path=request.path,
            body_bytes=len(request.body),
        )

    async def _delay_answer(self) -> None:
        if self._delay_fault.count > 0:
            delay_ms = self._delay_fault.delay_ms
            self._delay_fault = DelayAnswers(delay_ms, self._delay_fault.count - 1)
            await trio.sleep(delay_ms / 1000)

    async def _apply_fault(self, fault: ServiceFault) -> None:
        match fault:
            case SlowCalls(delay_ms):
                self._work_ms = delay_ms or self._options.work_ms
            case DieAfterExecution():
                self._crash_fault = fault
            case DelayAnswers():
                self._delay_fault = fault
            case RefuseCalls(is_on):
                self._is_refusing = is_on
            case CrossAnswers(count):
                self._cross_count = count
            case _:
                await apply_network_fault(fault, self._listener)

    async def _crash(self, down_ms: int) -> None:
        """Close all connections and restart as a new incarnation."""
        self._counters.crashes += 1
        self._counters.incarnation = self._build_incarnation()
        self._listener.go_down(down_ms)
        await self._listener.cut()

    def _build_incarnation(self) -> str:
        return f"{self._options.name}-{time.time_ns():x}"


async def serve_plain_service(
    options: ServiceOptions,
    listener: trio.SocketListener,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run one plain service until cancelled; report its address once it listens."""
    faulty = FaultyListener(listener)
    service = PlainService(options, faulty)
    server = HttpServer(service.handle, _LIMITS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.report_load)
        nursery.start_soon(server.serve, faulty.as_socket_listener())
        task_status.started(Address(f"127.0.0.1:{find_port(listener)}"))
