"""Carry one relayed call through its dispatches and pass its answer on unchanged.

Each dispatch has a connection of its own: one that was idle may have gone silent, and
what is written to it may or may not run. The core decides where a call goes and whether
it goes on elsewhere; this module tells it what was seen and keeps to what it says.
"""

from __future__ import annotations

import math
from typing import Final

import trio

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.relay_events import ReplicaLimitSeen
from toucanyard.relay_requests import (
    RelayDispatch,
    RelayOutcome,
    RelayRequest,
    RelayVerdict,
)
from toucanyard.requests import DispatchEnding, Refuse
from toucanyard_node.event_splitter import EventSplitter
from toucanyard_node.held_answer import AnswerLostError, HeldAnswer
from toucanyard_node.http_client import (
    ConnectionFailedError,
    HttpConnection,
    ResponseHead,
    connect,
)
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.refusals import render_refusal
from toucanyard_node.relay_lines import log_ended
from toucanyard_node.relay_metrics import RelayMetrics
from toucanyard_node.relay_ports import AnswerFacts, CallCodec
from toucanyard_node.relay_task import RelayClient

GAP_PATIENCE: Final = 2.5
"""Longest pauses after which a silent stream that may be resumed is."""
MIN_GAP_MS: Final = 900.0
MISDIRECTED: Final = 421
SERVER_ERROR: Final = 500
EVENT_STREAM: Final = "text/event-stream"


class RelayExchange:
    """One call from its arrival to its answer.

    Invariants: a caller gets one answer, begun at most once; a dispatch that the core
    gave is reported to it exactly once, or the caller is said to have left.
    """

    def __init__(
        self,
        client: RelayClient,
        codec: CallCodec,
        http: HttpRequest,
        responder: Responder,
        request: RelayRequest,
        last_event_id: str,
        max_gap_ms: int,
        metrics: RelayMetrics,
    ) -> None:
        self._client = client
        self._codec = codec
        self._http = http
        self._responder = responder
        self._request = request
        self._max_gap_ms = max_gap_ms
        self._metrics = metrics
        self._splitter = EventSplitter(last_event_id)
        self._dispatch: RelayDispatch | None = None
        self._is_in_flight = False
        self._may_have_run = False
        self._first_ms: float | None = None
        """From the call's arrival to the first part of its answer."""
        self._held: HeldAnswer | None = None

    async def run(self) -> None:
        """Dispatch until there is an answer or a final refusal, and send it."""
        try:
            with trio.CancelScope(deadline=self._request.deadline_ms / 1000):
                await self._run()
                return
            await self._end_late()
        finally:
            self._give_up()

    async def _run(self) -> None:
        verdict: RelayVerdict | None = await self._client.decide(self._request)
        while isinstance(verdict, RelayDispatch):
            self._dispatch = verdict
            try:
                await self._try(verdict)
            except AnswerLostError as error:
                self._settle(error.outcome)
                verdict = await self._client.report(error.outcome)
                self._dispatch = verdict if isinstance(verdict, RelayDispatch) else None
                continue
            return
        if isinstance(verdict, Refuse):
            await self._refuse(verdict)
        elif self._held is not None:
            await self._send_whole(self._held)

    def _settle(self, outcome: RelayOutcome) -> None:
        self._is_in_flight = False
        if outcome.ending not in (DispatchEnding.NOT_SENT, DispatchEnding.REFUSED):
            self._may_have_run = True

    def _give_up(self) -> None:
        """Tell the core that a dispatch without an end is over."""
        dispatch, self._dispatch = self._dispatch, None
        if dispatch is not None:
            outcome = self._build(dispatch, DispatchEnding.CANCELLED, "nobody waits")
            self._client.tell_ended(outcome)
            self._note_ended(dispatch, "given_up", 0)

    async def _end_late(self) -> None:
        """Answer a call whose time is over; a stream that has begun is cut."""
        self._give_up()
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
            # The caller must see that the stream is cut, not that it ended.
            self._responder.close_after()
            return
        rendered = render_refusal(refusal, is_exact=True)
        await self._responder.send(rendered.status, rendered.headers, rendered.body)

    async def _try(self, dispatch: RelayDispatch) -> None:
        """Make one dispatch and send its answer, or raise AnswerLostError."""
        try:
            connection = await connect(dispatch.address, dispatch.connect_ms)
        except ConnectionFailedError as error:
            raise self._lose(
                dispatch, DispatchEnding.NOT_SENT, str(error), cause=error, is_dead=True
            ) from error
        try:
            await self._exchange(dispatch, connection)
        finally:
            # Closing tells the replica to stop work that nobody waits for.
            with trio.CancelScope(shield=True):
                await connection.close()

    async def _exchange(
        self, dispatch: RelayDispatch, connection: HttpConnection
    ) -> None:
        head = await self._read_head(dispatch, connection)
        facts = self._codec.read_answer(head)
        self._note_limit(dispatch, facts)
        self._check(dispatch, head, facts)
        is_stream = head.headers.get("content-type", "").startswith(EVENT_STREAM)
        if is_stream and head.status < SERVER_ERROR:
            await self._relay(dispatch, connection, head, facts)
            return
        body = await self._read_whole(dispatch, connection)
        held = HeldAnswer(head.status, self._codec.filter_answer(head), body)
        if head.status >= SERVER_ERROR:
            self._held = held
            text = f"status {head.status}"
            raise self._lose(dispatch, DispatchEnding.FAILED, text, facts)
        if self._responder.is_started:
            # A stream can't go on with something that is none.
            raise self._lose(dispatch, DispatchEnding.LOST, "no stream", facts)
        self._complete(dispatch, facts, head.status)
        await self._send_whole(held)

    async def _read_head(
        self, dispatch: RelayDispatch, connection: HttpConnection
    ) -> ResponseHead:
        left_ms = int(self._request.deadline_ms - trio.current_time() * 1000)
        if left_ms <= 0:
            raise self._lose(dispatch, DispatchEnding.NOT_SENT, "the deadline passed")
        headers = self._codec.build_headers(
            self._http, self._request, dispatch, left_ms, self._splitter.last_id
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
            ending = DispatchEnding.LOST if error.is_sent else DispatchEnding.NOT_SENT
            raise self._lose(dispatch, ending, str(error), cause=error) from error
        except trio.TooSlowError as error:
            text = f"no answer within {dispatch.patience_ms:.0f} ms"
            raise self._lose(dispatch, DispatchEnding.LOST, text) from error

    def _note_limit(self, dispatch: RelayDispatch, facts: AnswerFacts) -> None:
        """Tell the core of a limit that a replica names, or has ceased to name."""
        if facts.incarnation and facts.incarnation != dispatch.listed_as:
            return
        has_named = facts.limit_per_s is not None or facts.invalid_limit
        if has_named or dispatch.is_limited:
            self._client.tell(
                ReplicaLimitSeen(
                    dispatch.replica, facts.limit_per_s, facts.invalid_limit
                )
            )

    def _check(
        self, dispatch: RelayDispatch, head: ResponseHead, facts: AnswerFacts
    ) -> None:
        """Raise AnswerLostError for an answer that must not be passed on."""
        is_foreign = bool(facts.caller_id) and (
            facts.caller_id != self._request.caller_id
        )
        if is_foreign:
            raise self._lose(dispatch, DispatchEnding.LOST, "the answer is another's")
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
        if facts.is_unrun:
            text = f"turned away with {head.status}"
            raise self._lose(dispatch, DispatchEnding.REFUSED, text, facts)
        is_success = head.status < 300
        if is_success and not (facts.is_signed and facts.caller_id):
            raise self._lose(dispatch, DispatchEnding.LOST, "unsigned answer", facts)
        if "content-encoding" in head.headers:
            raise self._lose(dispatch, DispatchEnding.LOST, "encoded answer", facts)

    async def _read_whole(
        self, dispatch: RelayDispatch, connection: HttpConnection
    ) -> bytes:
        try:
            return await connection.read_body()
        except ConnectionFailedError as error:
            text = str(error)
            raise self._lose(
                dispatch, DispatchEnding.LOST, text, cause=error
            ) from error

    async def _relay(
        self,
        dispatch: RelayDispatch,
        connection: HttpConnection,
        head: ResponseHead,
        facts: AnswerFacts,
    ) -> None:
        self._splitter.discard_partial_event()
        if not self._responder.is_started and not self._request.is_resumable:
            await self._begin(head)
        while True:
            part = await self._read_part(dispatch, connection, facts)
            if part is None:
                break
            whole = self._splitter.push(part)
            if not whole:
                continue
            if not self._responder.is_started:
                await self._begin(head)
            if self._first_ms is None:
                self._first_ms = trio.current_time() * 1000 - self._request.arrived_ms
                self._metrics.note_first(self._request, self._first_ms)
                self._client.tell_first(self._request.request_id)
            await self._responder.write(whole)
        if self._splitter.has_partial_event():
            raise self._lose(
                dispatch, DispatchEnding.LOST, "cut inside an event", facts
            )
        if not self._responder.is_started:
            await self._begin(head)
        self._complete(dispatch, facts, head.status)
        await self._responder.finish()

    async def _begin(self, head: ResponseHead) -> None:
        await self._responder.start(head.status, self._codec.filter_answer(head))

    async def _read_part(
        self, dispatch: RelayDispatch, connection: HttpConnection, facts: AnswerFacts
    ) -> bytes | None:
        try:
            with trio.fail_after(self._compute_gap(dispatch) / 1000):
                return await connection.read_part()
        except ConnectionFailedError as error:
            raise self._lose(
                dispatch, DispatchEnding.LOST, str(error), facts, cause=error
            ) from error
        except trio.TooSlowError as error:
            raise self._lose(dispatch, DispatchEnding.LOST, "silent", facts) from error

    def _compute_gap(self, dispatch: RelayDispatch) -> float:
        """Return the silence after which a stream is resumed elsewhere, in ms."""
        if math.isinf(dispatch.patience_ms):
            return math.inf
        if self._first_ms is None:
            return dispatch.patience_ms
        return max(self._max_gap_ms * GAP_PATIENCE, MIN_GAP_MS)

    def _lose(
        self,
        dispatch: RelayDispatch,
        ending: DispatchEnding,
        text: str,
        facts: AnswerFacts | None = None,
        *,
        cause: ConnectionFailedError | None = None,
        is_dead: bool = False,
    ) -> AnswerLostError:
        outcome = self._build(
            dispatch, ending, text, facts, cause=cause, is_dead=is_dead
        )
        self._note_ended(dispatch, ending.value, 0, text, is_closed=outcome.is_closed)
        return AnswerLostError(outcome)

    def _build(
        self,
        dispatch: RelayDispatch,
        ending: DispatchEnding,
        text: str,
        facts: AnswerFacts | None = None,
        *,
        cause: ConnectionFailedError | None = None,
        is_dead: bool = False,
    ) -> RelayOutcome:
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
        )

    def _complete(
        self, dispatch: RelayDispatch, facts: AnswerFacts, status: int
    ) -> None:
        self._dispatch = None
        outcome = self._build(dispatch, DispatchEnding.COMPLETED, "", facts)
        self._client.tell_ended(outcome)
        self._note_ended(dispatch, "answered", status)

    def _note_ended(
        self,
        dispatch: RelayDispatch,
        ending: str,
        status: int,
        text: str = "",
        *,
        is_closed: bool = False,
    ) -> None:
        after_ms = trio.current_time() * 1000 - self._request.arrived_ms
        self._metrics.note_ended(self._request, ending, after_ms)
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

    async def _send_whole(self, held: HeldAnswer) -> None:
        if self._responder.is_started:
            self._responder.close_after()
            return
        await self._responder.send(held.status, held.headers, held.body)
