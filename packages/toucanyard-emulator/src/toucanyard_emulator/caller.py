"""Play one caller: it picks a node, waits, comes back when told to, and gives up."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from toucanyard.names import CustomerName, Fingerprint, RequestId
from toucanyard.relay_requests import Prompt, RelayRequest
from toucanyard.requests import Repeatability
from toucanyard_emulator.accounting import Cause, Ended
from toucanyard_emulator.arrivals import Arrival
from toucanyard_emulator.relayed_call import CallEnd, RelayedCall
from toucanyard_emulator.replica_pool import DESK, ENGINES, MODEL

if TYPE_CHECKING:
    from toucanyard_emulator.world import World

LEAVE_MS: Final = 2_000.0
LEAVE_TARGETS: Final = 4.0
LEAVE_GAPS: Final = 8.0
"""A caller leaves a stream without an event after the longest of these."""
TRANSIT_MS: Final = 120.0


class Caller:
    """One call from its caller's view. Invariant: it ends once."""

    def __init__(self, world: World, arrival: Arrival) -> None:
        self._world = world
        self._arrival = arrival
        self._tries = 0
        self._excluded: set[int] = set()
        self._call: RelayedCall | None = None
        self._begun_ms = 0.0
        self._is_over = False
        self._first_ms: float | None = None
        self._last_cause = Cause.OTHER

    def begin(self) -> None:
        """Make the first try."""
        self._begun_ms = self._world.clock.now_ms
        self._try()

    def _find_fingerprint(self) -> Fingerprint:
        """Return what all tries of this call share, or all repeats of its request."""
        crash = self._arrival.crash
        number = self._arrival.number
        return Fingerprint(f"call {number}" if crash is None else f"crash {crash.at_s}")

    def _find_left(self) -> float:
        deadline_ms = self._begun_ms + self._arrival.kind.deadline_ms
        return deadline_ms - self._world.clock.now_ms

    def _try(self) -> None:
        kind = self._arrival.kind
        self._tries += 1
        rng = random.Random(f"{self._world.seed} {self._arrival.number} {self._tries}")
        node = self._world.choose_node(rng, self._excluded)
        if node is None or not node.is_ready():
            if node is not None:
                self._excluded.add(node.number)
            self._last_cause = Cause.NODE_GONE
            self._retry(1.0)
            return
        now_ms = self._world.clock.now_ms + self._world.scenario.caller_ms
        is_prompt = bool(self._arrival.parts)
        repeatability = (
            Repeatability.REPEATABLE if kind.is_repeatable else Repeatability.RUN_ONCE
        )
        request = RelayRequest(
            request_id=RequestId(f"{self._arrival.number}-{self._tries}"),
            caller_id=f"{self._arrival.number}-{self._tries}",
            customer=CustomerName("c"),
            is_isolated=False,
            route=kind.name,
            service=ENGINES if is_prompt else DESK,
            repeatability=repeatability,
            is_stream=is_prompt,
            is_resumable=is_prompt and kind.is_repeatable,
            max_attempts=kind.max_attempts,
            rank=kind.rank,
            target_ms=kind.target_ms,
            arrived_ms=now_ms,
            deadline_ms=now_ms + self._find_left(),
            table_version=1,
            fingerprint=self._find_fingerprint(),
            prompt=(
                Prompt(MODEL, self._arrival.parts, self._arrival.output_tokens)
                if is_prompt
                else None
            ),
        )
        call = self._call = RelayedCall(
            node, self._arrival, request, self._note_first, self._take_end
        )
        node.after(self._world.scenario.caller_ms, lambda: node.offer(call))
        if is_prompt:
            patience_ms = max(
                LEAVE_MS, LEAVE_TARGETS * kind.target_ms, LEAVE_GAPS * kind.max_gap_ms
            )
            tries = self._tries
            self._world.clock.call_after(patience_ms, lambda: self._leave(tries))

    def _note_first(self) -> None:
        if self._first_ms is None:
            self._first_ms = self._world.clock.now_ms + self._world.scenario.caller_ms

    def _leave(self, tries: int) -> None:
        """Leave a try that has shown nothing."""
        is_waiting = not self._is_over and tries == self._tries and self._call
        if not is_waiting or self._first_ms is not None or self._call is None:
            return
        self._last_cause = self._find_cause(self._call)
        self._call.leave()
        self._fail()

    def _take_end(self, end: CallEnd) -> None:
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
        self._retry(min(end.retry_after_ms, self._find_left() / 3))

    def _retry(self, delay_ms: float) -> None:
        has_time = self._find_left() > delay_ms
        if self._tries > self._arrival.kind.caller_retries or not has_time:
            self._fail()
        else:
            self._world.clock.call_after(delay_ms, self._try)

    def _fail(self) -> None:
        self._finish(Ended(self._arrival, False, False, self._last_cause, 0.0))

    def _succeed(self) -> None:
        call, kind = self._call, self._arrival.kind
        assert call is not None
        now_ms = self._world.clock.now_ms + self._world.scenario.caller_ms
        first_ms = now_ms if self._first_ms is None else self._first_ms
        after_ms = first_ms - self._begun_ms
        is_slow = after_ms > kind.target_ms
        is_paused = call.worst_gap_ms > kind.max_gap_ms
        cause = None
        if is_slow:
            cause = self._find_cause(call)
        elif is_paused:
            cause = Cause.PAUSED
        old_share, kept_share = 0.0, 1.0
        job = call.trace.job
        if job is not None:
            prices = self._world.scenario.prices
            age_ms = self._world.find_weights_age(job.weights_version, job.begun_ms)
            if age_ms > self._world.scenario.weights_deadline_ms:
                old_share = 1.0
            elif age_ms > prices.old_after_ms:
                old_share = prices.old_weights_share
            kept_share = 1.0 - job.made_on_other / max(job.made, 1)
        self._finish(
            Ended(
                self._arrival,
                True,
                is_slow or is_paused,
                cause,
                after_ms,
                old_share,
                kept_share,
            )
        )

    def _find_cause(self, call: RelayedCall) -> Cause:
        """Return what took most of a late call's time."""
        trace = call.trace
        sent_ms = trace.first_sent_ms
        if sent_ms is None:
            return Cause.WAITED_AT_NODE
        came_ms = call.request.arrived_ms - self._begun_ms
        parts = {
            Cause.CAME_BACK: came_ms,
            Cause.WAITED_AT_NODE: sent_ms - call.request.arrived_ms,
            Cause.TRIED_ELSEWHERE: trace.last_sent_ms - sent_ms,
        }
        job, now_ms = trace.job, self._world.clock.now_ms
        if job is None:
            parts[Cause.TRIED_ELSEWHERE] += now_ms - trace.last_sent_ms
        elif job.begun_ms is None:
            parts[Cause.WAITED_AT_REPLICA] = now_ms - job.submitted_ms
        else:
            parts[Cause.WAITED_AT_REPLICA] = job.begun_ms - job.submitted_ms
            read_ms = (job.first_ms or now_ms) - job.begun_ms
            parts[Cause.READ_LONG] = read_ms
        return max(parts, key=lambda cause: parts[cause])

    def _finish(self, ended: Ended) -> None:
        self._is_over = True
        if self._arrival.crash is None:
            self._world.note_ended(ended)
