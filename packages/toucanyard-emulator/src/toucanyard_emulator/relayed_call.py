"""Simulate how a node relays one call: its dispatches, timers and end."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import msgspec

from toucanyard.relay_events import (
    CallArrived,
    CallerLeft,
    DispatchEnded,
    FirstEventSeen,
    ForwardEnded,
    ReplicaStatementSeen,
)
from toucanyard.relay_requests import (
    ForwardOutcome,
    RelayDispatch,
    RelayForward,
    RelayOutcome,
    RelayRequest,
    RelayVerdict,
)
from toucanyard.replica_statements import ReplicaStatement, StatedLoad
from toucanyard.requests import DispatchEnding, Refuse
from toucanyard_emulator.arrivals import Arrival
from toucanyard_emulator.engine import Availability, Engine, Job, JobOutcome

if TYPE_CHECKING:
    from toucanyard_emulator.node import EmulatedNode

HANDSHAKE_MS: Final = 1.0
GAP_TIMEOUT_FACTOR: Final = 2.5
MIN_GAP_TIMEOUT_MS: Final = 900.0
GAP_CHECK_INTERVAL_MS: Final = 250.0
"""Interval between checks whether a stream has stalled."""


class CallTrace(msgspec.Struct):
    """How a call spent its time at a node; used to find the cause of a late call."""

    queued_ms: float = 0.0
    first_sent_ms: float | None = None
    last_sent_ms: float = 0.0
    dispatches: int = 0
    job: Job | None = None
    """Job of the last dispatch."""


class CallResult(msgspec.Struct, frozen=True):
    """The result of one attempt of a caller."""

    is_complete: bool
    is_not_run: bool = False
    retry_after_ms: float = 0.0
    is_node_gone: bool = False


class RelayedCall:
    """One attempt of a caller at one node. Invariant: `on_end` runs at most once."""

    def __init__(
        self,
        node: EmulatedNode,
        arrival: Arrival,
        request: RelayRequest,
        on_first: Callable[[], None],
        on_end: Callable[[CallResult], None],
    ) -> None:
        self.arrival = arrival
        self.request = request
        self.trace = CallTrace()
        self.first_ms: float | None = None
        self.worst_gap_ms = 0.0
        self.generated_tokens = 0
        self._node = node
        self._on_first = on_first
        self._on_end = on_end
        self._dispatch: RelayDispatch | None = None
        self._dispatch_number = 0
        """Number of the last dispatch; events of earlier ones are ignored."""
        self._is_over = False

    def begin(self) -> None:
        """Submit the call to the core of the node and schedule its deadline."""
        left_ms = self.request.deadline_ms - self._node.now_ms
        self._node.schedule(left_ms, self._handle_deadline)
        self._node.handle(CallArrived(self.request))

    def apply_verdict(self, verdict: RelayVerdict | None) -> None:
        """Execute the verdict of the core."""
        if self._is_over:
            return
        match verdict:
            case RelayDispatch():
                self._send(verdict)
            case RelayForward():
                # The emulator's nodes have no connections to forward calls on.
                outcome = ForwardOutcome(
                    self.request.request_id, verdict.peer, DispatchEnding.NOT_SENT
                )
                self._node.handle(ForwardEnded(outcome))
            case Refuse():
                is_not_run = verdict.ending.value == "not_run"
                self._end(CallResult(False, is_not_run, verdict.retry_after_ms or 0.0))
            case None:
                pass

    def handle_caller_left(self) -> None:
        """Handle that the caller has disconnected."""
        if self._is_over:
            return
        self._is_over = True
        self._node.remove_call(self)
        self._cancel_dispatch()

    def handle_node_stopped(self) -> None:
        """Handle that the node has stopped."""
        if not self._is_over:
            self._is_over = True
            self._cancel_job()
            self._on_end(CallResult(False, is_node_gone=True))

    def _end(self, end: CallResult) -> None:
        self._is_over = True
        self._node.remove_call(self)
        self._on_end(end)

    def _handle_deadline(self) -> None:
        if self._is_over:
            return
        was_sent = self._dispatch is not None
        self._cancel_dispatch()
        self._end(
            CallResult(False, is_not_run=not was_sent and self._dispatch_number == 0)
        )

    def _cancel_dispatch(self) -> None:
        dispatch, self._dispatch = self._dispatch, None
        self._cancel_job()
        if dispatch is None:
            self._node.handle(CallerLeft(self.request.request_id))
        else:
            self._report(dispatch, DispatchEnding.CANCELLED)

    def _cancel_job(self) -> None:
        job, self._dispatch_number = self.trace.job, self._dispatch_number + 1
        if job is not None and job.engine is not None:
            job.engine.cancel(job)

    def _send(self, dispatch: RelayDispatch) -> None:
        now_ms = self._node.now_ms
        self._dispatch = dispatch
        self._dispatch_number += 1
        number = self._dispatch_number
        trace = self.trace
        trace.dispatches += 1
        trace.last_sent_ms = now_ms
        if trace.first_sent_ms is None:
            trace.first_sent_ms = now_ms
            reason = dispatch.reason
            trace.queued_ms = 0.0 if reason is None else reason.queued_ms
        simulation = self._node.simulation
        replica = simulation.pool.find_replica(dispatch.replica)
        if replica is None or replica.availability is Availability.DOWN:
            self._node.schedule(2.0, lambda: self._handle_no_listener(number))
            return
        if replica.availability is Availability.SILENT:
            self._node.schedule(
                dispatch.connect_ms,
                lambda: self._fail_dispatch(number, DispatchEnding.NOT_SENT, True),
            )
            return
        simulation.counts.connections += 1
        latency_ms = simulation.pool.compute_latency(
            self._node.domain, dispatch.replica
        )
        request_delay_ms = 3 * latency_ms + HANDSHAKE_MS
        self._node.schedule(
            request_delay_ms, lambda: self._submit(number, dispatch, latency_ms)
        )
        if not math.isinf(dispatch.patience_ms):
            self._node.schedule(
                2 * latency_ms + HANDSHAKE_MS + dispatch.patience_ms,
                lambda: self._handle_first_event_timeout(number),
            )

    def _submit(self, number: int, dispatch: RelayDispatch, latency_ms: float) -> None:
        if number != self._dispatch_number:
            return
        replica = self._node.simulation.pool.find_replica(dispatch.replica)
        if replica is None or replica.availability is Availability.DOWN:
            self._fail_dispatch(number, DispatchEnding.LOST, is_closed=True)
            return
        if replica.availability is Availability.SILENT:
            return
        if not isinstance(replica, Engine):
            replica.submit(
                self.arrival.work_ms,
                lambda end: self._node.schedule(
                    latency_ms, lambda: self._handle_plain_end(number, end)
                ),
            )
            return
        assert self.request.prompt is not None
        job = Job(
            rank=dispatch.rank,
            scope=dispatch.cache_scope,
            blocks=self.request.prompt.parts,
            output_tokens=max(self.arrival.output_tokens - self.generated_tokens, 1),
            weights_version=dispatch.weights_version or 0,
            fetch_from=dispatch.fetch_from,
            save_to=dispatch.save_to,
            on_first=lambda _: self._handle_first_token(number, replica, latency_ms),
            on_end=lambda job, end: self._node.schedule(
                latency_ms, lambda: self._handle_job_end(number, job, end)
            ),
        )
        self.trace.job = job
        replica.submit(job)

    def _handle_first_token(
        self, number: int, engine: Engine, latency_ms: float
    ) -> None:
        self._node.schedule(latency_ms, lambda: self._handle_first_event(number))
        if self.arrival.crash is not None:
            self._node.simulation.crash_engine(engine, self.arrival.crash)

    def _handle_first_event(self, number: int) -> None:
        if number != self._dispatch_number or self._is_over:
            return
        self._report_contention()
        self._node.handle(FirstEventSeen(self.request.request_id))
        if self.first_ms is None:
            self.first_ms = self._node.now_ms
            self._on_first()
        if self._dispatch is not None and not math.isinf(self._dispatch.patience_ms):
            self._node.schedule(GAP_CHECK_INTERVAL_MS, lambda: self._check_gap(number))

    def _report_contention(self) -> None:
        """Report the load that the head of an answer states."""
        job, dispatch = self.trace.job, self._dispatch
        engine = None if job is None else job.engine
        if engine is None or dispatch is None or engine.settings.contention is None:
            return
        contention = engine.compute_contention() / engine.speed
        load = StatedLoad(engine.count_calls(), 0, engine.settings.slots, contention)
        statement = ReplicaStatement(load=load)
        self._node.handle(ReplicaStatementSeen(dispatch.replica, statement))

    def _check_gap(self, number: int) -> None:
        """Fail the dispatch of a resumable stream that has stalled."""
        job = self.trace.job
        if number != self._dispatch_number or self._is_over or job is None:
            return
        timeout_ms = max(
            self.arrival.kind.max_gap_ms * GAP_TIMEOUT_FACTOR, MIN_GAP_TIMEOUT_MS
        )
        if self._node.now_ms - job.event_ms > timeout_ms:
            self._fail_dispatch(number, DispatchEnding.LOST)
        else:
            self._node.schedule(GAP_CHECK_INTERVAL_MS, lambda: self._check_gap(number))

    def _handle_first_event_timeout(self, number: int) -> None:
        job = self.trace.job
        if number != self._dispatch_number or self._is_over:
            return
        if self._dispatch is None or (job is not None and job.first_ms is not None):
            return
        if job is not None and job.engine is not None:
            job.engine.cancel(job)
        self._fail_dispatch(number, DispatchEnding.LOST)

    def _handle_plain_end(self, number: int, end: JobOutcome) -> None:
        if number != self._dispatch_number or self._is_over:
            return
        if end is JobOutcome.REFUSED:
            self._fail_dispatch(number, DispatchEnding.REFUSED)
            return
        self.first_ms = self._node.now_ms
        self._complete()

    def _handle_job_end(self, number: int, job: Job, end: JobOutcome) -> None:
        self.worst_gap_ms = max(self.worst_gap_ms, job.worst_gap_ms)
        if number != self._dispatch_number or self._is_over:
            return
        self.generated_tokens += job.generated_tokens
        match end:
            case JobOutcome.DONE:
                self._complete()
            case JobOutcome.REFUSED:
                self._fail_dispatch(number, DispatchEnding.REFUSED)
            case JobOutcome.OTHER_WEIGHTS:
                other_version = None if job.engine is None else job.engine.version
                self._fail_dispatch(
                    number, DispatchEnding.REFUSED, other_version=other_version
                )
            case JobOutcome.LOST:
                self._fail_dispatch(number, DispatchEnding.LOST, is_closed=True)

    def _complete(self) -> None:
        dispatch, self._dispatch = self._dispatch, None
        assert dispatch is not None
        self._report(dispatch, DispatchEnding.COMPLETED)
        self._end(CallResult(True))

    def _handle_no_listener(self, number: int) -> None:
        self._fail_dispatch(number, DispatchEnding.NOT_SENT, True, has_no_listener=True)

    def _fail_dispatch(
        self,
        number: int,
        ending: DispatchEnding,
        is_dead: bool = False,
        *,
        has_no_listener: bool = False,
        is_closed: bool = False,
        other_version: int | None = None,
    ) -> None:
        if number != self._dispatch_number or self._is_over or self._dispatch is None:
            return
        dispatch, self._dispatch = self._dispatch, None
        self._dispatch_number += 1
        self._report(
            dispatch,
            ending,
            is_dead=is_dead,
            has_no_listener=has_no_listener,
            is_closed=is_closed,
            other_version=other_version,
        )

    def _report(
        self,
        dispatch: RelayDispatch,
        ending: DispatchEnding,
        *,
        is_dead: bool = False,
        has_no_listener: bool = False,
        is_closed: bool = False,
        other_version: int | None = None,
    ) -> None:
        outcome = RelayOutcome(
            self.request.request_id,
            dispatch.replica,
            ending,
            is_dead=is_dead,
            has_no_listener=has_no_listener,
            is_closed=is_closed,
            has_other_weights=other_version is not None,
            has_begun=self.first_ms is not None,
            weights_version=(
                dispatch.weights_version
                if ending is DispatchEnding.COMPLETED
                else other_version
            ),
        )
        self._node.handle(DispatchEnded(outcome))
