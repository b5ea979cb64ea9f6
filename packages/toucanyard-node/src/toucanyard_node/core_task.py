"""Run the core: pass messages and events to it in order and execute its actions.

Other tasks send to this one through its inbox. Replies are sent on the channel that
came with the message.
"""

from __future__ import annotations

import random
from typing import Final, TypeVar

import msgspec
import structlog
import trio

from toucanyard.configuration import Configuration
from toucanyard.core_events import (
    AppendToLog,
    CallerLeft,
    DispatchFinished,
    FirstTokenSeen,
    OrderEnded,
    PatchAnswered,
    PatchSubmitted,
    ReadDump,
    Reply,
    RequestArrived,
    SendMessage,
    TickPassed,
)
from toucanyard.names import Incarnation, RequestId
from toucanyard.node_core import CoreAction, CoreEvent, NodeCore
from toucanyard.options import Options
from toucanyard.order_messages import OrderOutcome, ReadState, SendOrder
from toucanyard.requests import Refuse, Verdict
from toucanyard_node.core_messages import (
    Abandon,
    CoreClient,
    CoreMessage,
    Decide,
    FirstToken,
    Report,
)

_TICK_MS: Final = 50
_LOG: Final = structlog.get_logger()

T = TypeVar("T")


class SubmitPatch(msgspec.Struct, frozen=True):
    """Request that a patch is applied."""

    event: PatchSubmitted
    reply: trio.MemorySendChannel[PatchAnswered]


CoreInput = CoreMessage | CoreEvent | SubmitPatch


class CoreOutputs(msgspec.Struct, frozen=True):
    """Channels for actions of the core other than replies."""

    log: trio.MemorySendChannel[AppendToLog]
    peers: trio.MemorySendChannel[SendMessage]
    dumps: trio.MemorySendChannel[ReadDump]
    orders: trio.MemorySendChannel[SendOrder | ReadState]


class CoreTask:
    """The task that owns the core.

    Invariant: at most one reply channel is stored per request, and it is used once.
    """

    def __init__(
        self, options: Options, incarnation: Incarnation, outputs: CoreOutputs
    ) -> None:
        self.core = NodeCore(options, incarnation, random.Random())
        self._outputs = outputs
        self._replies: dict[RequestId, trio.MemorySendChannel[Verdict | None]] = {}
        self._patch_replies: dict[str, list[trio.MemorySendChannel[PatchAnswered]]] = {}
        # Unbounded, so that a cancelled task can still report how its dispatch ended.
        # The connection limit bounds it: at most two messages per connection.
        self.inbox, self._receive = trio.open_memory_channel[CoreInput](2**31)
        self.client = CoreClient(self.inbox, self.find_configuration)

    def find_configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.core.configuration

    async def submit_patch(self, event: PatchSubmitted) -> PatchAnswered:
        """Apply a patch; return the result or the error by the patch's deadline."""
        send, receive = trio.open_memory_channel[PatchAnswered](1)
        await self.inbox.send(SubmitPatch(event, send))
        return await receive.receive()

    async def run(self) -> None:
        """Process messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            async for message in self._receive:
                self._handle_input(message, trio.current_time() * 1000)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(_TICK_MS / 1000)
            self.inbox.send_nowait(TickPassed())

    def _handle_input(self, message: CoreInput, now_ms: float) -> None:
        version = self.core.configuration.version
        for action in self.core.handle(self._to_event(message), now_ms):
            self._execute(action)
        if self.core.configuration.version != version:
            _LOG.info("configuration_in_force", version=self.core.configuration.version)

    def _to_event(self, message: CoreInput) -> CoreEvent:
        match message:
            case Decide(request=request, reply=reply):
                self._replies[request.request_id] = reply
                return RequestArrived(request)
            case Report(outcome=outcome, reply=reply):
                self._replies[outcome.request_id] = reply
                return DispatchFinished(outcome)
            case FirstToken(request_id=request_id, after_ms=after_ms):
                return FirstTokenSeen(request_id, after_ms)
            case Abandon(request_id=request_id):
                self._replies.pop(request_id, None)
                return CallerLeft(request_id)
            case SubmitPatch(event=event, reply=reply_patch):
                self._patch_replies.setdefault(event.patch.patch_id, []).append(
                    reply_patch
                )
                return event
            case _:
                return message

    def _execute(self, action: CoreAction) -> None:
        match action:
            case Reply(request_id=request_id, verdict=verdict):
                self._reply(request_id, verdict)
            case PatchAnswered(patch_id=patch_id):
                for reply in self._patch_replies.pop(patch_id, []):
                    reply.send_nowait(action)
            case AppendToLog():
                self._outputs.log.send_nowait(action)
            case SendMessage():
                _send_or_drop(self._outputs.peers, action)
            case ReadDump():
                _send_or_drop(self._outputs.dumps, action)
            case SendOrder() | ReadState():
                self._send_order(action)

    def _send_order(self, action: SendOrder | ReadState) -> None:
        try:
            self._outputs.orders.send_nowait(action)
        except trio.WouldBlock:
            # Every order must be ended, or its endpoint would never get another.
            if isinstance(action, SendOrder):
                self.inbox.send_nowait(OrderEnded(action, OrderOutcome.NOT_SENT))

    def _reply(self, request_id: RequestId, verdict: Verdict | None) -> None:
        reply = self._replies.pop(request_id, None)
        if reply is not None:
            reply.send_nowait(verdict)
        if isinstance(verdict, Refuse):
            _LOG.info(
                "request_refused",
                request_id=request_id,
                kind=verdict.kind,
                ending=verdict.ending,
                retry_after_ms=verdict.retry_after_ms,
                version=self.core.configuration.version,
            )


def _send_or_drop(channel: trio.MemorySendChannel[T], message: T) -> None:
    """Send a message that may be lost; the core repeats what it still needs."""
    try:
        channel.send_nowait(message)
    except trio.WouldBlock:
        _LOG.warning("message_dropped", kind=type(message).__name__)
