"""Decide whether a failed call is retried, within the budget of all nodes."""

from __future__ import annotations

from toucanyard.call_forwards import MAX_FORWARDS
from toucanyard.names import ServiceName
from toucanyard.pending_call import PendingCall
from toucanyard.relay_options import RetryLimits
from toucanyard.relay_policy import RetryPolicy
from toucanyard.relay_requests import ForwardOutcome, RelayOutcome
from toucanyard.requests import PROVEN_NOT_RUN, DispatchEnding, Repeatability
from toucanyard.retry_budget import SharedRetryBudget


class CallRetries:
    """The retry budgets of one node, by service."""

    __slots__ = ("_budgets", "_limits", "_policy", "node_count")

    def __init__(self, limits: RetryLimits, policy: RetryPolicy) -> None:
        self._limits = limits
        self._policy = policy
        self._budgets: dict[ServiceName, SharedRetryBudget] = {}
        self.node_count = 1

    def record_first_try(self, service: ServiceName, now_ms: float) -> None:
        """Count a new call; it adds a fraction of a retry to the budget."""
        self._find_budget(service).record_first_try(now_ms)

    def check_try_again(
        self, pending: PendingCall, outcome: RelayOutcome, now_ms: float
    ) -> str | None:
        """Return why not to retry a call elsewhere; if None, a retry is consumed."""
        obstacle = _find_obstacle(pending, outcome, now_ms)
        if obstacle is not None:
            return obstacle
        pending.tried = (*pending.tried, outcome.replica)
        if outcome.ending is DispatchEnding.NOT_SENT:
            return None
        return self._take(pending, now_ms)

    def check_forward_again(
        self, pending: PendingCall, outcome: ForwardOutcome, now_ms: float
    ) -> str | None:
        """Return why not to retry a call that a peer did not answer."""
        obstacle = _find_obstacle(pending, outcome, now_ms)
        if obstacle is not None:
            return obstacle
        if outcome.ending in PROVEN_NOT_RUN and not outcome.attempts:
            # It has reached no replica.
            return None
        return self._take(pending, now_ms)

    def check_hedge(
        self,
        silent: PendingCall,
        hedge: PendingCall,
        now_ms: float,
        *,
        has_begun: bool,
    ) -> str | None:
        """Return why not to hedge a silent attempt; if None, a retry is consumed.

        A hedge is allowed wherever a retry would be if the attempt were lost.
        """
        request_id, lost = silent.request.request_id, DispatchEnding.LOST
        if silent.peer is not None:
            hedge.sends += silent.granted_attempts
            if hedge.forwards >= MAX_FORWARDS:
                return "its forwards are used up"
            forward = ForwardOutcome(request_id, silent.peer, lost, has_begun=has_begun)
            return self.check_forward_again(hedge, forward, now_ms)
        assert silent.replica is not None
        outcome = RelayOutcome(request_id, silent.replica, lost, has_begun=has_begun)
        return self.check_try_again(hedge, outcome, now_ms)

    def give_back(self, pending: PendingCall) -> None:
        """Return the retry that was taken for a call and not sent, if any."""
        if pending.holds_retry:
            pending.holds_retry = False
            self._find_budget(pending.request.service).give_back()

    def _take(self, pending: PendingCall, now_ms: float) -> str | None:
        if not self._policy.is_bounded:
            return None
        budget = self._find_budget(pending.request.service)
        if not budget.take(self.node_count, now_ms):
            return "the retry budget is used up"
        pending.holds_retry = True
        return None

    def _find_budget(self, service: ServiceName) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._limits
            budget = SharedRetryBudget(
                limits.ratio, limits.slack, float(limits.window_ms)
            )
            self._budgets[service] = budget
        return budget


def _find_obstacle(
    pending: PendingCall, outcome: RelayOutcome | ForwardOutcome, now_ms: float
) -> str | None:
    """Return why another attempt is unsafe, not allowed by the route or too late."""
    request = pending.request
    is_safe = (
        outcome.ending in PROVEN_NOT_RUN
        or request.repeatability is Repeatability.REPEATABLE
    )
    pending.has_begun = pending.has_begun or outcome.has_begun
    if outcome.has_begun and not request.is_resumable:
        return "its answer has begun and can't be resumed"
    if pending.has_begun and pending.origin is None:
        return "where its answer began is unknown"
    if not is_safe:
        return "it may run once only"
    is_exhausted = pending.dispatches > 2 * request.max_attempts + 2
    if is_exhausted or pending.sends >= request.max_attempts:
        return "its attempts are used up"
    if now_ms >= request.deadline_ms:
        return "its deadline passed"
    return None
