"""The attempts of one relayed call and the answer that they share.

A silent attempt stays open beside its hedge. Whichever has the next part of the answer
continues, and the others are cancelled: a caller never gets parts of two at a time.
"""

from __future__ import annotations

import abc
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from toucanyard.names import EndpointName
from toucanyard.relay_events import AttemptContinued, AttemptSilent
from toucanyard.relay_requests import (
    ForwardOutcome,
    RelayDispatch,
    RelayForward,
    RelayOutcome,
    RelayRequest,
)
from toucanyard.requests import PROVEN_NOT_RUN, Repeatability
from toucanyard.stream_origins import StreamOrigin
from toucanyard_node.buffered_answer import BufferedAnswer
from toucanyard_node.held_bytes import ByteBound, ByteBoundError, HeldMessage
from toucanyard_node.http_client import Headers
from toucanyard_node.http_exchange import CallResponder, HttpRequest
from toucanyard_node.relay_log import (
    log_answer_over_bound,
    log_continued,
    log_silent,
)
from toucanyard_node.relay_metrics import RelayMetrics
from toucanyard_node.relay_task import RelayClient

T = TypeVar("T")


class Patience:
    """Reports a silence each time that a timeout passes without progress.

    The time goes on over any number of reads until `restart` is called, so that bytes
    alone are no progress.
    """

    __slots__ = ("_due_ms", "_on_silent", "_timeout_ms")

    def __init__(self, on_silent: Callable[[float], None]) -> None:
        self._on_silent = on_silent
        self._timeout_ms = math.inf
        self._due_ms = math.inf

    def restart(self, timeout_ms: float) -> None:
        """Start anew, as part of the answer has come or is asked for now."""
        self._timeout_ms = timeout_ms
        self._due_ms = trio.current_time() * 1000 + timeout_ms

    async def wait(self, read: Callable[[], Awaitable[T]]) -> T:
        """Await `read`, which must lose nothing if it is cancelled and called again."""
        # Where input is always ready no deadline cancels a read.
        is_due = trio.current_time() * 1000 >= self._due_ms
        while True:
            if is_due:
                self.restart(self._timeout_ms)
                self._on_silent(self._timeout_ms)
            with trio.CancelScope(deadline=self._due_ms / 1000):
                return await read()
            is_due = True


class RelayAttempt(abc.ABC):
    """One attempt of a call, at a replica or through a peer."""

    __slots__ = (
        "_call",
        "_comments",
        "_patience",
        "is_in_flight",
        "number",
        "scope",
        "silent_since_ms",
    )

    def __init__(self, call: RelayedCall, number: int) -> None:
        self._call = call
        self._comments = b""
        """Blocks without data that are sent with the next event."""
        self._patience = Patience(
            lambda timeout_ms: call.report_silent(self, timeout_ms)
        )
        self.number = number
        self.scope = trio.CancelScope()
        self.is_in_flight = False
        """Whether the call has been sent and the attempt has not ended."""
        self.silent_since_ms: float | None = None

    @property
    @abc.abstractmethod
    def target(self) -> str:
        """Return the name of the replica or peer."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Send the call and its answer; raise what ended the attempt before."""

    async def _pass_on_comments(self, comments: bytes, last_event_id: str) -> None:
        """Send blocks without data, or keep them if others may continue the answer."""
        if not await self._call.write_comments(self, comments, last_event_id):
            self._comments += comments

    def _take_comments(self) -> bytes:
        """Return and clear the comments that were kept."""
        comments, self._comments = self._comments, b""
        return comments

    def _record_over_bound(
        self, bound: ByteBound, received_bytes: int, begun_ms: float
    ) -> None:
        """Log and count that the answer exceeds a bound."""
        self._call.metrics.record_over_bound(bound.value)
        log_answer_over_bound(
            self._call.request,
            self.number,
            self.target,
            bound.value,
            received_bytes,
            trio.current_time() * 1000 - begun_ms,
        )

    @abc.abstractmethod
    def build_cancelled(self) -> RelayOutcome | ForwardOutcome:
        """Return the outcome of an attempt that is cancelled."""

    @abc.abstractmethod
    def record_cancelled(self, ending: str) -> None:
        """Log and count an attempt that is cancelled."""


class RelayedCall:
    """One call, what its caller has of the answer, and its open attempts.

    Invariant: what is sent to the caller comes from an attempt that has claimed the
    answer, and all other attempts were cancelled then.
    """

    __slots__ = (
        "_client",
        "_continued_silence",
        "_error_message",
        "_first_ms",
        "_metrics",
        "_responder",
        "_silence",
        "attempts",
        "buffered_answer",
        "http",
        "is_over",
        "last_event_id",
        "may_have_run",
        "origin",
        "request",
    )

    def __init__(
        self,
        client: RelayClient,
        http: HttpRequest,
        responder: CallResponder,
        request: RelayRequest,
        metrics: RelayMetrics,
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._responder = responder
        self._silence = 0
        """Number of the latest silence that was reported."""
        self._continued_silence = 0
        """Number of the latest silence after which an attempt has continued."""
        self._first_ms: float | None = None
        self._error_message: HeldMessage | None = None
        self.http = http
        self.request = request
        self.attempts: list[RelayAttempt] = []
        self.buffered_answer: BufferedAnswer | None = None
        """The last error response of a replica."""
        self.last_event_id = request.last_event_id
        """Last event that the caller has."""
        self.origin: StreamOrigin | None = None
        """Where a stream began that a peer has passed on."""
        self.may_have_run = False
        """Whether an attempt that has ended may have run the call."""
        self.is_over = False
        """Whether an attempt has completed or the core has ended the call."""

    @property
    def client(self) -> RelayClient:
        """Return the interface to the core."""
        return self._client

    @property
    def metrics(self) -> RelayMetrics:
        """Return the metrics of this node."""
        return self._metrics

    @property
    def first_ms(self) -> float | None:
        """Return the time from the call's arrival to the first event of its answer."""
        return self._first_ms

    @property
    def has_begun(self) -> bool:
        """Return whether part of the answer was sent to the caller."""
        return self._responder.is_started

    def may_wait_for_event(self) -> bool:
        """Return whether the answer need not begin before its first event.

        Until it begins, another replica may still give it if the call may run again.
        """
        may_repeat = self.request.repeatability is Repeatability.REPEATABLE
        return self.has_begun or self.request.is_resumable or may_repeat

    def compute_elapsed(self) -> float:
        """Return the time since the call arrived, in ms."""
        return trio.current_time() * 1000 - self.request.arrived_ms

    async def claim(self, attempt: RelayAttempt) -> None:
        """Let an attempt continue the answer; cancel all others."""
        if attempt not in self.attempts:
            # Another one has claimed it while this one was about to run: its scope
            # is cancelled, and raises that here.
            await trio.lowlevel.checkpoint()
        if attempt.silent_since_ms is None and len(self.attempts) == 1:
            return
        losers = [each for each in self.attempts if each is not attempt]
        self.attempts = [attempt]
        self._continued_silence = self._silence
        self._client.send_event(
            AttemptContinued(self.request.request_id, attempt.number)
        )
        silent_ms = None
        if attempt.silent_since_ms is not None:
            silent_ms = trio.current_time() * 1000 - attempt.silent_since_ms
            attempt.silent_since_ms = None
            self._metrics.record_silence_ended(self.request, silent_ms)
        log_continued(
            self.request, attempt.number, attempt.target, silent_ms, len(losers)
        )
        for loser in losers:
            loser.record_cancelled("superseded")
            loser.scope.cancel()

    def report_silent(self, attempt: RelayAttempt, silent_ms: float) -> None:
        """Report that nothing has come of an attempt for some time."""
        if attempt.silent_since_ms is None:
            attempt.silent_since_ms = trio.current_time() * 1000 - silent_ms
        if not self.attempts or self.attempts[-1] is not attempt:
            # It has a hedge already.
            return
        self._silence += 1
        log_silent(
            self.request,
            attempt.number,
            attempt.target,
            trio.current_time() * 1000 - attempt.silent_since_ms,
            self.compute_elapsed(),
            has_begun=self.has_begun,
        )
        self._client.send_event(
            AttemptSilent(
                self.request.request_id,
                attempt.number,
                self._silence,
                self.has_begun,
                self.origin,
            )
        )

    def is_stale(self, verdict: RelayDispatch | RelayForward) -> bool:
        """Return whether a hedge comes after the silent attempt has continued."""
        return verdict.hedged > 0 and verdict.silence <= self._continued_silence

    def record_failed(
        self, attempt: RelayAttempt, outcome: RelayOutcome | ForwardOutcome
    ) -> None:
        """Report the end of an attempt to the core, unless another one continues."""
        if attempt not in self.attempts:
            return
        self.attempts.remove(attempt)
        if outcome.ending not in PROVEN_NOT_RUN:
            self.may_have_run = True
        self._client.report(outcome)

    def keep_error(self, answer: BufferedAnswer, message: HeldMessage) -> None:
        """Keep an error response for the case that there is no answer.

        Its body is dropped if it does not fit what the node may hold.
        """
        self.release_error()
        self._error_message = message
        try:
            message.add(len(answer.body))
        except ByteBoundError:
            answer = BufferedAnswer(answer.status, answer.headers, b"", answer.replica)
        self.buffered_answer = answer

    def release_error(self) -> None:
        """Count an error response that was kept as no longer held."""
        if self._error_message is not None:
            self._error_message.release()

    def complete(self, outcome: RelayOutcome | ForwardOutcome) -> None:
        """Report that an attempt, which has claimed the answer, is complete."""
        self.is_over = True
        self._client.report(outcome)

    def cancel(self) -> None:
        """Report that nobody waits for the answer any more."""
        if self.is_over:
            return
        self.is_over = True
        for attempt in self.attempts:
            attempt.record_cancelled("given_up")
        if self.attempts:
            # The core releases the other attempts with it.
            self._client.report(self.attempts[-1].build_cancelled())
        else:
            self._client.report_left(self.request.request_id)

    async def start(
        self,
        attempt: RelayAttempt,
        status: int,
        headers: Headers,
        origin: StreamOrigin | None,
    ) -> None:
        """Start a streamed answer."""
        await self.claim(attempt)
        await self._responder.start(status, headers, origin)

    async def write(
        self,
        attempt: RelayAttempt,
        events: bytes,
        last_event_id: str,
        origin: StreamOrigin | None = None,
    ) -> None:
        """Send complete events; `origin` is where a peer says that they come from."""
        await self.claim(attempt)
        self.last_event_id = last_event_id
        if self._first_ms is None:
            self._first_ms = self.compute_elapsed()
            self._metrics.record_first_part(self.request, self._first_ms)
            self._client.report_first_event(self.request.request_id, origin)
        await self._responder.write(events)

    async def write_comments(
        self, attempt: RelayAttempt, comments: bytes, last_event_id: str
    ) -> bool:
        """Send blocks without data unless another attempt may continue the stream.

        They are no part of the answer and claim nothing, but one may set the last id.
        """
        is_alone = self.attempts == [attempt] and attempt.silent_since_ms is None
        if not (self.has_begun and is_alone):
            return False
        self.last_event_id = last_event_id
        await self._responder.write(comments)
        return True

    async def finish(self) -> None:
        """End a streamed answer."""
        await self._responder.finish()

    def set_source(self, replica: EndpointName) -> None:
        """Set the replica whose answer is sent, which only peers are told."""
        self._responder.replica = replica

    async def send_buffered(self, answer: BufferedAnswer) -> None:
        """Send a complete answer of a replica."""
        self.set_source(answer.replica)
        await self.send_whole(answer.status, answer.headers, answer.body)

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an answer that is not a stream."""
        if self.has_begun:
            self._responder.close_after()
            return
        await self._responder.send(status, headers, body)
