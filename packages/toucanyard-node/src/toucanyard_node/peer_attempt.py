"""Forward a call to a peer that places it, and pass on the peer's answer."""

from __future__ import annotations

import math
from typing import Final

import msgspec
import trio

from toucanyard.forwarded_calls import AnswerHead
from toucanyard.relay_requests import ForwardOutcome, RelayForward
from toucanyard.requests import DispatchEnding
from toucanyard_node.event_splitter import EventSplitter
from toucanyard_node.forward_channel import ForwardClosedError
from toucanyard_node.forward_exchange import (
    ForwardedAnswer,
    Forwarder,
    ForwardFailedError,
)
from toucanyard_node.held_bytes import ByteBoundError, ReceivedBytes
from toucanyard_node.http_client import ResponseHead
from toucanyard_node.relay_attempt import RelayAttempt, RelayedCall
from toucanyard_node.relay_log import log_forward_ended
from toucanyard_node.relay_ports import CallCodec

STREAM_IDLE_FACTOR: Final = 3.5
"""Multiple of the route's longest gap after which a silent forward is hedged."""
MIN_STREAM_IDLE_MS: Final = 1_300.0


class PeerAttempt(RelayAttempt):
    """One forward of a call."""

    __slots__ = (
        "_codec",
        "_forward",
        "_forwarder",
        "_max_gap_ms",
        "_message",
        "_received",
        "_sent_ms",
        "_splitter",
    )

    def __init__(
        self,
        call: RelayedCall,
        forward: RelayForward,
        codec: CallCodec,
        forwarder: Forwarder,
        max_gap_ms: int,
        received: ReceivedBytes,
    ) -> None:
        super().__init__(call, forward.attempt)
        self._codec = codec
        self._forward = forward
        self._forwarder = forwarder
        limits = received.limits
        self._received = received
        self._max_gap_ms = max_gap_ms
        self._sent_ms = trio.current_time() * 1000
        self._message = received.answers.open(forward.peer, limits.max_answer_bytes)
        """What this attempt holds of its answer."""
        self._splitter = EventSplitter(call.last_event_id, limits.max_event_bytes)

    @property
    def target(self) -> str:
        """Return the name of the peer."""
        return self._forward.peer

    async def run(self) -> None:
        """Let the peer place the call and pass on its answer.

        Raises ForwardFailedError.
        """
        call = self._call
        try:
            async with self._forwarder.open(
                self._forward, call.request, call.http, call.last_event_id
            ) as answer:
                self.is_in_flight = True
                await self._pass_on_bounded(answer)
        except ForwardFailedError as error:
            outcome = msgspec.structs.replace(
                error.outcome,
                has_begun=call.has_begun,
                origin=call.origin,
                attempt=self.number,
            )
            self._record_ended(outcome.ending.value, 0, outcome.text)
            raise ForwardFailedError(outcome) from error
        finally:
            self._message.release()

    def build_cancelled(self) -> ForwardOutcome:
        """Return the outcome of a forward that is cancelled."""
        return self._build_outcome(DispatchEnding.CANCELLED)

    def record_cancelled(self, ending: str) -> None:
        """Log and count a forward that is cancelled."""
        if ending == "given_up":
            ending = DispatchEnding.CANCELLED.value
        self._record_ended(ending, 0)

    async def _pass_on_bounded(self, answer: ForwardedAnswer) -> None:
        try:
            await self._pass_on(answer)
        except ByteBoundError as error:
            self._record_over_bound(error.bound, error.received_bytes, self._sent_ms)
            raise ForwardClosedError(str(error)) from error

    async def _pass_on(self, answer: ForwardedAnswer) -> None:
        call = self._call
        self._patience.restart(self._forward.patience_ms)
        head = await self._patience.wait(answer.read_head)
        self._patience.restart(self._forward.patience_ms)
        self._report_statement(head)
        if not head.is_stream:
            body = await self._read_whole(answer)
            if call.has_begun:
                # A stream cannot be resumed with an answer that is not a stream.
                raise ForwardClosedError("no stream")
            await call.claim(self)
            self._complete(head.status)
            await call.send_whole(head.status, head.fields, body)
            return
        if not call.may_wait_for_event():
            await call.start(self, head.status, head.fields, head.origin)
        while (part := await self._patience.wait(answer.read_part)) is not None:
            events = self._split(part)
            if not events:
                continue
            if not self._splitter.has_event:
                await self._pass_on_comments(events, self._splitter.last_id)
                continue
            if not call.has_begun:
                call.origin = head.origin
                await call.start(self, head.status, head.fields, head.origin)
            events = self._take_comments() + events
            await call.write(self, events, self._splitter.last_id, head.origin)
            self._patience.restart(self._compute_idle_timeout())
        if not call.has_begun:
            await call.start(self, head.status, head.fields, head.origin)
        await call.claim(self)
        last_id = self._splitter.last_id
        await call.write_comments(self, self._take_comments(), last_id)
        self._complete(head.status)
        await call.finish()

    def _report_statement(self, head: AnswerHead) -> None:
        """Report what the answer states about the replica that the peer has called.

        Only the peer knows whether the call was sent there under a limit, so that an
        answer without one does not end it here.
        """
        headers = {name.lower(): value for name, value in head.fields}
        facts = self._codec.read_answer(ResponseHead(head.status, headers, head.fields))
        self._call.client.report_statement(head.replica, facts.statement)

    async def _read_whole(self, answer: ForwardedAnswer) -> bytes:
        body = bytearray()
        while (part := await self._patience.wait(answer.read_part)) is not None:
            self._message.add(len(part))
            body += part
        return bytes(body)

    def _split(self, part: bytes) -> bytes:
        """Return the events and comments that a part of a stream completes."""
        events = self._splitter.push(part)
        held_bytes = self._splitter.partial_bytes
        if not self._splitter.has_event:
            held_bytes += len(self._comments) + len(events)
        if held_bytes != self._message.size_bytes:
            self._message.release()
            self._message.add(held_bytes)
        return events

    def _compute_idle_timeout(self) -> float:
        """Return the idle time after which a stream is hedged, in ms.

        The peer hedges it earlier, at another replica.
        """
        patience_ms = self._forward.patience_ms
        if math.isinf(patience_ms):
            return patience_ms
        return max(self._max_gap_ms * STREAM_IDLE_FACTOR, MIN_STREAM_IDLE_MS)

    def _complete(self, status: int) -> None:
        self._call.complete(self._build_outcome(DispatchEnding.COMPLETED))
        self._record_ended(DispatchEnding.COMPLETED.value, status)

    def _build_outcome(self, ending: DispatchEnding) -> ForwardOutcome:
        return ForwardOutcome(
            self._call.request.request_id,
            self._forward.peer,
            ending,
            attempt=self.number,
        )

    def _record_ended(self, ending: str, status: int, text: str = "") -> None:
        after_ms = self._call.compute_elapsed()
        self._call.metrics.record_forward_ended(ending)
        log_forward_ended(
            self._call.request, self._forward, ending, status, after_ms, text
        )
