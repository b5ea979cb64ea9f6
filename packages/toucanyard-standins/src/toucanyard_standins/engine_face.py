"""Serve an engine over HTTP and SSE."""

from __future__ import annotations

import time
from typing import Final

import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.http_server import (
    CallerGoneError,
    Headers,
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
    find_port,
)
from toucanyard_standins.answers import JSON_TYPE, send_error, send_json
from toucanyard_standins.engine import Engine
from toucanyard_standins.engine_cache import CacheEvent
from toucanyard_standins.engine_faults import EngineFault
from toucanyard_standins.engine_orders import Order
from toucanyard_standins.engine_state import EngineOptions, EngineRole
from toucanyard_standins.engine_streams import TOKEN_BYTES, AnswerStream
from toucanyard_standins.faulty_listener import FaultyListener
from toucanyard_standins.openai_shape import (
    CompletionRequest,
    find_generated,
    find_token_limit,
    render_prompt,
    strip_generated,
)

_LIMITS: Final = ServerLimits(idle_timeout_ms=600_000)
_DONE: Final = b"data: [DONE]\n\n"
_HEARTBEAT: Final = b": heartbeat\n\n"
_EVENT_POLL_MS: Final = 20
_CHAT_PATH: Final = "/v1/chat/completions"
_STREAMS_PATH: Final = "/v1/streams/"


class CacheEventsBody(msgspec.Struct, frozen=True):
    """The answer to a read of cache events."""

    incarnation: str
    oldest: int
    next: int
    events: tuple[CacheEvent, ...]


class CacheDumpBody(msgspec.Struct, frozen=True):
    """Every block held."""

    incarnation: str
    next: int
    hashes: tuple[str, ...]


class EngineStateBody(msgspec.Struct, frozen=True):
    """What an engine has loaded and obeys."""

    incarnation: str
    model: str
    adapters: tuple[str, ...]
    weights_version: str
    role: EngineRole
    is_loading: bool
    checks_fence: bool
    fence: int


class EngineFace:
    """Answer the requests of nodes and of the control path."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        try:
            await self._route(request, responder)
        except msgspec.DecodeError as error:
            await send_error(responder, 400, str(error))
        except CallerGoneError:
            # The computation goes on: only a DELETE ends it.
            return

    async def _route(self, request: HttpRequest, responder: Responder) -> None:
        match request.method, request.path:
            case "POST", "/v1/completions" | "/v1/chat/completions":
                await self._complete(request, responder)
            case "GET", path if path.startswith(_STREAMS_PATH):
                await self._resume(request, responder)
            case "DELETE", path if path.startswith(_STREAMS_PATH):
                await self._cancel(request, responder)
            case "GET", "/v1/cache/events":
                await self._send_cache_events(request, responder)
            case _:
                await self._route_control(request, responder)

    async def _route_control(self, request: HttpRequest, responder: Responder) -> None:
        engine = self._engine
        match request.method, request.path:
            case "GET", "/v1/load":
                age_ms = int(engine.model_time.now_ms() - engine.load_taken_ms)
                report = msgspec.structs.replace(engine.load, age_ms=age_ms)
                await send_json(responder, 200, report)
            case "GET", "/v1/cache/dump":
                await send_json(responder, 200, self._compute_dump())
            case "GET", "/v1/state":
                await send_json(responder, 200, self._compute_state())
            case "POST", "/v1/orders":
                await self._order(request, responder)
            case "POST", "/control":
                fault = msgspec.json.decode(request.body, type=EngineFault)
                await send_json(responder, 200, fault)
                await engine.apply_fault(fault)
            case "GET", "/control":
                await send_json(responder, 200, engine.compute_counters())
            case _:
                await send_error(responder, 404, "no such path")

    async def _complete(self, request: HttpRequest, responder: Responder) -> None:
        body = msgspec.json.decode(request.body, type=CompletionRequest)
        if self._engine.faults.is_refusing or self._engine.state.is_loading:
            self._engine.counters.refused += 1
            await send_error(responder, 503, "takes no requests")
            return
        wanted = request.headers.get("x-weights-version", "")
        loaded = self._engine.state.weights.weights_version
        if wanted and wanted != loaded:
            self._engine.counters.refused += 1
            await send_error(responder, 412, f"loaded {loaded}", self._identify(""))
            return
        stream = self._submit(request, body)
        await self._delay_answer()
        if self._engine.faults.cross_count > 0:
            self._engine.faults.cross_count -= 1
            stream = self._submit_foreign(stream)
        if body.stream:
            await self._send_stream(stream, responder, 0)
        else:
            await self._send_whole(stream, responder)

    def _submit(self, request: HttpRequest, body: CompletionRequest) -> AnswerStream:
        """Start the computation of a request."""
        engine = self._engine
        headers = request.headers
        request_id = headers.get("x-request-id") or f"anonymous-{time.time_ns():x}"
        resumed = int(headers.get("x-resume-text-tokens", "0"))
        generated = find_generated(body, resumed, TOKEN_BYTES)
        prompt = render_prompt(strip_generated(body, generated))
        stream = AnswerStream(
            request_id,
            body.model,
            request.path == _CHAT_PATH,
            prompt,
            int(time.time()),
            generated,
        )
        tokens = find_token_limit(body, engine.options.default_tokens)
        count_in(engine.counters.executions, request_id)
        if key := headers.get("idempotency-key", ""):
            count_in(engine.counters.keyed_executions, key)
        engine.state.submit(
            stream,
            salt=headers.get("x-cache-salt", ""),
            prompt=prompt + generated,
            priority=int(headers.get("x-priority", "0")),
            max_tokens=max(1, tokens - resumed),
        )
        engine.start_work()
        return stream

    def _submit_foreign(self, stream: AnswerStream) -> AnswerStream:
        """Start another request, whose answer is given in place of the right one."""
        engine = self._engine
        prompt = b"another request"
        foreign = AnswerStream(
            f"crossed-{time.time_ns():x}",
            stream.model,
            stream.is_chat,
            prompt,
            stream.created_s,
        )
        tokens = engine.options.default_tokens
        engine.state.submit(foreign, "another", prompt, 0, tokens)
        engine.start_work()
        return foreign

    async def _delay_answer(self) -> None:
        faults = self._engine.faults
        if faults.delay_count > 0:
            faults.delay_count -= 1
            await trio.sleep(faults.delay_ms / 1000)

    def _identify(self, request_id: str) -> Headers:
        state = self._engine.state
        return (
            ("X-Request-Id", request_id),
            ("X-Incarnation", state.incarnation),
            ("X-Weights-Version", state.weights.weights_version),
        )

    async def _send_whole(self, stream: AnswerStream, responder: Responder) -> None:
        headers = self._identify(stream.request_id)
        while not stream.is_done and not stream.is_cancelled:
            await stream.wait_beyond(len(stream.events))
        if stream.is_done:
            body = stream.render_whole()
            await responder.send(200, (JSON_TYPE, *headers), body)

    async def _send_stream(
        self, stream: AnswerStream, responder: Responder, position: int
    ) -> None:
        """Send events from a position on; a cancelled stream ends without a mark."""
        headers = self._identify(stream.request_id)
        event_stream = ("Content-Type", "text/event-stream")
        await responder.start(200, (event_stream, *headers))
        cut_at = self._take_cut()
        while not stream.is_cancelled:
            while position < len(stream.events):
                if position == cut_at:
                    return
                await responder.write(stream.events[position])
                position += 1
                await self._engine.count_event()
            if stream.is_done:
                await responder.write(_DONE)
                await responder.finish()
                return
            await self._wait_or_beat(stream, position, responder)

    def _take_cut(self) -> int | None:
        """Return the event before which this stream is to be cut, if any."""
        faults = self._engine.faults
        if faults.cut_count <= 0:
            return None
        faults.cut_count -= 1
        return faults.cut_after_events

    async def _wait_or_beat(
        self, stream: AnswerStream, position: int, responder: Responder
    ) -> None:
        """Wait for an event; send a heartbeat when none comes in time."""
        with trio.move_on_after(self._engine.options.heartbeat_ms / 1000) as scope:
            await stream.wait_beyond(position)
        if scope.cancelled_caught and not self._engine.faults.is_without_heartbeats:
            await responder.write(_HEARTBEAT)

    async def _resume(self, request: HttpRequest, responder: Responder) -> None:
        request_id = request.path.removeprefix(_STREAMS_PATH)
        stream = self._engine.state.streams.get(request_id)
        if stream is None:
            await send_error(responder, 404, "no such stream", self._identify(""))
            return
        self._engine.counters.resumed += 1
        position = int(request.headers.get("last-event-id", "-1")) + 1
        await self._send_stream(stream, responder, position)

    async def _cancel(self, request: HttpRequest, responder: Responder) -> None:
        request_id = request.path.removeprefix(_STREAMS_PATH)
        if self._engine.state.cancel(request_id):
            self._engine.counters.cancelled += 1
        await responder.send(204, self._identify(request_id), b"")

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

    async def _order(self, request: HttpRequest, responder: Responder) -> None:
        order = msgspec.json.decode(request.body, type=Order)
        refusal = await self._engine.take_order(order)
        if refusal is not None:
            await send_json(responder, 409, refusal)
            return
        await send_json(responder, 200, self._compute_state())


def count_in(counts: dict[str, int], name: str) -> None:
    """Add one to a named count."""
    counts[name] = counts.get(name, 0) + 1


async def serve_engine(
    options: EngineOptions,
    listener: trio.SocketListener,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run one engine until cancelled; report its address once it is ready."""
    faulty = FaultyListener(listener)
    engine = Engine(options, faulty)
    server = HttpServer(EngineFace(engine).handle, _LIMITS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run)
        nursery.start_soon(server.serve, faulty.as_socket_listener())
        task_status.started(Address(f"127.0.0.1:{find_port(listener)}"))
