"""Handle completions and chat completions, streaming or plain."""

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
from toucanyard_node.aggregated_response import render_aggregated_response
from toucanyard_node.attempts import Attempts
from toucanyard_node.caller_context import (
    CallerContext,
)
from toucanyard_node.connection_pool import ConnectionPool
from toucanyard_node.core_messages import CoreClient
from toucanyard_node.http_client import Response
from toucanyard_node.idle_watch import IdleWatch
from toucanyard_node.model_requests import ApiKind, ModelCall, parse_model_call
from toucanyard_node.shielded import Spawn, run_shielded
from toucanyard_node.stream_relay import EVENT_STREAM, StreamRelay
from toucanyard_node.stream_store import StreamStore

_JSON: Final = "application/json"
_MAX_ID_DIGITS: Final = 15
_STREAM_HEADERS: Final = (
    ("Content-Type", EVENT_STREAM),
    ("Cache-Control", "no-cache"),
)

Result = Refuse | Replay | Response
Work = Callable[[StreamRelay], Awaitable[Result | None]]


class ModelHandler:
    """Handle model calls."""

    __slots__ = ("_core", "_streams", "_options", "_pool", "_spawn", "_watch")

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
        self._streams = StreamStore(options.streams, spawn)

    async def serve(self, context: CallerContext, api: ApiKind) -> None:
        """Handle one call."""
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
        """Resume a stream after the event given in `Last-Event-ID`."""
        stream = self._streams.find(RequestId(stream_id), context.customer.name)
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
        await self._streams.send(stream, context.responder, after)

    async def _serve_stream(self, context: CallerContext, relay: StreamRelay) -> None:
        """Send a stream; the deadline applies only until the stream starts."""
        result = await self._run_until_deadline(relay, self._open)
        if result is not None:
            await context.send_result(result)
            return
        stream = self._streams.add(relay, context.customer.name)
        try:
            headers = (*_STREAM_HEADERS, *context.headers)
            await context.responder.start(200, headers)
        except BaseException:
            self._streams.release_stream(stream)
            raise
        await self._streams.send(stream, context.responder, -1)

    async def _serve_plain(
        self, context: CallerContext, relay: StreamRelay, call: ModelCall
    ) -> None:
        """Send a plain response; the deadline applies to the complete response."""

        async def run(relay: StreamRelay) -> Result:
            return await self._aggregate(relay, call)

        result = await self._run_until_deadline(relay, run)
        assert result is not None
        await context.send_result(result)

    async def _run_until_deadline(
        self, relay: StreamRelay, work: Work
    ) -> Result | None:
        """Return the result, or the refusal at the deadline."""
        attempts = relay.attempts
        is_keyed = attempts.request.repeatability is Repeatability.KEYED

        async def run() -> Result | None:
            try:
                return await work(relay)
            except Exception:
                # An internal error must not leave the request's slot occupied forever.
                relay.abort("internal error")
                raise

        async def store_unclaimed(result: Result | None) -> None:
            # Called when the caller disconnected before its stream started.
            if result is None:
                self._streams.release_stream(
                    self._streams.add(relay, attempts.request.customer),
                )

        try:
            with trio.CancelScope(deadline=attempts.request.deadline_ms / 1000):
                if is_keyed:
                    return await run_shielded(self._spawn, run, store_unclaimed)
                return await run()
            refusal = attempts.build_deadline_refusal()
        except trio.Cancelled:
            if not is_keyed:
                relay.abort("the caller went away")
            raise
        if not is_keyed:
            relay.abort(refusal.text)
        return refusal

    async def _open(self, relay: StreamRelay) -> Result | None:
        verdict = await self._core.decide(relay.attempts.request)
        result = await relay.open(verdict)
        if result is not None:
            # Closed here and not by the task that responds to the caller: that task may
            # have ended at the deadline, while a keyed attempt continues.
            await relay.close()
        return result

    async def _aggregate(self, relay: StreamRelay, call: ModelCall) -> Result:
        result = await self._open(relay)
        while not relay.is_over:
            await relay.read()
        await relay.close()
        if result is not None:
            return result
        if relay.refusal is not None:
            return relay.attempts.check_refusal(relay.refusal)
        usage = relay.last_chunk.usage if relay.last_chunk is not None else None
        body = render_aggregated_response(
            call.api,
            relay.attempts.request.request_id,
            relay.first_chunk,
            relay.text,
            relay.finish_reason,
            usage,
        )
        relay.report_aggregated(CachedAnswer(200, _JSON, body))
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
