"""Handle completions: start, stream, resume and cancel, and apply injected faults."""

from __future__ import annotations

import time
from typing import Final

import msgspec
import trio

from toucanyard_node.http_exchange import (
    Headers,
    HttpRequest,
    Responder,
)
from toucanyard_standins.endless_answers import send_endless
from toucanyard_standins.engine import Engine
from toucanyard_standins.engine_streams import TOKEN_BYTES, AnswerStream
from toucanyard_standins.json_responses import JSON_TYPE, send_error
from toucanyard_standins.openai_shape import (
    CompletionRequest,
    find_generated,
    find_token_limit,
    render_prompt,
    strip_generated,
)

STREAMS_PATH: Final = "/v1/streams/"
_CHAT_PATH: Final = "/v1/chat/completions"
_DONE: Final = b"data: [DONE]\n\n"
_HEARTBEAT: Final = b": heartbeat\n\n"


class CompletionHandler:
    """Handle requests that start, resume or cancel a completion."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def complete(self, request: HttpRequest, responder: Responder) -> None:
        """Compute and send a completion, or refuse it before computing anything."""
        body = msgspec.json.decode(request.body, type=CompletionRequest)
        identity = self._build_identity_headers(request.headers.get("x-request-id", ""))
        if self._engine.faults.is_refusing or self._engine.state.is_loading:
            self._engine.counters.refused += 1
            await send_error(responder, 503, "takes no requests", identity)
            return
        wanted = request.headers.get("x-weights-version", "")
        loaded = self._engine.state.weights.weights_version
        if wanted and wanted != loaded:
            self._engine.counters.refused += 1
            await send_error(responder, 412, f"loaded {loaded}", identity)
            return
        stream = self._submit(request, body)
        await self._delay_answer()
        if self._engine.faults.endless_count > 0:
            self._engine.faults.endless_count -= 1
            kind = self._engine.faults.endless_kind
            await send_endless(responder, kind, identity, f"call={stream.request_id}")
        if self._engine.faults.cross_count > 0:
            self._engine.faults.cross_count -= 1
            self._engine.counters.crossed += 1
            stream = self._submit_other_request(stream)
        if body.stream:
            await self._send_stream(stream, responder, 0)
        else:
            await self._send_whole(stream, responder)

    def _submit(self, request: HttpRequest, body: CompletionRequest) -> AnswerStream:
        """Queue a request and return the stream of its completion."""
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
        engine.state.submit(
            stream,
            salt=headers.get("x-cache-salt", ""),
            prompt=prompt + generated,
            priority=int(headers.get("x-priority", "0")),
            max_tokens=tokens,
        )
        increment_count(engine.counters.executions, request_id)
        if key := headers.get("idempotency-key", ""):
            increment_count(engine.counters.keyed_executions, key)
        engine.wake_computation()
        return stream

    def _submit_other_request(self, stream: AnswerStream) -> AnswerStream:
        """Queue another request, whose completion replaces the one asked for."""
        engine = self._engine
        prompt = b"another request"
        other = AnswerStream(
            f"crossed-{time.time_ns():x}",
            stream.model,
            stream.is_chat,
            prompt,
            stream.created_s,
        )
        tokens = engine.options.default_tokens
        engine.state.submit(other, "another", prompt, 0, tokens)
        engine.wake_computation()
        return other

    async def _delay_answer(self) -> None:
        faults = self._engine.faults
        if faults.delay_count > 0:
            faults.delay_count -= 1
            await trio.sleep(faults.delay_ms / 1000)

    def _build_identity_headers(self, request_id: str) -> Headers:
        state = self._engine.state
        return (
            ("X-Request-Id", request_id),
            ("X-Incarnation", state.incarnation),
            ("X-Weights-Version", state.weights.weights_version),
        )

    async def _send_whole(self, stream: AnswerStream, responder: Responder) -> None:
        headers = self._build_identity_headers(stream.request_id)
        while not stream.is_done and not stream.is_cancelled:
            await stream.wait_beyond(len(stream.events))
        if stream.is_done:
            body = stream.render_whole()
            await responder.send(200, (JSON_TYPE, *headers), body)

    async def _send_stream(
        self, stream: AnswerStream, responder: Responder, position: int
    ) -> None:
        """Send events from a position on; a cancelled stream has no [DONE] event."""
        headers = self._build_identity_headers(stream.request_id)
        event_stream = ("Content-Type", "text/event-stream")
        await responder.start(200, (event_stream, *headers))
        cut_at = self._consume_cut()
        while not stream.is_cancelled:
            while position < len(stream.events):
                if position == cut_at:
                    return
                await responder.write(stream.events[position])
                position += 1
                await self._engine.count_event(stream.resumed_tokens > 0)
            if stream.is_done:
                await responder.write(_DONE)
                await responder.finish()
                return
            await self._wait_or_send_heartbeat(stream, position, responder)

    def _consume_cut(self) -> int | None:
        """Return the event before which to cut this stream, or None; use up one cut."""
        faults = self._engine.faults
        if faults.cut_count <= 0:
            return None
        faults.cut_count -= 1
        return faults.cut_after_events

    async def _wait_or_send_heartbeat(
        self, stream: AnswerStream, position: int, responder: Responder
    ) -> None:
        """Wait for an event; send a heartbeat if there is none within the interval."""
        with trio.move_on_after(self._engine.options.heartbeat_ms / 1000) as scope:
            await stream.wait_beyond(position)
        if scope.cancelled_caught and not self._engine.faults.are_heartbeats_stopped:
            await responder.write(_HEARTBEAT)

    async def resume(self, request: HttpRequest, responder: Responder) -> None:
        """Send the remaining events of a running or finished stream."""
        request_id = request.path.removeprefix(STREAMS_PATH)
        stream = self._engine.state.streams.get(request_id)
        if stream is None:
            identity = self._build_identity_headers(request_id)
            await send_error(responder, 404, "no such stream", identity)
            return
        self._engine.counters.resumed += 1
        position = int(request.headers.get("last-event-id", "-1")) + 1
        await self._send_stream(stream, responder, position)

    async def cancel(self, request: HttpRequest, responder: Responder) -> None:
        """Cancel a request; the status is 204 for unknown requests, too."""
        request_id = request.path.removeprefix(STREAMS_PATH)
        if self._engine.state.cancel(request_id):
            self._engine.counters.cancelled += 1
        await responder.send(204, self._build_identity_headers(request_id), b"")


def increment_count(counts: dict[str, int], name: str) -> None:
    """Add one to the count of a name."""
    counts[name] = counts.get(name, 0) + 1
