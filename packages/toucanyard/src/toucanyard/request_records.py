"""Record the steps of requests, to explain decisions, and statistics."""

from __future__ import annotations

from toucanyard.core_events import RequestTurnedAway
from toucanyard.explanations import (
    Claimed,
    DecisionRecord,
    Ended,
    ExplanationRing,
    Queued,
    Refused,
    Replayed,
    Sent,
)
from toucanyard.names import CustomerName, RequestId
from toucanyard.placement import Placed
from toucanyard.requests import Outcome, Refuse, Request
from toucanyard.statistics import StatisticsCollector


class RequestRecords:
    """The decision records and statistics of one node."""

    __slots__ = ("explanations", "statistics")

    def __init__(self) -> None:
        self.explanations = ExplanationRing()
        self.statistics = StatisticsCollector()

    def open(self, request: Request, now_ms: float) -> None:
        """Start the record of a new request."""
        record = DecisionRecord(
            request.request_id,
            request.customer,
            request.configuration_version,
            now_ms,
        )
        self.explanations.open(record)

    def record_queued(self, request_id: RequestId, now_ms: float) -> None:
        """Record that a request is queued."""
        self.explanations.add_step(request_id, Queued(now_ms))

    def record_claimed(self, request_id: RequestId, now_ms: float) -> None:
        """Record that the claim on a request's key was won."""
        self.explanations.add_step(request_id, Claimed(now_ms))

    def record_sent(
        self, request_id: RequestId, placed: Placed, attempt: int, now_ms: float
    ) -> None:
        """Record where an attempt was sent, and the alternatives."""
        sent = Sent(now_ms, placed.endpoint, attempt, placed.level_depth, placed.scores)
        self.explanations.add_step(request_id, sent)

    def record_ended(
        self, request: Request, outcome: Outcome, sent_ms: float, now_ms: float
    ) -> None:
        """Record how an attempt ended."""
        waited_ms = sent_ms - request.arrived_ms
        self.statistics.record_outcome(
            request.customer, request.priority, outcome, waited_ms
        )
        ended = Ended(
            now_ms,
            outcome.endpoint,
            outcome.ending,
            outcome.first_token_ms,
            outcome.cached_tokens,
            outcome.prompt_tokens,
        )
        self.explanations.add_step(request.request_id, ended)

    def record_rejected(self, event: RequestTurnedAway, now_ms: float) -> None:
        """Record that a request was rejected before it reached the core."""
        refusal = event.refusal
        if self.explanations.find(refusal.request_id) is None:
            self.explanations.open(
                DecisionRecord(
                    refusal.request_id,
                    event.customer,
                    event.configuration_version,
                    now_ms,
                    (),
                )
            )
        self._add_refusal(refusal, event.customer, now_ms)

    def record_refused(self, request: Request, refusal: Refuse, now_ms: float) -> None:
        """Record that a request was refused, and why."""
        self._add_refusal(refusal, request.customer, now_ms)

    def _add_refusal(
        self, refusal: Refuse, customer: CustomerName, now_ms: float
    ) -> None:
        refused = Refused(
            now_ms,
            refusal.kind,
            refusal.ending,
            refusal.text,
            refusal.retry_after_ms,
        )
        self.explanations.add_step(refusal.request_id, refused)
        self.statistics.record_refusal(customer, refusal.kind)

    def record_replayed(self, request_id: RequestId, now_ms: float) -> None:
        """Record that the answer of an earlier attempt was returned."""
        self.explanations.add_step(request_id, Replayed(now_ms))
