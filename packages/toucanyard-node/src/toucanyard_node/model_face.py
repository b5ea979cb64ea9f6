"""Serve completions and chat completions, as events or as one plain answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from toucanyard.errorcodes import Ending, ErrorKind, RouterError
from toucanyard.names import RequestId
from toucanyard.options import Options
from toucanyard.requests import (
    CachedAnswer,
    Refuse,
    Repeatability,
    Replay,
)
from toucanyard_node.attempts import Attempts
from toucanyard_node.caller_context import (
    CallerContext,
)
from toucanyard_node.connection_pool import ConnectionPool
from toucanyard_node.core_messages import CoreClient
from toucanyard_node.gathered_answer import render_gathered
from toucanyard_node.http_client import Response
from toucanyard_node.idle_watch import IdleWatch
from toucanyard_node.kept_streams import KeptStreams
from toucanyard_node.model_requests import ApiKind, ModelCall, parse_model_call
from toucanyard_node.shielded import Spawn, run_shielded
from toucanyard_node.stream_relay import EVENT_STREAM, StreamRelay

_JSON: Final = "application/json"
_MAX_ID_DIGITS: Final = 15
_STREAM_HEADERS: Final = (
    ("Content-Type", EVENT_STREAM),
    ("Cache-Control", "no-cache"),
)

Result = Refuse | Replay | Response
Work = Callable[[StreamRelay], Awaitable[Result | None]]


class ModelFace:
    """Serve calls of models."""

    __slots__ = ("_core", "_kept", "_options", "_pool", "_spawn", "_watch")

    def __init__(
        self,
        core: CoreClient,
        options: Options,
        pool: ConnectionPool,
        watch: IdleWatch,
        spawn: Spawn,
    ) -> None:
        self._watch = watch
        self._core = core
        self._options = options
        self._pool = pool
        self._spawn = spawn
        self._kept = KeptStreams(options.streams, spawn)

    async def serve(self, context: CallerContext, api: ApiKind) -> None:
        """Answer one call."""
        call = parse_model_call(
            api, context.http.body, context.configuration, context.customer.name
        )
        request = context.build_request(
            call.target, call.priority, Repeatability.REPEATABLE, self._options.callers
        )
        relay = StreamRelay(
            Attempts(self._core, request),
            call,
            self._pool,
            self._options.streams,
            self._watch,
            self._spawn,
        )
        if call.is_stream:
            await self._serve_stream(context, relay)
        else:
            await self._serve_plain(context, relay, call)

    async def resume(self, context: CallerContext, stream_id: str) -> None:
        """Send a stream again after the event that the caller names."""
        stream = self._kept.find(RequestId(stream_id), context.customer.name)
        after = _find_last_event_id(context)
        if stream is None or stream.relay.buffer.find_after(after) is None:
            text = "the stream or the events after that one are not kept here"
            await context.refuse(
                Refuse(
                    context.request_id,
                    ErrorKind.STREAM_GONE,
                    Ending.UNKNOWN,
                    text,
                    0,
                )
            )
            return
        await context.responder.start(200, (*_STREAM_HEADERS, *context.headers))
        await self._kept.send(stream, context.responder, after)

    async def _serve_stream(self, context: CallerContext, relay: StreamRelay) -> None:
        """Answer with events; the deadline bounds the wait for the answer's begin."""
        result = await self._run_until_deadline(relay, self._open)
        if result is not None:
            await context.finish(result)
            return
        stream = self._kept.add(relay, context.customer.name)
        try:
            headers = (*_STREAM_HEADERS, *context.headers)
            await context.responder.start(200, headers)
        except BaseException:
            self._kept.let_go(stream)
            raise
        await self._kept.send(stream, context.responder, -1)

    async def _serve_plain(
        self, context: CallerContext, relay: StreamRelay, call: ModelCall
    ) -> None:
        """Answer at once when the answer is whole; the deadline bounds all of it."""

        async def run(relay: StreamRelay) -> Result:
            return await self._gather(relay, call)

        result = await self._run_until_deadline(relay, run)
        assert result is not None
        await context.finish(result)

    async def _run_until_deadline(
        self, relay: StreamRelay, work: Work
    ) -> Result | None:
        """Run to the result, or to the final refusal at the deadline."""
        attempts = relay.attempts
        is_keyed = attempts.request.repeatability is Repeatability.KEYED

        async def run() -> Result | None:
            try:
                return await work(relay)
            except Exception:
                # A fault here must not leave the request's place taken for ever.
                relay.give_up("internal error")
                raise

        async def drain(result: Result | None) -> None:
            # Reached when a caller hung up before its events began.
            if result is None:
                self._kept.let_go(
                    self._kept.add(relay, attempts.request.customer),
                )

        try:
            with trio.CancelScope(deadline=attempts.request.deadline_ms / 1000):
                if is_keyed:
                    return await run_shielded(self._spawn, run, drain)
                return await run()
            refusal = attempts.build_deadline_refusal()
        except trio.Cancelled:
            if not is_keyed:
                relay.give_up("the caller went away")
            raise
        if not is_keyed:
            relay.give_up(refusal.text)
        return refusal

    async def _open(self, relay: StreamRelay) -> Result | None:
        verdict = await self._core.decide(relay.attempts.request)
        result = await relay.open(verdict)
        if result is not None:
            # Here and not by whoever answers the caller: that one may have refused at
            # the deadline, and would cut a keyed try that runs on for the next one.
            await relay.close()
        return result

    async def _gather(self, relay: StreamRelay, call: ModelCall) -> Result:
        result = await self._open(relay)
        while not relay.is_over:
            await relay.read()
        await relay.close()
        if result is not None:
            return result
        if relay.refusal is not None:
            return relay.attempts.check_refusal(relay.refusal)
        usage = relay.last_chunk.usage if relay.last_chunk is not None else None
        body = render_gathered(
            call.api,
            relay.attempts.request.request_id,
            relay.first_chunk,
            relay.text,
            relay.finish_reason,
            usage,
        )
        relay.report_gathered(CachedAnswer(200, _JSON, body))
        return Response(200, {"content-type": _JSON}, body)


def _find_last_event_id(context: CallerContext) -> int:
    text = context.http.headers.get("last-event-id", "")
    if not text.isascii() or not text.isdigit():
        return -1
    if len(text) > _MAX_ID_DIGITS:
        raise RouterError(
            ErrorKind.BAD_REQUEST, "Last-Event-ID: expected the number of an event"
        )
    return int(text)
