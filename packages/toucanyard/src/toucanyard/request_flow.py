"""Process each request from its arrival to its end: key, queue, endpoint, retries.

Combines the decisions of at-most-once, admission and placement. A keyed request is
admitted before its key is claimed, so that a refusal for overload costs no append. The
ending that such a refusal reports for the key depends on the declared key age.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import msgspec

from toucanyard.admission import Admission, AdmissionAction, Admit
from toucanyard.at_most_once import AtMostOnce
from toucanyard.claim_events import (
    AllowDispatch,
    AppendRecord,
    CallerLeft as KeyCallerLeft,
    ClaimAction,
    DispatchEnded,
    DispatchStarted,
    RefuseKeyedRequest,
    ReplayAnswer,
    SendToPeer,
)
from toucanyard.configuration import Configuration
from toucanyard.core_events import AppendToLog, Reply
from toucanyard.dispatch_feedback import DispatchFeedback
from toucanyard.endpoint_choice import Choice, EndpointChoice, Limits
from toucanyard.endpoint_directory import EndpointDirectory
from toucanyard.errorcodes import ANSWERS, Ending, ErrorKind
from toucanyard.key_answers import compute_unclaimed_ending
from toucanyard.names import EndpointName, RequestId
from toucanyard.options import StreamLimits
from toucanyard.pending_requests import (
    PendingRequest,
    Phase,
    build_key_event,
    find_unknown_kind,
)
from toucanyard.placement import Placed, Placement
from toucanyard.request_records import RequestRecords
from toucanyard.requests import (
    PROVEN_NOT_RUN,
    Dispatch,
    DispatchEnding,
    Outcome,
    Refuse,
    Repeatability,
    Replay,
    Request,
)
from toucanyard.silence_bounds import SilenceBounds

FlowAction = Reply | AppendToLog | SendToPeer


class RequestFlow:
    """All unfinished requests of one node.

    Invariant: each RequestArrived and each DispatchFinished gets exactly one Reply,
    unless the caller disconnected before.
    """

    def __init__(
        self,
        admission: Admission,
        placement: Placement,
        claims: AtMostOnce,
        directory: EndpointDirectory,
        limits: StreamLimits,
        max_attempts: int,
    ) -> None:
        self._admission = admission
        self._placement = placement
        self._claims = claims
        self._directory = directory
        self._silences = SilenceBounds(limits)
        self._max_attempts = max_attempts
        self._pending: dict[RequestId, PendingRequest] = {}
        self._choice = EndpointChoice(admission, placement, directory)
        self._configuration = Configuration()
        self.records = RequestRecords()
        self._feedback = DispatchFeedback(
            admission, placement, directory, self._silences, self.records
        )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use this configuration from now on."""
        self._configuration = configuration
        self._admission.apply_configuration(configuration)
        self._choice.apply_configuration(configuration)

    def apply_node_count(self, count: int) -> None:
        """Update the number of nodes that share the endpoints."""
        self._admission.apply_node_count(count)
        self._placement.apply_node_count(count)
        self._admission.apply_configuration(self._configuration)
        self._choice.apply_configuration(self._configuration)

    def count_pending(self) -> int:
        """Return the number of unfinished requests."""
        return len(self._pending)

    def handle_arrival(self, request: Request, now_ms: float) -> Iterator[FlowAction]:
        """Process a new request."""
        self._pending[request.request_id] = PendingRequest(request)
        self.records.open(request, now_ms)
        event = build_key_event(request)
        if event is not None and not self._claims.may_dispatch(event):
            yield from self.apply_claims(self._claims.handle(event, now_ms), now_ms)
            return
        self._choice.report_usable(request, now_ms)
        yield from self._apply_admission(self._admission.offer(request, now_ms), now_ms)
        pending = self._pending.get(request.request_id)
        if pending is not None and pending.phase is Phase.WAITING:
            self.records.record_queued(request.request_id, now_ms)

    def handle_caller_left(
        self, request_id: RequestId, now_ms: float
    ) -> Iterator[FlowAction]:
        """Drop a request whose caller disconnected before its verdict was delivered."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        if pending.placed is not None:
            yield from self._cancel_unsent(pending, pending.placed, now_ms)
            return
        if pending.request.repeatability is Repeatability.KEYED:
            actions = self._claims.handle(KeyCallerLeft(request_id), now_ms)
            yield from self.apply_claims(actions, now_ms)
        actions_freed = self._admission.abandon(request_id, now_ms)
        yield from self._apply_admission(actions_freed, now_ms)

    def _cancel_unsent(
        self, pending: PendingRequest, placed: Placed, now_ms: float
    ) -> Iterator[FlowAction]:
        """End a dispatch that was not carried out because the caller had just left.

        Nothing was sent, so the key can end as NOT_RUN. Otherwise the key would count
        as running, and its work as load of the endpoint, for ever.
        """
        request_id = pending.request.request_id
        self._feedback.record_unsent(pending, placed, now_ms)
        unsent = Outcome(request_id, placed.endpoint, DispatchEnding.NOT_SENT)
        yield from self._finish(pending, unsent, now_ms)

    def record_first_token(
        self, request_id: RequestId, after_ms: float, now_ms: float
    ) -> None:
        """Record that an answer has begun."""
        pending = self._pending.get(request_id)
        if pending is not None and pending.placed is not None:
            self._feedback.record_first_token(pending, pending.placed, after_ms, now_ms)

    def end_dispatch(self, outcome: Outcome, now_ms: float) -> Iterator[FlowAction]:
        """Process the outcome of a dispatch: finish, retry or refuse the request."""
        pending = self._pending.get(outcome.request_id)
        if pending is None:
            yield Reply(outcome.request_id, None)
            return
        self._feedback.record_dispatch_end(pending, outcome, now_ms)
        if outcome.ending in (DispatchEnding.COMPLETED, DispatchEnding.CANCELLED):
            yield from self._finish(pending, outcome, now_ms)
            yield Reply(outcome.request_id, None)
            return
        yield from self._retry_or_refuse(pending, outcome, now_ms)

    def tick(self, now_ms: float) -> Iterator[FlowAction]:
        """Refuse requests whose deadline passed in the queue and admit what fits."""
        yield from self._apply_admission(self._admission.tick(now_ms), now_ms)

    def apply_claims(
        self, actions: Sequence[ClaimAction], now_ms: float
    ) -> Iterator[FlowAction]:
        """Carry out the actions of the at-most-once decision."""
        for action in actions:
            match action:
                case AllowDispatch(request_id=request_id):
                    yield from self._allow(request_id, now_ms)
                case RefuseKeyedRequest():
                    refusal = Refuse(
                        action.request_id,
                        action.kind,
                        action.ending,
                        action.text,
                        action.retry_after_ms,
                    )
                    yield from self._refuse(refusal, now_ms)
                case ReplayAnswer(request_id=request_id, answer=answer):
                    yield from self._replay(Replay(request_id, answer), now_ms)
                case AppendRecord():
                    yield AppendToLog(action.record_id, action.text, action.is_urgent)
                case SendToPeer():
                    yield action

    def _apply_admission(
        self, actions: Sequence[AdmissionAction], now_ms: float
    ) -> Iterator[FlowAction]:
        for action in actions:
            match action:
                case Admit(request=request, priority=priority):
                    yield from self._admit(request, priority, now_ms)
                case Refuse():
                    yield from self._refuse(self._limit_refusal(action), now_ms)

    def _admit(
        self, request: Request, priority: int, now_ms: float
    ) -> Iterator[FlowAction]:
        pending = self._pending.get(request.request_id)
        if pending is None:
            return
        pending.priority = priority
        event = build_key_event(request)
        if event is None or pending.is_key_allowed:
            yield from self._dispatch(pending, now_ms)
            return
        yield from self.apply_claims(self._claims.handle(event, now_ms), now_ms)

    def _allow(self, request_id: RequestId, now_ms: float) -> Iterator[FlowAction]:
        pending = self._pending.get(request_id)
        if pending is None:
            ended = DispatchEnded(request_id, DispatchEnding.NOT_SENT)
            yield from self.apply_claims(self._claims.handle(ended, now_ms), now_ms)
            return
        pending.is_key_allowed = True
        self.records.record_claimed(request_id, now_ms)
        yield from self._dispatch(pending, now_ms)

    def _dispatch(self, pending: PendingRequest, now_ms: float) -> Iterator[FlowAction]:
        """Send a request to the best endpoint, or refuse it if there is none."""
        request = pending.request
        if request.deadline_ms <= now_ms:
            text = "the deadline passed before the request could be sent"
            yield from self._give_up(pending, ErrorKind.DEADLINE_EXCEEDED, text, now_ms)
            return
        limits = Limits(pending.tried, pending.weights_version)
        choice = self._choice.choose(request, limits, now_ms)
        if choice is None:
            text = "no endpoint can take the request"
            yield from self._give_up(pending, ErrorKind.NO_ENDPOINT, text, now_ms)
            return
        yield from self._send(pending, choice, now_ms)

    def _send(
        self, pending: PendingRequest, choice: Choice, now_ms: float
    ) -> Iterator[FlowAction]:
        request = pending.request
        placed = choice.placed
        pending.attempt += 1
        pending.placed = placed
        pending.sent_ms = now_ms
        pending.phase = Phase.RUNNING
        pool = self._choice.find_pool(request)
        self._feedback.record_sent(pending, placed, pool, now_ms)
        if request.repeatability is Repeatability.KEYED:
            started = DispatchStarted(request.request_id)
            yield from self.apply_claims(self._claims.handle(started, now_ms), now_ms)
        self.records.record_sent(request.request_id, placed, pending.attempt, now_ms)
        dispatch = Dispatch(
            request_id=request.request_id,
            endpoint=placed.endpoint,
            address=choice.address,
            attempt=pending.attempt,
            expected_incarnation=placed.incarnation,
            weights_version=pending.weights_version or "",
            priority=pending.priority,
            silence_ms=self._silences.compute_bound(placed.endpoint),
        )
        yield Reply(request.request_id, dispatch)

    def _retry_or_refuse(
        self, pending: PendingRequest, outcome: Outcome, now_ms: float
    ) -> Iterator[FlowAction]:
        request = pending.request
        is_safe = (
            outcome.ending in PROVEN_NOT_RUN
            or request.repeatability is Repeatability.REPEATABLE
        )
        if not is_safe:
            text = "the endpoint failed while it may have been running the request"
            yield from self._give_up(
                pending, ErrorKind.OUTCOME_UNKNOWN, text, now_ms, outcome
            )
            return
        pending.tried = (*pending.tried, outcome.endpoint)
        if self._may_retry(pending, outcome, now_ms):
            yield from self._dispatch(pending, now_ms)
            return
        text = f"{pending.attempt} tries failed, the last at {outcome.endpoint}"
        yield from self._give_up(pending, ErrorKind.NO_ENDPOINT, text, now_ms, outcome)

    def _may_retry(
        self, pending: PendingRequest, outcome: Outcome, now_ms: float
    ) -> bool:
        """Return whether another attempt is allowed; it may consume retry budget.

        A rejected attempt costs its endpoint almost nothing, and an endpoint that
        rejects requests is skipped for a while, so retries after a rejection can't
        amplify an overload. They need no budget, only an endpoint not backing off.
        """
        if outcome.ending not in PROVEN_NOT_RUN:
            return self._admission.may_retry(pending.attempt)
        if pending.attempt >= self._max_attempts:
            return False
        limits = Limits(pending.tried, pending.weights_version)
        return any(
            not self._directory.is_backing_off(each.name, now_ms)
            for each in self._choice.list_candidates(pending.request, limits, now_ms)
        )

    def _give_up(
        self,
        pending: PendingRequest,
        kind: ErrorKind,
        text: str,
        now_ms: float,
        outcome: Outcome | None = None,
    ) -> Iterator[FlowAction]:
        """Refuse a request that holds a slot, a key or both."""
        request = pending.request
        if pending.may_have_run:
            kind = find_unknown_kind(request)
        ending = ANSWERS[kind].ending or Ending.UNKNOWN
        if outcome is None:
            outcome = Outcome(
                request.request_id, EndpointName(""), DispatchEnding.NOT_SENT
            )
        retry_after_ms = self._admission.compute_retry_after(request, now_ms)
        refusal = Refuse(request.request_id, kind, ending, text, retry_after_ms)
        yield from self._refuse(refusal, now_ms, outcome)

    def _refuse(
        self, refusal: Refuse, now_ms: float, outcome: Outcome | None = None
    ) -> Iterator[FlowAction]:
        pending = self._pending.get(refusal.request_id)
        if pending is None:
            return
        self.records.record_refused(pending.request, refusal, now_ms)
        yield Reply(refusal.request_id, refusal)
        yield from self._finish(pending, outcome, now_ms)

    def _replay(self, replay: Replay, now_ms: float) -> Iterator[FlowAction]:
        pending = self._pending.get(replay.request_id)
        if pending is None:
            return
        self.records.record_replayed(replay.request_id, now_ms)
        yield Reply(replay.request_id, replay)
        yield from self._finish(pending, None, now_ms)

    def _finish(
        self, pending: PendingRequest, outcome: Outcome | None, now_ms: float
    ) -> Iterator[FlowAction]:
        """Release the key and the slot of a request, and remove it."""
        request_id = pending.request.request_id
        self._pending.pop(request_id, None)
        if pending.is_key_allowed and outcome is not None:
            ended = DispatchEnded(request_id, outcome.ending, outcome.answer)
            yield from self.apply_claims(self._claims.handle(ended, now_ms), now_ms)
        freed = self._admission.release(request_id, now_ms)
        yield from self._apply_admission(freed, now_ms)

    def _limit_refusal(self, refusal: Refuse) -> Refuse:
        """Limit the ending in a keyed refusal to what is known about the key."""
        pending = self._pending.get(refusal.request_id)
        if pending is None:
            return refusal
        request = pending.request
        if request.repeatability is not Repeatability.KEYED:
            return refusal
        ending = compute_unclaimed_ending(request.key_age_ms)
        return msgspec.structs.replace(refusal, ending=ending)
