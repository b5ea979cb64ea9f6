"""The task that owns the core of a relaying node.

It passes events to the core one at a time and executes the actions that the core
returns. All other tasks communicate with it through its inbox; a reply is sent on the
channel that came with the request. Each decision is logged as one line.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.names import EndpointName, RequestId
from toucanyard.quarantine import EraseQuarantine, WriteQuarantine
from toucanyard.relay_core import RelayCore
from toucanyard.relay_events import (
    AnnounceNode,
    AppendLease,
    AppendTries,
    CallArrived,
    CallerLeft,
    DispatchEnded,
    EraseOrigin,
    FirstEventSeen,
    ForwardEnded,
    LogEntry,
    ProbeConnection,
    ReadLeases,
    ReadReplicaState,
    ReadStreamRecords,
    RelayAction,
    RelayEvent,
    ReplicaStatementSeen,
    SendToPeer,
    TickPassed,
    WeightsOrder,
    WriteOrigin,
)
from toucanyard.relay_requests import (
    ForwardOutcome,
    HedgeWithheld,
    RelayDispatch,
    RelayForward,
    RelayOutcome,
    RelayReply,
    RelayRequest,
    RelayVerdict,
)
from toucanyard.replica_statements import ReplicaStatement
from toucanyard.requests import Refuse
from toucanyard.stream_origins import StreamOrigin
from toucanyard.stream_records import StreamAction
from toucanyard_node.relay_log import (
    log_forwarded,
    log_hedge_withheld,
    log_refused,
    log_sent,
)
from toucanyard_node.relay_metrics import RelayMetrics

_LOG: Final = structlog.get_logger()

Reply = trio.MemorySendChannel[RelayVerdict | None]
BackgroundJob = (
    AnnounceNode
    | ReadLeases
    | AppendLease
    | ReadReplicaState
    | ProbeConnection
    | WeightsOrder
    | WriteQuarantine
    | EraseQuarantine
    | StreamAction
)


class CallOpened(msgspec.Struct, frozen=True):
    """A new call; all verdicts on it are sent on one channel."""

    event: CallArrived
    reply: Reply


class RelayClient:
    """Interface to the core's task for all other tasks."""

    __slots__ = ("_inbox", "_may_get_calls")

    def __init__(
        self,
        inbox: trio.MemorySendChannel[CallOpened | RelayEvent],
        may_get_calls: Callable[[EndpointName, float], bool],
    ) -> None:
        self._inbox = inbox
        self._may_get_calls = may_get_calls

    def is_withdrawn(self, dispatch: RelayDispatch) -> bool:
        """Return whether a dispatch must not be sent any more.

        Reads the core's state between two events.
        """
        return not self._may_get_calls(dispatch.replica, trio.current_time() * 1000)

    def begin(
        self, request: RelayRequest
    ) -> trio.MemoryReceiveChannel[RelayVerdict | None]:
        """Report a new call; return the channel of its verdicts.

        The last verdict is a refusal, or None if the call has ended otherwise.
        """
        # The core bounds the number of attempts of a call, and so its verdicts.
        send, receive = trio.open_memory_channel[RelayVerdict | None](math.inf)
        self._inbox.send_nowait(CallOpened(CallArrived(request), send))
        return receive

    def report(self, outcome: RelayOutcome | ForwardOutcome) -> None:
        """Report how an attempt ended; a verdict follows unless another one is open."""
        match outcome:
            case RelayOutcome():
                self.send_event(DispatchEnded(outcome))
            case ForwardOutcome():
                self.send_event(ForwardEnded(outcome))

    def report_left(self, request_id: RequestId) -> None:
        """Report that the caller of a call without an attempt has disconnected."""
        self.send_event(CallerLeft(request_id))

    def send_event(self, event: RelayEvent) -> None:
        """Send an event to the core without waiting.

        The inbox is unbounded, so this never blocks or drops an event. Its length is
        limited by the callers' connections, each with at most two pending messages.
        """
        self._inbox.send_nowait(event)

    def report_statement(
        self,
        replica: EndpointName,
        statement: ReplicaStatement,
        *,
        ends_limit: bool = False,
        ends_brittle: bool = False,
    ) -> None:
        """Report what a response states about its replica, if it states anything.

        `ends_limit`: whether a replica that states no limit no longer has one;
        `ends_brittle`: whether one that does not state that it is brittle is sound.
        """
        if statement.has_content() or ends_limit or ends_brittle:
            self.send_event(
                ReplicaStatementSeen(replica, statement, ends_limit, ends_brittle)
            )

    def report_first_event(
        self, request_id: RequestId, forwarded_origin: StreamOrigin | None = None
    ) -> None:
        """Report the first event of an answer, and where a peer says that it began."""
        self.send_event(FirstEventSeen(request_id, forwarded_origin))


class RelayTask:
    """The task that owns the core.

    Invariant: there is one reply channel per call until its last verdict.
    """

    def __init__(
        self,
        core: RelayCore,
        messages: trio.MemorySendChannel[SendToPeer],
        jobs: trio.MemorySendChannel[BackgroundJob],
        metrics: RelayMetrics,
    ) -> None:
        self._metrics = metrics
        self.core = core
        self._messages = messages
        self._jobs = jobs
        self._replies: dict[RequestId, Reply] = {}
        self.inbox, self._receive = trio.open_memory_channel[CallOpened | RelayEvent](
            2**31
        )
        self.client = RelayClient(self.inbox, core.directory.may_get_calls)

    async def run(self) -> None:
        """Process messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            async for message in self._receive:
                self._process(message, trio.current_time() * 1000)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(self.core.compute_tick() / 1000)
            self.inbox.send_nowait(TickPassed())

    def _process(self, message: CallOpened | RelayEvent, now_ms: float) -> None:
        event = message
        if isinstance(message, CallOpened):
            event = message.event
            self._replies[message.event.request.request_id] = message.reply
        elif isinstance(message, CallerLeft):
            self._replies.pop(message.request_id, None)
        assert not isinstance(event, CallOpened)
        for action in self.core.handle(event, now_ms):
            self._execute(action)

    def _execute(self, action: RelayAction) -> None:
        match action:
            case RelayReply(request_id=request_id, verdict=verdict):
                self._reply(request_id, verdict)
            case SendToPeer():
                self._send_or_drop(action)
            case ReadLeases() | AppendLease() | ReadReplicaState() | WeightsOrder():
                self._jobs.send_nowait(action)
            case ProbeConnection() | WriteQuarantine() | EraseQuarantine():
                self._jobs.send_nowait(action)
            case AnnounceNode():
                self._jobs.send_nowait(action)
            case ReadStreamRecords() | WriteOrigin() | EraseOrigin() | AppendTries():
                self._jobs.send_nowait(action)
            case LogEntry(event=name, fields=fields):
                _LOG.info(name, **fields)

    def _send_or_drop(self, message: SendToPeer) -> None:
        try:
            self._messages.send_nowait(message)
        except trio.WouldBlock:
            _LOG.warning("message_dropped", peer=message.node)

    def _reply(self, request_id: RequestId, verdict: RelayVerdict | None) -> None:
        reply = self._replies.get(request_id)
        if reply is not None:
            reply.send_nowait(verdict)
        match verdict:
            case RelayDispatch():
                log_sent(verdict)
            case RelayForward():
                log_forwarded(verdict)
            case HedgeWithheld():
                log_hedge_withheld(verdict)
            case Refuse():
                self._replies.pop(request_id, None)
                self._metrics.record_refusal(verdict.kind)
                log_refused(verdict, self.core.index.table.version)
            case None:
                self._replies.pop(request_id, None)
