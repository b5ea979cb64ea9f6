"""Hold one dispatch to an engine, over as many connections as its stream takes."""

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
    REFUSING_STATUSES,
    DispatchFailedError,
    check_echo,
    find_incarnation,
    is_bare_refusal,
)
from toucanyard_node.http_client import (
    ConnectionFailedError,
    Headers,
    HttpConnection,
    ResponseHead,
)
from toucanyard_node.idle_watch import IdleTimer, IdleWatch
from toucanyard_node.sse import Event, EventError, EventParser

_PAUSES: Final = 1.5
"""How many of its longest pauses a stream is waited for before it is probed."""


class EngineStream:
    """Read the numbered events of one dispatch, each once and in order.

    Invariants: `last_number` is the last event handed out; all events come from one
    incarnation and one weights version of the engine; a connection is lent back only
    after its answer was read to the end.
    """

    __slots__ = (
        "_broken",
        "_connection",
        "_cutter",
        "_dispatch",
        "_head_timeout_ms",
        "_is_used",
        "_limits",
        "_on_send",
        "_pool",
        "_resumes",
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
        # An answer that isn't events has no heartbeats: only the deadline ends it.
        self._head_timeout_ms = math.inf if is_plain else dispatch.silence_ms
        self._watch = watch
        self._timer: IdleTimer | None = None
        self._on_send = on_send
        self._pool = pool
        self._limits = limits
        self._dispatch = dispatch
        self._connection: HttpConnection | None = None
        self._cutter = EventParser()
        self._is_used = False
        self._resumes = 0
        self._broken = ""
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
        """Send the request and read the answer's head.

        Raise DispatchFailedError when the endpoint refused, failed or was lost.
        """
        head = await self._send(path, headers, body, is_repeatable)
        if head is None:
            # No word at all in time: ask on a new connection for what it has.
            await self._resume("no answer")
            return ResponseHead(200, {"content-type": "text/event-stream"})
        self._check_head(head, self._is_used)
        return head

    async def _send(
        self, path: str, headers: Headers, body: bytes, is_repeatable: bool
    ) -> ResponseHead | None:
        """Return the head of the answer, or None after a silence."""
        address = self._dispatch.address
        try:
            # What may run once only never meets a connection that was idle: when
            # that one turns out dead, nobody could tell whether the request ran.
            if is_repeatable:
                self._connection, self._is_used = await self._pool.acquire(address)
            else:
                self._connection = await self._pool.open(address)
        except ConnectionFailedError as error:
            raise DispatchFailedError(DispatchEnding.NOT_SENT, str(error)) from error
        try:
            return await self._try_send(path, headers, body)
        except ConnectionFailedError as error:
            if not self._is_used:
                ending = (
                    DispatchEnding.LOST if error.is_sent else DispatchEnding.NOT_SENT
                )
                raise DispatchFailedError(ending, str(error)) from error
        # The idle connection had died unnoticed. The request may be repeated, and
        # the endpoint itself is under no suspicion yet.
        await self.abandon()
        try:
            self._is_used = False
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
            # A connection can go silent under a long prompt, too, where no time for
            # the answer runs yet; its request would wait for the deadline.
            stall_ms = max(self._limits.max_silence_ms, self._dispatch.silence_ms)
            await self._connection.send("POST", path, headers, body, stall_ms)
        except ConnectionFailedError as error:
            self.is_sent = error.is_sent
            raise
        with trio.move_on_after(self._head_timeout_ms / 1000):
            return await self._connection.read_head()
        return None

    def _check_head(self, head: ResponseHead, is_used: bool) -> None:
        if not is_bare_refusal(head) or is_used:
            check_echo(head, self.request_id)
        if head.status in REFUSING_STATUSES:
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

        Raise DispatchFailedError when the stream is lost for good.
        """
        asked_s = trio.current_time()
        while True:
            if self._broken or self._connection is None:
                # Without a connection: whoever read before was cancelled while it
                # connected, since its caller left.
                reason, self._broken = self._broken or "interrupted", ""
                self._check_sent(reason)
                await self._resume(reason)
            timer = self._timer or self._start_timer()
            timer.waiting_since_s = trio.current_time()
            try:
                part = await timer.connection.read_body_chunk()
                # While the caller is slow nobody reads, and that is no silence.
                timer.waiting_since_s = math.inf
                if part is not None:
                    self._note_pause(asked_s)
                    return self._take(part)
                reason = "ended early"
            except (ConnectionFailedError, EventError) as error:
                reason = "silent" if timer.has_expired else str(error)
            await self._resume(reason)

    def _check_sent(self, reason: str) -> None:
        """Raise DispatchFailedError when there can be no stream to go on with.

        An earlier try of the same request may have left one of the same name at this
        engine, which begins with what the caller already has.
        """
        if not self.is_sent:
            raise DispatchFailedError(DispatchEnding.NOT_SENT, reason)

    def _start_timer(self) -> IdleTimer:
        assert self._connection is not None
        # An engine that is merely slower than its history is probed ever more rarely;
        # at one fixed bound its probes would run out within a few bounds.
        silence_ms = max(self._dispatch.silence_ms, _PAUSES * self.longest_pause_ms)
        silence_ms *= 2**self._resumes
        bound_ms = max(self._limits.max_silence_ms, self._dispatch.silence_ms)
        self._timer = IdleTimer(self._connection, min(silence_ms, bound_ms))
        self._watch.add(self._timer)
        return self._timer

    def _note_pause(self, asked_s: float) -> None:
        pause_ms = (trio.current_time() - asked_s) * 1000
        self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)

    def _take_connection(self) -> HttpConnection | None:
        """Return the connection, which this stream reads no longer."""
        if self._timer is not None:
            self._watch.discard(self._timer)
            self._timer = None
        connection, self._connection = self._connection, None
        return connection

    def doubt_end(self) -> None:
        """Let the next read ask again for what follows the last number."""
        self.is_done = False
        self._broken = "an end without the last event"

    def _take(self, part: bytes) -> list[Event]:
        """Return the events that are new, or raise EventError for a gap."""
        first = self.last_number
        new: list[Event] = []
        for event in self._cutter.feed(part):
            if event.is_done():
                self.is_done = True
                new.append(event)
                break
            problem = self._find_problem(event)
            if problem and not new:
                raise EventError(problem)
            if problem:
                # What came before it is good; the next read asks for the rest.
                self._broken = problem
                break
            if event.number == self.last_number + 1:
                self.last_number += 1
                new.append(event)
        if self.last_number != first:
            self._resumes = 0
        return new

    def _find_problem(self, event: Event) -> str:
        """Return why events can't go on with this one; empty when they can."""
        if event.number is None:
            return "an event without a number"
        if event.number > self.last_number + 1:
            return f"event {event.number} after {self.last_number}"
        return ""

    async def _resume(self, reason: str) -> None:
        """Go on from the last number on a new connection.

        A connection can go silent for good while the engine works on and new ones
        work, and an engine can die; only a new connection tells these apart.
        """
        address = self._dispatch.address
        while True:
            self._resumes += 1
            if self._resumes > self._limits.max_resumes:
                raise DispatchFailedError(DispatchEnding.LOST, f"{reason}, not resumed")
            await self._pool.discard_idle(address)
            await self.abandon()
            self._cutter = EventParser()
            try:
                self._connection = await self._pool.open(address)
                with trio.fail_after(self._dispatch.silence_ms / 1000):
                    head = await self._ask_again(self._connection)
            except (ConnectionFailedError, trio.TooSlowError):
                continue
            self._check_resumed(head, reason)
            return

    async def _ask_again(self, connection: HttpConnection) -> ResponseHead:
        headers = (("Last-Event-ID", str(self.last_number)),)
        target = f"/v1/streams/{self.request_id}"
        await connection.send("GET", target, headers)
        return await connection.read_head()

    def _check_resumed(self, head: ResponseHead, reason: str) -> None:
        check_echo(head, self.request_id)
        if head.status != 200:
            text = f"{reason}, then status {head.status}"
            raise DispatchFailedError(DispatchEnding.LOST, text)
        found = find_incarnation(head)
        known = self.incarnation or self._dispatch.expected_incarnation
        # An engine that came back is empty: a stream of that name there would be
        # another one, and joining it to the first would mix two answers.
        if known is not None and found != known:
            text = f"{reason}, then another incarnation"
            raise DispatchFailedError(DispatchEnding.LOST, text)
        self.incarnation = found
        version = head.headers.get("x-weights-version", self.weights_version)
        if version != self.weights_version and self.weights_version:
            text = f"{reason}, then other weights"
            raise DispatchFailedError(DispatchEnding.LOST, text)
        self.weights_version = version

    async def read_rest(self) -> bytes:
        """Return a whole plain body, or raise DispatchFailedError."""
        assert self._connection is not None
        try:
            body = await self._connection.read_body()
        except ConnectionFailedError as error:
            raise DispatchFailedError(DispatchEnding.LOST, str(error)) from error
        self.is_done = True
        return body

    async def close(self) -> None:
        """Lend the connection back if its answer was whole, else close it."""
        connection = self._take_connection()
        if connection is None:
            return
        if self.is_done and not connection.is_reusable():
            await _read_end(connection)
        await self._pool.release(connection)

    async def cancel(self) -> None:
        """Close, and tell the engine to stop computing."""
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
            # Nobody there, so nobody computes; the engine also notices by itself.
            return

    async def abandon(self) -> None:
        """Close the connection; it is never used again."""
        connection = self._take_connection()
        if connection is not None:
            await connection.close()


async def _read_end(connection: HttpConnection) -> None:
    """Read the end of a body whose last event came; it's under way already."""
    try:
        with trio.move_on_after(0.05):
            await connection.read_body_chunk()
    except ConnectionFailedError:
        return
