"""Record what the end of a dispatch shows about its call and its replica."""

from __future__ import annotations

from typing import Final

from toucanyard.brittle_replicas import BrittleReplicas
from toucanyard.call_limits import CallLimits
from toucanyard.call_placement import CallPlacement
from toucanyard.pending_call import PendingCall
from toucanyard.relay_policy import RelayPolicy
from toucanyard.relay_requests import RelayOutcome
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replica_weights import WeightsSource
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.request_guard import RequestGuard
from toucanyard.requests import PROVEN_NOT_RUN, DispatchEnding
from toucanyard.stated_weights import StatedSpan

ANSWERED: Final = (
    DispatchEnding.COMPLETED,
    DispatchEnding.FAILED,
    DispatchEnding.REFUSED,
)
"""Endings that show that the replica has answered."""


class DispatchOutcomes:
    """Updates of one node's state by ended dispatches."""

    __slots__ = (
        "_brittle",
        "_calls",
        "_directory",
        "_guard",
        "_limits",
        "_policy",
        "_reach",
    )

    def __init__(
        self,
        policy: RelayPolicy,
        directory: ReplicaDirectory,
        calls: CallPlacement,
        guard: RequestGuard,
        limits: CallLimits,
        reach: ReplicaReach,
    ) -> None:
        self._policy = policy
        self._directory = directory
        self._calls = calls
        self._brittle: BrittleReplicas = calls.brittle
        self._guard = guard
        self._limits = limits
        self._reach = reach

    def apply(self, pending: PendingCall, outcome: RelayOutcome, now_ms: float) -> None:
        """Apply the end of a call's dispatch."""
        self._calls.usage.end(outcome.replica, outcome.request_id)
        if outcome.ending in ANSWERED:
            self._calls.silences.record_heard(outcome.replica, now_ms)
        known = self._directory.find(outcome.replica)
        prompt = pending.request.prompt
        if prompt is not None and not outcome.has_begun:
            self._calls.block_index.record_unread(
                outcome.replica, pending.scope, prompt.parts, now_ms
            )
        if pending.silent_since_ms is not None:
            self._guard.on_silence_ended(pending)
        self._record_connection(outcome, now_ms)
        self._record_sends(pending, outcome, now_ms)
        self._guard.on_dispatch_ended(pending, outcome, now_ms)
        if known is None:
            return
        self._reach.record_outcome(known.replica, outcome, pending.sent_ms, now_ms)
        if prompt is not None and outcome.weights_version is not None:
            self._calls.weights.record(
                known,
                prompt.model,
                outcome.weights_version,
                WeightsSource.ANSWER,
                StatedSpan(pending.sent_ms, now_ms),
                now_ms,
            )
        if not outcome.broken_bound:
            self._apply_ending(known, pending, outcome, now_ms)
        elif not outcome.is_shared_bound:
            known.record_broken_bound(now_ms)

    def apply_silent(self, pending: PendingCall, now_ms: float) -> None:
        """Apply that the replica of a call has sent nothing for some time.

        New calls avoid it; nothing is concluded about the call itself.
        """
        if pending.replica is None:
            return
        self._calls.silences.record_silent(pending.replica, now_ms)
        if pending.silent_since_ms is not None:
            return
        self._calls.connections.forget(pending.replica)
        known = self._directory.find(pending.replica)
        if known is not None:
            known.record_failure(now_ms, is_dead=False)
        self._guard.on_silent(pending, now_ms)

    def apply_continued(self, pending: PendingCall, now_ms: float) -> None:
        """Apply that a silent attempt has continued."""
        if pending.replica is None:
            return
        self._guard.on_silence_ended(pending)
        self._calls.silences.record_heard(pending.replica, now_ms)
        known = self._directory.find(pending.replica)
        if known is not None:
            known.forget_failures()

    def apply_cancelled(self, pending: PendingCall, now_ms: float) -> None:
        """Apply that an attempt was cancelled, as another one continues its call."""
        if pending.replica is None:
            return
        request = pending.request
        self._calls.usage.end(pending.replica, request.request_id)
        if request.prompt is not None and pending.begun_ms is None:
            self._calls.block_index.record_unread(
                pending.replica, pending.scope, request.prompt.parts, now_ms
            )

    def _apply_ending(
        self,
        known: KnownReplica,
        pending: PendingCall,
        outcome: RelayOutcome,
        now_ms: float,
    ) -> None:
        """Record what the end of a dispatch shows about its replica."""
        if outcome.is_closed or outcome.has_no_listener:
            known.record_possible_restart(now_ms)
        match outcome.ending:
            case DispatchEnding.COMPLETED:
                known.record_success()
                took_ms = now_ms - pending.sent_ms
                self._calls.answer_times.record(pending.request, took_ms)
                self._calls.recent_answers.record(pending.request, took_ms)
            case DispatchEnding.NOT_SENT if outcome.is_withdrawn:
                pass
            case DispatchEnding.NOT_SENT | DispatchEnding.LOST:
                is_dead = outcome.is_dead and self._policy.retries.rests
                known.record_failure(now_ms, is_dead=is_dead)
            case DispatchEnding.FAILED:
                known.record_failure(now_ms, is_dead=False)
            case DispatchEnding.REFUSED if outcome.is_replaced:
                self._directory.record_replaced(outcome.replica, now_ms)
            case DispatchEnding.REFUSED if outcome.has_other_weights:
                self._record_other_weights(known, pending, now_ms)
            case DispatchEnding.REFUSED if self._brittle.is_brittle(known):
                self._brittle.record_rejected(known, now_ms)
            case DispatchEnding.REFUSED:
                known.record_refused_call(now_ms)

    def _record_connection(self, outcome: RelayOutcome, now_ms: float) -> None:
        connections = self._calls.connections
        match outcome.ending:
            case DispatchEnding.NOT_SENT | DispatchEnding.LOST:
                connections.forget(outcome.replica)
            case _ if outcome.is_kept:
                connections.record_kept(outcome.replica, now_ms)

    def _record_sends(
        self, pending: PendingCall, outcome: RelayOutcome, now_ms: float
    ) -> None:
        if outcome.ending not in PROVEN_NOT_RUN:
            pending.may_have_run = True
            pending.has_failed = outcome.ending is DispatchEnding.FAILED
        elif not pending.request.is_forwarded:
            self._limits.on_not_run(pending, now_ms)
        if outcome.ending is DispatchEnding.NOT_SENT or outcome.is_replaced:
            # It did not reach its replica, so it doesn't count as one of the route's
            # attempts.
            pending.sends -= 1

    def _record_other_weights(
        self, known: KnownReplica, pending: PendingCall, now_ms: float
    ) -> None:
        prompt = pending.request.prompt
        if prompt is not None:
            self._calls.weights.record_refused(
                known, prompt.model, pending.weights_version, now_ms
            )
