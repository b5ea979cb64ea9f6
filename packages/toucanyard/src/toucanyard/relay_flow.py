"""Process relayed calls from arrival to end: queueing, dispatch and retries.

A call is sent, waits for a replica with capacity, or is refused before anything was
sent, so that the ending "not run" is true. A failed call is retried elsewhere only if
it provably did not run or may run twice, within the route's maximum attempts and the
retry budget of all nodes.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.call_checks import CallChecks
from toucanyard.call_forwards import MAX_FORWARDS, CallForwards, PeersBusy
from toucanyard.call_limits import CallLimits
from toucanyard.call_placement import CallPlacement
from toucanyard.call_refusals import CallRefusals, RefusalReason
from toucanyard.call_retries import CallRetries
from toucanyard.call_waits import CallWaits
from toucanyard.dispatch_outcomes import DispatchOutcomes
from toucanyard.errorcodes import ErrorKind
from toucanyard.hedged_calls import HedgedCalls
from toucanyard.names import RequestId, ServiceName
from toucanyard.pending_call import PendingCall
from toucanyard.relay_events import AttemptContinued, AttemptSilent
from toucanyard.relay_options import RetryLimits
from toucanyard.relay_policy import RelayPolicy
from toucanyard.relay_requests import (
    ForwardOutcome,
    HedgeWithheld,
    RelayDispatch,
    RelayForward,
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replicas import ReplicaDirectory
from toucanyard.request_guard import RequestGuard
from toucanyard.requests import PROVEN_NOT_RUN, DispatchEnding
from toucanyard.resumed_streams import (
    AwaitedOrigin,
    FoundOrigin,
    ResumedStreams,
    UnknownOrigin,
)
from toucanyard.routes import RouteIndex
from toucanyard.stop_admission import StopAdmission
from toucanyard.stream_origins import StreamOrigin
from toucanyard.target_weights import TargetWeightsTable

MAX_BLOCKED: Final = 8
"""Calls of one queue and origin that may fail to be placed before the rest is skipped,
as those would hardly fit either."""
PEER_KINDS: Final = (
    ErrorKind.NO_ENDPOINT,
    ErrorKind.TOO_MANY_CALLS,
    ErrorKind.DRAINING,
    ErrorKind.NO_CONFIGURATION,
)
"""Refusals that concern the peer that refused a forwarded call, not the call."""


class RelayFlow:
    """All relayed calls of one node that have not ended.

    Invariant: each arrival and each ended dispatch gets exactly one reply, unless the
    caller disconnected before or a silent attempt ended beside its hedge.
    """

    def __init__(
        self,
        retries: RetryLimits,
        policy: RelayPolicy,
        directory: ReplicaDirectory,
        weight_targets: TargetWeightsTable,
        calls: CallPlacement,
        guard: RequestGuard,
        limits: CallLimits,
        reach: ReplicaReach,
        forwards: CallForwards,
        resumed: ResumedStreams,
        rng: random.Random,
    ) -> None:
        self._resumed = resumed
        self._awaiting_origin: list[PendingCall] = []
        self._outcomes = DispatchOutcomes(
            policy, directory, calls, guard, limits, reach
        )
        self._reach = reach
        self._forwards = forwards
        self._brittle = calls.brittle
        self._limits = limits
        self._retries = CallRetries(retries, policy.retries)
        self._policy = policy
        self._refusals = CallRefusals(rng)
        self.stop = StopAdmission(calls.recent_answers, forwards.has_ready_peer)
        self._checks = CallChecks(guard, limits, self.stop)
        self._waits = CallWaits(policy.queue, directory, calls, self._refusals)
        self._directory = directory
        self._pending: dict[RequestId, PendingCall] = {}
        """The current attempt of each call."""
        self.hedged = HedgedCalls()
        self._queues: dict[ServiceName, list[PendingCall]] = {}
        self._calls = calls
        self.usage = calls.usage
        self.block_index = calls.block_index
        self.reports = calls.reports

    def apply_index(self, index: RouteIndex) -> None:
        """Use this route table from now on."""
        self._calls.index = index
        self._limits.apply_index(index)

    def set_view_confirmed(self, confirmed_ms: float) -> None:
        """Set when the store last confirmed the list of replicas."""
        self._calls.view_confirmed_ms = confirmed_ms

    def apply_node_count(self, count: int) -> None:
        """Set how many nodes share the retry budget."""
        self._retries.node_count = count
        self._calls.node_count = count

    def count_pending(self) -> int:
        """Return how many calls have not ended."""
        return len(self._pending)

    def count_waiting(self) -> int:
        """Return how many calls are queued for a replica."""
        return sum(len(queue) for queue in self._queues.values())

    def arrive(self, request: RelayRequest, now_ms: float) -> Iterator[RelayReply]:
        """Handle a new call."""
        pending = PendingCall(
            request,
            queued_ms=now_ms,
            is_counted=request.is_counted,
            has_begun=request.has_begun,
            weights_version=request.begun_weights_version,
            origin=request.origin,
        )
        self._pending[request.request_id] = pending
        if request.deadline_ms <= now_ms:
            yield self._refuse(
                pending, ErrorKind.OVERLOADED, "the deadline passed", now_ms
            )
            return
        yield from self._resume(pending, now_ms, may_ask=True)

    def _resume(
        self, pending: PendingCall, now_ms: float, *, may_ask: bool
    ) -> Iterator[RelayReply]:
        """Find where a call's stream goes on, and admit, keep or refuse the call."""
        request = pending.request
        resolution = self._resumed.resolve(
            request, pending.queued_ms, now_ms, may_ask=may_ask
        )
        match resolution:
            case AwaitedOrigin():
                if not pending.is_awaiting_origin:
                    pending.is_awaiting_origin = True
                    self._awaiting_origin.append(pending)
                return
            case UnknownOrigin(text=text, retry_ms=retry_ms):
                self._resumed.record_lost(request, text, now_ms)
                kind = ErrorKind.STREAM_NOT_RESUMABLE
                yield self._refuse(pending, kind, text, now_ms, wait_ms=retry_ms)
                return
            case FoundOrigin(origin=origin):
                self._resumed.record_found(request, resolution, now_ms)
                pending.origin = origin
                pending.request = msgspec.structs.replace(
                    request, service=origin.service
                )
        yield from self._admit(pending, now_ms)

    def retry_resumed(self, now_ms: float) -> Iterator[RelayReply]:
        """Admit or refuse the calls about whose streams the store or peers answered."""
        awaiting, self._awaiting_origin = self._awaiting_origin, []
        for pending in awaiting:
            pending.is_awaiting_origin = False
            yield from self._resume(pending, now_ms, may_ask=False)

    def _admit(self, pending: PendingCall, now_ms: float) -> Iterator[RelayReply]:
        """Send, queue or refuse a new call."""
        request = pending.request
        is_brittle = self._brittle.is_service_brittle(request.service)
        if not is_brittle and not self._reach.is_unreached(request.service):
            self._count(pending, now_ms)
        refused = self._checks.check(pending, self._list_attempts(), now_ms)
        if refused is not None:
            yield self._refuse_for(pending, refused, now_ms)
            return
        if not pending.is_awaiting_credit and not self._queues.get(request.service):
            reply = self._send(pending, now_ms)
            if reply is not None:
                yield reply
                return
        queue = self._queues.get(request.service, ())
        refused = self._waits.check_new(pending, queue, now_ms)
        if refused is not None:
            yield self._refuse_for(pending, refused, now_ms)
            return
        self._enqueue(pending)
        yield from self._drain(request.service, now_ms)

    def leave(self, request_id: RequestId, now_ms: float) -> Iterator[RelayReply]:
        """Handle that the caller of an undecided call has disconnected."""
        pending = self._pending.get(request_id)
        if pending is not None:
            yield from self._finish_call(pending, now_ms)

    def record_first_event(
        self,
        request_id: RequestId,
        now_ms: float,
        forwarded_origin: StreamOrigin | None = None,
    ) -> Iterator[RelayReply]:
        """Handle the first event of a response: its prompt has been read.

        `forwarded_origin` is where a peer that placed the call says that it began.
        """
        pending = self._pending.get(request_id)
        if pending is None:
            return
        if pending.replica is None:
            pending.origin = pending.origin or forwarded_origin
            return
        self.usage.record_started(pending.replica, request_id, now_ms)
        self._calls.silences.record_heard(pending.replica, now_ms)
        pending.begun_ms = now_ms
        known = self._directory.find(pending.replica)
        if known is not None and known.software_origin != pending.sent_origin:
            # The replica has corrected its entry since the call was sent.
            pending.sent_origin = known.software_origin
            self._resumed.record_placed(pending, now_ms)
        pending.origin = pending.origin or pending.sent_origin
        self._resumed.record_begun(pending, now_ms)
        if known is not None:
            self._reach.record_connected(known.replica, pending.sent_ms, now_ms)
        self._calls.record_read(pending, now_ms)
        yield from self._drain(pending.request.service, now_ms)

    def end_dispatch(
        self, outcome: RelayOutcome, now_ms: float
    ) -> Iterator[RelayReply]:
        """Handle the end of a dispatch and decide whether to retry."""
        pending = self._pending.get(outcome.request_id)
        if pending is None:
            yield RelayReply(outcome.request_id, None)
            return
        if outcome.attempt not in (0, pending.attempt):
            yield from self._end_silent(pending, outcome, now_ms)
            return
        self.hedged.drop_withheld(outcome.request_id)
        if outcome.has_begun:
            pending.origin = pending.origin or pending.sent_origin
        self._outcomes.apply(pending, outcome, now_ms)
        if outcome.ending in (DispatchEnding.COMPLETED, DispatchEnding.CANCELLED):
            yield RelayReply(outcome.request_id, None)
            yield from self._finish_call(pending, now_ms)
            return
        refused = self._checks.check_guard(pending, self._list_attempts(), now_ms)
        if refused is not None:
            yield self._refuse_for(pending, refused, now_ms)
            yield from self._finish(pending, now_ms)
            return
        if self._retries.check_try_again(pending, outcome, now_ms) is not None:
            yield from self._give_up(pending, outcome.text, now_ms)
            return
        pending.replica = None
        yield from self._try_again(pending, outcome.text, now_ms)

    def end_forward(
        self, outcome: ForwardOutcome, now_ms: float
    ) -> Iterator[RelayReply]:
        """Handle the end of a forward and decide whether to retry."""
        pending = self._pending.get(outcome.request_id)
        if pending is None:
            yield RelayReply(outcome.request_id, None)
            return
        if outcome.attempt not in (0, pending.attempt):
            yield from self._end_silent(pending, outcome, now_ms)
            return
        self.hedged.drop_withheld(outcome.request_id)
        if outcome.has_begun:
            pending.origin = pending.origin or outcome.origin
        self._forwards.record_outcome(pending, outcome, now_ms)
        self._forwards.end(pending)
        if outcome.ending in (DispatchEnding.COMPLETED, DispatchEnding.CANCELLED):
            yield RelayReply(outcome.request_id, None)
            yield from self._finish_call(pending, now_ms)
            return
        if outcome.ending in PROVEN_NOT_RUN:
            self._limits.on_not_run(pending, now_ms)
            pending.sends += outcome.attempts or 0
        else:
            pending.may_have_run = True
            pending.sends += outcome.attempts or pending.granted_attempts
        obstacle = self._retries.check_forward_again(pending, outcome, now_ms)
        may_retry = obstacle is None and pending.forwards < MAX_FORWARDS
        if outcome.kind in (None, *PEER_KINDS) and may_retry:
            yield from self._try_again(pending, outcome.text, now_ms)
            return
        yield self._refuse_forwarded(pending, outcome, now_ms)
        yield from self._finish(pending, now_ms)

    def handle_silent(
        self, event: AttemptSilent, now_ms: float
    ) -> Iterator[RelayReply]:
        """Handle that the current attempt of a call is silent: try to hedge it."""
        silent = self._pending.get(event.request_id)
        if silent is None or silent.attempt != event.attempt:
            return
        if event.has_begun:
            silent.has_begun = True
            silent.origin = silent.origin or silent.sent_origin or event.origin
        self._outcomes.apply_silent(silent, now_ms)
        self._forwards.record_silent(silent, now_ms)
        yield from self._hedge(silent, event, now_ms)

    def _hedge(
        self, silent: PendingCall, event: AttemptSilent, now_ms: float
    ) -> Iterator[RelayReply]:
        """Send or queue the hedge of a silent attempt, or withhold it."""
        self.hedged.drop_withheld(event.request_id)
        hedge = self.hedged.begin(silent, event.silence, now_ms)
        self._pending[event.request_id] = hedge
        if silent.replica and self._calls.is_silence_common(hedge, now_ms):
            self.hedged.keep_withheld(event, now_ms)
            text = "all other replicas are silent as well"
            yield self._refuse(hedge, ErrorKind.NO_ENDPOINT, text, now_ms)
            return
        hedge.needs_free_slot = self._calls.needs_free_slot(silent, hedge, now_ms)
        if hedge.needs_free_slot and self._queues.get(hedge.request.service):
            self.hedged.keep_withheld(event, now_ms)
            text = "other calls wait for a replica"
            yield self._refuse(hedge, ErrorKind.OVERLOADED, text, now_ms)
            return
        obstacle = self._retries.check_hedge(
            silent, hedge, now_ms, has_begun=event.has_begun
        )
        if obstacle is not None:
            yield self._refuse(hedge, ErrorKind.NO_ENDPOINT, obstacle, now_ms)
            return
        yield from self._try_again(hedge, "no replica may go on with it", now_ms)

    def _retry_withheld(self, now_ms: float) -> Iterator[RelayReply]:
        """Try withheld hedges again where what kept them back has passed."""
        for event in self.hedged.take_due(now_ms):
            silent = self._pending.get(event.request_id)
            if silent is None or silent.attempt != event.attempt:
                continue
            if self._may_hedge(silent, now_ms):
                yield from self._hedge(silent, event, now_ms)
            else:
                self.hedged.keep_withheld(event, now_ms)

    def _may_hedge(self, silent: PendingCall, now_ms: float) -> bool:
        """Return whether nothing that passes keeps back the hedge of an attempt."""
        hedge = self.hedged.build(silent, now_ms)
        return not self._calls.is_silence_common(hedge, now_ms)

    def handle_continued(
        self, event: AttemptContinued, now_ms: float
    ) -> Iterator[RelayReply]:
        """Handle which attempt of a hedged call continues, and release the others."""
        current = self._pending.get(event.request_id)
        if current is None:
            return
        self.hedged.drop_withheld(event.request_id)
        winner, losers = self.hedged.split(current, event.attempt)
        self._pending[event.request_id] = winner
        if winner.silent_since_ms is not None:
            self._outcomes.apply_continued(winner, now_ms)
            self._forwards.record_continued(winner)
        self.hedged.record_continued(winner, losers)
        if losers:
            # The latest attempt was recorded as the place where the stream begins.
            self._resumed.record_placed(winner, now_ms)
        for loser in losers:
            self._outcomes.apply_cancelled(loser, now_ms)
            yield from self._finish(loser, now_ms)

    def _end_silent(
        self,
        pending: PendingCall,
        outcome: RelayOutcome | ForwardOutcome,
        now_ms: float,
    ) -> Iterator[RelayReply]:
        """Handle the end of a silent attempt whose hedge is queued or runs."""
        silent = self.hedged.take(outcome.request_id, outcome.attempt)
        # There is none if another attempt has continued in the meantime.
        if silent is not None:
            match outcome:
                case RelayOutcome():
                    self._outcomes.apply(silent, outcome, now_ms)
                case ForwardOutcome():
                    self._forwards.record_outcome(silent, outcome, now_ms)
            self.hedged.record_ended(pending, silent)
            yield from self._finish(silent, now_ms)
        if outcome.ending is DispatchEnding.CANCELLED:
            yield RelayReply(outcome.request_id, None)
            yield from self._finish_call(pending, now_ms)

    def _list_attempts(self) -> Iterator[PendingCall]:
        yield from self._pending.values()
        yield from self.hedged.list_all()

    def _try_again(
        self, pending: PendingCall, reason: str, now_ms: float
    ) -> Iterator[RelayReply]:
        """Forward, place or queue a call that has failed and may be retried."""
        refused = self._checks.check(pending, self._list_attempts(), now_ms)
        if refused is not None:
            yield self._refuse_for(pending, refused, now_ms)
            yield from self._finish(pending, now_ms)
            return
        reply = None if pending.is_awaiting_credit else self._send(pending, now_ms)
        if reply is not None:
            yield reply
            return
        if pending.needs_free_slot:
            text = "no slot is free"
            yield self._refuse(pending, ErrorKind.OVERLOADED, text, now_ms)
            return
        if pending.has_begun and not self._calls.may_go_on(pending, now_ms):
            # The caller may resume the stream elsewhere; waiting here would delay it.
            yield from self._give_up(pending, reason, now_ms)
            return
        pending.queued_ms = now_ms
        self._enqueue(pending)

    def _forward(self, pending: PendingCall, now_ms: float) -> RelayReply | None:
        """Return the forward of a call to a peer, or its refusal.

        None if the call is to be placed here: a replica can be reached, or nobody knows
        a node that reaches one.
        """
        request = pending.request
        if request.is_forwarded:
            return self._refuse_unplaceable(pending, now_ms)
        if not self._reach.is_unreached(request.service):
            return None
        senders = self._calls.list_senders(request.service, now_ms)
        match self._forwards.choose(pending, now_ms, senders):
            case RelayForward() as forward:
                pending.holds_retry = False
                self._limits.on_sent(pending)
                self._calls.release(pending)
                return RelayReply(request.request_id, forward)
            case PeersBusy(retry_ms=retry_ms):
                text = "this node reaches no replica, and its peers lack capacity"
                return self._refuse(
                    pending, ErrorKind.OVERLOADED, text, now_ms, wait_ms=retry_ms
                )
            case None:
                return None

    def _refuse_unplaceable(
        self, pending: PendingCall, now_ms: float
    ) -> RelayReply | None:
        """Refuse a forwarded call that this node can't place, now or later."""
        service = pending.request.service
        if self._reach.is_unreached(service):
            text = "this node reaches no replica either"
        elif not self._calls.may_place(service, now_ms):
            text = "this node places calls on no replica of the service"
        else:
            return None
        return self._refuse(pending, ErrorKind.NO_ENDPOINT, text, now_ms)

    def _refuse_forwarded(
        self, pending: PendingCall, outcome: ForwardOutcome, now_ms: float
    ) -> RelayReply:
        kind = outcome.kind or ErrorKind.NO_ENDPOINT
        text = f"{outcome.peer}: {outcome.text}"
        wait_ms = outcome.retry_after_ms
        return self._refuse(pending, kind, text, now_ms, wait_ms=wait_ms)

    def _enqueue(self, pending: PendingCall) -> None:
        pending.is_waiting = True
        self._refusals.record_queued(pending.request, pending.queued_ms)
        queue = self._queues.setdefault(pending.request.service, [])
        queue.append(pending)
        if self._policy.queue.is_ranked:
            queue.sort(key=PendingCall.rank)

    def tick(self, now_ms: float) -> Iterator[RelayReply]:
        """Refuse queued calls that can't be sent or end in time, and send others."""
        yield from self._retry_withheld(now_ms)
        for service, queue in self._queues.items():
            if not queue:
                continue
            return_ms = self._directory.find_return_delay(service, now_ms)
            for pending in list(queue):
                refused = self._waits.check_late(
                    pending, return_ms, now_ms
                ) or self.stop.check(pending, now_ms)
                if refused is not None:
                    queue.remove(pending)
                    pending.is_waiting = False
                    yield self._refuse_for(pending, refused, now_ms)
            yield from self._drain(service, now_ms)

    def retry_waiting(self, now_ms: float) -> Iterator[RelayReply]:
        """Send or refuse queued calls after credit may have been granted."""
        for service in list(self._queues):
            yield from self._drain(service, now_ms)

    def _drain(self, service: ServiceName, now_ms: float) -> Iterator[RelayReply]:
        queue = self._queues.get(service)
        if not queue:
            return
        blocked: Counter[StreamOrigin | None] = Counter()
        for pending in list(queue):
            if blocked[pending.origin] >= MAX_BLOCKED:
                continue
            reply = self._try_waiting(pending, now_ms)
            if reply is not None:
                queue.remove(pending)
                pending.is_waiting = False
                yield reply
            elif not pending.is_awaiting_credit:
                blocked[pending.origin] += 1

    def _try_waiting(self, pending: PendingCall, now_ms: float) -> RelayReply | None:
        """Return the reply to a queued call; None if it has to keep waiting."""
        refused = self._checks.check(pending, self._list_attempts(), now_ms)
        if refused is not None:
            return self._refuse_for(pending, refused, now_ms)
        return None if pending.is_awaiting_credit else self._send(pending, now_ms)

    def _send(self, pending: PendingCall, now_ms: float) -> RelayReply | None:
        """Return the forward, dispatch or refusal of a call; None if it has to wait."""
        forward = self._forward(pending, now_ms)
        if forward is not None:
            return forward
        placed = self._calls.place(pending, now_ms)
        if placed is None:
            return None
        pending.holds_retry = False
        if isinstance(placed, RelayDispatch):
            self._count(pending, now_ms)
            self._resumed.record_placed(pending, now_ms)
        self._limits.on_sent(pending)
        return RelayReply(pending.request.request_id, placed)

    def _count(self, pending: PendingCall, now_ms: float) -> None:
        """Count a call as a first try at the node that places it and retries it."""
        if not pending.is_counted:
            pending.is_counted = True
            self._retries.record_first_try(pending.request.service, now_ms)

    def _refuse_for(
        self, pending: PendingCall, reason: RefusalReason, now_ms: float
    ) -> RelayReply:
        is_hedge = self.hedged.has_silent(pending.request.request_id)
        if reason.kind is ErrorKind.STREAM_NOT_RESUMABLE and not is_hedge:
            self._resumed.record_lost(pending.request, reason.text, now_ms)
        return self._refuse(
            pending, reason.kind, reason.text, now_ms, wait_ms=reason.retry_ms
        )

    def _give_up(
        self, pending: PendingCall, reason: str, now_ms: float
    ) -> Iterator[RelayReply]:
        text = f"{pending.dispatches} tries failed, the last one: {reason}"
        yield self._refuse(pending, ErrorKind.NO_ENDPOINT, text, now_ms)
        yield from self._finish(pending, now_ms)

    def _refuse(
        self,
        pending: PendingCall,
        kind: ErrorKind,
        text: str,
        now_ms: float,
        *,
        wait_ms: float | None = None,
    ) -> RelayReply:
        """End a call that is given up, returning its refusal.

        A call with a silent attempt waits for that one instead.
        """
        self._limits.release(pending, now_ms)
        self._calls.release(pending)
        self._retries.give_back(pending)
        if self.hedged.has_silent(pending.request.request_id):
            return self._withhold(pending, kind, text)
        self._pending.pop(pending.request.request_id, None)
        if wait_ms is None:
            queue = self._queues.get(pending.request.service, ())
            wait_ms = self._waits.compute_retry_delay(pending, queue, now_ms)
        return self._refusals.build(pending, kind, text, wait_ms)

    def _withhold(self, hedge: PendingCall, kind: ErrorKind, text: str) -> RelayReply:
        """Drop a hedge and return why its call waits for the silent attempt."""
        silent = self.hedged.withhold(hedge)
        request_id = hedge.request.request_id
        self._pending[request_id] = silent
        return RelayReply(
            request_id, HedgeWithheld(request_id, silent.attempt, kind, text)
        )

    def _finish_call(self, pending: PendingCall, now_ms: float) -> Iterator[RelayReply]:
        """Release the resources of all attempts of a call."""
        for silent in self.hedged.take_all(pending.request.request_id):
            self._outcomes.apply_cancelled(silent, now_ms)
            yield from self._finish(silent, now_ms)
        yield from self._finish(pending, now_ms)

    def _finish(self, pending: PendingCall, now_ms: float) -> Iterator[RelayReply]:
        """Release an attempt's resources and send queued calls that fit now."""
        request = pending.request
        if self._pending.get(request.request_id) is pending:
            del self._pending[request.request_id]
            self.hedged.drop_withheld(request.request_id)
        self._limits.release(pending, now_ms)
        self._calls.release(pending)
        self._retries.give_back(pending)
        self._forwards.end(pending)
        if pending.is_waiting:
            self._queues[request.service].remove(pending)
            pending.is_waiting = False
        if pending.is_awaiting_origin:
            self._awaiting_origin.remove(pending)
            pending.is_awaiting_origin = False
        if pending.replica is not None:
            self.usage.end(pending.replica, request.request_id)
            self._calls.record_ended(pending, now_ms)
            self._refusals.record_freed_slot(request.service, now_ms)
        yield from self._drain(request.service, now_ms)
