"""Client for one dispatch to an engine; resumes its stream on new connections."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import trio

from toucanyard.names import Incarnation, RequestId
from toucanyard.options import StreamLimits
from toucanyard.requests import Dispatch, DispatchEnding
from toucanyard_node.connection_pool import ConnectionPool
from toucanyard_node.exchange import (
    REFUSAL_STATUSES,
    DispatchFailedError,
    check_response_id,
    find_incarnation,
    is_refusal_without_id,
)
from toucanyard_node.http_client import (
    ConnectionFailedError,
    Headers,
    HttpConnection,
    ResponseHead,
)
from toucanyard_node.idle_watch import IdleTimer, IdleWatch
from toucanyard_node.sse import Event, EventError, EventParser

_PAUSE_FACTOR: Final = 1.5
"""Idle timeout of a stream as a multiple of its longest pause so far."""


class EngineStream:
    """Read the numbered events of one dispatch, each once and in order.

    Invariants: `last_number` is the last event returned; all events come from one
    incarnation and one weights version of the engine; a connection is returned to the
    pool only after its response was read completely.
    """

    __slots__ = (
        "_stream_fault",
        "_connection",
        "_cutter",
        "_dispatch",
        "_head_timeout_ms",
        "_is_reused",
        "_limits",
        "_on_send",
        "_pool",
        "_resume_count",
        "_timer",
        "_watch",
        "incarnation",
        "is_done",
        "is_sent",
        "last_number",
        "longest_pause_ms",
        "request_id",
        "weights_version",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        limits: StreamLimits,
        dispatch: Dispatch,
        request_id: RequestId,
        watch: IdleWatch,
        on_send: Callable[[], None],
        is_plain: bool = False,
    ) -> None:
        # A plain response has no heartbeats: only the deadline bounds the wait.
        self._head_timeout_ms = math.inf if is_plain else dispatch.silence_ms
        self._watch = watch
        self._timer: IdleTimer | None = None
        self._on_send = on_send
        self._pool = pool
        self._limits = limits
        self._dispatch = dispatch
        self._connection: HttpConnection | None = None
        self._cutter = EventParser()
        self._is_reused = False
        self._resume_count = 0
        self._stream_fault = ""
        self.longest_pause_ms = 0.0
        self.request_id = request_id
        self.incarnation: Incarnation | None = None
        self.weights_version = dispatch.weights_version
        self.is_sent = False
        self.is_done = False
        self.last_number = -1

    async def open(
        self, path: str, headers: Headers, body: bytes, is_repeatable: bool
    ) -> ResponseHead:
        """Send the request and read the response head.

        Raise DispatchFailedError when the endpoint refused, failed or was lost.
        """
        head = await self._send(path, headers, body, is_repeatable)
        if head is None:
            # No response in time: resume from the start on a new connection.
            await self._resume("no answer")
            return ResponseHead(200, {"content-type": "text/event-stream"})
        self._check_head(head, self._is_reused)
        return head

    async def _send(
        self, path: str, headers: Headers, body: bytes, is_repeatable: bool
    ) -> ResponseHead | None:
        """Return the response head, or None after a timeout."""
        address = self._dispatch.address
        try:
            # A request that may run at most once never uses an idle connection: if
            # the connection turns out dead, whether the request ran is unknown.
            if is_repeatable:
                self._connection, self._is_reused = await self._pool.acquire(address)
            else:
                self._connection = await self._pool.open(address)
        except ConnectionFailedError as error:
            raise DispatchFailedError(DispatchEnding.NOT_SENT, str(error)) from error
        try:
            return await self._try_send(path, headers, body)
        except ConnectionFailedError as error:
            if not self._is_reused:
                ending = (
                    DispatchEnding.LOST if error.is_sent else DispatchEnding.NOT_SENT
                )
                raise DispatchFailedError(ending, str(error)) from error
        # The idle connection was dead. The request may be repeated, and this failure
        # doesn't count against the endpoint.
        await self.abandon()
        try:
            self._is_reused = False
            self._connection = await self._pool.open(address)
            return await self._try_send(path, headers, body)
        except ConnectionFailedError as error:
            raise DispatchFailedError(DispatchEnding.LOST, str(error)) from error

    async def _try_send(
        self, path: str, headers: Headers, body: bytes
    ) -> ResponseHead | None:
        assert self._connection is not None
        self._on_send()
        self.is_sent = True
        try:
            # A connection can also stall while a long prompt is sent, before the
            # response timeout starts; the request would wait until its deadline.
            stall_ms = max(self._limits.max_silence_ms, self._dispatch.silence_ms)
            await self._connection.send("POST", path, headers, body, stall_ms)
        except ConnectionFailedError as error:
            self.is_sent = error.is_sent
            raise
        with trio.move_on_after(self._head_timeout_ms / 1000):
            return await self._connection.read_head()
        return None

    def _check_head(self, head: ResponseHead, is_reused: bool) -> None:
        if not is_refusal_without_id(head) or is_reused:
            check_response_id(head, self.request_id)
        if head.status in REFUSAL_STATUSES:
            self.is_sent = False
            raise DispatchFailedError(DispatchEnding.REFUSED, f"status {head.status}")
        if head.status >= 500:
            raise DispatchFailedError(DispatchEnding.FAILED, f"status {head.status}")
        self.incarnation = find_incarnation(head)
        wanted = self._dispatch.weights_version
        self.weights_version = head.headers.get("x-weights-version", wanted)
        if wanted and self.weights_version != wanted:
            text = f"weights version {self.weights_version}"
            raise DispatchFailedError(DispatchEnding.FAILED, text)

    async def read(self) -> list[Event]:
        """Return the next new events; an empty list for a heartbeat.

        Raise DispatchFailedError when the stream can't be resumed.
        """
        sent_s = trio.current_time()
        while True:
            if self._stream_fault or self._connection is None:
                # There is no connection when the previous reader was cancelled while
                # it connected, because its caller disconnected.
                reason, self._stream_fault = self._stream_fault or "interrupted", ""
                self._check_sent(reason)
                await self._resume(reason)
            timer = self._timer or self._start_timer()
            timer.waiting_since_s = trio.current_time()
            try:
                chunk = await timer.connection.read_body_chunk()
                # Time in which a slow caller delays reading is not idle time.
                timer.waiting_since_s = math.inf
                if chunk is not None:
                    self._record_pause(sent_s)
                    return self._accept_chunk(chunk)
                reason = "ended early"
            except (ConnectionFailedError, EventError) as error:
                reason = "silent" if timer.has_expired else str(error)
            await self._resume(reason)

    def _check_sent(self, reason: str) -> None:
        """Raise DispatchFailedError when the request was never sent.

        An earlier attempt of the same request may have left a stream with the same id
        at this engine, which starts with events that the caller already has.
        """
        if not self.is_sent:
            raise DispatchFailedError(DispatchEnding.NOT_SENT, reason)

    def _start_timer(self) -> IdleTimer:
        assert self._connection is not None
        # The timeout doubles with each resume: an engine that is only slower than
        # before would otherwise use up its resumes within a few timeouts.
        silence_ms = max(
            self._dispatch.silence_ms, _PAUSE_FACTOR * self.longest_pause_ms
        )
        silence_ms *= 2**self._resume_count
        bound_ms = max(self._limits.max_silence_ms, self._dispatch.silence_ms)
        self._timer = IdleTimer(self._connection, min(silence_ms, bound_ms))
        self._watch.add(self._timer)
        return self._timer

    def _record_pause(self, sent_s: float) -> None:
        pause_ms = (trio.current_time() - sent_s) * 1000
        self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)

    def _detach_connection(self) -> HttpConnection | None:
        """Return the connection and stop watching it."""
        if self._timer is not None:
            self._watch.discard(self._timer)
            self._timer = None
        connection, self._connection = self._connection, None
        return connection

    def retry_end(self) -> None:
        """Make the next read resume the stream after the last number."""
        self.is_done = False
        self._stream_fault = "an end without the last event"

    def _accept_chunk(self, chunk: bytes) -> list[Event]:
        """Return the new events of a chunk, or raise EventError for a gap."""
        first = self.last_number
        new: list[Event] = []
        for event in self._cutter.feed(chunk):
            if event.is_done():
                self.is_done = True
                new.append(event)
                break
            problem = self._find_problem(event)
            if problem and not new:
                raise EventError(problem)
            if problem:
                # What came before it is good; the next read asks for the rest.
                self._stream_fault = problem
                break
            if event.number == self.last_number + 1:
                self.last_number += 1
                new.append(event)
        if self.last_number != first:
            self._resume_count = 0
        return new

    def _find_problem(self, event: Event) -> str:
        """Return why this event can't follow the last one, or an empty string."""
        if event.number is None:
            return "an event without a number"
        if event.number > self.last_number + 1:
            return f"event {event.number} after {self.last_number}"
        return ""

    async def _resume(self, reason: str) -> None:
        """Resume after the last number on a new connection.

        A connection can stall while the engine still works and accepts new ones, or
        the engine can have crashed; only a new connection distinguishes the two.
        """
        address = self._dispatch.address
        while True:
            self._resume_count += 1
            if self._resume_count > self._limits.max_resumes:
                raise DispatchFailedError(DispatchEnding.LOST, f"{reason}, not resumed")
            await self._pool.discard_idle(address)
            await self.abandon()
            self._cutter = EventParser()
            try:
                self._connection = await self._pool.open(address)
                with trio.fail_after(self._dispatch.silence_ms / 1000):
                    head = await self._send_resume(self._connection)
            except (ConnectionFailedError, trio.TooSlowError):
                continue
            self._check_resumed(head, reason)
            return

    async def _send_resume(self, connection: HttpConnection) -> ResponseHead:
        headers = (("Last-Event-ID", str(self.last_number)),)
        target = f"/v1/streams/{self.request_id}"
        await connection.send("GET", target, headers)
        return await connection.read_head()

    def _check_resumed(self, head: ResponseHead, reason: str) -> None:
        check_response_id(head, self.request_id)
        if head.status != 200:
            text = f"{reason}, then status {head.status}"
            raise DispatchFailedError(DispatchEnding.LOST, text)
        found = find_incarnation(head)
        known = self.incarnation or self._dispatch.expected_incarnation
        # A restarted engine has lost its streams: one with the same id there would be
        # a different stream, and joining it to the first would mix two responses.
        if known is not None and found != known:
            text = f"{reason}, then another incarnation"
            raise DispatchFailedError(DispatchEnding.LOST, text)
        self.incarnation = found
        version = head.headers.get("x-weights-version", self.weights_version)
        if version != self.weights_version and self.weights_version:
            text = f"{reason}, then other weights"
            raise DispatchFailedError(DispatchEnding.LOST, text)
        self.weights_version = version

    async def read_plain_body(self) -> bytes:
        """Return a complete plain body, or raise DispatchFailedError."""
        assert self._connection is not None
        try:
            body = await self._connection.read_body()
        except ConnectionFailedError as error:
            raise DispatchFailedError(DispatchEnding.LOST, str(error)) from error
        self.is_done = True
        return body

    async def close(self) -> None:
        """Release the connection; it can be reused after a complete response."""
        connection = self._detach_connection()
        if connection is None:
            return
        if self.is_done and not connection.is_reusable():
            await _read_end(connection)
        await self._pool.release(connection)

    async def cancel(self) -> None:
        """Close the connection and ask the engine to stop the computation."""
        await self.abandon()
        if not self.is_sent or self.is_done:
            return
        try:
            connection = await self._pool.open(self._dispatch.address)
            with trio.move_on_after(self._limits.connect_timeout_ms / 1000):
                await connection.send("DELETE", f"/v1/streams/{self.request_id}", ())
                await connection.read_head()
            await connection.close()
        except ConnectionFailedError:
            # An unreachable engine is either down or detects the disconnect itself.
            return

    async def abandon(self) -> None:
        """Close the connection without reusing it."""
        connection = self._detach_connection()
        if connection is not None:
            await connection.close()


async def _read_end(connection: HttpConnection) -> None:
    """Read the rest of a body after its last event; it's already in transit."""
    try:
        with trio.move_on_after(0.05):
            await connection.read_body_chunk()
    except ConnectionFailedError:
        return
