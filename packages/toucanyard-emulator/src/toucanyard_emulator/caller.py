"""Simulate a caller: it chooses a node, waits, retries and eventually gives up."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from toucanyard.names import CustomerName, Fingerprint, RequestId
from toucanyard.relay_requests import Prompt, RelayRequest
from toucanyard.requests import Repeatability
from toucanyard_emulator.accounting import CallOutcome, Cause
from toucanyard_emulator.arrivals import Arrival
from toucanyard_emulator.relayed_call import CallResult, RelayedCall
from toucanyard_emulator.replica_pool import ENGINE_SERVICE, MODEL, PLAIN_SERVICE

if TYPE_CHECKING:
    from toucanyard_emulator.simulation import Simulation

ABANDON_MIN_MS: Final = 2_000.0
ABANDON_TARGET_FACTOR: Final = 4.0
ABANDON_GAP_FACTOR: Final = 8.0
"""A caller abandons a stream without any event after the longest of ABANDON_MIN_MS,
ABANDON_TARGET_FACTOR target latencies and ABANDON_GAP_FACTOR maximum gaps.
"""
TRANSIT_MS: Final = 120.0


class Caller:
    """One call as seen by its caller. Invariant: it ends exactly once."""

    def __init__(self, simulation: Simulation, arrival: Arrival) -> None:
        self._simulation = simulation
        self._arrival = arrival
        self._attempt_count = 0
        self._excluded: set[int] = set()
        self._call: RelayedCall | None = None
        self._started_ms = 0.0
        self._is_over = False
        self._first_ms: float | None = None
        self._last_cause = Cause.OTHER

    def begin(self) -> None:
        """Start the first attempt."""
        self._started_ms = self._simulation.clock.now_ms
        self._start_attempt()

    def _compute_fingerprint(self) -> Fingerprint:
        """Return the fingerprint shared by all attempts or repetitions of a request."""
        crash = self._arrival.crash
        number = self._arrival.number
        if crash is None or crash.has_block:
            return Fingerprint(f"call {number}")
        return Fingerprint(f"crash {crash.at_s}")

    def _compute_remaining_ms(self) -> float:
        deadline_ms = self._started_ms + self._arrival.kind.deadline_ms
        return deadline_ms - self._simulation.clock.now_ms

    def _start_attempt(self) -> None:
        kind = self._arrival.kind
        self._attempt_count += 1
        rng = random.Random(
            f"{self._simulation.seed} {self._arrival.number} {self._attempt_count}"
        )
        node = self._simulation.choose_node(rng, self._excluded)
        if node is None or not node.is_ready():
            if node is not None:
                self._excluded.add(node.number)
            self._last_cause = Cause.NODE_GONE
            self._retry(1.0)
            return
        now_ms = self._simulation.clock.now_ms + self._simulation.scenario.caller_ms
        is_prompt = bool(self._arrival.blocks)
        repeatability = (
            Repeatability.REPEATABLE if kind.is_repeatable else Repeatability.RUN_ONCE
        )
        request = RelayRequest(
            request_id=RequestId(f"{self._arrival.number}-{self._attempt_count}"),
            caller_id=f"{self._arrival.number}-{self._attempt_count}",
            customer=CustomerName("c"),
            route=kind.name,
            service=ENGINE_SERVICE if is_prompt else PLAIN_SERVICE,
            repeatability=repeatability,
            is_stream=is_prompt,
            is_resumable=is_prompt and kind.is_repeatable,
            max_attempts=kind.max_attempts,
            rank=kind.rank,
            target_ms=kind.target_ms,
            arrived_ms=now_ms,
            deadline_ms=now_ms + self._compute_remaining_ms(),
            table_version=1,
            fingerprint=self._compute_fingerprint(),
            prompt=(
                Prompt(MODEL, self._arrival.blocks, self._arrival.output_tokens)
                if is_prompt
                else None
            ),
        )
        call = self._call = RelayedCall(
            node, self._arrival, request, self._record_first_event, self._handle_end
        )
        node.schedule(
            self._simulation.scenario.caller_ms, lambda: node.accept_call(call)
        )
        if is_prompt:
            timeout_ms = max(
                ABANDON_MIN_MS,
                ABANDON_TARGET_FACTOR * kind.target_ms,
                ABANDON_GAP_FACTOR * kind.max_gap_ms,
            )
            attempt = self._attempt_count
            self._simulation.clock.call_after(
                timeout_ms, lambda: self._abandon_attempt(attempt)
            )

    def _record_first_event(self) -> None:
        if self._first_ms is None:
            self._first_ms = (
                self._simulation.clock.now_ms + self._simulation.scenario.caller_ms
            )

    def _abandon_attempt(self, attempt: int) -> None:
        """Abandon an attempt that has delivered no event."""
        is_waiting = not self._is_over and attempt == self._attempt_count and self._call
        if not is_waiting or self._first_ms is not None or self._call is None:
            return
        self._last_cause = self._find_cause(self._call)
        self._call.handle_caller_left()
        self._fail()

    def _handle_end(self, end: CallResult) -> None:
        if self._is_over:
            return
        if end.is_complete:
            self._succeed()
            return
        if end.is_node_gone:
            self._last_cause = Cause.NODE_GONE
        elif end.is_not_run:
            self._last_cause = Cause.REFUSED
        else:
            self._last_cause = Cause.REPLICA_LOST
        kind = self._arrival.kind
        if not end.is_not_run and not kind.is_repeatable:
            self._fail()
            return
        self._retry(min(end.retry_after_ms, self._compute_remaining_ms() / 3))

    def _retry(self, delay_ms: float) -> None:
        has_time = self._compute_remaining_ms() > delay_ms
        if self._attempt_count > self._arrival.kind.caller_retries or not has_time:
            self._fail()
        else:
            self._simulation.clock.call_after(delay_ms, self._start_attempt)

    def _fail(self) -> None:
        self._finish(CallOutcome(self._arrival, False, False, self._last_cause, 0.0))

    def _succeed(self) -> None:
        call, kind = self._call, self._arrival.kind
        assert call is not None
        now_ms = self._simulation.clock.now_ms + self._simulation.scenario.caller_ms
        first_ms = now_ms if self._first_ms is None else self._first_ms
        latency_ms = first_ms - self._started_ms
        is_slow = latency_ms > kind.target_ms
        is_paused = call.worst_gap_ms > kind.max_gap_ms
        cause = None
        if is_slow:
            cause = self._find_cause(call)
        elif is_paused:
            cause = Cause.STREAM_PAUSED
        outdated_share, consistent_share = 0.0, 1.0
        job = call.trace.job
        if job is not None:
            prices = self._simulation.scenario.prices
            age_ms = self._simulation.compute_weights_age(
                job.weights_version, job.started_ms
            )
            if age_ms > self._simulation.scenario.weights_deadline_ms:
                outdated_share = 1.0
            elif age_ms > prices.old_after_ms:
                outdated_share = prices.old_weights_share
            consistent_share = 1.0 - job.generated_on_other_weights / max(
                job.generated_tokens, 1
            )
        self._finish(
            CallOutcome(
                self._arrival,
                True,
                is_slow or is_paused,
                cause,
                latency_ms,
                outdated_share,
                consistent_share,
            )
        )

    def _find_cause(self, call: RelayedCall) -> Cause:
        """Return the phase in which a late call spent most of its time."""
        trace = call.trace
        sent_ms = trace.first_sent_ms
        if sent_ms is None:
            return Cause.NODE_QUEUE
        retry_delay_ms = call.request.arrived_ms - self._started_ms
        durations_ms = {
            Cause.RETRY_DELAY: retry_delay_ms,
            Cause.NODE_QUEUE: sent_ms - call.request.arrived_ms,
            Cause.EARLIER_ATTEMPTS: trace.last_sent_ms - sent_ms,
        }
        job, now_ms = trace.job, self._simulation.clock.now_ms
        if job is None:
            durations_ms[Cause.EARLIER_ATTEMPTS] += now_ms - trace.last_sent_ms
        elif job.started_ms is None:
            durations_ms[Cause.REPLICA_QUEUE] = now_ms - job.submitted_ms
        else:
            durations_ms[Cause.REPLICA_QUEUE] = job.started_ms - job.submitted_ms
            read_ms = (job.first_ms or now_ms) - job.started_ms
            durations_ms[Cause.PROMPT_READ] = read_ms
        return max(durations_ms, key=lambda cause: durations_ms[cause])

    def _finish(self, outcome: CallOutcome) -> None:
        self._is_over = True
        if self._arrival.crash is None:
            self._simulation.record_outcome(outcome)
