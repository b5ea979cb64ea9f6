"""Forward a call to a peer that places it, and pass on the peer's answer."""

from __future__ import annotations

import msgspec

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
from toucanyard_node.http_client import MAX_BODY_BYTES, ResponseHead
from toucanyard_node.relay_attempt import RelayAttempt, RelayedCall
from toucanyard_node.relay_log import log_forward_ended
from toucanyard_node.relay_ports import CallCodec


class PeerAttempt(RelayAttempt):
    """One forward of a call."""

    __slots__ = ("_codec", "_forward", "_forwarder", "_splitter")

    def __init__(
        self,
        call: RelayedCall,
        forward: RelayForward,
        codec: CallCodec,
        forwarder: Forwarder,
    ) -> None:
        super().__init__(call, forward.attempt)
        self._codec = codec
        self._forward = forward
        self._forwarder = forwarder
        self._splitter = EventSplitter(call.last_event_id)

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
                await self._pass_on(answer)
        except ForwardFailedError as error:
            outcome = msgspec.structs.replace(
                error.outcome,
                has_begun=call.has_begun,
                origin=call.origin,
                attempt=self.number,
            )
            self._record_ended(outcome.ending.value, 0, outcome.text)
            raise ForwardFailedError(outcome) from error

    def build_cancelled(self) -> ForwardOutcome:
        """Return the outcome of a forward that is cancelled."""
        return self._build_outcome(DispatchEnding.CANCELLED)

    def record_cancelled(self, ending: str) -> None:
        """Log and count a forward that is cancelled."""
        if ending == "given_up":
            ending = DispatchEnding.CANCELLED.value
        self._record_ended(ending, 0)

    async def _pass_on(self, answer: ForwardedAnswer) -> None:
        call = self._call
        head = await self._wait(answer.read_head, self._forward.patience_ms)
        self._report_statement(head)
        if not head.is_stream:
            body = await answer.read_body(MAX_BODY_BYTES)
            if call.has_begun:
                # A stream cannot be resumed with an answer that is not a stream.
                raise ForwardClosedError("no stream")
            await call.claim(self)
            self._complete(head.status)
            await call.send_whole(head.status, head.fields, body)
            return
        if not call.has_begun and not call.request.is_resumable:
            await call.start(self, head.status, head.fields, head.origin)
        while (part := await answer.read_part()) is not None:
            events = self._splitter.push(part)
            if events:
                if not call.has_begun:
                    call.origin = head.origin
                    await call.start(self, head.status, head.fields, head.origin)
                await call.write(self, events, self._splitter.last_id, head.origin)
        if not call.has_begun:
            await call.start(self, head.status, head.fields, head.origin)
        await call.claim(self)
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
