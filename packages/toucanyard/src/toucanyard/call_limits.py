"""Check calls against their customer's rate limit over all nodes.

A call is checked before it waits for a replica and again before each try. Every try
that may have run costs credit, retries included; one that provably did not run is free.
"""

from __future__ import annotations

from typing import Final

import msgspec
import xxhash

from toucanyard.limit_credits import CreditAccounts, Denial
from toucanyard.names import CustomerName, Incarnation
from toucanyard.pending_call import PendingCall
from toucanyard.rate_limits import LimitBounds, RateLimit
from toucanyard.relay_policy import LimitPolicy, LimitStrategy
from toucanyard.relay_requests import RelayRequest
from toucanyard.routes import RouteIndex, RouteTable
from toucanyard.scarce_credit.account_keys import build_account_key

MAX_FIRST_REQUEST_NUMBER: Final = 2**48
"""Upper bound of an incarnation's first credit request number."""
OVERSIZED_RETRY_MS: Final = 60_000.0
"""Retry delay for a request that the limit never allows; the limit may be raised."""
BRIEF_GRACE_MS: Final = 300.0
"""Time that a call waits for credit beyond the coordinator's estimate."""
NO_ANSWER_RETRY_MS: Final = 250.0
"""Retry delay when no coordinator has answered a credit request."""


def compute_first_request_number(incarnation: Incarnation) -> int:
    """Return the number from which an incarnation numbers its credit requests."""
    return xxhash.xxh3_64_intdigest(incarnation.encode()) % MAX_FIRST_REQUEST_NUMBER


class LimitRejection(msgspec.Struct, frozen=True):
    """Why a call exceeds its customer's limit, and when to retry it."""

    text: str
    retry_ms: float


class CallLimits:
    """The limits of all customers, as applied to the calls of one node."""

    __slots__ = ("_bounds", "_policy", "accounts", "index", "rejected")

    def __init__(
        self, bounds: LimitBounds, policy: LimitPolicy, incarnation: Incarnation
    ) -> None:
        self._bounds = bounds
        self._policy = policy
        self.accounts = CreditAccounts(compute_first_request_number(incarnation))
        self.index = RouteIndex(RouteTable())
        self.rejected = 0

    def apply_index(self, index: RouteIndex) -> None:
        """Use this route table from now on."""
        before, self.index = self.index, index
        limits = index.list_limits()
        self.accounts.retain(limits)
        for name, limit in limits.items():
            if limit != before.find_limit(name):
                self.accounts.forget_denials(name)

    def find_limit(self, subject: str) -> RateLimit | None:
        """Return the limit of a customer; None if it has none."""
        return self.index.find_limit(CustomerName(subject))

    def check(self, pending: PendingCall, now_ms: float) -> LimitRejection | None:
        """Take credit for a call's next try; return a rejection if over the limit.

        A call that has to wait for credit gets `is_awaiting_credit` set.
        """
        request = pending.request
        limit = self.index.find_limit(request.customer)
        if limit is None or self._policy.strategy is LimitStrategy.OFF:
            pending.is_awaiting_credit = False
            return None
        if pending.held_credit and now_ms < pending.held_credit_until_ms:
            return None
        self._return_unused(pending, now_ms)
        cost = limit.compute_cost(request.tokens)
        if cost > limit.compute_capacity() + self._bounds.compute_max_debt(limit):
            return self._reject(
                f"it costs {cost:.0f}, more than the limit ever allows at once",
                OVERSIZED_RETRY_MS,
            )
        ttl_ms = self._bounds.compute_credit_ms(limit)
        until_ms = self.accounts.take(
            request.request_id, self._find_account(request), cost, ttl_ms, now_ms
        )
        if until_ms is not None:
            pending.held_credit = cost
            pending.held_credit_until_ms = until_ms
            pending.is_awaiting_credit = False
            return None
        return self._wait(pending, limit, cost, now_ms)

    def on_sent(self, pending: PendingCall) -> None:
        """Consume the credit of a try that is being sent."""
        pending.held_credit = 0.0

    def on_not_run(self, pending: PendingCall, now_ms: float) -> None:
        """Reuse the credit of a try that provably did not run for the next one."""
        limit = self.index.find_limit(pending.request.customer)
        if limit is not None and self._policy.strategy is not LimitStrategy.OFF:
            pending.held_credit = limit.compute_cost(pending.request.tokens)
            pending.held_credit_until_ms = now_ms + self._bounds.compute_credit_ms(
                limit
            )

    def release(self, pending: PendingCall, now_ms: float) -> None:
        """Return the credit that a call has not used."""
        self._return_unused(pending, now_ms)
        if pending.is_awaiting_credit:
            request = pending.request
            self.accounts.withdraw(request.request_id, self._find_account(request))
            pending.is_awaiting_credit = False

    def _find_account(self, request: RelayRequest) -> str:
        """Return the key of the credit account that a call uses."""
        rank = request.rank if self._policy.by_urgency else 0
        return build_account_key(request.customer, rank)

    def _return_unused(self, pending: PendingCall, now_ms: float) -> None:
        if pending.held_credit:
            key = self._find_account(pending.request)
            self.accounts.return_unused(key, pending.held_credit, now_ms)
            pending.held_credit = 0.0

    def _wait(
        self, pending: PendingCall, limit: RateLimit, cost: float, now_ms: float
    ) -> LimitRejection | None:
        customer = pending.request.customer
        if not pending.is_awaiting_credit:
            pending.is_awaiting_credit = True
            pending.is_briefly_denied = False
            pending.credit_wait_since_ms = now_ms
            pending.credit_wait_until_ms = now_ms + self._policy.max_wait_ms
        key = self._find_account(pending.request)
        denial = self.accounts.find_denial(key, now_ms)
        if denial is not None and not pending.is_briefly_denied:
            if denial.retry_ms > self._policy.brief_wait_ms:
                return self._reject_denied(limit, cost, pending.request, denial)
            pending.is_briefly_denied = True
            pending.credit_wait_until_ms = now_ms + denial.retry_ms + BRIEF_GRACE_MS
        if now_ms <= pending.credit_wait_until_ms:
            return None
        if denial is not None:
            return self._reject_denied(limit, cost, pending.request, denial)
        text = (
            f"no credit came for {cost:.0f} {limit.unit.value} of customer {customer} "
            f"since {now_ms - pending.credit_wait_since_ms:.0f} ms"
        )
        return self._reject(text, NO_ANSWER_RETRY_MS)

    def _reject_denied(
        self, limit: RateLimit, cost: float, request: RelayRequest, denial: Denial
    ) -> LimitRejection:
        ranked = f" for rank {request.rank}" if self._policy.by_urgency else ""
        text = (
            f"customer {request.customer} is over its limit{ranked} of "
            f"{limit.rate_per_s:g} "
            f"{limit.unit.value} a second, as its home said {denial.age_ms:.0f} ms "
            f"ago; the request costs {cost:.0f}"
        )
        return self._reject(text, denial.retry_ms)

    def _reject(self, text: str, retry_ms: float) -> LimitRejection:
        self.rejected += 1
        return LimitRejection(text, retry_ms)
