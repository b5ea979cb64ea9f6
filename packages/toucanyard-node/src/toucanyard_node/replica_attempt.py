"""Perform one dispatch of a call on a replica and forward its answer.

A dispatch opens a new connection unless the core allows a kept one: an idle connection
may have been lost unnoticed, and a request written to it may or may not run.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec
import trio

from toucanyard.relay_requests import RelayDispatch, RelayOutcome
from toucanyard.requests import DispatchEnding
from toucanyard.stream_origins import StreamOrigin
from toucanyard_node.buffered_answer import AnswerLostError, BufferedAnswer
from toucanyard_node.event_splitter import EventSplitter
from toucanyard_node.held_bytes import ByteBoundError, ReceivedBytes
from toucanyard_node.http_client import (
    BodyTooLargeError,
    ConnectionFailedError,
    HttpConnection,
    ResponseHead,
    ResponseTooLargeError,
    connect,
)
from toucanyard_node.relay_attempt import RelayAttempt, RelayedCall
from toucanyard_node.relay_log import log_ended, log_kept_closed
from toucanyard_node.relay_ports import AnswerFacts, CallCodec
from toucanyard_node.replica_connections import ReplicaConnections

STREAM_IDLE_FACTOR: Final = 2.5
"""Multiple of the route's longest gap after which a silent stream is hedged."""
MIN_STREAM_IDLE_MS: Final = 900.0
ERROR_BODY_MS: Final = 300.0
"""How long the body of an error response may delay the retry of its call."""
NO_CONTENT: Final = 204
MISDIRECTED: Final = 421
FIRST_ERROR: Final = 400
SERVER_ERROR: Final = 500
EVENT_STREAM: Final = "text/event-stream"


class KeptConnectionClosedError(Exception):
    """A kept connection was closed before any byte of a call was sent on it."""


class ReplicaAttempt(RelayAttempt):
    """One dispatch and the connection on which it is performed."""

    __slots__ = (
        "_codec",
        "_connections",
        "_dispatch",
        "_kept_head",
        "_max_gap_ms",
        "_message",
        "_received",
        "_sent_ms",
        "_splitter",
        "_work_bytes",
        "_writing_since_ms",
    )

    def __init__(
        self,
        call: RelayedCall,
        dispatch: RelayDispatch,
        codec: CallCodec,
        connections: ReplicaConnections,
        max_gap_ms: int,
        received: ReceivedBytes,
    ) -> None:
        super().__init__(call, dispatch.attempt)
        self._received = received
        limits = received.limits
        self._message = received.answers.open(dispatch.replica, limits.max_answer_bytes)
        """What this attempt holds of its answer."""
        self._sent_ms = trio.current_time() * 1000
        self._codec = codec
        self._connections = connections
        self._dispatch = dispatch
        self._max_gap_ms = max_gap_ms
        self._splitter = EventSplitter(call.last_event_id, limits.max_event_bytes)
        self._kept_head: ResponseHead | None = None
        """Head of the answer after which the connection is kept."""
        self._work_bytes = 0
        self._writing_since_ms: float | None = None
        """When the first event of this dispatch arrived."""

    @property
    def target(self) -> str:
        """Return the name of the replica."""
        return self._dispatch.replica

    async def run(self) -> None:
        """Perform the dispatch and send its answer, or raise AnswerLostError."""
        dispatch = self._dispatch
        kept = None
        if dispatch.may_reuse:
            kept = await self._connections.take(dispatch.replica)
        if kept is not None:
            try:
                await self._use(kept, is_kept=True)
                return
            except KeptConnectionClosedError as error:
                self._connections.stale_count += 1
                log_kept_closed(dispatch, str(error))
        await self._use(await self._connect())

    def build_cancelled(self) -> RelayOutcome:
        """Return the outcome of a dispatch that is cancelled."""
        return self._build_outcome(DispatchEnding.CANCELLED, "nobody waits")

    def record_cancelled(self, ending: str) -> None:
        """Log and count a dispatch that is cancelled."""
        self._record_ended(ending, 0)

    async def _connect(self) -> HttpConnection:
        dispatch = self._dispatch
        self._connections.opened_count += 1
        try:
            return await connect(dispatch.address, dispatch.connect_ms)
        except ConnectionFailedError as error:
            raise self._build_failure(
                DispatchEnding.NOT_SENT, str(error), cause=error, is_dead=True
            ) from error

    async def _use(self, connection: HttpConnection, *, is_kept: bool = False) -> None:
        """Perform the dispatch on a connection, then keep or close that."""
        self._kept_head = None
        self._sent_ms = trio.current_time() * 1000
        try:
            self._check_withdrawn()
            await self._exchange(connection, is_kept=is_kept)
        finally:
            self._message.release()
            if self._kept_head is not None:
                self._connections.put(
                    self._dispatch.replica, connection, self._kept_head
                )
            else:
                # Closing lets the replica stop work whose result is no longer needed.
                with trio.CancelScope(shield=True):
                    await connection.close()

    def _check_withdrawn(self) -> None:
        """Raise AnswerLostError if the replica accepts no calls since the decision."""
        if self._call.client.is_withdrawn(self._dispatch):
            text = "withdrawn: the replica accepts no calls"
            raise self._build_failure(DispatchEnding.NOT_SENT, text, is_withdrawn=True)

    async def _exchange(self, connection: HttpConnection, *, is_kept: bool) -> None:
        dispatch = self._dispatch
        head = await self._read_head(connection, is_kept=is_kept)
        facts = self._codec.read_answer(head)
        self._call.client.report_statement(
            dispatch.replica,
            facts.statement,
            ends_limit=dispatch.is_limited,
            ends_brittle=dispatch.is_brittle,
        )
        self._check_answer(head, facts)
        if _is_event_stream(head) and head.status < SERVER_ERROR:
            await self._relay_stream(connection, head, facts)
            return
        if head.status >= SERVER_ERROR:
            raise await self._read_error(connection, head, facts)
        body = await self._read_whole(connection)
        headers = self._codec.filter_answer(head)
        answer = BufferedAnswer(head.status, headers, body, dispatch.replica)
        if self._call.has_begun:
            # A stream cannot be resumed with an answer that is not a stream.
            raise self._build_failure(DispatchEnding.LOST, "no stream", facts)
        await self._call.claim(self)
        is_error = head.status >= FIRST_ERROR
        self._complete(facts, head, connection, is_inconclusive=is_error)
        await self._call.send_buffered(answer)

    async def _read_head(
        self, connection: HttpConnection, *, is_kept: bool
    ) -> ResponseHead:
        request, http = self._call.request, self._call.http
        remaining_ms = int(request.deadline_ms - trio.current_time() * 1000)
        if remaining_ms <= 0:
            raise self._build_failure(DispatchEnding.NOT_SENT, "the deadline passed")
        headers = self._codec.build_headers(
            http, request, self._dispatch, remaining_ms, self._splitter.last_id
        )
        if http.body or http.method not in ("GET", "HEAD", "DELETE"):
            headers = (*headers, ("Content-Length", str(len(http.body))))
        self.is_in_flight = True
        self._patience.restart(self._dispatch.patience_ms)
        try:
            head = await connection.send_and_read_head(
                http.method,
                http.target,
                headers,
                http.body,
                lambda: self._patience.wait(connection.read_head),
            )
        except ConnectionFailedError as error:
            if is_kept and not error.is_sent:
                raise KeptConnectionClosedError(str(error)) from error
            ending = DispatchEnding.LOST if error.is_sent else DispatchEnding.NOT_SENT
            raise self._build_failure(ending, str(error), cause=error) from error
        self._patience.restart(self._dispatch.patience_ms)
        return head

    def _check_answer(self, head: ResponseHead, facts: AnswerFacts) -> None:
        """Raise AnswerLostError for an answer that must not be forwarded."""
        is_foreign = bool(facts.caller_id) and (
            facts.caller_id != self._call.request.caller_id
        )
        if is_foreign:
            raise self._build_failure(DispatchEnding.LOST, "the answer is another's")
        if head.status == MISDIRECTED:
            raise self._build_misdirected(facts)
        if facts.is_not_run:
            text = f"turned away with {head.status}"
            raise self._build_failure(DispatchEnding.REFUSED, text, facts)
        is_success = head.status < 300
        if is_success and not (facts.is_signed and facts.caller_id):
            raise self._build_failure(DispatchEnding.LOST, "unsigned answer", facts)
        if "content-encoding" in head.headers:
            raise self._build_failure(DispatchEnding.LOST, "encoded answer", facts)
        is_whole = _shows_end(self._call.http.method, head)
        if is_success and self._call.request.is_stream and not is_whole:
            raise self._build_failure(
                DispatchEnding.LOST, "no stream, no length", facts
            )

    def _build_misdirected(self, facts: AnswerFacts) -> AnswerLostError:
        is_replaced = bool(facts.incarnation) and (
            facts.incarnation != self._dispatch.listed_as
        )
        text = "another replica" if is_replaced else "other weights"
        self._record_ended(DispatchEnding.REFUSED.value, 0, text)
        return AnswerLostError(
            RelayOutcome(
                self._call.request.request_id,
                self._dispatch.replica,
                DispatchEnding.REFUSED,
                text=text,
                is_replaced=is_replaced,
                has_other_weights=not is_replaced,
                weights_version=facts.weights_version,
                attempt=self.number,
            )
        )

    async def _read_error(
        self, connection: HttpConnection, head: ResponseHead, facts: AnswerFacts
    ) -> AnswerLostError:
        """Keep an error response, whose status says enough; return the failure."""
        body = b""
        text = f"status {head.status}"
        cause: ConnectionFailedError | None = None
        limits = self._received.limits
        with trio.move_on_after(ERROR_BODY_MS / 1000) as scope:
            try:
                body = await connection.read_body(limits.max_error_bytes, self._message)
            except ResponseTooLargeError as error:
                cause = error
                text += f", {error}"
            except ConnectionFailedError as error:
                return self._build_failure(
                    DispatchEnding.LOST, str(error), facts, cause=error
                )
        if scope.cancelled_caught:
            text += ", no end of its body in time"
        headers = self._codec.filter_answer(head)
        self._message.release()
        self._call.keep_error(
            BufferedAnswer(head.status, headers, body, self._dispatch.replica),
            self._received.answers.open(self.target, limits.max_error_bytes),
        )
        return self._build_failure(DispatchEnding.FAILED, text, facts, cause=cause)

    async def _read_whole(self, connection: HttpConnection) -> bytes:
        max_bytes = self._received.limits.max_answer_bytes
        try:
            return await self._patience.wait(
                lambda: connection.read_body(max_bytes, self._message)
            )
        except ConnectionFailedError as error:
            raise self._build_failure(
                DispatchEnding.LOST, str(error), cause=error
            ) from error

    async def _relay_stream(
        self, connection: HttpConnection, head: ResponseHead, facts: AnswerFacts
    ) -> None:
        call = self._call
        if not call.may_wait_for_event():
            await self._start_answer(head)
        while True:
            chunk = await self._read_stream_chunk(connection, facts)
            if chunk is None:
                break
            events = self._split(connection, chunk, facts)
            if not events:
                continue
            if not self._splitter.has_event:
                await self._pass_on_comments(events, self._splitter.last_id)
                continue
            if self._writing_since_ms is None:
                self._writing_since_ms = trio.current_time() * 1000
            if not call.has_begun:
                await self._start_answer(head)
            events = self._take_comments() + events
            await call.write(self, events, self._splitter.last_id)
            self._patience.restart(self._compute_idle_timeout())
        has_events = self._writing_since_ms is not None
        self._check_stream_end(head, facts, has_events=has_events)
        if not call.has_begun:
            await self._start_answer(head)
        await call.claim(self)
        last_id = self._splitter.last_id
        await call.write_comments(self, self._take_comments(), last_id)
        self._complete(facts, head, connection, is_inconclusive=not has_events)
        await call.finish()

    def _check_stream_end(
        self, head: ResponseHead, facts: AnswerFacts, *, has_events: bool
    ) -> None:
        """Raise AnswerLostError if the end of a stream is not the end of its answer.

        Without length or chunks, a replica that ends closes the stream as well.
        """
        if self._splitter.has_partial_event():
            text = "cut inside an event"
        elif not has_events and not head.is_framed():
            text = "closed before an event"
        else:
            return
        raise self._build_failure(
            DispatchEnding.LOST, text, facts, is_closed=not head.is_framed()
        )

    async def _start_answer(self, head: ResponseHead) -> None:
        dispatch = self._dispatch
        headers = self._codec.filter_answer(head)
        origin = StreamOrigin(dispatch.service, dispatch.software_version)
        self._call.set_source(dispatch.replica)
        await self._call.start(self, head.status, headers, origin)

    async def _read_stream_chunk(
        self, connection: HttpConnection, facts: AnswerFacts
    ) -> bytes | None:
        try:
            return await self._patience.wait(connection.read_body_chunk)
        except ConnectionFailedError as error:
            raise self._build_failure(
                DispatchEnding.LOST, str(error), facts, cause=error
            ) from error

    def _split(
        self, connection: HttpConnection, chunk: bytes, facts: AnswerFacts
    ) -> bytes:
        """Return the events and comments that a part of a stream completes."""
        work_bytes = connection.body_work_bytes - self._work_bytes
        self._work_bytes = connection.body_work_bytes
        try:
            events = self._splitter.push(chunk, work_bytes)
            comment_bytes = 0
            if not self._splitter.has_event:
                comment_bytes = len(self._comments) + len(events)
            self._hold(self._splitter.partial_bytes + comment_bytes)
        except ByteBoundError as error:
            cause = BodyTooLargeError(error.bound, error.received_bytes)
            raise self._build_failure(
                DispatchEnding.LOST, str(cause), facts, cause=cause
            ) from error
        return events

    def _hold(self, size_bytes: int) -> None:
        """Count what is held of a stream, or raise ByteBoundError."""
        if size_bytes != self._message.size_bytes:
            self._message.release()
            self._message.add(size_bytes)

    def _compute_idle_timeout(self) -> float:
        """Return the idle time after which a stream is hedged elsewhere, in ms."""
        patience_ms = self._dispatch.patience_ms
        if math.isinf(patience_ms) or self._call.first_ms is None:
            return patience_ms
        return max(self._max_gap_ms * STREAM_IDLE_FACTOR, MIN_STREAM_IDLE_MS)

    def _build_failure(
        self,
        ending: DispatchEnding,
        text: str,
        facts: AnswerFacts | None = None,
        *,
        cause: ConnectionFailedError | None = None,
        is_dead: bool = False,
        is_withdrawn: bool = False,
        is_closed: bool = False,
    ) -> AnswerLostError:
        outcome = self._build_outcome(ending, text, facts, cause=cause, is_dead=is_dead)
        outcome = msgspec.structs.replace(
            outcome,
            is_withdrawn=is_withdrawn,
            is_closed=outcome.is_closed or is_closed,
        )
        self._record_ended(ending.value, 0, text, is_closed=outcome.is_closed)
        if isinstance(cause, ResponseTooLargeError):
            self._record_over_bound(cause.bound, cause.received_bytes, self._sent_ms)
        return AnswerLostError(outcome)

    def _build_outcome(
        self,
        ending: DispatchEnding,
        text: str,
        facts: AnswerFacts | None = None,
        *,
        cause: ConnectionFailedError | None = None,
        is_dead: bool = False,
    ) -> RelayOutcome:
        bound = cause.bound if isinstance(cause, ResponseTooLargeError) else None
        wrote_ms = None
        if self._writing_since_ms is not None:
            wrote_ms = trio.current_time() * 1000 - self._writing_since_ms
        return RelayOutcome(
            self._call.request.request_id,
            self._dispatch.replica,
            ending,
            text=text,
            is_dead=is_dead,
            has_no_listener=cause is not None and cause.has_no_listener,
            is_closed=cause is not None and cause.is_closed,
            has_begun=self._call.has_begun,
            weights_version=None if facts is None else facts.weights_version,
            broken_bound="" if bound is None else bound.value,
            is_shared_bound=bound is not None and bound.is_shared(),
            wrote_ms=wrote_ms,
            attempt=self.number,
        )

    def _complete(
        self,
        facts: AnswerFacts,
        head: ResponseHead,
        connection: HttpConnection,
        *,
        is_inconclusive: bool,
    ) -> None:
        if self._dispatch.may_keep and self._connections.may_keep(connection, head):
            self._kept_head = head
        outcome = self._build_outcome(DispatchEnding.COMPLETED, "", facts)
        outcome = msgspec.structs.replace(
            outcome,
            is_unframed=not head.is_framed(),
            is_inconclusive=is_inconclusive,
            is_kept=self._kept_head is not None,
        )
        self._call.complete(outcome)
        text = "" if head.is_framed() else "ended with its connection"
        self._record_ended("answered", head.status, text)

    def _record_ended(
        self,
        ending: str,
        status: int,
        text: str = "",
        *,
        is_closed: bool = False,
    ) -> None:
        after_ms = self._call.compute_elapsed()
        self._call.metrics.record_dispatch_ended(self._call.request, ending, after_ms)
        log_ended(
            self._call.request,
            self._dispatch,
            ending,
            status,
            after_ms,
            self._call.first_ms,
            text,
            is_closed=is_closed,
        )


def _is_event_stream(head: ResponseHead) -> bool:
    return head.headers.get("content-type", "").lower().startswith(EVENT_STREAM)


def _shows_end(method: str, head: ResponseHead) -> bool:
    """Return whether the end of a stream's answer can be told from a failure.

    Without events, a length or chunks, the end of the connection is all there is.
    """
    has_body = method != "HEAD" and head.status != NO_CONTENT
    return not has_body or _is_event_stream(head) or head.is_framed()
