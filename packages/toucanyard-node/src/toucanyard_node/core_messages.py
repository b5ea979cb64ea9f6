"""Messages between request handlers and the task that owns the core.

Handlers send messages through `CoreClient`. The task replies once to each request, on
the channel that the message carries.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from toucanyard.configuration import Configuration
from toucanyard.core_events import RequestTurnedAway
from toucanyard.names import RequestId
from toucanyard.requests import Outcome, Request, Verdict


class Decide(msgspec.Struct, frozen=True):
    """Ask what to do with a new request."""

    request: Request
    reply: trio.MemorySendChannel[Verdict | None]


class FirstToken(msgspec.Struct, frozen=True):
    """Report that the first byte of a response arrived."""

    request_id: RequestId
    after_ms: float


class Report(msgspec.Struct, frozen=True):
    """Report how a dispatch ended and ask whether to retry it.

    The reply is a new Dispatch, a Refuse, or None when the request is over.
    """

    outcome: Outcome
    reply: trio.MemorySendChannel[Verdict | None]


class Abandon(msgspec.Struct, frozen=True):
    """Report that the caller disconnected before its request was decided."""

    request_id: RequestId


CoreMessage = Decide | FirstToken | Report | Abandon | RequestTurnedAway


class CoreClient:
    """Send messages to the core's task from any other task.

    `find_configuration` returns the value in force when it is called.
    """

    __slots__ = ("_find_configuration", "_inbox")

    def __init__(
        self,
        inbox: trio.MemorySendChannel[CoreMessage],
        find_configuration: Callable[[], Configuration],
    ) -> None:
        self._inbox = inbox
        self._find_configuration = find_configuration

    def find_configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self._find_configuration()

    async def decide(self, request: Request) -> Verdict:
        """Return the decision on a new request; waits while it is queued."""
        send, receive = trio.open_memory_channel[Verdict | None](1)
        try:
            await self._inbox.send(Decide(request, send))
            verdict = await receive.receive()
        except trio.Cancelled:
            self._post(Abandon(request.request_id))
            raise
        assert verdict is not None
        return verdict

    async def report(self, outcome: Outcome) -> Verdict | None:
        """Report how a dispatch ended; return what to do next, if anything."""
        send, receive = trio.open_memory_channel[Verdict | None](1)
        await self._inbox.send(Report(outcome, send))
        return await receive.receive()

    def report_first_token(self, request_id: RequestId, after_ms: float) -> None:
        """Report a first byte without waiting."""
        self._post(FirstToken(request_id, after_ms))

    def report_rejection(self, event: RequestTurnedAway) -> None:
        """Report a request that a handler rejected, for later explanation."""
        self._post(event)

    def report_without_reply(self, outcome: Outcome) -> None:
        """Report the end of a dispatch without waiting, also from a cancelled task."""
        send, _ = trio.open_memory_channel[Verdict | None](1)
        self._post(Report(outcome, send))

    def _post(self, message: CoreMessage) -> None:
        # The inbox is unbounded, so sending never blocks or drops a message. The
        # connection limit bounds it: each connection has at most two messages here.
        self._inbox.send_nowait(message)
