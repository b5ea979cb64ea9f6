"""Decide whether a failed call is retried, within the budget of all nodes."""

from __future__ import annotations

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

    def may_try_again(
        self, pending: PendingCall, outcome: RelayOutcome, now_ms: float
    ) -> bool:
        """Return whether to retry a call elsewhere, consuming a retry if so."""
        if not _is_retryable(pending, outcome, now_ms):
            return False
        pending.tried = (*pending.tried, outcome.replica)
        if outcome.ending is DispatchEnding.NOT_SENT:
            return True
        return self._take(pending, now_ms)

    def may_forward_again(
        self, pending: PendingCall, outcome: ForwardOutcome, now_ms: float
    ) -> bool:
        """Return whether to retry a call that a peer did not answer."""
        if not _is_retryable(pending, outcome, now_ms):
            return False
        if outcome.ending in PROVEN_NOT_RUN and not outcome.attempts:
            # It has reached no replica.
            return True
        return self._take(pending, now_ms)

    def _take(self, pending: PendingCall, now_ms: float) -> bool:
        if not self._policy.is_bounded:
            return True
        budget = self._find_budget(pending.request.service)
        return budget.take(self.node_count, now_ms)

    def _find_budget(self, service: ServiceName) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._limits
            budget = SharedRetryBudget(
                limits.ratio, limits.slack, float(limits.window_ms)
            )
            self._budgets[service] = budget
        return budget


def _is_retryable(
    pending: PendingCall, outcome: RelayOutcome | ForwardOutcome, now_ms: float
) -> bool:
    """Return whether another attempt is safe, allowed by the route and in time."""
    request = pending.request
    is_safe = (
        outcome.ending in PROVEN_NOT_RUN
        or request.repeatability is Repeatability.REPEATABLE
    )
    pending.has_begun = pending.has_begun or outcome.has_begun
    if outcome.has_begun and not request.is_resumable:
        return False
    if pending.has_begun and pending.origin is None:
        # Where it may go on is not known.
        return False
    if not is_safe or pending.sends >= request.max_attempts:
        return False
    if now_ms >= request.deadline_ms:
        return False
    return pending.dispatches <= 2 * request.max_attempts + 2
