"""Serve calls that other nodes forward because they reach no replica themselves."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import structlog
import trio

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.forwarded_calls import (
    AnswerEnd,
    AnswerHead,
    BodyPart,
    CallAccepted,
    CallRefused,
    ForwardedCall,
    split_body,
)
from toucanyard.names import EndpointName, NodeId, RequestId
from toucanyard.requests import Refuse
from toucanyard.stream_origins import StreamOrigin
from toucanyard_node.closings import CloseReason, Closings, OpenRequest
from toucanyard_node.forward_channel import ForwardChannel, ForwardClosedError
from toucanyard_node.held_bytes import ByteBoundError, HeldBytes, HeldMessage
from toucanyard_node.http_exchange import (
    CallerGoneError,
    Headers,
    HttpRequest,
    TargetInvalidError,
    build_request,
)

READ_TIMEOUT_S: Final = 2.0
"""Time for a call and its body to arrive."""
MIN_PART_BYTES: Final = 4_096
MAX_SMALL_PARTS: Final = 16
"""Parts of a body that may be smaller; peers send no small part but the last one."""
BUSY_RETRY_MS: Final = 200
"""Retry delay of a call that is refused for lack of capacity."""
_LOG: Final = structlog.get_logger()


class ForwardResponder:
    """Sends the response of one forwarded call to the node that forwarded it."""

    __slots__ = ("_channel", "call", "is_closing", "is_started", "replica")

    def __init__(self, channel: ForwardChannel) -> None:
        self._channel = channel
        self.call = ""
        self.replica = EndpointName("")
        self.is_started = False
        self.is_closing = False

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        self.is_started = True
        await self._send(
            AnswerHead(status, headers, is_stream=False, replica=self.replica)
        )
        for part in split_body(body):
            await self._send(part)
        await self._send(AnswerEnd())

    async def refuse(self, refusal: Refuse, *, is_exact: bool) -> None:
        """Send the reason for which there is no response."""
        self.is_started = True
        await self._send(
            CallRefused(
                refusal.kind,
                refusal.ending,
                refusal.text,
                refusal.retry_after_ms,
                refusal.attempts,
            )
        )

    async def start(
        self, status: int, headers: Headers, origin: StreamOrigin | None = None
    ) -> None:
        """Send the head of a response whose body follows in parts."""
        self.is_started = True
        await self._send(AnswerHead(status, headers, True, origin, self.replica))

    async def write(self, data: bytes) -> None:
        """Send one part of the body."""
        await self._send(BodyPart(data))

    async def finish(self) -> None:
        """Send the end of the body."""
        await self._send(AnswerEnd())

    def close_after(self) -> None:
        """Do nothing: the connection is closed after each response."""
        self.is_closing = True

    async def _send(
        self, message: AnswerHead | BodyPart | AnswerEnd | CallRefused
    ) -> None:
        try:
            await self._channel.send(message)
        except ForwardClosedError as error:
            raise CallerGoneError from error


Handler = Callable[
    [HttpRequest, ForwardResponder, ForwardedCall, NodeId], Awaitable[None]
]


class ForwardServer:
    """Runs the calls that other nodes forward, a bounded number at a time."""

    def __init__(
        self,
        handler: Handler,
        find_max_calls: Callable[[], int],
        find_max_body: Callable[[], int],
        held: HeldBytes,
        closings: Closings | None = None,
    ) -> None:
        """`held` counts the bodies of calls until they end, by sending node."""
        self._handler = handler
        self.closings = closings or Closings()
        self._find_max_calls = find_max_calls
        self._find_max_body = find_max_body
        self._held = held
        self._idle = trio.Event()
        self._idle.set()
        self._is_stopping = False
        self.running = 0
        self.received = 0
        self.refused = 0

    def stop(self) -> None:
        """Refuse further calls; running ones continue."""
        self._is_stopping = True

    async def wait_idle(self) -> None:
        """Wait until no forwarded call runs."""
        await self._idle.wait()

    async def serve(self, channel: ForwardChannel, peer: NodeId) -> None:
        """Serve the call on one connection."""
        with self._held.open(peer.node, self._find_max_body()) as message:
            await self._serve(channel, peer, message)

    async def _serve(
        self, channel: ForwardChannel, peer: NodeId, message: HeldMessage
    ) -> None:
        responder = ForwardResponder(channel)
        try:
            with trio.fail_after(READ_TIMEOUT_S):
                call, body = await _read_call(channel, message)
            http = build_request(call.method, call.target, call.fields, body)
        except ByteBoundError as error:
            _LOG.warning(
                "forward_over_bound",
                peer=peer.node,
                bound=error.bound.value,
                received_bytes=error.received_bytes,
            )
            text = "the body of the call does not fit the memory for forwarded calls"
            await self._refuse_unread(responder, peer, text)
            return
        except (ForwardClosedError, trio.TooSlowError, TargetInvalidError) as error:
            _LOG.warning("forward_unread", peer=peer.node, reason=str(error)[:100])
            await self._refuse_unread(responder, peer, "the call was not read whole")
            return
        refusal = self._check_capacity()
        if refusal is not None:
            self.refused += 1
            _LOG.info("forward_refused", peer=peer.node, origin=call.origin)
            await responder.refuse(refusal, is_exact=True)
            return
        self.received += 1
        self.running += 1
        self._idle = self._idle if self.running > 1 else trio.Event()
        try:
            await self._run(channel, http, call, peer)
        finally:
            self.running -= 1
            if not self.running:
                self._idle.set()

    async def _refuse_unread(
        self, responder: ForwardResponder, peer: NodeId, text: str
    ) -> None:
        """Refuse a call that was not read whole and therefore not run."""
        self.refused += 1
        refusal = _build_refusal(ErrorKind.TOO_MANY_CALLS, text)
        try:
            with trio.fail_after(READ_TIMEOUT_S):
                await responder.refuse(refusal, is_exact=True)
        except (CallerGoneError, trio.TooSlowError):
            _LOG.info("forward_abandoned", peer=peer.node)

    async def _run(
        self,
        channel: ForwardChannel,
        http: HttpRequest,
        call: ForwardedCall,
        peer: NodeId,
    ) -> None:
        responder = ForwardResponder(channel)
        open_request = OpenRequest(http.path, call.origin)
        reason: CloseReason = CloseReason.CANCELLED
        watch = _PeerWatch(channel)
        try:
            await channel.send(CallAccepted())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run, nursery.cancel_scope)
                reason = await self._run_guarded(http, responder, call, peer)
                nursery.cancel_scope.cancel()
            if not (responder.is_started or watch.has_left):
                await responder.refuse(_build_failure(reason), is_exact=True)
        except (ForwardClosedError, CallerGoneError) as error:
            watch.has_left = True
            _LOG.info("forward_abandoned", peer=peer.node, reason=str(error)[:100])
        finally:
            if not responder.is_started:
                if watch.has_left:
                    reason = CloseReason.CALLER_LEFT
                self.closings.record(open_request, reason, "forwarded")

    async def _run_guarded(
        self,
        http: HttpRequest,
        responder: ForwardResponder,
        call: ForwardedCall,
        peer: NodeId,
    ) -> CloseReason:
        """Run the handler so that its failure ends only this call.

        Return why there is no response, if there is none.
        """
        try:
            await self._handler(http, responder, call, peer)
        except CallerGoneError:
            _LOG.info("forward_abandoned", peer=peer.node, origin=call.origin)
            return CloseReason.HANDLER_FAILED
        except Exception:
            _LOG.exception("handler_failed", path=http.path)
            return CloseReason.HANDLER_FAILED
        return CloseReason.NO_RESPONSE

    def _check_capacity(self) -> Refuse | None:
        if self._is_stopping:
            return _build_refusal(ErrorKind.DRAINING, "this node is stopping")
        if self.running >= self._find_max_calls():
            text = f"{self.running} forwarded calls are running"
            return _build_refusal(ErrorKind.TOO_MANY_CALLS, text)
        return None


async def _read_call(
    channel: ForwardChannel, message: HeldMessage
) -> tuple[ForwardedCall, bytes]:
    """Return a call and its body, whose announced size is counted before it is read."""
    call = await channel.receive()
    if not isinstance(call, ForwardedCall):
        raise ForwardClosedError(f"found {type(call).__name__}, expected a call")
    try:
        message.add(call.body_bytes)
    except ByteBoundError:
        # The other node reads the refusal only after it has sent the whole body.
        async for _ in _receive_parts(channel, call.body_bytes):
            pass
        raise
    body = bytearray()
    async for data in _receive_parts(channel, call.body_bytes):
        body += data
    return call, bytes(body)


async def _receive_parts(
    channel: ForwardChannel, size_bytes: int
) -> AsyncIterator[bytes]:
    """Yield the parts of a body of an announced size."""
    left_bytes = size_bytes
    parts_left = MAX_SMALL_PARTS + size_bytes // MIN_PART_BYTES
    while left_bytes > 0:
        part = await channel.receive()
        if not isinstance(part, BodyPart):
            raise ForwardClosedError(f"found {type(part).__name__}, expected a body")
        left_bytes -= len(part.data)
        parts_left -= 1
        if left_bytes < 0:
            raise ForwardClosedError("the body is longer than announced")
        if parts_left < 0:
            raise ForwardClosedError("the body has too many parts")
        yield part.data


class _PeerWatch:
    """Cancels a scope when the other node closes its connection."""

    __slots__ = ("_channel", "has_left")

    def __init__(self, channel: ForwardChannel) -> None:
        self._channel = channel
        self.has_left = False

    async def run(self, scope: trio.CancelScope) -> None:
        """Wait until the other node disconnects."""
        await self._channel.wait_closed()
        self.has_left = True
        scope.cancel()


def _build_failure(reason: CloseReason) -> Refuse:
    """Return the refusal of a call that may have run."""
    return Refuse(
        RequestId(""), ErrorKind.INTERNAL, Ending.UNKNOWN, reason.value, BUSY_RETRY_MS
    )


def _build_refusal(kind: ErrorKind, text: str) -> Refuse:
    return Refuse(RequestId(""), kind, Ending.NOT_RUN, text, BUSY_RETRY_MS)
