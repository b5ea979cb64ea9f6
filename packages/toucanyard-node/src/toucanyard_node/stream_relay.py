"""Relay one model response as numbered events, across engine failures.

The relay is pull-based: `read` reads the next data from the engine and returns the
bytes for the caller. A caller that doesn't read thus applies back pressure to the
engine, without a task or queue between the two connections.
"""

from __future__ import annotations

from typing import Final

import msgspec
import trio

from toucanyard.names import Incarnation
from toucanyard.options import StreamLimits
from toucanyard.requests import (
    CachedAnswer,
    Dispatch,
    DispatchEnding,
    Outcome,
    Refuse,
    Repeatability,
    Replay,
)
from toucanyard_node.attempts import Attempts
from toucanyard_node.connection_pool import ConnectionPool
from toucanyard_node.engine_client import EngineStream
from toucanyard_node.exchange import DispatchFailedError
from toucanyard_node.http_client import Headers, Response, ResponseHead
from toucanyard_node.idle_watch import IdleWatch
from toucanyard_node.model_requests import ModelCall, render_engine_body
from toucanyard_node.refusals import render_refusal
from toucanyard_node.shielded import Spawn
from toucanyard_node.sse import (
    Chunk,
    Event,
    EventError,
    check_error,
    get_text,
    read_chunk,
    render_event,
)
from toucanyard_node.stream_buffer import StreamBuffer

# A comment line without a blank line: some client libraries treat a blank line after a
# comment as the end of an event without data, and fail on it.
HEARTBEAT: Final = b": heartbeat\n"
EVENT_STREAM: Final = "text/event-stream"
_MAX_TEXT_PIECES: Final = 64


class StreamRelay:
    """One model request from its first dispatch to its last event.

    Invariants: `buffer` contains every event once, in order, before the caller receives
    it; no engine contradicts the events of another: a dispatch to another engine
    continues after the text already sent, on the same weights.
    """

    __slots__ = (
        "_call",
        "_engine",
        "_dispatch",
        "_failure",
        "_first_chunk",
        "_incarnation",
        "_replay_events",
        "_limits",
        "_longest_pause_ms",
        "_pool",
        "_spawn",
        "_text",
        "_tokens",
        "_watch",
        "_weights_version",
        "attempts",
        "buffer",
        "is_over",
        "finish_reason",
        "first_token_ms",
        "last_chunk",
        "refusal",
    )

    def __init__(
        self,
        attempts: Attempts,
        call: ModelCall,
        pool: ConnectionPool,
        limits: StreamLimits,
        watch: IdleWatch,
        spawn: Spawn,
    ) -> None:
        self._watch = watch
        self._spawn = spawn
        self._call = call
        self._pool = pool
        self._limits = limits
        self._engine: EngineStream | None = None
        self._dispatch: Dispatch | None = None
        self._failure: DispatchFailedError | None = None
        self._incarnation: Incarnation | None = None
        self._weights_version = ""
        self._longest_pause_ms = 0.0
        self._first_chunk: Chunk | None = None
        self._text: list[str] = []
        self._tokens = 0
        is_keyed = attempts.request.repeatability is Repeatability.KEYED
        self._replay_events: list[bytes] | None = [] if is_keyed else None
        self.attempts = attempts
        self.buffer = StreamBuffer(limits.replay_buffer_bytes)
        self.is_over = False
        self.first_token_ms: float | None = None
        self.finish_reason: str | None = None
        self.refusal: Refuse | None = None
        self.last_chunk: Chunk | None = None

    @property
    def text(self) -> str:
        """Return the text generated so far."""
        return "".join(self._text)

    @property
    def first_chunk(self) -> Chunk | None:
        """Return the first chunk, which names the answer."""
        return self._first_chunk

    async def open(
        self, verdict: Dispatch | Refuse | Replay
    ) -> Refuse | Replay | Response | None:
        """Dispatch until an engine starts a stream; return None when one did.

        Otherwise return the response that the caller gets in place of a stream.
        """
        while isinstance(verdict, Dispatch):
            try:
                head = await self._start_dispatch(verdict)
                if head.headers.get("content-type", "").startswith(EVENT_STREAM):
                    return None
                return await self._read_plain(head)
            except DispatchFailedError as error:
                verdict = await self._handle_failure(verdict, error)
        if isinstance(verdict, Refuse):
            self.is_over = True
            return self.attempts.check_refusal(verdict)
        self.is_over = True
        return verdict

    async def read(self) -> bytes:
        """Return complete events for the caller; call until `is_over`."""
        assert self._engine is not None
        try:
            if self._failure is not None:
                raise self._failure
            events = await self._engine.read()
            return self._process_events(events) if events else HEARTBEAT
        except DispatchFailedError as error:
            self._failure = None
            return await self._fail_over(error)

    def abort(self, text: str) -> None:
        """Cancel the request at the engine and the core; append an error event."""
        if self.is_over:
            return
        engine, self._engine = self._engine, None
        if engine is not None:
            # Never NOT_SENT here: the core would retry although no caller is left.
            self.attempts.report_end(self._build_outcome(DispatchEnding.CANCELLED))
            self._spawn(engine.cancel)
        self._end_with_error(self._build_incomplete(text))

    async def close(self) -> None:
        """Release the engine's connection."""
        engine, self._engine = self._engine, None
        if engine is not None:
            await engine.close()

    async def _start_dispatch(self, dispatch: Dispatch) -> ResponseHead:
        request = self.attempts.request
        self._dispatch = dispatch
        if self._weights_version not in ("", dispatch.weights_version):
            # Text already generated must be continued with the same weights version;
            # before the first event any version is acceptable.
            text = "the dispatch is for other weights"
            raise DispatchFailedError(DispatchEnding.NOT_SENT, text)
        is_stream = not self._call.requires_plain_answer or self._call.is_stream
        self._engine = EngineStream(
            self._pool,
            self._limits,
            dispatch,
            request.request_id,
            watch=self._watch,
            on_send=self.attempts.record_send,
            is_plain=not is_stream,
        )
        body = render_engine_body(self._call, is_stream, self.text, self._tokens)
        self.attempts.start_attempt()
        return await self._engine.open(
            self._call.api.value,
            self._build_headers(dispatch),
            body,
            self.attempts.is_repeatable(),
        )

    def _build_headers(self, dispatch: Dispatch) -> Headers:
        request = self.attempts.request
        headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", request.request_id),
            ("X-Cache-Salt", request.customer),
            ("X-Priority", str(dispatch.priority)),
        ]
        if dispatch.weights_version:
            headers.append(("X-Weights-Version", dispatch.weights_version))
        if self._tokens:
            headers.append(("X-Resume-Text-Tokens", str(self._tokens)))
        return tuple(headers)

    async def _read_plain(self, head: ResponseHead) -> Response:
        """Read a response that isn't a stream: a plain one, or a 4xx."""
        assert self._engine is not None
        body = await self._engine.read_plain_body()
        self._incarnation = self._engine.incarnation
        content_type = head.headers.get("content-type", "application/json")
        self._report_first_token()
        self.is_over = True
        kept = CachedAnswer(head.status, content_type, body)
        self._report_completed(kept)
        return Response(head.status, {"content-type": content_type}, body)

    def _process_events(self, events: list[Event]) -> bytes:
        """Buffer new events and return them with numbers."""
        assert self._engine is not None
        self._incarnation = self._engine.incarnation
        self._weights_version = self._engine.weights_version
        self._longest_pause_ms = self._engine.longest_pause_ms
        if self.first_token_ms is None:
            self._report_first_token()
        parts: list[bytes] = []
        for event in events:
            if event.is_done():
                self._handle_end_mark(parts)
                break
            try:
                self._read_event(event)
            except EventError as error:
                # The preceding events are already buffered and must be returned to the
                # caller, so the failure is raised at the next read.
                self._failure = DispatchFailedError(DispatchEnding.FAILED, str(error))
                break
            parts.append(self._append_event(event.data))
        return parts[0] if len(parts) == 1 else b"".join(parts) or HEARTBEAT

    def _handle_end_mark(self, parts: list[bytes]) -> None:
        """End the stream, unless its last event is missing.

        The end mark has no number, so a gap just before it is only detected by the
        missing finish reason; the truncated stream would appear complete.
        """
        assert self._engine is not None
        if self.finish_reason is None:
            self._engine.retry_end()
        else:
            self._finish(parts)

    def _read_event(self, event: Event) -> None:
        chunk = read_chunk(event.data)
        check_error(chunk)
        if self._first_chunk is None:
            self._first_chunk = chunk
        text = get_text(chunk)
        if text:
            self._text.append(text)
            if len(self._text) >= _MAX_TEXT_PIECES:
                # Many short strings use ten times the memory of one joined string.
                self._text = ["".join(self._text)]
            self._tokens += 1
        if chunk.choices and chunk.choices[0].finish_reason:
            self.finish_reason = chunk.choices[0].finish_reason
        self.last_chunk = chunk

    def _append_event(self, data: bytes, name: bytes = b"") -> bytes:
        rendered = render_event(self.buffer.next_number, data, name)
        self.buffer.append(rendered)
        if self._replay_events is not None:
            self._replay_events.append(rendered)
        return rendered

    def _finish(self, parts: list[bytes]) -> None:
        self.is_over = True
        parts.append(self._append_event(b"[DONE]"))
        if self._call.is_stream:
            body = b"".join(self._replay_events or ())
            self._report_completed(CachedAnswer(200, EVENT_STREAM, body))

    def report_aggregated(self, answer: CachedAnswer) -> None:
        """Report the end of a response that was aggregated from events."""
        self._report_completed(answer)

    def _report_completed(self, kept: CachedAnswer | None) -> None:
        outcome = self._build_outcome(DispatchEnding.COMPLETED)
        if self._replay_events is not None:
            outcome = msgspec.structs.replace(outcome, answer=kept)
        self.attempts.report_end(outcome)

    def _build_outcome(self, ending: DispatchEnding) -> Outcome:
        assert self._dispatch is not None
        usage = self.last_chunk.usage if self.last_chunk is not None else None
        details = usage.prompt_tokens_details if usage is not None else None
        return Outcome(
            request_id=self.attempts.request.request_id,
            endpoint=self._dispatch.endpoint,
            ending=ending,
            incarnation=self._incarnation,
            weights_version=self._weights_version or self._dispatch.weights_version,
            first_token_ms=self.first_token_ms,
            duration_ms=self.attempts.find_elapsed_ms(),
            cached_tokens=details.cached_tokens if details is not None else 0,
            prompt_tokens=usage.prompt_tokens if usage is not None else 0,
            completion_tokens=self._tokens,
            events_relayed=self.buffer.next_number,
            longest_pause_ms=self._longest_pause_ms,
        )

    def _report_first_token(self) -> None:
        self.first_token_ms = self.attempts.find_elapsed_ms()
        self.attempts.report_first_token()

    async def _handle_failure(
        self, dispatch: Dispatch, error: DispatchFailedError
    ) -> Dispatch | Refuse | Replay:
        """Abandon the failed exchange and return the core's next verdict."""
        engine, self._engine = self._engine, None
        if engine is not None:
            # The caller may disconnect at any time and resume later. If this were
            # interrupted, there would be no engine to read from and no report to the
            # core.
            with trio.CancelScope(shield=True):
                await engine.abandon()
        verdict = await self.attempts.report_failure(
            dispatch, error.ending, error.text, self._weights_version
        )
        # The failed engine may still be computing for nobody, so it is cancelled. A
        # retry at the same engine has the same id and would be cancelled as well.
        is_elsewhere = getattr(verdict, "address", "") != dispatch.address
        if engine is not None and is_elsewhere and self.attempts.is_repeatable():
            self._spawn(engine.cancel)
        return verdict

    async def _fail_over(self, error: DispatchFailedError) -> bytes:
        """Continue a started stream on another engine, or end it as incomplete."""
        assert self._dispatch is not None
        if self._is_generation_complete():
            # Only the end mark is missing, and the node can add it itself.
            with trio.CancelScope(shield=True):
                await self.close()
            return self._finish_locally()
        verdict = await self._handle_failure(self._dispatch, error)
        while isinstance(verdict, Dispatch):
            if not self._can_continue():
                self._cancel_dispatch(verdict)
                return self._end_with_error(self._build_incomplete(error.text))
            try:
                await self._restart_stream(verdict)
                return HEARTBEAT
            except DispatchFailedError as next_error:
                verdict = await self._handle_failure(verdict, next_error)
        if isinstance(verdict, Refuse):
            return self._end_with_error(verdict)
        return self._end_with_error(self._build_incomplete(error.text))

    async def _restart_stream(self, dispatch: Dispatch) -> None:
        head = await self._start_dispatch(dispatch)
        if not head.headers.get("content-type", "").startswith(EVENT_STREAM):
            raise DispatchFailedError(DispatchEnding.FAILED, f"status {head.status}")

    def _can_continue(self) -> bool:
        """Return whether another engine can continue from prompt and text."""
        return self.attempts.is_repeatable() and not self._call.requires_plain_answer

    def _is_generation_complete(self) -> bool:
        """Return whether only the end mark is missing."""
        # With several choices, or an unknown number, the first finish reason is not the
        # end of all.
        return self.finish_reason is not None and self._call.choices == 1

    def _finish_locally(self) -> bytes:
        parts: list[bytes] = []
        self._finish(parts)
        return b"".join(parts)

    def _cancel_dispatch(self, dispatch: Dispatch) -> None:
        request_id = self.attempts.request.request_id
        self.attempts.report_end(
            Outcome(request_id, dispatch.endpoint, DispatchEnding.CANCELLED)
        )

    def _build_incomplete(self, text: str) -> Refuse:
        return self.attempts.build_incomplete_refusal(text)

    def _end_with_error(self, refusal: Refuse) -> bytes:
        """Append an error event, so that callers can detect a truncated stream."""
        self.is_over = True
        self.refusal = refusal
        body = render_refusal(self._build_incomplete(refusal.text)).body
        return self._append_event(body, b"error")
