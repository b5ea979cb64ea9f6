"""Forward one call to another node and read its answer."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import trio

from toucanyard.errorcodes import Ending
from toucanyard.forwarded_calls import (
    AnswerEnd,
    AnswerHead,
    BodyPart,
    CallAccepted,
    CallRefused,
    ForwardedCall,
    ForwardMessage,
    split_body,
)
from toucanyard.names import NodeId
from toucanyard.relay_requests import ForwardOutcome, RelayForward, RelayRequest
from toucanyard.requests import DispatchEnding
from toucanyard_node.forward_channel import (
    ForwardChannel,
    ForwardClosedError,
    open_forward_channel,
)
from toucanyard_node.http_exchange import HttpRequest


class ForwardFailedError(Exception):
    """A forward ended without a complete answer."""

    def __init__(self, outcome: ForwardOutcome) -> None:
        super().__init__(outcome.text)
        self.outcome = outcome


class Forwarder:
    """Forwards calls in the name of this node."""

    __slots__ = ("_identity", "_secrets")

    def __init__(self, identity: NodeId, secrets: Sequence[str]) -> None:
        self._identity = identity
        self._secrets = tuple(secrets)

    @asynccontextmanager
    async def open(
        self,
        forward: RelayForward,
        request: RelayRequest,
        http: HttpRequest,
        last_event_id: str,
    ) -> AsyncIterator[ForwardedAnswer]:
        """Send a call to the chosen peer, or raise ForwardFailedError."""
        is_sent = False
        try:
            async with open_forward_channel(
                forward.address,
                forward.peer,
                self._identity,
                self._secrets,
                forward.connect_ms,
            ) as channel:
                is_sent = True
                remaining_ms = int(request.deadline_ms - trio.current_time() * 1000)
                call = ForwardedCall(
                    origin=request.request_id,
                    method=http.method,
                    target=http.target,
                    fields=http.fields,
                    body_bytes=len(http.body),
                    remaining_ms=max(remaining_ms, 0),
                    max_attempts=forward.max_attempts,
                    is_counted=forward.is_counted,
                    last_event_id=last_event_id,
                    has_begun=forward.has_begun,
                    weights_version=forward.weights_version,
                    stream_origin=forward.origin,
                )
                await channel.send(call)
                for part in split_body(http.body):
                    await channel.send(part)
                yield ForwardedAnswer(channel, forward)
        except ForwardClosedError as error:
            ending = DispatchEnding.LOST if is_sent else DispatchEnding.NOT_SENT
            outcome = ForwardOutcome(
                request.request_id, forward.peer, ending, str(error)[:200]
            )
            raise ForwardFailedError(outcome) from error


class ForwardedAnswer:
    """The answer to a forwarded call, read in parts."""

    __slots__ = ("_channel", "_forward")

    def __init__(self, channel: ForwardChannel, forward: RelayForward) -> None:
        self._channel = channel
        self._forward = forward

    async def read_head(self) -> AnswerHead:
        """Return the head, or raise ForwardFailedError or ForwardClosedError.

        Loses nothing if it is cancelled and called again.
        """
        message = await self._receive()
        while isinstance(message, CallAccepted):
            message = await self._receive()
        if not isinstance(message, AnswerHead):
            raise ForwardClosedError(f"found {type(message).__name__}")
        return message

    async def read_part(self) -> bytes | None:
        """Return a part of the body, None at its end, or raise ForwardClosedError.

        Loses nothing if it is cancelled and called again.
        """
        message = await self._receive()
        match message:
            case BodyPart(data=data):
                return data
            case AnswerEnd():
                return None
        raise ForwardClosedError(f"found {type(message).__name__}")

    async def _receive(self) -> ForwardMessage:
        message = await self._channel.receive()
        if isinstance(message, CallRefused):
            raise ForwardFailedError(self._build_refusal(message))
        return message

    def _build_refusal(self, refused: CallRefused) -> ForwardOutcome:
        is_not_run = refused.ending is Ending.NOT_RUN
        return ForwardOutcome(
            self._forward.request_id,
            self._forward.peer,
            DispatchEnding.REFUSED if is_not_run else DispatchEnding.LOST,
            refused.text,
            refused.kind,
            refused.retry_after_ms,
            refused.attempts,
        )
