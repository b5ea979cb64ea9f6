"""Serve a stand-in engine over HTTP and server-sent events."""

from __future__ import annotations

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
from toucanyard_standins.engine import Engine
from toucanyard_standins.engine_cache import CacheEvent
from toucanyard_standins.engine_completions import STREAMS_PATH, CompletionHandler
from toucanyard_standins.engine_faults import EngineFault
from toucanyard_standins.engine_orders import Order
from toucanyard_standins.engine_state import EngineOptions, EngineRole
from toucanyard_standins.faulty_listener import FaultyListener
from toucanyard_standins.json_responses import handle_route, send_error, send_json

_LIMITS: Final = ServerLimits(idle_timeout_ms=600_000)
_EVENT_POLL_MS: Final = 20


class CacheEventsBody(msgspec.Struct, frozen=True):
    """The response to a read of cache events."""

    incarnation: str
    oldest: int
    next: int
    events: tuple[CacheEvent, ...]


class CacheDumpBody(msgspec.Struct, frozen=True):
    """The response to a dump: the hashes of all cached blocks."""

    incarnation: str
    next: int
    hashes: tuple[str, ...]


class EngineStateBody(msgspec.Struct, frozen=True):
    """The state of an engine: loaded weights, role and fencing number."""

    incarnation: str
    model: str
    adapters: tuple[str, ...]
    weights_version: str
    role: EngineRole
    is_loading: bool
    checks_fence: bool
    fence: int


class EngineHandler:
    """Handle requests of nodes and fault control requests."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._completions = CompletionHandler(engine)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        await handle_route(self._route, request, responder)

    async def _route(self, request: HttpRequest, responder: Responder) -> None:
        match request.method, request.path:
            case "POST", "/v1/completions" | "/v1/chat/completions":
                await self._completions.complete(request, responder)
            case "GET", path if path.startswith(STREAMS_PATH):
                await self._completions.resume(request, responder)
            case "DELETE", path if path.startswith(STREAMS_PATH):
                await self._completions.cancel(request, responder)
            case "GET", "/v1/cache/events":
                await self._send_cache_events(request, responder)
            case _:
                await self._route_control(request, responder)

    async def _route_control(self, request: HttpRequest, responder: Responder) -> None:
        engine = self._engine
        match request.method, request.path:
            case "GET", "/v1/load":
                age_ms = int(engine.model_time.now_ms() - engine.load_sampled_ms)
                report = msgspec.structs.replace(engine.load, age_ms=age_ms)
                await send_json(responder, 200, report)
            case "GET", "/v1/cache/dump":
                await send_json(responder, 200, self._compute_dump())
            case "GET", "/v1/state":
                await send_json(responder, 200, self._compute_state())
            case "POST", "/v1/orders":
                await self._handle_order(request, responder)
            case "POST", "/control":
                fault = msgspec.json.decode(request.body, type=EngineFault)
                await send_json(responder, 200, fault)
                await engine.apply_fault(fault)
            case "GET", "/control":
                await send_json(responder, 200, engine.compute_counters())
            case _:
                await send_error(responder, 404, "no such path")

    async def _send_cache_events(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        after = int(request.query.get("after", "-1"))
        wait_ms = int(request.query.get("wait_ms", "0"))
        with trio.move_on_after(wait_ms / 1000):
            while not self._find_events(after):
                await trio.sleep(_EVENT_POLL_MS / 1000)
        state = self._engine.state
        now_ms = self._engine.model_time.now_ms()
        body = CacheEventsBody(
            state.incarnation,
            state.cache_events.find_oldest(),
            state.cache_events.find_next(now_ms),
            self._find_events(after),
        )
        await send_json(responder, 200, body)

    def _find_events(self, after: int) -> tuple[CacheEvent, ...]:
        now_ms = self._engine.model_time.now_ms()
        return self._engine.state.cache_events.find_after(after, now_ms)

    def _compute_dump(self) -> CacheDumpBody:
        state = self._engine.state
        hashes = tuple(f"{block:016x}" for block in state.cache.find_hashes())
        return CacheDumpBody(
            state.incarnation, state.cache_events.find_last() + 1, hashes
        )

    def _compute_state(self) -> EngineStateBody:
        state = self._engine.state
        weights = state.weights
        return EngineStateBody(
            incarnation=state.incarnation,
            model=weights.model,
            adapters=weights.adapters,
            weights_version=weights.weights_version,
            role=weights.role,
            is_loading=state.is_loading,
            checks_fence=self._engine.options.checks_fence,
            fence=state.fence,
        )

    async def _handle_order(self, request: HttpRequest, responder: Responder) -> None:
        order = msgspec.json.decode(request.body, type=Order)
        refusal = await self._engine.execute_order(order)
        if refusal is not None:
            await send_json(responder, 409, refusal)
            return
        await send_json(responder, 200, self._compute_state())


async def serve_engine(
    options: EngineOptions,
    listener: trio.SocketListener,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run one engine until cancelled; report its address once it listens."""
    faulty = FaultyListener(listener)
    engine = Engine(options, faulty)
    server = HttpServer(EngineHandler(engine).handle, _LIMITS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run)
        nursery.start_soon(server.serve, faulty.as_socket_listener())
        task_status.started(Address(f"127.0.0.1:{find_port(listener)}"))
