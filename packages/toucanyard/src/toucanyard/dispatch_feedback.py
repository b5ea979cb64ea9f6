"""Pass the results of dispatches to placement, admission, directory and records."""

from __future__ import annotations

from typing import Final

from toucanyard.admission import Admission
from toucanyard.configuration import Pool
from toucanyard.endpoint_directory import EndpointDirectory
from toucanyard.pending_requests import PendingRequest
from toucanyard.placement import Placed, Placement
from toucanyard.request_records import RequestRecords
from toucanyard.requests import PROVEN_NOT_RUN, DispatchEnding, ModelTarget, Outcome
from toucanyard.silence_bounds import SilenceBounds

_FAILED: Final = frozenset(
    {DispatchEnding.NOT_SENT, DispatchEnding.FAILED, DispatchEnding.LOST}
)


class DispatchFeedback:
    """Feedback from one node's own dispatches.

    Invariant: every dispatch recorded as sent is later recorded as ended, exactly once.
    """

    __slots__ = ("_admission", "_directory", "_placement", "_records", "_silences")

    def __init__(
        self,
        admission: Admission,
        placement: Placement,
        directory: EndpointDirectory,
        silences: SilenceBounds,
        records: RequestRecords,
    ) -> None:
        self._admission = admission
        self._placement = placement
        self._directory = directory
        self._silences = silences
        self._records = records

    def record_sent(
        self, pending: PendingRequest, placed: Placed, pool: Pool | None, now_ms: float
    ) -> None:
        """Count a dispatch as load of its endpoint."""
        request = pending.request
        self._placement.record_dispatch(request, placed, pool, now_ms)
        work_ms = placed.first_token_ms - placed.queue_ms
        self._admission.record_dispatch(
            request.request_id, placed.endpoint, work_ms, now_ms
        )

    def record_first_token(
        self, pending: PendingRequest, placed: Placed, after_ms: float, now_ms: float
    ) -> None:
        """Record the time to the first token, and pin the answer's weights version."""
        request_id = pending.request.request_id
        self._placement.record_first_token(
            request_id, placed.endpoint, after_ms, now_ms
        )
        computed_ms = placed.first_token_ms - placed.queue_ms
        wait_ms = max(after_ms - computed_ms, 0.0)
        self._admission.record_first_token(request_id, wait_ms, now_ms)
        pending.weights_version = self._find_sent_weights(pending, placed)

    def record_dispatch_end(
        self, pending: PendingRequest, outcome: Outcome, now_ms: float
    ) -> None:
        """Record the end of a dispatch."""
        request = pending.request
        if outcome.ending not in PROVEN_NOT_RUN:
            pending.may_have_run = True
        if pending.weights_version is not None and outcome.weights_version:
            pending.weights_version = outcome.weights_version
        self._placement.record_dispatch_end(request, outcome, now_ms)
        if outcome.longest_pause_ms > 0:
            self._silences.record_pause(outcome.endpoint, outcome.longest_pause_ms)
        if outcome.ending in PROVEN_NOT_RUN:
            self._directory.record_refusal(outcome.endpoint, now_ms)
        elif outcome.ending is DispatchEnding.COMPLETED:
            self._directory.record_success(outcome.endpoint)
        if outcome.ending in _FAILED:
            self._admission.record_failure(request.request_id, now_ms)
            self._directory.record_failure(outcome.endpoint, now_ms)
        self._records.record_ended(request, outcome, pending.sent_ms, now_ms)

    def record_unsent(
        self, pending: PendingRequest, placed: Placed, now_ms: float
    ) -> None:
        """Undo a dispatch that was never sent: it is no load of its endpoint."""
        request = pending.request
        cancelled = Outcome(
            request.request_id, placed.endpoint, DispatchEnding.CANCELLED
        )
        self._placement.record_dispatch_end(request, cancelled, now_ms)

    def _find_sent_weights(self, pending: PendingRequest, placed: Placed) -> str | None:
        target = pending.request.target
        if not isinstance(target, ModelTarget):
            return None
        return self._directory.find_weights(placed.endpoint) or target.weights_version
