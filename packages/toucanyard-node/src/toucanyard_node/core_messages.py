"""Messages between the faces and the task that owns the core.

A face asks with `CoreClient`; the task answers each question once, on a channel that
the question carries.
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
    """Tell that the first byte of an answer came."""

    request_id: RequestId
    after_ms: float


class Report(msgspec.Struct, frozen=True):
    """Tell how a dispatch ended and ask whether to try again elsewhere.

    The reply is a new Dispatch, a Refuse, or None when the request is over.
    """

    outcome: Outcome
    reply: trio.MemorySendChannel[Verdict | None]


class Abandon(msgspec.Struct, frozen=True):
    """Tell that the caller went away while its request was undecided."""

    request_id: RequestId


CoreMessage = Decide | FirstToken | Report | Abandon | RequestTurnedAway


class CoreClient:
    """Ask the core's task from any other task.

    `configuration` is the value in force when it is called.
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
        """Ask what to do with a new request; waits while it is queued."""
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
        """Tell how a dispatch ended; return what to do next, if anything."""
        send, receive = trio.open_memory_channel[Verdict | None](1)
        await self._inbox.send(Report(outcome, send))
        return await receive.receive()

    def report_first_token(self, request_id: RequestId, after_ms: float) -> None:
        """Tell the core about a first byte without waiting."""
        self._post(FirstToken(request_id, after_ms))

    def report_rejection(self, event: RequestTurnedAway) -> None:
        """Tell the core that a face refused a request, to be asked about later."""
        self._post(event)

    def report_without_reply(self, outcome: Outcome) -> None:
        """Tell the core from a cancelled task that a dispatch is over."""
        send, _ = trio.open_memory_channel[Verdict | None](1)
        self._post(Report(outcome, send))

    def _post(self, message: CoreMessage) -> None:
        # The inbox has no bound, so this never blocks or drops; it is bounded by
        # the limit on connections, since each has at most two messages under way.
        self._inbox.send_nowait(message)
