"""Carry out the core's decisions on one relayed call until its answer is sent.

The core decides which replica gets a call, whether a silent attempt is hedged and
whether a failed one is retried. This module starts the attempts, reports how they end
to the core and follows its verdicts.
"""

from __future__ import annotations

from typing import Final

import trio

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import RequestId
from toucanyard.relay_requests import (
    HedgeWithheld,
    RelayDispatch,
    RelayForward,
    RelayRequest,
)
from toucanyard.requests import Refuse
from toucanyard_node.buffered_answer import AnswerLostError
from toucanyard_node.forward_exchange import Forwarder, ForwardFailedError
from toucanyard_node.held_bytes import ReceivedBytes
from toucanyard_node.http_exchange import CallResponder, HttpRequest
from toucanyard_node.peer_attempt import PeerAttempt
from toucanyard_node.relay_attempt import RelayAttempt, RelayedCall
from toucanyard_node.relay_metrics import RelayMetrics
from toucanyard_node.relay_ports import CallCodec
from toucanyard_node.relay_task import RelayClient
from toucanyard_node.replica_attempt import ReplicaAttempt
from toucanyard_node.replica_connections import ReplicaConnections

DEADLINE_RETRY_MS: Final = 200


class RelayExchange:
    """Processing of one call from its arrival to its answer.

    Invariants: a caller gets one answer, started at most once. Each dispatch received
    from the core is reported to it exactly once, or the caller is reported as gone.
    """

    def __init__(
        self,
        client: RelayClient,
        codec: CallCodec,
        forwarder: Forwarder,
        http: HttpRequest,
        responder: CallResponder,
        request: RelayRequest,
        max_gap_ms: int,
        metrics: RelayMetrics,
        connections: ReplicaConnections,
        received: ReceivedBytes,
    ) -> None:
        self._received = received
        self._client = client
        self._codec = codec
        self._connections = connections
        self._forwarder = forwarder
        self._responder = responder
        self._request = request
        self._max_gap_ms = max_gap_ms
        self._call = RelayedCall(client, http, responder, request, metrics)
        self._error: Exception | None = None
        self._scope = trio.CancelScope(deadline=request.deadline_ms / 1000)
        self._is_ended = False

    @property
    def request_id(self) -> RequestId:
        """Return the id of the call at this node."""
        return self._request.request_id

    @property
    def request(self) -> RelayRequest:
        """Return the call."""
        return self._request

    async def run(self) -> None:
        """Run attempts until there is an answer or a final refusal, and send that."""
        try:
            with self._scope:
                await self._run()
                return
            await self._handle_deadline()
        finally:
            self._call.cancel()
            self._call.release_error()

    def end(self) -> None:
        """End the call as its deadline does, because the node ends."""
        self._is_ended = True
        self._scope.cancel()

    async def _run(self) -> None:
        verdicts = self._client.begin(self._request)
        async with trio.open_nursery() as nursery:
            async for verdict in verdicts:
                match verdict:
                    case RelayDispatch() | RelayForward():
                        if not self._call.is_stale(verdict):
                            attempt = self._build_attempt(verdict)
                            self._call.attempts.append(attempt)
                            nursery.start_soon(self._perform, attempt, nursery)
                    case HedgeWithheld():
                        # The silent attempt asks again while it stays silent.
                        continue
                    case _:
                        try:
                            await self._end(verdict)
                        except Exception as error:
                            self._error = error
                            nursery.cancel_scope.cancel()
                        break
        if self._error is not None:
            raise self._error

    def _build_attempt(self, verdict: RelayDispatch | RelayForward) -> RelayAttempt:
        match verdict:
            case RelayDispatch():
                return ReplicaAttempt(
                    self._call,
                    verdict,
                    self._codec,
                    self._connections,
                    self._max_gap_ms,
                    self._received,
                )
            case RelayForward():
                return PeerAttempt(
                    self._call,
                    verdict,
                    self._codec,
                    self._forwarder,
                    self._max_gap_ms,
                    self._received,
                )

    async def _perform(self, attempt: RelayAttempt, nursery: trio.Nursery) -> None:
        try:
            with attempt.scope:
                await attempt.run()
        except (AnswerLostError, ForwardFailedError) as error:
            self._call.record_failed(attempt, error.outcome)
        except Exception as error:
            # Raised by `_run`, as the nursery would wrap it in a group.
            self._error = error
            nursery.cancel_scope.cancel()

    async def _end(self, verdict: Refuse | None) -> None:
        """Send a refusal, or a replica's error response if there is no answer."""
        has_answer = self._call.is_over
        self._call.is_over = True
        answer = self._call.buffered_answer
        if verdict is not None:
            await self._refuse(verdict)
        elif answer is not None and not has_answer:
            await self._call.send_buffered(answer)

    async def _handle_deadline(self) -> None:
        """Refuse a call whose deadline passed; a started stream is cut off."""
        call = self._call
        is_in_flight = any(each.is_in_flight for each in call.attempts)
        call.cancel()
        if self._responder.is_started:
            return
        if call.may_have_run or is_in_flight:
            kind = ErrorKind.DEADLINE_EXCEEDED
            ending = Ending.UNKNOWN
        else:
            kind = ErrorKind.DRAINING if self._is_ended else ErrorKind.OVERLOADED
            ending = Ending.NOT_RUN
        text = "the time of the call is over"
        if self._is_ended:
            text = "this node has stopped"
        await self._refuse(
            Refuse(self.request_id, kind, ending, text, DEADLINE_RETRY_MS)
        )

    async def _refuse(self, refusal: Refuse) -> None:
        if self._responder.is_started:
            # Closing lets the caller see that the stream is truncated.
            self._responder.close_after()
            return
        await self._responder.refuse(refusal, is_exact=True)
