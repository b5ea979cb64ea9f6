"""Relay one model answer as numbered events, across failures of engines.

A relay is pulled: `read` takes what the engine sent next and returns the bytes for
the caller, so a caller that doesn't read stops the reading from the engine, and no
task or queue stands between the two connections.
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

# A comment line without a blank one: some client libraries take a blank line after a
# comment for the end of an event without data, and fail on it.
HEARTBEAT: Final = b": heartbeat\n"
EVENT_STREAM: Final = "text/event-stream"
_JOIN_TEXTS: Final = 64


class StreamRelay:
    """One model request from its first dispatch to its last event.

    Invariants: `buffer` has every event once, in order, before its caller gets it;
    an event once there is never contradicted by one of another engine: a dispatch
    elsewhere begins after the text that is already out, on the same weights.
    """

    __slots__ = (
        "_call",
        "_engine",
        "_dispatch",
        "_failure",
        "_first_chunk",
        "_incarnation",
        "_kept",
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
        self._kept: list[bytes] | None = [] if is_keyed else None
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
        """Dispatch until an engine begins its events; None when one did.

        Otherwise return what the caller gets in place of events.
        """
        while isinstance(verdict, Dispatch):
            try:
                head = await self._start(verdict)
                if head.headers.get("content-type", "").startswith(EVENT_STREAM):
                    return None
                return await self._read_plain(head)
            except DispatchFailedError as error:
                verdict = await self._fail(verdict, error)
        if isinstance(verdict, Refuse):
            self.is_over = True
            return self.attempts.check_refusal(verdict)
        self.is_over = True
        return verdict

    async def read(self) -> bytes:
        """Return bytes of whole events for the caller; call until `is_over`."""
        assert self._engine is not None
        try:
            if self._failure is not None:
                raise self._failure
            events = await self._engine.read()
            return self._take(events) if events else HEARTBEAT
        except DispatchFailedError as error:
            self._failure = None
            return await self._go_on_elsewhere(error)

    def give_up(self, text: str) -> None:
        """Give the request up: tell the engine and the core, add a last event."""
        if self.is_over:
            return
        engine, self._engine = self._engine, None
        if engine is not None:
            # Never NOT_SENT here: the core would try again for nobody.
            self.attempts.report_end(self._build_outcome(DispatchEnding.CANCELLED))
            self._spawn(engine.cancel)
        self._end(self._build_incomplete(text))

    async def close(self) -> None:
        """Lend the engine's connection back, or close it."""
        engine, self._engine = self._engine, None
        if engine is not None:
            await engine.close()

    async def _start(self, dispatch: Dispatch) -> ResponseHead:
        request = self.attempts.request
        self._dispatch = dispatch
        if self._weights_version not in ("", dispatch.weights_version):
            # What was already said belongs to one version and goes on under none
            # other; before the first event any version will do.
            text = "the dispatch is for other weights"
            raise DispatchFailedError(DispatchEnding.NOT_SENT, text)
        is_stream = not self._call.is_plain_only or self._call.is_stream
        self._engine = EngineStream(
            self._pool,
            self._limits,
            dispatch,
            request.request_id,
            watch=self._watch,
            on_send=self.attempts.note_sending,
            is_plain=not is_stream,
        )
        body = render_engine_body(self._call, is_stream, self.text, self._tokens)
        self.attempts.begin()
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
        """Read an answer that isn't events: a plain one, or a 4xx."""
        assert self._engine is not None
        body = await self._engine.read_rest()
        self._incarnation = self._engine.incarnation
        content_type = head.headers.get("content-type", "application/json")
        self._tell_first_token()
        self.is_over = True
        kept = CachedAnswer(head.status, content_type, body)
        self._report_completed(kept)
        return Response(head.status, {"content-type": content_type}, body)

    def _take(self, events: list[Event]) -> bytes:
        """Return new events with numbers, after keeping them."""
        assert self._engine is not None
        self._incarnation = self._engine.incarnation
        self._weights_version = self._engine.weights_version
        self._longest_pause_ms = self._engine.longest_pause_ms
        if self.first_token_ms is None:
            self._tell_first_token()
        parts: list[bytes] = []
        for event in events:
            if event.is_done():
                self._take_end(parts)
                break
            try:
                self._read_event(event)
            except EventError as error:
                # The events before it are kept and counted already: the caller would
                # miss them, so the failure waits for the next read.
                self._failure = DispatchFailedError(DispatchEnding.FAILED, str(error))
                break
            parts.append(self._keep(event.data))
        return parts[0] if len(parts) == 1 else b"".join(parts) or HEARTBEAT

    def _take_end(self, parts: list[bytes]) -> None:
        """End the stream, unless its last event is missing.

        The mark of the end has no number, so a gap just before it shows only by the
        missing reason; the stream would pass for whole without its end.
        """
        assert self._engine is not None
        if self.finish_reason is None:
            self._engine.doubt_end()
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
            if len(self._text) >= _JOIN_TEXTS:
                # Many short strings take ten times the memory of one.
                self._text = ["".join(self._text)]
            self._tokens += 1
        if chunk.choices and chunk.choices[0].finish_reason:
            self.finish_reason = chunk.choices[0].finish_reason
        self.last_chunk = chunk

    def _keep(self, data: bytes, name: bytes = b"") -> bytes:
        rendered = render_event(self.buffer.next_number, data, name)
        self.buffer.append(rendered)
        if self._kept is not None:
            self._kept.append(rendered)
        return rendered

    def _finish(self, parts: list[bytes]) -> None:
        self.is_over = True
        parts.append(self._keep(b"[DONE]"))
        if self._call.is_stream:
            body = b"".join(self._kept or ())
            self._report_completed(CachedAnswer(200, EVENT_STREAM, body))

    def report_gathered(self, answer: CachedAnswer) -> None:
        """Report the end of an answer that was gathered from events."""
        self._report_completed(answer)

    def _report_completed(self, kept: CachedAnswer | None) -> None:
        outcome = self._build_outcome(DispatchEnding.COMPLETED)
        if self._kept is not None:
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

    def _tell_first_token(self) -> None:
        self.first_token_ms = self.attempts.find_elapsed_ms()
        self.attempts.tell_first_token()

    async def _fail(
        self, dispatch: Dispatch, error: DispatchFailedError
    ) -> Dispatch | Refuse | Replay:
        """Drop the failed exchange and ask the core what to do next."""
        engine, self._engine = self._engine, None
        if engine is not None:
            # The caller may leave at any moment and come back. Left half done, this
            # would leave neither an engine to read from nor a report to the core.
            with trio.CancelScope(shield=True):
                await engine.abandon()
        verdict = await self.attempts.report_failure(
            dispatch, error.ending, error.text, self._weights_version
        )
        # What goes on computing there is for nobody. A try that comes back to the
        # same engine bears the same name, and would be cancelled with the old one.
        is_elsewhere = getattr(verdict, "address", "") != dispatch.address
        if engine is not None and is_elsewhere and self.attempts.is_repeatable():
            self._spawn(engine.cancel)
        return verdict

    async def _go_on_elsewhere(self, error: DispatchFailedError) -> bytes:
        """Continue a begun stream on another engine, or end it as incomplete."""
        assert self._dispatch is not None
        if self._is_all_generated():
            # Only the mark of the end is missing, and the node can give that itself.
            with trio.CancelScope(shield=True):
                await self.close()
            return self._finish_locally()
        verdict = await self._fail(self._dispatch, error)
        while isinstance(verdict, Dispatch):
            if not self._can_go_on():
                self._decline(verdict)
                return self._end(self._build_incomplete(error.text))
            try:
                await self._start_again(verdict)
                return HEARTBEAT
            except DispatchFailedError as next_error:
                verdict = await self._fail(verdict, next_error)
        if isinstance(verdict, Refuse):
            return self._end(verdict)
        return self._end(self._build_incomplete(error.text))

    async def _start_again(self, dispatch: Dispatch) -> None:
        head = await self._start(dispatch)
        if not head.headers.get("content-type", "").startswith(EVENT_STREAM):
            raise DispatchFailedError(DispatchEnding.FAILED, f"status {head.status}")

    def _can_go_on(self) -> bool:
        """Tell whether prompt and text so far say all that another engine needs."""
        return self.attempts.is_repeatable() and not self._call.is_plain_only

    def _is_all_generated(self) -> bool:
        """Tell whether only the mark of the end is missing."""
        # With several choices, or an unknown number, the end of one is not that of all.
        return self.finish_reason is not None and self._call.choices == 1

    def _finish_locally(self) -> bytes:
        parts: list[bytes] = []
        self._finish(parts)
        return b"".join(parts)

    def _decline(self, dispatch: Dispatch) -> None:
        request_id = self.attempts.request.request_id
        self.attempts.report_end(
            Outcome(request_id, dispatch.endpoint, DispatchEnding.CANCELLED)
        )

    def _build_incomplete(self, text: str) -> Refuse:
        return self.attempts.build_incomplete_refusal(text)

    def _end(self, refusal: Refuse) -> bytes:
        """End with an error event, so that a caller can tell a cut from an end."""
        self.is_over = True
        self.refusal = refusal
        body = render_refusal(self._build_incomplete(refusal.text)).body
        return self._keep(body, b"error")
