"""Dispatch one relayed call to replicas and forward the answer unchanged.

A dispatch opens a new connection unless the core allows a kept one: an idle connection
may have been lost unnoticed, and a request written to it may or may not run. The core
decides which replica gets a call and whether it is retried on another. This module
reports the outcomes to the core and follows its verdicts.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec
import trio

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import RequestId
from toucanyard.relay_requests import (
    ForwardOutcome,
    RelayDispatch,
    RelayForward,
    RelayOutcome,
    RelayRequest,
    RelayVerdict,
)
from toucanyard.requests import DispatchEnding, Refuse
from toucanyard.stream_origins import StreamOrigin
from toucanyard_node.buffered_answer import AnswerLostError, BufferedAnswer
from toucanyard_node.event_splitter import EventSplitter
from toucanyard_node.forward_channel import ForwardClosedError
from toucanyard_node.forward_exchange import (
    ForwardedAnswer,
    Forwarder,
    ForwardFailedError,
)
from toucanyard_node.http_client import (
    MAX_BODY_BYTES,
    ConnectionFailedError,
    HttpConnection,
    ResponseHead,
    connect,
)
from toucanyard_node.http_exchange import CallResponder, HttpRequest
from toucanyard_node.relay_log import (
    log_ended,
    log_forward_ended,
    log_kept_closed,
    log_silent,
)
from toucanyard_node.relay_metrics import RelayMetrics
from toucanyard_node.relay_ports import AnswerFacts, CallCodec
from toucanyard_node.relay_task import RelayClient
from toucanyard_node.replica_connections import ReplicaConnections

STREAM_IDLE_FACTOR: Final = 2.5
"""Multiple of the route's longest gap after which a silent stream is resumed."""
MIN_STREAM_IDLE_MS: Final = 900.0
MISDIRECTED: Final = 421
FIRST_ERROR: Final = 400
SERVER_ERROR: Final = 500
EVENT_STREAM: Final = "text/event-stream"


class KeptConnectionClosedError(Exception):
    """A kept connection was closed before any byte of a call was sent on it."""


class RelayExchange:
    """Processing of one call from its arrival to its answer.

    Invariants: a caller gets one answer, started at most once. Each dispatch received
    from the core is reported to it exactly once, or the caller is reported as gone.
    """

    def __init__(
        self,
        client: RelayClient,
        codec: CallCodec,
        forwarder: Forwarder,
        http: HttpRequest,
        responder: CallResponder,
        request: RelayRequest,
        max_gap_ms: int,
        metrics: RelayMetrics,
        connections: ReplicaConnections,
    ) -> None:
        self._connections = connections
        self._kept_head: ResponseHead | None = None
        """Head of the answer after which the connection is kept."""
        self._client = client
        self._codec = codec
        self._forwarder = forwarder
        self._http = http
        self._responder = responder
        self._request = request
        self._max_gap_ms = max_gap_ms
        self._metrics = metrics
        self._splitter = EventSplitter(request.last_event_id)
        self._dispatch: RelayDispatch | RelayForward | None = None
        self._is_in_flight = False
        self._may_have_run = False
        self._first_ms: float | None = None
        """Time from the arrival of the call to the first event of its answer."""
        self._writing_since_ms: float | None = None
        """When the first event of the current dispatch arrived."""
        self._buffered_answer: BufferedAnswer | None = None
        self._origin: StreamOrigin | None = None
        """Where a stream began that a peer has passed on."""

    @property
    def request_id(self) -> RequestId:
        """Return the id of the call at this node."""
        return self._request.request_id

    @property
    def request(self) -> RelayRequest:
        """Return the call."""
        return self._request

    async def run(self) -> None:
        """Dispatch until there is an answer or a final refusal, and send that."""
        try:
            with trio.CancelScope(deadline=self._request.deadline_ms / 1000):
                await self._run()
                return
            await self._handle_deadline()
        finally:
            self._report_cancelled()

    async def _run(self) -> None:
        verdict: RelayVerdict | None = await self._client.decide(self._request)
        while isinstance(verdict, RelayDispatch | RelayForward):
            self._dispatch = verdict
            try:
                if isinstance(verdict, RelayDispatch):
                    await self._send_dispatch(verdict)
                else:
                    await self._send_forward(verdict)
            except (AnswerLostError, ForwardFailedError) as error:
                self._record_outcome(error.outcome)
                self._dispatch = None
                verdict = await self._client.report(error.outcome)
                continue
            return
        if isinstance(verdict, Refuse):
            await self._refuse(verdict)
        elif self._buffered_answer is not None:
            await self._send_whole(self._buffered_answer)

    def _record_outcome(self, outcome: RelayOutcome | ForwardOutcome) -> None:
        self._is_in_flight = False
        if outcome.ending not in (DispatchEnding.NOT_SENT, DispatchEnding.REFUSED):
            self._may_have_run = True

    def _report_cancelled(self) -> None:
        """Report a dispatch that has not ended as cancelled."""
        dispatch, self._dispatch = self._dispatch, None
        match dispatch:
            case RelayDispatch():
                outcome = self._build_outcome(
                    dispatch, DispatchEnding.CANCELLED, "nobody waits"
                )
                self._client.report_dispatch_ended(outcome)
                self._record_ended(dispatch, "given_up", 0)
            case RelayForward():
                self._end_forward(dispatch, DispatchEnding.CANCELLED, 0)

    async def _handle_deadline(self) -> None:
        """Refuse a call whose deadline passed; a started stream is cut off."""
        self._report_cancelled()
        if self._responder.is_started:
            return
        if self._may_have_run or self._is_in_flight:
            kind = ErrorKind.DEADLINE_EXCEEDED
            ending = Ending.UNKNOWN
        else:
            kind = ErrorKind.OVERLOADED
            ending = Ending.NOT_RUN
        text = "the time of the call is over"
        await self._refuse(Refuse(self._request.request_id, kind, ending, text, 200))

    async def _refuse(self, refusal: Refuse) -> None:
        if self._responder.is_started:
            # Closing lets the caller see that the stream is truncated.
            self._responder.close_after()
            return
        await self._responder.refuse(refusal, is_exact=True)

    async def _send_forward(self, forward: RelayForward) -> None:
        """Let a peer place the call and pass on its answer, or raise.

        Raises ForwardFailedError.
        """
        try:
            async with self._forwarder.open(
                forward, self._request, self._http, self._splitter.last_id
            ) as answer:
                self._is_in_flight = True
                await self._pass_on(forward, answer)
        except ForwardFailedError as error:
            outcome = msgspec.structs.replace(
                error.outcome,
                has_begun=self._responder.is_started,
                origin=self._origin,
            )
            self._log_forward(forward, outcome.ending.value, 0, outcome.text)
            raise ForwardFailedError(outcome) from error

    async def _pass_on(self, forward: RelayForward, answer: ForwardedAnswer) -> None:
        head = await answer.read_head()
        if not head.is_stream:
            body = await answer.read_body(MAX_BODY_BYTES)
            if self._responder.is_started:
                # A stream cannot be resumed with an answer that is not a stream.
                raise ForwardClosedError("no stream")
            self._end_forward(forward, DispatchEnding.COMPLETED, head.status)
            await self._responder.send(head.status, head.fields, body)
            return
        self._splitter.discard_partial_event()
        if not self._responder.is_started and not self._request.is_resumable:
            await self._responder.start(head.status, head.fields, head.origin)
        while (part := await answer.read_part()) is not None:
            events = self._splitter.push(part)
            if events:
                if not self._responder.is_started:
                    self._origin = head.origin
                    await self._responder.start(head.status, head.fields, head.origin)
                self._record_first_event(head.origin)
                await self._responder.write(events)
        if not self._responder.is_started:
            await self._responder.start(head.status, head.fields, head.origin)
        self._end_forward(forward, DispatchEnding.COMPLETED, head.status)
        await self._responder.finish()

    def _end_forward(
        self, forward: RelayForward, ending: DispatchEnding, status: int
    ) -> None:
        self._dispatch = None
        outcome = ForwardOutcome(self._request.request_id, forward.peer, ending)
        self._client.report_forward_ended(outcome)
        self._log_forward(forward, ending.value, status)

    def _log_forward(
        self, forward: RelayForward, ending: str, status: int, text: str = ""
    ) -> None:
        after_ms = trio.current_time() * 1000 - self._request.arrived_ms
        self._metrics.record_forward_ended(ending)
        log_forward_ended(self._request, forward, ending, status, after_ms, text)

    def _record_first_event(self, forwarded_origin: StreamOrigin | None = None) -> None:
        if self._first_ms is not None:
            return
        self._first_ms = trio.current_time() * 1000 - self._request.arrived_ms
        self._metrics.record_first_part(self._request, self._first_ms)
        self._client.report_first_event(self._request.request_id, forwarded_origin)

    async def _send_dispatch(self, dispatch: RelayDispatch) -> None:
        """Perform one dispatch and send its answer, or raise AnswerLostError."""
        self._writing_since_ms = None
        kept = None
        if dispatch.may_reuse:
            kept = await self._connections.take(dispatch.replica)
        if kept is not None:
            try:
                await self._use(dispatch, kept, is_kept=True)
                return
            except KeptConnectionClosedError as error:
                self._connections.stale_count += 1
                log_kept_closed(dispatch, str(error))
        await self._use(dispatch, await self._connect(dispatch))

    async def _connect(self, dispatch: RelayDispatch) -> HttpConnection:
        self._connections.opened_count += 1
        try:
            return await connect(dispatch.address, dispatch.connect_ms)
        except ConnectionFailedError as error:
            raise self._build_failure(
                dispatch, DispatchEnding.NOT_SENT, str(error), cause=error, is_dead=True
            ) from error

    async def _use(
        self,
        dispatch: RelayDispatch,
        connection: HttpConnection,
        *,
        is_kept: bool = False,
    ) -> None:
        """Perform a dispatch on a connection, then keep or close that."""
        self._kept_head = None
        try:
            self._check_withdrawn(dispatch)
            await self._exchange(dispatch, connection, is_kept=is_kept)
        finally:
            if self._kept_head is not None:
                self._connections.put(dispatch.replica, connection, self._kept_head)
            else:
                # Closing lets the replica stop work whose result is no longer needed.
                with trio.CancelScope(shield=True):
                    await connection.close()

    def _check_withdrawn(self, dispatch: RelayDispatch) -> None:
        """Raise AnswerLostError if the replica accepts no calls since the decision."""
        if self._client.is_withdrawn(dispatch):
            text = "withdrawn: the replica accepts no calls"
            raise self._build_failure(
                dispatch, DispatchEnding.NOT_SENT, text, is_withdrawn=True
            )

    async def _exchange(
        self, dispatch: RelayDispatch, connection: HttpConnection, *, is_kept: bool
    ) -> None:
        head = await self._read_head(dispatch, connection, is_kept=is_kept)
        facts = self._codec.read_answer(head)
        self._client.report_statement(
            dispatch.replica,
            facts.statement,
            ends_limit=dispatch.is_limited,
            ends_brittle=dispatch.is_brittle,
        )
        self._check_answer(dispatch, head, facts)
        is_stream = head.headers.get("content-type", "").startswith(EVENT_STREAM)
        if is_stream and head.status < SERVER_ERROR:
            await self._relay_stream(dispatch, connection, head, facts)
            return
        body = await self._read_whole(dispatch, connection)
        answer = BufferedAnswer(head.status, self._codec.filter_answer(head), body)
        if head.status >= SERVER_ERROR:
            self._buffered_answer = answer
            text = f"status {head.status}"
            raise self._build_failure(dispatch, DispatchEnding.FAILED, text, facts)
        if self._responder.is_started:
            # A stream cannot be resumed with an answer that is not a stream.
            raise self._build_failure(dispatch, DispatchEnding.LOST, "no stream", facts)
        is_error = head.status >= FIRST_ERROR
        self._complete(dispatch, facts, head, connection, is_inconclusive=is_error)
        await self._send_whole(answer)

    async def _read_head(
        self, dispatch: RelayDispatch, connection: HttpConnection, *, is_kept: bool
    ) -> ResponseHead:
        remaining_ms = int(self._request.deadline_ms - trio.current_time() * 1000)
        if remaining_ms <= 0:
            raise self._build_failure(
                dispatch, DispatchEnding.NOT_SENT, "the deadline passed"
            )
        headers = self._codec.build_headers(
            self._http, self._request, dispatch, remaining_ms, self._splitter.last_id
        )
        body = self._http.body
        if body or self._http.method not in ("GET", "HEAD", "DELETE"):
            headers = (*headers, ("Content-Length", str(len(body))))
        self._is_in_flight = True
        try:
            with trio.fail_after(dispatch.patience_ms / 1000):
                return await connection.send_and_read_head(
                    self._http.method, self._http.target, headers, body
                )
        except ConnectionFailedError as error:
            if is_kept and not error.is_sent:
                raise KeptConnectionClosedError(str(error)) from error
            ending = DispatchEnding.LOST if error.is_sent else DispatchEnding.NOT_SENT
            raise self._build_failure(
                dispatch, ending, str(error), cause=error
            ) from error
        except trio.TooSlowError as error:
            self._log_silent(dispatch, dispatch.patience_ms)
            text = f"no answer within {dispatch.patience_ms:.0f} ms"
            raise self._build_failure(dispatch, DispatchEnding.LOST, text) from error

    def _check_answer(
        self, dispatch: RelayDispatch, head: ResponseHead, facts: AnswerFacts
    ) -> None:
        """Raise AnswerLostError for an answer that must not be forwarded."""
        is_foreign = bool(facts.caller_id) and (
            facts.caller_id != self._request.caller_id
        )
        if is_foreign:
            raise self._build_failure(
                dispatch, DispatchEnding.LOST, "the answer is another's"
            )
        if head.status == MISDIRECTED:
            is_replaced = bool(facts.incarnation) and (
                facts.incarnation != dispatch.listed_as
            )
            raise AnswerLostError(
                RelayOutcome(
                    self._request.request_id,
                    dispatch.replica,
                    DispatchEnding.REFUSED,
                    text="another replica" if is_replaced else "other weights",
                    is_replaced=is_replaced,
                    has_other_weights=not is_replaced,
                    weights_version=facts.weights_version,
                )
            )
        if facts.is_not_run:
            text = f"turned away with {head.status}"
            raise self._build_failure(dispatch, DispatchEnding.REFUSED, text, facts)
        is_success = head.status < 300
        if is_success and not (facts.is_signed and facts.caller_id):
            raise self._build_failure(
                dispatch, DispatchEnding.LOST, "unsigned answer", facts
            )
        if "content-encoding" in head.headers:
            raise self._build_failure(
                dispatch, DispatchEnding.LOST, "encoded answer", facts
            )

    async def _read_whole(
        self, dispatch: RelayDispatch, connection: HttpConnection
    ) -> bytes:
        try:
            return await connection.read_body()
        except ConnectionFailedError as error:
            text = str(error)
            raise self._build_failure(
                dispatch, DispatchEnding.LOST, text, cause=error
            ) from error

    async def _relay_stream(
        self,
        dispatch: RelayDispatch,
        connection: HttpConnection,
        head: ResponseHead,
        facts: AnswerFacts,
    ) -> None:
        self._splitter.discard_partial_event()
        if not self._responder.is_started and not self._request.is_resumable:
            await self._start_answer(head, dispatch)
        while True:
            chunk = await self._read_stream_chunk(dispatch, connection, facts)
            if chunk is None:
                break
            events = self._splitter.push(chunk)
            if not events:
                continue
            if self._writing_since_ms is None:
                self._writing_since_ms = trio.current_time() * 1000
            if not self._responder.is_started:
                await self._start_answer(head, dispatch)
            self._record_first_event()
            await self._responder.write(events)
        has_events = self._writing_since_ms is not None
        self._check_stream_end(dispatch, head, facts, has_events=has_events)
        if not self._responder.is_started:
            await self._start_answer(head, dispatch)
        self._complete(
            dispatch, facts, head, connection, is_inconclusive=not has_events
        )
        await self._responder.finish()

    def _check_stream_end(
        self,
        dispatch: RelayDispatch,
        head: ResponseHead,
        facts: AnswerFacts,
        *,
        has_events: bool,
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
            dispatch, DispatchEnding.LOST, text, facts, is_closed=not head.is_framed()
        )

    async def _start_answer(self, head: ResponseHead, dispatch: RelayDispatch) -> None:
        headers = self._codec.filter_answer(head)
        origin = StreamOrigin(dispatch.service, dispatch.software_version)
        await self._responder.start(head.status, headers, origin)

    async def _read_stream_chunk(
        self, dispatch: RelayDispatch, connection: HttpConnection, facts: AnswerFacts
    ) -> bytes | None:
        timeout_ms = self._compute_idle_timeout(dispatch)
        try:
            with trio.fail_after(timeout_ms / 1000):
                return await connection.read_body_chunk()
        except ConnectionFailedError as error:
            raise self._build_failure(
                dispatch, DispatchEnding.LOST, str(error), facts, cause=error
            ) from error
        except trio.TooSlowError as error:
            self._log_silent(dispatch, timeout_ms)
            raise self._build_failure(
                dispatch, DispatchEnding.LOST, "silent", facts
            ) from error

    def _log_silent(self, dispatch: RelayDispatch, silent_ms: float) -> None:
        log_silent(
            self._request,
            dispatch,
            silent_ms,
            trio.current_time() * 1000 - self._request.arrived_ms,
            has_begun=self._responder.is_started,
            version=self._request.table_version,
        )

    def _compute_idle_timeout(self, dispatch: RelayDispatch) -> float:
        """Return the idle time after which a stream is resumed elsewhere, in ms."""
        if math.isinf(dispatch.patience_ms):
            return math.inf
        if self._first_ms is None:
            return dispatch.patience_ms
        return max(self._max_gap_ms * STREAM_IDLE_FACTOR, MIN_STREAM_IDLE_MS)

    def _build_failure(
        self,
        dispatch: RelayDispatch,
        ending: DispatchEnding,
        text: str,
        facts: AnswerFacts | None = None,
        *,
        cause: ConnectionFailedError | None = None,
        is_dead: bool = False,
        is_withdrawn: bool = False,
        is_closed: bool = False,
    ) -> AnswerLostError:
        outcome = self._build_outcome(
            dispatch, ending, text, facts, cause=cause, is_dead=is_dead
        )
        outcome = msgspec.structs.replace(
            outcome,
            is_withdrawn=is_withdrawn,
            is_closed=outcome.is_closed or is_closed,
        )
        self._record_ended(dispatch, ending.value, 0, text, is_closed=outcome.is_closed)
        return AnswerLostError(outcome)

    def _build_outcome(
        self,
        dispatch: RelayDispatch,
        ending: DispatchEnding,
        text: str,
        facts: AnswerFacts | None = None,
        *,
        cause: ConnectionFailedError | None = None,
        is_dead: bool = False,
    ) -> RelayOutcome:
        wrote_ms = None
        if self._writing_since_ms is not None:
            wrote_ms = trio.current_time() * 1000 - self._writing_since_ms
        return RelayOutcome(
            self._request.request_id,
            dispatch.replica,
            ending,
            text=text,
            is_dead=is_dead,
            has_no_listener=cause is not None and cause.has_no_listener,
            is_closed=cause is not None and cause.is_closed,
            has_begun=self._responder.is_started,
            weights_version=None if facts is None else facts.weights_version,
            wrote_ms=wrote_ms,
        )

    def _complete(
        self,
        dispatch: RelayDispatch,
        facts: AnswerFacts,
        head: ResponseHead,
        connection: HttpConnection,
        *,
        is_inconclusive: bool,
    ) -> None:
        self._dispatch = None
        if dispatch.may_keep and self._connections.may_keep(connection, head):
            self._kept_head = head
        outcome = self._build_outcome(dispatch, DispatchEnding.COMPLETED, "", facts)
        outcome = msgspec.structs.replace(
            outcome,
            is_unframed=not head.is_framed(),
            is_inconclusive=is_inconclusive,
            is_kept=self._kept_head is not None,
        )
        self._client.report_dispatch_ended(outcome)
        text = "" if head.is_framed() else "ended with its connection"
        self._record_ended(dispatch, "answered", head.status, text)

    def _record_ended(
        self,
        dispatch: RelayDispatch,
        ending: str,
        status: int,
        text: str = "",
        *,
        is_closed: bool = False,
    ) -> None:
        after_ms = trio.current_time() * 1000 - self._request.arrived_ms
        self._metrics.record_dispatch_ended(self._request, ending, after_ms)
        log_ended(
            self._request,
            dispatch,
            ending,
            status,
            after_ms,
            self._first_ms,
            text,
            is_closed=is_closed,
        )

    async def _send_whole(self, answer: BufferedAnswer) -> None:
        if self._responder.is_started:
            self._responder.close_after()
            return
        await self._responder.send(answer.status, answer.headers, answer.body)
