"""Take each relayed call from its arrival to its end: queue, replica, retries.

A call is sent, waits for a replica with room, or is refused before anything was sent,
so that "not run" is true. What failed is tried elsewhere only where it surely did not
run or may run twice, within the route's attempts and the budget of all nodes.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from typing import Final

from toucanyard.call_limits import CallLimits, LimitRejection
from toucanyard.call_placement import CallPlacement
from toucanyard.call_refusals import CallRefusals
from toucanyard.call_retries import CallRetries
from toucanyard.errorcodes import ErrorKind
from toucanyard.names import RequestId, ServiceName
from toucanyard.pending_call import PendingCall
from toucanyard.relay_options import RetryLimits
from toucanyard.relay_policy import RelayPolicy
from toucanyard.relay_requests import (
    RelayDispatch,
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.request_guard import Rejection, RequestGuard
from toucanyard.requests import PROVED_NOT_RUN, EndingSeen
from toucanyard.routes import RouteIndex
from toucanyard.weights_goals import WeightsGoals

MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 2_000
NO_REPLICA_WAIT_MS: Final = 1_500.0
"""How long a call waits while its service has no usable replica at all: replicas load
weights for less than that, and a list that lapsed is back."""
MAX_BLOCKED: Final = 8
"""Calls of one queue that are looked at once some don't fit; the rest hardly would."""


class RelayFlow:
    """All relayed calls of one node that are not over.

    Invariant: each arrival and each ended dispatch gets exactly one reply, unless the
    caller left before.
    """

    def __init__(
        self,
        retries: RetryLimits,
        policy: RelayPolicy,
        directory: ReplicaDirectory,
        goals: WeightsGoals,
        calls: CallPlacement,
        guard: RequestGuard,
        limits: CallLimits,
        rng: random.Random,
    ) -> None:
        self._guard = guard
        self._limits = limits
        self._retries = CallRetries(retries, policy.retries)
        self._policy = policy
        self._refusals = CallRefusals(rng)
        self._directory = directory
        self._goals = goals
        self._pending: dict[RequestId, PendingCall] = {}
        self._queues: dict[ServiceName, list[PendingCall]] = {}
        self._calls = calls
        self.uses = calls.uses
        self.book = calls.book
        self.reports = calls.reports

    def apply_index(self, index: RouteIndex) -> None:
        """Decide by this table from now on."""
        self._calls.index = index
        self._limits.apply_index(index)

    def note_view(self, confirmed_ms: float) -> None:
        """Take in when the store last confirmed the list of replicas."""
        self._calls.view_confirmed_ms = confirmed_ms

    def apply_node_count(self, count: int) -> None:
        """Take over how many nodes share the budget for retries."""
        self._retries.node_count = count

    def count_pending(self) -> int:
        """Return how many calls are not over."""
        return len(self._pending)

    def count_waiting(self) -> int:
        """Return how many calls wait for a replica."""
        return sum(len(queue) for queue in self._queues.values())

    def arrive(self, request: RelayRequest, now_ms: float) -> Iterator[RelayReply]:
        """Take in a new call."""
        pending = PendingCall(request, queued_ms=now_ms)
        self._pending[request.request_id] = pending
        self._retries.note_first_try(request.service, now_ms)
        if request.deadline_ms <= now_ms:
            yield self._refuse(
                pending, ErrorKind.OVERLOADED, "the deadline passed", now_ms
            )
            return
        rejection = self._check_guard(pending, now_ms)
        if rejection is not None:
            yield self._reject(pending, rejection, now_ms)
            return
        over = self._limits.check(pending, now_ms)
        if over is not None:
            yield self._reject_over(pending, over, now_ms)
            return
        if not pending.is_unpaid and not self._queues.get(request.service):
            dispatch = self._place(pending, now_ms)
            if dispatch is not None:
                yield RelayReply(request.request_id, dispatch)
                return
        refusal = self._check_wait(pending, now_ms)
        if refusal is not None:
            yield refusal
            return
        self._enqueue(pending)
        yield from self._drain(request.service, now_ms)

    def leave(self, request_id: RequestId, now_ms: float) -> Iterator[RelayReply]:
        """Take in that the caller of a call without a verdict went away."""
        pending = self._pending.get(request_id)
        if pending is not None:
            yield from self._finish(pending, now_ms)

    def note_first(self, request_id: RequestId, now_ms: float) -> Iterator[RelayReply]:
        """Take in that an answer's first event came: its prompt has been read."""
        pending = self._pending.get(request_id)
        if pending is None or pending.replica is None:
            return
        self.uses.note_started(pending.replica, request_id, now_ms)
        self._calls.note_read(pending, now_ms)
        yield from self._drain(pending.request.service, now_ms)

    def end_dispatch(
        self, outcome: RelayOutcome, now_ms: float
    ) -> Iterator[RelayReply]:
        """Take in how a dispatch ended and decide what follows."""
        pending = self._pending.get(outcome.request_id)
        if pending is None:
            yield RelayReply(outcome.request_id, None)
            return
        self._learn(pending, outcome, now_ms)
        if outcome.ending in (EndingSeen.COMPLETED, EndingSeen.CANCELLED):
            yield RelayReply(outcome.request_id, None)
            yield from self._finish(pending, now_ms)
            return
        rejection = self._check_guard(pending, now_ms)
        if rejection is not None:
            yield self._reject(pending, rejection, now_ms)
            yield from self._finish(pending, now_ms)
            return
        if not self._retries.may_try_again(pending, outcome, now_ms):
            yield from self._give_up(pending, outcome, now_ms)
            return
        pending.replica = None
        over = self._limits.check(pending, now_ms)
        if over is not None:
            yield self._reject_over(pending, over, now_ms)
            yield from self._finish(pending, now_ms)
            return
        dispatch = None if pending.is_unpaid else self._place(pending, now_ms)
        if dispatch is not None:
            yield RelayReply(outcome.request_id, dispatch)
            return
        if pending.has_begun and not pending.is_unpaid:
            # Its caller may resume it elsewhere, which a silent wait would put off.
            yield from self._give_up(pending, outcome, now_ms)
            return
        pending.queued_ms = now_ms
        self._enqueue(pending)

    def _enqueue(self, pending: PendingCall) -> None:
        pending.is_waiting = True
        self._refusals.note_queued(pending.request, pending.queued_ms)
        queue = self._queues.setdefault(pending.request.service, [])
        queue.append(pending)
        if self._policy.queue.is_ranked:
            queue.sort(key=PendingCall.rank)

    def tick(self, now_ms: float) -> Iterator[RelayReply]:
        """Refuse what can't be sent in time any more and send what fits."""
        for service, queue in self._queues.items():
            if not queue:
                continue
            for pending in [each for each in queue if self._is_hopeless(each, now_ms)]:
                queue.remove(pending)
                pending.is_waiting = False
                text = "no replica had room in time"
                yield self._refuse(pending, ErrorKind.OVERLOADED, text, now_ms)
            yield from self._drain(service, now_ms)

    def retry_waiting(self, now_ms: float) -> Iterator[RelayReply]:
        """Send or refuse what waits, now that credit may have come."""
        for service in list(self._queues):
            yield from self._drain(service, now_ms)

    def _drain(self, service: ServiceName, now_ms: float) -> Iterator[RelayReply]:
        queue = self._queues.get(service)
        if not queue:
            return
        blocked = 0
        for pending in list(queue):
            reply = self._try_waiting(pending, now_ms)
            if reply is not None:
                queue.remove(pending)
                pending.is_waiting = False
                yield reply
            elif not pending.is_unpaid:
                blocked += 1
                if blocked >= MAX_BLOCKED:
                    return

    def _try_waiting(self, pending: PendingCall, now_ms: float) -> RelayReply | None:
        """Return the verdict on a call that waits; None if it has to wait on."""
        rejection = self._check_guard(pending, now_ms)
        if rejection is not None:
            return self._reject(pending, rejection, now_ms)
        over = self._limits.check(pending, now_ms)
        if over is not None:
            return self._reject_over(pending, over, now_ms)
        dispatch = None if pending.is_unpaid else self._place(pending, now_ms)
        if dispatch is not None:
            return RelayReply(pending.request.request_id, dispatch)
        if pending.has_begun and not pending.is_unpaid:
            text = "no replica has room for the rest of the answer"
            return self._refuse(pending, ErrorKind.NO_ENDPOINT, text, now_ms)
        return None

    def _place(self, pending: PendingCall, now_ms: float) -> RelayDispatch | None:
        dispatch = self._calls.place(pending, now_ms)
        if dispatch is not None:
            self._limits.on_sent(pending)
        return dispatch

    def _check_guard(self, pending: PendingCall, now_ms: float) -> Rejection | None:
        """Return why a call may not be sent now, and note how to place it if it may."""
        request = pending.request
        pending.is_suspect = self._guard.is_suspect(request.fingerprint)
        return self._guard.check(request, lambda: self._is_running(pending), now_ms)

    def _is_running(self, pending: PendingCall) -> bool:
        """Tell whether the same request is at a replica for another call."""
        return any(
            each.replica is not None and each is not pending
            for each in self._pending.values()
            if each.request.fingerprint == pending.request.fingerprint
        )

    def _reject(
        self, pending: PendingCall, rejection: Rejection, now_ms: float
    ) -> RelayReply:
        return self._refuse(
            pending,
            ErrorKind.REQUEST_QUARANTINED,
            rejection.text,
            now_ms,
            wait_ms=rejection.retry_after_ms,
        )

    def _reject_over(
        self, pending: PendingCall, over: LimitRejection, now_ms: float
    ) -> RelayReply:
        return self._refuse(
            pending, ErrorKind.CUSTOMER_LIMIT, over.text, now_ms, wait_ms=over.retry_ms
        )

    def _check_wait(self, pending: PendingCall, now_ms: float) -> RelayReply | None:
        """Refuse at once what would not be reached before its deadline."""
        request = pending.request
        if not self._directory.find_listed(request.service, now_ms):
            return self._refuse(pending, ErrorKind.NO_ENDPOINT, "no replica", now_ms)
        if not self._policy.queue.refuses_early:
            return None
        wait_ms = self._compute_wait(pending, now_ms)
        if wait_ms > request.deadline_ms - now_ms:
            text = f"the wait would be about {wait_ms:.0f} ms"
            if math.isinf(wait_ms):
                text = "limits of all replicas leave room for more urgent calls only"
            return self._refuse(pending, ErrorKind.OVERLOADED, text, now_ms)
        return None

    def _compute_wait(self, pending: PendingCall, now_ms: float) -> float:
        service = pending.request.service
        queue = self._queues.get(service, [])
        if self._calls.is_limited(service, now_ms):
            return self._refusals.compute_limited_wait(pending, queue, now_ms)
        return self._refusals.compute_wait(pending, queue, now_ms)

    def _is_hopeless(self, pending: PendingCall, now_ms: float) -> bool:
        """Tell whether a waiting call is better told now than later.

        What is left of its time when it is refused is what its caller can retry in.
        """
        request = pending.request
        if now_ms >= request.deadline_ms - request.target_ms / 4:
            return True
        if now_ms - pending.queued_ms < NO_REPLICA_WAIT_MS:
            return False
        return not self._directory.find_usable(request.service, now_ms)

    def _learn(
        self, pending: PendingCall, outcome: RelayOutcome, now_ms: float
    ) -> None:
        self.uses.end(outcome.replica, outcome.request_id)
        known = self._directory.find(outcome.replica)
        prompt = pending.request.prompt
        if prompt is not None and not outcome.has_begun:
            self.book.note_unread(outcome.replica, pending.scope, prompt.parts, now_ms)
        self._note_sends(pending, outcome, now_ms)
        self._guard.on_dispatch_ended(pending.request, outcome, pending.sent_ms, now_ms)
        if known is None:
            return
        if prompt is not None and outcome.weights_version is not None:
            self._note_weights(known, prompt.model, outcome.weights_version)
        match outcome.ending:
            case EndingSeen.COMPLETED:
                known.record_success()
            case EndingSeen.NOT_SENT | EndingSeen.LOST:
                is_dead = outcome.is_dead and self._policy.retries.rests
                known.record_failure(now_ms, is_dead=is_dead)
            case EndingSeen.FAILED:
                known.record_failure(now_ms, is_dead=False)
            case EndingSeen.REFUSED if outcome.is_replaced:
                self._directory.record_replaced(outcome.replica, now_ms)
            case EndingSeen.REFUSED if outcome.has_other_weights:
                self._guess_weights(known, pending)
            case EndingSeen.REFUSED:
                known.record_refused_call(now_ms)

    def _note_sends(
        self, pending: PendingCall, outcome: RelayOutcome, now_ms: float
    ) -> None:
        if outcome.ending not in PROVED_NOT_RUN:
            pending.may_have_run = True
            pending.has_failed = outcome.ending is EndingSeen.FAILED
        else:
            self._limits.on_not_run(pending, now_ms)
        if outcome.ending is EndingSeen.NOT_SENT:
            # It reached nobody, so it is none of the attempts that a route allows.
            pending.sends -= 1

    def _guess_weights(self, known: KnownReplica, pending: PendingCall) -> None:
        """Believe a replica that refused for its weights to have the wanted ones."""
        prompt = pending.request.prompt
        goal = None if prompt is None else self._goals.find(prompt.model)
        if prompt is not None and goal is not None:
            self._note_weights(known, prompt.model, goal.version)

    def _note_weights(self, known: KnownReplica, model: str, version: int) -> None:
        if known.record_weights(model, version):
            # Loading weights drops all that was read under the ones before.
            self.book.forget(known.replica.name)

    def _give_up(
        self, pending: PendingCall, outcome: RelayOutcome, now_ms: float
    ) -> Iterator[RelayReply]:
        text = f"{pending.dispatches} tries failed, the last one: {outcome.text}"
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
        """End a call that is given up."""
        self._pending.pop(pending.request.request_id, None)
        self._limits.release(pending, now_ms)
        self._calls.release(pending)
        if wait_ms is None:
            wait_ms = self._compute_wait(pending, now_ms)
            wait_ms = min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        return self._refusals.build(pending, kind, text, wait_ms)

    def _finish(self, pending: PendingCall, now_ms: float) -> Iterator[RelayReply]:
        """Free what a call held and send what fits now."""
        request = pending.request
        self._pending.pop(request.request_id, None)
        self._limits.release(pending, now_ms)
        self._calls.release(pending)
        if pending.is_waiting:
            self._queues[request.service].remove(pending)
            pending.is_waiting = False
        if pending.replica is not None:
            self.uses.end(pending.replica, request.request_id)
            self._refusals.note_ended(request.service, now_ms)
        yield from self._drain(request.service, now_ms)
