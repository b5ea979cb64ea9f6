"""Hold this node's credit for sending to replicas that announce rate limits.

A call is sent to a limited replica only once the limit's coordinator has granted it. So
the sum over all nodes stays within the limit, and credit goes to nodes that have calls.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from toucanyard.limit_credits import CreditAccounts
from toucanyard.names import EndpointName
from toucanyard.pending_call import PendingCall
from toucanyard.rate_limits import LimitBounds, RateLimit
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replicas import KnownReplica

MIN_RATE_PER_S: Final = 0.5
"""Rate at which a replica with a limit of zero is still sent requests: only a response
shows that it accepts requests again."""
CREDIT_MS: Final = 300.0
"""Time to live of a replica's credit, from the credit request on."""
REPLICA_BOUNDS: Final = LimitBounds(
    window_ms=4_000.0,
    overshoot=0.5,
    slack=5.0,
    max_credit_ms=CREDIT_MS,
    spends_margin=False,
    min_capacity=1.0,
)
"""The margin covers changes of coordinator and requests in flight. In the long term a
limited replica gets no more than it announces."""
ANSWER_WAIT_MS: Final = 80.0
"""Time that a call waits for a coordinator's answer before it goes elsewhere."""
MAX_DENIED_PER_S: Final = 12.0
"""Maximum denied credit requests per second; beyond it, calls go or wait elsewhere.
Each request costs about 200 bytes on the links between nodes."""


class ReplicaCredits:
    """The credit of this node for limited replicas.

    Invariants: each request is granted before it is sent, and only once; a call
    requests credit for one replica at a time.
    """

    __slots__ = ("_changed", "_limits", "_requests_left", "_settled_ms", "accounts")

    def __init__(self, limits: ReplicaLimits, first_number: int = 0) -> None:
        self._limits = limits
        self._changed = 0
        self._requests_left = MAX_DENIED_PER_S
        """Remaining credit requests that may be denied; granted ones don't count."""
        self._settled_ms = 0.0
        self.accounts = CreditAccounts(first_number)

    def has_limits(self) -> bool:
        """Return whether any replica announces a limit."""
        return self._limits.has_limits()

    def find_limit(self, subject: str) -> RateLimit | None:
        """Return the limit of a replica; None if it announces none."""
        rate_per_s = self._limits.find_rate(EndpointName(subject))
        if rate_per_s is None:
            return None
        return RateLimit(max(rate_per_s, MIN_RATE_PER_S), 1.0)

    def consume_changed_flag(self) -> bool:
        """Return whether limits have changed since the last call; apply changes."""
        if self._changed == self._limits.change_count:
            return False
        self._changed = self._limits.change_count
        limited = [name for name, _ in self._limits.list_limited()]
        self.accounts.retain(limited)
        for name in limited:
            self.accounts.forget_denials(name)
        return True

    def is_awaiting_replica_credit(self, pending: PendingCall, now_ms: float) -> bool:
        """Return whether a call waits for a replica's credit."""
        replica = pending.requested_replica
        if replica is None or now_ms > pending.replica_credit_wait_until_ms:
            return False
        if self._limits.find_rate(replica) is None or self._has_credit(replica, now_ms):
            return False
        return self.accounts.find_denial(replica, now_ms) is None

    def select(
        self, pending: PendingCall, usable: Sequence[KnownReplica], now_ms: float
    ) -> Sequence[KnownReplica]:
        """Return the replicas on which a call may be placed."""
        if not self._limits.has_limits():
            return usable
        requested = pending.requested_replica
        if requested is not None and self._has_credit(requested, now_ms):
            granted = [each for each in usable if each.replica.name == requested]
            if granted:
                # The credit was granted for this call and expires if it is not used.
                return granted
        self._settle(now_ms)
        return [e for e in usable if self._may_choose(pending, e.replica.name, now_ms)]

    def claim(self, pending: PendingCall, replica: EndpointName, now_ms: float) -> bool:
        """Return whether a call may be sent to a replica now; request credit if not."""
        if self._limits.find_rate(replica) is None:
            self.release(pending)
            return True
        if pending.requested_replica != replica:
            self.release(pending)
            self._requests_left -= 1.0
            pending.requested_replica = replica
            pending.replica_credit_wait_until_ms = now_ms + ANSWER_WAIT_MS
        request_id = pending.request.request_id
        if self.accounts.take(request_id, replica, 1.0, CREDIT_MS, now_ms) is None:
            return False
        self._requests_left = min(self._requests_left + 1.0, MAX_DENIED_PER_S)
        pending.requested_replica = None
        return True

    def release(self, pending: PendingCall) -> None:
        """Withdraw a call's credit request for a replica."""
        if pending.requested_replica is not None:
            request_id = pending.request.request_id
            self.accounts.withdraw(request_id, pending.requested_replica)
            pending.requested_replica = None

    def _may_choose(
        self, pending: PendingCall, replica: EndpointName, now_ms: float
    ) -> bool:
        if self._limits.find_rate(replica) is None or self._has_credit(replica, now_ms):
            return True
        is_unanswered = pending.requested_replica == replica
        # A call whose response has begun must be resumed at once or not at all.
        if pending.has_begun or is_unanswered or self._requests_left < 1.0:
            return False
        return self.accounts.find_denial(replica, now_ms) is None

    def _settle(self, now_ms: float) -> None:
        passed_s = max(now_ms - self._settled_ms, 0.0) / 1_000
        self._settled_ms = now_ms
        self._requests_left = min(
            self._requests_left + passed_s * MAX_DENIED_PER_S, MAX_DENIED_PER_S
        )

    def _has_credit(self, replica: EndpointName, now_ms: float) -> bool:
        return self.accounts.find_credit(replica, now_ms) >= 1.0
